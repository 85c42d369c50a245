"""How fast servers are, learnt from the times of their answers."""

from collections.abc import Mapping
from math import sqrt

from yuccadale_edge._internal.ownership.segments import Holder

# Older answers count half after this many newer ones.
_MEMORY = 150.0
# Measured speed is trusted only within these factors of the mean.
_SLOWEST = 0.15
_FASTEST = 3.0
# A server keeps at least this part of an even division by capacity, so that
# it goes on showing its speed.
_LEAST_PART = 0.2
# Answers that count as if they had taken the mean time.
_PRIOR = 8.0


def fair_loads(
    capacity_by_holder: Mapping[Holder, float], load: float
) -> dict[Holder, float]:
    """Divides work so that callers wait least.

    A slow server takes longer for each request as well, so it is to be less
    busy than a fast one: room is left in proportion to the square root of
    the capacity, which is least waiting for single queues with random
    arrivals. Where there is no room, all get work by their capacity.

    Args:
        capacity_by_holder: work in seconds a second that each can do.
        load: work in seconds a second that is asked for.
    """
    total = sum(capacity_by_holder.values())
    room = max(0, total - load)
    roots = sum(map(sqrt, capacity_by_holder.values()))
    even = (total - room) / total
    return {
        holder: max(
            capacity * even * _LEAST_PART,
            capacity - sqrt(capacity) * room / roots,
        )
        for holder, capacity in capacity_by_holder.items()
    }


class ServerSpeeds:
    """Speed of each server relative to the mean of its service."""

    def __init__(self) -> None:
        self._total_by_route: dict[str, list[float]] = {}
        self._pair_by_server: dict[str, list[float]] = {}

    def add_answers(
        self, server_id: str, route: str, count: int, total_s: float
    ) -> None:
        """Adds answers of a server."""
        route_total = self._total_by_route.setdefault(route, [0, 0])
        _add(route_total, count, total_s)
        mean_s = route_total[1] / route_total[0]
        expected_s = mean_s * count
        pair = self._pair_by_server.setdefault(server_id, [0, 0])
        if pair[0] > _MEMORY * mean_s:
            pair[0] /= 2
            pair[1] /= 2
        pair[0] += expected_s
        pair[1] += total_s

    def speed(self, server_id: str) -> float:
        """Returns 1 for a server of mean speed, 2 for one twice as fast."""
        pair = self._pair_by_server.get(server_id)
        if pair is None or not self._total_by_route:
            return 1.0
        prior_s = _PRIOR * self._mean_s()
        speed = (pair[0] + prior_s) / (pair[1] + prior_s)
        return min(max(speed, _SLOWEST), _FASTEST)

    def _mean_s(self) -> float:
        totals = self._total_by_route.values()
        count = sum(one[0] for one in totals)
        return sum(one[1] for one in totals) / count


def _add(total: list[float], count: int, total_s: float) -> None:
    if total[0] > _MEMORY * 20:
        total[0] /= 2
        total[1] /= 2
    total[0] += count
    total[1] += total_s
