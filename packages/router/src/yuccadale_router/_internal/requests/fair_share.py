"""Prevents one key from using a server to the exclusion of others."""

_HALF = 0.5
_HALF_LIFE_MS = 1000.0
_KEY_LIMIT = 256


class FairShare:
    """Recent time of each key at one server.

    Waiting requests of other keys precede a key with more than half of the
    time. All times are halved once a second, so that recent use counts most.
    """

    def __init__(self) -> None:
        self._busy_by_key: dict[str, float] = {}
        self._total_busy_ms: float = 0
        self._last_halved_ms: float = 0

    def add(self, key: str, busy_ms: float, now_ms: float) -> None:
        """Adds time that a key used at the server."""
        if now_ms - self._last_halved_ms >= _HALF_LIFE_MS:
            self._halve(now_ms)
        if (
            key not in self._busy_by_key
            and len(self._busy_by_key) >= _KEY_LIMIT
        ):
            self._halve(now_ms)
            if len(self._busy_by_key) >= _KEY_LIMIT:
                self._total_busy_ms += busy_ms
                return
        self._busy_by_key[key] = self._busy_by_key.get(key, 0) + busy_ms
        self._total_busy_ms += busy_ms

    def over_share(self, key: str) -> bool:
        """Returns whether the key used more than half of the recent time."""
        return self._busy_by_key.get(key, 0) > self._total_busy_ms * _HALF

    def _halve(self, now_ms: float) -> None:
        self._last_halved_ms = now_ms
        self._total_busy_ms *= _HALF
        floor = self._total_busy_ms / _KEY_LIMIT
        self._busy_by_key = {
            key: busy * _HALF
            for key, busy in self._busy_by_key.items()
            if busy * _HALF > floor
        }
