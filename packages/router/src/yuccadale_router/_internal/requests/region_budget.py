"""Shares the link between regions by priority and counts its bytes."""

import asyncio
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import InstanceRef
from yuccadale_core.timing import MILLISECONDS_PER_SECOND, seconds
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import Peers
from yuccadale_router._internal.requests import counter_names

# The bucket holds this much time of the link, so that a burst of small
# requests passes at once.
_BURST_MS = 100
# Part of the bucket that a priority must leave to the ones above it:
# control, non-repeatable, availability checks, browsing.
_RESERVE_BY_PRIORITY = (-1, 0, 0.15, 0.3)
# A message over the burst size passes when the bucket is this full.
_LARGE_SHARE = 0.9
_HEADER_BYTES = 200
# The instances of a region share its link evenly; how many there are is
# counted again this often.
_SHARE_INTERVAL_MS = 1000


@dataclass(slots=True)
class _Wait:
    order: tuple[int, int]
    size: int
    turn: asyncio.Future[bool]


def _wait_order(wait: _Wait) -> tuple[int, int]:
    return wait.order


class _Bucket:
    """Token bucket of the way to one region."""

    def __init__(self, clock: Clock, rate: Callable[[], float]) -> None:
        self._clock = clock
        self._rate = rate
        self._updated_ms = clock()
        self._bytes = self._burst()
        self._waits: list[_Wait] = []
        self._sequence = 0
        self._timer: asyncio.TimerHandle | None = None

    def try_take(self, priority: int, size: int) -> bool:
        """Takes room now, if nobody of the same priority waits."""
        if self._waits and self._waits[0].order[0] <= priority:
            return False
        return self._take(priority, size)

    async def take(self, priority: int, size: int, limit_ms: float) -> bool:
        """Waits for room; false when there was none within the limit."""
        if self.try_take(priority, size):
            return True
        loop = asyncio.get_running_loop()
        self._sequence += 1
        wait = _Wait((priority, self._sequence), size, loop.create_future())
        insort(self._waits, wait, key=_wait_order)
        timer = loop.call_later(seconds(max(0, limit_ms)), _give_up, wait)
        self._pump_later()
        try:
            return await wait.turn
        finally:
            timer.cancel()
            if wait in self._waits:
                self._waits.remove(wait)

    def charge(self, size: int) -> None:
        """Takes room that must be given; others wait until it is paid."""
        self._refill()
        self._bytes -= size

    def _take(self, priority: int, size: int) -> bool:
        self._refill()
        burst = self._burst()
        reserve = burst * _RESERVE_BY_PRIORITY[priority]
        needed = min(size, burst * _LARGE_SHARE - reserve)
        if self._bytes - needed < reserve:
            return False
        self._bytes -= size
        return True

    def _refill(self) -> None:
        now_ms = self._clock()
        passed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        gained = passed_ms * self._rate() / MILLISECONDS_PER_SECOND
        self._bytes = min(self._burst(), self._bytes + gained)

    def _burst(self) -> float:
        return self._rate() * _BURST_MS / MILLISECONDS_PER_SECOND

    def _pump_later(self) -> None:
        if self._timer is None and self._waits:
            self._timer = asyncio.get_running_loop().call_later(
                seconds(1), self._pump
            )

    def _pump(self) -> None:
        self._timer = None
        while self._waits:
            first = self._waits[0]
            if not first.turn.done():
                if not self._take(first.order[0], first.size):
                    break
                first.turn.set_result(True)
            self._waits.pop(0)
        self._pump_later()


def _give_up(wait: _Wait) -> None:
    if not wait.turn.done():
        wait.turn.set_result(False)


class RegionBudget:
    """Admits messages to other regions by priority."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        bytes_per_s: Callable[[], float],
    ) -> None:
        """Makes a budget.

        Args:
            bytes_per_s: this instance's share of the link, asked each time
                because the declaration and the instances change.
        """
        self._clock = clock
        self._counters = counters
        self._bytes_per_s = bytes_per_s
        self._bucket_by_region: dict[str, _Bucket] = {}

    async def admit(
        self,
        region: str,
        service: str,
        *,
        priority: int,
        body_bytes: int,
        limit_ms: float,
    ) -> bool:
        """Waits for room on the link; false when there is none in time."""
        size = body_bytes + _HEADER_BYTES
        bucket = self._bucket(region)
        if not await bucket.take(priority, size, limit_ms):
            return False
        self._count(region, service, size)
        return True

    def charge(self, region: str, service: str, body_bytes: int) -> None:
        """Counts a message that must pass, such as a late answer."""
        size = body_bytes + _HEADER_BYTES
        self._bucket(region).charge(size)
        self._count(region, service, size)

    def _bucket(self, region: str) -> _Bucket:
        bucket = self._bucket_by_region.get(region)
        if bucket is None:
            bucket = _Bucket(self._clock, self._bytes_per_s)
            self._bucket_by_region[region] = bucket
        return bucket

    def _count(self, region: str, service: str, size: int) -> None:
        prefix = counter_names.REGION_BYTES_PREFIX
        self._counters.count(f'{prefix}.{service}.{region}', size)


class RegionLinks:
    """Knows which peers are in another region, and the budget to them."""

    def __init__(
        self, me: InstanceRef, peers: Peers, counters: Counters, clock: Clock
    ) -> None:
        self._me = me
        self._peers = peers
        self._clock = clock
        self._declaration = Declaration()
        self._share: float = 0
        self._share_until_ms: float = 0
        self._budget = RegionBudget(clock, counters, self._bytes_per_s)

    def declaration_changed(self, declaration: Declaration) -> None:
        """Takes over regions and the size of the link."""
        self._declaration = declaration
        self._share_until_ms = 0

    async def admit(
        self,
        peer: InstanceRef,
        service: str,
        *,
        priority: int,
        body_bytes: int,
        limit_ms: float,
    ) -> bool:
        """Waits for room on the way to a peer; true inside the region."""
        region = self._other_region(peer)
        if region is None:
            return True
        return await self._budget.admit(
            region,
            service,
            priority=priority,
            body_bytes=body_bytes,
            limit_ms=limit_ms,
        )

    def charge(self, peer: InstanceRef, service: str, body_bytes: int) -> None:
        """Counts a message to a peer that must pass."""
        region = self._other_region(peer)
        if region is not None:
            self._budget.charge(region, service, body_bytes)

    def _other_region(self, peer: InstanceRef) -> str | None:
        if peer.data_centre == self._me.data_centre:
            return None
        region = self._region(peer)
        return None if region == self._region(self._me) else region

    def _region(self, instance: InstanceRef) -> str:
        centre = self._declaration.data_centre_by_name.get(instance.data_centre)
        return '' if centre is None else centre.region

    def _bytes_per_s(self) -> float:
        now_ms = self._clock()
        if now_ms >= self._share_until_ms:
            self._share_until_ms = now_ms + _SHARE_INTERVAL_MS
            region = self._region(self._me)
            neighbours = sum(
                self._region(peer) == region
                for peer in self._peers.live_peers()
            )
            link = self._declaration.region_link_bytes_per_s
            self._share = link / (neighbours + 1)
        return self._share
