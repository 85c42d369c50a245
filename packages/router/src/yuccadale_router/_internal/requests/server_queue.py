"""Queue and admission control for the requests to one server."""

import asyncio
from bisect import bisect_right, insort
from collections.abc import Callable

from yuccadale_core.codes import ResultCode
from yuccadale_core.declaration import Service
from yuccadale_core.instances import ServerRef
from yuccadale_core.timing import seconds
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.requests.concurrency import (
    CONTROL_CONNECTIONS,
    Pacer,
    ServiceTime,
)
from yuccadale_router._internal.requests.fair_share import FairShare

ADMITTED = ResultCode.done
# The slot or the server changed while the request was queued.
REROUTE = ResultCode.slot_moving

_FAIR_SCAN_LENGTH = 32
_HALF = 2

_OrderKey = tuple[int, float, int]


class QueuedRequest:
    """One request that waits to be sent to a server."""

    __slots__ = ('deadline_ms', 'key', 'order', 'slot', 'timer', 'admission')

    def __init__(
        self,
        slot: int,
        key: str,
        order: _OrderKey,
        admission: asyncio.Future[ResultCode],
    ) -> None:
        self.slot = slot
        self.key = key
        self.order = order
        self.deadline_ms = order[1]
        self.admission = admission
        self.timer: asyncio.TimerHandle | None = None


def _usable_concurrency(service: Service) -> int:
    # Each running request occupies one connection.
    connections = max(1, service.connections - CONTROL_CONNECTIONS)
    return min(service.concurrency, connections)


def _order(queued: QueuedRequest) -> _OrderKey:
    return queued.order


class ServerQueue:
    """Admits, orders and counts the requests for one server.

    At most ``concurrency`` requests run at the server. At most
    ``queue_limit`` requests wait, ordered by priority and deadline. One key
    gets at most half of the queue and, while other keys wait, half of the
    server's time.
    """

    def __init__(
        self,
        server: ServerRef,
        service: Service,
        clock: Clock,
        random_unit: Callable[[], float],
    ) -> None:
        self.server = server
        self.service_time = ServiceTime()
        self.pacer = Pacer(service.concurrency, self.service_time, random_unit)
        self.running = 0
        self.draining = False
        self._service = service
        self._concurrency = _usable_concurrency(service)
        self._clock = clock
        self._share = FairShare()
        self._queued: list[QueuedRequest] = []
        self._queued_count_by_key: dict[str, int] = {}
        self._sequence = 0
        self._admission_timer: asyncio.TimerHandle | None = None

    @property
    def queued_count(self) -> int:
        """Number of requests in the queue."""
        return len(self._queued)

    def apply_service(self, service: Service) -> None:
        """Applies changed limits."""
        self._service = service
        self._concurrency = _usable_concurrency(service)

    def early_refusal(
        self, key: str, priority: int, deadline_ms: float
    ) -> ResultCode | None:
        """Returns the reason to refuse the request without queueing, if any."""
        limit = self._service.queue_limit
        if self._queued_count_by_key.get(key, 0) >= max(1, limit // _HALF):
            return ResultCode.key_share_exceeded
        order = (priority, deadline_ms, self._sequence)
        if len(self._queued) >= limit and order >= self._queued[-1].order:
            return ResultCode.queue_full
        if self._expected_end_ms(order) > deadline_ms:
            return ResultCode.deadline_too_short
        return None

    async def acquire(
        self, slot: int, key: str, priority: int, deadline_ms: float
    ) -> ResultCode:
        """Waits until the request may be sent.

        Returns ``ADMITTED`` (call ``release`` afterwards), ``REROUTE``, or
        the code of a refusal.
        """
        if not self._queued and self._may_send():
            self._count_admitted()
            return ADMITTED
        refusal = self.early_refusal(key, priority, deadline_ms)
        if refusal is not None:
            return refusal
        queued = self._enqueue(slot, key, priority, deadline_ms)
        self._admit_queued()
        try:
            return await queued.admission
        except asyncio.CancelledError:
            self._handle_cancelled(queued)
            raise

    def release(self, key: str, busy_ms: float) -> None:
        """Ends an admitted request; ``busy_ms`` is its time at the server."""
        self.running -= 1
        if busy_ms > 0:
            self._share.add(key, busy_ms, self._clock())
        if self._queued:
            self._admit_queued()

    def reroute_slot(self, slot: int) -> None:
        """Ends the wait of a slot's requests with ``REROUTE``."""
        self._reroute(
            [queued for queued in self._queued if queued.slot == slot]
        )

    def reroute_all(self) -> None:
        """Ends the wait of all requests with ``REROUTE``."""
        self._reroute(list(self._queued))

    def _may_send(self) -> bool:
        if self.running >= self._concurrency or self.draining:
            return False
        next_send_ms = self.pacer.next_send_ms
        return not next_send_ms or next_send_ms <= self._clock()

    def _count_admitted(self) -> None:
        self.running += 1
        if self.pacer.paced:
            self.pacer.sent(self._clock())

    def _expected_end_ms(self, order: _OrderKey) -> float:
        mean_ms = self.service_time.mean_ms
        ahead = bisect_right(self._queued, order, key=_order)
        concurrency = self._concurrency
        # Counts the requests that must end before this one can be sent.
        busy = max(0, self.running - concurrency + 1) + ahead
        wait_ms = busy * mean_ms / concurrency
        paced_ms = (ahead + 1) * self.pacer.interval_ms
        return self._clock() + max(wait_ms, paced_ms) + mean_ms

    def _enqueue(
        self, slot: int, key: str, priority: int, deadline_ms: float
    ) -> QueuedRequest:
        loop = asyncio.get_running_loop()
        self._sequence += 1
        order = (priority, deadline_ms, self._sequence)
        queued = QueuedRequest(slot, key, order, loop.create_future())
        if len(self._queued) >= self._service.queue_limit:
            self._resolve(self._queued[-1], ResultCode.queue_full)
        insort(self._queued, queued, key=_order)
        self._queued_count_by_key[key] = (
            self._queued_count_by_key.get(key, 0) + 1
        )
        left_ms = max(0, deadline_ms - self._clock())
        queued.timer = loop.call_later(
            seconds(left_ms),
            self._resolve,
            queued,
            ResultCode.deadline_passed,
        )
        return queued

    def _admit_queued(self) -> None:
        while self._queued and self._may_send():
            chosen = self._next_admissible()
            if chosen is None:
                return
            self._count_admitted()
            self._resolve(chosen, ADMITTED)
        if self._queued and self.running < self._concurrency:
            self._schedule_admission()

    def _next_admissible(self) -> QueuedRequest | None:
        now_ms = self._clock()
        while self._queued:
            chosen = self._fair_choice()
            # Work that would end after its deadline takes time from work that
            # can still meet its deadline.
            if now_ms + self.service_time.mean_ms <= chosen.deadline_ms:
                return chosen
            self._resolve(chosen, ResultCode.deadline_too_short)
        return None

    def _fair_choice(self) -> QueuedRequest:
        for queued in self._queued[:_FAIR_SCAN_LENGTH]:
            if not self._share.over_share(queued.key):
                return queued
        return self._queued[0]

    def _schedule_admission(self) -> None:
        delay_ms = self.pacer.next_send_ms - self._clock()
        if self.draining or self._admission_timer is not None:
            return
        self._admission_timer = asyncio.get_running_loop().call_later(
            seconds(max(delay_ms, 1)), self._run_scheduled_admission
        )

    def _run_scheduled_admission(self) -> None:
        self._admission_timer = None
        self._admit_queued()

    def _reroute(self, chosen: list[QueuedRequest]) -> None:
        for queued in chosen:
            self._resolve(queued, REROUTE)

    def _resolve(self, queued: QueuedRequest, code: ResultCode) -> None:
        if queued.admission.done():
            return
        self._remove(queued)
        queued.admission.set_result(code)

    def _remove(self, queued: QueuedRequest) -> None:
        index = bisect_right(self._queued, queued.order, key=_order) - 1
        self._queued.pop(index)
        left = self._queued_count_by_key[queued.key] - 1
        if left:
            self._queued_count_by_key[queued.key] = left
        else:
            self._queued_count_by_key.pop(queued.key)
        if queued.timer is not None:
            queued.timer.cancel()

    def _handle_cancelled(self, queued: QueuedRequest) -> None:
        # Cancelling the task cancels the future that it awaits, unless the
        # future already has a result.
        if queued.admission.cancelled():
            self._remove(queued)
        elif queued.admission.result() == ADMITTED:
            self.release(queued.key, 0)
