"""Replays random demand for keys to the planner of moves, without a network.

Requests arrive at random; the planner gets their work as leaders do, each
0.4 s. The measures use the true demand, which the planner does not know.
"""

import random
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from yuccadale_edge.ownership import (
    KEY_COUNT,
    Holder,
    Move,
    MovePlanner,
    Span,
)

PLAN_INTERVAL_S = 0.4
_LAST = KEY_COUNT - 1

# Requests a second for each key at a moment.
Demand = Callable[[float], Mapping[int, float]]


@dataclass
class ReplayMeasures:
    """What moved.

    Attributes:
        moved_keys: keys that changed hands, without their first assignment.
        forced_keys: those of them whose server was lost.
    """

    moved_keys: int = 0
    forced_keys: int = 0

    @property
    def moved_share(self) -> float:
        """Moved keys over all keys."""
        return self.moved_keys / KEY_COUNT

    @property
    def unforced_share(self) -> float:
        """Moved keys whose server was not lost, over all keys."""
        return (self.moved_keys - self.forced_keys) / KEY_COUNT


class DemandReplay:
    """One service's keys, servers and planner."""

    def __init__(
        self,
        seed: int,
        capacity_by_holder: dict[Holder, float],
        demand: Demand,
        work_s: float,
    ) -> None:
        self.measures = ReplayMeasures()
        self.capacity_by_holder = capacity_by_holder
        self.planner = MovePlanner()
        self.limit_by_holder: dict[Holder, float] = {}
        self._random = random.Random(seed)
        self._demand = demand
        self._work_s = work_s
        self._spans = [Span(0, _LAST, None)]

    def run(self, begin_s: float, end_s: float) -> None:
        """Replays the demand of a time."""
        now_s = begin_s
        while now_s < end_s:
            demand = self._demand(now_s)
            self._observe(demand)
            now_s += PLAN_INTERVAL_S
            for move in self.planner.plan(
                self._spans,
                self.capacity_by_holder,
                now_s,
                rebalance=True,
                limit_by_holder=self.limit_by_holder,
            ):
                self._apply(move)

    def change_leader(self) -> None:
        """Replaces the planner by one that has observed nothing."""
        self.planner = MovePlanner()

    def lose(self, *holders: Holder) -> None:
        """Removes servers."""
        for holder in holders:
            self.capacity_by_holder.pop(holder)

    def imbalance(self, now_s: float) -> float:
        """Returns the busiest server's load over capacity, over the mean."""
        demand = self._demand(now_s)
        load: Counter[Holder | None] = Counter()
        for key, rate in demand.items():
            load[self._owner(key)] += rate  # type: ignore[assignment]
        capacity = sum(self.capacity_by_holder.values())
        mean = sum(demand.values()) / capacity
        return max(
            load[holder] / own / mean
            for holder, own in self.capacity_by_holder.items()
        )

    def load_of(self, holder: Holder, demand: Mapping[int, float]) -> float:
        """Returns a server's true load, in requests a second."""
        return sum(
            rate for key, rate in demand.items() if self._owner(key) == holder
        )

    def _observe(self, demand: Mapping[int, float]) -> None:
        expected = sum(demand.values()) * PLAN_INTERVAL_S
        count = self._poisson(expected)
        keys = self._random.choices(
            list(demand), weights=list(demand.values()), k=count
        )
        weights = {
            key: number * self._work_s for key, number in Counter(keys).items()
        }
        self.planner.add_work(weights, count)

    def _poisson(self, expected: float) -> int:
        # Above some tens the normal distribution is close enough.
        deviation = self._random.gauss(0, expected**0.5)
        return max(0, round(expected + deviation))

    def _apply(self, move: Move) -> None:
        result = [Span(move.first, move.last, move.target)]
        for span in self._spans:
            if span.last < move.first or span.first > move.last:
                result.append(span)
                continue
            self._count(span, move)
            if span.first < move.first:
                result.append(Span(span.first, move.first - 1, span.holder))
            if span.last > move.last:
                result.append(Span(move.last + 1, span.last, span.holder))
        self._spans = sorted(result, key=lambda each: each.first)

    def _count(self, span: Span, move: Move) -> None:
        if span.holder is None or span.holder == move.target:
            return
        keys = min(span.last, move.last) - max(span.first, move.first) + 1
        self.measures.moved_keys += keys
        if span.holder not in self.capacity_by_holder:
            self.measures.forced_keys += keys

    def _owner(self, key: int) -> Holder | None:
        index = bisect_right(self._spans, key, key=lambda each: each.first)
        return self._spans[index - 1].holder


def skewed_demand(
    seed: int, per_s: float, things: int = 60_000, skew: float = 0.3
) -> dict[int, float]:
    """Returns requests a second for each key, some far busier than others."""
    draw = random.Random(seed)
    rates: Counter[int] = Counter()
    for rank in range(1, things + 1):
        rates[draw.randrange(KEY_COUNT)] += rank**-skew  # type: ignore
    scale = per_s / sum(rates.values())
    return {key: rate * scale for key, rate in rates.items()}


def with_hot_keys(
    demand: Mapping[int, float], first: int, count: int, share: float
) -> dict[int, float]:
    """Returns the demand with a share of all requests on adjacent keys."""
    total = sum(demand.values())
    hot = {key: rate * (1 - share) for key, rate in demand.items()}
    for key in range(first, first + count):
        hot[key] = hot.get(key, 0) + total * share / count
    return hot
