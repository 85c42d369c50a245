"""Copies of records that electors keep, when the store loses the latest ones.

Guards against a leader that grants keys by a copy older than a record that was
used, so that two servers hold a key. Each rule that prevents this is removed
in turn, and a history then has to find the violation.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import NamedTuple

import pytest

from tests.builders.leadership_world import (
    RECORDED_SERVICE,
    LeadershipWorld,
    use_virtual_clock,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.membership import (
    elector_sets,
    leadership,
    record_copies,
)
from yuccadale_edge._internal.membership.messages import (
    Elector,
    Electors,
    RecordCopy,
)
from yuccadale_edge._internal.membership.promises import (
    MAX_PROMISED_LEASE_S,
    Promises,
)
from yuccadale_edge._internal.store_versions import store_version

OUTAGE_S = 2.0
SETTLED_S = MAX_PROMISED_LEASE_S + 3
ELECTION_S = 3.0
HISTORIES = range(150)
# A violation must show within this many histories without the rule.
HISTORIES_WITHOUT_RULE = 1500
PAUSES_S = (0.05, 0.3, 0.8, 1.5)


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


async def _settled(seed: int) -> tuple[LeadershipWorld, str, list[str]]:
    """Returns a world with records, its leader and the electors."""
    world = LeadershipWorld(seed)
    world.writes_records = True
    await world.start_all()
    await asyncio.sleep(SETTLED_S)
    leader = world.acting()
    assert leader is not None
    name_by_address = {
        address: name for name, address in world.address_by_name.items()
    }
    named = world.peer_by_name[leader].leadership.known_electors.electors
    electors = [name_by_address[one.address] for one in named]
    assert len(electors) == 3
    return world, leader, electors


async def _end(
    world: LeadershipWorld, watch: asyncio.Task[None], last_s: float
) -> LeadershipWorld:
    """Waits for an election, and stops a world."""
    await asyncio.sleep(last_s)
    await world.stop(watch)
    return world


async def _leader_dies_in_the_outage(seed: int) -> LeadershipWorld:
    world, leader, _ = await _settled(seed)
    watch = asyncio.create_task(world.watch())
    copy = world.rows.copy()
    await asyncio.sleep(6.0)
    world.without_store = set(world.address_by_name)
    await asyncio.sleep(0.5)
    world.kill(leader)
    await asyncio.sleep(OUTAGE_S)
    world.rows.restore(copy)
    world.without_store = set()
    return await _end(world, watch, ELECTION_S)


async def _leader_cut_off(seed: int, cut_s: float) -> LeadershipWorld:
    """A leader without its electors writes records that are lost with it."""
    world, leader, _ = await _settled(seed)
    watch = asyncio.create_task(world.watch())
    copy = world.rows.copy()
    world.partitions = [{leader}]
    await asyncio.sleep(cut_s)
    world.kill(leader)
    world.rows.restore(copy)
    return await _end(world, watch, ELECTION_S)


async def _cut_off_for_a_moment(seed: int) -> LeadershipWorld:
    return await _leader_cut_off(seed, 2.0)


async def _cut_off_until_it_uses_records(seed: int) -> LeadershipWorld:
    return await _leader_cut_off(seed, record_copies.TRUSTED_S + 1.2)


async def _electors_start_again(seed: int) -> LeadershipWorld:
    """Of the electors with the latest copy one ends and one starts again."""
    world, leader, electors = await _settled(seed)
    watch = asyncio.create_task(world.watch())
    copy = world.rows.copy()
    await asyncio.sleep(1.5)
    first, second, _ = sorted(electors)
    world.without_store = set(world.address_by_name)
    world.kill(leader)
    world.kill(first)
    world.start(second)
    world.rows.restore(copy)
    world.without_store = set()
    return await _end(world, watch, ELECTION_S)


async def _member_misses_a_leader(seed: int) -> LeadershipWorld:
    """A member that knows the leader before the last one is a candidate."""
    world, leader, electors = await _settled(seed)
    watch = asyncio.create_task(world.watch())
    copy = world.rows.copy()
    members = set(world.peer_by_name) - {leader, *electors}
    member = members.pop()
    world.kill(leader)
    world.partitions = [{member}]
    world.without_store = {member}
    while world.acting() is None:
        await asyncio.sleep(0.01)
    successor = world.acting()
    assert successor in electors
    world.partitions.append({successor})
    await asyncio.sleep(0.6)
    world.kill(successor)
    world.partitions = []
    world.rows.restore(copy)
    # The electors know the last leader.
    world.without_store = set(electors)
    return await _end(world, watch, ELECTION_S)


async def _random_faults(seed: int) -> LeadershipWorld:
    """Links fail and electors start again before a leader is lost."""
    world, leader, _ = await _settled(seed)
    watch = asyncio.create_task(world.watch())
    copy = world.rows.copy()
    faults = (
        world._partition_network,
        world._heal_network,
        world._disconnect_store_from_some,
        world._reconnect_store,
        lambda: world.start(world.random.choice(sorted(world.peer_by_name))),
    )
    for _ in range(world.random.randint(1, 6)):
        world.random.choice(faults)()
        await asyncio.sleep(world.random.choice(PAUSES_S))
    world.without_store = set(world.address_by_name)
    await asyncio.sleep(world.random.choice(PAUSES_S))
    world.kill(world.acting() or leader)
    await asyncio.sleep(world.random.choice(PAUSES_S))
    world._heal_network()
    world.rows.restore(copy)
    world.without_store = set()
    return await _end(world, watch, ELECTION_S)


History = Callable[[int], Awaitable[LeadershipWorld]]


class RuleOnCopies(NamedTuple):
    """A rule, how a test removes it, and a history that needs it."""

    name: str
    remove: Callable[[pytest.MonkeyPatch], None]
    history: History


def _use_records_at_once(patch: pytest.MonkeyPatch) -> None:
    original = record_copies.TrustedElectors.end_record

    def end_record(
        self: record_copies.TrustedElectors,
        copy: RecordCopy,
        keeping: Collection[Elector],
    ) -> bool:
        original(self, copy, keeping)
        return True

    patch.setattr(record_copies.TrustedElectors, 'end_record', end_record)


def _trust_old_statements(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(elector_sets, 'COPIES_VALID_S', 1000)


def _trust_copies_of_some_voters(patch: pytest.MonkeyPatch) -> None:
    original = record_copies.latest_copies

    def latest_copies(
        copies_of_voters: list[list[RecordCopy]],
        services: Iterable[str],
        _electors: Electors,
    ) -> object:
        return original(copies_of_voters, services, ())

    patch.setattr(leadership, 'latest_copies', latest_copies)


def _forget_statements_of_earlier_leaders(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        record_copies.TrustedElectors, 'begin_term', lambda *_sets: None
    )


RULES = (
    RuleOnCopies(
        'a record waits for a majority',
        _use_records_at_once,
        _cut_off_for_a_moment,
    ),
    RuleOnCopies(
        'statements expire',
        _trust_old_statements,
        _cut_off_until_it_uses_records,
    ),
    RuleOnCopies(
        'a majority has copies',
        _trust_copies_of_some_voters,
        _electors_start_again,
    ),
    RuleOnCopies(
        'a new leader knows the statements before',
        _forget_statements_of_earlier_leaders,
        _member_misses_a_leader,
    ),
)
SEEDS = range(10)


@pytest.mark.parametrize('seed', range(5))
@in_virtual_time
async def test_leader_elected_after_a_restore_has_the_latest_record(
    seed: int,
) -> None:
    """Guards against keys without an owner until all leases have expired."""
    world = await _leader_dies_in_the_outage(seed)
    assert not world.problems
    assert world.recoveries == 1


@pytest.mark.parametrize('rule', RULES, ids=lambda rule: rule.name)
@pytest.mark.parametrize('seed', SEEDS)
@in_virtual_time
async def test_no_copy_is_older_than_a_record_that_was_used(
    seed: int, rule: RuleOnCopies
) -> None:
    """Guards against two holders of a key that moved before a restore."""
    world = await rule.history(seed)
    assert not world.problems


@pytest.mark.parametrize('rule', RULES, ids=lambda rule: rule.name)
@in_virtual_time
async def test_each_rule_on_copies_is_needed(
    rule: RuleOnCopies, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rule that has no effect or is not tested."""
    rule.remove(monkeypatch)
    worlds = [await rule.history(seed) for seed in SEEDS]
    assert any(world.problems for world in worlds)


@in_virtual_time
async def test_random_histories_use_no_older_copy() -> None:
    """Guards against two holders of a key after random faults."""
    recoveries = 0
    for seed in HISTORIES:
        world = await _random_faults(seed)
        assert not world.problems, seed
        recoveries += world.recoveries
    assert recoveries > len(HISTORIES) / 10


@in_virtual_time
async def test_random_histories_need_a_majority_of_copies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against random histories that test no rule on copies."""
    _use_records_at_once(monkeypatch)
    for seed in range(HISTORIES_WITHOUT_RULE):
        world = await _random_faults(seed)
        if world.problems:
            return
    pytest.fail('no history found a copy that is too old')


def test_an_elector_keeps_nothing_for_a_leader_after_its_vote() -> None:
    """Guards against a copy that the candidate does not get."""
    now_s = [0]
    promises = Promises(lambda: now_s[0])
    now_s[0] += SETTLED_S
    assert promises.may_keep(store_version(1, 7))
    assert promises.vote(store_version(2, 0))
    assert not promises.may_keep(store_version(1, 8))
    assert promises.may_keep(store_version(2, 1))


def test_copies_of_other_services_are_not_used() -> None:
    """Guards against a service of which the leader has stated nothing."""
    copies = [
        RecordCopy(RECORDED_SERVICE, 1, 1, b''),
        RecordCopy('x', 1, 1, b''),
    ]
    found = record_copies.latest_copies(
        [copies], [RECORDED_SERVICE], (Elector('', 0, ''),)
    )
    assert list(found) == [RECORDED_SERVICE]
