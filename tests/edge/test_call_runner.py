"""When refused connections prove that a server has stopped.

Guards against a key that is granted to another server while its holder still
works on it. A server that leaves stops listening before its last requests are
done, and during a store outage its entry does not say that it leaves.
"""

import asyncio
from dataclasses import replace

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import CallRunner
from yuccadale_edge._internal.ownership.segments import SegmentTable
from yuccadale_edge._internal.system_view import SERVER_TABLE, SystemView
from yuccadale_edge._internal.transport.client_pool import PortClosedError
from yuccadale_edge.instance import (
    NotSentError,
    Rows,
    Server,
    ServerState,
    StoredRow,
)
from yuccadale_edge.ownership import Holder

HOLDER = Holder('s', 1)
RENEW_S = 1.4
# A server's entry is removed about 2.6 s after its last heartbeat. Two refusals
# must come well before, although renewals are 1.4 s apart.
_TICK_S = 0.05
_DURATION_S = 2.0
_CONNECT_S = 0.4
_READY = Server('s', 'ledger', ('10.0.0.1', 1), 'a', 2, ServerState.ready, 1, 0)


class _RefusesAfterFirstGrant:
    """Calls to a server that stops listening after its first grant."""

    def __init__(self) -> None:
        self._granted = False

    async def grant(self, *_call: object) -> None:
        """Accepts the first grant and refuses all later connections."""
        if self._granted:
            raise PortClosedError('refused')
        self._granted = True

    async def release(self, *_call: object) -> None:
        """Refuses the connection."""
        raise PortClosedError('refused')


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _system_view(server: Server) -> SystemView:
    system_view = SystemView(
        lambda _: None,  # type: ignore[arg-type, return-value]
        lambda *_: server,
        max_source_age_s=2.0,
    )
    _receive(system_view, StoredRow('s', b'{}', 1))
    return system_view


def _receive(system_view: SystemView, *rows: StoredRow) -> None:
    system_view.apply_rows(
        SERVER_TABLE,
        Rows(rows, 1),
        full_snapshot=False,
        removal_grace=True,
        confirmed_s=asyncio.get_running_loop().time(),
    )


def _table() -> SegmentTable:
    """Returns a table in which a grant of all keys is due."""
    table = SegmentTable(1, 4.5, RENEW_S)
    table.plan(0, 65535, HOLDER)
    table.mark_recorded(table.reserve_fences())
    return table


async def _run_calls(
    system_view: SystemView, *, list_is_fresh: bool = True
) -> CallRunner:
    table = _table()
    runner = CallRunner(
        table,
        _RefusesAfterFirstGrant(),
        system_view,
        lambda: True,
        lambda: None,
        Metrics(),
    )
    runner.address_by_holder[HOLDER] = _READY.address
    for _ in range(int(_DURATION_S / _TICK_S)):
        if list_is_fresh:
            _receive(system_view)
        runner.start_due()
        await asyncio.sleep(_TICK_S)
    return runner


@in_virtual_time
async def test_ready_server_that_refuses_twice_is_ended() -> None:
    """Guards against waiting for the lease of a crashed server."""
    runner = await _run_calls(_system_view(_READY))
    assert runner.ended == {HOLDER}


@in_virtual_time
async def test_leaving_server_is_not_ended() -> None:
    """Guards against granting keys of a server that only stopped listening."""
    leaving = replace(_READY, state=ServerState.leaving)
    runner = await _run_calls(_system_view(leaving))
    assert not runner.ended


@in_virtual_time
async def test_server_with_removed_entry_is_not_ended() -> None:
    """Guards against granting keys of a server that left unannounced."""
    system_view = _system_view(_READY)
    _receive(system_view, StoredRow('s', b'', 2, removed=True))
    runner = await _run_calls(system_view)
    assert not runner.ended


@in_virtual_time
async def test_crash_is_detected_after_the_entry_was_removed() -> None:
    """Guards against waiting for the lease of a crashed server.

    Its entry may be removed 1.7 s after the crash, before the second refusal.
    A leaving server would listen for 2 s after that.
    """
    system_view = _system_view(_READY)
    asyncio.get_running_loop().call_later(
        1.5, _receive, system_view, StoredRow('s', b'', 2, removed=True)
    )
    runner = await _run_calls(system_view)
    assert runner.ended == {HOLDER}


@in_virtual_time
async def test_server_is_not_ended_by_an_outdated_list() -> None:
    """Guards against granting keys of a server that left during an outage."""
    runner = await _run_calls(_system_view(_READY), list_is_fresh=False)
    assert not runner.ended


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
    runner = CallRunner(
        table,
        calls,
        _system_view(_READY),
        lambda: leading,
        lambda: None,
        Metrics(),
    )
    runner.address_by_holder[HOLDER] = _READY.address
    runner.start_due()
    await asyncio.sleep(_CONNECT_S / 2)
    if end == 'leadership':
        leading = False
    else:
        runner.mark_ended(HOLDER, 'the server started again')
    await asyncio.sleep(_CONNECT_S)
    assert not calls.sent
