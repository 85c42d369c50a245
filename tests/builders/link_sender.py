"""A process that sends requests to one peer, as an entry instance does.

For each line of its input, the wait for the response in seconds, it writes the
time and then sends a request on its link, once. The first is answered before
it writes ``ready``.
"""

import asyncio
import sys
import time
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import uvloop

from tests.builders.sender_process import (
    request_sending,
    sender_process,
)
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)

FIRST_BODY = b'first'
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
    async with sender_process(
        'tests.builders.link_sender', *address
    ) as process:
        yield process


async def send_request(process: Process, wait_s: float) -> float:
    """Lets the process send a request; returns the time just before that."""
    return await request_sending(process, str(wait_s))


if __name__ == '__main__':
    uvloop.run(_run(sys.argv[1], int(sys.argv[2])))
