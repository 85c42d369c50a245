"""This instance's share of the retry budget of a service."""

from collections import deque
from collections.abc import Callable

from yuccadale_edge._internal.model import Bounds

# Share of its allowance that an instance uses. The rest covers instances that
# join or leave, and windows that start at different times.
_SAFETY = 0.5


class RetryBudget:
    """Limits retries to one service in a sliding window.

    Each send of a request after its first counts as a retry, also one that
    the server rejects.

    Attributes:
        instances: how many instances share the budget.
    """

    def __init__(self, bounds: Bounds, now: Callable[[], float]) -> None:
        self.instances = 1
        self._bounds = bounds
        self._now = now
        self._request_times_s: deque[float] = deque()
        self._retry_times_s: deque[float] = deque()

    def reconfigure(self, bounds: Bounds) -> None:
        """Applies changed bounds."""
        self._bounds = bounds

    def count_request(self) -> None:
        """Counts a new request for the service."""
        self._request_times_s.append(self._now())

    def try_spend(self) -> bool:
        """Counts one retry; returns false when the budget is exhausted."""
        window_start_s = self._now() - self._bounds.retry_window_s
        for times in (self._request_times_s, self._retry_times_s):
            while times and times[0] < window_start_s:
                times.popleft()
        allowed = self._bounds.retry_ratio * len(self._request_times_s)
        allowed += self._bounds.min_retries / self.instances
        if len(self._retry_times_s) + 1 > allowed * _SAFETY:
            return False
        self._retry_times_s.append(self._now())
        return True


RetryBudgetLookup = Callable[[str], RetryBudget]
