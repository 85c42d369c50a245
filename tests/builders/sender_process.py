"""Runs a module as a process that sends on request, and writes when it did."""

import asyncio
import os
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

_ROOT = Path(__file__).parents[2]


@asynccontextmanager
async def sender_process(
    module: str, *arguments: object
) -> AsyncIterator[Process]:
    """Runs the process while the block runs; it is ready at the begin."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *map(str, arguments),
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


async def request_sending(process: Process, line: str) -> float:
    """Lets the process send; returns the time just before that."""
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write(f'{line}\n'.encode())
    return float(await process.stdout.readline())
