"""Stand-in for the platform's store: conditional writes, feeds and faults."""

import asyncio
import time
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from yuccadale_standins.serving import drop_connection, listening

_PAGE_ROWS = 500
ROW_BYTES = 65536


@dataclass
class StoreFaults:
    """Current faults of the store.

    Attributes:
        down: answer every call with 503 and do nothing.
        drop_answers: apply writes, but close their connections unanswered.
        history_from: answer feeds after older versions with 410.
    """

    down: bool = False
    drop_answers: bool = False
    history_from: int = 0


@dataclass
class StoredValue:
    """Content and version of a row; the content of a removed row is None."""

    version: int
    value: bytes | None


class StoreCopy(NamedTuple):
    """A copy of all rows, from which the store may be restored."""

    version: int
    value_by_row: dict[tuple[str, str], StoredValue]


class PlatformStoreState:
    """The rows of all tables.

    Attributes:
        era: rises with each restore; all answers name it.
    """

    def __init__(self) -> None:
        self.era = 1
        self.version = 0
        self.call_count = 0
        self.value_by_row: dict[tuple[str, str], StoredValue] = {}
        self.changed = asyncio.Condition()

    def put(self, table: str, key: str, document: object) -> None:
        """Writes a row without conditions and without waking the feeds."""
        self.version += 1
        value = document
        if not isinstance(document, bytes):
            value = msgspec.json.encode(document)
        self.value_by_row[table, key] = StoredValue(self.version, value)

    def remove(self, table: str, key: str) -> None:
        """Removes a row, without waking the feeds."""
        self.version += 1
        self.value_by_row[table, key] = StoredValue(self.version, None)

    async def notify_feeds(self) -> None:
        """Wakes the feeds that wait for changes."""
        async with self.changed:
            self.changed.notify_all()

    def copy(self) -> StoreCopy:
        """Returns a copy of all rows."""
        return StoreCopy(self.version, dict(self.value_by_row))

    def restore(self, copy: StoreCopy) -> None:
        """Loses all writes since a copy; their versions are given out again."""
        self.era += 1
        self.version = copy.version
        self.value_by_row = dict(copy.value_by_row)

    def current_version(self, table: str, key: str) -> int:
        """Returns the version that a condition has to name, 0 for no row."""
        stored = self.value_by_row.get((table, key))
        if stored is None or stored.value is None:
            return 0
        return stored.version

    def rows(self, table: str, after: int, *, feed: bool) -> list[dict]:
        """Returns the rows of a table after a version.

        Feeds are in order of version and have removed rows; other reads are
        in order of key.
        """
        matching = [
            (key, stored)
            for (row_table, key), stored in self.value_by_row.items()
            if row_table == table and stored.version > after
        ]
        order = (lambda row: row[1].version) if feed else (lambda row: row[0])
        return [
            _encode_row(table, key, stored)
            for key, stored in sorted(matching, key=order)
            if feed or stored.value is not None
        ]


def _encode_row(table: str, key: str, stored: StoredValue) -> dict:
    row = {'table': table, 'part': '', 'key': key, 'ver': stored.version}
    if stored.value is None:
        return row | {'deleted': True}
    return row | {'value': b64encode(stored.value).decode()}


@dataclass
class RunningStore:
    """A listening store."""

    address: tuple[str, int]
    state: PlatformStoreState
    faults: StoreFaults


@asynccontextmanager
async def running_store(port: int = 0) -> AsyncIterator[RunningStore]:
    """Runs the store on a loopback port."""
    async with store_endpoint(PlatformStoreState(), port) as running:
        yield running


@asynccontextmanager
async def store_endpoint(
    state: PlatformStoreState, port: int = 0
) -> AsyncIterator[RunningStore]:
    """Serves the rows of a store at an address with faults of its own."""
    faults = StoreFaults()
    with_faults = _fault_injection(state, faults)
    application = web.Application()
    application.router.add_post('/v1/rows-tx', with_faults(_transaction(state)))
    application.router.add_get('/v1/rows-get', with_faults(_get(state)))
    application.router.add_get(
        '/v1/rows-feed', with_faults(_feed(state, faults))
    )
    async with listening(application, port) as listener:
        host, _, listener_port = listener.address.rpartition(':')
        yield RunningStore((host, int(listener_port)), state, faults)


def _answer(
    state: PlatformStoreState,
    rows: list,
    status: int = 200,
    *,
    has_more: bool = False,
):
    document = {
        'rows': rows,
        'ver': state.version,
        'has_more': has_more,
        'now': f'{int(time.monotonic() * 1000)}ms',
    }
    return web.json_response(document, status=status)


def _era_header(state: PlatformStoreState) -> dict[str, str]:
    return {'Store-Era': str(state.era)}


def _fault_injection(
    state: PlatformStoreState, faults: StoreFaults
) -> Callable[[Handler], Handler]:
    """Returns a wrapper for handlers.

    It is no middleware: aiohttp caches the handlers of 1024 applications with
    middlewares, so that the rows of stopped stores would stay in memory.
    """

    def with_faults(handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            state.call_count += 1
            if faults.down:
                return web.Response(status=503, headers=_era_header(state))
            response = await handler(request)
            response.headers.update(_era_header(state))
            if faults.down:
                # The call began before the store went down, such as a feed.
                return drop_connection(request)
            if faults.drop_answers and request.method == 'POST':
                return drop_connection(request)
            return response

        return handle

    return with_faults


def _transaction(state: PlatformStoreState):
    async def handle(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        failed = [
            condition
            for condition in body['expect']
            if state.current_version(condition['table'], condition['key'])
            != condition['ver']
        ]
        if failed:
            rows = [
                _encode_row(
                    condition['table'],
                    condition['key'],
                    state.value_by_row[condition['table'], condition['key']],
                )
                for condition in body['expect']
                if state.current_version(condition['table'], condition['key'])
            ]
            return _answer(state, rows, status=412)
        values = [b64decode(put['value']) for put in body['puts']]
        if any(len(value) > ROW_BYTES for value in values):
            return web.Response(status=400)
        state.version += 1
        for put in body['puts']:
            state.value_by_row[put['table'], put['key']] = StoredValue(
                state.version, b64decode(put['value'])
            )
        await state.notify_feeds()
        return _answer(state, [])

    return handle


def _get(state: PlatformStoreState):
    async def handle(request: web.Request) -> web.Response:
        first = request.query.get('from', '')
        rows = [
            row
            for row in state.rows(request.query['table'], -1, feed=False)
            if row['key'] >= first
        ]
        page = rows[:_PAGE_ROWS]
        return _answer(state, page, has_more=len(rows) > len(page))

    return handle


def _feed(state: PlatformStoreState, faults: StoreFaults):
    async def handle(request: web.Request) -> web.Response:
        after = int(request.query['after'])
        if after < faults.history_from or after > state.version:
            return web.Response(status=410)
        table = request.query['table']
        wait_s = int(request.query['wait_timeout_ms']) / 1000
        try:
            async with asyncio.timeout(wait_s), state.changed:
                while not state.rows(table, after, feed=True):
                    await state.changed.wait()
        except TimeoutError:
            """No changes: no rows, unless the history was lost meanwhile."""
        if after < faults.history_from:
            return web.Response(status=410)
        return _answer(state, state.rows(table, after, feed=True))

    return handle
