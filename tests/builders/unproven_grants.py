"""Connections without a network, and the leases of grants sent on them."""

import asyncio
from unittest import mock

from yuccadale_edge._internal.transport.client_connection import (
    ClientConnection,
)
from yuccadale_edge._internal.transport.held_bytes import HeldBytes
from yuccadale_edge._internal.transport.parse_scheduler import ParseScheduler
from yuccadale_edge.ownership import (
    KEY_COUNT,
    CallKind,
    Holder,
    OwnershipCall,
    SegmentTable,
)

LEASE_S = 5.0
RENEW_S = 1.0
OWNER = Holder('owner', 1)
OTHER = Holder('other', 1)


def open_connection() -> ClientConnection:
    """Returns an open, idle connection."""
    connection = ClientConnection(
        mock.Mock(spec=asyncio.AbstractEventLoop),
        HeldBytes(),
        ParseScheduler(),
    )
    transport = mock.MagicMock(spec=asyncio.Transport)
    transport.is_closing.return_value = False
    connection.connection_made(transport)
    return connection


def plan(table: SegmentTable, first: int, last: int, target: Holder) -> None:
    """Plans and records a move."""
    table.plan(first, last, target)
    table.mark_recorded(table.reserve_fences())


def answer_grants(
    table: SegmentTable, connection: ClientConnection, now_s: float
) -> None:
    """Lets each grant that is due be answered on the connection."""
    for call in table.calls_due(now_s):
        assert call.kind == CallKind.grant
        table.grant_answered(
            call,
            accepted=True,
            now_s=now_s,
            delivery=connection.note_delivery(),
        )


def renewed_table(connection: ClientConnection) -> SegmentTable:
    """Returns a table with one owner: granted at 0 s, renewed at 2 s."""
    table = SegmentTable(1, LEASE_S, RENEW_S)
    plan(table, 0, KEY_COUNT - 1, OWNER)
    answer_grants(table, connection, 0)
    answer_grants(table, connection, 2)
    return table


def releases_due(table: SegmentTable, now_s: float) -> list[OwnershipCall]:
    """Returns the releases that are due; no grant is."""
    calls = table.calls_due(now_s)
    assert {call.kind for call in calls} <= {CallKind.release}
    return calls


def granted_holders(table: SegmentTable, now_s: float) -> list[Holder]:
    """Returns the servers to which grants are due."""
    return [
        call.holder
        for call in table.calls_due(now_s)
        if call.kind == CallKind.grant
    ]
