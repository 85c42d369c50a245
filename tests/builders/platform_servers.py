"""Stand-ins for the platform's servers: key leases, fences and faults."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf
from types import MappingProxyType
from weakref import WeakSet

import msgspec
from aiohttp import web

from tests.builders.copied_answers import GRANT_PATH, CopiedAnswers, Handler
from tests.builders.copied_refusals import CopiedRefusals
from tests.builders.platform_store import RunningStore
from yuccadale_standins.serving import drop_connection, listening


_PIECE_BYTES = 64 * 1024
# Leaves time to others in the process; some 100 Mbit/s remain.
_PIECE_PAUSE_S = 0.005
_NOT_EXECUTED = MappingProxyType({'X-Not-Executed': '1'})


@dataclass
class KeyGrant:
    """A lease of the server on a range of keys."""

    first: int
    last: int
    fence: int
    until_s: float


@dataclass
class PlatformServer:
    """One incarnation of a server.

    Attributes:
        work_s: processing time of a request.
        drop_answers: run requests, but close their connections unanswered.
        sends_without_end: bodies of its answers do not end.
        endless_chunk: the content of each of their chunks.
        failure_status: run requests that may not repeat, but answer them with
            this status, which does not state that they did not run.
        send_extra_answers: send a second answer shortly after each answer.
        shed_next: number of requests to refuse although there is capacity.
        copied_refusals: refusals that it sends once more; none by default.
        grant_delay_s: time from the arrival of a grant until it is applied and
            answered. If the connection has had an answer to a grant before,
            its copy comes at once.
        granted_connections: those that have had an answer to a grant.
        copied_answers: answers of any kind that it sends once more, set before
            it runs.
        around_requests: wraps the handler of requests, set before it runs.
        limit_text: the limit that its answers name, None to name none.
        load_text: the load that its answers report, None to report none.
        health_requests: how many times its health path was asked.
        leaving: whether all its answers say that it leaves.
        left_answer_s: when an answer first said so, on a monotonic clock.
        pause_text: the pause that refusals of a full server ask for.
        pause_answer_s: when a refusal first asked for it, on that clock.
        arrivals_s: when requests arrived, on a monotonic clock.
        when_asked: called when a request arrives, before it is answered.
        executions: number of executions by request id.
        accepted_grants: first key, last key and fence of each grant.
        call_history: grants and releases in order of arrival.
    """

    server_id: str
    service: str
    zone: str
    keyed: bool
    slots: int = 2
    work_s: float = 0.005
    drop_answers: bool = False
    sends_without_end: bool = False
    endless_chunk: bytes = bytes(_PIECE_BYTES)
    failure_status: int = HTTPStatus.OK
    send_extra_answers: bool = False
    full: bool = False
    shed_next: int = 0
    copied_refusals: CopiedRefusals = field(default_factory=CopiedRefusals)
    grant_delay_s: float = 0
    granted_connections: WeakSet[asyncio.Transport] = field(
        default_factory=WeakSet
    )
    copied_answers: CopiedAnswers | None = None
    around_requests: Callable[[Handler], Handler] | None = None
    limit_text: str | None = None
    load_text: str | None = None
    health_requests: int = 0
    leaving: bool = False
    left_answer_s: float = inf
    pause_text: str | None = None
    pause_answer_s: float = inf
    arrivals_s: list[float] = field(default_factory=list)
    when_asked: Callable[[], None] | None = None
    health_path: str = '/healthz'
    address: str = ''
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    executions: Counter[str] = field(default_factory=Counter)
    grants: list[KeyGrant] = field(default_factory=list)
    accepted_grants: list[tuple[int, int, int]] = field(default_factory=list)
    call_history: list[tuple[str, int, int, int]] = field(default_factory=list)
    running_requests: int = 0

    @property
    def fails_to_answer(self) -> bool:
        """Whether requests run and get no whole answer."""
        return self.drop_answers or self.sends_without_end

    def status_after_work(self, path: str) -> int:
        """Returns the status of the answer to a request that has run."""
        repeatable = path.startswith('/download/')
        return HTTPStatus.OK if repeatable else self.failure_status

    def note_arrival(self) -> None:
        """Notes that a request arrives now."""
        self.arrivals_s.append(time.monotonic())
        if self.when_asked is not None:
            self.when_asked()

    def holds(self, key: int) -> bool:
        """Returns whether it holds a lease on a key now."""
        return any(
            grant.first <= key <= grant.last
            and grant.until_s > time.monotonic()
            for grant in self.grants
        )

    def statement_headers(self) -> dict[str, str]:
        """Returns the headers of all answers that say how it is."""
        headers: dict[str, str] = {}
        if self.limit_text is not None:
            headers['Server-Limit'] = self.limit_text
        if self.load_text is not None:
            headers['X-Server-Load'] = self.load_text
        if self.leaving:
            headers['Server-Leaving'] = '1'
            self.left_answer_s = min(self.left_answer_s, time.monotonic())
        return headers

    def pause_headers(self) -> dict[str, str]:
        """Returns the headers of a refusal that ask for a pause."""
        if self.pause_text is None:
            return {}
        self.pause_answer_s = min(self.pause_answer_s, time.monotonic())
        return {'Retry-After': self.pause_text}

    def entry(self, state: str = 'ready') -> dict:
        """Returns its entry in the store."""
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': 1,
                'slow_start_time': '0ms',
            },
        }

    def restart(self) -> None:
        """Begins another life, which knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self.grants = []
        self.accepted_grants = []

    def release(self, first: int, last: int) -> None:
        """Ends the leases on a range, which may be a part of a grant."""
        kept: list[KeyGrant] = []
        for grant in self.grants:
            if grant.last < first or grant.first > last:
                kept.append(grant)
                continue
            if grant.first < first:
                kept.append(
                    KeyGrant(grant.first, first - 1, grant.fence, grant.until_s)
                )
            if grant.last > last:
                kept.append(
                    KeyGrant(last + 1, grant.last, grant.fence, grant.until_s)
                )
        self.grants = kept


@asynccontextmanager
async def running_server(
    server: PlatformServer, store: RunningStore
) -> AsyncIterator[PlatformServer]:
    """Runs a server and writes its entry to the store."""
    application = web.Application()
    grant, request = _grant(server), _request(server)
    if server.copied_answers is not None:
        grant = server.copied_answers.around(grant)
        request = server.copied_answers.around(request)
    if server.around_requests is not None:
        request = server.around_requests(request)
    application.router.add_post(GRANT_PATH, grant)
    application.router.add_post('/v1/release', _release(server))
    application.router.add_get(server.health_path, _health(server))
    application.router.add_route('*', '/{path:.*}', request)
    async with listening(application) as listener:
        server.address = listener.address
        store.state.put('servers', server.server_id, server.entry())
        await store.state.notify_feeds()
        yield server


def _health(server: PlatformServer):
    async def handle(_request: web.Request) -> web.Response:
        server.health_requests += 1
        headers = {'X-Instance-Id': server.server_id}
        return web.Response(headers=headers | server.statement_headers())

    return handle


def _grant(server: PlatformServer):
    async def handle(request: web.Request) -> web.Response:
        if not server.keyed:
            return web.Response(status=400)
        if not _is_expected(server, request):
            return web.Response(status=421, headers=_NOT_EXECUTED)
        body = msgspec.json.decode(await request.read())
        first, last, fence = body['from'], body['to'], body['fence']
        server.call_history.append(('grant', first, last, fence))
        arrived_s = time.monotonic()
        if server.grant_delay_s:
            _send_copy_of_grant(server, request)
            await asyncio.sleep(server.grant_delay_s)
        if any(
            accepted[0] <= last and accepted[1] >= first and accepted[2] > fence
            for accepted in server.accepted_grants
        ):
            return web.Response(status=409)
        server.accepted_grants.append((first, last, fence))
        hold_s = int(body['hold_time'].removesuffix('ms')) / 1000
        server.release(first, last)
        server.grants.append(KeyGrant(first, last, fence, arrived_s + hold_s))
        if request.transport is not None:
            server.granted_connections.add(request.transport)
        return web.Response()

    return handle


def _send_copy_of_grant(server: PlatformServer, request: web.Request) -> None:
    transport = request.transport
    if transport is not None and transport in server.granted_connections:
        transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')


def _release(server: PlatformServer):
    async def handle(request: web.Request) -> web.Response:
        if not _is_expected(server, request):
            return web.Response(status=421, headers=_NOT_EXECUTED)
        body = msgspec.json.decode(await request.read())
        first, last, fence = body['from'], body['to'], body['fence']
        server.call_history.append(('release', first, last, fence))
        server.release(first, last)
        while server.running_requests:
            await asyncio.sleep(0.001)
        return web.Response(headers={'X-Handover': f'h{fence}'})

    return handle


def _request(server: PlatformServer):
    async def handle(request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get('X-Attempt-Id', '')
        server.note_arrival()
        if not request_id:
            return web.Response(status=400, headers={'X-Not-Executed': '1'})
        refusal = _refuse(server, request) or server.copied_refusals.refuse(
            request_id
        )
        if refusal is not None:
            refusal.headers['X-Attempt-Id'] = request_id
            server.copied_refusals.note(request, refusal)
            return refusal
        server.copied_refusals.send_copy(request)
        request_body = await request.read()
        server.executions[request_id] += 1
        server.running_requests += 1
        try:
            await asyncio.sleep(server.work_s)
        finally:
            server.running_requests -= 1
        if server.fails_to_answer:
            return await _fail_to_answer(server, request, request_id)
        body = f'{request.method} {request.path_qs} '.encode()
        response = web.Response(
            status=server.status_after_work(request.path),
            body=body + request_body,
            headers={
                'X-Attempt-Id': request_id,
                'X-Server-Signature': f'{server.server_id}.{request_id}',
            }
            | server.statement_headers(),
        )
        if server.send_extra_answers:
            _send_extra_later(request)
        return response

    return handle


async def _fail_to_answer(
    server: PlatformServer, request: web.Request, request_id: str
) -> web.StreamResponse:
    """Closes the connection, or sends a body until the caller closes it."""
    if server.drop_answers:
        return drop_connection(request)
    response = web.StreamResponse(headers={'X-Attempt-Id': request_id})
    response.enable_chunked_encoding()
    await response.prepare(request)
    assert request.transport is not None
    chunk = b'%x\r\n%b\r\n' % (
        len(server.endless_chunk),
        server.endless_chunk,
    )
    while server.sends_without_end and not request.transport.is_closing():
        if request.transport.get_write_buffer_size() < _PIECE_BYTES:
            request.transport.write(chunk * (_PIECE_BYTES // len(chunk) + 1))
        await asyncio.sleep(_PIECE_PAUSE_S)
    return drop_connection(request)


def _is_expected(server: PlatformServer, request: web.Request) -> bool:
    expected = request.headers.get('X-Expect-Instance', server.server_id)
    return expected == server.server_id


def _refuse(
    server: PlatformServer, request: web.Request
) -> web.Response | None:
    key = int(request.headers.get('X-Shard-Key', '0'))
    not_executed = {
        'X-Not-Executed': '1',
        'X-Instance-Id': server.server_id,
    } | server.statement_headers()
    if not _is_expected(server, request):
        return web.Response(status=421, headers=not_executed)
    if server.keyed and not server.holds(key):
        return web.Response(status=421, headers=not_executed)
    if server.shed_next:
        server.shed_next -= 1
        return web.Response(status=503, headers={'X-Not-Executed': '1'})
    if server.full:
        return web.Response(
            status=503, headers=not_executed | server.pause_headers()
        )
    if server.copied_answers is None:
        return None
    return server.copied_answers.refuse(
        request.headers['X-Attempt-Id'], not_executed
    )


def _send_extra_later(request: web.Request) -> None:
    assert request.transport is not None
    asyncio.get_running_loop().call_later(0.01, _write_extra, request.transport)


def _write_extra(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.write(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
            b'X-Server-Signature: x\r\nContent-Length: 5\r\n\r\nextra'
        )
