"""The interface to the platform's table store and its errors.

Versions are those of ``store_versions``: they order transactions across
restores of the store.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


class StoreUnavailableError(Exception):
    """The store was unreachable, busy or refused; nothing was done."""


class StoreOutcomeUnknownError(Exception):
    """A write got no answer; it may still be applied seconds later."""


class HistoryLostError(Exception):
    """The changes after the given version are no longer available.

    The store has dropped them, or was restored since.
    """


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row with the version of the transaction that wrote it."""

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Rows:
    """A table's rows at a version, or the changes up to it."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """A condition did not hold.

    Attributes:
        row_by_key: the rows that are stored instead.
        version: newest version of the store.
    """

    row_by_key: Mapping[str, StoredRow]
    version: int = 0


class Store(Protocol):
    """Named tables with conditional writes and change feeds."""

    async def read(self, table: str, wait_s: float = 0) -> Rows:
        """Reads a whole table.

        Args:
            table: its name.
            wait_s: added to the usual timeout, for large tables on slow
                links.

        Raises:
            StoreUnavailableError: nothing was read.
        """

    async def changes(self, table: str, after: int, wait_s: float) -> Rows:
        """Waits for changes after a version.

        Raises:
            StoreUnavailableError: nothing was read.
            HistoryLostError: the whole table must be read again.
        """

    async def write(
        self, table: str, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes rows if the expected versions hold (number 0: no row).

        A version of an earlier era than that of the store never holds.

        Returns:
            The version of the transaction, or the conflict.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreOutcomeUnknownError: the write may be applied, even later.
        """
