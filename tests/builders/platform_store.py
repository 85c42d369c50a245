"""A stand-in for the platform's store: rows, conditions, feeds, faults."""

import asyncio
import time
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
from aiohttp import web

from yuccadale_standins.serving import drop_connection, listening

_PAGE_ROWS = 500


@dataclass
class StoreFaults:
    """What the store does wrong at present.

    Attributes:
        down: every call gets 503 and does nothing.
        lose_answers: writes are done, and the connection ends unanswered.
        history_from: feeds after older versions get 410.
    """

    down: bool = False
    lose_answers: bool = False
    history_from: int = 0


@dataclass
class StoredValue:
    """A row with the version of its transaction."""

    version: int
    value: bytes | None


class PlatformStoreState:
    """All tables."""

    def __init__(self) -> None:
        self.version = 0
        self.calls = 0
        self.value_by_row: dict[tuple[str, str], StoredValue] = {}
        self.changed = asyncio.Condition()

    def put(self, table: str, key: str, document: object) -> None:
        """Writes a row as the operator or a server does."""
        self.version += 1
        value = document
        if not isinstance(document, bytes):
            value = msgspec.json.encode(document)
        self.value_by_row[table, key] = StoredValue(self.version, value)

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self.version += 1
        self.value_by_row[table, key] = StoredValue(self.version, None)

    async def wake(self) -> None:
        """Wakes the feeds."""
        async with self.changed:
            self.changed.notify_all()

    def current_version(self, table: str, key: str) -> int:
        """Returns the version for conditions, 0 for no row."""
        stored = self.value_by_row.get((table, key))
        if stored is None or stored.value is None:
            return 0
        return stored.version

    def rows(self, table: str, after: int, *, feed: bool) -> list[dict]:
        """Returns rows of a table; removed ones only in feeds."""
        found = [
            (key, stored)
            for (listed, key), stored in self.value_by_row.items()
            if listed == table and stored.version > after
        ]
        order = (lambda one: one[1].version) if feed else (lambda one: one[0])
        return [
            _encode_row(table, key, stored)
            for key, stored in sorted(found, key=order)
            if feed or stored.value is not None
        ]


def _encode_row(table: str, key: str, stored: StoredValue) -> dict:
    row = {'table': table, 'part': '', 'key': key, 'ver': stored.version}
    if stored.value is None:
        return row | {'deleted': True}
    return row | {'value': b64encode(stored.value).decode()}


@dataclass
class RunningStore:
    """A store that listens."""

    address: tuple[str, int]
    state: PlatformStoreState
    faults: StoreFaults


@asynccontextmanager
async def running_store(port: int = 0) -> AsyncIterator[RunningStore]:
    """Runs the store on a loopback port."""
    async with another_door(PlatformStoreState(), port) as running:
        yield running


@asynccontextmanager
async def another_door(
    state: PlatformStoreState, port: int = 0
) -> AsyncIterator[RunningStore]:
    """Serves the same rows at another address, with faults of its own."""
    faults = StoreFaults()
    application = web.Application(middlewares=[_faults(state, faults)])
    application.router.add_post('/v1/rows-tx', _transaction(state))
    application.router.add_get('/v1/rows-get', _get(state))
    application.router.add_get('/v1/rows-feed', _feed(state, faults))
    async with listening(application, port) as listener:
        host, _, bound = listener.address.rpartition(':')
        yield RunningStore((host, int(bound)), state, faults)


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


def _faults(state: PlatformStoreState, faults: StoreFaults):
    @web.middleware
    async def apply(request, handler):
        state.calls += 1
        if faults.down:
            return web.Response(status=503)
        response = await handler(request)
        if faults.down:
            # A feed that waited when the store went away.
            return drop_connection(request)
        if faults.lose_answers and request.method == 'POST':
            return drop_connection(request)
        return response

    return apply


def _transaction(state: PlatformStoreState):
    async def handle(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        wrong = [
            one
            for one in body['expect']
            if state.current_version(one['table'], one['key']) != one['ver']
        ]
        if wrong:
            rows = [
                _encode_row(
                    one['table'],
                    one['key'],
                    state.value_by_row[one['table'], one['key']],
                )
                for one in body['expect']
                if state.current_version(one['table'], one['key'])
            ]
            return _answer(state, rows, status=412)
        state.version += 1
        for put in body['puts']:
            state.value_by_row[put['table'], put['key']] = StoredValue(
                state.version, b64decode(put['value'])
            )
        await state.wake()
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
        if after < faults.history_from:
            return web.Response(status=410)
        table = request.query['table']
        wait_s = int(request.query['wait_timeout_ms']) / 1000
        try:
            async with asyncio.timeout(wait_s), state.changed:
                while not state.rows(table, after, feed=True):
                    await state.changed.wait()
        except TimeoutError:
            """An answer without rows, unless the history is gone by now."""
        if after < faults.history_from:
            return web.Response(status=410)
        return _answer(state, state.rows(table, after, feed=True))

    return handle
