"""History of moves: cool-down, back-and-forth detection and rate limits."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from yuccadale_router._internal.placement.policy import PlacementPolicy

_MINUTE_MS = 60_000.0


class MoveKind(StrEnum):
    """Why a move took place."""

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
    """Moves of the last minutes, oldest first."""

    def __init__(self, policy: PlacementPolicy) -> None:
        self._policy = policy
        self._moves: deque[_Move] = deque()
        self._resting_until_by_slot: dict[int, float] = {}

    def add(
        self, slot: int, old_owner: str, at_ms: float, kind: MoveKind
    ) -> None:
        """Records a move and forgets those that no rule needs any more."""
        self._moves.append(_Move(at_ms, slot, old_owner, kind))
        while self._moves[0].at_ms < at_ms - self._policy.back_ms:
            self._moves.popleft()

    def rest(self, slot: int, now: float) -> None:
        """Keeps a slot in place until released or as long as a cool-down."""
        until = now + self._policy.cool_down_ms
        self._resting_until_by_slot[slot] = until

    def release(self, slot: int) -> None:
        """Ends a rest."""
        self._resting_until_by_slot.pop(slot, None)

    def resting_slots(self, now: float) -> set[int]:
        """Returns slots that cool down, rest, or moved back and forth."""
        cooling = {
            move.slot for move in self._since(now - self._policy.cool_down_ms)
        }
        self._resting_until_by_slot = {
            slot: until
            for slot, until in self._resting_until_by_slot.items()
            if until > now
        }
        cooling.update(self._resting_until_by_slot)
        return cooling | self._oscillating(now)

    def returns(self, now: float) -> set[tuple[int, str]]:
        """Returns slots with servers that they left by choice recently."""
        return {
            (move.slot, move.old_owner)
            for move in self._since(now - self._policy.back_ms)
            if move.kind == MoveKind.chosen
        }

    def moves_left(self, now: float, slot_count: int, *, severe: bool) -> int:
        """Returns how many load moves the limits allow now."""
        chosen = sum(
            move.kind == MoveKind.chosen
            for move in self._since(now - _MINUTE_MS)
        )
        limit = int(slot_count * self._policy.moves_per_minute_share)
        left = max(limit, self._policy.moves_at_once) - chosen
        if not severe:
            left = min(left, self._left_while_settling(now, left))
        return max(0, min(left, self._policy.moves_at_once))

    def _left_while_settling(self, now: float, otherwise: int) -> int:
        window = list(self._since(now - self._policy.settle_ms))
        forced_times = [
            move.at_ms for move in window if move.kind == MoveKind.forced
        ]
        if not forced_times:
            return otherwise
        chosen_since = sum(
            move.kind == MoveKind.chosen and move.at_ms >= forced_times[0]
            for move in window
        )
        allowed = int(len(forced_times) * self._policy.settle_share)
        return allowed - chosen_since

    def _oscillating(self, now: float) -> set[int]:
        count_by_slot: dict[int, int] = {}
        for move in self._since(now - self._policy.back_ms):
            if move.kind == MoveKind.chosen:
                count_by_slot[move.slot] = count_by_slot.get(move.slot, 0) + 1
        return {
            slot
            for slot, count in count_by_slot.items()
            if count >= self._policy.oscillation_moves
        }

    def _since(self, start_ms: float) -> Iterator[_Move]:
        return (move for move in self._moves if move.at_ms >= start_ms)
