"""State of the server stand-in: grants, work under way, faults, records."""

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

_RECORDS = 500_000
_OUTCOMES = 100_000
_INCARNATION_BYTES = 8


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """What a server declares about itself.

    Attributes:
        service_ms: time that one request takes.
        cold_start_ms: time after the start in which work is slower.
        cold_factor: how much slower it is then.
        records_path: file that also gets each record, so that a killed
            process leaves them behind.
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
        freeze_ms: every handler stops for this long, from now on.
        lose_answers: answers dropped after the effect; a number counts
            down, ``true`` means all.
        shed: share of requests refused as shedding, from 0 to 1.
        drain: refuses new work as draining.
        delay_ms: added to the time of each request.
        load_factor: the load report is multiplied by it.
        stale_load: the load report stays what it was.
        hide_drain: the load and health reports do not admit the draining.
        claim_unhealthy: the health report says unhealthy.
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
    """One request under way."""

    request_id: str
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


class ServerState:
    """Everything that one server process keeps.

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
        self._shed_share: float = 0
        self._stale_load: LoadReport | None = None
        self._outcomes: OrderedDict[str, OutcomeAnswer] = OrderedDict()
        self._runs: deque[RunRecord] = deque(maxlen=_RECORDS)
        self._grants: deque[GrantRecord] = deque(maxlen=_RECORDS)
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
        """Answers a grant and records it."""
        answer = self.rules.offer(grant)
        ready_at_by_slot, ends_at_ms = self.rules.served_until()
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
        self._keep(self._grants, record)
        return answer

    def apply_faults(self, faults: ServerFaults) -> None:
        """Puts faults in force; a freeze counts from now."""
        if faults.freeze_ms:
            self._frozen_until_ms = self.clock() + faults.freeze_ms
            faults.freeze_ms = 0
        self._stale_load = self.load() if faults.stale_load else None
        self.faults = faults

    def frozen_ms(self) -> float:
        """Returns how long the freeze still lasts."""
        return max(self._frozen_until_ms - self.clock(), 0)

    def begin(self, work: Work) -> bool:
        """Takes a place for a request, if the concurrency allows it."""
        if len(self._running) >= self.options.concurrency:
            self._over_limit += 1
            return False
        self._running.append(work)
        self._most_running = max(self._most_running, len(self._running))
        return True

    def cancel(self, request_id: str) -> bool:
        """Gives up what runs under the id; says whether there was any."""
        works = self._running_works(request_id)
        for work in works:
            work.cancelled.set()
        return bool(works)

    def end(
        self, work: Work, record: RunRecord, answer: TargetAnswer | None
    ) -> None:
        """Gives the place back and records the run and its outcome."""
        self._running.remove(work)
        self._keep(self._runs, record)
        known = self._outcomes.get(work.request_id)
        if answer is None and known is not None:
            # A second copy that was given up changes nothing.
            return
        outcome = (
            ServerOutcome.not_run if answer is None else ServerOutcome.done
        )
        self._outcomes[work.request_id] = OutcomeAnswer(outcome, answer)
        if len(self._outcomes) > _OUTCOMES:
            self._outcomes.popitem(last=False)
            self._remembered_since_ms = self.clock()

    def outcome(self, request_id: str) -> OutcomeAnswer:
        """Returns what is known about an id.

        A request that was never seen may still arrive or may have run before
        a restart, so that ``not run`` is never claimed about it.
        """
        known = self._outcomes.get(request_id)
        if known is not None and known.outcome == ServerOutcome.done:
            return known
        if self._running_works(request_id):
            return OutcomeAnswer(ServerOutcome.running)
        if known is not None:
            return known
        return OutcomeAnswer(
            ServerOutcome.not_offered,
            remembered_ms=self.clock() - self._remembered_since_ms,
        )

    def sheds(self) -> bool:
        """Says whether this request is refused; keeps to the share evenly."""
        self._shed_share += self.faults.shed
        if self._shed_share < 1:
            return False
        self._shed_share -= 1
        return True

    def work_ms(self) -> float:
        """Returns how long a request takes now."""
        age_ms = self.clock() - self._started_ms
        cold = age_ms < self.options.cold_start_ms
        factor = self.options.cold_factor if cold else 1
        return self.options.service_ms * factor + self.faults.delay_ms

    def load(self) -> LoadReport:
        """Returns the load report, as the faults falsify it."""
        if self._stale_load is not None:
            return self._stale_load
        running = len(self._running)
        load = running / self.options.concurrency * self.faults.load_factor
        draining = self.faults.drain and not self.faults.hide_drain
        return LoadReport(running, load, draining)

    def loses_answer(self) -> bool:
        """Says whether this answer is dropped; counts down."""
        left = self.faults.lose_answers
        self.faults.lose_answers = count_down(left)
        return left > 0

    def saw_connections(self, count: int) -> None:
        """Keeps the most connections that were open at once."""
        self._most_connections = max(self._most_connections, count)

    def records(self) -> ServerRecords:
        """Returns everything that was recorded."""
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

    def _running_works(self, request_id: str) -> list[Work]:
        return [work for work in self._running if work.request_id == request_id]

    def _keep(self, records: deque, record: Record) -> None:
        if len(records) == records.maxlen:
            self._dropped += 1
        records.append(record)
        if self._records_file is not None:
            self._records_file.write(_record_line(record))


def _record_line(record: Record) -> bytes:
    return b'%s\n' % msgspec.json.encode(record)
