"""Contains unexpected errors: one task or message never ends the process."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.observability.metrics import Metrics

_log = structlog.get_logger()

# Delay before the first restart of a failed task; it doubles with each failure.
_MIN_RESTART_DELAY_S = 0.1
_MAX_RESTART_DELAY_S = 5.0
# A task that ran for this long starts again with the shortest delay.
_STABLE_S = 10.0


async def supervise(
    task: str, run: Callable[[], Awaitable[None]], metrics: Metrics
) -> None:
    """Runs a task until it returns, and restarts it after an error.

    Args:
        task: name of the task in logs and metrics.
        run: the task; it is called again for each restart.
        metrics: counts the failures.
    """
    delay_s = _MIN_RESTART_DELAY_S
    while True:
        started_s = elapsed_s()
        with contained(task, metrics):
            await run()
            return
        if elapsed_s() - started_s > _STABLE_S:
            delay_s = _MIN_RESTART_DELAY_S
        _log.warning('failed task restarts', task=task, delay_s=delay_s)
        await asyncio.sleep(delay_s)
        delay_s = min(delay_s * 2, _MAX_RESTART_DELAY_S)


@contextmanager
def contained(
    task: str,
    metrics: Metrics,
    *,
    passing: tuple[type[Exception], ...] = (),
) -> Iterator[None]:
    """Logs and counts an error of the block, and goes on after the block.

    Args:
        task: name of the block in logs and metrics.
        metrics: counts the errors.
        passing: errors that the caller handles.
    """
    try:
        yield
    except passing:
        raise
    except Exception as error:
        metrics.count('task_failures', task=task)
        _log.error(
            'unexpected error',
            task=task,
            reason=repr(error),
            where=_innermost_frames(error),
        )


def _innermost_frames(error: BaseException) -> list[str]:
    """Returns the last frames of a traceback as ``file:line function``."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    return [f'{frame.filename}:{frame.lineno} {frame.name}' for frame in frames]
