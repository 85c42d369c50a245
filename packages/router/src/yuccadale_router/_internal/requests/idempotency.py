"""Idempotency records: the state and the answer of each request id."""

import asyncio
from collections import deque
from collections.abc import Iterator
from enum import StrEnum

import xxhash

from yuccadale_core.messages import Forward, RecordChange
from yuccadale_core.targets import TargetAnswer
from yuccadale_core.timing import CLOCK_RATE_MARGIN, milliseconds
from yuccadale_router._internal.clock import Clock

# Allowance for the delay between caller and instance; the tenure rule uses it.
CALLER_ALLOWANCE_MS = 2000
# Token of records from an earlier leader; lower than every valid token.
INHERITED_TOKEN = -1

RecordId = tuple[int, str]


class RecordState(StrEnum):
    """State of the work of a request id."""

    started = 'started'
    done = 'done'
    unknown = 'unknown'
    not_run = 'not run'


class Record:
    """State and answer of one request id.

    Attributes:
        server: name of the server that the request is written to.
        token: fencing token of that write.
        created_ms: creation time on this process's clock.
        answer: the server's answer, if the work is done and it is still stored.
        outcome_known: future that requests with the same id wait for, None if
            there are none.
    """

    __slots__ = (
        'answer',
        'fingerprint',
        'created_ms',
        'record_id',
        'server',
        'outcome_known',
        'state',
        'token',
    )

    def __init__(
        self, record_id: RecordId, fingerprint: int, created_ms: float
    ) -> None:
        self.record_id = record_id
        self.fingerprint = fingerprint
        self.created_ms = created_ms
        self.server = ''
        self.token = INHERITED_TOKEN
        self.state = RecordState.started
        self.answer: TargetAnswer | None = None
        self.outcome_known: asyncio.Future[None] | None = None

    def change(self, now_ms: float) -> RecordChange:
        """Returns the record as a message for the standby."""
        answer = self.answer
        slot, request_id = self.record_id
        return RecordChange(
            slot=slot,
            request_id=request_id,
            state=self.state.value,
            fingerprint=self.fingerprint,
            server=self.server,
            age_ms=now_ms - self.created_ms,
            status=answer.status if answer else 0,
            headers=dict(answer.headers) if answer else {},
            body=answer.body if answer else b'',
        )


def fingerprint_of(forward: Forward) -> int:
    """Returns a hash of the fields that requests with one id must share."""
    hasher = xxhash.xxh3_64()
    for part in (forward.method, forward.path, forward.key):
        hasher.update(part.encode())
        hasher.update(b'\n')
    hasher.update(forward.body)
    return hasher.intdigest()


class RecordStore:
    """The records of one group, oldest first.

    Records are kept for the retry window plus the caller's allowance. New ids
    are refused at the limit; no live record is dropped, because its work
    could then run twice. The oldest answers are dropped when the bodies
    exceed their limit.
    """

    def __init__(
        self,
        clock: Clock,
        retry_window_s: float,
        *,
        record_limit: int,
        body_limit_bytes: int,
    ) -> None:
        self._clock = clock
        self._retention_ms: float = 0
        self._record_limit = record_limit
        self._body_limit_bytes = body_limit_bytes
        self._body_bytes = 0
        self._record_by_id: dict[RecordId, Record] = {}
        self._records_with_body: deque[Record] = deque()
        self.set_retry_window(retry_window_s)

    def __len__(self) -> int:
        """Returns the number of records, expired ones included."""
        return len(self._record_by_id)

    def set_retry_window(self, retry_window_s: float) -> None:
        """Applies a changed retry window."""
        window_ms = milliseconds(retry_window_s)
        self._retention_ms = window_ms * CLOCK_RATE_MARGIN + CALLER_ALLOWANCE_MS

    def is_full(self) -> bool:
        """Returns whether the limit of records is reached."""
        self._remove_expired()
        return len(self._record_by_id) >= self._record_limit

    def find(self, record_id: RecordId) -> Record | None:
        """Returns the live record of an id, None if there is none."""
        record = self._record_by_id.get(record_id)
        if record is None or not self._expired(record):
            return record
        # Running work keeps its record.
        return record if record.state == RecordState.started else None

    def start(self, record_id: RecordId, fingerprint: int) -> Record:
        """Creates the record of work that is about to be sent."""
        record = Record(record_id, fingerprint, self._clock())
        self._record_by_id.pop(record_id, None)
        self._record_by_id[record_id] = record
        return record

    def finish(self, record: Record, answer: TargetAnswer | None) -> None:
        """Records that the work ran; ``answer`` is None if it is unknown."""
        record.state = RecordState.done
        record.answer = answer
        if answer is not None:
            self._body_bytes += len(answer.body)
            self._records_with_body.append(record)
            self._drop_old_bodies()
        self._wake_waiters(record)

    def mark_unknown(self, record: Record) -> None:
        """Records that the work may have run."""
        record.state = RecordState.unknown
        self._wake_waiters(record)

    def drop(self, record: Record) -> None:
        """Removes the record of work that certainly did not run."""
        record.state = RecordState.not_run
        if self._record_by_id.get(record.record_id) is record:
            self._record_by_id.pop(record.record_id)
        self._wake_waiters(record)

    def export(self) -> Iterator[RecordChange]:
        """Yields all live records."""
        self._remove_expired()
        now_ms = self._clock()
        for record in self._record_by_id.values():
            yield record.change(now_ms)

    def import_changes(self, changes: list[RecordChange]) -> None:
        """Imports records of an earlier leader.

        A ``started`` record becomes ``unknown``: its work may have run.
        """
        for change in sorted(changes, key=_age, reverse=True):
            self._import_change(change)

    def _import_change(self, change: RecordChange) -> None:
        record_id = (change.slot, change.request_id)
        known = self._record_by_id.get(record_id)
        if known is not None and not _may_replace(known, change):
            return
        if change.state == RecordState.not_run.value:
            if known is not None:
                self.drop(known)
            return
        record = known or Record(
            record_id, change.fingerprint, self._clock() - change.age_ms
        )
        record.server = change.server
        self._record_by_id[record_id] = record
        if change.state == RecordState.done.value:
            answer = TargetAnswer(change.status, change.headers, change.body)
            self.finish(record, answer if change.status else None)
        else:
            self.mark_unknown(record)

    def _wake_waiters(self, record: Record) -> None:
        outcome_known = record.outcome_known
        record.outcome_known = None
        if outcome_known is not None and not outcome_known.done():
            outcome_known.set_result(None)

    def _expired(self, record: Record) -> bool:
        return self._clock() - record.created_ms > self._retention_ms

    def _remove_expired(self) -> None:
        expired: list[Record] = []
        for record in self._record_by_id.values():
            if not self._expired(record):
                break
            if record.state != RecordState.started:
                expired.append(record)
        for record in expired:
            self._record_by_id.pop(record.record_id)
        while self._records_with_body and self._expired(
            self._records_with_body[0]
        ):
            self._drop_body(self._records_with_body.popleft())

    def _drop_old_bodies(self) -> None:
        while self._body_bytes > self._body_limit_bytes:
            self._drop_body(self._records_with_body.popleft())

    def _drop_body(self, record: Record) -> None:
        if record.answer is not None:
            self._body_bytes -= len(record.answer.body)
            record.answer = None


def _age(change: RecordChange) -> float:
    return change.age_ms


def _may_replace(known: Record, change: RecordChange) -> bool:
    # Only unresolved imported records may be replaced, never this leader's own.
    return (
        known.state == RecordState.unknown
        and known.token == INHERITED_TOKEN
        and known.fingerprint == change.fingerprint
    )
