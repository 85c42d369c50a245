"""Runs a stand-in's application on a loopback port."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import web

# Short, because handlers may hold requests as a simulated fault.
_SHUTDOWN_S = 0.1
_HOST = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class Listener:
    """A listening stand-in; ``runner`` has its open connections."""

    address: str
    runner: web.AppRunner


@asynccontextmanager
async def listening(
    application: web.Application, port: int = 0
) -> AsyncIterator[Listener]:
    """Serves the application; port 0 selects a free port."""
    runner = web.AppRunner(
        application, access_log=None, shutdown_timeout=_SHUTDOWN_S
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, _HOST, port, reuse_address=True)
        await site.start()
        bound_port = runner.addresses[0][1]
        yield Listener(f'{_HOST}:{bound_port}', runner)
    finally:
        await runner.cleanup()


def drop_connection(request: web.BaseRequest) -> web.Response:
    """Closes the connection; the returned response is not sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
