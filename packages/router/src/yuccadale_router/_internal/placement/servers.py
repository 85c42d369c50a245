"""How long each server has been in use: cold starts and ramps."""

from collections.abc import Sequence

from yuccadale_core.timing import seconds
from yuccadale_router._internal.contracts import Candidate, ServerState
from yuccadale_router._internal.placement.policy import PlacementPolicy

_LONG_AGO = float('-inf')


class ServerAges:
    """Remembers when each server went live."""

    def __init__(self, policy: PlacementPolicy) -> None:
        self._policy = policy
        self._live_since_by_name: dict[str, float] = {}
        self._changed_ms = _LONG_AGO
        self._started = False

    def update(self, candidates: Sequence[Candidate], now: float) -> None:
        """Notes servers that went live; those of the first call are warm."""
        live = {
            candidate.name
            for candidate in candidates
            if candidate.state == ServerState.live
        }
        since = now if self._started else _LONG_AGO
        if self._started and live != set(self._live_since_by_name):
            self._changed_ms = now
        self._live_since_by_name = {
            name: self._live_since_by_name.get(name, since) for name in live
        }
        self._started = True

    def horizon_s(self, now: float) -> float:
        """Returns how long the present servers are expected to stay."""
        stable_s = seconds(now - self._changed_ms)
        expected_s = stable_s * self._policy.stability_factor
        return min(
            max(expected_s, self._policy.horizon_s),
            self._policy.longest_horizon_s,
        )

    def is_cold(self, name: str, now: float) -> bool:
        """Returns whether slots moved to the server wait for its start."""
        since = self._live_since_by_name.get(name, now)
        return now - since < self._policy.cold_ms

    def usable_share(self, name: str, now: float) -> float:
        """Returns the share of its capacity that a server is given now."""
        since = self._live_since_by_name.get(name, now)
        ramped = (now - since) / self._policy.ramp_ms
        return min(1, max(self._policy.ramp_floor, ramped))
