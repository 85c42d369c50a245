"""Keeps requests from outlasting the instance during a planned stop.

A request that is sent to a server just before the process ends would be cut
off without an answer. So a request whose deadline is after the end is refused
unless it usually takes far less time than is left; its deadline then is the
end. The same holds for requests that other instances forward.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.routing.requests import Refused

# A request is accepted while this many times its mean time is left.
_MIN_MEAN_TIMES = 5.0


class StopGuard:
    """Knows when the instance ends, and bounds requests by it."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._ends_s = inf
        self._scopes: set[asyncio.Timeout] = set()

    def begin(self, ends_s: float) -> None:
        """Starts the stop.

        Args:
            ends_s: when all requests must have been answered.
        """
        self._ends_s = ends_s
        for scope in self._scopes:
            scope.reschedule(self._loop_end_s())

    def bounded_deadline_s(
        self, deadline_s: float, mean_s: float
    ) -> float | Refused:
        """Returns the deadline of a request, at most the end.

        Args:
            deadline_s: of the caller.
            mean_s: the mean time until an answer.

        Returns:
            A refusal if the request may not end in time.
        """
        if deadline_s <= self._ends_s:
            return deadline_s
        if self._ends_s - self._now() < mean_s * _MIN_MEAN_TIMES:
            return Refused(
                ResultCode.instance_draining, 'the instance is stopping', 0
            )
        return self._ends_s

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
