"""Forecasts which of the requests that wait for a server will be started.

Requests that can still meet their target are started in the order of their
rank. The others get what those leave: they start after all requests in time,
also after those that arrive meanwhile.

A forecast decides in favour of waiting where it is uncertain: a request that
is refused wrongly loses its answer, one that waits in vain only time.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from math import exp, inf
from typing import NamedTuple

# Time constant of the measured service times: long enough for several requests
# of a server with two slots, short enough to follow a burst.
_MEMORY_S = 1.0
# Arrivals are counted in so many intervals of this length.
_INTERVAL_S = 0.25
_INTERVALS = 4
# Service times below this one, as of refusals by the server, count as this.
_SHORTEST_S = 0.001
# Average share of its service time that a running request still needs.
_REMAINING_SHARE = 0.5


class WaitingRequest(NamedTuple):
    """What a forecast needs to know of a request that waits.

    Attributes:
        number: identifies it.
        target_start_s: latest start that meets the target latency.
        latest_start_s: latest start that meets the deadline.
        expected_s: its expected service time.
    """

    number: int
    target_start_s: float
    latest_start_s: float
    expected_s: float


class Capacity(NamedTuple):
    """What a server can do for the requests that wait for it.

    Attributes:
        slots: requests that may run at the same time.
        busy_s: service time that the running requests still need, by slot.
        stretch: measured service time in relation to the expected one.
        share_in_time: least plausible share of the capacity that requests in
            time take which have yet to arrive.
    """

    slots: int
    busy_s: float
    stretch: float
    share_in_time: float


class ServerPace:
    """Measures how fast a server works and how much work arrives in time."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without measurements.

        Args:
            now: returns the time in seconds.
        """
        self._now = now
        self._measured_s = now()
        self._completions: float = 0
        self._expected_s: float = 0
        self._took_s: float = 0
        self._rates: float = 0
        self._interval_began_s = now()
        self._arriving_s: float = 0
        self._arrived_s = deque[float](maxlen=_INTERVALS)

    def add_arrival(self, expected_s: float) -> None:
        """Counts a request that can still meet its target."""
        self._close_intervals()
        self._arriving_s += expected_s

    def add_completion(self, expected_s: float, took_s: float) -> None:
        """Counts a request that has ended."""
        self._decay()
        self._completions += 1
        self._expected_s += expected_s
        self._took_s += took_s
        self._rates += expected_s / max(took_s, _SHORTEST_S)

    def stretch(self, running: Iterable[tuple[float, float]]) -> float:
        """Returns measured service times in relation to the expected ones.

        It is the lower one of two means: by time, a few long requests outweigh
        all that came after them; by request, a slow server shows late. One
        request that took the expected time is added, so that a single long
        request does not pass for a slow server.

        Args:
            running: expected and elapsed time of the requests that run. Those
                that take longer than expected count before they end.
        """
        self._decay()
        requests, rates = self._completions + 1, self._rates + 1
        expected_s, took_s = self._expected_s, self._took_s
        for one_expected_s, elapsed_s in running:
            one_took_s = max(elapsed_s, one_expected_s, _SHORTEST_S)
            requests += 1
            rates += one_expected_s / one_took_s
            expected_s += one_expected_s
            took_s += one_took_s
        usual_s = max(expected_s / requests, _SHORTEST_S)
        by_time = (took_s + usual_s) / (expected_s + usual_s)
        return min(by_time, requests / rates)

    def share_in_time(self, slots: int, stretch: float) -> float:
        """Returns the least plausible share of requests in time.

        It is that of the quarter of a second with the least work, so that a
        burst does not count as work that keeps arriving.
        """
        self._close_intervals()
        if len(self._arrived_s) < _INTERVALS:
            return 0
        lowest_s = min(self._arrived_s)
        return min(lowest_s * stretch / (_INTERVAL_S * slots), 1)

    def _close_intervals(self) -> None:
        """Keeps the work that arrived in the latest complete intervals."""
        ended = int((self._now() - self._interval_began_s) / _INTERVAL_S)
        self._interval_began_s += ended * _INTERVAL_S
        for _ in range(min(ended, _INTERVALS)):
            self._arrived_s.append(self._arriving_s)
            self._arriving_s = 0

    def _decay(self) -> None:
        now_s = self._now()
        if now_s <= self._measured_s:
            return
        weight = exp((self._measured_s - now_s) / _MEMORY_S)
        self._measured_s = now_s
        self._completions *= weight
        self._expected_s *= weight
        self._took_s *= weight
        self._rates *= weight


def not_served(
    waiting: Sequence[WaitingRequest], capacity: Capacity, now_s: float
) -> set[int]:
    """Returns the numbers of requests that will not start before their end.

    Args:
        waiting: in the order in which they are to start.
        capacity: of the server.
        now_s: the present time.
    """
    work_s = capacity.busy_s
    refused: set[int] = set()
    late: list[WaitingRequest] = []
    for one in waiting:
        start_s = now_s + work_s
        if start_s > one.target_start_s:
            late.append(one)
        elif start_s > one.latest_start_s:
            refused.add(one.number)
        else:
            work_s += one.expected_s * capacity.stretch / capacity.slots
    left_share = 1 - capacity.share_in_time
    for one in late:
        start_in_s = work_s / left_share if left_share > 0 else inf
        if now_s + start_in_s > one.latest_start_s:
            refused.add(one.number)
        else:
            work_s += one.expected_s * capacity.stretch / capacity.slots
    return refused


def busy_s(
    running: Iterable[tuple[float, float]], stretch: float, slots: int
) -> float:
    """Returns the service time that running requests still need, by slot."""
    expected_s = sum(one_expected_s for one_expected_s, _ in running)
    return expected_s * stretch * _REMAINING_SHARE / slots
