"""Builders for placement: candidates, samples and a clock set by hand."""

from dataclasses import replace

import numpy as np

from yuccadale_router._internal.contracts import (
    Assignment,
    Candidate,
    LoadSample,
    MoveProposal,
    ServerState,
)
from yuccadale_router._internal.placement import GroupPlacement


def server_names(count: int) -> list[str]:
    """Returns ``s00``, ``s01``..."""
    return [f's{index:02d}' for index in range(count)]


def build_candidates(
    count: int,
    *,
    racks: int = 4,
    state_by_name: dict[str, ServerState] | None = None,
    capacity: float = 1,
) -> list[Candidate]:
    """Returns servers ``s00``, ``s01``... over the racks in turn."""
    states = state_by_name or {}
    return [
        Candidate(
            name,
            f'rack{index % racks}',
            states.get(name, ServerState.live),
            capacity,
        )
        for index, name in enumerate(server_names(count))
    ]


def build_sample(
    slot: int,
    server_name: str,
    *,
    key: str = '',
    service_ms: float = 10,
    waited_ms: float = 0,
    refused: bool = False,
) -> LoadSample:
    """Returns one observed request; the key defaults to one per slot."""
    return LoadSample(
        slot, key or f'key{slot}', server_name, service_ms, waited_ms, refused
    )


class ManualClock:
    """A clock in milliseconds that moves only when told to."""

    def __init__(self) -> None:
        self.now_ms = float(1000)

    def __call__(self) -> float:
        return self.now_ms

    def advance(self, seconds: float) -> None:
        """Moves the clock on."""
        self.now_ms += seconds * 1000


def run_group(
    placement: GroupPlacement,
    clock: ManualClock,
    assignment: Assignment,
    candidates: list[Candidate],
    *,
    busy_by_slot: dict[int, float],
    seconds: int,
) -> list[MoveProposal]:
    """Observes the load each second and makes the proposed moves.

    Changes the owners in ``assignment``; returns the moves made.
    """
    slots = sorted(busy_by_slot)
    busy = np.array([busy_by_slot[slot] for slot in slots])
    owners = dict(assignment.owner_by_slot)
    made = []
    for _ in range(seconds):
        clock.advance(1)
        placement.observe_busy(slots, busy)
        for move in placement.propose(
            replace(assignment, owner_by_slot=owners), candidates
        ):
            old_owner = owners[move.slot]
            owners[move.slot] = move.new_owner
            placement.record_move(move.slot, old_owner, move.new_owner)
            made.append(move)
    return made
