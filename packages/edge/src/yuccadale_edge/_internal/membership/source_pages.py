"""Rows of the source tables that an instance sends to another, in pages.

All rows of a large system take seconds on the link of a small machine. A page
is read by its receiver before the next one is requested, so that a slow link
delays rows and nothing else.
"""

from bisect import bisect_right
from collections.abc import Sequence
from math import inf

import msgspec

from yuccadale_edge._internal.membership.messages import (
    RowsRequest,
    RowsResponse,
    SourceRow,
    SourceRows,
    encode_source_row,
)
from yuccadale_edge._internal.system_view import SERVER_TABLE, SystemView

PAGE_BYTES = 16 * 1024
# Of a row besides its content.
_ROW_BYTES = 40

_encode = msgspec.msgpack.Encoder().encode
_decode_request = msgspec.msgpack.Decoder(RowsRequest).decode


def size_of(rows: Sequence[SourceRow]) -> int:
    """Returns the approximate size of rows in a message, in bytes."""
    return sum(map(_row_size, rows))


class SourcePages:
    """The rows that this instance has, in the order of their versions."""

    def __init__(self, system_view: SystemView) -> None:
        self._system_view = system_view
        self._servers: list[SourceRow] = []
        self._server_versions: list[int] = []
        self._servers_revision = -1

    def page(
        self, table: str, after: int, max_bytes: float = PAGE_BYTES
    ) -> SourceRows:
        """Returns rows that changed after a version, the oldest first.

        Args:
            table: a source table. The operators' rows are never divided.
            after: a version of it.
            max_bytes: where to end. Rows of one version stay together.

        Returns:
            The rows. Their version is that of this instance if they are all.
        """
        version = self._system_view.status_by_table[table].version
        if table != SERVER_TABLE:
            rows = [
                encode_source_row(row)
                for row in self._system_view.operator_rows()
                if row.version > after
            ]
            return SourceRows(table, after, version, False, rows)
        self._sort_servers()
        begin = bisect_right(self._server_versions, after)
        end = self._page_end(begin, max_bytes)
        if end < len(self._servers):
            version = min(version, self._server_versions[end - 1])
        return SourceRows(
            table, after, version, False, self._servers[begin:end]
        )

    def changes(self, table: str, after: int) -> SourceRows:
        """Returns all rows that changed after a version."""
        return self.page(table, after, inf)

    def answer(self, body: bytes) -> bytes:
        """Answers the request of another instance for rows."""
        request = _decode_request(body)
        status = self._system_view.status_by_table.get(request.table)
        if status is None:
            return _encode(RowsResponse(None))
        page = self.page(request.table, request.after)
        # Rows that arrived after a gap are later than the version here.
        newer = page.rows or status.version > request.after
        return _encode(RowsResponse(page if newer else None))

    def _sort_servers(self) -> None:
        servers = self._system_view.servers
        if self._servers_revision == servers.revision:
            return
        self._servers_revision = servers.revision
        self._servers = sorted(
            map(encode_source_row, servers.row_by_id.values()), key=_version
        )
        self._server_versions = [row.version for row in self._servers]

    def _page_end(self, begin: int, max_bytes: float) -> int:
        size: float = 0
        last_version = None
        for index, row in enumerate(self._servers[begin:], begin):
            size += _row_size(row)
            if size > max_bytes and last_version not in {None, row.version}:
                return index
            last_version = row.version
        return len(self._servers)


def _row_size(row: SourceRow) -> int:
    return _ROW_BYTES + len(row.key) + len(row.content or b'')


def _version(row: SourceRow) -> int:
    return row.version
