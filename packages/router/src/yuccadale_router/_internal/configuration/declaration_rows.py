"""Rows and objects that hold declarations in the platform's service.

``declaration/<scope>`` holds the newest revision; its version equals its
revision. Objects of the same name with ``/<revision>`` hold replaced ones.
``declaration-heads`` is a hint of all newest revisions: small enough to be
read often, and never needed for correctness, because all rows are read less
often anyway.
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
    """Decodes a revision; a malformed one counts as unavailable."""
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
    """Keeps a revision as an object; repeating it is harmless."""
    name = object_name(revision.scope, revision.revision)
    body = encode_revision(revision).encode()
    written = await objects.put(name, body)
    if written.is_ok():
        return written
    return await objects.put(name, body)


async def read_heads(table: Table) -> Result[dict[str, int], TableFailure]:
    """Reads the hint of newest revisions."""
    row = await table.read(HEADS_ROW)
    if row.is_error():
        return Result.Error(row.error)
    return Result.Ok(_heads_of(row.ok))


async def raise_heads(
    table: Table, revision_by_scope: Mapping[str, int], write_id: str
) -> bool:
    """Raises the hint; gives up after a few lost races or a failure."""
    for attempt in range(_HINT_ATTEMPTS):
        row = await table.read(HEADS_ROW)
        if row.is_error():
            return False
        heads = _heads_of(row.ok)
        raised = _merged(heads, revision_by_scope)
        if raised == heads:
            return True
        written = await table.write(
            HEADS_ROW,
            msgspec.json.encode(raised).decode(),
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
        # A malformed hint is written anew by the next submission.
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
