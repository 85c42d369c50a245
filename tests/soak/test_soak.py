"""A short soak test of instance processes with fixed seeds."""

import asyncio
from pathlib import Path

import pytest

from tests.soak.run import run_seed

SECONDS = 6.0
# Seeds other than 1 once failed because of faults of the soak test itself:
# 6 (and 47, which is not run here): an instance that was terminating at the
# end was not restarted.
# 32: SIGTERM was sent to a process that did not listen yet.
# 38: an outgoing connection took the port that an instance was to listen on.
# 7104: servers copy refusals of requests that come again.
SEEDS = (1, 6, 32, 38, 7104)
# With planned work only, each request that ran gets an answer.
PLANNED_SEEDS = (1, 2, 7104)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold(seed: int, tmp_path: Path) -> None:
    """Guards against duplicate runs, false refusals, keys with two holders."""
    report = asyncio.run(run_seed(seed, SECONDS, tmp_path))
    assert not report.problems


@pytest.mark.parametrize('seed', PLANNED_SEEDS)
def test_planned_work_leaves_no_request_unanswered(
    seed: int, tmp_path: Path
) -> None:
    """Guards against requests that a stop, or a change, breaks off."""
    report = asyncio.run(run_seed(seed, SECONDS, tmp_path, planned=True))
    assert not report.problems
