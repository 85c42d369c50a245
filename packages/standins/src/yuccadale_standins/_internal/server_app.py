"""HTTP interface of the simulated server."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import msgspec
import xxhash
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from yuccadale_core.targets import Grant, GrantAnswer, TargetAnswer
from yuccadale_core.targets_http import (
    DEADLINE_HEADER,
    HIGHEST_TOKEN_HEADER,
    KEY_HEADER,
    REFUSED_HEADER,
    REQUEST_ID_HEADER,
    SLOT_HEADER,
    TOKEN_HEADER,
)
from yuccadale_core.timing import seconds
from yuccadale_standins._internal.clock import monotonic_ms
from yuccadale_standins._internal.grant_rules import WorkPermit
from yuccadale_standins._internal.json_bodies import json_answer, merge_faults
from yuccadale_standins._internal.records import RunRecord
from yuccadale_standins._internal.server_state import (
    ServerOptions,
    ServerState,
    Work,
)
from yuccadale_standins._internal.serving import (
    Listener,
    drop_connection,
    listening,
)

KIND_HEADER = 'Yuccadale-Kind'
_BODY_LIMIT_BYTES = 64 << 20
_UNAVAILABLE = 503
_CONTROL_PATHS = frozenset(('/faults', '/records'))


@dataclass(frozen=True, slots=True)
class RunningServer:
    """A running simulated server."""

    address: str
    state: ServerState


class _RequestInfo(msgspec.Struct, frozen=True):
    """Metadata from a request's headers."""

    request_id: str
    key: str
    slot: int
    token: int
    deadline_at_ms: float


def server_application(state: ServerState) -> web.Application:
    """Returns the application; its control paths are exempt from freezes."""
    application = web.Application(
        middlewares=[_freeze_middleware(state)],
        client_max_size=_BODY_LIMIT_BYTES,
    )
    _add_grants(application, state)
    _add_work(application, state)
    _add_reports(application, state)
    _add_controls(application, state)
    return application


@asynccontextmanager
async def run_server(
    options: ServerOptions, port: int = 0
) -> AsyncIterator[RunningServer]:
    """Runs the simulated server in this process."""
    state = ServerState(monotonic_ms, options)
    application = server_application(state)
    async with listening(application, port) as listener:
        watcher = asyncio.create_task(_watch_connections(state, listener))
        try:
            yield RunningServer(listener.address, state)
        finally:
            watcher.cancel()
            state.close()


async def _watch_connections(state: ServerState, listener: Listener) -> None:
    while True:
        server = listener.runner.server
        if server is not None:
            state.record_connections(len(server.connections))
        await asyncio.sleep(0.005)


async def _wait_while_frozen(state: ServerState) -> None:
    while state.remaining_freeze_ms() > 0:
        await asyncio.sleep(seconds(state.remaining_freeze_ms()))


def _freeze_middleware(state: ServerState) -> Middleware:
    @web.middleware
    async def hold_while_frozen(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path not in _CONTROL_PATHS:
            await _wait_while_frozen(state)
        return await handler(request)

    return hold_while_frozen


def _add_grants(application: web.Application, state: ServerState) -> None:
    async def hello(_request: web.Request) -> web.Response:
        return json_answer(state.rules.hello())

    async def offer(request: web.Request) -> web.Response:
        body = await request.read()
        try:
            grant = msgspec.json.decode(body, type=Grant)
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        answer: GrantAnswer = state.offer(grant)
        return json_answer(answer)

    application.router.add_get('/hello', hello)
    application.router.add_post('/grant', offer)


def _add_work(application: web.Application, state: ServerState) -> None:
    async def run(request: web.Request) -> web.Response:
        return await _run(state, request)

    async def cancel(request: web.Request) -> web.Response:
        cancelled = state.cancel(request.match_info['request_id'])
        return json_answer({'cancelled': cancelled})

    async def outcome(request: web.Request) -> web.Response:
        return json_answer(state.outcome(request.match_info['request_id']))

    application.router.add_route('*', '/run/{path:.*}', run)
    application.router.add_delete('/requests/{request_id:.+}', cancel)
    application.router.add_get('/outcome/{request_id:.+}', outcome)


def _add_reports(application: web.Application, state: ServerState) -> None:
    async def load(_request: web.Request) -> web.Response:
        return json_answer(state.load())

    async def health(_request: web.Request) -> web.Response:
        draining = state.faults.drain and not state.faults.hide_drain
        healthy = not draining and not state.faults.claim_unhealthy
        return json_answer(
            {'healthy': healthy}, status=200 if healthy else _UNAVAILABLE
        )

    application.router.add_get('/load', load)
    application.router.add_get('/health', health)


def _add_controls(application: web.Application, state: ServerState) -> None:
    async def set_faults(request: web.Request) -> web.Response:
        state.apply_faults(merge_faults(state.faults, await request.read()))
        return json_answer(state.faults)

    async def records(_request: web.Request) -> web.Response:
        return json_answer(state.records())

    application.router.add_post('/faults', set_faults)
    application.router.add_get('/records', records)


async def _run(state: ServerState, request: web.Request) -> web.Response:
    arrived_ms = state.clock()
    body = await request.read()
    info = _parse_headers(request, arrived_ms)
    permit = _check_permit(state, info)
    if isinstance(permit, str):
        return _refusal_response(state, info.request_id, permit)
    work = Work(info.request_id)
    if not state.begin(work):
        return _refusal_response(state, info.request_id, 'concurrency')
    answer = await _execute(state, work, info, permit, request, body)
    if isinstance(answer, str):
        return _refusal_response(state, info.request_id, answer)
    if state.should_drop_answer():
        return drop_connection(request)
    return web.Response(
        status=answer.status, headers=answer.headers, body=answer.body
    )


def _parse_headers(request: web.Request, arrived_ms: float) -> _RequestInfo:
    try:
        return _RequestInfo(
            request_id=request.headers[REQUEST_ID_HEADER],
            key=request.headers[KEY_HEADER],
            slot=int(request.headers[SLOT_HEADER]),
            token=int(request.headers[TOKEN_HEADER]),
            deadline_at_ms=arrived_ms + float(request.headers[DEADLINE_HEADER]),
        )
    except (KeyError, ValueError) as error:
        raise web.HTTPBadRequest(text=f'header: {error}') from error


def _check_permit(
    state: ServerState, info: _RequestInfo
) -> WorkPermit | str | None:
    """Returns a permit, None without checks, or the reason of a refusal."""
    if state.faults.drain:
        return 'draining'
    if state.should_shed():
        return 'shedding'
    if not state.options.checks_grants:
        return None
    return state.rules.start(info.slot, info.token)


async def _execute(
    state: ServerState,
    work: Work,
    info: _RequestInfo,
    permit: WorkPermit | None,
    request: web.Request,
    body: bytes,
) -> TargetAnswer | str:
    """Runs the request; returns its answer, or why it was aborted."""
    start_ms = state.clock()
    abort_reason = 'stopped'
    answer = None
    try:
        await _simulate_work(state, work, info)
        # The request takes effect here: there must be no await between this
        # check and the record.
        abort_reason = _abort_reason(state, work, info, permit)
        if not abort_reason:
            answer = _echo(state, info, request, body)
    finally:
        record = RunRecord(
            server=state.options.name,
            incarnation=state.incarnation,
            request_id=info.request_id,
            key=info.key,
            slot=info.slot,
            token=info.token,
            method=request.method,
            path=request.path.removeprefix('/run'),
            kind=request.headers.get(KIND_HEADER, ''),
            start_ms=start_ms,
            end_ms=state.clock(),
            effect=answer is not None,
            end=abort_reason or 'done',
        )
        state.end(work, record, answer)
    return abort_reason if answer is None else answer


async def _simulate_work(
    state: ServerState, work: Work, info: _RequestInfo
) -> None:
    remaining_ms = info.deadline_at_ms - state.clock()
    work_ms = min(state.work_ms(), remaining_ms)
    if work_ms > 0:
        with suppress(TimeoutError):
            await asyncio.wait_for(work.cancelled.wait(), seconds(work_ms))
    await _wait_while_frozen(state)


def _abort_reason(
    state: ServerState,
    work: Work,
    info: _RequestInfo,
    permit: WorkPermit | None,
) -> str:
    if work.cancelled.is_set():
        return 'cancelled'
    if state.clock() >= info.deadline_at_ms:
        return 'deadline'
    if permit is not None and not state.rules.may_take_effect(permit):
        return 'grant ended'
    return ''


def _echo(
    state: ServerState, info: _RequestInfo, request: web.Request, body: bytes
) -> TargetAnswer:
    """Returns the request's content, so that a caller can verify it."""
    document = {
        'request_id': info.request_id,
        'key': info.key,
        'method': request.method,
        'path': request.path_qs.removeprefix('/run'),
        'body_length': len(body),
        'body_hash': xxhash.xxh3_64_hexdigest(body),
        'server': state.options.name,
        'incarnation': state.incarnation,
    }
    return TargetAnswer(
        200,
        {
            'Content-Type': 'application/json',
            REQUEST_ID_HEADER: info.request_id,
        },
        msgspec.json.encode(document),
    )


def _refusal_response(
    state: ServerState, request_id: str, reason: str
) -> web.Response:
    return web.Response(
        status=_UNAVAILABLE,
        headers={
            REFUSED_HEADER: reason,
            HIGHEST_TOKEN_HEADER: str(state.rules.highest_token),
            REQUEST_ID_HEADER: request_id,
        },
    )
