"""This instance's part of the retry budget that all instances share."""

from collections import deque
from collections.abc import Callable

# Spending less than the part leaves room for instances that come and go and
# for windows that begin at another moment.
_SAFETY = 0.5


class RetryBudget:
    """Counts first and further sends to one service in a sliding window.

    Every send beyond the first of a request counts, one that the server
    rejects included.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        now: Callable[[], float],
    ) -> None:
        self.instances = 1
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._now = now
        self._firsts: deque[float] = deque()
        self._spent: deque[float] = deque()

    def count_first(self) -> None:
        """Notes a request for the service."""
        self._firsts.append(self._now())

    def take(self) -> bool:
        """Takes one further send; false when the part is spent."""
        since = self._now() - self._window_s
        for moments in (self._firsts, self._spent):
            while moments and moments[0] < since:
                moments.popleft()
        allowed = self._ratio * len(self._firsts)
        allowed += self._slack / self.instances
        if len(self._spent) + 1 > allowed * _SAFETY:
            return False
        self._spent.append(self._now())
        return True
