"""Keeps the slowest recent requests of each service."""

from dataclasses import dataclass

from yuccadale_core.messages import Hop
from yuccadale_router._internal.clock import Clock

_RETENTION_MS = 600_000


@dataclass(frozen=True, slots=True)
class SlowRequest:
    """One slow request with the time spent at each hop.

    Attributes:
        finished_ms: end time on this process's monotonic clock.
        code: number of the result code; 0 if a server answered.
    """

    service: str
    key: str
    request_id: str
    duration_ms: float
    finished_ms: float
    code: int
    hops: tuple[Hop, ...]


class SlowRequests:
    """The slowest requests of the last ten minutes by service."""

    def __init__(self, clock: Clock, limit: int) -> None:
        self._clock = clock
        self._limit = limit
        self._slowest_by_service: dict[str, list[SlowRequest]] = {}
        # Duration that a request must exceed, and how long this value is valid.
        self._threshold_by_service: dict[str, tuple[float, float]] = {}

    def is_among_slowest(self, service: str, duration_ms: float) -> bool:
        """Returns whether to add the request, without sorting the list."""
        threshold_ms, until_ms = self._threshold_by_service.get(service, (0, 0))
        return duration_ms > threshold_ms or self._clock() > until_ms

    def add(self, request: SlowRequest) -> None:
        """Adds a request; drops the fastest one if the limit is exceeded."""
        slowest = self._recent(request.service)
        slowest.append(request)
        slowest.sort(key=_duration, reverse=True)
        slowest = slowest[: self._limit]
        self._slowest_by_service[request.service] = slowest
        if len(slowest) == self._limit:
            oldest_ms = min(slow.finished_ms for slow in slowest)
            self._threshold_by_service[request.service] = (
                slowest[-1].duration_ms,
                oldest_ms + _RETENTION_MS,
            )

    def slowest(self, service: str) -> list[SlowRequest]:
        """Returns the slowest recent requests in descending order."""
        return self._recent(service)

    def services(self) -> list[str]:
        """Returns the names of services with slow requests."""
        return sorted(self._slowest_by_service)

    def _recent(self, service: str) -> list[SlowRequest]:
        oldest_ms = self._clock() - _RETENTION_MS
        return [
            request
            for request in self._slowest_by_service.get(service, [])
            if request.finished_ms >= oldest_ms
        ]


def _duration(request: SlowRequest) -> float:
    return request.duration_ms
