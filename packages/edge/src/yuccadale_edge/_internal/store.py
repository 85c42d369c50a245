"""The platform's table as the product uses it, and its failures."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


class StoreUnavailableError(Exception):
    """The store did nothing: it was unreachable, refused or was busy."""


class StoreOutcomeUnknownError(Exception):
    """A write got no answer; it may be applied, also some seconds later."""


class HistoryLostError(Exception):
    """The changes since the asked version are no longer available."""


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row; ``version`` is that of the transaction that wrote it."""

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows of one table as of ``version``, or changes up to it."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """A condition did not hold; the rows are those that are there."""

    row_by_key: Mapping[str, StoredRow]


class Store(Protocol):
    """Conditional writes and change feeds of named tables."""

    async def read(self, table: str, wait_s: float = 0) -> Rows:
        """Reads a whole table.

        Args:
            table: its name.
            wait_s: how much later than usual an answer may come, as that of
                a large table over a slow link does.

        Raises:
            StoreUnavailableError: nothing was read.
        """

    async def changes(self, table: str, after: int, wait_s: float) -> Rows:
        """Waits for changes after a version.

        Raises:
            StoreUnavailableError: nothing was read.
            HistoryLostError: the table has to be read anew.
        """

    async def write(
        self, table: str, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes rows if the expected versions hold (0: no row).

        Returns:
            The version of the transaction, or the conflict.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreOutcomeUnknownError: the write may be applied, or later.
        """
