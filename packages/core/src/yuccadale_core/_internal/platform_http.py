"""HTTP adapter to the platform; its parts share one session."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
import msgspec
from expression import Result

from yuccadale_core._internal.http_attempts import (
    Attempt,
    single_attempt_session,
)
from yuccadale_core._internal.platform import (
    ListedInstance,
    Row,
    TableFailure,
    TableFailureKind,
)
from yuccadale_core._internal.timing import TABLE_TIMEOUT_MS, seconds

DATA_CENTRE_HEADER = 'Yuccadale-Data-Centre'
_MAX_CONNECTIONS = 16
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503


class StoredRow(msgspec.Struct, frozen=True):
    """A row as the platform encodes it; ``version`` 0 means no row."""

    version: int
    value: str = ''
    write_id: str = ''
    name: str = ''


class _WrittenVersion(msgspec.Struct, frozen=True):
    version: int


class _Missing(msgspec.Struct, frozen=True):
    missing: bool


class _NotApplied(msgspec.Struct, frozen=True):
    applied: bool


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


class _PlatformClient:
    def __init__(
        self, session: aiohttp.ClientSession, url: str, data_centre: str
    ) -> None:
        self._session = session
        self._url = url.rstrip('/')
        self._headers = {DATA_CENTRE_HEADER: data_centre}
        self._timeout = aiohttp.ClientTimeout(total=seconds(TABLE_TIMEOUT_MS))

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[_Answer, TableFailure]:
        """Sends one request.

        The failure is ``unavailable`` if nothing was sent, else ``unknown``.
        """
        attempt = Attempt()
        try:
            async with self._session.request(
                method,
                f'{self._url}{path}',
                data=body,
                headers=self._headers,
                timeout=self._timeout,
                allow_redirects=False,
                trace_request_ctx=attempt,
            ) as response:
                answer = _Answer(response.status, await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            return Result.Error(_request_failure(attempt, error))
        return Result.Ok(answer)


def _request_failure(attempt: Attempt, error: Exception) -> TableFailure:
    kind = (
        TableFailureKind.unknown
        if attempt.connected
        else TableFailureKind.unavailable
    )
    return TableFailure(kind, str(error) or type(error).__name__)


def _read_failure(failure: TableFailure) -> TableFailure:
    # A read has no effect, so its outcome is never unknown.
    return TableFailure(TableFailureKind.unavailable, failure.detail)


def _unexpected_status(answer: _Answer) -> TableFailure:
    """Classifies an answer that is neither a success nor a conflict.

    Only a body that states so proves that a write was not applied: a 5xx
    status may come from a component that does not know the outcome.
    """
    detail = f'status {answer.status}'
    if answer.status == _UNAVAILABLE and _states_not_applied(answer.body):
        return TableFailure(TableFailureKind.unavailable, detail)
    return TableFailure(TableFailureKind.unknown, detail)


def _states_not_applied(body: bytes) -> bool:
    try:
        return not msgspec.json.decode(body, type=_NotApplied).applied
    except msgspec.DecodeError:
        return False


def _is_missing(answer: _Answer) -> bool:
    # A 404 without this body may be caused by a wrong URL.
    if answer.status != _NOT_FOUND:
        return False
    try:
        return msgspec.json.decode(answer.body, type=_Missing).missing
    except msgspec.DecodeError:
        return False


def _malformed_answer(error: Exception) -> TableFailure:
    return TableFailure(TableFailureKind.unknown, f'malformed answer: {error}')


def _stored_row(name: str, stored: StoredRow) -> Row:
    return Row(name, stored.version, stored.value, stored.write_id)


class HttpTable:
    """The platform's table."""

    def __init__(self, client: _PlatformClient) -> None:
        self._client = client

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        """Reads one row; None when it does not exist."""
        called = await self._client.call('GET', f'/table/{quote(name)}')
        if called.is_error():
            return Result.Error(_read_failure(called.error))
        answer = called.ok
        if _is_missing(answer):
            return Result.Ok(None)
        if answer.status != _OK:
            return Result.Error(_read_failure(_unexpected_status(answer)))
        try:
            stored = msgspec.json.decode(answer.body, type=StoredRow)
        except msgspec.DecodeError as error:
            return Result.Error(_read_failure(_malformed_answer(error)))
        return Result.Ok(_stored_row(name, stored))

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        """Reads all rows whose names start with the prefix, sorted by name."""
        called = await self._client.call(
            'GET', f'/table?prefix={quote(prefix, safe="")}'
        )
        if called.is_error():
            return Result.Error(_read_failure(called.error))
        answer = called.ok
        if answer.status != _OK:
            return Result.Error(_read_failure(_unexpected_status(answer)))
        try:
            rows = msgspec.json.decode(answer.body, type=list[StoredRow])
        except msgspec.DecodeError as error:
            return Result.Error(_read_failure(_malformed_answer(error)))
        return Result.Ok([_stored_row(stored.name, stored) for stored in rows])

    async def write(
        self,
        name: str,
        text: str,
        *,
        expected_version: int,
        write_id: str,
    ) -> Result[Row, TableFailure]:
        """Writes a row if it has the expected version (0: does not exist)."""
        body = msgspec.json.encode(
            {
                'value': text,
                'expected_version': expected_version,
                'write_id': write_id,
            }
        )
        called = await self._client.call('PUT', f'/table/{quote(name)}', body)
        if called.is_error():
            return Result.Error(called.error)
        answer = called.ok
        try:
            return _parse_write_answer(name, text, write_id, answer)
        except msgspec.DecodeError as error:
            return Result.Error(_malformed_answer(error))


def _parse_write_answer(
    name: str, text: str, write_id: str, answer: _Answer
) -> Result[Row, TableFailure]:
    if answer.status == _OK:
        written = msgspec.json.decode(answer.body, type=_WrittenVersion)
        return Result.Ok(Row(name, written.version, text, write_id))
    if answer.status == _CONFLICT:
        winner = msgspec.json.decode(answer.body, type=StoredRow)
        row = _stored_row(name, winner) if winner.version else None
        return Result.Error(
            TableFailure(
                TableFailureKind.conflict, 'the version has changed', row
            )
        )
    return Result.Error(_unexpected_status(answer))


class HttpObjects:
    """The platform's object store."""

    def __init__(self, client: _PlatformClient) -> None:
        self._client = client

    async def get(self, name: str) -> Result[bytes | None, TableFailure]:
        """Reads an object; None when it does not exist."""
        called = await self._client.call('GET', f'/objects/{quote(name)}')
        if called.is_error():
            return Result.Error(_read_failure(called.error))
        answer = called.ok
        if _is_missing(answer):
            return Result.Ok(None)
        if answer.status != _OK:
            return Result.Error(_read_failure(_unexpected_status(answer)))
        return Result.Ok(answer.body)

    async def put(self, name: str, body: bytes) -> Result[None, TableFailure]:
        """Writes an object."""
        called = await self._client.call('PUT', f'/objects/{quote(name)}', body)
        if called.is_error():
            return Result.Error(called.error)
        if called.ok.status != _OK:
            return Result.Error(_unexpected_status(called.ok))
        return Result.Ok(None)


class HttpInstanceList:
    """The platform's list of instances; eventually current."""

    def __init__(self, client: _PlatformClient) -> None:
        self._client = client

    async def fetch(self) -> Result[list[ListedInstance], TableFailure]:
        """Reads the list."""
        called = await self._client.call('GET', '/instances')
        if called.is_error():
            return Result.Error(_read_failure(called.error))
        answer = called.ok
        if answer.status != _OK:
            return Result.Error(_read_failure(_unexpected_status(answer)))
        try:
            listed = msgspec.json.decode(answer.body, type=list[ListedInstance])
        except msgspec.DecodeError as error:
            return Result.Error(_read_failure(_malformed_answer(error)))
        return Result.Ok(listed)


@dataclass(frozen=True, slots=True)
class HttpPlatform:
    """The parts of the platform, which share one session."""

    table: HttpTable
    objects: HttpObjects
    instances: HttpInstanceList


@asynccontextmanager
async def open_platform(
    url: str, data_centre: str
) -> AsyncIterator[HttpPlatform]:
    """Opens a session to the platform for a process in the data centre."""
    connector = aiohttp.TCPConnector(limit=_MAX_CONNECTIONS)
    async with single_attempt_session(connector) as session:
        client = _PlatformClient(session, url, data_centre)
        yield HttpPlatform(
            HttpTable(client), HttpObjects(client), HttpInstanceList(client)
        )
