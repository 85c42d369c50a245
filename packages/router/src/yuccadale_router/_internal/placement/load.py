"""Load by slot and server, estimated from what the leader observes."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from yuccadale_core.targets import LoadReport
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import LoadSample
from yuccadale_router._internal.placement.policy import PlacementPolicy

_TICK_MS = 1000.0
_FIRST_ROOM = 64
# Used for a refused request until a service time is known.
_DEFAULT_SERVICE_MS = 20.0
# Waiting and refusals raise a server's load by at most these shares: they
# show that its capacity is lower than declared, but also rise with bursts.
_WAITING_WEIGHT = 0.2
_REFUSED_WEIGHT = 0.3
# A report that differs more than this from what is observed is not believed.
_BELIEVED_RATIO = 1.8
# A believed report changes the estimate by at most this share.
_REPORT_LIMIT = 0.1


@dataclass(slots=True)
class _ServerFigures:
    service_ms: float = 0
    waited_ms: float = 0
    count: float = 0
    refused: float = 0

    def decay(self, factor: float) -> None:
        self.service_ms *= factor
        self.waited_ms *= factor
        self.count *= factor
        self.refused *= factor


class LoadEstimator:
    """Keeps decayed busy time: milliseconds of service per second."""

    def __init__(self, clock: Clock, policy: PlacementPolicy) -> None:
        self._clock = clock
        self._policy = policy
        self._index_by_slot: dict[int, int] = {}
        self._pending = np.zeros(_FIRST_ROOM)
        self._rates = np.zeros(_FIRST_ROOM)
        self._figures: dict[str, _ServerFigures] = defaultdict(_ServerFigures)
        self._reports: dict[str, tuple[float, float]] = {}
        self._started_ms: float | None = None
        self._tick_ms = float(0)
        self._newest_ms = -np.inf

    def observe(self, sample: LoadSample) -> None:
        """Adds one request."""
        self._turn(self._clock())
        figures = self._figures[sample.server_name]
        busy_ms = sample.service_ms
        if sample.refused:
            figures.refused += 1
            busy_ms = self.mean_service_ms()
        else:
            figures.service_ms += busy_ms
        figures.count += 1
        figures.waited_ms += sample.waited_ms
        # The array is replaced when a new slot needs room.
        index = self._index(sample.slot)
        self._pending[index] += busy_ms

    def observe_busy(
        self, slots: Iterable[int], busy_ms: NDArray[np.float64]
    ) -> None:
        """Adds busy time of many slots at once."""
        self._turn(self._clock())
        indices = np.array([self._index(slot) for slot in slots])
        np.add.at(self._pending, indices, busy_ms)

    def transfer(self, old_slot: int, new_slot: int, rate: float) -> None:
        """Moves the load of a key that is now served under another slot."""
        old, new = self._index(old_slot), self._index(new_slot)
        share = min(rate * self._coverage(), float(self._rates[old]))
        self._rates[old] -= share
        self._rates[new] += share

    def report(self, server_name: str, report: LoadReport) -> None:
        """Takes a server's own report."""
        self._reports[server_name] = (self._clock(), report.load)

    def is_current(self) -> bool:
        """Returns whether figures are new and cover the warm-up time."""
        now = self._clock()
        if self._started_ms is None:
            return False
        long_enough = now - self._started_ms >= self._policy.warm_up_ms
        return long_enough and now - self._newest_ms <= self._policy.stale_ms

    def loads(self, slots: Sequence[int]) -> NDArray[np.float64]:
        """Returns the load of each slot; 0 for slots never observed."""
        if self._started_ms is None:
            return np.zeros(len(slots))
        self._advance(self._clock())
        known = np.append(self._rates / self._coverage(), 0)
        get_index = self._index_by_slot.get
        indices = [get_index(slot, -1) for slot in slots]
        return known[np.array(indices, dtype=np.int64)]

    def mean_service_ms(self) -> float:
        """Returns the mean service time over all servers."""
        figures = self._figures.values()
        served = sum(entry.count - entry.refused for entry in figures)
        if served <= 0:
            return _DEFAULT_SERVICE_MS
        return sum(entry.service_ms for entry in figures) / served

    def factors(
        self, names: Sequence[str], observed: NDArray[np.float64]
    ) -> NDArray[np.float64]:
        """Returns by how much each server's load is raised or lowered.

        Waiting and refusals raise it; current and believable reports move it
        by at most a tenth.
        """
        pressure = np.array([self._pressure(name) for name in names])
        return pressure * self._report_factors(names, observed)

    def _pressure(self, name: str) -> float:
        figures = self._figures.get(name)
        if figures is None or figures.count <= 0:
            return 1
        total_ms = figures.service_ms + figures.waited_ms
        waiting = figures.waited_ms / total_ms if total_ms else 0
        refused = figures.refused / figures.count
        return 1 + _WAITING_WEIGHT * waiting + _REFUSED_WEIGHT * refused

    def _report_factors(
        self, names: Sequence[str], observed: NDArray[np.float64]
    ) -> NDArray[np.float64]:
        oldest = self._clock() - self._policy.stale_ms
        ratios = np.full(len(names), np.nan)
        for index, name in enumerate(names):
            received_ms, load = self._reports.get(name, (-np.inf, 0))
            if received_ms >= oldest and load > 0 and observed[index] > 0:
                ratios[index] = load / observed[index]
        if not np.isfinite(ratios).any():
            return np.ones(len(names))
        relative = ratios / np.nanmedian(ratios)
        believed = (relative < _BELIEVED_RATIO) & (
            relative > 1 / _BELIEVED_RATIO
        )
        limited = np.clip(
            np.sqrt(np.where(believed, relative, 1)),
            1 - _REPORT_LIMIT,
            1 + _REPORT_LIMIT,
        )
        return limited

    def _index(self, slot: int) -> int:
        index = self._index_by_slot.get(slot)
        if index is None:
            index = len(self._index_by_slot)
            self._index_by_slot[slot] = index
            if index >= len(self._pending):
                self._pending = np.append(self._pending, np.zeros(index))
                self._rates = np.append(self._rates, np.zeros(index))
        return index

    def _turn(self, now: float) -> None:
        if self._started_ms is None:
            self._started_ms = now
            self._tick_ms = now
        self._newest_ms = now
        if now - self._tick_ms >= _TICK_MS:
            self._advance(now)

    def _advance(self, now: float) -> None:
        """Folds what is pending into the rates once a tick."""
        elapsed_ms = now - self._tick_ms
        if elapsed_ms < _TICK_MS:
            return
        factor = self._decay_over(elapsed_ms)
        per_second = self._pending * (_TICK_MS / elapsed_ms)
        self._rates *= factor
        self._rates += (1 - factor) * per_second
        self._pending.fill(0)
        self._tick_ms = now
        for figures in self._figures.values():
            figures.decay(factor)

    def _decay_over(self, elapsed_ms: float) -> float:
        return float(0.5 ** (elapsed_ms / self._policy.half_life_ms))

    def _coverage(self) -> float:
        """Returns the share of the decayed average that has been observed."""
        covered_ms = self._tick_ms - (self._started_ms or 0)
        return max(1 - self._decay_over(covered_ms), 1e-9)
