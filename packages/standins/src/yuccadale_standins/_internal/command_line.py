"""Command line of the stand-ins."""

import argparse
import asyncio
import os
import signal
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop

from yuccadale_core.platform import ListedInstance
from yuccadale_standins._internal.platform_app import run_platform
from yuccadale_standins._internal.server_app import run_server
from yuccadale_standins._internal.server_state import ServerOptions


def main(arguments: Sequence[str]) -> int:
    """Runs one stand-in until SIGTERM or SIGINT."""
    options = _parser().parse_args(arguments)
    # Prevents uvloop from opening an io_uring ring for the loop.
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(options.run(options))
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='yuccadale_standins')
    subcommands = parser.add_subparsers(required=True)
    platform = subcommands.add_parser(
        'platform', help='table, objects and list of instances'
    )
    platform.set_defaults(run=_run_platform)
    platform.add_argument('--port', type=int, default=0)
    platform.add_argument(
        '--instances', type=Path, help='JSON array of listed instances'
    )
    server = subcommands.add_parser('server', help='one server of a service')
    server.set_defaults(run=_run_server)
    server.add_argument('--port', type=int, default=0)
    server.add_argument('--name', required=True)
    server.add_argument('--service', required=True)
    server.add_argument('--concurrency', type=int, default=2)
    server.add_argument('--connections', type=int, default=120)
    server.add_argument('--not-checking', action='store_true')
    server.add_argument('--service-ms', type=float, default=0)
    server.add_argument('--cold-start-ms', type=float, default=0)
    server.add_argument(
        '--records', type=Path, help='file to which each record is appended'
    )
    return parser


async def _run_platform(options: argparse.Namespace) -> None:
    instances = []
    if options.instances is not None:
        instances = msgspec.json.decode(
            options.instances.read_bytes(), type=list[ListedInstance]
        )
    async with run_platform(instances, options.port) as platform:
        print(f'platform listens on {platform.url}', flush=True)
        await _wait_for_stop_signal()


async def _run_server(options: argparse.Namespace) -> None:
    server_options = ServerOptions(
        name=options.name,
        service=options.service,
        concurrency=options.concurrency,
        connections=options.connections,
        checks_grants=not options.not_checking,
        service_ms=options.service_ms,
        cold_start_ms=options.cold_start_ms,
        records_path=options.records,
    )
    async with run_server(server_options, options.port) as server:
        print(f'server listens on http://{server.address}', flush=True)
        await _wait_for_stop_signal()


async def _wait_for_stop_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
