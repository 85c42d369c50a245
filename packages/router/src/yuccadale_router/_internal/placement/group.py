"""Placement of one group: owners, successors and proposed moves."""

from collections.abc import Mapping, Sequence

from yuccadale_router._internal.contracts import (
    Assignment,
    Candidate,
    LoadSample,
    MoveProposal,
)
from yuccadale_router._internal.placement.assignment import assign_owners
from yuccadale_router._internal.placement.draining import drain_moves
from yuccadale_router._internal.placement.successors import spread_successors


class GroupPlacement:
    """Decides which server of a group owns each slot."""

    def observe(self, sample: LoadSample) -> None:
        """Adds what a sender observed about one request."""

    def assign(
        self, slots: Sequence[int], candidates: Sequence[Candidate]
    ) -> Assignment:
        """Places all slots of a new group; empty when no server is usable."""
        owner_by_slot = assign_owners(slots, candidates)
        return Assignment(
            owner_by_slot, spread_successors(owner_by_slot, {}, candidates)
        )

    def successors(
        self,
        owner_by_slot: Mapping[int, str],
        successor_by_slot: Mapping[int, str],
        candidates: Sequence[Candidate],
    ) -> Mapping[int, str]:
        """Returns a valid successor for each slot that can have one."""
        return spread_successors(owner_by_slot, successor_by_slot, candidates)

    def propose(
        self, assignment: Assignment, candidates: Sequence[Candidate]
    ) -> Sequence[MoveProposal]:
        """Returns the moves worth their price now, best first."""
        return drain_moves(assignment.owner_by_slot, candidates)

    def moved(self, slot: int, old_owner: str, new_owner: str) -> None:
        """Records a move that took place, planned or forced."""

    def pin_candidates(self) -> Sequence[str]:
        """Returns keys that deserve a slot of their own now."""
        return ()
