"""Calls about leases that another process, leader or plan has overtaken."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.builders.call_runner_parts import (
    HOLDER,
    LEASE_S,
    OTHER,
    OTHER_ADDRESS,
    READY,
    RENEW_S,
    now_s,
    plan_all,
    runner_of,
    system_view_of,
)
from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.ownership.lapsed_leases import (
    RELEASE_INTERVAL_S,
    LapsedLeases,
)
from yuccadale_edge._internal.ownership.segments import (
    LeaseEnd,
    LeaseEndReason,
)
from yuccadale_edge.instance import NotSentError, OwnershipCall
from yuccadale_edge.ownership import (
    CLOCK_MARGIN,
    KEY_COUNT,
    LATEST_ARRIVAL_S,
    CallKind,
    Holder,
    Lease,
    Segment,
    SegmentTable,
)

NEXT_LIFE = Holder(HOLDER.server_id, HOLDER.incarnation + 1)
_TICK_S = 0.05
_LEASE_END_S = LEASE_S * CLOCK_MARGIN


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


class _Recorded:
    """Accepts all calls, and records them with their time.

    Attributes:
        reach: whether a call reaches a server.
    """

    def __init__(self) -> None:
        self.calls: list[tuple[float, OwnershipCall]] = []
        self.reach: Callable[[object, OwnershipCall], bool] = lambda *_: True
        self.release_s: float = 0
        self.at_once = 0
        self.most_at_once = 0

    async def grant(
        self, address: object, call: OwnershipCall, *_: object
    ) -> None:
        """Accepts a grant."""
        self._record(address, call)

    async def release(
        self, address: object, call: OwnershipCall, *_: object
    ) -> None:
        """Answers a release after some time."""
        self._record(address, call)
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        try:
            await asyncio.sleep(self.release_s)
        finally:
            self.at_once -= 1

    def _record(self, address: object, call: OwnershipCall) -> None:
        self.calls.append((asyncio.get_running_loop().time(), call))
        if not self.reach(address, call):
            raise NotSentError('refused')


async def _tick(runner, seconds: float) -> None:
    end_s = now_s() + seconds
    while now_s() < end_s:
        runner.start_due()
        await asyncio.sleep(_TICK_S)


def _owned_table() -> SegmentTable:
    table = SegmentTable(1, LEASE_S, RENEW_S)
    plan_all(table, HOLDER)
    return table


@in_virtual_time
async def test_a_withdrawn_lapsed_release_does_not_block_grants() -> None:
    """Guards against a server that gets no keys while this instance leads.

    The release was withdrawn before its task began.
    """
    table = _owned_table()
    calls = _Recorded()
    calls.reach = lambda _, call: HOLDER != call.holder or len(calls.calls) < 2
    runner = runner_of(table, calls, system_view_of(READY))
    await _tick(runner, 0.2)
    plan_all(table, OTHER)
    runner.address_by_holder[OTHER] = OTHER_ADDRESS
    while HOLDER in table.at(0).lease_by_holder:
        runner.start_due()
        if HOLDER in table.at(0).lease_by_holder:
            await asyncio.sleep(_TICK_S)
    # The leader's lease ends between the two steps of one tick.
    runner.withdraw()
    calls.reach = lambda *_: True
    await _tick(runner, 1)
    plan_all(table, HOLDER)
    await _tick(runner, 40)
    assert table.at(0).owner == HOLDER


def _lapsed(last: int) -> LapsedLeases:
    lapsed = LapsedLeases()
    lapsed.add(LeaseEnd(0, last, HOLDER, 7, LeaseEndReason.expired), 0)
    return lapsed


def test_a_grant_of_some_keys_leaves_the_releases_of_the_others() -> None:
    """Guards against a late grant of keys that no new grant is about."""
    lapsed = _lapsed(199)
    grant = OwnershipCall(CallKind.grant, HOLDER, 0, 99, 8)
    assert lapsed.begin_grant(grant)
    lapsed.end_grant(grant, accepted=True)
    released = [
        key
        for release in lapsed.releases_due(RELEASE_INTERVAL_S)
        for key in range(release.first, release.last + 1)
    ]
    assert set(range(100, 200)) <= set(released)


@in_virtual_time
async def test_an_unsent_grant_leaves_the_lapsed_releases() -> None:
    """Guards against a late grant after a new one that was never sent."""
    table = _owned_table()
    calls = _Recorded()
    calls.reach = lambda _, call: HOLDER != call.holder or len(calls.calls) < 2
    runner = runner_of(table, calls, system_view_of(READY))
    await _tick(runner, 0.2)
    plan_all(table, OTHER)
    runner.address_by_holder[OTHER] = OTHER_ADDRESS
    await _tick(runner, _LEASE_END_S + 0.5)
    assert table.at(0).owner == OTHER
    # The keys are to go back, and the server cannot be reached.
    plan_all(table, HOLDER)
    await _tick(runner, 0.5)
    plan_all(table, OTHER)
    before = len(calls.calls)
    await _tick(runner, 2)
    later = [
        call
        for _, call in calls.calls[before:]
        if call.kind == CallKind.release and HOLDER == call.holder
    ]
    assert later


@in_virtual_time
async def test_a_next_process_at_another_address_is_not_unreachable() -> None:
    """Guards against a started server without keys for half a minute.

    The lease of the process before it ran out before its entry was seen.
    """
    table = _owned_table()
    calls = _Recorded()
    calls.reach = lambda address, call: (
        address != READY.address or len(calls.calls) < 2
    )
    system_view = system_view_of(READY)
    runner = runner_of(table, calls, system_view)
    await _tick(runner, 0.2)
    plan_all(table, OTHER)
    runner.address_by_holder[OTHER] = OTHER_ADDRESS
    await _tick(runner, _LEASE_END_S + 0.5)
    assert HOLDER not in table.holders()
    # The manager sees the new entry: nothing of the table is restarted.
    runner.address_by_holder[NEXT_LIFE] = ('10.0.0.3', 1)
    await _tick(runner, 5)
    assert system_view.availability.is_reachable(HOLDER.server_id)


@in_virtual_time
async def test_releases_of_a_lapsed_server_keep_its_limit_of_calls() -> None:
    """Guards against a burst of connections to a server that comes back."""
    table = _owned_table()
    calls = _Recorded()
    calls.reach = lambda _, call: (
        call.holder != HOLDER or call.fence < 0 or (call.kind == CallKind.grant)
    )
    runner = runner_of(table, calls, system_view_of(READY))
    runner.address_by_holder[OTHER] = OTHER_ADDRESS
    for key in range(0, KEY_COUNT, KEY_COUNT // 64):
        table.split(key)
    await _tick(runner, 0.5)
    plan_all(table, OTHER)
    while any(HOLDER in one.lease_by_holder for one in table.segments):
        await _tick(runner, 0.1)
    calls.reach = lambda *_: True
    calls.release_s = 0.2
    await _tick(runner, 0.5)
    assert calls.most_at_once <= 4


def test_a_report_of_the_earlier_leader_keeps_later_unanswered_grants() -> None:
    """Guards against two holders after the report of the previous leader.

    The new leader's own renewal got no answer before the report arrived, and
    the server applies it late.
    """
    assumed_s = LATEST_ARRIVAL_S + _LEASE_END_S
    table = SegmentTable(2, LEASE_S, RENEW_S)
    lease = Lease(
        5, until_s=assumed_s, unconfirmed_until_s=assumed_s, accepted=True
    )
    table.load(
        [
            Segment(
                0,
                KEY_COUNT - 1,
                owner=HOLDER,
                lease_by_holder={HOLDER: lease},
                recorded=True,
                last_fence=5,
            )
        ]
    )
    renewal = table.calls_due(2)[0]
    assert renewal.kind == CallKind.grant
    # Taken over at 0 s; the connection was reset just after the call.
    table.call_unanswered(renewal, 0.2)
    table.replace_assumed_grants(assumed_s, [], 1)
    assert table.at(0).lease_by_holder[HOLDER].unconfirmed_until_s > 4
    plan_all(table, OTHER)
    release = table.calls_due(1.1)[0]
    table.release_answered(release, None, 1.2)
    assert not table.calls_due(1.3)


@in_virtual_time
async def test_keys_of_a_restarted_server_are_not_released_at_their_owner() -> (
    None
):
    """Guards against a release that a server's next process takes for its own.

    The lease of the earlier process runs out while the next one owns the keys.
    """
    table = _owned_table()
    calls = _Recorded()
    runner = runner_of(table, calls, system_view_of(READY))
    await _tick(runner, 0.2)
    runner.mark_restarted(
        HOLDER, replace(READY, incarnation=NEXT_LIFE.incarnation)
    )
    runner.address_by_holder[NEXT_LIFE] = READY.address
    plan_all(table, NEXT_LIFE)
    await _tick(runner, 0.2)
    assert table.at(0).owner == NEXT_LIFE
    await _tick(runner, 2 * LEASE_S)
    assert table.at(0).owner == NEXT_LIFE
    releases = [
        (round(at_s, 2), call)
        for at_s, call in calls.calls
        if call.kind == CallKind.release
    ]
    assert not releases


@in_virtual_time
async def test_releases_and_grants_to_the_same_server_do_not_overtake() -> None:
    """Guards against a release to a server's next process after its grant."""
    table = _owned_table()
    calls = _Recorded()
    calls.release_s = 2.5
    runner = runner_of(table, calls, system_view_of(READY))
    await _tick(runner, 0.2)
    runner.mark_restarted(
        HOLDER, replace(READY, incarnation=NEXT_LIFE.incarnation)
    )
    runner.address_by_holder[NEXT_LIFE] = READY.address
    runner.address_by_holder[OTHER] = OTHER_ADDRESS
    plan_all(table, OTHER)
    await _tick(runner, 0.2)
    assert calls.at_once == 1
    plan_all(table, NEXT_LIFE)
    await _tick(runner, 0.2)
    granted = [call for _, call in calls.calls if call.holder == NEXT_LIFE]
    assert not (granted and calls.at_once)


@in_virtual_time
async def test_a_first_grant_that_is_refused_is_spaced() -> None:
    """Guards against a connection for each tick."""
    table = _owned_table()
    calls = _Recorded()
    calls.reach = lambda *_: False
    runner = runner_of(table, calls, system_view_of(READY))
    await _tick(runner, 1)
    assert 1 <= len(calls.calls) <= 5


@in_virtual_time
async def test_keys_of_a_frozen_server_wait_for_its_lease_and_no_longer() -> (
    None
):
    """Guards against keys that wait for a release after the lease is over."""
    table = _owned_table()
    calls = _Recorded()
    runner = runner_of(table, calls, system_view_of(READY))
    runner.start_due()
    await asyncio.sleep(_TICK_S)
    granted_s = now_s()

    async def time_out(_address: object, _call: object, *_: object) -> None:
        await asyncio.sleep(3)
        raise TimeoutError

    calls.release = time_out  # type: ignore[method-assign]
    plan_all(table, OTHER)
    runner.address_by_holder[OTHER] = OTHER_ADDRESS
    while table.at(0).owner != OTHER:
        runner.start_due()
        await asyncio.sleep(_TICK_S)
    assert now_s() - granted_s <= _LEASE_END_S + LATEST_ARRIVAL_S
