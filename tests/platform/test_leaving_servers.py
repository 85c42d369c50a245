"""Servers whose answers say that they leave, under faults, in virtual time.

Load pattern: callers send through all instances while the server says in its
answers, but not in its entry, that it leaves; the server and instances start
again, are cut off, and lose messages. Each rule of the design is then removed
in turn, and the same sequences have to find a request that was sent too late.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.limit_world import LimitWorld, limit_world
from tests.builders.virtual_time import first_problems, in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership import notice_exchange
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.routing.server_statements import ServerStatements
from yuccadale_edge._internal.server_availability import ServerAvailability

SEQUENCES = 12
SEQUENCES_TO_FIND = 40
DURATION_S = 30.0
DEMAND_PER_S = 60.0
DRAIN_S = 2.0
# The aim inside the users' bound: requests that are queued or on their way.
SENT_WITHIN_S = 0.5
REFUSED_WITHIN_S = 0.1
MOMENT_S = 0.001
SLOW_SERVICE_S = 0.1


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


async def _late(seed: int) -> list[str]:
    async with limit_world(seed) as world:
        await asyncio.gather(
            world.load(DEMAND_PER_S, DURATION_S),
            world.faults(DURATION_S),
            _leave_again(world),
        )
        nodes = (*world.nodes, *world.ended_nodes)
        return [late for node in nodes for late in node.sends.late(DRAIN_S)]


async def _leave_again(world: LimitWorld) -> None:
    """Lets the server leave, also after it has started again."""
    end_s = elapsed_s() + DURATION_S
    while elapsed_s() < end_s:
        await asyncio.sleep(world.random.random() * 2)
        world.say_it_leaves()


def _find_late(seeds: Iterable[int]) -> list[str]:
    return first_problems(seeds, _late)


def test_a_server_that_leaves_gets_nothing_later_in_random_sequences() -> None:
    """Guards against an instance that forgets or overlooks the statement."""
    assert not _find_late(range(SEQUENCES))


@dataclass(frozen=True)
class RemovedRule:
    """A rule of the design and how it is removed."""

    rule: str
    remove: Callable[[pytest.MonkeyPatch], None]


def _ignore_own_answers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ServerStatements, '_mark_leaving', lambda *_: None)


def _ignore_forwarded_answers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ServerStatements, 'observe_forwarded', lambda *_: None)
    _tell_nobody(patch)


def _tell_nobody(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ServerAvailability, 'apply_leaving', lambda *_: False)


def _send_what_is_routed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ServerStatements, 'refusal_code', lambda *_: None)
    patch.setattr(ServerAvailability, 'said_it_leaves', lambda *_: False)


def _forget_with_the_entry(patch: pytest.MonkeyPatch) -> None:
    def forget(
        availability: ServerAvailability, registered: set[Holder]
    ) -> None:
        assert registered
        availability._leaving_by_holder.clear()

    patch.setattr(ServerAvailability, 'forget_ended', forget)


REMOVED_RULES = (
    RemovedRule('answers are read', _ignore_own_answers),
    RemovedRule('forwarded answers count', _ignore_forwarded_answers),
    RemovedRule('nothing is sent afterwards', _send_what_is_routed),
    RemovedRule('it ends only with the incarnation', _forget_with_the_entry),
)


@pytest.mark.parametrize('removed', REMOVED_RULES, ids=lambda one: one.rule)
def test_removed_rule_is_found(
    removed: RemovedRule, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against sequences that cannot show a late request."""
    removed.remove(monkeypatch)
    assert _find_late(range(SEQUENCES_TO_FIND))


async def _load_until_left(world: LimitWorld) -> float:
    """Lets the server say that it leaves; returns when an answer said so."""
    await world.load(DEMAND_PER_S, 1)
    world.say_it_leaves()
    await world.load(DEMAND_PER_S, 3)
    return min(
        left_s
        for node in world.nodes
        for left_s in node.sends.leaving_s_by_incarnation.values()
    )


@in_virtual_time
async def test_all_instances_stop_soon_after_the_first_answer() -> None:
    """Guards against instances that each have to see an answer of their own."""
    async with limit_world(1, 30) as world:
        left_s = await _load_until_left(world)
        assert world.server.record.arrivals_s[-1] < left_s + SENT_WITHIN_S


def test_instances_that_are_not_told_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check that lost messages would not fail."""
    _tell_nobody(monkeypatch)
    monkeypatch.setattr(RequestRouter, '_send', _send_without_the_sender)

    @in_virtual_time
    async def play() -> None:
        async with limit_world(1, 30) as world:
            left_s = await _load_until_left(world)
            assert world.server.record.arrivals_s[-1] > left_s + SENT_WITHIN_S

    play()


async def _send_without_the_sender(
    router: RequestRouter, routed: object
) -> object:
    return await router._dispatcher.serve(routed)  # type: ignore[arg-type]


async def _sent_after_the_answer() -> list[str]:
    """Returns what a full server gets after it has said that it leaves."""
    async with limit_world(5, 1) as world:
        world.server.service_s = SLOW_SERVICE_S
        await world.load(DEMAND_PER_S, 2, keyed=True)
        world.say_it_leaves()
        await world.load(DEMAND_PER_S, 2, keyed=True)
        # Requests that are sent in the same moment are on their way.
        return world.nodes[0].sends.late(MOMENT_S)


@in_virtual_time
async def test_queued_requests_are_not_sent() -> None:
    """Guards against a queue that drains into a server that leaves."""
    assert not await _sent_after_the_answer()


def test_queued_requests_that_are_sent_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check whose queue is empty."""
    monkeypatch.setattr(Dispatcher, '_refuse_queued', lambda _: None)
    monkeypatch.setattr(ServerStatements, 'refusal', lambda *_: None)

    @in_virtual_time
    async def play() -> None:
        assert await _sent_after_the_answer()

    play()


@in_virtual_time
async def test_an_instance_that_starts_later_is_told() -> None:
    """Guards against a new instance that has to ask the leaving server."""
    async with limit_world(2) as world:
        await _load_until_left(world)
        await world._restart_instance()
        await asyncio.sleep(notice_exchange._REPEAT_S + 0.5)
        server = world.server.server
        assert all(
            node.view.availability.is_leaving(server) for node in world.nodes
        )


@in_virtual_time
async def test_callers_are_refused_at_once_if_no_other_server_is_left() -> None:
    """Guards against callers that wait for a server that will not come."""
    async with limit_world(3) as world:
        await _load_until_left(world)
        world.outcomes.refused.clear()
        served = len(world.outcomes.served_s)
        for node in world.nodes:
            for keyed in (False, True):
                began_s = elapsed_s()
                result = await node.send('late', keyed=keyed, priority=0)
                assert result.code == ResultCode.server_draining
                assert result.retry_after_s > 0
                assert elapsed_s() - began_s < REFUSED_WITHIN_S
        assert len(world.outcomes.served_s) == served


@in_virtual_time
async def test_a_new_incarnation_does_not_leave() -> None:
    """Guards against a statement of a process that has ended."""
    async with limit_world(4) as world:
        await _load_until_left(world)
        await world._restart_server()
        await asyncio.sleep(0.5)
        begin_s = elapsed_s()
        await world.load(DEMAND_PER_S, 2)
        served = [one for one in world.outcomes.served_s if one > begin_s]
        assert len(served) > DEMAND_PER_S
