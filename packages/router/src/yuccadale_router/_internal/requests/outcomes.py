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

_QUESTION_LIMIT_MS = 500
# Questions to one server at a time; they use the connections that a server
# has beyond its concurrency.
_QUESTIONS_AT_A_TIME = 4


class Finding(StrEnum):
    """What a question to the server led to."""

    settled = 'settled'
    # Another request has settled the record in the meantime.
    overtaken = 'overtaken'
    running = 'running'
    unknown = 'unknown'


class OutcomeQuestion:
    """Settles unknown records by asking the server, never by a guess."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._open_by_server: Counter[str] = Counter()

    async def ask(
        self,
        target: Target,
        records: RecordStore,
        record: Record,
        *,
        deadline_ms: float,
        fenced: bool,
    ) -> Finding:
        """Asks once and settles the record if the answer is certain.

        Args:
            fenced: whether a copy of the request that is still under way to
                the server would be refused there.
        """
        left_ms = min(deadline_ms - self._clock(), _QUESTION_LIMIT_MS)
        if left_ms <= 0:
            return Finding.unknown
        if self._open_by_server[record.server] >= _QUESTIONS_AT_A_TIME:
            return Finding.running
        self._counters.count(counter_names.OUTCOME_ASKED)
        _, request_id = record.record_id
        server_name = record.server
        self._open_by_server[server_name] += 1
        try:
            async with asyncio.timeout(seconds(left_ms)):
                reported = await target.outcome(request_id)
        except TimeoutError:
            return Finding.unknown
        finally:
            self._open_by_server[server_name] -= 1
        if reported.is_error():
            return Finding.unknown
        return self._settle(records, record, reported.ok, fenced=fenced)

    def _settle(
        self,
        records: RecordStore,
        record: Record,
        report: OutcomeAnswer,
        *,
        fenced: bool,
    ) -> Finding:
        if records.find(record.record_id) is not record:
            return Finding.overtaken
        if record.state not in {RecordState.unknown, RecordState.done}:
            return Finding.overtaken
        if report.outcome == ServerOutcome.running:
            return Finding.running
        if report.outcome == ServerOutcome.done:
            if report.answer is None:
                return Finding.unknown
            records.finish(record, report.answer)
        elif fenced and self._remembered_since(record, report):
            # Without the fence, "not run" may be about an earlier copy of
            # the id that was refused, while a later copy still waits unread.
            records.drop(record)
        else:
            return Finding.unknown
        self._counters.count(counter_names.OUTCOME_RESOLVED)
        return Finding.settled

    def _remembered_since(self, record: Record, report: OutcomeAnswer) -> bool:
        """Says whether the server's memory reaches back to the record.

        A server that was restarted does not know what it ran before.
        """
        if report.remembered_ms is None:
            return False
        age_ms = self._clock() - record.made_ms
        return (
            report.remembered_ms
            > age_ms * CLOCK_RATE_MARGIN + CALLER_ALLOWANCE_MS
        )
