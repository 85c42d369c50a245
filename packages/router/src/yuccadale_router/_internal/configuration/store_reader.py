"""Reads declarations from the table, at the few instances chosen for it."""

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
from yuccadale_router._internal.configuration.in_force import InForce, is_newer

Sleep = Callable[[float], Awaitable[None]]
Jitter = Callable[[], float]
Learn = Callable[[list[ScopeRevision]], None]

# The hint is read every interval; all rows every this many intervals, in
# case an instance was lost between its commit and its hint.
_INTERVALS_PER_FULL_READ = 4
# Above this many scopes behind, one read of all rows costs less.
_SINGLE_READS_LIMIT = 2
_BACKOFF_LIMIT_MS = 2000
# Instances that are not chosen read only when nobody confirms what they
# have. 17,000 of them stay below half of the table's 2,000 reads a second.
_UNCONFIRMED_READ_INTERVAL_MS = 20_000
_CONFIRMATION_LIMIT_MS = 5000
_UNKNOWN_AGE_MS = -1


def is_chosen_reader(me: InstanceRef, live: list[InstanceRef]) -> bool:
    """Says whether this instance is among its data centre's readers."""
    names = {peer.name for peer in live if peer.data_centre == me.data_centre}
    ranked = sorted(names | {me.name}, key=_hash_rank)
    return me.name in ranked[:STORE_READERS_PER_DATA_CENTRE]


def _hash_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class StoreReader:
    """Keeps the declaration in force as new as the table's rows.

    Attributes:
        reachable: whether the last read succeeded; None before the first.
        reads: number of reads of the table so far.
    """

    def __init__(
        self,
        table: Table,
        in_force: InForce,
        learn: Learn,
        *,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self.reachable: bool | None = None
        self.reads = 0
        self._table = table
        self._in_force = in_force
        self._learn = learn
        self._counters = counters
        self._clock = clock
        self._confirmed_ms: float | None = None
        self._failures = 0
        self._intervals = 0
        self._read_ms = clock()

    def age_ms(self) -> float:
        """Time since the newest confirmation, negative when there is none."""
        if self._confirmed_ms is None:
            return _UNKNOWN_AGE_MS
        return self._clock() - self._confirmed_ms

    def is_confirmed(self) -> bool:
        """Says whether a confirmation is recent."""
        return 0 <= self.age_ms() <= _CONFIRMATION_LIMIT_MS

    def confirm(self, age_ms: float) -> None:
        """Notes that what is in force was the newest this long ago."""
        confirmed_ms = self._clock() - age_ms
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    async def read_all(self) -> bool:
        """Reads all rows; says whether the table answered."""
        started_ms = self._clock()
        revisions = await read_revisions(self._table)
        if revisions.is_error():
            return self._note_failure(revisions.error)
        texts = [revision.text for revision in revisions.ok.values()]
        self._note_success(sum(map(len, texts)))
        self._learn(list(revisions.ok.values()))
        self.confirm(self._clock() - started_ms)
        return True

    async def read_next(self) -> bool:
        """Reads the hint, or all rows when it is their turn."""
        self._intervals += 1
        if self._intervals % _INTERVALS_PER_FULL_READ == 1:
            return await self.read_all()
        heads = await read_heads(self._table)
        if heads.is_error():
            return self._note_failure(heads.error)
        self._note_success(sum(map(len, heads.ok)))
        return await self._read_behind(heads.ok)

    async def run(
        self, is_chosen: Callable[[], bool], sleep: Sleep, jitter: Jitter
    ) -> None:
        """Reads until cancelled."""
        unconfirmed_pause_ms = _UNCONFIRMED_READ_INTERVAL_MS * jitter()
        while True:
            await sleep(seconds(self._pause_ms() * jitter()))
            waited_ms = self._clock() - self._read_ms
            if is_chosen():
                await self.read_next()
            elif self._is_due(waited_ms, unconfirmed_pause_ms):
                unconfirmed_pause_ms = _UNCONFIRMED_READ_INTERVAL_MS * jitter()
                await self.read_next()

    def _is_due(self, waited_ms: float, pause_ms: float) -> bool:
        return waited_ms >= pause_ms and not self.is_confirmed()

    async def _read_behind(self, heads: dict[str, int]) -> bool:
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
                self._learn([revision.ok])
        return True

    def _pause_ms(self) -> float:
        backoff_ms = STORE_READ_INTERVAL_MS * 2 ** min(self._failures, 4)
        return min(backoff_ms, _BACKOFF_LIMIT_MS)

    def _note_read(self, *, reachable: bool) -> None:
        self.reads += 1
        self.reachable = reachable
        self._read_ms = self._clock()

    def _note_success(self, size: int) -> None:
        self._note_read(reachable=True)
        self._failures = 0
        self._counters.count('configuration.store_read')
        self._counters.count('configuration.store_read_bytes', size)

    def _note_failure(self, failure: TableFailure) -> bool:
        self._note_read(reachable=False)
        self._failures += 1
        # The next read after an outage reads all rows.
        self._intervals = 0
        self._counters.count(f'configuration.store_read_failed.{failure.kind}')
        return False


def default_jitter() -> float:
    """Returns a factor that spreads the readers by a fifth either way."""
    return random.uniform(0.8, 1.2)
