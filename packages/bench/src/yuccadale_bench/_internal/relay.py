"""The command ``relay``: a minimal HTTP proxy.

It has one handler and one client session and uses the same HTTP libraries as
the router. The command ``path`` compares the router's latency with it.
"""

import argparse
import asyncio
import itertools
import signal
from collections.abc import Sequence

import aiohttp
import uvloop
from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw

_METHODS = ('GET', 'POST')


def run_command(arguments: Sequence[str]) -> int:
    """Forwards requests to the addresses round robin until SIGTERM."""
    parser = argparse.ArgumentParser(prog='yuccadale_bench relay')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--addresses', required=True)
    options = parser.parse_args(arguments)
    uvloop.run(_relay(options.port, options.addresses.split(',')))
    return 0


async def _relay(port: int, addresses: list[str]) -> None:
    app = Sanic('yuccadale-bench-relay', configure_logging=False)
    app.config.MOTD = False
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    next_address = itertools.cycle(addresses)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def relay(request: Request, target: str) -> HTTPResponse:
            async with session.request(
                request.method,
                f'http://{next(next_address)}{request.raw_url.decode()}',
                data=request.body or None,
                headers=dict(request.headers),
            ) as answer:
                return raw(
                    await answer.read(),
                    status=answer.status,
                    headers={'Content-Type': answer.content_type},
                )

        app.add_route(relay, '/<target:path>', methods=_METHODS)
        server = await app.create_server(
            host='127.0.0.1', port=port, return_asyncio_server=True
        )
        if server is None:
            raise OSError(f'relay cannot listen on 127.0.0.1:{port}')
        await server.startup()
        await _wait_for_sigterm()
        server.close()


async def _wait_for_sigterm() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
