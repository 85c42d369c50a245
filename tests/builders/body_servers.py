"""Servers with large requests and answers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_store import RunningStore
from yuccadale_standins.serving import listening

_PIECE_BYTES = 64 * 1024


@dataclass
class BodyServer:
    """A server that keeps no bodies.

    Attributes:
        work_s: processing time of a request.
        answer_bytes: size of the body of each answer.
        received: size of the body of each request, by its id.
    """

    server_id: str
    work_s: float = 0
    answer_bytes: int = 0
    received: dict[str, int] = field(default_factory=dict)


@asynccontextmanager
async def running_body_server(
    server: BodyServer, store: RunningStore, *, slots: int
) -> AsyncIterator[BodyServer]:
    """Runs a server of the service without keys; writes its entry."""
    application = web.Application()
    application.router.add_route('*', '/{path:.*}', _handler(server))
    entry = PlatformServer(
        server.server_id, 'stage', 'a', keyed=False, slots=slots
    )
    async with listening(application) as listener:
        entry.address = listener.address
        store.state.put('servers', server.server_id, entry.entry())
        await store.state.notify_feeds()
        yield server


def _handler(server: BodyServer):
    async def handle(request: web.Request) -> web.Response:
        request_id = request.headers.get('X-Attempt-Id', '')
        server.received[request_id] = 0
        async for piece in request.content.iter_chunked(_PIECE_BYTES):
            server.received[request_id] += len(piece)
        await asyncio.sleep(server.work_s)
        return web.Response(
            body=bytes(server.answer_bytes),
            headers={
                'X-Attempt-Id': request_id,
                'X-Server-Signature': f'{server.server_id}.{request_id}',
            },
        )

    return handle
