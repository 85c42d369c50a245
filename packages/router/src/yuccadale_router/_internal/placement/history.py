"""History of moves: cool-downs, oscillation detection and rate limits."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from yuccadale_router._internal.placement.policy import PlacementPolicy

_MINUTE_MS = 60_000.0


class MoveKind(StrEnum):
    """Cause of a move.

    Attributes:
        chosen: a load move.
        drained: the old owner was draining.
        forced: the old owner was lost.
    """

    chosen = 'chosen'
    drained = 'drained'
    forced = 'forced'


@dataclass(frozen=True, slots=True)
class _Move:
    at_ms: float
    slot: int
    old_owner: str
    kind: MoveKind


class MoveHistory:
    """Moves within ``return_cool_down_ms``, oldest first."""

    def __init__(self, policy: PlacementPolicy) -> None:
        self._policy = policy
        self._moves: deque[_Move] = deque()
        self._held_until_by_slot: dict[int, float] = {}

    def add(
        self, slot: int, old_owner: str, at_ms: float, kind: MoveKind
    ) -> None:
        """Records a move and removes those older than any limit needs."""
        self._moves.append(_Move(at_ms, slot, old_owner, kind))
        while self._moves[0].at_ms < at_ms - self._policy.return_cool_down_ms:
            self._moves.popleft()

    def hold(self, slot: int, now: float) -> None:
        """Keeps the slot from moving for a cool-down or until ``release``."""
        until = now + self._policy.cool_down_ms
        self._held_until_by_slot[slot] = until

    def release(self, slot: int) -> None:
        """Ends the effect of ``hold``."""
        self._held_until_by_slot.pop(slot, None)

    def immovable_slots(self, now: float) -> set[int]:
        """Returns slots that cool down, are held, or oscillate."""
        cooling = {
            move.slot for move in self._since(now - self._policy.cool_down_ms)
        }
        self._held_until_by_slot = {
            slot: until
            for slot, until in self._held_until_by_slot.items()
            if until > now
        }
        cooling.update(self._held_until_by_slot)
        return cooling | self._oscillating(now)

    def recent_departures(self, now: float) -> set[tuple[int, str]]:
        """Returns pairs of a slot and a server that it left by a load move."""
        return {
            (move.slot, move.old_owner)
            for move in self._since(now - self._policy.return_cool_down_ms)
            if move.kind == MoveKind.chosen
        }

    def remaining_moves(
        self, now: float, slot_count: int, *, severe: bool
    ) -> int:
        """Returns how many load moves the rate limits allow now.

        A ``severe`` imbalance lifts the limit that follows forced moves.
        """
        chosen = sum(
            move.kind == MoveKind.chosen
            for move in self._since(now - _MINUTE_MS)
        )
        limit = int(slot_count * self._policy.max_moves_per_minute_share)
        remaining = max(limit, self._policy.max_concurrent_moves) - chosen
        if not severe:
            remaining = min(
                remaining, self._remaining_during_recovery(now, remaining)
            )
        return max(0, min(remaining, self._policy.max_concurrent_moves))

    def _remaining_during_recovery(self, now: float, default: int) -> int:
        window = list(self._since(now - self._policy.recovery_ms))
        forced_times = [
            move.at_ms for move in window if move.kind == MoveKind.forced
        ]
        if not forced_times:
            return default
        chosen_since = sum(
            move.kind == MoveKind.chosen and move.at_ms >= forced_times[0]
            for move in window
        )
        allowed = int(len(forced_times) * self._policy.recovery_share)
        return allowed - chosen_since

    def _oscillating(self, now: float) -> set[int]:
        count_by_slot: dict[int, int] = {}
        for move in self._since(now - self._policy.return_cool_down_ms):
            if move.kind == MoveKind.chosen:
                count_by_slot[move.slot] = count_by_slot.get(move.slot, 0) + 1
        return {
            slot
            for slot, count in count_by_slot.items()
            if count >= self._policy.oscillation_moves
        }

    def _since(self, start_ms: float) -> Iterator[_Move]:
        return (move for move in self._moves if move.at_ms >= start_ms)
