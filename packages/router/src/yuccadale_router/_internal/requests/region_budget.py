"""Limits the bytes sent to other regions by priority and counts them."""

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

# Size of the token bucket as time at the link's rate, so that a burst of small
# requests passes without delay.
_BURST_MS = 100
# Share of the bucket reserved for higher priorities, by priority: control,
# non-repeatable, availability checks, browsing.
_RESERVE_BY_PRIORITY = (-1, 0, 0.15, 0.3)
# A message above the burst size passes when the bucket is filled to this share.
_LARGE_MESSAGE_FILL = 0.9
_HEADER_BYTES = 200
# The live instances of a region share its link evenly; interval between two
# counts of them.
_SHARE_UPDATE_INTERVAL_MS = 1000


@dataclass(slots=True)
class _Waiter:
    order: tuple[int, int]
    size: int
    admitted: asyncio.Future[bool]


def _waiter_order(waiter: _Waiter) -> tuple[int, int]:
    return waiter.order


class _TokenBucket:
    """Token bucket for the bytes sent to one region."""

    def __init__(self, clock: Clock, rate: Callable[[], float]) -> None:
        self._clock = clock
        self._rate = rate
        self._updated_ms = clock()
        self._available_bytes = self._burst()
        self._waiters: list[_Waiter] = []
        self._sequence = 0
        self._timer: asyncio.TimerHandle | None = None

    def try_acquire(self, priority: int, size: int) -> bool:
        """Takes the bytes at once, unless equal or higher priorities wait."""
        if self._waiters and self._waiters[0].order[0] <= priority:
            return False
        return self._consume(priority, size)

    async def acquire(self, priority: int, size: int, limit_ms: float) -> bool:
        """Waits for the bytes; returns False after ``limit_ms``."""
        if self.try_acquire(priority, size):
            return True
        loop = asyncio.get_running_loop()
        self._sequence += 1
        waiter = _Waiter((priority, self._sequence), size, loop.create_future())
        insort(self._waiters, waiter, key=_waiter_order)
        timer = loop.call_later(seconds(max(0, limit_ms)), _time_out, waiter)
        self._schedule_admission()
        try:
            return await waiter.admitted
        finally:
            timer.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def charge(self, size: int) -> None:
        """Takes the bytes unconditionally; the balance may become negative."""
        self._refill()
        self._available_bytes -= size

    def _consume(self, priority: int, size: int) -> bool:
        self._refill()
        burst = self._burst()
        reserve = burst * _RESERVE_BY_PRIORITY[priority]
        needed = min(size, burst * _LARGE_MESSAGE_FILL - reserve)
        if self._available_bytes - needed < reserve:
            return False
        self._available_bytes -= size
        return True

    def _refill(self) -> None:
        now_ms = self._clock()
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        refilled_bytes = elapsed_ms * self._rate() / MILLISECONDS_PER_SECOND
        self._available_bytes = min(
            self._burst(), self._available_bytes + refilled_bytes
        )

    def _burst(self) -> float:
        return self._rate() * _BURST_MS / MILLISECONDS_PER_SECOND

    def _schedule_admission(self) -> None:
        if self._timer is None and self._waiters:
            self._timer = asyncio.get_running_loop().call_later(
                seconds(1), self._admit_waiters
            )

    def _admit_waiters(self) -> None:
        self._timer = None
        while self._waiters:
            first = self._waiters[0]
            if not first.admitted.done():
                if not self._consume(first.order[0], first.size):
                    break
                first.admitted.set_result(True)
            self._waiters.pop(0)
        self._schedule_admission()


def _time_out(waiter: _Waiter) -> None:
    if not waiter.admitted.done():
        waiter.admitted.set_result(False)


class RegionBudget:
    """Admits messages to other regions by priority."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        bytes_per_s: Callable[[], float],
    ) -> None:
        """Creates a budget.

        Args:
            bytes_per_s: returns this instance's share of the link; called each
                time, as the declaration and the instances may change.
        """
        self._clock = clock
        self._counters = counters
        self._bytes_per_s = bytes_per_s
        self._bucket_by_region: dict[str, _TokenBucket] = {}

    async def admit(
        self,
        region: str,
        service: str,
        *,
        priority: int,
        body_bytes: int,
        limit_ms: float,
    ) -> bool:
        """Waits for capacity; returns False after ``limit_ms``."""
        size = body_bytes + _HEADER_BYTES
        bucket = self._bucket(region)
        if not await bucket.acquire(priority, size, limit_ms):
            return False
        self._count(region, service, size)
        return True

    def charge(self, region: str, service: str, body_bytes: int) -> None:
        """Counts a message that is sent in any case, such as a late answer."""
        size = body_bytes + _HEADER_BYTES
        self._bucket(region).charge(size)
        self._count(region, service, size)

    def _bucket(self, region: str) -> _TokenBucket:
        bucket = self._bucket_by_region.get(region)
        if bucket is None:
            bucket = _TokenBucket(self._clock, self._bytes_per_s)
            self._bucket_by_region[region] = bucket
        return bucket

    def _count(self, region: str, service: str, size: int) -> None:
        prefix = counter_names.REGION_BYTES_PREFIX
        self._counters.count(f'{prefix}.{service}.{region}', size)


class RegionLinks:
    """Applies the budget to messages for peers in other regions."""

    def __init__(
        self, me: InstanceRef, peers: Peers, counters: Counters, clock: Clock
    ) -> None:
        self._me = me
        self._peers = peers
        self._clock = clock
        self._declaration = Declaration()
        self._share_bytes_per_s: float = 0
        self._share_until_ms: float = 0
        self._budget = RegionBudget(clock, counters, self._bytes_per_s)

    def declaration_changed(self, declaration: Declaration) -> None:
        """Applies the declared regions and link capacity."""
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
        """Waits for capacity; returns True at once inside the own region."""
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
        """Counts a message to a peer that is sent in any case."""
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
            self._share_until_ms = now_ms + _SHARE_UPDATE_INTERVAL_MS
            region = self._region(self._me)
            peers_in_region = sum(
                self._region(peer) == region
                for peer in self._peers.live_peers()
            )
            link_bytes_per_s = self._declaration.region_link_bytes_per_s
            self._share_bytes_per_s = link_bytes_per_s / (peers_in_region + 1)
        return self._share_bytes_per_s
