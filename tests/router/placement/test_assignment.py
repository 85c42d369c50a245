"""Initial assignment, successors and draining."""

from collections import Counter

from tests.builders.placement import build_candidates
from yuccadale_router._internal.contracts import Candidate, ServerState
from yuccadale_router._internal.placement import GroupPlacement

SLOTS = range(512)


def test_slots_follow_capacity():
    """Guards against shares of slots that differ from shares of capacity."""
    candidates = [
        *build_candidates(4),
        Candidate('big', 'rack9', ServerState.live, 4),
    ]
    assignment = GroupPlacement().assign(SLOTS, candidates)
    counts = Counter(assignment.owner_by_slot.values())
    assert counts.pop('big') == 256
    assert list(counts.values()) == [64, 64, 64, 64]


def test_successor_is_in_another_rack():
    """Guards against losing owner and successor of a slot with one rack."""
    candidates = build_candidates(16)
    rack_by_name = {server.name: server.rack for server in candidates}
    assignment = GroupPlacement().assign(SLOTS, candidates)
    assert set(assignment.successor_by_slot) == set(SLOTS)
    same_rack = [
        slot
        for slot in SLOTS
        if rack_by_name[assignment.owner_by_slot[slot]]
        == rack_by_name[assignment.successor_by_slot[slot]]
    ]
    assert not same_rack


def test_successors_are_spread():
    """Guards against few servers taking over all slots of a lost server."""
    assignment = GroupPlacement().assign(SLOTS, build_candidates(16, racks=16))
    successor_counts = Counter(
        assignment.successor_by_slot[slot]
        for slot in SLOTS
        if assignment.owner_by_slot[slot] == 's03'
    )
    assert len(successor_counts) == 15
    assert max(successor_counts.values()) <= 3


def test_one_rack_still_has_successors():
    """Guards against slots without a successor if all servers share a rack."""
    assignment = GroupPlacement().assign(SLOTS, build_candidates(3, racks=1))
    assert len(assignment.successor_by_slot) == len(SLOTS)


def test_successors_change_little_on_a_loss():
    """Guards against replacing successors that are still valid."""
    candidates = build_candidates(16, state_by_name={'s03': ServerState.lost})
    placement = GroupPlacement()
    before = placement.assign(SLOTS, build_candidates(16))
    owner_by_slot = {
        slot: before.successor_by_slot[slot] if owner == 's03' else owner
        for slot, owner in before.owner_by_slot.items()
    }
    after = placement.successors(
        owner_by_slot, before.successor_by_slot, candidates
    )
    had_to_change = [
        slot
        for slot in SLOTS
        if 's03' in {before.owner_by_slot[slot], before.successor_by_slot[slot]}
    ]
    changed = [
        slot for slot in SLOTS if after[slot] != before.successor_by_slot[slot]
    ]
    assert 's03' not in after.values()
    assert len(changed) <= 1.3 * len(had_to_change)


def test_joining_server_becomes_successor_once_live():
    """Guards against a new server that is successor of no slots."""
    placement = GroupPlacement()
    before = placement.assign(SLOTS, build_candidates(15))
    after = placement.successors(
        before.owner_by_slot, before.successor_by_slot, build_candidates(16)
    )
    assert Counter(after.values())['s15'] >= 11


def test_draining_server_is_emptied():
    """Guards against slots that stay on a draining server."""
    placement = GroupPlacement()
    assignment = placement.assign(SLOTS, build_candidates(16))
    states = {'s03': ServerState.draining, 's04': ServerState.lost}
    proposals = placement.propose(
        assignment, build_candidates(16, state_by_name=states)
    )
    on_draining = {
        slot
        for slot, owner in assignment.owner_by_slot.items()
        if owner == 's03'
    }
    assert {proposal.slot for proposal in proposals} == on_draining
    assert not {proposal.new_owner for proposal in proposals} & set(states)


def test_no_usable_server_gives_no_assignment():
    """Guards against placing slots on lost or draining servers."""
    states = {'s00': ServerState.lost, 's01': ServerState.draining}
    candidates = build_candidates(2, state_by_name=states)
    placement = GroupPlacement()
    assert not placement.assign(SLOTS, candidates).owner_by_slot
    assert not placement.successors({1: 's00'}, {}, candidates)
