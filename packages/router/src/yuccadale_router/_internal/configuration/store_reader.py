"""Reads declarations from the table at a few instances per data centre."""

import random
from collections.abc import Awaitable, Callable

import xxhash

from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import ScopeRevision
from yuccadale_core.platform import Table, TableFailure
from yuccadale_core.timing import (
    STORE_READ_INTERVAL_MS,
    STORE_READERS_PER_DATA_CENTRE,
    seconds,
)

from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.configuration.declaration_rows import (
    read_heads,
    read_revision,
    read_revisions,
)
from yuccadale_router._internal.configuration.in_force import (
    RevisionsInForce,
    is_newer,
)

Sleep = Callable[[float], Awaitable[None]]
Jitter = Callable[[], float]
ApplyRevisions = Callable[[list[ScopeRevision]], None]

# The hint is read at every interval; all rows at every n-th, because an
# instance can fail between its commit and its update of the hint.
_INTERVALS_PER_FULL_READ = 4
# For more scopes than this, one read of all rows costs less.
_SINGLE_READS_LIMIT = 2
_BACKOFF_LIMIT_MS = 2000
# Other instances read only while no peer confirms their declaration. With
# 17,000 instances, this stays below half of the table's 2,000 reads a second.
_UNCONFIRMED_READ_INTERVAL_MS = 20_000
_CONFIRMATION_LIMIT_MS = 5000
_UNKNOWN_AGE_MS = -1


def is_chosen_reader(me: InstanceRef, live: list[InstanceRef]) -> bool:
    """Returns whether this instance is a reader of its data centre."""
    names = {peer.name for peer in live if peer.data_centre == me.data_centre}
    ranked = sorted(names | {me.name}, key=_hash_rank)
    return me.name in ranked[:STORE_READERS_PER_DATA_CENTRE]


def _hash_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class StoreReader:
    """Polls the table for newer revisions.

    Attributes:
        reachable: whether the last read succeeded; None before the first.
        reads: number of reads of the table so far.
    """

    def __init__(
        self,
        table: Table,
        in_force: RevisionsInForce,
        apply_revisions: ApplyRevisions,
        *,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self.reachable: bool | None = None
        self.reads = 0
        self._table = table
        self._in_force = in_force
        self._apply_revisions = apply_revisions
        self._counters = counters
        self._clock = clock
        self._confirmed_ms: float | None = None
        self._failures = 0
        self._intervals = 0
        self._last_read_ms = clock()

    def age_ms(self) -> float:
        """Returns the time since the last confirmation; negative if none."""
        if self._confirmed_ms is None:
            return _UNKNOWN_AGE_MS
        return self._clock() - self._confirmed_ms

    def is_confirmed(self) -> bool:
        """Returns whether the last confirmation is recent."""
        return 0 <= self.age_ms() <= _CONFIRMATION_LIMIT_MS

    def confirm(self, age_ms: float) -> None:
        """Records that the declaration in force was the newest at this age."""
        confirmed_ms = self._clock() - age_ms
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    async def read_all(self) -> bool:
        """Reads all rows; returns whether the table answered."""
        started_ms = self._clock()
        revisions = await read_revisions(self._table)
        if revisions.is_error():
            return self._note_failure(revisions.error)
        texts = [revision.text for revision in revisions.ok.values()]
        self._note_success(sum(map(len, texts)))
        self._apply_revisions(list(revisions.ok.values()))
        self.confirm(self._clock() - started_ms)
        return True

    async def read_next(self) -> bool:
        """Reads the hint, or all rows at every n-th interval."""
        self._intervals += 1
        if self._intervals % _INTERVALS_PER_FULL_READ == 1:
            return await self.read_all()
        heads = await read_heads(self._table)
        if heads.is_error():
            return self._note_failure(heads.error)
        self._note_success(sum(map(len, heads.ok)))
        return await self._read_newer(heads.ok)

    async def run(
        self, is_chosen: Callable[[], bool], sleep: Sleep, jitter: Jitter
    ) -> None:
        """Reads until cancelled."""
        unconfirmed_pause_ms = _UNCONFIRMED_READ_INTERVAL_MS * jitter()
        while True:
            await sleep(seconds(self._pause_ms() * jitter()))
            waited_ms = self._clock() - self._last_read_ms
            if is_chosen():
                await self.read_next()
            elif self._is_due(waited_ms, unconfirmed_pause_ms):
                unconfirmed_pause_ms = _UNCONFIRMED_READ_INTERVAL_MS * jitter()
                await self.read_next()

    def _is_due(self, waited_ms: float, pause_ms: float) -> bool:
        return waited_ms >= pause_ms and not self.is_confirmed()

    async def _read_newer(self, heads: dict[str, int]) -> bool:
        in_force = self._in_force.revision_by_scope()
        behind = [
            scope
            for scope, number in heads.items()
            if is_newer(number, in_force.get(scope, 0))
        ]
        if len(behind) > _SINGLE_READS_LIMIT:
            return await self.read_all()
        for scope in behind:
            revision = await read_revision(self._table, scope)
            if revision.is_error():
                return self._note_failure(revision.error)
            self._note_success(
                0 if revision.ok is None else len(revision.ok.text)
            )
            if revision.ok is not None:
                self._apply_revisions([revision.ok])
        return True

    def _pause_ms(self) -> float:
        backoff_ms = STORE_READ_INTERVAL_MS * 2 ** min(self._failures, 4)
        return min(backoff_ms, _BACKOFF_LIMIT_MS)

    def _note_read(self, *, reachable: bool) -> None:
        self.reads += 1
        self.reachable = reachable
        self._last_read_ms = self._clock()

    def _note_success(self, size: int) -> None:
        self._note_read(reachable=True)
        self._failures = 0
        self._counters.count('configuration.store_read')
        self._counters.count('configuration.store_read_bytes', size)

    def _note_failure(self, failure: TableFailure) -> bool:
        self._note_read(reachable=False)
        self._failures += 1
        # Read all rows first after an outage.
        self._intervals = 0
        self._counters.count(f'configuration.store_read_failed.{failure.kind}')
        return False


def default_jitter() -> float:
    """Returns a random factor between 0.8 and 1.2."""
    return random.uniform(0.8, 1.2)
