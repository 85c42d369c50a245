"""Speeds of servers, estimated from their service times."""

from collections.abc import Mapping
from math import sqrt

from yuccadale_edge._internal.ownership.segments import Holder

# The sums of a server are halved when they reach this many answers, those of a
# route at 20 times as many, so that old answers lose weight.
_HALVING_ANSWERS = 150.0
# Estimated speeds are limited to these factors of the mean.
_MIN_SPEED = 0.15
_MAX_SPEED = 3.0
# A server keeps at least this share of its part by capacity, so that its speed
# can still be measured.
_MIN_SHARE = 0.2
# Number of assumed answers with the mean time, which steadies early estimates.
_PRIOR_ANSWERS = 8.0
# The same for the speed that an earlier leader estimated.
_ASSUMED_ANSWERS = 30.0


def fair_loads(
    capacity_by_holder: Mapping[Holder, float], load: float
) -> dict[Holder, float]:
    """Divides work so that requests wait least.

    A slow server also takes longer for each request, so it should be less
    utilised than a fast one. Spare capacity is divided in proportion to the
    square root of the capacity, which minimises waiting in single queues with
    random arrivals. Without spare capacity, work is divided by capacity.

    Args:
        capacity_by_holder: work that each server can do, in seconds per
            second.
        load: requested work, in seconds per second.
    """
    total = sum(capacity_by_holder.values())
    spare = max(0, total - load)
    sum_of_roots = sum(map(sqrt, capacity_by_holder.values()))
    even_share = (total - spare) / total
    return {
        holder: max(
            capacity * even_share * _MIN_SHARE,
            capacity - sqrt(capacity) * spare / sum_of_roots,
        )
        for holder, capacity in capacity_by_holder.items()
    }


class ServerSpeeds:
    """Estimated speed of each server relative to the mean of its service."""

    def __init__(self) -> None:
        self._assumed_by_server: Mapping[str, float] = {}
        self._total_by_route: dict[str, list[float]] = {}
        self._expected_and_actual_s_by_server: dict[str, list[float]] = {}

    def add_answers(
        self, server_id: str, route: str, count: int, total_s: float
    ) -> None:
        """Adds ``count`` answers of a server that took ``total_s`` in total."""
        route_total = self._total_by_route.setdefault(route, [0, 0])
        _add(route_total, count, total_s)
        mean_s = route_total[1] / route_total[0]
        expected_s = mean_s * count
        times = self._expected_and_actual_s_by_server.setdefault(
            server_id, [0, 0]
        )
        if times[0] > _HALVING_ANSWERS * mean_s:
            times[0] /= 2
            times[1] /= 2
        times[0] += expected_s
        times[1] += total_s

    def assume(self, speed_by_server: Mapping[str, float]) -> None:
        """Sets the speeds to assume until answers show others."""
        self._assumed_by_server = speed_by_server

    def speed(self, server_id: str) -> float:
        """Returns 1 for a server of mean speed, 2 for one twice as fast."""
        assumed = self._assumed_by_server.get(server_id)
        speed = 1.0 if assumed is None else assumed
        times = self._expected_and_actual_s_by_server.get(server_id)
        if times is not None and self._total_by_route:
            answers = _PRIOR_ANSWERS if assumed is None else _ASSUMED_ANSWERS
            prior_s = answers * self._mean_s()
            speed = (times[0] + prior_s) / (times[1] + prior_s / speed)
        return min(max(speed, _MIN_SPEED), _MAX_SPEED)

    def _mean_s(self) -> float:
        totals = self._total_by_route.values()
        count = sum(total[0] for total in totals)
        return sum(total[1] for total in totals) / count


def _add(total: list[float], count: int, total_s: float) -> None:
    if total[0] > _HALVING_ANSWERS * 20:
        total[0] /= 2
        total[1] /= 2
    total[0] += count
    total[1] += total_s
