"""A process that sends requests to one peer, as an entry instance does.

For each line of its input, the wait for the response in seconds, it writes the
time and then sends a request on its link, once. The first is answered before
it writes ``ready``.
"""

import asyncio
import os
import sys
import time
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import uvloop

from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)

FIRST_BODY = b'first'
_ROOT = Path(__file__).parents[2]
_FIRST_WAIT_S = 5.0


async def _send(
    links: PeerLinks, address: tuple[str, int], body: bytes, wait_s: float
) -> None:
    await links.request(address, 'forward', body, wait_s, bytes)


async def _establish(links: PeerLinks, address: tuple[str, int]) -> None:
    """Sends the first request until it is answered."""
    while True:
        try:
            await _send(links, address, FIRST_BODY, _FIRST_WAIT_S)
        except PeerUnreachableError:
            # The peer's process is busy with other senders.
            continue
        return


async def _run(host: str, port: int) -> None:
    links = PeerLinks()
    await _establish(links, (host, port))
    print('ready', flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        print(time.monotonic(), flush=True)
        try:
            await _send(links, (host, port), line.encode(), float(line))
        except (LinkLostError, PeerUnreachableError) as error:
            print(repr(error), file=sys.stderr)


@asynccontextmanager
async def link_sender(address: tuple[str, int]) -> AsyncIterator[Process]:
    """Runs the process while the block runs; it is ready at the begin."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.builders.link_sender',
        *(str(part) for part in address),
        stdin=PIPE,
        stdout=PIPE,
        cwd=_ROOT,
        env=os.environ | {'UV_USE_IO_URING': '0'},
    )
    try:
        assert process.stdout is not None
        assert await process.stdout.readline() == b'ready\n'
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def send_request(process: Process, wait_s: float) -> float:
    """Lets the process send a request; returns the time just before that."""
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write(f'{wait_s}\n'.encode())
    return float(await process.stdout.readline())


if __name__ == '__main__':
    uvloop.run(_run(sys.argv[1], int(sys.argv[2])))
