"""Spaces the requests to a server by the limit that it named.

A token bucket with hardly any depth: no burst follows a pause, a rise or the
end of a limit. Under a limit, urgent requests go first, but each priority gets
a minimum share, and the returns of refused callers are spread over time.
"""

from collections import Counter
from collections.abc import Callable
from math import exp, inf

# Requests that may follow each other at once. More than one, so that a timer
# that fires late loses no part of the limit.
_DEPTH = 1.5
# The same as a time, for limits with intervals near the lateness of timers.
_DEPTH_S = 0.02
# Tokens are sums of small parts; a timer must not be set for the difference.
_ROUNDING = 1e-6
# Part of its share of the arrivals that each priority gets at least.
_MIN_PART = 0.3
# Arrivals lose weight with this time constant.
_ARRIVALS_MEMORY_S = 2.0
# A priority that was passed over may catch up by so many requests.
_MAX_OWED = 2.0
# Returns of refused callers are spread over this time, or these intervals.
_RETURN_HORIZON_S = 5.0
_RETURN_HORIZON_INTERVALS = 4
# Part of their remaining time over which callers return to a full server: they
# need the rest for the wait and the work there.
_RETURN_SHARE = 1 / 3
# Returns are spread over this time at least, also shortly before a deadline.
_MIN_HORIZON_S = 0.1
# Return of a caller whose instance may send nothing. Instances agree on a
# reachable sender again within about this time.
_OTHER_SENDER_S = 1.0

Rate = Callable[[], float]


def unlimited() -> float:
    """The rate of a server without a limit."""
    return inf


class RequestPacer:
    """Decides when the next request to a server may be sent."""

    def __init__(self, per_s: Rate, now: Callable[[], float]) -> None:
        """Creates the pacer of one server.

        Args:
            per_s: returns the present rate in requests a second, ``inf``
                without a limit.
            now: returns the time in seconds.
        """
        self._per_s = per_s
        self._now = now
        self._tokens: float = 1
        self._refilled_s = now()
        self._returns = ReturnTimes(now)

    @property
    def limited(self) -> bool:
        """Whether there is a limit now."""
        return self._per_s() < inf

    def delay_s(self, ahead: int = 0) -> float:
        """Returns when a request may be sent after ``ahead`` others.

        ``inf`` if this instance may send none.
        """
        per_s = self._per_s()
        if per_s == inf:
            return 0
        if per_s == 0:
            return inf
        self._refill(per_s)
        missing = ahead + 1 - self._tokens
        return missing / per_s if missing > _ROUNDING else 0

    def take(self) -> None:
        """Counts a request that is sent now."""
        per_s = self._per_s()
        if per_s == inf:
            # A limit that begins now starts without saved tokens.
            self._tokens = 0
            self._refilled_s = self._now()
            return
        self._refill(per_s)
        self._tokens -= 1

    def book_return_s(self) -> float:
        """Returns when a caller that is refused now may return, in seconds."""
        per_s = self._per_s()
        return self._returns.book_s(per_s, self.delay_s())

    def _refill(self, per_s: float) -> None:
        now_s = self._now()
        self._tokens = min(
            self._tokens + (now_s - self._refilled_s) * per_s,
            max(_DEPTH, per_s * _DEPTH_S),
        )
        self._refilled_s = now_s


class ReturnTimes:
    """Spreads the returns of refused callers over the time they need."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._last_s: float = 0

    @property
    def last_in_s(self) -> float:
        """Time until the last return that was booked."""
        return max(0, self._last_s - self._now())

    def book_s(
        self,
        per_s: float,
        delay_s: float = 0,
        horizon_s: float = _RETURN_HORIZON_S,
    ) -> float:
        """Returns when a caller that is refused now may return, in seconds.

        Each refused caller gets a time of its own, in order of refusal. Beyond
        the horizon they are booked from its start again.

        Args:
            per_s: returns a second that find room.
            delay_s: time until there is room for the first one.
            horizon_s: time over which returns are spread after that.
        """
        if per_s == 0:
            return _OTHER_SENDER_S
        now_s = self._now()
        interval_s = 1 / per_s
        earliest_s = now_s + delay_s + interval_s
        horizon_s = delay_s + max(
            horizon_s, interval_s * _RETURN_HORIZON_INTERVALS
        )
        self._last_s = max(self._last_s + interval_s, earliest_s)
        if self._last_s > now_s + horizon_s:
            self._last_s = earliest_s
        return self._last_s - now_s


class OrderedReturns:
    """Spreads the returns of callers by what a server completes.

    Callers of urgent requests return first, and before others of the same
    priority those whose request has waited.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without returns.

        Args:
            now: returns the time in seconds.
        """
        self._now = now
        self._returns_by_order: dict[tuple[int, bool], ReturnTimes] = {}

    def book_s(
        self,
        *,
        priority: int,
        has_waited: bool,
        per_s: float,
        delay_s: float,
        remaining_s: float,
    ) -> float:
        """Returns when a caller that is refused now may return, in seconds.

        Args:
            priority: 0 is the most urgent.
            has_waited: whether the request has waited.
            per_s: requests a second that the server completes.
            delay_s: expected wait of the requests that are queued.
            remaining_s: time until the deadline of the request.
        """
        horizon_s = max(remaining_s * _RETURN_SHARE, _MIN_HORIZON_S)
        order = priority, not has_waited
        earlier_s = max(
            (
                returns.last_in_s
                for known, returns in self._returns_by_order.items()
                if known < order
            ),
            default=0,
        )
        # The others return in the second half at the latest.
        after_s = min(max(earlier_s - delay_s, 0), horizon_s / 2)
        horizon_s -= after_s
        returns = self._returns_by_order.setdefault(
            order, ReturnTimes(self._now)
        )
        per_s = max(per_s, _RETURN_HORIZON_INTERVALS / horizon_s)
        return returns.book_s(per_s, delay_s + after_s, horizon_s)


class PriorityShares:
    """Minimum shares, so that urgent requests do not starve the others."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._arrived_s = now()
        self._arrivals_by_priority: Counter[int] = Counter()
        self._owed_by_priority: dict[int, float] = {}

    def add_arrival(self, priority: int) -> None:
        """Counts a request that asks for admission."""
        now_s = self._now()
        weight = exp((self._arrived_s - now_s) / _ARRIVALS_MEMORY_S)
        self._arrived_s = now_s
        arrivals = self._arrivals_by_priority
        for known in arrivals:
            arrivals[known] *= weight  # type: ignore[assignment]
        arrivals[priority] += 1

    def add_admission(self, priority: int) -> None:
        """Counts a request that is sent."""
        owed = self._owed_by_priority
        total = self._arrivals_by_priority.total()
        for known, arrivals in self._arrivals_by_priority.items():
            share = arrivals / total if total else 0
            owed[known] = min(owed.get(known, 0) + share * _MIN_PART, _MAX_OWED)
        owed[priority] = max(0, owed.get(priority, 0) - 1)

    def is_owed(self, priority: int) -> bool:
        """Whether a request of this priority goes before all others."""
        return self._owed_by_priority.get(priority, 0) >= 1
