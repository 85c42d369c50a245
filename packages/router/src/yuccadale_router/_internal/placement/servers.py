"""Time since each server went live: cold starts and capacity ramps."""

from collections.abc import Sequence

from yuccadale_core.timing import seconds
from yuccadale_router._internal.contracts import Candidate, ServerState
from yuccadale_router._internal.placement.policy import PlacementPolicy

_BEFORE_START_MS = float('-inf')


class ServerAges:
    """Records when each server went live."""

    def __init__(self, policy: PlacementPolicy) -> None:
        self._policy = policy
        self._live_since_by_name: dict[str, float] = {}
        self._last_change_ms = _BEFORE_START_MS
        self._started = False

    def update(self, candidates: Sequence[Candidate], now: float) -> None:
        """Records servers that went live; those of the first call are warm."""
        live = {
            candidate.name
            for candidate in candidates
            if candidate.state == ServerState.live
        }
        since = now if self._started else _BEFORE_START_MS
        if self._started and live != set(self._live_since_by_name):
            self._last_change_ms = now
        self._live_since_by_name = {
            name: self._live_since_by_name.get(name, since) for name in live
        }
        self._started = True

    def horizon_s(self, now: float) -> float:
        """Returns how long the live servers are expected to stay the same."""
        stable_s = seconds(now - self._last_change_ms)
        expected_s = stable_s * self._policy.stability_factor
        return min(
            max(expected_s, self._policy.horizon_s),
            self._policy.max_horizon_s,
        )

    def is_cold(self, name: str, now: float) -> bool:
        """Returns whether slots moved to the server wait for its cold start."""
        since = self._live_since_by_name.get(name, now)
        return now - since < self._policy.cold_ms

    def usable_share(self, name: str, now: float) -> float:
        """Returns the share of its capacity that load moves may fill now."""
        since = self._live_since_by_name.get(name, now)
        ramped = (now - since) / self._policy.ramp_ms
        return min(1, max(self._policy.ramp_floor, ramped))
