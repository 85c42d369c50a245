"""Space-saving sketch: the heaviest keys of a stream in bounded memory.

Metwally, Agrawal, El Abbadi: "Efficient computation of frequent and top-k
elements in data streams" (2005). A key that is not kept replaces the
lightest one and inherits its weight as the bound of its error.
"""

import heapq
from collections.abc import Sequence

import msgspec


class HotKey(msgspec.Struct, frozen=True, array_like=True):
    """A heavy key; its true weight lies in ``[weight - error, weight]``."""

    key: str
    weight: float
    error: float

    @property
    def guaranteed(self) -> float:
        """The weight that the key has at least."""
        return self.weight - self.error


class HotKeySketch:
    """Keeps the heaviest keys; memory is bounded by ``capacity`` keys."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._weight_by_key: dict[str, float] = {}
        self._error_by_key: dict[str, float] = {}
        # One entry per kept key; its weight may be out of date, but never
        # above the true one, so the lightest key is found by renewing entries.
        self._lightest: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Returns the number of kept keys."""
        return len(self._weight_by_key)

    def __contains__(self, key: str) -> bool:
        """Returns whether the key is kept."""
        return key in self._weight_by_key

    def guaranteed(self, key: str) -> float:
        """Returns the weight that a key has at least; 0 when not kept."""
        if key not in self._weight_by_key:
            return 0
        return self._weight_by_key[key] - self._error_by_key[key]

    def add(self, key: str, weight: float, error: float = 0) -> None:
        """Adds weight to a key."""
        known = self._weight_by_key.get(key)
        if known is not None:
            self._weight_by_key[key] = known + weight
            self._error_by_key[key] += error
            return
        inherited = float(0)
        if len(self._weight_by_key) >= self._capacity:
            inherited = self._evict()
        self._weight_by_key[key] = inherited + weight
        self._error_by_key[key] = inherited + error
        heapq.heappush(self._lightest, (inherited + weight, key))

    def decay(self, factor: float) -> None:
        """Multiplies all weights by a factor below 1."""
        for kept in self._weight_by_key:
            self._weight_by_key[kept] *= factor
            self._error_by_key[kept] *= factor
        # The order stays the same, so the list remains a heap.
        self._lightest = [
            (weight * factor, key) for weight, key in self._lightest
        ]

    def heaviest(self, count: int) -> list[HotKey]:
        """Returns up to ``count`` keys, heaviest first."""
        top = heapq.nlargest(
            count, self._weight_by_key.items(), key=_by_weight_then_key
        )
        return [
            HotKey(key, weight, self._error_by_key[key]) for key, weight in top
        ]

    def merge(self, hot_keys: Sequence[HotKey]) -> None:
        """Adds the heaviest keys of another sketch."""
        for hot_key in hot_keys:
            self.add(hot_key.key, hot_key.weight, hot_key.error)

    def _evict(self) -> float:
        while True:
            noted, key = self._lightest[0]
            weight = self._weight_by_key[key]
            if noted >= weight:
                heapq.heappop(self._lightest)
                self._error_by_key.pop(key)
                return self._weight_by_key.pop(key)
            heapq.heapreplace(self._lightest, (weight, key))


def _by_weight_then_key(entry: tuple[str, float]) -> tuple[float, str]:
    return entry[1], entry[0]
