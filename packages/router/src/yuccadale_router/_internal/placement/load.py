"""Estimates the load of slots and servers from the leader's observations."""

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
_INITIAL_SLOTS = 64
# Service time assumed for refused requests until one is observed.
_DEFAULT_SERVICE_MS = 20.0
# Waiting and refusals raise a server's load by at most these shares. They
# indicate that its capacity is lower than declared, but bursts cause them too.
_WAITING_WEIGHT = 0.2
_REFUSED_WEIGHT = 0.3
# A report that differs by a larger factor from the observed load is ignored.
_MAX_REPORT_RATIO = 1.8
# Largest share by which a report raises or lowers the estimated load.
_MAX_REPORT_CORRECTION = 0.1


@dataclass(slots=True)
class _ServerStats:
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
    """Estimates load as a decaying average of busy milliseconds per second."""

    def __init__(self, clock: Clock, policy: PlacementPolicy) -> None:
        self._clock = clock
        self._policy = policy
        self._index_by_slot: dict[int, int] = {}
        self._pending = np.zeros(_INITIAL_SLOTS)
        self._rates = np.zeros(_INITIAL_SLOTS)
        self._stats_by_name: dict[str, _ServerStats] = defaultdict(_ServerStats)
        self._report_by_name: dict[str, tuple[float, float]] = {}
        self._started_ms: float | None = None
        self._tick_ms = float(0)
        self._last_observed_ms = -np.inf

    def observe(self, sample: LoadSample) -> None:
        """Adds the observation of one request."""
        self._note_observation(self._clock())
        stats = self._stats_by_name[sample.server_name]
        busy_ms = sample.service_ms
        if sample.refused:
            stats.refused += 1
            busy_ms = self.mean_service_ms()
        else:
            stats.service_ms += busy_ms
        stats.count += 1
        stats.waited_ms += sample.waited_ms
        # _index may replace the array, so it is called before the update.
        index = self._index(sample.slot)
        self._pending[index] += busy_ms

    def observe_busy(
        self, slots: Iterable[int], busy_ms: NDArray[np.float64]
    ) -> None:
        """Adds milliseconds of busy time per slot."""
        self._note_observation(self._clock())
        indices = np.array([self._index(slot) for slot in slots])
        np.add.at(self._pending, indices, busy_ms)

    def transfer(self, old_slot: int, new_slot: int, rate: float) -> None:
        """Moves the load of a key that is now served under another slot.

        ``rate`` is the key's busy milliseconds per second.
        """
        old, new = self._index(old_slot), self._index(new_slot)
        share = min(rate * self._coverage(), float(self._rates[old]))
        self._rates[old] -= share
        self._rates[new] += share

    def report(self, server_name: str, report: LoadReport) -> None:
        """Stores the server's latest load report."""
        self._report_by_name[server_name] = (self._clock(), report.load)

    def is_current(self) -> bool:
        """Returns whether observations are recent and cover the warm-up."""
        now = self._clock()
        if self._started_ms is None:
            return False
        long_enough = now - self._started_ms >= self._policy.warm_up_ms
        return (
            long_enough
            and now - self._last_observed_ms <= self._policy.stale_ms
        )

    def loads(self, slots: Sequence[int]) -> NDArray[np.float64]:
        """Returns the load of each slot; 0 for slots without observations."""
        if self._started_ms is None:
            return np.zeros(len(slots))
        self._advance(self._clock())
        known = np.append(self._rates / self._coverage(), 0)
        get_index = self._index_by_slot.get
        indices = [get_index(slot, -1) for slot in slots]
        return known[np.array(indices, dtype=np.int64)]

    def mean_service_ms(self) -> float:
        """Returns the mean service time in milliseconds over all servers."""
        stats = self._stats_by_name.values()
        served = sum(entry.count - entry.refused for entry in stats)
        if served <= 0:
            return _DEFAULT_SERVICE_MS
        return sum(entry.service_ms for entry in stats) / served

    def correction_factors(
        self, names: Sequence[str], observed: NDArray[np.float64]
    ) -> NDArray[np.float64]:
        """Returns the factor that corrects each server's observed load.

        Waiting and refusals raise it. Recent reports that are plausible
        change it by at most a tenth.
        """
        overload = np.array([self._overload_factor(name) for name in names])
        return overload * self._report_factors(names, observed)

    def _overload_factor(self, name: str) -> float:
        stats = self._stats_by_name.get(name)
        if stats is None or stats.count <= 0:
            return 1
        total_ms = stats.service_ms + stats.waited_ms
        waiting = stats.waited_ms / total_ms if total_ms else 0
        refused = stats.refused / stats.count
        return 1 + _WAITING_WEIGHT * waiting + _REFUSED_WEIGHT * refused

    def _report_factors(
        self, names: Sequence[str], observed: NDArray[np.float64]
    ) -> NDArray[np.float64]:
        oldest = self._clock() - self._policy.stale_ms
        ratios = np.full(len(names), np.nan)
        for index, name in enumerate(names):
            received_ms, load = self._report_by_name.get(name, (-np.inf, 0))
            if received_ms >= oldest and load > 0 and observed[index] > 0:
                ratios[index] = load / observed[index]
        if not np.isfinite(ratios).any():
            return np.ones(len(names))
        relative = ratios / np.nanmedian(ratios)
        plausible = (relative < _MAX_REPORT_RATIO) & (
            relative > 1 / _MAX_REPORT_RATIO
        )
        limited = np.clip(
            np.sqrt(np.where(plausible, relative, 1)),
            1 - _MAX_REPORT_CORRECTION,
            1 + _MAX_REPORT_CORRECTION,
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

    def _note_observation(self, now: float) -> None:
        if self._started_ms is None:
            self._started_ms = now
            self._tick_ms = now
        self._last_observed_ms = now
        if now - self._tick_ms >= _TICK_MS:
            self._advance(now)

    def _advance(self, now: float) -> None:
        """Adds the pending busy time to the rates, at most once per tick."""
        elapsed_ms = now - self._tick_ms
        if elapsed_ms < _TICK_MS:
            return
        factor = self._decay_factor(elapsed_ms)
        per_second = self._pending * (_TICK_MS / elapsed_ms)
        self._rates *= factor
        self._rates += (1 - factor) * per_second
        self._pending.fill(0)
        self._tick_ms = now
        for stats in self._stats_by_name.values():
            stats.decay(factor)

    def _decay_factor(self, elapsed_ms: float) -> float:
        return float(0.5 ** (elapsed_ms / self._policy.half_life_ms))

    def _coverage(self) -> float:
        """Returns the share of the average's total weight that is observed."""
        covered_ms = self._tick_ms - (self._started_ms or 0)
        return max(1 - self._decay_factor(covered_ms), 1e-9)
