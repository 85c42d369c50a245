"""Sends a repeatable request to a second server when the first is too slow.

The first answer counts, and the other attempt is cancelled, which closes its
connection.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.routing.requests import Result, Served

# How often it is checked whether a request is overdue.
_CHECK_S = 0.05

Attempt = Coroutine[Any, Any, Result]
# Returns the second server once an attempt there is due.
SecondServer = Callable[[], Server | None]
# Returns the attempt at it, None if it is not allowed.
SecondAttempt = Callable[[Server], Awaitable[Attempt | None]]


async def first_result(
    first: Attempt, quiet_s: float, choose: SecondServer, send: SecondAttempt
) -> Result:
    """Returns the result of the first attempt, or of a second one.

    Args:
        first: sends the request.
        quiet_s: time before the first check.
        choose: asked at intervals until it returns a server.
        send: asked once for the attempt at that server.
    """
    task = asyncio.create_task(first)
    tasks: list[asyncio.Task[Result | None]] = [task]
    try:
        await asyncio.wait(tasks, timeout=quiet_s)
        while not task.done():
            server = choose()
            if server is not None:
                tasks.append(asyncio.create_task(_send_second(send, server)))
                return await _first_answer(task, tasks)
            await asyncio.wait(tasks, timeout=_CHECK_S)
        return task.result()
    finally:
        await _cancel(tasks)


async def _send_second(send: SecondAttempt, server: Server) -> Result | None:
    attempt = await send(server)
    return None if attempt is None else await attempt


async def _first_answer(
    first: asyncio.Task[Result], tasks: list[asyncio.Task[Result | None]]
) -> Result:
    """Returns the first answer, or else the result of the first attempt."""
    answer: Result | None = None
    for ended in asyncio.as_completed(tasks):
        answer = await ended
        if isinstance(answer, Served):
            break
    result = answer if isinstance(answer, Served) else first.result()
    # Both attempts were made, whichever was answered.
    result.attempts = sum(map(_attempts, tasks))
    return result


def _attempts(task: asyncio.Task[Result | None]) -> int:
    """Returns how many attempts a task made; it may be asking for its own."""
    if not task.done():
        return 1
    result = task.result()
    return 0 if result is None else result.attempts


async def _cancel(tasks: list[asyncio.Task[Result | None]]) -> None:
    pending = [task for task in tasks if not task.done()]
    for task in pending:
        task.cancel()
    if pending:
        await asyncio.wait(pending)
