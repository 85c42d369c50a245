"""Rate limit, timeout and backoff of one process's table operations."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from expression import Result

from yuccadale_core.counters import Counters
from yuccadale_core.platform import (
    Row,
    Table,
    TableFailure,
    TableFailureKind,
)
from yuccadale_core.timing import TABLE_TIMEOUT_MS, seconds
from yuccadale_router._internal.clock import Clock

# The table accepts several hundred writes a second from all processes.
OPERATIONS_PER_SECOND = 20
OPERATION_BURST = 20
BACKOFF_BASE_MS = 200
BACKOFF_LIMIT_MS = 5000
BACKOFF_DOUBLINGS = 5
# The table counts as down for this long after a failure, unless an operation
# succeeds before.
OUTAGE_MEMORY_MS = 1000

_Answer = TypeVar('_Answer')
_Pending = Awaitable[Result[_Answer, TableFailure]]


class Backoff:
    """Exponential delays with full jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0

    def next_delay_s(self) -> float:
        """Returns the delay before the next attempt, longer each time."""
        ceiling = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2**self._failures)
        self._failures = min(self._failures + 1, BACKOFF_DOUBLINGS)
        return seconds(self._rng.uniform(BACKOFF_BASE_MS / 4, ceiling))

    def reset(self) -> None:
        """Starts again with the shortest delay, after a success."""
        self._failures = 0


class OperationLimit:
    """A token bucket; callers wait until a token is available."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._available: float = OPERATION_BURST
        self._updated_at = clock()

    async def wait_turn(self) -> None:
        """Returns when one more operation is allowed."""
        now = self._clock()
        elapsed_ms = now - self._updated_at
        self._updated_at = now
        refilled = elapsed_ms * seconds(OPERATIONS_PER_SECOND)
        self._available = min(OPERATION_BURST, self._available + refilled)
        self._available -= 1
        if self._available < 0:
            await asyncio.sleep(-self._available / OPERATIONS_PER_SECOND)


class PacedTable:
    """The table with a timeout, a rate limit and detection of outages."""

    def __init__(self, table: Table, clock: Clock, counters: Counters) -> None:
        self._table = table
        self._clock = clock
        self._counters = counters
        self._limit = OperationLimit(clock)
        self._failed_at: float | None = None

    def is_down(self) -> bool:
        """Says whether the newest operation failed a short time ago."""
        return (
            self._failed_at is not None
            and self._clock() - self._failed_at < OUTAGE_MEMORY_MS
        )

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        """Reads a row; an answer after the timeout counts as unavailable."""
        return await self._limited(
            'read', TableFailureKind.unavailable, lambda: self._table.read(name)
        )

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        """Reads the rows whose names start with the prefix."""
        return await self._limited(
            'read',
            TableFailureKind.unavailable,
            lambda: self._table.read_prefix(prefix),
        )

    async def write(
        self, name: str, text: str, expected_version: int, write_id: str
    ) -> Result[Row, TableFailure]:
        """Writes a row and resolves a lost answer by reading.

        The failure is ``unknown`` while the write may still take effect: it
        may be delayed, even when a read returns the old version. The next
        conditional write resolves it.
        """
        written = await self._limited(
            'write',
            TableFailureKind.unknown,
            lambda: self._table.write(
                name,
                text,
                expected_version=expected_version,
                write_id=write_id,
            ),
        )
        if written.is_ok():
            return written
        failure = written.error
        row = failure.row
        if failure.kind == TableFailureKind.unknown:
            row = (await self.read(name)).default_value(None)
        if row is None:
            return written
        if row.write_id == write_id:
            return Result.Ok(row)
        if row.version > expected_version:
            return Result.Error(
                TableFailure(TableFailureKind.conflict, 'another write', row)
            )
        return written

    async def _limited(
        self,
        operation: str,
        kind_on_timeout: TableFailureKind,
        call: Callable[[], _Pending[_Answer]],
    ) -> Result[_Answer, TableFailure]:
        await self._limit.wait_turn()
        self._counters.count(f'ownership.table.{operation}')
        try:
            answer = await asyncio.wait_for(call(), seconds(TABLE_TIMEOUT_MS))
        except TimeoutError:
            answer = Result.Error(TableFailure(kind_on_timeout, 'timeout'))
        if _is_outage(answer):
            self._failed_at = self._clock()
            self._counters.count(f'ownership.table.{operation}_failed')
        else:
            self._failed_at = None
        return answer


def _is_outage(answer: Result[_Answer, TableFailure]) -> bool:
    return answer.is_error() and answer.error.kind != TableFailureKind.conflict


async def sleep_jittered(interval_ms: float, rng: random.Random) -> None:
    """Sleeps between 0.5 and 1.5 intervals, so that processes spread out."""
    jittered_ms = rng.uniform(interval_ms / 2, interval_ms * 3 / 2)
    await asyncio.sleep(seconds(jittered_ms))
