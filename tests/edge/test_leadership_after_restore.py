"""Leader election when the store is restored and the leader's row is lost.

Guards against 12 s without a leader, and against two leaders when a candidate
uses electors of which the leader no longer needs promises. Each rule on the
electors that a candidate knows is removed in turn, and the histories then have
to find the violation.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import msgspec
import pytest

from tests.builders.leadership_world import (
    LeadershipWorld,
    StoredRows,
    use_virtual_clock,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.membership import (
    elector_sets,
    messages,
    promises,
)
from yuccadale_edge._internal.store_versions import era_of, store_version

OUTAGE_S = 2.0
# Electors promise only when no leader from before their start can act.
SETTLED_S = promises.MAX_PROMISED_LEASE_S + 3
# Until a leader is elected by votes.
ELECTION_S = 3.0


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


@asynccontextmanager
async def _running(world: LeadershipWorld, age_s: float) -> AsyncIterator[str]:
    """Runs instances; returns their leader once they have some age."""
    await world.start_all()
    watch = asyncio.create_task(world.watch())
    await asyncio.sleep(age_s)
    leader = world.acting()
    assert leader is not None
    yield leader
    await world.stop(watch)


def _disconnect_all(world: LeadershipWorld) -> None:
    world.without_store = set(world.address_by_name)


def _restore(world: LeadershipWorld, copy: StoredRows) -> None:
    world.rows.restore(copy)
    world.without_store = set()


def _isolate(world: LeadershipWorld, *names: str) -> None:
    """Cuts instances off from the others and from the store."""
    world.partitions = [set(names)]
    world.without_store = set(names)


def _electors(world: LeadershipWorld, leader: str) -> list[str]:
    """Returns the instances that the row of a leader names as electors."""
    name_by_address = {
        address: name for name, address in world.address_by_name.items()
    }
    known = world.peer_by_name[leader].leadership.known_electors
    confirmed = known.confirmation(0)
    assert confirmed is not None
    assert confirmed.electors is not None
    return [name_by_address[one.address] for one in confirmed.electors]


def _others(world: LeadershipWorld, *names: str) -> list[str]:
    return [name for name in world.peer_by_name if name not in names]


@pytest.mark.parametrize('seed', range(5))
@in_virtual_time
async def test_leader_killed_before_a_restore_is_replaced_by_votes(
    seed: int,
) -> None:
    """Guards against a wait for the longest lease by promises."""
    world = LeadershipWorld(seed)
    async with _running(world, SETTLED_S) as leader:
        copy = world.rows.copy()
        await asyncio.sleep(6.0)
        _disconnect_all(world)
        await asyncio.sleep(0.5)
        world.kill(leader)
        await asyncio.sleep(OUTAGE_S)
        _restore(world, copy)
        await asyncio.sleep(ELECTION_S)
        assert world.acting() not in {None, leader}
    assert not world.problems


@in_virtual_time
async def test_one_of_two_instances_leads_through_a_restore() -> None:
    """Guards against an only elector that refuses its promise."""
    world = LeadershipWorld(6, instances=2)
    async with _running(world, SETTLED_S) as leader:
        _disconnect_all(world)
        for step in range(40):
            await asyncio.sleep(0.1)
            if step == OUTAGE_S * 10:
                _restore(world, world.rows.copy())
            # A short gap between the lease and the promises is allowed.
            if world.acting() is None:
                await asyncio.sleep(0.4)
            assert world.acting() == leader
    assert not world.problems


@pytest.mark.parametrize('seed', range(5))
@in_virtual_time
async def test_two_instances_that_have_just_started_elect_soon(
    seed: int,
) -> None:
    """Guards against 12 s without a leader.

    An elector promises nothing for 10 s after its start, so the leader loses
    its lease in the outage.
    """
    world = LeadershipWorld(seed, instances=2)
    async with _running(world, 5.0):
        _disconnect_all(world)
        await asyncio.sleep(OUTAGE_S)
        assert world.acting() is None
        _restore(world, world.rows.copy())
        await asyncio.sleep(ELECTION_S)
        assert world.acting() is not None
    assert not world.problems


async def _confirmation_long_ago(seed: int) -> list[str]:
    """A leader and its only elector are cut off by the others, then isolated.

    The others know the electors from before the first cut.
    """
    world = LeadershipWorld(seed)
    async with _running(world, SETTLED_S) as leader:
        kept = _electors(world, leader)[0]
        world.partitions = [{leader, kept}]
        await asyncio.sleep(elector_sets.FORMER_REQUIRED_S + 2)
        assert _electors(world, leader) == [kept]
        world.without_store = {leader, kept}
        await asyncio.sleep(promises.PROMISE_S)
        world.rows.restore(world.rows.copy())
        await asyncio.sleep(promises.MAX_PROMISED_LEASE_S)
    return world.problems


async def _confirmation_by_a_replaced_leader(seed: int) -> list[str]:
    """A leader that was replaced answers a member that is cut off with it."""
    world = LeadershipWorld(seed)
    async with _running(world, SETTLED_S) as leader:
        member = _electors(world, leader)[0]
        _isolate(world, leader, member)
        await asyncio.sleep(2 * ELECTION_S)
        # The one that is isolated with the replaced leader does not act.
        successor = world.acting()
        assert successor not in {None, leader}
        kept = _others(world, leader, member, successor)[-1]
        world.partitions.append({successor, kept})
        await asyncio.sleep(elector_sets.FORMER_REQUIRED_S + 2)
        _isolate(world, successor, kept)
        world.rows.restore(world.rows.copy())
        await asyncio.sleep(promises.MAX_PROMISED_LEASE_S)
    return world.problems


async def _two_restores(seed: int) -> list[str]:
    """Members that were cut off through one restore see the next one."""
    world = LeadershipWorld(seed, instances=7)
    async with _running(world, SETTLED_S) as leader:
        group = _electors(world, leader)[:3]
        world.kill(leader)
        world.partitions = [set(group)]
        world.without_store = set(_others(world, *group))
        world.rows.restore(world.rows.copy())
        await asyncio.sleep(ELECTION_S)
        successor = world.acting()
        assert successor in group
        kept = _electors(world, successor)[0]
        _isolate(world, successor, kept)
        world.rows.restore(world.rows.copy())
        await asyncio.sleep(promises.MAX_PROMISED_LEASE_S)
    return world.problems


History = Callable[[int], Awaitable[list[str]]]


class RuleOnElectors(NamedTuple):
    """A rule, how a test removes it, and a history that needs it."""

    name: str
    remove: Callable[[pytest.MonkeyPatch], None]
    history: History


def _trust_old_confirmations(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(elector_sets, 'CONFIRMATION_VALID_S', 1000)


def _count_age_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    original = elector_sets.KnownElectors.confirm

    def confirm(
        self: elector_sets.KnownElectors,
        confirmed: messages.ConfirmedElectors,
        _requested_s: float,
    ) -> None:
        original(self, msgspec.structs.replace(confirmed, age_s=0), self._now())

    patch.setattr(elector_sets.KnownElectors, 'confirm', confirm)


def _trust_electors_of_any_era(patch: pytest.MonkeyPatch) -> None:
    original = elector_sets.KnownElectors.before_restore

    def before_restore(
        self: elector_sets.KnownElectors, _version: int, noticed_s: float
    ) -> messages.Electors:
        last_era = max(era_of(self._version), 1)
        next_version = store_version(last_era + 1, 0)
        return original(self, next_version, noticed_s)

    patch.setattr(elector_sets.KnownElectors, 'before_restore', before_restore)


RULES = (
    RuleOnElectors(
        'old confirmations expire',
        _trust_old_confirmations,
        _confirmation_long_ago,
    ),
    RuleOnElectors(
        'age of a confirmation',
        _count_age_from_the_answer,
        _confirmation_by_a_replaced_leader,
    ),
    RuleOnElectors(
        'electors of the last era only',
        _trust_electors_of_any_era,
        _two_restores,
    ),
)
SEEDS = range(10)


@pytest.mark.parametrize('rule', RULES, ids=lambda rule: rule.name)
@pytest.mark.parametrize('seed', SEEDS)
@in_virtual_time
async def test_electors_of_no_use_elect_no_second_leader(
    seed: int, rule: RuleOnElectors
) -> None:
    """Guards against a leader beside one that acts by other electors."""
    assert not await rule.history(seed)


@pytest.mark.parametrize('rule', RULES, ids=lambda rule: rule.name)
@pytest.mark.parametrize('seed', SEEDS)
@in_virtual_time
async def test_each_rule_on_known_electors_is_needed(
    seed: int, rule: RuleOnElectors, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rule that has no effect or is not tested."""
    rule.remove(monkeypatch)
    assert await rule.history(seed)
