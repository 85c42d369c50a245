"""Keeps requests from outlasting the instance during a planned stop.

A request that is sent to a server just before the process ends would be cut
off without an answer. So a request whose deadline is after the end is refused,
and its caller is served by another instance. Only while the load balancer
still sends new connections is one accepted that takes far less time by all
that is known of its route; its deadline then is the end. Requests that other
instances forward are never accepted by such an estimate, as they can be sent
by another instance without the caller.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.routing.requests import Refused
from yuccadale_edge._internal.routing.server_queue import ServiceTimes

# A request is accepted while this many times its mean time is left.
_MIN_MEAN_TIMES = 5.0


def estimate_s(times: ServiceTimes, route: str) -> float:
    """Returns a time within which a request of a route usually ends."""
    return max(times.mean_s(route) * _MIN_MEAN_TIMES, times.longest_s(route))


class StopGuard:
    """Knows when the instance ends, and bounds requests by it."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._ends_s = inf
        self._estimates_until_s = inf
        self._scopes: set[asyncio.Timeout] = set()

    def begin(self, ends_s: float, estimates_until_s: float) -> None:
        """Starts the stop.

        Args:
            ends_s: when all requests must have been answered.
            estimates_until_s: until when requests may be accepted whose
                deadline is later.
        """
        self._ends_s = ends_s
        self._estimates_until_s = estimates_until_s
        for scope in self._scopes:
            scope.reschedule(self._loop_end_s())

    def bounded_deadline_s(
        self, deadline_s: float, expected_s: float = inf
    ) -> float | Refused:
        """Returns the deadline of a request, at most the end.

        Args:
            deadline_s: of the caller.
            expected_s: the longest time that an answer is expected to take;
                by default the request may take until its deadline.

        Returns:
            A refusal if the request may not end in time.
        """
        if deadline_s <= self._ends_s:
            return deadline_s
        now_s = self._now()
        in_time = self._ends_s - now_s >= expected_s
        if in_time and now_s <= self._estimates_until_s:
            return self._ends_s
        return Refused(
            ResultCode.instance_draining, 'the instance is stopping', 0
        )

    @asynccontextmanager
    async def until_end(self) -> AsyncIterator[None]:
        """Cancels the block at the end; it was accepted before the stop.

        Raises:
            TimeoutError: the end was reached.
        """
        async with asyncio.timeout_at(self._loop_end_s()) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def _loop_end_s(self) -> float | None:
        if self._ends_s == inf:
            return None
        left_s = self._ends_s - self._now()
        return asyncio.get_running_loop().time() + left_s
