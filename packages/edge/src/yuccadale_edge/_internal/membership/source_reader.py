"""Reads the source tables of the store and passes their rows on."""

import asyncio
from collections.abc import Callable

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.store import (
    HistoryLostError,
    Rows,
    Store,
    StoreUnavailableError,
)
from yuccadale_edge._internal.store_versions import era_of, version_text
from yuccadale_edge._internal.system_view import REMOVAL_GRACE_S, SystemView

_log = structlog.get_logger()

# Many instances that read whole tables at once share a link between regions;
# a shorter timeout would fill the link with retries.
_TABLE_READ_TIMEOUT_S = 2.5
_MIN_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 0.8
_IDLE_CHECK_INTERVAL_S = 0.1

OnRows = Callable[[str, Rows, int, bool], None]


class StoreContact:
    """Time of the last answer of the store to this instance."""

    def __init__(self) -> None:
        self.answered_s: float = 0

    def age_s(self) -> float:
        """Returns the time since the last answer."""
        return elapsed_s() - self.answered_s

    def record_answer(self) -> None:
        """Records that the store answered now."""
        self.answered_s = elapsed_s()


class SourceReader:
    """Reads one source table while this instance has to."""

    def __init__(
        self,
        table: str,
        store: Store,
        system_view: SystemView,
        contact: StoreContact,
        metrics: Metrics,
        read_wait_s: Callable[[str], float | None],
        on_rows: OnRows,
    ) -> None:
        """Creates a reader.

        Args:
            table: name of the table.
            store: the store.
            system_view: gets the rows.
            contact: gets the time of each answer of the store.
            metrics: counts failures.
            read_wait_s: returns for how long a read of the table waits for
                changes, None while this instance does not have to read it.
            on_rows: called after each read with the table, the rows with
                their effect here, the version before them and whether removed
                servers are kept for a grace period.
        """
        self.table = table
        self._store = store
        self._system_view = system_view
        self._contact = contact
        self._metrics = metrics
        self._read_wait_s = read_wait_s
        self._on_rows = on_rows
        self._failing_since_s: float | None = None
        self._removal_grace_until_s: float = 0
        # Reads in a row for which the change history was lost.
        self._history_losses = 0

    async def run(self) -> None:
        """Reads the table and its changes until cancelled."""
        backoff_s = _MIN_BACKOFF_S
        while True:
            wait_s = self._read_wait_s(self.table)
            if wait_s is None:
                await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)
                continue
            try:
                await self._read_once(wait_s)
            except StoreUnavailableError as error:
                self._record_failure(str(error))
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
            else:
                backoff_s = _MIN_BACKOFF_S

    async def _read_once(self, wait_s: float) -> None:
        status = self._system_view.status_by_table[self.table]
        confirmed_s = elapsed_s()
        rows = None
        if status.version:
            rows = await self._read_changes(status.version, wait_s)
        full_snapshot = rows is None
        if rows is None:
            confirmed_s = elapsed_s()
            rows = await self._store.read(self.table, _TABLE_READ_TIMEOUT_S)
        elif not rows.rows and elapsed_s() - confirmed_s >= wait_s:
            # The store answered after the wait.
            confirmed_s += wait_s
        self._record_success()
        before = status.version
        if before and era_of(before) < era_of(rows.version):
            self._handle_restore(before, rows.version)
        grace = elapsed_s() < self._removal_grace_until_s
        applied = self._system_view.apply_rows(
            self.table,
            rows,
            full_snapshot=full_snapshot,
            removal_grace=grace,
            confirmed_s=confirmed_s,
        )
        self._on_rows(self.table, Rows(applied, rows.version), before, grace)

    async def _read_changes(self, after: int, wait_s: float) -> Rows | None:
        """Returns the changes after a version, None if their history is lost.

        Raises:
            StoreUnavailableError: nothing was read.
        """
        try:
            rows = await self._store.changes(self.table, after, wait_s)
        except HistoryLostError:
            await self._handle_history_loss(after)
            return None
        self._history_losses = 0
        return rows

    async def _handle_history_loss(self, version: int) -> None:
        """Counts a loss; pauses if the last read ended in the same way."""
        self._metrics.count('history_losses', table=self.table)
        if self._history_losses:
            await asyncio.sleep(
                min(_MIN_BACKOFF_S * self._history_losses, _MAX_BACKOFF_S)
            )
        else:
            _log.warning(
                'change history lost, reading the whole table',
                table=self.table,
                version=version_text(version),
            )
        self._history_losses += 1

    def _handle_restore(self, before: int, version: int) -> None:
        self._metrics.count('store_restores', table=self.table)
        self._metrics.gauge('store_era', era_of(version))
        _log.warning(
            'table read again after a restore of the store',
            table=self.table,
            version_before=version_text(before),
            version=version_text(version),
        )
        # Servers that registered after the copy was made write again.
        self._removal_grace_until_s = elapsed_s() + REMOVAL_GRACE_S

    def _record_failure(self, reason: str) -> None:
        self._metrics.count('store_failures', table=self.table)
        if self._failing_since_s is None:
            self._failing_since_s = elapsed_s()
            _log.warning('store lost', table=self.table, reason=reason)

    def _record_success(self) -> None:
        self._contact.record_answer()
        if self._failing_since_s is not None:
            now_s = elapsed_s()
            _log.info(
                'store regained',
                table=self.table,
                after_s=round(now_s - self._failing_since_s, 2),
            )
            self._failing_since_s = None
            self._removal_grace_until_s = now_s + REMOVAL_GRACE_S
