"""Interfaces to the platform: table, objects and the list of instances.

The protocol of a real platform is hidden behind these interfaces, so that a
change of it affects a single adapter module.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from expression import Result


class TableFailureKind(StrEnum):
    """Why a table operation failed."""

    conflict = 'conflict'
    unavailable = 'unavailable'
    # The write may or may not have been applied; a read tells which.
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Attributes:
        name: path-like name, such as ``group/ledger/lodz-a/0``.
        version: 1 after the first write, incremented by each later write.
        text: the stored value.
        write_id: id of the write that created this version.
    """

    name: str
    version: int
    text: str
    write_id: str


@dataclass(frozen=True, slots=True)
class TableFailure:
    """A failed table operation; ``row`` is the current row in a conflict."""

    kind: TableFailureKind
    detail: str
    row: Row | None = None


class Table(Protocol):
    """Conditional writes on named rows."""

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        """Reads one row; None when it does not exist."""

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        """Reads all rows whose names start with the prefix, sorted by name."""

    async def write(
        self,
        name: str,
        text: str,
        *,
        expected_version: int,
        write_id: str,
    ) -> Result[Row, TableFailure]:
        """Writes a row if it has the expected version (0: does not exist)."""


class Objects(Protocol):
    """Immutable objects by name."""

    async def get(self, name: str) -> Result[bytes | None, TableFailure]:
        """Reads an object; None when it does not exist."""

    async def put(self, name: str, body: bytes) -> Result[None, TableFailure]:
        """Writes an object."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's list of instances.

    Attributes:
        name: unique name of the machine.
        kind: ``entry`` or ``server``.
        data_centre: where it runs.
        rack: failure domain inside the data centre.
        service: the service of a server, empty for an entry instance.
        address: ``host:port`` for peers (entry) or for leaders (server).
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
    """The platform's list of live and leaving instances; eventually current."""

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
    """Writes a row; after a lost answer, reads it to find out the outcome.

    A conflict with an earlier attempt of the same write counts as success.
    The failure is ``unknown`` only when the read fails as well.
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
