"""Leader election when the store or the links between instances fail.

Guards against two leaders that act at the same time, and against leases of
keys that expire during an outage of the store. Random histories of faults are
run; each rule of the election is then removed in turn, and the same histories
have to find the violation.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import pytest

from tests.builders.leadership_world import (
    LeadershipWorld,
    use_virtual_clock,
)
from tests.builders.virtual_time import first_problems, in_virtual_time
from yuccadale_edge._internal.membership import (
    elector_sets,
    electorate,
    leadership,
    messages,
    promises,
)
from yuccadale_edge._internal.store_versions import number_of

Electors = tuple[messages.Elector, ...]

HISTORIES = 60
STEPS = 40
# The removal of a rule has to be found within this many histories.
HISTORIES_TO_FIND = 400


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _find_problems(seeds: Iterable[int]) -> list[str]:
    return first_problems(seeds, lambda seed: LeadershipWorld(seed).run(STEPS))


def test_candidate_replaces_only_the_row_version_that_was_voted_on() -> None:
    """Guards against a candidate that replaces a row without a vote on it.

    Another candidate may write the row while the electors respond. The write
    then has to fail: its condition is the version that was voted on.
    """
    assert not _find_problems([1272])


def test_at_most_one_leader_may_act_in_random_histories() -> None:
    """Guards against two leaders that grant the same keys."""
    assert not _find_problems(range(HISTORIES))


def _find_restore_problems(seeds: Iterable[int]) -> list[str]:
    return first_problems(
        seeds, lambda seed: LeadershipWorld(seed).run(STEPS, restores=True)
    )


def test_restores_give_no_epoch_and_no_leadership_twice() -> None:
    """Guards against two leaders, or a used epoch, after a restore.

    The store then has the row of an earlier leader, or none.
    """
    assert not _find_restore_problems(range(HISTORIES))


def _find_freeze_problems(seeds: Iterable[int]) -> list[str]:
    return first_problems(
        seeds, lambda seed: LeadershipWorld(seed).run(STEPS, freezes=True)
    )


def test_frozen_instances_and_late_messages_give_one_leader() -> None:
    """Guards against two leaders after a process was suspended.

    A leader stands still between a check and a write, a candidate between the
    votes and its claim, an elector while it is asked. Promises and votes arrive
    after their senders gave them up.
    """
    assert not _find_freeze_problems(range(HISTORIES))


@dataclass(frozen=True)
class RemovedRule:
    """A rule of the election, and how a test removes it."""

    name: str
    remove: Callable[[pytest.MonkeyPatch], None]


def _ignore_promises(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(promises.Promises, 'vote', lambda _self, _version: True)


def _forget_votes(patch: pytest.MonkeyPatch) -> None:
    def vote(self: promises.Promises, _version: int) -> bool:
        return self._now() >= max(
            self._promised_until_s, self._started_s + promises.PROMISE_S
        )

    patch.setattr(promises.Promises, 'vote', vote)


def _accept_any_elector(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        electorate,
        'is_majority',
        lambda accepting, electors: any(one in accepting for one in electors),
    )


def _vote_right_after_restart(patch: pytest.MonkeyPatch) -> None:
    original = promises.Promises.__init__

    def started_long_ago(
        self: promises.Promises, now: Callable[[], float]
    ) -> None:
        original(self, now)
        self._started_s = -100

    patch.setattr(promises.Promises, '__init__', started_long_ago)


def _extend_without_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        leadership,
        'promised_lease_end_s',
        lambda requested_s, _renewed_s: requested_s + promises.PROMISE_S * 0.98,
    )


def _take_over_without_votes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leadership, 'TAKEOVER_WITHOUT_VOTES_S', leadership.TAKEOVER_S)


RULES = (
    RemovedRule('no vote during a promise', _ignore_promises),
    RemovedRule('no promise after a vote', _forget_votes),
    RemovedRule('a majority is needed', _accept_any_elector),
    RemovedRule('no vote right after a restart', _vote_right_after_restart),
    RemovedRule('extension by promises is limited', _extend_without_limit),
    RemovedRule('a takeover needs votes', _take_over_without_votes),
)


@pytest.mark.parametrize('rule', RULES, ids=lambda rule: rule.name)
def test_each_rule_is_needed(
    rule: RemovedRule, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rule that has no effect or is not tested."""
    rule.remove(monkeypatch)
    assert _find_problems(range(HISTORIES_TO_FIND))


def _begin_epochs_anew(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leadership, '_EPOCHS_PER_ERA', 0)


def _replace_lost_row_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        leadership.Leadership,
        '_is_row_free',
        lambda known: number_of(known.version) == 0,
    )


def _trust_restored_row(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leadership, 'leader_key', lambda _era: leadership.LEADER_KEY)


def _drop_former_electors(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(elector_sets, 'FORMER_REQUIRED_S', 0)


def _inherit_no_electors(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(elector_sets.RequiredElectors, 'inherit', lambda *_sets: None)


def _replace_lost_row_without_votes(patch: pytest.MonkeyPatch) -> None:
    original = electorate.Electorate.request_votes

    async def request_votes(
        self: electorate.Electorate,
        electors: messages.Electors,
        version: int,
    ) -> bool:
        voted = await original(self, electors, version)
        return voted or number_of(version) == 0

    patch.setattr(electorate.Electorate, 'request_votes', request_votes)


RESTORE_RULES = (
    RemovedRule('epochs rise with the era', _begin_epochs_anew),
    RemovedRule(
        'a lost row is not replaced at once', _replace_lost_row_at_once
    ),
    RemovedRule('each era has a row of its own', _trust_restored_row),
    RemovedRule('former electors stay required', _drop_former_electors),
    RemovedRule('a new leader inherits electors', _inherit_no_electors),
    RemovedRule('a lost row needs votes', _replace_lost_row_without_votes),
)


@pytest.mark.parametrize('rule', RESTORE_RULES, ids=lambda rule: rule.name)
def test_each_rule_on_restores_is_needed(
    rule: RemovedRule, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rule that has no effect or is not tested."""
    rule.remove(monkeypatch)
    assert _find_restore_problems(range(HISTORIES_TO_FIND))


def _count_lease_from_answer(patch: pytest.MonkeyPatch) -> None:
    original = leadership.Leadership._extend_lease

    def extend(
        known: leadership.Leadership,
        _began_s: float,
        electors: Electors,
        version: int,
    ) -> None:
        original(known, leadership.elapsed_s(), electors, version)

    patch.setattr(leadership.Leadership, '_extend_lease', extend)


def _count_promises_from_answers(patch: pytest.MonkeyPatch) -> None:
    original = leadership.Leadership._request_promises

    async def request(known: leadership.Leadership) -> None:
        before_s = known._promised_until_s
        await original(known)
        if known._promised_until_s > before_s:
            known._promised_until_s = (
                leadership.elapsed_s() + promises.PROMISE_S * 0.98
            )

    patch.setattr(leadership.Leadership, '_request_promises', request)


FREEZE_RULES = (
    RemovedRule('a lease counts from its request', _count_lease_from_answer),
    RemovedRule(
        'promises count from their request', _count_promises_from_answers
    ),
    *RULES[:2],
)


@pytest.mark.parametrize('rule', FREEZE_RULES, ids=lambda rule: rule.name)
def test_each_rule_on_freezes_is_needed(
    rule: RemovedRule, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rule that has no effect or is not tested."""
    rule.remove(monkeypatch)
    assert _find_freeze_problems(range(HISTORIES_TO_FIND))


async def _start_world(world: LeadershipWorld) -> asyncio.Task[None]:
    await world.start_all()
    watch = asyncio.create_task(world.watch())
    # Electors promise only when no leader from before their start can act.
    await asyncio.sleep(promises.MAX_PROMISED_LEASE_S + 3)
    return watch


@in_virtual_time
async def test_leader_may_act_while_no_instance_reaches_the_store() -> None:
    """Guards against leases of keys that expire in a store outage of 8 s."""
    world = LeadershipWorld(1)
    watch = await _start_world(world)
    leader = world.acting()
    world.without_store = set(world.address_by_name)
    for _ in range(80):
        await asyncio.sleep(0.1)
        # A short gap between the lease and the promises is allowed.
        if world.acting() is None:
            await asyncio.sleep(0.4)
        assert world.acting() == leader
    await world.stop(watch)
    assert not world.problems


@in_virtual_time
async def test_leader_that_alone_loses_the_store_is_replaced() -> None:
    """Guards against promises to a leader when only it has lost the store."""
    world = LeadershipWorld(2)
    watch = await _start_world(world)
    leader = world.acting()
    assert leader is not None
    world.without_store = {leader}
    await asyncio.sleep(leadership.LEASE_S + leadership.TAKEOVER_S)
    assert world.acting() not in {None, leader}
    await world.stop(watch)
    assert not world.problems


@in_virtual_time
async def test_instances_with_equal_incarnations_are_distinguished() -> None:
    """Guards against a member that considers itself the leader.

    Two instances can start in the same nanosecond and so have the same
    incarnation; the name has to be compared too.
    """
    world = LeadershipWorld(4)
    world.equal_incarnations = True
    watch = await _start_world(world)
    assert world.acting() is not None
    leading = [
        name
        for name, peer in world.peer_by_name.items()
        if peer.leadership.leading()
    ]
    assert leading == [world.acting()]
    await world.stop(watch)
    assert not world.problems


@in_virtual_time
async def test_a_killed_leader_is_replaced_within_three_seconds() -> None:
    """Guards against leases of keys that expire before a new leader renews."""
    world = LeadershipWorld(3)
    watch = await _start_world(world)
    leader = world.acting()
    assert leader is not None
    world.kill(leader)
    await asyncio.sleep(3.0)
    assert world.acting() not in {None, leader}
    await world.stop(watch)
    assert not world.problems
