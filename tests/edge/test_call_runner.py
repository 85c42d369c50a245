"""What refused connections prove about a server.

Guards against a key that is given on while its last holder still works on
it: trouble-3 of klatka-gw with seed 380839284994 (OWNER 1), where a server
that left during an outage of the store had stopped listening.
"""

import asyncio
from dataclasses import replace

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.system_view import SERVER_TABLE, SystemView
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import CallRunner
from yuccadale_edge._internal.ownership.segments import SegmentTable
from yuccadale_edge._internal.transport.client_pool import PortClosedError
from yuccadale_edge.instance import Rows, Server, ServerState, StoredRow
from yuccadale_edge.ownership import Holder

HOLDER = Holder('s', 1)
RENEW_S = 1.4
# A server's entry is removed about 2.6 s after it fell silent; two refusals
# have to come well before, though renewals are 1.4 s apart.
_TICK_S = 0.05
_WITHIN_S = 2.0
_READY = Server('s', 'ledger', ('10.0.0.1', 1), 'a', 2, ServerState.ready, 1, 0)


class _StopsListening:
    """Calls to a server that takes its first grant and no connection more."""

    def __init__(self) -> None:
        self._granted = False

    async def grant(self, *_call: object) -> None:
        """Is refused, but for the first one."""
        if self._granted:
            raise PortClosedError('refused')
        self._granted = True

    async def release(self, *_call: object) -> None:
        """Is refused."""
        raise PortClosedError('refused')


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _system_view(server: Server) -> SystemView:
    system_view = SystemView(lambda _: None, lambda *_: server)  # type: ignore
    _hear(system_view, StoredRow('s', b'{}', 1))
    return system_view


def _hear(system_view: SystemView, *rows: StoredRow) -> None:
    system_view.apply_rows(
        SERVER_TABLE, Rows(rows, 1), full_snapshot=False, removal_grace=True
    )


async def _refused_twice(
    system_view: SystemView, *, hears: bool = True
) -> CallRunner:
    table = SegmentTable(1, 4.5, RENEW_S)
    table.plan(0, 65535, HOLDER)
    table.mark_recorded(table.reserve_fences())
    runner = CallRunner(
        table,
        _StopsListening(),
        system_view,
        lambda: True,
        lambda: None,
        Metrics(),
    )
    runner.address_by_holder[HOLDER] = _READY.address
    for _ in range(int(_WITHIN_S / _TICK_S)):
        if hears:
            _hear(system_view)
        runner.start_due()
        await asyncio.sleep(_TICK_S)
    return runner


@in_virtual_time
async def test_a_server_that_stays_has_ended() -> None:
    """Guards against keys of a crashed server that wait for the lease."""
    runner = await _refused_twice(_system_view(_READY))
    assert runner.ended == {HOLDER}


@in_virtual_time
async def test_a_leaving_server_may_be_at_work() -> None:
    """Guards against a grant past a server that only stopped listening."""
    leaving = replace(_READY, state=ServerState.leaving)
    runner = await _refused_twice(_system_view(leaving))
    assert not runner.ended


@in_virtual_time
async def test_an_entry_that_lapsed_says_nothing() -> None:
    """Guards against a server that left without saying so."""
    system_view = _system_view(_READY)
    _hear(system_view, StoredRow('s', b'', 2, removed=True))
    runner = await _refused_twice(system_view)
    assert not runner.ended


@in_virtual_time
async def test_a_crash_is_proved_after_its_entry_was_removed() -> None:
    """Guards against hot keys of a crashed server that wait for the lease.

    klatka-gw-grown trouble-1: entries are removed 1.7 s after a crash, and a
    server that leaves goes on listening for 2 s after that.
    """
    system_view = _system_view(_READY)
    asyncio.get_running_loop().call_later(
        1.5, _hear, system_view, StoredRow('s', b'', 2, removed=True)
    )
    runner = await _refused_twice(system_view)
    assert runner.ended == {HOLDER}


@in_virtual_time
async def test_an_old_list_says_nothing() -> None:
    """Guards against a server that left during an outage of the store."""
    runner = await _refused_twice(_system_view(_READY), hears=False)
    assert not runner.ended
