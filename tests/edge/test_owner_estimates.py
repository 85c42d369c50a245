"""The leader says when keys without an owner get one.

Load pattern: requests for keys whose owner changed after the leader did, or
ended while the store is away. The estimate was 0, and callers came back each
0.25 s for up to 6 s.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.unproven_grants import (
    LEASE_S,
    OTHER,
    OWNER,
    open_connection,
    plan,
    releases_due,
    renewed_table,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.model import Server, ServerState
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.manager import OwnershipManager
from yuccadale_edge._internal.ownership.owner_estimates import OwnerEstimates
from yuccadale_edge._internal.store import StoreUnavailableError
from yuccadale_edge._internal.system_view import OwnedRange, SystemView
from yuccadale_edge.ownership import (
    CLOCK_MARGIN,
    KEY_COUNT,
    LATEST_ARRIVAL_S,
    Holder,
    KeysRecord,
    OwnershipCall,
    Segment,
    SegmentTable,
    UnconfirmedGrant,
    record_of,
    segments_of,
)

LAST_KEY = KEY_COUNT - 1
# When the last grant of a leader that led until 0 s has expired.
LATEST_END_S = LEASE_S * CLOCK_MARGIN + LATEST_ARRIVAL_S
RENEW_S = 1.0


def _estimates(*unreachable: Holder, blocked_s: float = 0) -> OwnerEstimates:
    return OwnerEstimates(
        lambda holder: holder not in unreachable, lambda _: blocked_s
    )


def _record() -> KeysRecord:
    """Returns the record of a leader that left all keys to one server."""
    table = SegmentTable(1, LEASE_S, RENEW_S)
    plan(table, 0, LAST_KEY, OWNER)
    for call in table.calls_due(0):
        table.grant_answered(call, accepted=True, now_s=0)
    return record_of(1, table, {OWNER: ('127.0.0.1', 1)})


def _table_after_takeover() -> SegmentTable:
    """Returns a table whose keys were released after the leader changed."""
    table = SegmentTable(2, LEASE_S, RENEW_S)
    table.load(segments_of(_record(), LATEST_END_S))
    plan(table, 0, LAST_KEY, OTHER)
    for release in releases_due(table, 0.1):
        table.release_answered(release, None, 0.2)
    return table


def _segment(table: SegmentTable) -> Segment:
    segment = table.at(0)
    assert segment.owner is None
    return segment


def test_released_keys_wait_for_grants_of_the_previous_leader() -> None:
    """Guards against 'very soon' for keys without an owner for 6 s.

    Load: keys that a server released after the leader changed.
    """
    segment = _segment(_table_after_takeover())
    available_in_s = _estimates().available_in_s(segment, 1)
    assert available_in_s == pytest.approx(LATEST_END_S - 1)


def test_a_report_of_the_previous_leader_makes_an_estimate_outdated() -> None:
    """Guards against callers that stay away after a shorter wait is known."""
    table = _table_after_takeover()
    estimates = _estimates()
    estimates.publish_in_s(_segment(table), 0.2)
    assert not estimates.outdated(table.segments, 1)
    left_s = 0.5
    grant = UnconfirmedGrant(0, LAST_KEY, *OWNER, left_s)
    assert table.replace_assumed_grants(1, [grant], 1)
    assert estimates.outdated(table.segments, 1.3) == [(0, LAST_KEY)]
    published = estimates.publish_in_s(_segment(table), 1.3)
    assert published == pytest.approx(left_s - 0.3)


def test_keys_wait_for_the_lease_of_a_server_that_is_not_reached() -> None:
    """Guards against 'very soon' for the keys of a server that crashed."""
    table = renewed_table(open_connection())
    plan(table, 0, LAST_KEY, OTHER)
    releases_due(table, 2.5)
    segment = _segment(table)
    available_in_s = _estimates(OWNER).available_in_s(segment, 2.5)
    assert available_in_s == pytest.approx(LEASE_S * CLOCK_MARGIN - 0.5)
    assert not _estimates().available_in_s(segment, 2.5)


def test_keys_wait_for_grants_that_cannot_be_proven() -> None:
    """Guards against 'very soon' after a connection to a server was lost.

    A release can prove the earlier grants only on their own connection.
    """
    connection = open_connection()
    table = renewed_table(connection)
    plan(table, 0, LAST_KEY, OTHER)
    releases_due(table, 2.5)
    assert not _estimates().available_in_s(_segment(table), 2.5)
    connection.close()
    available_in_s = _estimates().available_in_s(_segment(table), 2.5)
    assert available_in_s == pytest.approx(LEASE_S * CLOCK_MARGIN - 0.5)


def test_an_earlier_process_of_the_next_owner_is_not_waited_for() -> None:
    """Guards against long estimates for a server that started again."""
    table = renewed_table(open_connection())
    table.restart_holder(OWNER, 2.5)
    plan(table, 0, LAST_KEY, Holder(OWNER.server_id, OWNER.incarnation + 1))
    segment = _segment(table)
    assert not _estimates(OWNER).available_in_s(segment, 2.5)


def test_a_call_without_an_answer_is_expected_to_take_longer() -> None:
    """Guards against 'very soon' while a server does not answer for 2 s."""
    table = renewed_table(open_connection())
    plan(table, 0, LAST_KEY, OTHER)
    releases_due(table, 2.5)
    estimates = _estimates()
    segment = _segment(table)
    assert not estimates.publish_in_s(segment, 2.5)
    assert not estimates.outdated(table.segments, 2.6)
    assert estimates.outdated(table.segments, 3)
    assert estimates.publish_in_s(segment, 4.5) == pytest.approx(2)


@given(
    st.lists(st.floats(0.01, 1), min_size=1, max_size=40),
    st.floats(0, 3),
)
def test_a_published_estimate_is_near_the_present_one(
    steps_s: list[float], blocked_s: float
) -> None:
    """Guards against estimates that are not published when they change."""
    table = _table_after_takeover()
    estimates = _estimates(blocked_s=blocked_s)
    now_s = 0.2
    published_s = now_s + estimates.publish_in_s(_segment(table), now_s)
    for step_s in steps_s:
        # The estimates are compared at this interval.
        now_s += step_s + 0.21
        if estimates.outdated(table.segments, now_s):
            published_s = now_s + estimates.publish_in_s(_segment(table), now_s)
        present_s = estimates.available_in_s(_segment(table), now_s)
        shown_s = max(published_s - now_s, 0)
        assert abs(shown_s - present_s) <= max(0.25, present_s / 4) + 1e-6


class _Servers:
    """Answers each call at once, except those to some servers."""

    def __init__(self) -> None:
        self.silent: set[str] = set()

    async def grant(
        self,
        _address: object,
        call: OwnershipCall,
        _lease_s: float,
        may_send: Callable[[], bool],
    ) -> None:
        """Answers a grant."""
        assert may_send()
        await self._answer(call)

    async def release(
        self,
        _address: object,
        call: OwnershipCall,
        may_send: Callable[[], bool],
    ) -> None:
        """Answers a release."""
        assert may_send()
        await self._answer(call)

    async def _answer(self, call: OwnershipCall) -> None:
        await asyncio.sleep(0.01)
        if call.holder.server_id in self.silent:
            async with asyncio.timeout(0.8):
                await asyncio.Event().wait()


class _Leading:
    """A leader of one service with two servers, and what it publishes.

    Attributes:
        published: the ranges with the times of their publication.
        store_away: whether no record can be written.
    """

    def __init__(self, epoch: int = 1) -> None:
        self.published: list[tuple[float, OwnedRange]] = []
        self.store_away = False
        self.servers = _Servers()
        self.view = SystemView(Mock(), Mock(), max_source_age_s=2.0)
        for holder in (OWNER, OTHER):
            self.view.servers.server_by_id[holder.server_id] = _server(holder)
        self.manager = OwnershipManager(
            'ledger',
            epoch,
            self.view,
            self.servers,
            lambda: True,
            lambda: True,
            lambda: 60.0,
            self._write,
            self._publish,
            Metrics(),
            LEASE_S,
            dict,
        )

    def end(self, holder: Holder) -> None:
        """Ends a server for good."""
        self.view.servers.server_by_id.pop(holder.server_id)
        self.manager._runner.mark_ended(holder, 'test')

    def leave(self, holder: Holder) -> None:
        """Lets a server leave."""
        self.view.servers.server_by_id[holder.server_id] = _server(
            holder, ServerState.leaving
        )

    def estimate_errors(self) -> list[float]:
        """Returns the errors of the estimates that were published.

        Each is the difference of the estimate of a range and the time until
        the range had an owner.
        """
        errors = []
        for index, (at_s, told) in enumerate(self.published):
            if told.server_id is not None:
                continue
            owned_s = next(
                later_s
                for later_s, later in self.published[index:]
                if later.server_id is not None
                and later.first <= told.first <= later.last
            )
            errors.append(told.available_in_s - (owned_s - at_s))
        return errors

    async def _write(self, _service: str, _content: bytes) -> bool:
        await asyncio.sleep(0.02)
        if self.store_away:
            raise StoreUnavailableError(TimeoutError())
        return True

    def _publish(self, _service: str, ranges: list[OwnedRange]) -> None:
        now_s = asyncio.get_running_loop().time()
        self.published += [(now_s, one) for one in ranges]


def _server(holder: Holder, state: ServerState = ServerState.ready) -> Server:
    return Server(
        holder.server_id,
        'ledger',
        (holder.server_id, 1),
        'a',
        1,
        state,
        holder.incarnation,
        0,
    )


@pytest.fixture
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> Any:
    """Lets the product read the time of the loop."""
    use_virtual_clock(monkeypatch)


@pytest.mark.usefixtures('virtual_clock')
@in_virtual_time
async def test_estimates_after_a_change_of_the_leader_come_true() -> None:
    """Guards against estimates that keys without an owner for 6 s outlast.

    Load: a server leaves just after the leader changed.
    """
    await asyncio.sleep(1)
    leading = _Leading(epoch=2)
    leading.manager.take_over(_record())
    leading.leave(OWNER)
    running = asyncio.create_task(leading.manager.run())
    await asyncio.sleep(10)
    running.cancel()
    without_owner = [
        at_s for at_s, told in leading.published if told.server_id is None
    ]
    assert without_owner
    owned_s = max(
        at_s for at_s, told in leading.published if told.server_id is not None
    )
    assert owned_s - min(without_owner) > LEASE_S
    errors = leading.estimate_errors()
    assert all(error == pytest.approx(0, abs=0.3) for error in errors)


@pytest.mark.usefixtures('virtual_clock')
@in_virtual_time
async def test_estimates_grow_while_the_store_is_away() -> None:
    """Guards against callers that return each 0.25 s while nothing is recorded.

    Load: a server ends while the store is away for 4 s.
    """
    await asyncio.sleep(1)
    leading = _Leading()
    running = asyncio.create_task(leading.manager.run())
    await asyncio.sleep(1)
    leading.store_away = True
    leading.end(OWNER)
    began_s = asyncio.get_running_loop().time()
    await asyncio.sleep(4)
    told = [
        (at_s - began_s, one.available_in_s)
        for at_s, one in leading.published
        if at_s >= began_s and one.server_id is None
    ]
    leading.store_away = False
    await asyncio.sleep(1)
    running.cancel()
    assert leading.published[-1][1].server_id == OTHER.server_id
    for away_s in (1, 2, 3):
        latest = max(one for one in told if one[0] <= away_s)
        assert away_s / 2 - 0.5 < latest[1] < away_s + 0.5
    assert len(told) < 60


@pytest.mark.usefixtures('virtual_clock')
@in_virtual_time
async def test_an_outage_of_the_store_counts_for_all_keys() -> None:
    """Guards against 'very soon' for keys that lose their owner in an outage.

    Load: two servers end, 3 s apart, while the store is away.
    """
    await asyncio.sleep(1)
    leading = _Leading()
    third = Holder('third', 1)
    leading.view.servers.server_by_id[third.server_id] = _server(third)
    running = asyncio.create_task(leading.manager.run())
    await asyncio.sleep(2)
    leading.store_away = True
    leading.end(OWNER)
    await asyncio.sleep(3)
    leading.published.clear()
    leading.end(OTHER)
    await asyncio.sleep(0.1)
    running.cancel()
    told = [one.available_in_s for _, one in leading.published]
    assert told
    assert round(min(told)) == 3
