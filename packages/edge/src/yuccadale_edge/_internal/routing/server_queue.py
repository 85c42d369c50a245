"""Queue and admission control for the requests to one server.

A request that cannot be answered in time is refused at once, with the expected
wait. Queued requests are sent by the latest start that meets their target
latency; urgent priorities and retries by callers shift it earlier. Requests
that can no longer meet their target are sent last: otherwise, after all callers
reconnect at once, every request would be answered after its target. A request
is refused as soon as it is known that it will not be started before its latest
start; see ``queue_forecast``.

A server may also limit the requests a second; see ``pacing``.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.routing.pacing import (
    OrderedReturns,
    PriorityShares,
    Rate,
    RequestPacer,
    unlimited,
)
from yuccadale_edge._internal.routing.queue_forecast import (
    Capacity,
    ServerPace,
    WaitingRequest,
    busy_s,
    not_served,
)

# Weight of a new service time in the moving average.
_EWMA_WEIGHT = 0.1
# What is left of the longest time of a route after each further answer.
_LONGEST_DECAY = 0.99
# Service time assumed for a route before its first answer.
_INITIAL_SERVICE_S = 0.08
# Delay of a request's place in the queue for each level of priority. It is
# about a usual service time, so that priority decides between similar targets.
_PRIORITY_STEP_S = 0.1
# Advance of a request that its caller retries: half a priority level.
_CALLER_RETRY_STEP_S = 0.05
# Longest timer for the next admission.
_MAX_TIMER_S = 60.0
# Average share of its service time that a running request still needs.
_REMAINING_SHARE = 0.5
# Interval of the checks whether waiting requests will be served, apart from
# those when a request arrives: a server that answers nothing causes no event.
_CHECK_INTERVAL_S = 0.1
# Service times below this one do not count for the returns of callers.
_SHORTEST_SERVICE_S = 0.001
# Priorities get their minimum shares for this time after a refusal.
_OVERLOAD_S = 1.0


class AdmissionError(Exception):
    """The request was refused by the queue of a server.

    Attributes:
        code: why.
        expected_wait_s: when the caller may return.
    """

    def __init__(self, code: ResultCode, expected_wait_s: float) -> None:
        super().__init__(f'expected wait {expected_wait_s:.3f} s')
        self.code = code
        self.expected_wait_s = expected_wait_s


class ServiceTimes:
    """Moving average and decaying maximum of the times of each route."""

    def __init__(self) -> None:
        self._mean_s_by_route: dict[str, float] = {}
        self._longest_s_by_route: dict[str, float] = {}

    def mean_s(self, route: str) -> float:
        """Returns the expected service time in seconds."""
        return self._mean_s_by_route.get(route, _INITIAL_SERVICE_S)

    def longest_s(self, route: str) -> float:
        """Returns the longest time of late; infinite without any."""
        return self._longest_s_by_route.get(route, inf)

    def record(self, route: str, took_s: float) -> None:
        """Adds a measured service time."""
        longest_s = self._longest_s_by_route.get(route, 0)
        self._longest_s_by_route[route] = max(
            took_s, longest_s * _LONGEST_DECAY
        )
        known = self._mean_s_by_route.get(route)
        if known is None:
            self._mean_s_by_route[route] = took_s
        else:
            self._mean_s_by_route[route] = (
                known + (took_s - known) * _EWMA_WEIGHT
            )


class _RunningRequest(NamedTuple):
    """A request that was sent to the server.

    Attributes:
        expected_s: its expected service time.
        started_s: when it was sent.
    """

    expected_s: float
    started_s: float


# Whether a request goes after those with minimum shares, and after those in
# time, then its rank; the lowest is first.
_StartOrder = tuple[bool, bool, tuple[float, int]]


@dataclass(eq=False, slots=True)
class _QueuedRequest:
    """A request that waits for admission.

    Attributes:
        rank: see ``ServerQueue.rank``, then the order of arrival.
        priority: 0 is the most urgent.
        target_start_s: latest start that meets the target latency.
        latest_start_s: latest start that meets the deadline.
        queued_s: when it began to wait.
        admission: done when the request may be sent or is refused.
    """

    rank: tuple[float, int]
    priority: int
    target_start_s: float
    expected_service_s: float
    latest_start_s: float
    queued_s: float
    admission: asyncio.Future[None]


class ServerQueue:
    """Admits requests to one server, at most ``limit`` at the same time.

    Attributes:
        running: requests that were admitted and have not ended.
        slowdown: ratio of this server's service times to the average.
    """

    def __init__(
        self,
        limit: int,
        now: Callable[[], float],
        per_s: Rate = unlimited,
    ) -> None:
        """Creates the queue of one server.

        Args:
            limit: requests that may run at the same time.
            now: returns the time in seconds.
            per_s: returns how many requests a second may be sent.
        """
        self.limit = max(1, limit)
        self.running = 0
        self.slowdown = 1.0
        self.closed = False
        self._now = now
        self._waiting: list[_QueuedRequest] = []
        self._running_by_number: dict[int, _RunningRequest] = {}
        self._sequence = 0
        self._pacer = RequestPacer(per_s, now)
        self._shares = PriorityShares(now)
        self._pace = ServerPace(now)
        self._returns = OrderedReturns(now)
        self._overloaded_until_s = -inf
        self._timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait for admission."""
        return len(self._waiting)

    @property
    def delayed(self) -> bool:
        """Whether the rate lets another request wait."""
        return self._pacing_wait_s(inf, None) > 0

    def rank(
        self,
        *,
        priority: int,
        caller_retry: bool,
        expected_service_s: float,
        until_target_s: float,
    ) -> float:
        """Returns the place of a request in the queue; the lowest is first.

        It is the latest start that meets the target latency, on the clock of
        the queue, shifted by priority; see ``admit`` for the arguments.
        """
        step_s = (
            priority * _PRIORITY_STEP_S - caller_retry * _CALLER_RETRY_STEP_S
        )
        start_in_s = until_target_s - expected_service_s * self.slowdown
        return self._now() + start_in_s + step_s

    def expected_wait_s(
        self, rank: float = inf, priority: int | None = None
    ) -> float:
        """Returns the expected wait of a request, in seconds.

        Args:
            rank: see ``rank``.
            priority: of the request, if known.
        """
        return max(self._slot_wait_s(rank), self._pacing_wait_s(rank, priority))

    def admit_next(self) -> None:
        """Admits queued requests if the limit of the server allows it now."""
        while self._waiting and self.running < self.limit:
            delay_s = self._pacer.delay_s()
            if delay_s > 0:
                self._wake_after(delay_s)
                return
            queued = self._next_request()
            self._waiting.remove(queued)
            if queued.admission.done():
                continue
            self._start(queued.priority)
            queued.admission.set_result(None)

    @asynccontextmanager
    async def admit(
        self,
        *,
        priority: int,
        caller_retry: bool,
        expected_service_s: float,
        remaining_s: float,
        until_target_s: float,
    ) -> AsyncIterator[None]:
        """Waits until a request may be sent; counts it as running in the block.

        Args:
            priority: 0 is the most urgent.
            caller_retry: whether the caller sends the request again.
            expected_service_s: service time on an average server.
            remaining_s: time until the deadline.
            until_target_s: time until the target latency.

        Raises:
            AdmissionError: the answer would come too late, or the queue was
                closed.
        """
        self._shares.add_arrival(priority)
        rank = self.rank(
            priority=priority,
            caller_retry=caller_retry,
            expected_service_s=expected_service_s,
            until_target_s=until_target_s,
        )
        expected_service_s *= self.slowdown
        if until_target_s > expected_service_s:
            self._pace.add_arrival(expected_service_s)
        refused = self._refusal(
            rank, priority, expected_service_s, remaining_s, until_target_s
        )
        if refused is not None:
            raise refused
        self._sequence += 1
        number = self._sequence
        if (
            self.running >= self.limit
            or self._waiting
            or self._pacer.delay_s() > 0
        ):
            latest_wait_s = remaining_s - expected_service_s
            if self._pacer.limited:
                # Under a limit, requests that are still in time always come
                # first, so a late one would only be held.
                latest_wait_s = min(latest_wait_s, until_target_s)
            latest_start_s = self._now() + latest_wait_s
            target_start_s = self._now() + until_target_s - expected_service_s
            await self._wait(
                (rank, number),
                priority,
                target_start_s,
                expected_service_s,
                latest_start_s,
            )
        else:
            self._start(priority)
        running = _RunningRequest(expected_service_s, self._now())
        self._running_by_number[number] = running
        try:
            yield
            self._pace.add_completion(
                expected_service_s, self._now() - running.started_s
            )
        finally:
            self._finish(number)

    def close(self) -> None:
        """Refuses all queued requests; the server is no longer registered."""
        self.closed = True
        self.refuse_waiting(ResultCode.slot_moving)
        for timer in (self._timer, self._check_timer):
            if timer is not None:
                timer.cancel()

    def refuse_waiting(self, code: ResultCode) -> int:
        """Refuses all queued requests; returns their number."""
        waiting = [one for one in self._waiting if not one.admission.done()]
        for queued in waiting:
            wait_s: float = 0
            if code == ResultCode.server_limited:
                wait_s = self._pacer.book_return_s()
            queued.admission.set_exception(AdmissionError(code, wait_s))
        self._waiting.clear()
        return len(waiting)

    def _refusal(
        self,
        rank: float,
        priority: int,
        expected_service_s: float,
        remaining_s: float,
        until_target_s: float,
    ) -> AdmissionError | None:
        """Returns why a request that arrives now is not queued."""
        expected_wait_s = self._slot_wait_s(rank)
        pacing_wait_s = self._pacing_wait_s(rank, priority)
        latest_wait_s = min(until_target_s, remaining_s - expected_service_s)
        if pacing_wait_s > max(latest_wait_s, expected_wait_s):
            return AdmissionError(
                ResultCode.server_limited, self._pacer.book_return_s()
            )
        if expected_wait_s + expected_service_s > remaining_s:
            code = ResultCode.deadline_too_short
        elif expected_wait_s > until_target_s:
            code = ResultCode.queue_full
        else:
            return None
        return self._overload(code, priority, expected_service_s, remaining_s)

    def _slot_wait_s(self, rank: float) -> float:
        if self.running < self.limit and not self._waiting:
            return 0
        now_s = self._now()
        ahead = sum(
            one.expected_service_s
            for one in self._waiting
            if one.rank[0] <= rank and one.target_start_s >= now_s
        )
        ahead += _REMAINING_SHARE * sum(
            one.expected_s for one in self._running_by_number.values()
        )
        return ahead / self.limit

    def _pacing_wait_s(self, rank: float, priority: int | None) -> float:
        if not self._pacer.limited:
            return 0
        if priority is not None and self._shares.is_owed(priority):
            ahead = sum(one.priority == priority for one in self._waiting)
        else:
            now_s = self._now()
            ahead = sum(
                one.rank[0] <= rank and one.target_start_s >= now_s
                for one in self._waiting
            )
        return self._pacer.delay_s(ahead)

    def _start(self, priority: int) -> None:
        self.running += 1
        self._pacer.take()
        self._shares.add_admission(priority)

    def _wake_after(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            min(delay_s, _MAX_TIMER_S), self.admit_next
        )

    def _finish(self, number: int) -> None:
        self.running -= 1
        self._running_by_number.pop(number)
        self.admit_next()

    async def _wait(
        self,
        rank: tuple[float, int],
        priority: int,
        target_start_s: float,
        expected_service_s: float,
        latest_start_s: float,
    ) -> None:
        admission = asyncio.get_running_loop().create_future()
        queued = _QueuedRequest(
            rank,
            priority,
            target_start_s,
            expected_service_s,
            latest_start_s,
            self._now(),
            admission,
        )
        self._waiting.append(queued)
        self.admit_next()
        self._refuse_not_served()
        try:
            async with asyncio.timeout(max(0, latest_start_s - self._now())):
                await admission
        except TimeoutError as error:
            self._cancel_wait(queued)
            if self._pacer.limited:
                raise AdmissionError(
                    ResultCode.server_limited, self._pacer.book_return_s()
                ) from error
            raise self._too_late(queued) from error
        except asyncio.CancelledError:
            self._cancel_wait(queued)
            raise

    def _cancel_wait(self, queued: _QueuedRequest) -> None:
        admission = queued.admission
        if (
            admission.done()
            and not admission.cancelled()
            and admission.exception() is None
        ):
            # Admitted in the same loop iteration: admit the next one instead.
            self.running -= 1
            self.admit_next()
            return
        if queued in self._waiting:
            self._waiting.remove(queued)

    def _next_request(self) -> _QueuedRequest:
        return min(self._waiting, key=self._start_order())

    def _start_order(self) -> Callable[[_QueuedRequest], _StartOrder]:
        now_s = self._now()

        def order(one: _QueuedRequest) -> _StartOrder:
            owed = self._is_owed(one.priority)
            return not owed, one.target_start_s < now_s, one.rank

        return order

    def _is_owed(self, priority: int) -> bool:
        """Whether a priority gets its minimum share now."""
        if not self._pacer.limited and self._now() > self._overloaded_until_s:
            return False
        return self._shares.is_owed(priority)

    def _overload(
        self,
        code: ResultCode,
        priority: int,
        expected_service_s: float,
        remaining_s: float,
        *,
        has_waited: bool = False,
    ) -> AdmissionError:
        """Returns the refusal of a request that there is no time for."""
        self._overloaded_until_s = self._now() + _OVERLOAD_S
        stretch = self._pace.stretch(self._running_times())
        service_s = max(expected_service_s * stretch, _SHORTEST_SERVICE_S)
        return_s = self._returns.book_s(
            priority=priority,
            has_waited=has_waited,
            per_s=self.limit / service_s,
            delay_s=self._slot_wait_s(inf),
            remaining_s=remaining_s,
        )
        return AdmissionError(code, return_s)

    def _too_late(self, queued: _QueuedRequest) -> AdmissionError:
        """Returns the refusal of a queued request."""
        now_s = self._now()
        service_s = queued.expected_service_s
        return self._overload(
            ResultCode.deadline_too_short,
            queued.priority,
            service_s,
            queued.latest_start_s + service_s - now_s,
            has_waited=now_s > queued.queued_s,
        )

    def _running_times(self) -> list[tuple[float, float]]:
        """Returns expected and elapsed time of the requests that run."""
        now_s = self._now()
        return [
            (one.expected_s, now_s - one.started_s)
            for one in self._running_by_number.values()
        ]

    def _refuse_not_served(self) -> None:
        """Refuses waiting requests that will not be started in time."""
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        if self._pacer.limited or not self._waiting:
            return
        refused = self._requests_not_served()
        for queued in refused:
            self._waiting.remove(queued)
        for queued in refused:
            if not queued.admission.done():
                queued.admission.set_exception(self._too_late(queued))
        if self._waiting:
            self._check_timer = asyncio.get_running_loop().call_later(
                _CHECK_INTERVAL_S, self._refuse_not_served
            )

    def _requests_not_served(self) -> list[_QueuedRequest]:
        """Returns the waiting requests that will not be started in time.

        Those that have waited longest are first.
        """
        waiting = sorted(self._waiting, key=self._start_order())
        numbers = self._numbers_not_served(waiting)
        refused = [one for one in waiting if one.rank[1] in numbers]
        return sorted(refused, key=lambda one: (one.priority, one.rank[1]))

    def _numbers_not_served(self, waiting: list[_QueuedRequest]) -> set[int]:
        now_s = self._now()
        running = self._running_times()
        stretch = self._pace.stretch(running)
        capacity = Capacity(
            self.limit,
            busy_s(running, stretch, self.limit),
            stretch,
            self._pace.share_in_time(self.limit, stretch),
        )
        return not_served(
            [
                WaitingRequest(
                    one.rank[1],
                    one.target_start_s,
                    one.latest_start_s,
                    one.expected_service_s,
                )
                for one in waiting
            ],
            capacity,
            now_s,
        )
