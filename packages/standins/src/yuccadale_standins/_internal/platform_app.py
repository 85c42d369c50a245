"""HTTP interface of the simulated platform."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from yuccadale_core.platform import ListedInstance, Row
from yuccadale_core.platform_http import DATA_CENTRE_HEADER
from yuccadale_core.timing import seconds
from yuccadale_standins._internal.clock import monotonic_ms
from yuccadale_standins._internal.json_bodies import json_answer, merge_faults
from yuccadale_standins._internal.platform_state import (
    ListChange,
    PlatformState,
)
from yuccadale_standins._internal.serving import (
    drop_connection,
    listening,
)

_BODY_LIMIT_BYTES = 64 << 20
_CONTROL_PATHS = frozenset(('/faults', '/statistics'))


class _TableWrite(msgspec.Struct):
    value: str
    expected_version: int
    write_id: str


@dataclass(frozen=True, slots=True)
class RunningPlatform:
    """A running simulated platform."""

    url: str
    state: PlatformState


def platform_application(state: PlatformState) -> web.Application:
    """Returns the application; its control paths are exempt from faults."""
    application = web.Application(
        middlewares=[_fault_middleware(state)],
        client_max_size=_BODY_LIMIT_BYTES,
    )
    _add_table(application, state)
    _add_objects(application, state)
    _add_instances(application, state)
    _add_controls(application, state)
    return application


@asynccontextmanager
async def run_platform(
    instances: list[ListedInstance], port: int = 0
) -> AsyncIterator[RunningPlatform]:
    """Runs the simulated platform in this process."""
    state = PlatformState(monotonic_ms, instances)
    async with listening(platform_application(state), port) as listener:
        yield RunningPlatform(f'http://{listener.address}', state)


def _fault_middleware(state: PlatformState) -> Middleware:
    @web.middleware
    async def apply_faults(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        is_control_call = request.path in _CONTROL_PATHS or (
            request.path == '/instances' and request.method == 'POST'
        )
        if is_control_call:
            return await handler(request)
        if request.headers.get(DATA_CENTRE_HEADER) in state.faults.cut:
            return await _hold_until_restored(request, state)
        if state.faults.slow_ms:
            await asyncio.sleep(seconds(state.faults.slow_ms))
        if state.faults.down:
            return json_answer({'applied': False}, status=503)
        response = await handler(request)
        if state.should_drop_answer():
            return drop_connection(request)
        return response

    return apply_faults


async def _hold_until_restored(
    request: web.Request, state: PlatformState
) -> web.Response:
    # Requests that are sent during a partition are lost, also when it ends.
    data_centre = request.headers.get(DATA_CENTRE_HEADER)
    while data_centre in state.faults.cut and request.transport is not None:
        await asyncio.sleep(0.01)
    return drop_connection(request)


def _add_table(application: web.Application, state: PlatformState) -> None:
    async def read(request: web.Request) -> web.Response:
        row = state.read(request.match_info['name'])
        if row is None:
            return json_answer({'missing': True}, status=404)
        return json_answer(_row_document(row))

    async def read_prefix(request: web.Request) -> web.Response:
        rows = state.read_prefix(request.query.get('prefix', ''))
        return json_answer([_row_document(row) for row in rows])

    async def write(request: web.Request) -> web.Response:
        parsed = msgspec.json.decode(await request.read(), type=_TableWrite)
        answer = state.write(
            request.match_info['name'],
            parsed.value,
            parsed.expected_version,
            parsed.write_id,
        )
        if answer.written and answer.row is not None:
            return json_answer({'version': answer.row.version})
        winner = (
            {'version': 0} if answer.row is None else _row_document(answer.row)
        )
        return json_answer(winner, status=409)

    application.router.add_get('/table', read_prefix)
    application.router.add_get('/table/{name:.+}', read)
    application.router.add_put('/table/{name:.+}', write)


def _add_objects(application: web.Application, state: PlatformState) -> None:
    async def read(request: web.Request) -> web.Response:
        body = state.read_object(request.match_info['name'])
        if body is None:
            return json_answer({'missing': True}, status=404)
        return web.Response(body=body)

    async def write(request: web.Request) -> web.Response:
        state.write_object(request.match_info['name'], await request.read())
        return json_answer({})

    application.router.add_get('/objects/{name:.+}', read)
    application.router.add_put('/objects/{name:.+}', write)


def _add_instances(application: web.Application, state: PlatformState) -> None:
    async def read(_request: web.Request) -> web.Response:
        return json_answer(state.list_instances())

    async def change(request: web.Request) -> web.Response:
        state.change_list(
            msgspec.json.decode(await request.read(), type=ListChange)
        )
        return json_answer({})

    application.router.add_get('/instances', read)
    application.router.add_post('/instances', change)


def _add_controls(application: web.Application, state: PlatformState) -> None:
    async def set_faults(request: web.Request) -> web.Response:
        state.faults = merge_faults(state.faults, await request.read())
        return json_answer(state.faults)

    async def show_faults(_request: web.Request) -> web.Response:
        return json_answer(state.faults)

    async def statistics(_request: web.Request) -> web.Response:
        return json_answer({'reads': state.reads, 'writes': state.writes})

    application.router.add_post('/faults', set_faults)
    application.router.add_get('/faults', show_faults)
    application.router.add_get('/statistics', statistics)


def _row_document(row: Row) -> dict[str, object]:
    return {
        'name': row.name,
        'version': row.version,
        'value': row.text,
        'write_id': row.write_id,
    }
