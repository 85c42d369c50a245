"""Moves that empty draining servers."""

import heapq
from collections import Counter
from collections.abc import Mapping, Sequence

from yuccadale_router._internal.contracts import (
    Candidate,
    MoveProposal,
    ServerState,
)
from yuccadale_router._internal.placement.assignment import usable_candidates


def drain_moves(
    owner_by_slot: Mapping[int, str], candidates: Sequence[Candidate]
) -> list[MoveProposal]:
    """Proposes a new owner for each slot on a draining server.

    Each slot goes to the usable server with the fewest slots for its
    capacity.
    """
    draining = {
        candidate.name
        for candidate in candidates
        if candidate.state == ServerState.draining
    }
    slots = sorted(
        slot for slot, owner in owner_by_slot.items() if owner in draining
    )
    servers = usable_candidates(candidates)
    if not slots or not servers:
        return []
    count_by_name = Counter(owner_by_slot.values())
    heap = [
        ((count_by_name[server.name] + 1) / server.capacity, index)
        for index, server in enumerate(servers)
    ]
    heapq.heapify(heap)
    proposals = []
    for slot in slots:
        fill, index = heap[0]
        server = servers[index]
        heapq.heapreplace(heap, (fill + 1 / server.capacity, index))
        proposals.append(
            MoveProposal(slot, server.name, 'the owner is draining', 1)
        )
    return proposals
