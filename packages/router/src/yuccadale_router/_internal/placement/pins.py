"""Hot keys that deserve a slot of their own, and when they go back."""

import math
from collections.abc import Sequence

from yuccadale_router._internal.placement.sketch import HotKey, HotKeySketch

# A group keeps a few pins; the rest of the sketch holds their runners-up.
MAX_PINS = 64
_SKETCH_KEYS = 512
_HALF_LIFE_MS = 20_000.0
_TICK_MS = 1000.0
# A steady rate adds up to the rate times the mean age under decay.
_WEIGHT_TO_RATE = math.log(2) * _TICK_MS / _HALF_LIFE_MS
# An eighth of a server is four slots' worth of load (32 slots per server):
# a slot with such a key cannot be balanced as a whole.
_ENTER_SHARE = 0.06
# A pin goes back once it is clearly below the entry, for some time.
_LEAVE_SHARE = 0.03
_LEAVE_AFTER_MS = 60_000.0


class HotKeys:
    """Finds keys by their decayed share of the group's load."""

    def __init__(self) -> None:
        self._sketch = HotKeySketch(_SKETCH_KEYS)
        self._total = float(0)
        self._tick_ms: float | None = None
        self._last_hot_ms_by_key: dict[str, float] = {}
        self._slot_by_key: dict[str, int] = {}

    def add(self, key: str, weight: float, now: float) -> None:
        """Adds a key's busy time."""
        self._advance(now)
        self._sketch.add(key, weight)
        self._total += weight

    def note_slot(self, key: str, slot: int) -> int | None:
        """Notes where a key was served; returns the slot it had before."""
        known = self._slot_by_key.get(key)
        if known == slot:
            return None
        self._slot_by_key[key] = slot
        return known

    def slot(self, key: str) -> int | None:
        """Returns where a key was served last."""
        return self._slot_by_key.get(key)

    def rate(self, key: str) -> float:
        """Returns at least how many milliseconds a second the key takes."""
        return self._sketch.guaranteed(key) * _WEIGHT_TO_RATE

    def heaviest(self, count: int) -> list[HotKey]:
        """Returns the heaviest keys, to be merged elsewhere."""
        return self._sketch.heaviest(count)

    def pinned(self) -> set[str]:
        """Returns the keys that were pinned when last asked."""
        return set(self._last_hot_ms_by_key)

    def pins(self, server_count: int, now: float) -> Sequence[str]:
        """Returns the keys to pin now, heaviest first."""
        if self._total <= 0 or not server_count:
            return ()
        self._advance(now)
        fair_share = self._total / server_count
        for hot_key in self._sketch.heaviest(MAX_PINS):
            pinned = hot_key.key in self._last_hot_ms_by_key
            share = _LEAVE_SHARE if pinned else _ENTER_SHARE
            if hot_key.guaranteed > share * fair_share:
                self._last_hot_ms_by_key[hot_key.key] = now
        self._last_hot_ms_by_key = {
            key: last_ms
            for key, last_ms in self._last_hot_ms_by_key.items()
            if now - last_ms < _LEAVE_AFTER_MS
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
