"""A process that sends ownership calls to one server, as a leader does.

It sends one grant, and writes ``ready`` when that was answered. For each line
of its input, the kind of a call and a fencing token, it writes the time and
then sends the call, once.
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
from yuccadale_edge.instance import (
    AnswerLostError,
    CallKind,
    ClientPool,
    NotSentError,
    OwnershipCall,
)
from yuccadale_edge.ownership import Holder
from yuccadale_platform.adapter import PlatformServerCalls

LEASE_S = 4.5
_ERRORS = (NotSentError, AnswerLostError, TimeoutError)


async def _send(
    calls: PlatformServerCalls, address: tuple[str, int], kind: str, fence: int
) -> None:
    call = OwnershipCall(CallKind(kind), Holder('s', 1), 0, 99, fence)
    if call.kind == CallKind.grant:
        await calls.grant(address, call, LEASE_S, lambda: True)
    else:
        await calls.release(address, call, lambda: True)


async def _run(host: str, port: int, fence: int) -> None:
    calls = PlatformServerCalls(ClientPool(asyncio.get_running_loop()))
    await _send(calls, (host, port), CallKind.grant, fence)
    print('ready', flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        kind, next_fence = line.split()
        print(time.monotonic(), flush=True)
        try:
            await _send(calls, (host, port), kind, int(next_fence))
        except _ERRORS as error:
            print(repr(error), file=sys.stderr)


@asynccontextmanager
async def call_sender(
    address: tuple[str, int], fence: int
) -> AsyncIterator[Process]:
    """Runs the process while the block runs; it is ready at the begin."""
    async with sender_process(
        'tests.builders.call_sender', *address, fence
    ) as process:
        yield process


async def request_call(process: Process, kind: str, fence: int) -> float:
    """Lets the process send a call; returns the time just before that."""
    return await request_sending(process, f'{kind} {fence}')


if __name__ == '__main__':
    uvloop.run(_run(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
