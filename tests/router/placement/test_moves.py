"""Moves by load: price, limits, hysteresis, ramps and pins."""

import numpy as np
import pytest

from tests.builders.placement import (
    ManualClock,
    build_candidates,
    build_sample,
    run_group,
)
from yuccadale_core.declaration import Weights
from yuccadale_router._internal.contracts import Assignment, ServerState
from yuccadale_router._internal.placement import GroupPlacement

SLOTS = range(256)
SERVERS = 8


def _group(weights: Weights | None = None):
    clock = ManualClock()
    placement = GroupPlacement(
        weights or Weights(), slot_count=len(SLOTS), clock=clock
    )
    return placement, clock, placement.assign(SLOTS, build_candidates(SERVERS))


def _hot_server(assignment: Assignment, factor: float) -> dict[int, float]:
    return {
        slot: 40 * factor if assignment.owner_by_slot[slot] == 's00' else 40
        for slot in SLOTS
    }


def _load_by_server(
    assignment: Assignment, busy_by_slot: dict[int, float]
) -> dict[str, float]:
    loads = {f's{index:02d}': float(0) for index in range(SERVERS)}
    for slot, owner in assignment.owner_by_slot.items():
        loads[owner] += busy_by_slot[slot]
    return loads


def test_even_load_moves_nothing():
    """Guards against moves without a reason."""
    placement, clock, assignment = _group()
    busy = dict.fromkeys(SLOTS, 40.0)
    assert not run_group(
        placement,
        clock,
        assignment,
        build_candidates(SERVERS),
        busy_by_slot=busy,
        seconds=120,
    )


def test_hot_server_is_relieved_within_a_minute():
    """Guards against imbalance that stays after a shift of demand."""
    placement, clock, assignment = _group()
    busy = _hot_server(assignment, 2.5)
    made = run_group(
        placement,
        clock,
        assignment,
        build_candidates(SERVERS),
        busy_by_slot=busy,
        seconds=60,
    )
    owners = dict(assignment.owner_by_slot)
    owners.update({move.slot: move.new_owner for move in made})
    loads = np.array(
        list(_load_by_server(Assignment(owners, {}), busy).values())
    )
    assert loads.max() <= 1.25 * loads.mean()


def test_price_above_gain_moves_nothing():
    """Guards against moves that cost the customer more than they bring."""
    placement, clock, assignment = _group(Weights(1, 1000, 1))
    assert not run_group(
        placement,
        clock,
        assignment,
        build_candidates(SERVERS),
        busy_by_slot=_hot_server(assignment, 2.5),
        seconds=60,
    )


def test_stale_figures_move_nothing():
    """Guards against decisions on figures that no longer arrive."""
    placement, clock, assignment = _group()
    busy = np.array(list(_hot_server(assignment, 2.5).values()))
    for _ in range(20):
        placement.observe_busy(SLOTS, busy)
        clock.advance(1)
    assert placement.propose(assignment, build_candidates(SERVERS))
    clock.advance(6)
    assert not placement.propose(assignment, build_candidates(SERVERS))


def test_proposals_repeat_until_recorded_and_then_cool_down():
    """Guards against endless moves under way and slots moved twice."""
    placement, clock, assignment = _group()
    busy = np.array(list(_hot_server(assignment, 2.5).values()))
    for _ in range(20):
        placement.observe_busy(SLOTS, busy)
        clock.advance(1)
    candidates = build_candidates(SERVERS)
    first = placement.propose(assignment, candidates)
    assert len(first) == 8
    assert placement.propose(assignment, candidates) == first
    for move in first:
        placement.record_move(move.slot, 's00', move.new_owner)
    again = placement.propose(assignment, candidates)
    assert not {move.slot for move in first} & {move.slot for move in again}


def test_slot_does_not_go_back_and_forth():
    """Guards against slots that follow alternating load."""
    placement, clock, assignment = _group()
    owners = dict(assignment.owner_by_slot)
    moves_by_slot: dict[int, int] = {}
    for turn in range(10):
        hot = f's{turn % 2:02d}'
        busy = {slot: 100.0 if owners[slot] == hot else 40.0 for slot in SLOTS}
        made = run_group(
            placement,
            clock,
            Assignment(owners, {}),
            build_candidates(SERVERS),
            busy_by_slot=busy,
            seconds=60,
        )
        for move in made:
            owners[move.slot] = move.new_owner
            moves_by_slot[move.slot] = moves_by_slot.get(move.slot, 0) + 1
    assert max(moves_by_slot.values()) <= 3


def test_loss_is_followed_by_few_moves():
    """Guards against a storm of moves on top of a lost server's slots."""
    placement, clock, assignment = _group()
    candidates = build_candidates(
        SERVERS, state_by_name={'s03': ServerState.lost}
    )
    busy = dict.fromkeys(SLOTS, 40.0)
    run_group(
        placement,
        clock,
        assignment,
        build_candidates(SERVERS),
        busy_by_slot=busy,
        seconds=20,
    )
    owners = dict(assignment.owner_by_slot)
    placement.propose(assignment, candidates)
    lost = [slot for slot in SLOTS if owners[slot] == 's03']
    for slot in lost:
        owners[slot] = assignment.successor_by_slot[slot]
        placement.record_move(slot, 's03', owners[slot])
    made = run_group(
        placement,
        clock,
        Assignment(owners, {}),
        candidates,
        busy_by_slot=busy,
        seconds=120,
    )
    assert len(made) <= 0.15 * len(lost)


def test_returning_server_is_filled_slowly():
    """Guards against a storm of moves to a server that came back."""
    placement, clock, assignment = _group()
    owners = {
        slot: 's01' if owner == 's00' else owner
        for slot, owner in assignment.owner_by_slot.items()
    }
    owners = {
        slot: f's{slot % 7 + 1:02d}' if owner == 's01' else owner
        for slot, owner in owners.items()
    }
    busy = dict.fromkeys(SLOTS, 40.0)
    absent = {'s00': ServerState.lost}
    run_group(
        placement,
        clock,
        Assignment(owners, {}),
        build_candidates(SERVERS, state_by_name=absent),
        busy_by_slot=busy,
        seconds=20,
    )
    made = run_group(
        placement,
        clock,
        Assignment(owners, {}),
        build_candidates(SERVERS),
        busy_by_slot=busy,
        seconds=5,
    )
    assert len(made) <= 0.25 * len(SLOTS) / SERVERS
    owners.update({move.slot: move.new_owner for move in made})
    later = run_group(
        placement,
        clock,
        Assignment(owners, {}),
        build_candidates(SERVERS),
        busy_by_slot=busy,
        seconds=300,
    )
    made.extend(later)
    returned = [move.slot for move in made if move.new_owner == 's00']
    assert len(returned) >= 0.5 * len(SLOTS) / SERVERS


@pytest.mark.parametrize(('hot_ms', 'pins'), [(5, ()), (200, ('stage',))])
def test_hot_key_becomes_a_pin_and_goes_back(hot_ms: float, pins: tuple):
    """Guards against missed hot keys, needless pins and stuck pins."""
    placement, clock, assignment = _group()
    placement.propose(assignment, build_candidates(SERVERS))
    for second in range(30):
        for index in range(200):
            key = f'key{second}-{index}'
            placement.observe(build_sample(index, 's00', key=key, service_ms=5))
        placement.observe(
            build_sample(1, 's00', key='stage', service_ms=hot_ms)
        )
        clock.advance(1)
    assert tuple(placement.keys_to_pin()) == pins
    for _ in range(240):
        placement.observe(build_sample(1, 's00', key='x', service_ms=500))
        clock.advance(1)
        placement.keys_to_pin()
    assert 'stage' not in placement.keys_to_pin()
