"""Queries a server for the outcome of a request id."""

import asyncio
from collections import Counter
from enum import StrEnum

from yuccadale_core.counters import Counters
from yuccadale_core.targets import OutcomeAnswer, ServerOutcome, Target
from yuccadale_core.timing import CLOCK_RATE_MARGIN, seconds
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.requests import counter_names
from yuccadale_router._internal.requests.idempotency import (
    CALLER_ALLOWANCE_MS,
    Record,
    RecordState,
    RecordStore,
)

_QUERY_TIMEOUT_MS = 500
# Concurrent queries to one server; they use the connections reserved beyond its
# concurrency.
_MAX_QUERIES_PER_SERVER = 4


class OutcomeQueryResult(StrEnum):
    """Result of an outcome query."""

    settled = 'settled'
    # The record changed while the query was running.
    overtaken = 'overtaken'
    running = 'running'
    unknown = 'unknown'


class OutcomeQuery:
    """Resolves records with an unknown outcome from the server's report."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._open_queries_by_server: Counter[str] = Counter()

    async def query(
        self,
        target: Target,
        records: RecordStore,
        record: Record,
        *,
        deadline_ms: float,
        fenced: bool,
    ) -> OutcomeQueryResult:
        """Queries once and resolves the record if the report is conclusive.

        Args:
            fenced: whether the server would refuse a copy of the request that
                is still in flight.
        """
        left_ms = min(deadline_ms - self._clock(), _QUERY_TIMEOUT_MS)
        if left_ms <= 0:
            return OutcomeQueryResult.unknown
        if (
            self._open_queries_by_server[record.server]
            >= _MAX_QUERIES_PER_SERVER
        ):
            return OutcomeQueryResult.running
        self._counters.count(counter_names.OUTCOME_ASKED)
        _, request_id = record.record_id
        server_name = record.server
        self._open_queries_by_server[server_name] += 1
        try:
            async with asyncio.timeout(seconds(left_ms)):
                reported = await target.outcome(request_id)
        except TimeoutError:
            return OutcomeQueryResult.unknown
        finally:
            self._open_queries_by_server[server_name] -= 1
        if reported.is_error():
            return OutcomeQueryResult.unknown
        return self._apply_report(records, record, reported.ok, fenced=fenced)

    def _apply_report(
        self,
        records: RecordStore,
        record: Record,
        report: OutcomeAnswer,
        *,
        fenced: bool,
    ) -> OutcomeQueryResult:
        if records.find(record.record_id) is not record:
            return OutcomeQueryResult.overtaken
        if record.state not in {RecordState.unknown, RecordState.done}:
            return OutcomeQueryResult.overtaken
        if report.outcome == ServerOutcome.running:
            return OutcomeQueryResult.running
        if report.outcome == ServerOutcome.done:
            if report.answer is None:
                return OutcomeQueryResult.unknown
            records.finish(record, report.answer)
        elif fenced and self._memory_covers(record, report):
            # Without fencing, "not run" may refer to an earlier refused copy
            # of the request while the server has not read a later one.
            records.drop(record)
        else:
            return OutcomeQueryResult.unknown
        self._counters.count(counter_names.OUTCOME_RESOLVED)
        return OutcomeQueryResult.settled

    def _memory_covers(self, record: Record, report: OutcomeAnswer) -> bool:
        """Returns whether the server's memory reaches back to the record.

        A restarted server does not know what it ran before the restart.
        """
        if report.remembered_ms is None:
            return False
        age_ms = self._clock() - record.created_ms
        return (
            report.remembered_ms
            > age_ms * CLOCK_RATE_MARGIN + CALLER_ALLOWANCE_MS
        )
