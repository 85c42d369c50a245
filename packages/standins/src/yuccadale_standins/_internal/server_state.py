"""State of the simulated server: grants, requests, faults, records."""

import asyncio
import secrets
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from yuccadale_core.targets import (
    Grant,
    GrantAnswer,
    LoadReport,
    OutcomeAnswer,
    ServerOutcome,
    TargetAnswer,
)
from yuccadale_standins._internal.grant_rules import GrantRules
from yuccadale_standins._internal.platform_state import count_down
from yuccadale_standins._internal.records import (
    GrantRecord,
    Record,
    RunRecord,
    ServerRecords,
)

Clock = Callable[[], float]

_MAX_RECORDS = 500_000
_MAX_OUTCOMES = 100_000
_INCARNATION_BYTES = 8


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """Options of one simulated server.

    Attributes:
        service_ms: processing time of one request.
        cold_start_ms: time after the start in which requests are slower.
        cold_factor: factor of the processing time during a cold start.
        records_path: file to which each record is also appended, so that the
            records of a killed process are available.
    """

    name: str
    service: str
    concurrency: int = 2
    connections: int = 120
    checks_grants: bool = True
    service_ms: float = 0
    cold_start_ms: float = 0
    cold_factor: float = 5
    records_path: Path | None = None


class ServerFaults(msgspec.Struct, kw_only=True):
    """Faults in force.

    Attributes:
        freeze_ms: all handlers pause for this long, starting now.
        lose_answers: answers dropped after the request took effect: a number
            that counts down, or ``true`` for all.
        shed: share of requests refused as shedding, from 0 to 1.
        drain: whether new requests are refused as draining.
        delay_ms: added to the processing time of each request.
        load_factor: factor of the reported load.
        stale_load: whether the load report is no longer updated.
        hide_drain: whether the load and health reports hide the draining.
        claim_unhealthy: whether the health report is unhealthy.
    """

    freeze_ms: float = 0
    lose_answers: bool | int = 0
    shed: float = 0
    drain: bool = False
    delay_ms: float = 0
    load_factor: float = 1
    stale_load: bool = False
    hide_drain: bool = False
    claim_unhealthy: bool = False


@dataclass(slots=True, eq=False)
class Work:
    """One running request."""

    request_id: str
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


class ServerState:
    """Grants, requests, faults and records of one server process.

    Args:
        clock: monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock, options: ServerOptions) -> None:
        self.clock = clock
        self.options = options
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self.rules = GrantRules(clock, self.incarnation)
        self.faults = ServerFaults()
        self._running: list[Work] = []
        self._started_ms = clock()
        self._remembered_since_ms = self._started_ms
        self._frozen_until_ms: float = 0
        self._shed_accumulator: float = 0
        self._stale_load: LoadReport | None = None
        self._outcomes: OrderedDict[str, OutcomeAnswer] = OrderedDict()
        self._runs: deque[RunRecord] = deque(maxlen=_MAX_RECORDS)
        self._grants: deque[GrantRecord] = deque(maxlen=_MAX_RECORDS)
        self._dropped = 0
        self._over_limit = 0
        self._most_running = 0
        self._most_connections = 0
        self._records_file = (
            None
            if options.records_path is None
            else options.records_path.open('ab', buffering=0)
        )

    def offer(self, grant: Grant) -> GrantAnswer:
        """Processes a grant and records it."""
        answer = self.rules.offer(grant)
        ready_at_by_slot, ends_at_ms = self.rules.serving_times()
        record = GrantRecord(
            server=self.options.name,
            incarnation=self.incarnation,
            holder=grant.holder,
            token=grant.token,
            sequence=grant.sequence,
            accepted=answer.accepted,
            gap=grant.gap,
            at_ms=self.clock(),
            ends_at_ms=ends_at_ms,
            ready_at_by_slot=ready_at_by_slot,
        )
        self._append_record(self._grants, record)
        return answer

    def apply_faults(self, faults: ServerFaults) -> None:
        """Replaces the faults in force; a freeze starts now."""
        if faults.freeze_ms:
            self._frozen_until_ms = self.clock() + faults.freeze_ms
            faults.freeze_ms = 0
        self._stale_load = self.load() if faults.stale_load else None
        self.faults = faults

    def remaining_freeze_ms(self) -> float:
        """Returns the remaining time of the freeze."""
        return max(self._frozen_until_ms - self.clock(), 0)

    def begin(self, work: Work) -> bool:
        """Adds a running request; returns False at the concurrency limit."""
        if len(self._running) >= self.options.concurrency:
            self._over_limit += 1
            return False
        self._running.append(work)
        self._most_running = max(self._most_running, len(self._running))
        return True

    def cancel(self, request_id: str) -> bool:
        """Cancels running requests with the id; returns whether any ran."""
        running_work = self._running_with_id(request_id)
        for work in running_work:
            work.cancelled.set()
        return bool(running_work)

    def end(
        self, work: Work, record: RunRecord, answer: TargetAnswer | None
    ) -> None:
        """Removes a running request; records the run and its outcome."""
        self._running.remove(work)
        self._append_record(self._runs, record)
        recorded = self._outcomes.get(work.request_id)
        if answer is None and recorded is not None:
            # An aborted copy does not replace an earlier outcome.
            return
        outcome = (
            ServerOutcome.not_run if answer is None else ServerOutcome.done
        )
        self._outcomes[work.request_id] = OutcomeAnswer(outcome, answer)
        if len(self._outcomes) > _MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
            self._remembered_since_ms = self.clock()

    def outcome(self, request_id: str) -> OutcomeAnswer:
        """Returns the recorded outcome of a request id.

        A request without a record may still arrive or may have run before a
        restart, so that its outcome is ``not offered``, never ``not run``.
        """
        recorded = self._outcomes.get(request_id)
        if recorded is not None and recorded.outcome == ServerOutcome.done:
            return recorded
        if self._running_with_id(request_id):
            return OutcomeAnswer(ServerOutcome.running)
        if recorded is not None:
            return recorded
        return OutcomeAnswer(
            ServerOutcome.not_offered,
            remembered_ms=self.clock() - self._remembered_since_ms,
        )

    def should_shed(self) -> bool:
        """Returns whether to shed this request; spreads the share evenly."""
        self._shed_accumulator += self.faults.shed
        if self._shed_accumulator < 1:
            return False
        self._shed_accumulator -= 1
        return True

    def work_ms(self) -> float:
        """Returns the current processing time of a request."""
        age_ms = self.clock() - self._started_ms
        cold = age_ms < self.options.cold_start_ms
        factor = self.options.cold_factor if cold else 1
        return self.options.service_ms * factor + self.faults.delay_ms

    def load(self) -> LoadReport:
        """Returns the load report, subject to the faults in force."""
        if self._stale_load is not None:
            return self._stale_load
        running = len(self._running)
        load = running / self.options.concurrency * self.faults.load_factor
        draining = self.faults.drain and not self.faults.hide_drain
        return LoadReport(running, load, draining)

    def should_drop_answer(self) -> bool:
        """Returns whether to drop this answer; counts down."""
        remaining = self.faults.lose_answers
        self.faults.lose_answers = count_down(remaining)
        return remaining > 0

    def record_connections(self, count: int) -> None:
        """Updates the maximum of open connections."""
        self._most_connections = max(self._most_connections, count)

    def records(self) -> ServerRecords:
        """Returns all records."""
        return ServerRecords(
            server=self.options.name,
            incarnation=self.incarnation,
            runs=list(self._runs),
            grants=list(self._grants),
            dropped=self._dropped,
            over_limit=self._over_limit,
            most_running=self._most_running,
            most_connections=self._most_connections,
        )

    def close(self) -> None:
        """Closes the records file."""
        if self._records_file is not None:
            self._records_file.close()

    def _running_with_id(self, request_id: str) -> list[Work]:
        return [work for work in self._running if work.request_id == request_id]

    def _append_record(self, records: deque, record: Record) -> None:
        if len(records) == records.maxlen:
            self._dropped += 1
        records.append(record)
        if self._records_file is not None:
            self._records_file.write(_record_line(record))


def _record_line(record: Record) -> bytes:
    return b'%s\n' % msgspec.json.encode(record)
