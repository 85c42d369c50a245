"""Outcomes of table writes, detection of outages, and backoff."""

import random

import pytest
from expression import Result

from tests.builders.ownership_parts import ManualClock
from yuccadale_core.counters import Counters
from yuccadale_core.platform import Row, TableFailure, TableFailureKind
from yuccadale_router._internal.ownership.pacing import (
    BACKOFF_LIMIT_MS,
    Backoff,
    PacedTable,
)

MINE = Row('row', 2, 'text', 'mine')
OLD = Row('row', 1, 'text', 'old')
OTHER = Row('row', 2, 'text', 'other')


def _failure(kind: TableFailureKind, row: Row | None = None):
    return Result.Error(TableFailure(kind, 'test', row))


class _ScriptedTable:
    def __init__(self, written, read) -> None:
        self._written = written
        self._read = read

    async def write(self, name, text, *, expected_version, write_id):
        return self._written

    async def read(self, name):
        return self._read

    async def read_prefix(self, prefix):
        return Result.Ok([])


@pytest.mark.parametrize(
    ('written', 'read', 'kind'),
    [
        (Result.Ok(MINE), None, None),
        (_failure(TableFailureKind.conflict, MINE), None, None),
        (_failure(TableFailureKind.unknown), Result.Ok(MINE), None),
        (
            _failure(TableFailureKind.conflict, OTHER),
            None,
            TableFailureKind.conflict,
        ),
        (
            _failure(TableFailureKind.unknown),
            Result.Ok(OTHER),
            TableFailureKind.conflict,
        ),
        # A delayed write may still take effect after the read.
        (
            _failure(TableFailureKind.unknown),
            Result.Ok(OLD),
            TableFailureKind.unknown,
        ),
        (
            _failure(TableFailureKind.unknown),
            _failure(TableFailureKind.unavailable),
            TableFailureKind.unknown,
        ),
        (
            _failure(TableFailureKind.unavailable),
            None,
            TableFailureKind.unavailable,
        ),
    ],
)
async def test_outcome_of_a_write(written, read, kind):
    """Guards against treating a lost answer as a lost write."""
    table = PacedTable(_ScriptedTable(written, read), ManualClock(), Counters())
    outcome = await table.write('row', 'text', 1, 'mine')
    assert (outcome.error.kind if outcome.is_error() else None) == kind


async def test_failure_counts_as_an_outage_until_a_success():
    """Guards against moves that wait for a table that is known to be down."""
    clock = ManualClock()
    scripted = _ScriptedTable(None, _failure(TableFailureKind.unavailable))
    table = PacedTable(scripted, clock, Counters())
    await table.read('row')
    assert table.is_down()
    scripted._read = Result.Ok(None)
    await table.read('row')
    assert not table.is_down()


def test_backoff_grows_with_jitter_and_stays_bounded():
    """Guards against simultaneous retries to a recovering table."""
    delays = [Backoff(random.Random(seed)) for seed in range(20)]
    firsts = {backoff.next_delay_s() for backoff in delays}
    assert len(firsts) == len(delays)
    longest = max(delays[0].next_delay_s() for _ in range(100))
    assert 1 < longest <= BACKOFF_LIMIT_MS / 1000
