"""Properties of placement over generated groups."""

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders.placement import ManualClock
from yuccadale_core.declaration import Weights
from yuccadale_router._internal.contracts import (
    Assignment,
    Candidate,
    MoveProposal,
    ServerState,
)
from yuccadale_router._internal.placement import GroupPlacement

_SLOT_COUNT = 48
_SLOTS = tuple(range(_SLOT_COUNT))
_SETTINGS = settings(derandomize=True, max_examples=40, deadline=None)

_STATES = st.sampled_from(list(ServerState))
_CAPACITIES = st.sampled_from([0.5, 1, 2])
_RACKS = st.sampled_from(['a', 'b', 'c'])
_GROUPS = st.lists(
    st.tuples(_RACKS, _STATES, _CAPACITIES), min_size=1, max_size=8
)
_LOADS = st.lists(
    st.integers(0, 500), min_size=_SLOT_COUNT, max_size=_SLOT_COUNT
)
_WEIGHTS = st.builds(Weights, st.floats(0, 5), st.floats(0, 5), st.floats(0, 5))


def _candidates(group: list[tuple]) -> list[Candidate]:
    return [
        Candidate(f's{index}', rack, state, capacity)
        for index, (rack, state, capacity) in enumerate(group)
    ]


def _all_live(candidates: list[Candidate]) -> list[Candidate]:
    return [
        Candidate(server.name, server.rack, ServerState.live, server.capacity)
        for server in candidates
    ]


def _usable(candidates: list[Candidate]) -> set[str]:
    live = {
        server.name for server in candidates if server.state == ServerState.live
    }
    joining = {
        server.name
        for server in candidates
        if server.state == ServerState.joining
    }
    return live or joining


class _Group:
    """A group in which each proposed move is made at once."""

    def __init__(self, candidates: list[Candidate], weights: Weights) -> None:
        self.clock = ManualClock()
        self.placement = GroupPlacement(
            weights, slot_count=_SLOT_COUNT, clock=self.clock
        )
        first = self.placement.assign(_SLOTS, _all_live(candidates))
        self.owners = dict(first.owner_by_slot)
        self.successors = first.successor_by_slot

    def run(
        self, candidates: list[Candidate], loads: list[int], seconds: int
    ) -> list[MoveProposal]:
        """Makes forced and proposed moves; returns the proposed ones."""
        made: list[MoveProposal] = []
        for _ in range(seconds):
            self._replace_lost(candidates)
            self.clock.advance(1)
            self.placement.observe_busy(_SLOTS, np.array(loads, float))
            proposals = self.placement.propose(
                Assignment(self.owners, self.successors), candidates
            )
            for move in proposals:
                self._move(move.slot, move.new_owner)
            self.successors = self.placement.successors(
                self.owners, self.successors, candidates
            )
            made.extend(proposals)
        return made

    def _replace_lost(self, candidates: list[Candidate]) -> None:
        lost = {
            server.name
            for server in candidates
            if server.state == ServerState.lost
        }
        for slot, owner in list(self.owners.items()):
            if owner in lost and slot in self.successors:
                self._move(slot, self.successors[slot])

    def _move(self, slot: int, new_owner: str) -> None:
        self.placement.record_move(slot, self.owners[slot], new_owner)
        self.owners[slot] = new_owner


@_SETTINGS
@given(_GROUPS)
def test_every_slot_has_one_usable_owner(group: list[tuple]):
    """Guards against slots without an owner or on unusable servers."""
    candidates = _candidates(group)
    usable = _usable(candidates)
    assignment = GroupPlacement().assign(_SLOTS, candidates)
    assert set(assignment.owner_by_slot) == (set(_SLOTS) if usable else set())
    assert set(assignment.owner_by_slot.values()) <= usable
    assert set(assignment.successor_by_slot.values()) <= usable
    for slot, successor in assignment.successor_by_slot.items():
        assert successor != assignment.owner_by_slot[slot]
    assert len(assignment.successor_by_slot) == (
        _SLOT_COUNT if len(usable) > 1 else 0
    )


@_SETTINGS
@given(_GROUPS, _LOADS, _WEIGHTS)
def test_moves_go_only_to_usable_servers(
    group: list[tuple], loads: list[int], weights: Weights
):
    """Guards against moves to draining, lost or unknown servers."""
    candidates = _candidates(group)
    usable = _usable(candidates)
    run = _Group(candidates, weights)
    made = run.run(candidates, loads, 20)
    assert {move.new_owner for move in made} <= usable
    assert set(run.owners) == set(_SLOTS)
    draining = {
        server.name
        for server in candidates
        if server.state == ServerState.draining
    }
    if usable:
        assert not draining & set(run.owners.values())


@_SETTINGS
@given(_GROUPS, _LOADS, _WEIGHTS)
def test_one_decision_moves_each_slot_at_most_once(
    group: list[tuple], loads: list[int], weights: Weights
):
    """Guards against two moves of one slot, and moves to the owner."""
    candidates = _candidates(group)
    run = _Group(candidates, weights)
    for _ in range(15):
        run.clock.advance(1)
        run.placement.observe_busy(_SLOTS, np.array(loads, float))
    proposals = run.placement.propose(
        Assignment(run.owners, run.successors), candidates
    )
    slots = [move.slot for move in proposals]
    assert len(slots) == len(set(slots))
    stays = [
        move for move in proposals if run.owners[move.slot] == move.new_owner
    ]
    assert not stays


@_SETTINGS
@given(_GROUPS, _LOADS, _WEIGHTS)
def test_same_inputs_give_the_same_placement(
    group: list[tuple], loads: list[int], weights: Weights
):
    """Guards against decisions that depend on hash seeds or input order."""
    candidates = _candidates(group)
    first = _Group(candidates, weights)
    second = _Group(list(reversed(candidates)), weights)
    made = first.run(candidates, loads, 20)
    assert second.run(list(reversed(candidates)), loads, 20) == made
    assert first.owners == second.owners
    assert first.successors == second.successors


@_SETTINGS
@given(_GROUPS, _LOADS, _WEIGHTS)
def test_constant_load_causes_no_further_moves(
    group: list[tuple], loads: list[int], weights: Weights
):
    """Guards against moves that never end under constant load."""
    candidates = _candidates(group)
    run = _Group(candidates, weights)
    run.run(candidates, loads, 400)
    successors = dict(run.successors)
    assert not run.run(candidates, loads, 120)
    assert run.successors == successors
