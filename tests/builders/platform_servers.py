"""Stand-ins for the platform's servers: keys, fences, faults, a journal."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from tests.builders.platform_store import RunningStore
from yuccadale_standins.serving import drop_connection, listening


@dataclass
class KeyGrant:
    """Keys that the server holds."""

    first: int
    last: int
    fence: int
    until_s: float


@dataclass
class PlatformServer:
    """One life of a server.

    Attributes:
        runs: how often each request id began to be worked on.
        work_s: time that a request takes.
        lose_answers: requests run, and their connections end unanswered.
        shed_next: so many requests are refused although there is room.
        extra_answers: a second answer follows each one, a little later.
        history: what it was told about keys, in order.
    """

    server_id: str
    service: str
    zone: str
    keyed: bool
    slots: int = 2
    work_s: float = 0.005
    lose_answers: bool = False
    extra_answers: bool = False
    full: bool = False
    shed_next: int = 0
    health_path: str = '/healthz'
    address: str = ''
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    runs: Counter[str] = field(default_factory=Counter)
    grants: list[KeyGrant] = field(default_factory=list)
    seen: list[tuple[int, int, int]] = field(default_factory=list)
    history: list[tuple[str, int, int, int]] = field(default_factory=list)
    working: int = 0

    def holds(self, key: int) -> bool:
        """Whether it holds a key now."""
        return any(
            one.first <= key <= one.last and one.until_s > time.monotonic()
            for one in self.grants
        )

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

    def release(self, first: int, last: int) -> None:
        """Gives a range back, also a part of a grant."""
        kept: list[KeyGrant] = []
        for one in self.grants:
            if one.last < first or one.first > last:
                kept.append(one)
                continue
            if one.first < first:
                kept.append(
                    KeyGrant(one.first, first - 1, one.fence, one.until_s)
                )
            if one.last > last:
                kept.append(
                    KeyGrant(last + 1, one.last, one.fence, one.until_s)
                )
        self.grants = kept


@asynccontextmanager
async def running_server(
    server: PlatformServer, store: RunningStore
) -> AsyncIterator[PlatformServer]:
    """Runs a server and registers it."""
    application = web.Application()
    application.router.add_post('/v1/grant', _grant(server))
    application.router.add_post('/v1/release', _release(server))
    application.router.add_get(server.health_path, _health(server))
    application.router.add_route('*', '/{path:.*}', _request(server))
    async with listening(application) as listener:
        server.address = listener.address
        store.state.put('servers', server.server_id, server.entry())
        await store.state.wake()
        yield server


def _health(server: PlatformServer):
    async def handle(_request: web.Request) -> web.Response:
        return web.Response(headers={'X-Instance-Id': server.server_id})

    return handle


def _grant(server: PlatformServer):
    async def handle(request: web.Request) -> web.Response:
        if not server.keyed:
            return web.Response(status=400)
        body = msgspec.json.decode(await request.read())
        first, last, fence = body['from'], body['to'], body['fence']
        server.history.append(('grant', first, last, fence))
        if any(
            one[0] <= last and one[1] >= first and one[2] > fence
            for one in server.seen
        ):
            return web.Response(status=409)
        server.seen.append((first, last, fence))
        hold_s = int(body['hold_time'].removesuffix('ms')) / 1000
        server.release(first, last)
        server.grants.append(
            KeyGrant(first, last, fence, time.monotonic() + hold_s)
        )
        return web.Response()

    return handle


def _release(server: PlatformServer):
    async def handle(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        first, last, fence = body['from'], body['to'], body['fence']
        server.history.append(('release', first, last, fence))
        server.release(first, last)
        while server.working:
            await asyncio.sleep(0.001)
        return web.Response(headers={'X-Handover': f'h{fence}'})

    return handle


def _request(server: PlatformServer):
    async def handle(request: web.Request) -> web.Response:
        attempt = request.headers.get('X-Attempt-Id', '')
        if not attempt:
            return web.Response(status=400, headers={'X-Not-Executed': '1'})
        refused = _refusal(server, request)
        if refused is not None:
            return refused
        sent = await request.read()
        server.runs[attempt] += 1
        server.working += 1
        try:
            await asyncio.sleep(server.work_s)
        finally:
            server.working -= 1
        if server.lose_answers:
            return drop_connection(request)
        body = f'{request.method} {request.path_qs} '.encode()
        response = web.Response(
            body=body + sent,
            headers={
                'X-Attempt-Id': attempt,
                'X-Server-Signature': f'{server.server_id}.{attempt}',
            },
        )
        if server.extra_answers and request.transport is not None:
            asyncio.get_running_loop().call_later(
                0.01, _write_extra, request.transport
            )
        return response

    return handle


def _refusal(
    server: PlatformServer, request: web.Request
) -> web.Response | None:
    expected = request.headers.get('X-Expect-Instance', server.server_id)
    key = int(request.headers.get('X-Shard-Key', '0'))
    not_executed = {'X-Not-Executed': '1', 'X-Instance-Id': server.server_id}
    if expected != server.server_id:
        return web.Response(status=421, headers=not_executed)
    if server.keyed and not server.holds(key):
        return web.Response(status=421, headers=not_executed)
    if server.shed_next:
        server.shed_next -= 1
        return web.Response(status=503, headers={'X-Not-Executed': '1'})
    if server.full:
        return web.Response(status=503, headers=not_executed)
    return None


def _write_extra(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.write(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
            b'X-Server-Signature: x\r\nContent-Length: 5\r\n\r\nextra'
        )
