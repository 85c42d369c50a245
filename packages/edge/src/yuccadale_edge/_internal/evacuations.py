"""Data centres whose servers get no requests, by request of the operators.

Each request is a row of the configuration's table; the data centre returns when
the row is removed. Removed rows are kept, so that an older copy of the row that
arrives late does not evacuate the data centre again.
"""

from collections.abc import Callable, Iterable

import structlog

from yuccadale_edge._internal.store import StoredRow
from yuccadale_edge._internal.store_versions import version_text

_log = structlog.get_logger()

# Returns the data centre that the row with a key evacuates, None if the row is
# of another kind.
EvacuatedDataCentre = Callable[[str], str | None]


def no_evacuations(_key: str) -> None:
    """Finds no request to evacuate in any row."""


def _ignore_end(_data_centre: str) -> None:
    """Does nothing when an evacuation ends."""


class Evacuations:
    """The data centres that are evacuated at present.

    Attributes:
        data_centres: their names; the set changes in place.
        row_by_key: the latest rows, also removed ones.
    """

    def __init__(
        self,
        data_centre_of: EvacuatedDataCentre,
        on_end: Callable[[str], None] = _ignore_end,
    ) -> None:
        """Creates the state of one instance.

        Args:
            data_centre_of: finds the requests to evacuate.
            on_end: called with the data centre when an evacuation has ended,
                also if its begin was not known here.
        """
        self.data_centres: set[str] = set()
        self.row_by_key: dict[str, StoredRow] = {}
        self._data_centre_of = data_centre_of
        self._on_end = on_end

    def contains_row(self, row: StoredRow) -> bool:
        """Whether a row requests an evacuation, or has requested one."""
        return self._data_centre_of(row.key) is not None

    def apply(self, row: StoredRow) -> bool:
        """Applies a row unless a newer one is known.

        Returns:
            Whether a data centre was evacuated or returned.
        """
        known = self.row_by_key.get(row.key)
        if known is not None and row.version <= known.version:
            return False
        self.row_by_key[row.key] = row
        data_centre = self._data_centre_of(row.key)
        if data_centre is None:
            return False
        if row.removed:
            self._on_end(data_centre)
        if row.removed == (data_centre not in self.data_centres):
            return False
        if row.removed:
            self.data_centres.discard(data_centre)
        else:
            self.data_centres.add(data_centre)
        _log.info(
            'evacuation ended' if row.removed else 'data centre evacuated',
            data_centre=data_centre,
            version=version_text(row.version),
        )
        return True

    def removals_of_missing(
        self, rows: Iterable[StoredRow], version: int
    ) -> list[StoredRow]:
        """Returns removals of the rows that a whole table lacks."""
        present = {row.key for row in rows}
        return [
            StoredRow(key, b'', version, removed=True)
            for key, row in self.row_by_key.items()
            if not row.removed and key not in present
        ]
