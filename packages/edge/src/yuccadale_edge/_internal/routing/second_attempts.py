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
    tasks = [asyncio.create_task(first)]
    try:
        await asyncio.wait(tasks, timeout=quiet_s)
        while not tasks[0].done():
            server = choose()
            if server is not None:
                attempt = await send(server)
                if attempt is not None:
                    tasks.append(asyncio.create_task(attempt))
                return await _first_answer(tasks)
            await asyncio.wait(tasks, timeout=_CHECK_S)
        return tasks[0].result()
    finally:
        await _cancel(tasks)


async def _first_answer(tasks: list[asyncio.Task[Result]]) -> Result:
    """Returns the first answer, or else the result of the first attempt."""
    for ended in asyncio.as_completed(tasks):
        result = await ended
        if isinstance(result, Served):
            break
    else:
        result = tasks[0].result()
    # Both attempts were made, whichever was answered.
    result.attempts = sum(
        task.result().attempts if task.done() else 1 for task in tasks
    )
    return result


async def _cancel(tasks: list[asyncio.Task[Result]]) -> None:
    pending = [task for task in tasks if not task.done()]
    for task in pending:
        task.cancel()
    if pending:
        await asyncio.wait(pending)
