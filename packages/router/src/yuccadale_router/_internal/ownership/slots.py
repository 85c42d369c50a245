"""Per-slot state at the leader: tenures, moves in progress and history."""

from collections import defaultdict, deque
from dataclasses import dataclass

from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import Tenure

HISTORY_LENGTH = 8


@dataclass(frozen=True, slots=True)
class SlotEvent:
    """One owner in the history of a slot, for operators.

    Attributes:
        since_ms: age of the event, on the leader's clock.
        reason: why the slot moved here.
    """

    owner: str
    since_ms: float
    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class _Event:
    owner: str
    at: float
    token: int
    reason: str


class SlotTracker:
    """State of each slot that the row does not contain.

    Attributes:
        target_by_slot: new owners of slots with a move in progress; such
            slots are in no grant and no request is sent for them.
        undecided: slots whose owner a new leader does not know yet.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tenure_by_slot: dict[int, tuple[bool, float]] = {}
        self._history_by_slot: dict[int, deque[_Event]] = defaultdict(
            _empty_history
        )
        self.target_by_slot: dict[int, str] = {}
        self.undecided: set[int] = set()

    def begin_tenure(self, slot: int, *, complete: bool) -> None:
        """Starts the tenure of a slot."""
        self._tenure_by_slot[slot] = (complete, self._clock())

    def tenure(self, slot: int) -> Tenure:
        """Returns the tenure, or an incomplete one of age 0 when unknown."""
        complete, began_at = self._tenure_by_slot.get(
            slot, (False, self._clock())
        )
        return Tenure(complete, self._clock() - began_at)

    def copy_tenure(self, slot: int, new_slot: int) -> None:
        """Gives a new slot the tenure of the slot that it was split from."""
        self._tenure_by_slot[new_slot] = self._tenure_by_slot.get(
            slot, (False, self._clock())
        )

    def is_held(self, slot: int) -> bool:
        """Says whether the slot must not be in any grant now."""
        return slot in self.target_by_slot or slot in self.undecided

    def record_owner(
        self, slot: int, owner: str, token: int, reason: str
    ) -> None:
        """Adds an owner to the slot's history."""
        self._history_by_slot[slot].append(
            _Event(owner, self._clock(), token, reason)
        )

    def history(self, slot: int) -> list[SlotEvent]:
        """Returns the last owners of a slot, oldest first."""
        now = self._clock()
        return [
            SlotEvent(event.owner, now - event.at, event.token, event.reason)
            for event in self._history_by_slot.get(slot, ())
        ]


def _empty_history() -> deque[_Event]:
    return deque(maxlen=HISTORY_LENGTH)
