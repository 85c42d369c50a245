"""This instance's part of the retry budget that all instances share."""

from collections import deque
from collections.abc import Callable

from yuccadale_edge._internal.model import Bounds

# Spending less than the part leaves room for instances that come and go and
# for windows that begin at another moment.
_SAFETY = 0.5


class RetryBudget:
    """Counts first and further sends to one service in a sliding window.

    Every send beyond the first of a request counts, one that the server
    rejects included.
    """

    def __init__(self, bounds: Bounds, now: Callable[[], float]) -> None:
        self.instances = 1
        self._bounds = bounds
        self._now = now
        self._firsts: deque[float] = deque()
        self._spent: deque[float] = deque()

    def reconfigure(self, bounds: Bounds) -> None:
        """Takes other bounds."""
        self._bounds = bounds

    def count_first(self) -> None:
        """Notes a request for the service."""
        self._firsts.append(self._now())

    def take(self) -> bool:
        """Takes one further send; false when the part is spent."""
        since = self._now() - self._bounds.retry_window_s
        for moments in (self._firsts, self._spent):
            while moments and moments[0] < since:
                moments.popleft()
        allowed = self._bounds.retry_ratio * len(self._firsts)
        allowed += self._bounds.min_retries / self.instances
        if len(self._spent) + 1 > allowed * _SAFETY:
            return False
        self._spent.append(self._now())
        return True
