"""Plans the moves of one service's keys, from observed work.

The work is averaged over several times. A short time shows hot keys within
about a second; long ones show smaller differences, which chance hides in the
short ones.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import cache
from math import inf
from types import MappingProxyType

from yuccadale_edge._internal.model import KEY_COUNT
from yuccadale_edge._internal.ownership.balance import (
    Balancer,
    KeyLoad,
    Move,
    Span,
)
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.ownership.speeds import fair_loads

_MIN_MOVE_SHARE = 0.12
# A hot range is divided between many servers, so that more of them take more
# moves at a time.
_MIN_MOVES_PER_PLAN = 6
_MOVES_PER_SERVER = 0.25
# Servers register one after another when all start at once. The first keys are
# assigned when none joined for this long, or after the second time.
_SETTLED_S = 0.8
_MAX_SETTLING_S = 4.0
# A server that limits its requests counts with at least this part of its
# capacity, so that it keeps some keys and shows when the limit ends.
_MIN_LIMITED_CAPACITY = 0.05
# Servers without a limit.
_NO_LIMITS: Mapping[Holder, float] = MappingProxyType({})


@dataclass(slots=True, eq=False)
class _Horizon:
    """An average of the work, and how differences in it are treated.

    Attributes:
        interval_s: time between two plans.
        tolerance: a server keeps its keys while its load is below this factor
            of the mean.
        load: the average.
        max_key_share: largest part of a server's mean number of keys that
            moves at once.
        planned_s: when moves were last planned by it.
    """

    interval_s: float
    tolerance: float
    load: KeyLoad
    max_key_share: float = inf
    planned_s: float = 0


def _horizons() -> tuple[_Horizon, ...]:
    return (
        _Horizon(0.4, 1.25, KeyLoad(half_life_s=0.6), max_key_share=0.03),
        _Horizon(0.4, 1.25, KeyLoad(half_life_s=2.0)),
        _Horizon(1.2, 1.25, KeyLoad(half_life_s=6.0)),
        _Horizon(2.0, 1.3, KeyLoad(half_life_s=18.0)),
    )


class MovePlanner:
    """Decides which ranges of keys move to which servers."""

    def __init__(self) -> None:
        self._horizons = _horizons()
        self._servers_seen = 0
        self._first_seen_s: float | None = None
        self._joined_s: float = 0

    def add_work(
        self, weight_by_key: Mapping[int, float], requests: int | None
    ) -> None:
        """Adds work that callers requested; see ``KeyLoad.add``."""
        for horizon in self._horizons:
            horizon.load.add(weight_by_key, requests)

    def plan(
        self,
        spans: Sequence[Span],
        capacity_by_holder: Mapping[Holder, float],
        now_s: float,
        *,
        rebalance: bool,
        limit_by_holder: Mapping[Holder, float] = _NO_LIMITS,
    ) -> list[Move]:
        """Returns the moves to start now.

        Args:
            spans: all ranges with their intended owners.
            capacity_by_holder: work that each usable server can do, in seconds
                per second.
            now_s: the present time.
            rebalance: whether ranges with a usable owner may move.
            limit_by_holder: requests a second that servers limit themselves
                to.
        """
        unassigned = all(span.holder is None for span in spans)
        if unassigned and not self._servers_settled(capacity_by_holder, now_s):
            return []
        for average in self._horizons:
            average.load.decay(now_s)
        limited = self._limited_capacities(capacity_by_holder, limit_by_holder)

        @cache
        def balancer_of(horizon: _Horizon) -> Balancer:
            profile = horizon.load.profile()
            fair = fair_loads(limited, profile.total)
            return Balancer(spans, fair, profile)

        if any(span.holder not in capacity_by_holder for span in spans):
            moves = balancer_of(self._horizons[-1]).place_unowned()
            if moves:
                return moves
        if not rebalance:
            return []
        unlimited = {
            holder: capacity
            for holder, capacity in capacity_by_holder.items()
            if holder not in limit_by_holder
        }
        return self._rebalance(
            unlimited, len(capacity_by_holder), now_s, balancer_of
        )

    def _limited_capacities(
        self,
        capacity_by_holder: Mapping[Holder, float],
        limit_by_holder: Mapping[Holder, float],
    ) -> Mapping[Holder, float]:
        """Reduces the capacities of servers that limit their requests."""
        if not limit_by_holder:
            return capacity_by_holder
        work_s = self._horizons[-1].load.request_work_s()
        return {
            holder: min(
                capacity,
                max(
                    limit_by_holder.get(holder, inf) * work_s,
                    capacity * _MIN_LIMITED_CAPACITY,
                ),
            )
            for holder, capacity in capacity_by_holder.items()
        }

    def _rebalance(
        self,
        unlimited_capacity_by_holder: Mapping[Holder, float],
        servers: int,
        now_s: float,
        balancer_of: Callable[[_Horizon], Balancer],
    ) -> list[Move]:
        recent = balancer_of(self._horizons[1])
        moves: list[Move] = []
        if unlimited_capacity_by_holder:
            moves = recent.place_hot_keys(unlimited_capacity_by_holder)
        relative_loads = recent.relative_loads()
        busy = [
            holder for holder in relative_loads if relative_loads[holder] > 1
        ]
        for horizon in self._horizons:
            if moves or now_s - horizon.planned_s < horizon.interval_s:
                continue
            horizon.planned_s = now_s
            moves = balancer_of(horizon).offload_busiest(
                max_parallel_moves(servers),
                horizon.tolerance,
                _MIN_MOVE_SHARE,
                busy,
                int(
                    min(KEY_COUNT, KEY_COUNT / servers * horizon.max_key_share)
                ),
            )
        return moves

    def _servers_settled(
        self, capacity_by_holder: Mapping[Holder, float], now_s: float
    ) -> bool:
        """Whether the first servers of a service have registered."""
        if self._first_seen_s is None:
            self._first_seen_s = now_s
        if len(capacity_by_holder) > self._servers_seen:
            self._servers_seen = len(capacity_by_holder)
            self._joined_s = now_s
        settling_s = now_s - self._first_seen_s
        return (
            now_s - self._joined_s >= _SETTLED_S
            or settling_s >= _MAX_SETTLING_S
        )


def max_parallel_moves(servers: int) -> int:
    """Returns how many moves may start at a time."""
    return max(_MIN_MOVES_PER_PLAN, int(servers * _MOVES_PER_SERVER))
