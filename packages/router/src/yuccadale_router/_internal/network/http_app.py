"""Sanic applications that run on the event loop of the daemon."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sanic import Sanic
from sanic.server import AsyncioServer

_KEEP_ALIVE_S = 75
_RESPONSE_TIMEOUT_S = 120


def make_app(name: str, body_limit_bytes: int) -> Sanic:
    """Makes an application.

    ``MOTD`` is off because it starts the process ``uname`` through the
    standard library; ``TOUCHUP``, because it fails for a second application
    in one process.
    """
    app = Sanic(name, configure_logging=False)
    app.config.MOTD = False
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = body_limit_bytes
    app.config.RESPONSE_TIMEOUT = _RESPONSE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = _KEEP_ALIVE_S
    return app


@asynccontextmanager
async def serve_app(
    app: Sanic, host: str, port: int
) -> AsyncIterator[AsyncioServer]:
    """Serves an application until the block ends."""
    server = await app.create_server(
        host=host, port=port, return_asyncio_server=True, access_log=False
    )
    if server is None:
        raise OSError(f'cannot listen on {host}:{port}')
    await server.startup()
    await server.before_start()
    await server.after_start()
    try:
        yield server
    finally:
        await _close(server)


async def _close(server: AsyncioServer) -> None:
    """Stops listening and closes idle connections."""
    await server.before_stop()
    server.close()
    await server.wait_closed()
    for connection in tuple(server.connections):
        connection.close_if_idle()
    await server.after_stop()
