"""Measures and limits the load on one server."""

from collections.abc import Callable

from yuccadale_core.timing import MILLISECONDS_PER_SECOND

# Connections reserved for grant, hello, load and outcome calls.
CONTROL_CONNECTIONS = 8

_JITTER = 0.2
_COLD_RATE_SHARE = 0.1
_SHED_FACTOR = 0.5
# Additive increase: the full rate is reached within about 20 answers.
_INCREASE_SHARE = 0.05
_UNREACHABLE_PAUSE_MS = 50.0
_INITIAL_SERVICE_MS = 5.0
_SMOOTHING = 0.1


class ServiceTime:
    """Moving average of a server's time for one request, in ms."""

    def __init__(self) -> None:
        self.mean_ms = _INITIAL_SERVICE_MS

    def add(self, service_ms: float) -> None:
        """Adds one measurement."""
        self.mean_ms += _SMOOTHING * (service_ms - self.mean_ms)


class Pacer:
    """Limits the request rate to a server that is cold or sheds load.

    The rate rises by a fixed step with each answer and is halved when the
    server sheds load (additive increase, multiplicative decrease). Pacing
    ends when the rate reaches the limit given by the server's concurrency.
    """

    def __init__(
        self,
        concurrency: int,
        service_time: ServiceTime,
        random_unit: Callable[[], float],
    ) -> None:
        self._concurrency = concurrency
        self._service_time = service_time
        self._random_unit = random_unit
        # Requests per second; None while the rate is not limited.
        self._rate: float | None = None
        self.next_send_ms: float = 0

    @property
    def paced(self) -> bool:
        """Whether the rate is limited."""
        return self._rate is not None

    @property
    def interval_ms(self) -> float:
        """Mean time between two requests while paced, else 0."""
        if self._rate is None:
            return 0
        return MILLISECONDS_PER_SECOND / self._rate

    def start_cold(self) -> None:
        """Limits the rate of a server that has just started."""
        self._rate = self._full_rate() * _COLD_RATE_SHARE

    def shed(self, now_ms: float) -> None:
        """Halves the rate after the server has shed a request."""
        rate = self._full_rate() if self._rate is None else self._rate
        lowest = self._full_rate() * _INCREASE_SHARE
        self._rate = max(rate * _SHED_FACTOR, lowest)
        self.sent(now_ms)

    def connect_failed(self, now_ms: float) -> None:
        """Delays the next request after a failed connection attempt."""
        self.next_send_ms = now_ms + self._jittered(_UNREACHABLE_PAUSE_MS)

    def sent(self, now_ms: float) -> None:
        """Delays the next request by one interval while paced."""
        if self._rate is not None:
            self.next_send_ms = now_ms + self._jittered(self.interval_ms)

    def answered(self) -> None:
        """Raises the rate by one step."""
        if self._rate is None:
            return
        full_rate = self._full_rate()
        self._rate += full_rate * _INCREASE_SHARE
        if self._rate >= full_rate:
            self._rate = None

    def _full_rate(self) -> float:
        mean_ms = max(self._service_time.mean_ms, 0.1)
        return self._concurrency * MILLISECONDS_PER_SECOND / mean_ms

    def _jittered(self, interval_ms: float) -> float:
        spread = 2 * self._random_unit() - 1
        return interval_ms * (1 + _JITTER * spread)
