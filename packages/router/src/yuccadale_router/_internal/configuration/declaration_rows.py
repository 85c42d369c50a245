"""Table rows and objects that store declarations.

The row ``declaration/<scope>`` holds the newest revision of a scope; the row
version equals the revision. An object ``declaration/<scope>/<revision>``
holds a replaced revision. The row ``declaration-heads`` lists the newest
revision of each scope. It is a hint, small enough for frequent reads;
correctness does not depend on it, because all rows are also read at longer
intervals.
"""

from collections.abc import Mapping

import msgspec
from expression import Result

from yuccadale_core.messages import ScopeRevision
from yuccadale_core.platform import (
    Objects,
    Row,
    Table,
    TableFailure,
    TableFailureKind,
)

HEADS_ROW = 'declaration-heads'
_PREFIX = 'declaration/'
_HINT_ATTEMPTS = 4

_decode_revision = msgspec.json.Decoder(ScopeRevision).decode
_decode_heads = msgspec.json.Decoder(dict[str, int]).decode


def row_name(scope: str) -> str:
    """Returns the name of a scope's row."""
    return f'{_PREFIX}{scope}'


def object_name(scope: str, revision: int) -> str:
    """Returns the name of the object that holds a replaced revision."""
    return f'{_PREFIX}{scope}/{revision}'


def encode_revision(revision: ScopeRevision) -> str:
    """Encodes a revision for a row or an object."""
    return msgspec.json.encode(revision).decode()


def decode_revision(text: str | bytes) -> Result[ScopeRevision, TableFailure]:
    """Decodes a revision; malformed text gives ``unavailable``."""
    try:
        return Result.Ok(_decode_revision(text))
    except msgspec.DecodeError as error:
        return Result.Error(_malformed(str(error)))


async def read_revisions(
    table: Table,
) -> Result[dict[str, ScopeRevision], TableFailure]:
    """Reads the newest revision of each scope in one read."""
    rows = await table.read_prefix(_PREFIX)
    return rows.bind(_decode_rows)


async def read_revision(
    table: Table, scope: str
) -> Result[ScopeRevision | None, TableFailure]:
    """Reads the newest revision of one scope."""
    row = await table.read(row_name(scope))
    return row.bind(_decode_row)


async def read_archived(
    objects: Objects, scope: str, revision: int
) -> Result[ScopeRevision | None, TableFailure]:
    """Reads a replaced revision."""
    body = await objects.get(object_name(scope, revision))
    if body.is_error():
        return Result.Error(body.error)
    if body.ok is None:
        return Result.Ok(None)
    return decode_revision(body.ok)


async def archive(
    objects: Objects, revision: ScopeRevision
) -> Result[None, TableFailure]:
    """Writes a replaced revision as an object; idempotent."""
    name = object_name(revision.scope, revision.revision)
    body = encode_revision(revision).encode()
    written = await objects.put(name, body)
    if written.is_ok():
        return written
    return await objects.put(name, body)


async def read_heads(table: Table) -> Result[dict[str, int], TableFailure]:
    """Reads the hint: the newest revision of each scope."""
    row = await table.read(HEADS_ROW)
    if row.is_error():
        return Result.Error(row.error)
    return Result.Ok(_heads_of(row.ok))


async def update_heads(
    table: Table, revision_by_scope: Mapping[str, int], write_id: str
) -> bool:
    """Raises the revisions in the hint; false after failed attempts.

    A failed read ends the attempts at once; a failed write is retried.
    """
    for attempt in range(_HINT_ATTEMPTS):
        row = await table.read(HEADS_ROW)
        if row.is_error():
            return False
        heads = _heads_of(row.ok)
        updated = _merged(heads, revision_by_scope)
        if updated == heads:
            return True
        written = await table.write(
            HEADS_ROW,
            msgspec.json.encode(updated).decode(),
            expected_version=0 if row.ok is None else row.ok.version,
            write_id=f'{write_id}/{attempt}',
        )
        if written.is_ok():
            return True
    return False


def _merged(
    heads: dict[str, int], revision_by_scope: Mapping[str, int]
) -> dict[str, int]:
    return heads | {
        scope: max(number, heads.get(scope, 0))
        for scope, number in revision_by_scope.items()
    }


def _heads_of(row: Row | None) -> dict[str, int]:
    if row is None:
        return {}
    try:
        return _decode_heads(row.text)
    except msgspec.DecodeError:
        # The next submission overwrites a malformed hint.
        return {}


def _decode_rows(
    rows: list[Row],
) -> Result[dict[str, ScopeRevision], TableFailure]:
    revision_by_scope: dict[str, ScopeRevision] = {}
    for row in rows:
        decoded = decode_revision(row.text)
        if decoded.is_error():
            return Result.Error(decoded.error)
        revision_by_scope[decoded.ok.scope] = decoded.ok
    return Result.Ok(revision_by_scope)


def _decode_row(
    row: Row | None,
) -> Result[ScopeRevision | None, TableFailure]:
    if row is None:
        return Result.Ok(None)
    decoded = decode_revision(row.text)
    if decoded.is_error():
        return Result.Error(decoded.error)
    return Result.Ok(decoded.ok)


def _malformed(detail: str) -> TableFailure:
    return TableFailure(
        TableFailureKind.unavailable, f'malformed declaration: {detail}'
    )
