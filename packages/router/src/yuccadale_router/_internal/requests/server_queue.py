"""The queue in front of one server, with its limits."""

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

GRANTED = ResultCode.done
# The slot or the server changed while the request waited.
LOOK_AGAIN = ResultCode.slot_moving

_FAIR_SCAN = 32
_HALF = 2

_OrderKey = tuple[int, float, int]


class Waiting:
    """One request that waits for its turn at a server."""

    __slots__ = ('deadline_ms', 'key', 'order', 'slot', 'timer', 'turn')

    def __init__(
        self,
        slot: int,
        key: str,
        order: _OrderKey,
        turn: asyncio.Future[ResultCode],
    ) -> None:
        self.slot = slot
        self.key = key
        self.order = order
        self.deadline_ms = order[1]
        self.turn = turn
        self.timer: asyncio.TimerHandle | None = None


def _usable_concurrency(service: Service) -> int:
    # Each running request has a connection of its own.
    connections = max(1, service.connections - CONTROL_CONNECTIONS)
    return min(service.concurrency, connections)


def _order(waiting: Waiting) -> _OrderKey:
    return waiting.order


class ServerQueue:
    """Admits, orders and counts the requests for one server.

    Rules: never more than ``concurrency`` requests at the server; at most
    ``queue_limit`` wait, by priority and deadline; one key has at most half
    of the queue and, while others wait, half of the time.
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
        self._waiting: list[Waiting] = []
        self._waiting_by_key: dict[str, int] = {}
        self._sequence = 0
        self._pump_timer: asyncio.TimerHandle | None = None

    @property
    def waiting_count(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def apply_service(self, service: Service) -> None:
        """Takes over changed limits."""
        self._service = service
        self._concurrency = _usable_concurrency(service)

    def early_refusal(
        self, key: str, priority: int, deadline_ms: float
    ) -> ResultCode | None:
        """Returns why the request should not wait, if so."""
        limit = self._service.queue_limit
        if self._waiting_by_key.get(key, 0) >= max(1, limit // _HALF):
            return ResultCode.key_share_exceeded
        order = (priority, deadline_ms, self._sequence)
        if len(self._waiting) >= limit and order >= self._waiting[-1].order:
            return ResultCode.queue_full
        if self._expected_end_ms(order) > deadline_ms:
            return ResultCode.deadline_too_short
        return None

    async def acquire(
        self, slot: int, key: str, priority: int, deadline_ms: float
    ) -> ResultCode:
        """Waits for a turn.

        Returns ``GRANTED`` (call ``release`` afterwards), ``LOOK_AGAIN``, or
        the code of a refusal.
        """
        if not self._waiting and self._may_send():
            self._start_turn()
            return GRANTED
        refusal = self.early_refusal(key, priority, deadline_ms)
        if refusal is not None:
            return refusal
        waiting = self._enqueue(slot, key, priority, deadline_ms)
        self._pump()
        try:
            return await waiting.turn
        except asyncio.CancelledError:
            self._give_up(waiting)
            raise

    def release(self, key: str, busy_ms: float) -> None:
        """Ends a turn; ``busy_ms`` is the time at the server."""
        self.running -= 1
        if busy_ms > 0:
            self._share.add(key, busy_ms, self._clock())
        if self._waiting:
            self._pump()

    def wake_slot(self, slot: int) -> None:
        """Lets the requests of a slot look again for their server."""
        self._resolve_all(
            [waiting for waiting in self._waiting if waiting.slot == slot]
        )

    def wake_all(self) -> None:
        """Lets all waiting requests look again for their server."""
        self._resolve_all(list(self._waiting))

    def _may_send(self) -> bool:
        if self.running >= self._concurrency or self.draining:
            return False
        next_send_ms = self.pacer.next_send_ms
        return not next_send_ms or next_send_ms <= self._clock()

    def _start_turn(self) -> None:
        self.running += 1
        if self.pacer.paced:
            self.pacer.sent(self._clock())

    def _expected_end_ms(self, order: _OrderKey) -> float:
        mean_ms = self.service_time.mean_ms
        ahead = bisect_right(self._waiting, order, key=_order)
        concurrency = self._concurrency
        # The last one ahead leaves when all before it have had their turn.
        busy = max(0, self.running - concurrency + 1) + ahead
        wait_ms = busy * mean_ms / concurrency
        paced_ms = (ahead + 1) * self.pacer.interval_ms
        return self._clock() + max(wait_ms, paced_ms) + mean_ms

    def _enqueue(
        self, slot: int, key: str, priority: int, deadline_ms: float
    ) -> Waiting:
        loop = asyncio.get_running_loop()
        self._sequence += 1
        order = (priority, deadline_ms, self._sequence)
        waiting = Waiting(slot, key, order, loop.create_future())
        if len(self._waiting) >= self._service.queue_limit:
            self._resolve(self._waiting[-1], ResultCode.queue_full)
        insort(self._waiting, waiting, key=_order)
        self._waiting_by_key[key] = self._waiting_by_key.get(key, 0) + 1
        left_ms = max(0, deadline_ms - self._clock())
        waiting.timer = loop.call_later(
            seconds(left_ms),
            self._resolve,
            waiting,
            ResultCode.deadline_passed,
        )
        return waiting

    def _pump(self) -> None:
        while self._waiting and self._may_send():
            chosen = self._next()
            if chosen is None:
                return
            self._start_turn()
            self._resolve(chosen, GRANTED)
        if self._waiting and self.running < self._concurrency:
            self._pump_later()

    def _next(self) -> Waiting | None:
        now_ms = self._clock()
        while self._waiting:
            chosen = self._fair_choice()
            # Work that would end after its deadline only takes time from
            # work that can still be delivered.
            if now_ms + self.service_time.mean_ms <= chosen.deadline_ms:
                return chosen
            self._resolve(chosen, ResultCode.deadline_too_short)
        return None

    def _fair_choice(self) -> Waiting:
        for waiting in self._waiting[:_FAIR_SCAN]:
            if not self._share.over_share(waiting.key):
                return waiting
        return self._waiting[0]

    def _pump_later(self) -> None:
        delay_ms = self.pacer.next_send_ms - self._clock()
        if self.draining or self._pump_timer is not None:
            return
        self._pump_timer = asyncio.get_running_loop().call_later(
            seconds(max(delay_ms, 1)), self._pump_now
        )

    def _pump_now(self) -> None:
        self._pump_timer = None
        self._pump()

    def _resolve_all(self, chosen: list[Waiting]) -> None:
        for waiting in chosen:
            self._resolve(waiting, LOOK_AGAIN)

    def _resolve(self, waiting: Waiting, code: ResultCode) -> None:
        if waiting.turn.done():
            return
        self._remove(waiting)
        waiting.turn.set_result(code)

    def _remove(self, waiting: Waiting) -> None:
        index = bisect_right(self._waiting, waiting.order, key=_order) - 1
        self._waiting.pop(index)
        left = self._waiting_by_key[waiting.key] - 1
        if left:
            self._waiting_by_key[waiting.key] = left
        else:
            self._waiting_by_key.pop(waiting.key)
        if waiting.timer is not None:
            waiting.timer.cancel()

    def _give_up(self, waiting: Waiting) -> None:
        # Cancelling the task cancels the future that it awaits, unless the
        # turn had been given a moment before.
        if waiting.turn.cancelled():
            self._remove(waiting)
        elif waiting.turn.result() == GRANTED:
            self.release(waiting.key, 0)
