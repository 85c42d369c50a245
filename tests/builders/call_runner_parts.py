"""A call runner with one server, whose calls a test answers."""

import asyncio

from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import (
    CallRunner,
    ServerCalls,
)
from yuccadale_edge._internal.ownership.segments import SegmentTable
from yuccadale_edge._internal.system_view import SERVER_TABLE, SystemView
from yuccadale_edge.instance import Rows, Server, ServerState, StoredRow
from yuccadale_edge.ownership import KEY_COUNT, Holder

HOLDER = Holder('s', 1)
OTHER = Holder('other', 1)
LEASE_S = 4.5
RENEW_S = 1.4
OTHER_ADDRESS = ('10.0.0.2', 1)
READY = Server('s', 'ledger', ('10.0.0.1', 1), 'a', 2, ServerState.ready, 1, 0)


def system_view_of(server: Server) -> SystemView:
    """Returns a view with the entry of the server."""
    system_view = SystemView(
        lambda _: None,  # type: ignore[arg-type, return-value]
        lambda *_: server,
        max_source_age_s=2.0,
    )
    receive_rows(system_view, StoredRow('s', b'{}', 1))
    return system_view


def view_of(servers: list[Server]) -> SystemView:
    """Returns a view of a list of other servers."""
    server_by_id = {server.server_id: server for server in servers}
    system_view = SystemView(
        lambda _: None,  # type: ignore[arg-type, return-value]
        lambda server_id, _: server_by_id[server_id],
        max_source_age_s=2.0,
    )
    rows = [StoredRow(server_id, b'{}', 1) for server_id in server_by_id]
    receive_rows(system_view, *rows)
    return system_view


def runner_of(
    table: SegmentTable, calls: ServerCalls, system_view: SystemView
) -> CallRunner:
    """Returns a runner that knows the address of the server."""
    runner = CallRunner(
        table, calls, system_view, lambda: True, lambda: None, Metrics()
    )
    runner.address_by_holder[HOLDER] = READY.address
    return runner


def plan_all(table: SegmentTable, target: Holder) -> None:
    """Plans and records a move of all keys."""
    table.plan(0, KEY_COUNT - 1, target)
    table.mark_recorded(table.reserve_fences())


def now_s() -> float:
    """Returns the time of the loop."""
    return asyncio.get_running_loop().time()


def receive_rows(system_view: SystemView, *rows: StoredRow) -> None:
    """Applies rows of the server table that the store has just confirmed."""
    system_view.apply_rows(
        SERVER_TABLE,
        Rows(rows, 1),
        full_snapshot=False,
        removal_grace=True,
        confirmed_s=asyncio.get_running_loop().time(),
    )
