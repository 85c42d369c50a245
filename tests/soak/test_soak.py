"""A short seeded soak; guards against promises broken by real processes."""

import asyncio
from pathlib import Path

import pytest

from tests.soak.run import play

SECONDS = 6.0
# The first is a usual mix. Seeds that ever failed, with their cause:
# 6: the soak did not start an instance again that was told to end at its end.
# 32: the soak sent SIGTERM to a process that had not begun to listen.
# 38: a connection had taken a port that the soak had found free.
# 47: the same as 6.
SEEDS = (1, 6, 32, 38)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold(seed: int, tmp_path: Path) -> None:
    """Guards against double runs, untrue refusals and shared keys."""
    report = asyncio.run(play(seed, SECONDS, tmp_path))
    assert not report.problems
