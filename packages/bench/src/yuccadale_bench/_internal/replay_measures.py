"""Measures of a strategy on one replayed sequence."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from yuccadale_bench._internal.replay_sequences import (
    BUSY_MS_PER_S,
    SERVICE_MS,
    DemandSequence,
)
from yuccadale_bench._internal.replay_strategies import Strategy
from yuccadale_core.declaration import Weights
from yuccadale_router.placement import (
    IMBALANCE_PERIOD_S,
    UNAVAILABLE_UNIT_S,
    Candidate,
    PlacementPolicy,
    ServerState,
)

Floats = NDArray[np.float64]

_MILLISECONDS = 1000.0
# The suspicion timeout (600 ms) and the expiry of the grant (1,000 ms) run in
# parallel; the rest is the confirmation, the record and the new grant.
FORCED_PAUSE_S = 1.6
# Time after a shift of demand in which the load must be balanced again.
BALANCE_WITHIN_S = 60


@dataclass(slots=True)
class Measures:
    """Measures of one strategy on one sequence.

    Attributes:
        max_over_mean: highest load of a live server over the mean, by second.
        variation: coefficient of variation over live servers, by second.
        churn_keys: share of keys that changed owner, by second.
        churn_requests: share of demand whose owner changed, by second.
        unavailable_s: seconds without any service that would leave the same
            number of requests unserved, by second.
        had_to_move: share of keys that were owned by lost servers.
    """

    max_over_mean: list[float] = field(default_factory=list)
    variation: list[float] = field(default_factory=list)
    churn_keys: list[float] = field(default_factory=list)
    churn_requests: list[float] = field(default_factory=list)
    unavailable_s: list[float] = field(default_factory=list)
    had_to_move: float = 0

    def weighted_sum(self, weights: Weights) -> float:
        """Returns the customer's weighted sum; lower is better."""
        imbalance = sum(self.variation) / IMBALANCE_PERIOD_S
        unavailable = sum(self.unavailable_s) / UNAVAILABLE_UNIT_S
        return (
            weights.imbalance * imbalance
            + weights.churn * sum(self.churn_keys)
            + weights.unavailable_time * unavailable
        )


def replay(sequence: DemandSequence, strategy: Strategy) -> Measures:
    """Replays a sequence with a strategy and returns the measures."""
    measures = Measures()
    number_by_name: dict[str, int] = {}
    ages = _ServerAges()
    previous: NDArray[np.int64] | None = None
    for second in range(sequence.seconds):
        candidates = sequence.candidates(second)
        ages.update(candidates, second)
        demand = sequence.demand(second)
        owners = strategy.step(second, candidates, demand)
        number_by_slot = np.full(max(owners) + 1, -1)
        for slot, owner in owners.items():
            number_by_slot[slot] = number_by_name.setdefault(
                owner, len(number_by_name)
            )
        slot_by_key = strategy.slot_by_key()
        current = number_by_slot[slot_by_key]
        _measure_balance(measures, candidates, number_by_name, current, demand)
        if previous is not None:
            _measure_moves(
                measures,
                _Step(
                    candidates,
                    list(number_by_name),
                    previous,
                    current,
                    demand,
                    slot_by_key,
                    ages.cold(second),
                ),
            )
        if second == sequence.loss_at and previous is not None:
            lost = _lost_numbers(candidates, number_by_name)
            measures.had_to_move = float(np.isin(previous, lost).mean())
        previous = current
    return measures


def worst_after_shifts(
    sequence: DemandSequence, measures: Measures
) -> float | None:
    """Returns the highest load over the mean, from a minute after each shift.

    None when no shift lasts long enough, or when the demand of a single key
    exceeds the mean load of a server.
    """
    worst = []
    for complete, changes in sequence.shift_ends():
        start = complete + BALANCE_WITHIN_S
        demand = sequence.demand(complete)
        live = sum(
            candidate.state == ServerState.live
            for candidate in sequence.candidates(complete)
        )
        if start < changes and demand.max() * live <= 1:
            worst.append(max(measures.max_over_mean[start:changes]))
    return max(worst) if worst else None


@dataclass(frozen=True, slots=True)
class _Step:
    candidates: Sequence[Candidate]
    names: list[str]
    previous: NDArray[np.int64]
    current: NDArray[np.int64]
    demand: Floats
    slot_by_key: NDArray[np.int64]
    cold: set[str]


class _ServerAges:
    def __init__(self) -> None:
        self._live_since: dict[str, int] = {}

    def update(self, candidates: Sequence[Candidate], second: int) -> None:
        live = {
            candidate.name
            for candidate in candidates
            if candidate.state == ServerState.live
        }
        live_since = second if second else -PlacementPolicy().cold_ms
        self._live_since = {
            name: int(self._live_since.get(name, live_since)) for name in live
        }

    def cold(self, second: int) -> set[str]:
        cold_s = PlacementPolicy().cold_ms / _MILLISECONDS
        return {
            name
            for name, live_since in self._live_since.items()
            if second - live_since < cold_s
        }


def _lost_numbers(
    candidates: Sequence[Candidate], number_by_name: dict[str, int]
) -> list[int]:
    return [
        number_by_name[candidate.name]
        for candidate in candidates
        if candidate.state == ServerState.lost
        and candidate.name in number_by_name
    ]


def _measure_balance(
    measures: Measures,
    candidates: Sequence[Candidate],
    number_by_name: dict[str, int],
    current: NDArray[np.int64],
    demand: Floats,
) -> None:
    load = np.bincount(current, weights=demand, minlength=len(number_by_name))
    live = np.array(
        [
            load[number_by_name[candidate.name]]
            if candidate.name in number_by_name
            else 0
            for candidate in candidates
            if candidate.state == ServerState.live
        ]
    )
    measures.max_over_mean.append(float(live.max() / live.mean()))
    measures.variation.append(float(live.std() / live.mean()))


def _measure_moves(measures: Measures, step: _Step) -> None:
    changed = step.previous != step.current
    measures.churn_keys.append(float(changed.mean()))
    measures.churn_requests.append(float(step.demand[changed].sum()))
    if not changed.any():
        measures.unavailable_s.append(0)
        return
    policy = PlacementPolicy()
    slot_load = np.bincount(step.slot_by_key, weights=step.demand)
    in_progress = slot_load[step.slot_by_key] * BUSY_MS_PER_S / _MILLISECONDS
    pause = policy.handover_ms + SERVICE_MS * np.log1p(in_progress)
    cold = [
        number for number, name in enumerate(step.names) if name in step.cold
    ]
    pause += np.where(np.isin(step.current, cold), policy.cold_start_ms, 0)
    departed = _departed_numbers(step)
    forced = np.isin(step.previous, departed)
    pause_s = np.where(
        forced,
        np.maximum(FORCED_PAUSE_S, pause / _MILLISECONDS),
        pause / _MILLISECONDS,
    )
    measures.unavailable_s.append(float((step.demand * pause_s)[changed].sum()))


def _departed_numbers(step: _Step) -> list[int]:
    """Returns servers that are lost or no longer in the list."""
    present = {
        candidate.name
        for candidate in step.candidates
        if candidate.state != ServerState.lost
    }
    return [
        number for number, name in enumerate(step.names) if name not in present
    ]
