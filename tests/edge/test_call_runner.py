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
from yuccadale_edge._internal.beliefs import SERVER_TABLE, Beliefs
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import CallRunner
from yuccadale_edge._internal.ownership.segments import SegmentTable
from yuccadale_edge._internal.transport.client_pool import PortClosedError
from yuccadale_edge.instance import Rows, Server, ServerState, StoredRow
from yuccadale_edge.ownership import Holder

HOLDER = Holder('s', 1)
_READY = Server('s', 'ledger', ('10.0.0.1', 1), 'a', 2, ServerState.ready, 1, 0)


class _Refused:
    """Calls to an address at which nothing listens."""

    async def grant(self, *_call: object) -> None:
        """Is refused."""
        raise PortClosedError('refused')

    async def release(self, *_call: object) -> None:
        """Is refused."""
        raise PortClosedError('refused')


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _beliefs(server: Server) -> Beliefs:
    beliefs = Beliefs(lambda _: None, lambda *_: server)  # type: ignore
    _hear(beliefs, StoredRow('s', b'{}', 1))
    return beliefs


def _hear(beliefs: Beliefs, *rows: StoredRow) -> None:
    beliefs.apply_rows(
        SERVER_TABLE, Rows(rows, 1), whole=False, lapsed_grace=True
    )


async def _refused_twice(beliefs: Beliefs, pause_s: float = 0.4) -> CallRunner:
    table = SegmentTable(1, 4.5, 1.4)
    table.plan(0, 65535, HOLDER)
    table.mark_recorded(table.reserve_fences())
    runner = CallRunner(
        table, _Refused(), beliefs, lambda: True, lambda: None, Metrics()
    )
    runner.address_by_holder[HOLDER] = _READY.address
    for _ in range(2):
        runner.start_due(0)
        await asyncio.sleep(pause_s)
    return runner


@in_virtual_time
async def test_a_server_that_stays_has_ended() -> None:
    """Guards against keys of a crashed server that wait for the lease."""
    runner = await _refused_twice(_beliefs(_READY))
    assert runner.ended == {HOLDER}


@in_virtual_time
async def test_a_leaving_server_may_be_at_work() -> None:
    """Guards against a grant past a server that only stopped listening."""
    leaving = replace(_READY, state=ServerState.leaving)
    runner = await _refused_twice(_beliefs(leaving))
    assert not runner.ended


@in_virtual_time
async def test_an_entry_that_lapsed_says_nothing() -> None:
    """Guards against a server that left without saying so."""
    beliefs = _beliefs(_READY)
    _hear(beliefs, StoredRow('s', b'', 2, removed=True))
    runner = await _refused_twice(beliefs)
    assert not runner.ended


@in_virtual_time
async def test_an_old_list_says_nothing() -> None:
    """Guards against a server that left during an outage of the store."""
    beliefs = _beliefs(_READY)
    await asyncio.sleep(3)
    runner = await _refused_twice(beliefs)
    assert not runner.ended
