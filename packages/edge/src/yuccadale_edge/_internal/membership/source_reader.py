"""Follows the store's source tables and hands their rows on."""

import asyncio
from collections.abc import Callable

import structlog

from yuccadale_edge._internal.system_view import REMOVAL_GRACE_S, SystemView
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.store import (
    HistoryLostError,
    Rows,
    Store,
    StoreUnavailableError,
)

_log = structlog.get_logger()

# A connection can go silent for good, which only this bound shows; it leaves
# time to read again within the time that a configuration has to take effect.
_WAIT_S = 1.2
# Readings of whole tables by many instances at once share a link between
# regions; giving up earlier would only fill it with repetitions.
_WHOLE_TABLE_S = 2.5
_FIRST_PAUSE_S = 0.2
_LONGEST_PAUSE_S = 0.8
_IDLE_CHECK_S = 0.1

OnRows = Callable[[str, Rows, int, bool], None]


class StoreContact:
    """When the store last answered this instance."""

    def __init__(self) -> None:
        self.answered_s: float = 0

    def age_s(self) -> float:
        """Returns the time since the store answered."""
        return elapsed_s() - self.answered_s

    def note(self) -> None:
        """Notes an answer."""
        self.answered_s = elapsed_s()


class SourceReader:
    """Reads one source table while somebody has to."""

    def __init__(
        self,
        table: str,
        store: Store,
        system_view: SystemView,
        contact: StoreContact,
        metrics: Metrics,
        needed: Callable[[], bool],
        on_rows: OnRows,
    ) -> None:
        self._table = table
        self._store = store
        self._system_view = system_view
        self._contact = contact
        self._metrics = metrics
        self._needed = needed
        self._on_rows = on_rows
        self._failing_since_s: float | None = None
        self._removal_grace_until_s: float = 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        pause_s = _FIRST_PAUSE_S
        while True:
            if not self._needed():
                await asyncio.sleep(_IDLE_CHECK_S)
                continue
            try:
                await self._step()
            except StoreUnavailableError as error:
                self._failed(str(error))
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
            else:
                pause_s = _FIRST_PAUSE_S

    async def _step(self) -> None:
        after = self._system_view.version_by_table[self._table]
        full_snapshot = after == 0
        if not full_snapshot:
            try:
                rows = await self._store.changes(self._table, after, _WAIT_S)
            except HistoryLostError:
                _log.warning(
                    'change history lost, table is read anew',
                    table=self._table,
                    version=after,
                )
                full_snapshot = True
        if full_snapshot:
            rows = await self._store.read(self._table, _WHOLE_TABLE_S)
        self._succeeded()
        grace = elapsed_s() < self._removal_grace_until_s
        before = self._system_view.version_by_table[self._table]
        self._system_view.apply_rows(
            self._table, rows, full_snapshot=full_snapshot, removal_grace=grace
        )
        self._on_rows(self._table, rows, before, grace)

    def _failed(self, reason: str) -> None:
        self._metrics.count('store_failures', table=self._table)
        if self._failing_since_s is None:
            self._failing_since_s = elapsed_s()
            _log.warning('store lost', table=self._table, reason=reason)

    def _succeeded(self) -> None:
        self._contact.note()
        if self._failing_since_s is not None:
            now_s = elapsed_s()
            _log.info(
                'store regained',
                table=self._table,
                after_s=round(now_s - self._failing_since_s, 2),
            )
            self._failing_since_s = None
            self._removal_grace_until_s = now_s + REMOVAL_GRACE_S
