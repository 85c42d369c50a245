"""Servers that refuse requests and ask for a pause, in virtual time.

Load pattern: callers ask for more than the server can do, through all
instances, while it refuses everything for a moment and asks for pauses of
different lengths; the server and instances start again, are cut off, and lose
messages. Each rule of the design is then removed in turn, and the same
sequences have to find too many requests in a pause.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.limit_record import most_in_window
from tests.builders.limit_world import LimitWorld, limit_world
from tests.builders.virtual_time import first_problems, in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.server_statements import ServerStatements
from yuccadale_edge._internal.server_availability import ServerAvailability
from yuccadale_edge.instance import Answer, InvalidPauseError
from yuccadale_platform._internal.requests import PlatformCodec

SEQUENCES = 12
SEQUENCES_TO_FIND = 40
DURATION_S = 30.0
DEMAND_PER_S = 120.0
# The users' rule: requests from an instance in a pause, after this time.
CROSSING_S = 0.5
ALLOWED_IN_PAUSE = 2
PAUSES_S = (0.7, 2, 4, 6.5)
LONGEST_REFUSAL_S = 1.5
PAUSE_S = 4.0
REFUSED_WITHIN_S = 0.1
# Callers that may return within a moment, of those that were refused.
MOMENT_S = 0.1
RETURNS_SHARE = 1 / 6


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


async def _excess(seed: int) -> list[str]:
    async with limit_world(seed) as world:
        await asyncio.gather(
            world.load(DEMAND_PER_S, DURATION_S),
            world.faults(DURATION_S),
            _refuse_again(world),
        )
        nodes = (*world.nodes, *world.ended_nodes)
        return [
            excess
            for node in nodes
            for excess in node.sends.excess_in_pauses(
                CROSSING_S, ALLOWED_IN_PAUSE
            )
        ]


async def _refuse_again(world: LimitWorld) -> None:
    """Lets the server refuse all requests from time to time."""
    end_s = elapsed_s() + DURATION_S
    while elapsed_s() < end_s:
        await asyncio.sleep(world.random.random() * LONGEST_REFUSAL_S)
        world.server.pause_s = world.random.choice((None, *PAUSES_S))


def _find_excess(seeds: Iterable[int]) -> list[str]:
    return first_problems(seeds, _excess)


def test_pauses_are_kept_in_random_sequences() -> None:
    """Guards against requests that a server has asked not to get."""
    assert not _find_excess(range(SEQUENCES))


@dataclass(frozen=True)
class RemovedRule:
    """A rule of the design and how it is removed."""

    rule: str
    remove: Callable[[pytest.MonkeyPatch], None]


def _ignore_pauses(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ServerStatements, '_observe_pause', lambda *_: None)


def _shorten_pauses(patch: pytest.MonkeyPatch) -> None:
    def pause_left_s(availability: ServerAvailability, holder: Holder) -> float:
        until_s = availability._paused_until_s_by_holder.get(holder, 0)
        return max(0, until_s - elapsed_s() - 1)

    patch.setattr(ServerAvailability, 'pause_left_s', pause_left_s)


def _end_all_pauses(patch: pytest.MonkeyPatch) -> None:
    def forget(
        availability: ServerAvailability, registered: set[Holder]
    ) -> None:
        assert registered
        availability._paused_until_s_by_holder.clear()

    patch.setattr(ServerAvailability, 'forget_ended', forget)


REMOVED_RULES = (
    RemovedRule('refusals are read', _ignore_pauses),
    RemovedRule('a pause lasts for its whole time', _shorten_pauses),
    RemovedRule('a pause that lasts is remembered', _end_all_pauses),
)


@pytest.mark.parametrize('removed', REMOVED_RULES, ids=lambda one: one.rule)
def test_removed_rule_is_found(
    removed: RemovedRule, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against sequences that cannot show an excess."""
    removed.remove(monkeypatch)
    assert _find_excess(range(SEQUENCES_TO_FIND))


@pytest.mark.parametrize('keyed', [False, True])
@in_virtual_time
async def test_callers_are_refused_at_once_with_spread_returns(
    keyed: bool,
) -> None:
    """Guards against callers that wait in the pause, or all return together."""
    async with limit_world(1) as world:
        await world.load(DEMAND_PER_S, 1, keyed=keyed)
        world.server.pause_s = PAUSE_S
        await world.load(DEMAND_PER_S, CROSSING_S, keyed=keyed)
        world.outcomes.refused.clear()
        await world.load(DEMAND_PER_S, 2, keyed=keyed)
        end_s = min(_pause_ends_s(world))
        refused = world.outcomes.refused
        assert {one.code for _, one in refused} == {ResultCode.server_paused}
        assert {one.attempts for _, one in refused} == {0}
        returns_s = sorted(at_s + one.retry_after_s for at_s, one in refused)
        assert returns_s[0] >= end_s
        most = most_in_window(returns_s, MOMENT_S)
        assert most < len(returns_s) * RETURNS_SHARE
        began_s = elapsed_s()
        await world.nodes[0].send('paused', keyed=keyed, priority=0)
        assert elapsed_s() - began_s < REFUSED_WITHIN_S


def _pause_ends_s(world: LimitWorld) -> list[float]:
    return [
        end_s
        for node in world.nodes
        for _incarnation, _begin_s, end_s in node.sends.pauses
    ]


@in_virtual_time
async def test_urgent_callers_return_first() -> None:
    """Guards against a server that is full again before urgent callers ask."""
    async with limit_world(2) as world:
        for node in world.nodes:
            node.dispatcher.statements.observe(
                world.server.server,
                _refusal(b'4'),
                elapsed_s(),
            )
        returns_s = []
        for priority in range(3):
            result = await world.nodes[0].send(
                f'priority-{priority}', keyed=True, priority=priority
            )
            returns_s.append(elapsed_s() + result.retry_after_s)
        assert returns_s == sorted(returns_s)


@in_virtual_time
async def test_a_crossing_answer_does_not_end_or_shorten_a_pause() -> None:
    """Guards against the answer to an earlier request that ends a pause."""
    async with limit_world(3) as world:
        server = world.server.server
        statements = world.nodes[0].dispatcher.statements
        for answer in (_refusal(b'4'), _refusal(b'1'), Answer(200, [])):
            statements.observe(server, answer, elapsed_s())
        holder = Holder(server.server_id, server.incarnation)
        availability = world.nodes[0].view.availability
        assert availability.pause_left_s(holder) == PAUSE_S


@in_virtual_time
async def test_a_new_incarnation_is_not_paused() -> None:
    """Guards against a pause of a process that has ended."""
    async with limit_world(4) as world:
        world.server.pause_s = PAUSE_S * 10
        await world.load(DEMAND_PER_S, 1)
        world.server.pause_s = None
        await world._restart_server()
        await asyncio.sleep(0.5)
        begin_s = elapsed_s()
        await world.load(40, 2)
        served = [one for one in world.outcomes.served_s if one > begin_s]
        assert len(served) > 60


@pytest.mark.parametrize(
    ('texts', 'pause_s'),
    [((), None), ((b'4',), 4), ((b' 0.25 ',), 0.25), ((b'0',), 0)],
)
def test_a_pause_is_read(
    texts: tuple[bytes, ...], pause_s: float | None
) -> None:
    """Guards against a pause that is not read from a refusal."""
    assert PlatformCodec().requested_pause_s(_refusal(*texts)) == pause_s


@pytest.mark.parametrize(
    'texts',
    [
        (b'',),
        (b'-1',),
        (b'nan',),
        (b'inf',),
        (b'1e3',),
        (b'4', b'4'),
        (b'Sat, 05 Dec 2026 14:00:00 GMT',),
        (b'9' * 400,),
    ],
)
def test_a_bad_pause_is_rejected(texts: tuple[bytes, ...]) -> None:
    """Guards against a malformed pause that blocks a server."""
    with pytest.raises(InvalidPauseError):
        PlatformCodec().requested_pause_s(_refusal(*texts))


@pytest.mark.parametrize(
    'answer',
    [
        Answer(503, [(b'retry-after', b'4')]),
        Answer(429, [(b'retry-after', b'4'), (b'x-not-executed', b'1')]),
        Answer(200, [(b'retry-after', b'4')]),
    ],
)
def test_only_refusals_ask_for_a_pause(answer: Answer) -> None:
    """Guards against a failure of a request that blocks its server."""
    assert PlatformCodec().requested_pause_s(answer) is None


@in_virtual_time
async def test_a_huge_pause_is_cut() -> None:
    """Guards against a server that is never used again."""
    async with limit_world(5) as world:
        server = world.server.server
        node = world.nodes[0]
        for _ in range(2):
            node.dispatcher.statements.observe(
                server, _refusal(b'999999999'), elapsed_s()
            )
        holder = Holder(server.server_id, server.incarnation)
        assert 0 < node.view.availability.pause_left_s(holder) <= 60
        text = node.metrics.text()
        assert 'invalid_server_pauses_total{service="ledger"} 2' in text


def _refusal(*texts: bytes) -> Answer:
    headers = [(b'retry-after', text) for text in texts]
    return Answer(503, [(b'x-not-executed', b'1'), *headers])
