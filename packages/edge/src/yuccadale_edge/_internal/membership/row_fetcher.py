"""Requests rows that this instance misses from its peers, page by page."""

import asyncio
from collections.abc import Callable
from math import inf

import msgspec

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import (
    ROWS_REQUEST_TOPIC,
    RowsRequest,
    RowsResponse,
    SourceRows,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.system_view import SOURCE_TABLES, SystemView
from yuccadale_edge._internal.transport.client_pool import Address

_RESPONSE_TIMEOUT_S = 1.5
# Rows are arriving while the last ones arrived within this time.
_PROGRESS_S = 1.0
# After requests that brought nothing, the next one is sent this much later.
_MIN_PAUSE_S = 0.02
_MAX_PAUSE_S = 0.4

_encode = msgspec.msgpack.Encoder().encode
_decode_response = msgspec.msgpack.Decoder(RowsResponse).decode

# Returns the peer to ask next, by the number of requests in a row that brought
# nothing; None if no peer is known.
ChooseSource = Callable[[int], Address | None]


class RowFetcher:
    """Fetches rows while this instance is behind what others have."""

    def __init__(
        self,
        system_view: SystemView,
        links: PeerLinks,
        choose_source: ChooseSource,
        apply_source: Callable[[SourceRows], None],
        metrics: Metrics,
    ) -> None:
        self._received_s_by_table: dict[str, float] = {}
        self._system_view = system_view
        self._links = links
        self._choose_source = choose_source
        self._apply_source = apply_source
        self._metrics = metrics

    @property
    def received_s(self) -> float:
        """When rows were last received, ``-inf`` before the first."""
        return max(self._received_s_by_table.values(), default=-inf)

    def makes_progress(self, table: str) -> bool:
        """Whether the missing rows of a table are arriving.

        A read of the store would bring the same rows again.
        """
        since_s = elapsed_s() - self._received_s_by_table.get(table, -inf)
        status = self._system_view.status_by_table[table]
        return status.is_behind and since_s < _PROGRESS_S

    async def run(self) -> None:
        """Fetches rows until cancelled.

        A table does not wait for the rows of another one.
        """
        async with asyncio.TaskGroup() as group:
            for table in SOURCE_TABLES:
                group.create_task(self._follow(table))

    async def _follow(self, table: str) -> None:
        while True:
            await self._catch_up(table)
            await self._system_view.wait_for_announcement()

    async def _catch_up(self, table: str) -> None:
        status = self._system_view.status_by_table[table]
        failures = 0
        pause_s = _MIN_PAUSE_S
        while status.is_behind:
            if await self._fetch(table, failures):
                failures = 0
                pause_s = _MIN_PAUSE_S
                continue
            failures += 1
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)

    async def _fetch(self, table: str, failures: int) -> bool:
        """Requests one page; returns whether it brought this instance on."""
        address = self._choose_source(failures)
        if address is None:
            return False
        before = self._system_view.status_by_table[table].version
        try:
            response = await self._links.request(
                address,
                ROWS_REQUEST_TOPIC,
                _encode(RowsRequest(table, before)),
                _RESPONSE_TIMEOUT_S,
                _decode_if_known,
            )
        except (PeerUnreachableError, LinkLostError):
            self._metrics.count('row_requests', table=table, outcome='failed')
            return False
        if response is None or response.source is None:
            self._metrics.count('row_requests', table=table, outcome='empty')
            return False
        self._metrics.count('row_requests', table=table, outcome='received')
        self._apply_source(response.source)
        self._received_s_by_table[table] = elapsed_s()
        return self._system_view.status_by_table[table].version > before


def _decode_if_known(body: bytes) -> RowsResponse | None:
    """Decodes a response; it is empty if the peer runs an earlier version."""
    return _decode_response(body) if body else None
