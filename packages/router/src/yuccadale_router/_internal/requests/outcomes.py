"""Asks a server what became of an id whose outcome is unknown."""

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
# Questions to one server at a time; they use the connections that a server
# has beyond its concurrency.
_MAX_QUERIES_PER_SERVER = 4


class OutcomeQueryResult(StrEnum):
    """What a question to the server led to."""

    settled = 'settled'
    # Another request has settled the record in the meantime.
    overtaken = 'overtaken'
    running = 'running'
    unknown = 'unknown'


class OutcomeQuery:
    """Settles unknown records by asking the server, never by a guess."""

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
        """Asks once and settles the record if the answer is certain.

        Args:
            fenced: whether a copy of the request that is still under way to
                the server would be refused there.
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
            # Without the fence, "not run" may be about an earlier copy of
            # the id that was refused, while a later copy still waits unread.
            records.drop(record)
        else:
            return OutcomeQueryResult.unknown
        self._counters.count(counter_names.OUTCOME_RESOLVED)
        return OutcomeQueryResult.settled

    def _memory_covers(self, record: Record, report: OutcomeAnswer) -> bool:
        """Says whether the server's memory reaches back to the record.

        A server that was restarted does not know what it ran before.
        """
        if report.remembered_ms is None:
            return False
        age_ms = self._clock() - record.created_ms
        return (
            report.remembered_ms
            > age_ms * CLOCK_RATE_MARGIN + CALLER_ALLOWANCE_MS
        )
