"""Measures how late the event loop of this process runs what is due."""

import asyncio

import structlog

from yuccadale_edge._internal.observability.metrics import Metrics

_log = structlog.get_logger()

_MS_PER_S = 1000.0
# Callers notice a lag of this size in the latency of their requests.
_REPORTED_S = 0.25


async def sleep_and_observe_lag(duration_s: float, metrics: Metrics) -> None:
    """Sleeps, and observes by how much the event loop was late.

    One callback that runs for long delays all timers, so the lag shows for how
    long the loop was held, or the process did not run.

    Args:
        duration_s: how long to sleep.
        metrics: gets the lag in the histogram ``event_loop_lag``.
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + duration_s
    await asyncio.sleep(duration_s)
    lag_s = max(0, loop.time() - due_s)
    metrics.observe_ms('event_loop_lag', lag_s * _MS_PER_S)
    if lag_s >= _REPORTED_S:
        _log.warning('event loop was late', lag_ms=round(lag_s * _MS_PER_S))
