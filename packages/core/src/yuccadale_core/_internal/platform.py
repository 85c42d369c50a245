"""Interfaces to the platform: table, objects and the list of instances.

The protocol of a real platform sits behind these interfaces; one adapter
module changes when it does.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from expression import Result


class TableFailureKind(StrEnum):
    """Why a table operation gave no result."""

    conflict = 'conflict'
    unavailable = 'unavailable'
    # The write may or may not have taken effect; reading resolves it.
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Attributes:
        name: path-like name, such as ``group/ledger/lodz-a/0``.
        version: 1 for the first write, one more for each later one.
        text: the stored value.
        write_id: id of the write that made this version.
    """

    name: str
    version: int
    text: str
    write_id: str


@dataclass(frozen=True, slots=True)
class TableFailure:
    """A failed table operation; ``row`` is the winner of a conflict."""

    kind: TableFailureKind
    detail: str
    row: Row | None = None


class Table(Protocol):
    """Conditional writes on named rows."""

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        """Reads one row; None when it does not exist."""

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        """Reads all rows whose names start with the prefix, by name."""

    async def write(
        self,
        name: str,
        text: str,
        *,
        expected_version: int,
        write_id: str,
    ) -> Result[Row, TableFailure]:
        """Writes a row if its version is the expected one (0: no row)."""


class Objects(Protocol):
    """Whole objects by name, never changed once written."""

    async def get(self, name: str) -> Result[bytes | None, TableFailure]:
        """Reads an object; None when it does not exist."""

    async def put(self, name: str, body: bytes) -> Result[None, TableFailure]:
        """Writes an object."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the platform's lagging list.

    Attributes:
        name: unique name of the machine.
        kind: ``entry`` or ``server``.
        data_centre: where it runs.
        rack: failure domain inside the data centre.
        service: the service of a server, empty for an entry instance.
        address: ``host:port`` towards peers (entry) or senders (server).
        state: ``live`` or ``leaving``.
    """

    name: str
    kind: str
    data_centre: str
    rack: str
    service: str
    address: str
    state: str


class InstanceList(Protocol):
    """The platform's list of live and leaving instances; it lags."""

    async def fetch(self) -> Result[list[ListedInstance], TableFailure]:
        """Reads the list."""


async def write_and_confirm(
    table: Table,
    name: str,
    text: str,
    *,
    expected_version: int,
    write_id: str,
) -> Result[Row, TableFailure]:
    """Writes a row and resolves a lost answer or own earlier write by reading.

    The result is ``unknown`` only when the read fails as well.
    """
    written = await table.write(
        name, text, expected_version=expected_version, write_id=write_id
    )
    if written.is_ok():
        return written
    failure = written.error
    if failure.kind == TableFailureKind.conflict:
        row = failure.row
    elif failure.kind == TableFailureKind.unknown:
        read = await table.read(name)
        if read.is_error():
            return written
        row = read.ok
    else:
        return written
    if row is not None and row.write_id == write_id:
        return Result.Ok(row)
    if row is not None and row.version > expected_version:
        return Result.Error(
            TableFailure(TableFailureKind.conflict, 'another write won', row)
        )
    return Result.Error(
        TableFailure(TableFailureKind.unavailable, 'the write was not applied')
    )
