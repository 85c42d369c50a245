"""What proves to the leader that a server holds no keys any more.

Guards against a key that is granted to another server while its holder still
works on it. A refused connection tells of a path at a moment, not of a process.
"""

import asyncio
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
    receive_rows,
    runner_of,
    system_view_of,
    view_of,
)
from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import CallRunner
from yuccadale_edge._internal.ownership.segments import SegmentTable
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge.instance import (
    NotSentError,
    OwnershipCall,
    Server,
    ServerState,
    StoredRow,
    WrongServerError,
)
from yuccadale_edge.ownership import CLOCK_MARGIN, Holder

_TICK_S = 0.05
_DURATION_S = 2.0
_CONNECT_S = 0.4
_REUSED = replace(READY, server_id='next', service='stage', incarnation=2)


class _RefusesAfterFirstGrant:
    """Calls to servers, of which the first stops listening when it has keys.

    Attributes:
        granted_s_by_holder: when each server accepted its first grant.
        refused: number of refused connections.
    """

    def __init__(self) -> None:
        self.granted_s_by_holder: dict[Holder, float] = {}
        self.refused = 0

    async def grant(
        self, _address: object, call: OwnershipCall, *_others: object
    ) -> None:
        """Accepts the first grant to each server."""
        if HOLDER == call.holder and self.granted_s_by_holder:
            self._refuse()
        self.granted_s_by_holder.setdefault(call.holder, now_s())

    async def release(self, *_call: object) -> None:
        """Refuses the connection."""
        self._refuse()

    def _refuse(self) -> None:
        self.refused += 1
        raise NotSentError('refused')


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _table() -> SegmentTable:
    """Returns a table in which a grant of all keys is due."""
    table = SegmentTable(1, LEASE_S, RENEW_S)
    plan_all(table, HOLDER)
    return table


async def _run_calls(
    system_view: SystemView, *, list_is_fresh: bool = True
) -> CallRunner:
    runner = runner_of(_table(), _RefusesAfterFirstGrant(), system_view)
    for _ in range(int(_DURATION_S / _TICK_S)):
        if list_is_fresh:
            receive_rows(system_view)
        runner.start_due()
        await asyncio.sleep(_TICK_S)
    return runner


def _removed_entry() -> StoredRow:
    return StoredRow('s', b'', 2, removed=True)


@pytest.mark.parametrize(
    'entry', ['ready', 'leaving', 'removed', 'removed late']
)
@pytest.mark.parametrize('list_is_fresh', [True, False])
@in_virtual_time
async def test_server_that_refuses_connections_is_not_ended(
    entry: str, *, list_is_fresh: bool
) -> None:
    """Guards against granting keys of a server behind a path that refuses."""
    state = ServerState.leaving if entry == 'leaving' else ServerState.ready
    system_view = system_view_of(replace(READY, state=state))
    if entry == 'removed':
        receive_rows(system_view, _removed_entry())
    elif entry == 'removed late':
        asyncio.get_running_loop().call_later(
            1.5, receive_rows, system_view, _removed_entry()
        )
    runner = await _run_calls(system_view, list_is_fresh=list_is_fresh)
    assert not runner.ended


@in_virtual_time
async def test_keys_of_a_silent_server_wait_for_its_lease_and_no_longer() -> (
    None
):
    """Guards against keys that wait for longer than the lease requires."""
    table = _table()
    calls = _RefusesAfterFirstGrant()
    runner = runner_of(table, calls, system_view_of(READY))
    runner.start_due()
    await asyncio.sleep(_TICK_S)
    granted_s = now_s()
    plan_all(table, OTHER)
    runner.address_by_holder[OTHER] = OTHER_ADDRESS
    while OTHER not in calls.granted_s_by_holder:
        runner.start_due()
        await asyncio.sleep(_TICK_S)
    waited_s = calls.granted_s_by_holder[OTHER] - granted_s
    lease_s = LEASE_S * CLOCK_MARGIN
    assert lease_s - 2 * _TICK_S <= waited_s <= lease_s + 2 * _TICK_S


@in_virtual_time
async def test_releases_to_a_server_that_refuses_are_spaced() -> None:
    """Guards against a connection for each tick while a lease runs out."""
    table = _table()
    calls = _RefusesAfterFirstGrant()
    runner = runner_of(table, calls, system_view_of(READY))
    runner.start_due()
    await asyncio.sleep(_TICK_S)
    plan_all(table, OTHER)
    for _ in range(int(1 / _TICK_S)):
        runner.start_due()
        await asyncio.sleep(_TICK_S)
    assert 1 <= calls.refused <= 5


class _NeverAnswered:
    """Calls that get no answer.

    Attributes:
        withdrawn: number of calls that were given up by the caller.
    """

    def __init__(self) -> None:
        self.withdrawn = 0

    async def grant(self, *_call: object) -> None:
        """Waits until the call is withdrawn."""
        try:
            await asyncio.Event().wait()
        finally:
            self.withdrawn += 1

    release = grant


@pytest.mark.parametrize('begun', [True, False])
@in_virtual_time
async def test_withdrawn_calls_may_have_been_applied(*, begun: bool) -> None:
    """Guards against two holders after the calls of a former leader.

    Also against keys that wait for a call that was withdrawn before it began.
    """
    table = _table()
    calls = _NeverAnswered()
    runner = runner_of(table, calls, system_view_of(READY))
    runner.start_due()
    if begun:
        await asyncio.sleep(_TICK_S)
    runner.withdraw()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert calls.withdrawn == int(begun)
    segment = table.at(0)
    assert not segment.in_flight
    lease_s = LEASE_S * CLOCK_MARGIN
    assert segment.lease_by_holder[HOLDER].end_s - now_s() >= lease_s


class _AnsweredByAnother:
    """Calls to an address at which another server answers."""

    async def grant(self, *_call: object) -> None:
        """Is answered by another server."""
        raise WrongServerError

    release = grant


@pytest.mark.parametrize(
    ('entries', 'ended'),
    [
        ([], False),
        ([READY], False),
        # A relay that both servers stand behind.
        ([READY, _REUSED], False),
        ([_REUSED], True),
        ([replace(READY, address=OTHER_ADDRESS), _REUSED], False),
        ([replace(READY, incarnation=2), _REUSED], True),
        # It has had the address before.
        ([replace(_REUSED, incarnation=HOLDER.incarnation)], False),
        ([replace(_REUSED, address=OTHER_ADDRESS)], False),
    ],
)
@in_virtual_time
async def test_server_whose_address_has_another_owner_is_ended(
    entries: list[Server], *, ended: bool
) -> None:
    """Guards against ending a server because of an answer by its relay.

    Guards also against keys that wait for a server whose address was given to
    another one.
    """
    runner = runner_of(_table(), _AnsweredByAnother(), view_of(entries))
    runner.start_due()
    await asyncio.sleep(_TICK_S)
    assert bool(runner.ended) == ended


class _SlowToConnect:
    """Calls that ask whether they may be sent once they have connected."""

    def __init__(self) -> None:
        self.sent = 0

    async def grant(
        self, _address: object, _call: object, _lease_s: float, may_send
    ) -> None:
        """Connects for a while and sends the grant if it still may."""
        await asyncio.sleep(_CONNECT_S)
        if not may_send():
            raise NotSentError('not permitted')
        self.sent += 1

    async def release(self, *_call: object) -> None:
        """Is not used."""


@pytest.mark.parametrize('end', ['leadership', 'server'])
@in_virtual_time
async def test_nothing_is_sent_for_what_ended_while_connecting(
    end: str,
) -> None:
    """Guards against a grant by a former leader, or to a server's next life."""
    table = _table()
    calls = _SlowToConnect()
    leading = True
    system_view = system_view_of(READY)
    runner = CallRunner(
        table,
        calls,
        system_view,
        lambda: leading,
        lambda: None,
        Metrics(),
    )
    runner.address_by_holder[HOLDER] = READY.address
    runner.start_due()
    await asyncio.sleep(_CONNECT_S / 2)
    if end == 'leadership':
        leading = False
    else:
        runner.mark_ended(HOLDER, 'the server started again')
    await asyncio.sleep(_CONNECT_S)
    assert not calls.sent
    assert system_view.availability.is_reachable(HOLDER.server_id)
