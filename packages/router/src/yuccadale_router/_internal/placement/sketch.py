"""Space-saving sketch: the heaviest keys of a stream in bounded memory.

Metwally, Agrawal, El Abbadi: "Efficient computation of frequent and top-k
elements in data streams" (2005). When the sketch is full, a new key
replaces the lightest one and inherits its weight, which bounds the new key's
error.
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
        """Lower bound of the key's true weight."""
        return self.weight - self.error


class HotKeySketch:
    """Keeps the heaviest keys; memory is bounded by ``capacity`` keys."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._weight_by_key: dict[str, float] = {}
        self._error_by_key: dict[str, float] = {}
        # One entry per kept key. An entry's weight may be out of date but is
        # never too high, so the lightest key is at the top once the top
        # entry is up to date.
        self._lightest_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Returns the number of kept keys."""
        return len(self._weight_by_key)

    def __contains__(self, key: str) -> bool:
        """Returns whether the key is kept."""
        return key in self._weight_by_key

    def guaranteed(self, key: str) -> float:
        """Returns a lower bound of a key's weight; 0 if it is not kept."""
        if key not in self._weight_by_key:
            return 0
        return self._weight_by_key[key] - self._error_by_key[key]

    def add(self, key: str, weight: float, error: float = 0) -> None:
        """Adds to a key's weight and to the bound of its error."""
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
        heapq.heappush(self._lightest_heap, (inherited + weight, key))

    def decay(self, factor: float) -> None:
        """Multiplies all weights and errors by a factor below 1."""
        for kept in self._weight_by_key:
            self._weight_by_key[kept] *= factor
            self._error_by_key[kept] *= factor
        # Scaling keeps the order, so the list remains a heap.
        self._lightest_heap = [
            (weight * factor, key) for weight, key in self._lightest_heap
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
            entry_weight, key = self._lightest_heap[0]
            weight = self._weight_by_key[key]
            if entry_weight >= weight:
                heapq.heappop(self._lightest_heap)
                self._error_by_key.pop(key)
                return self._weight_by_key.pop(key)
            heapq.heapreplace(self._lightest_heap, (weight, key))


def _by_weight_then_key(entry: tuple[str, float]) -> tuple[float, str]:
    return entry[1], entry[0]
