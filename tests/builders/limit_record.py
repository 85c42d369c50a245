"""The requests that a server got, against the limits that it named."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from math import inf

# The users' rule: most requests in any window of this length, over the limit.
WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5


def allowed_in_window(per_s: float) -> float:
    """Returns the most requests that the rule allows in a window."""
    return per_s * WINDOW_S * TOLERANCE + EXTRA_REQUESTS


def most_in_window(times_s: Sequence[float], window_s: float = WINDOW_S) -> int:
    """Returns the highest number of moments in any window.

    Args:
        times_s: in ascending order.
        window_s: length of the windows.
    """
    return max(
        bisect_left(times_s, first_s + window_s) - index
        for index, first_s in enumerate(times_s)
    )


@dataclass
class LimitRecord:
    """Times of arrivals and of limits, on one clock, in ascending order.

    Attributes:
        settling_s: time from the naming of a limit until it has to be kept.
        arrivals_s: when requests arrived.
        named: when a limit was first named, ``inf`` for its end.
    """

    settling_s: float
    arrivals_s: list[float] = field(default_factory=list)
    named: list[tuple[float, float]] = field(default_factory=list)

    def excess(self, until_s: float) -> list[str]:
        """Returns the limits that were exceeded, with the first window."""
        found = (self._first_excess(*span) for span in self._spans(until_s))
        return [problem for problem in found if problem is not None]

    def _first_excess(
        self, begin_s: float, end_s: float, per_s: float
    ) -> str | None:
        allowed = allowed_in_window(per_s)
        times_s = self.arrivals_s
        first = bisect_left(times_s, begin_s + self.settling_s)
        for index in range(first, bisect_left(times_s, end_s)):
            last_s = min(times_s[index] + WINDOW_S, end_s)
            count = bisect_left(times_s, last_s) - index
            if count > allowed:
                return (
                    f'{count} requests within {WINDOW_S} s, from '
                    f'{times_s[index] - begin_s:.2f} s after a limit of '
                    f'{per_s} a second was named; allowed {allowed:.0f}'
                )
        return None

    def _spans(self, until_s: float) -> Iterator[tuple[float, float, float]]:
        """Yields begin, end and limit of the times with one limit."""
        ends_s = [begin_s for begin_s, _ in self.named[1:]]
        for (begin_s, per_s), end_s in zip(
            self.named, (*ends_s, until_s), strict=True
        ):
            if per_s < inf:
                yield begin_s, end_s, per_s
