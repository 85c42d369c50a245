"""Selects the hot keys that are pinned to a slot of their own."""

import math
from collections.abc import Sequence

from yuccadale_router._internal.placement.sketch import HotKey, HotKeySketch

# Pins per group; the sketch keeps more keys, as candidates for pins.
MAX_PINS = 64
_SKETCH_KEYS = 512
_HALF_LIFE_MS = 20_000.0
_TICK_MS = 1000.0
# Under exponential decay, a steady rate adds up to a weight of the rate times
# the mean lifetime, which is the half-life over log(2).
_WEIGHT_TO_RATE = math.log(2) * _TICK_MS / _HALF_LIFE_MS
# Share of a server's mean load above which a key is pinned. With 32 slots per
# server it is the load of about two slots; a slot with such a key is too heavy
# to be balanced as a whole.
_PIN_SHARE = 0.06
# A key is unpinned after its share stayed below this one for the delay. The
# difference from _PIN_SHARE keeps keys from being pinned and unpinned in turn.
_UNPIN_SHARE = 0.03
_UNPIN_DELAY_MS = 60_000.0


class HotKeys:
    """Finds hot keys by their share of the group's recent load."""

    def __init__(self) -> None:
        self._sketch = HotKeySketch(_SKETCH_KEYS)
        self._total = float(0)
        self._tick_ms: float | None = None
        self._last_hot_ms_by_key: dict[str, float] = {}
        self._slot_by_key: dict[str, int] = {}

    def add(self, key: str, weight: float, now: float) -> None:
        """Adds a key's busy milliseconds."""
        self._advance(now)
        self._sketch.add(key, weight)
        self._total += weight

    def record_slot(self, key: str, slot: int) -> int | None:
        """Records the key's slot; returns the previous one if it changed."""
        previous = self._slot_by_key.get(key)
        if previous == slot:
            return None
        self._slot_by_key[key] = slot
        return previous

    def slot(self, key: str) -> int | None:
        """Returns the slot under which the key was last served."""
        return self._slot_by_key.get(key)

    def rate(self, key: str) -> float:
        """Returns a lower bound of the key's busy milliseconds per second."""
        return self._sketch.guaranteed(key) * _WEIGHT_TO_RATE

    def heaviest(self, count: int) -> list[HotKey]:
        """Returns up to ``count`` keys, heaviest first."""
        return self._sketch.heaviest(count)

    def pinned(self) -> set[str]:
        """Returns the keys that the last call of ``pins`` counted as hot."""
        return set(self._last_hot_ms_by_key)

    def pins(self, server_count: int, now: float) -> Sequence[str]:
        """Returns the keys to pin now, those pinned longest first."""
        if self._total <= 0 or not server_count:
            return ()
        self._advance(now)
        fair_share = self._total / server_count
        for hot_key in self._sketch.heaviest(MAX_PINS):
            pinned = hot_key.key in self._last_hot_ms_by_key
            share = _UNPIN_SHARE if pinned else _PIN_SHARE
            if hot_key.guaranteed > share * fair_share:
                self._last_hot_ms_by_key[hot_key.key] = now
        self._last_hot_ms_by_key = {
            key: last_ms
            for key, last_ms in self._last_hot_ms_by_key.items()
            if now - last_ms < _UNPIN_DELAY_MS
        }
        return tuple(self._last_hot_ms_by_key)[:MAX_PINS]

    def _advance(self, now: float) -> None:
        if self._tick_ms is None:
            self._tick_ms = now
        elapsed_ms = now - self._tick_ms
        if elapsed_ms >= _TICK_MS:
            factor = 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
            self._sketch.decay(factor)
            self._total *= factor
            self._tick_ms = now
            self._slot_by_key = {
                key: slot
                for key, slot in self._slot_by_key.items()
                if key in self._sketch
            }
