"""Committed successors: who takes over each slot when its owner is lost."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import numpy as np
from numpy.typing import NDArray

from yuccadale_router._internal.contracts import Candidate
from yuccadale_router._internal.placement.assignment import usable_candidates

# A successor changes only when another server carries at least this many
# fewer of the owner's slots; each change is a write under rule R6.
_WORTHWHILE_DIFFERENCE = 2
# Between equal choices the server that is successor of fewer slots wins.
_TOTAL_WEIGHT = 1e-6


class _Spread:
    """Counts successors by server while owners are processed in turn."""

    def __init__(self, candidates: Iterable[Candidate]) -> None:
        all_candidates = list(candidates)
        self.servers = usable_candidates(all_candidates)
        self.index_by_name = {
            server.name: index for index, server in enumerate(self.servers)
        }
        self.rack_by_name = {
            candidate.name: candidate.rack for candidate in all_candidates
        }
        mean_capacity = sum(server.capacity for server in self.servers) / max(
            1, len(self.servers)
        )
        self.capacity = np.array(
            [server.capacity / mean_capacity for server in self.servers]
        )
        self.total = np.zeros(len(self.servers))
        self._racks = np.array([server.rack for server in self.servers])

    def eligible(self, owner: str) -> NDArray[np.bool_]:
        """Returns which servers may succeed the owner."""
        mask = np.ones(len(self.servers), dtype=bool)
        own_index = self.index_by_name.get(owner)
        if own_index is not None:
            mask[own_index] = False
        rack = self.rack_by_name.get(owner)
        other_rack = mask & (self._racks != rack)
        return other_rack if other_rack.any() else mask


def spread_successors(
    owner_by_slot: Mapping[int, str],
    successor_by_slot: Mapping[int, str],
    candidates: Iterable[Candidate],
) -> dict[int, str]:
    """Returns a valid successor for each slot that can have one."""
    spread = _Spread(candidates)
    if not spread.servers:
        return {}
    slots_by_owner: dict[str, list[int]] = defaultdict(list)
    for slot in sorted(owner_by_slot):
        slots_by_owner[owner_by_slot[slot]].append(slot)
    chosen: dict[int, str] = {}
    for owner in sorted(slots_by_owner):
        chosen.update(
            _successors_of_owner(
                owner, slots_by_owner[owner], successor_by_slot, spread
            )
        )
    return chosen


def _successors_of_owner(
    owner: str,
    slots: list[int],
    successor_by_slot: Mapping[int, str],
    spread: _Spread,
) -> dict[int, str]:
    eligible = spread.eligible(owner)
    if not eligible.any():
        return {}
    counts = np.zeros(len(spread.servers))
    index_by_slot: dict[int, int] = {}
    for known_slot in slots:
        successor = successor_by_slot.get(known_slot, '')
        index = spread.index_by_name.get(successor, -1)
        if index >= 0 and eligible[index]:
            index_by_slot[known_slot] = index
            counts[index] += 1
    for open_slot in slots:
        if open_slot not in index_by_slot:
            index = _least(counts, eligible, spread)
            index_by_slot[open_slot] = index
            counts[index] += 1
    _even_out(index_by_slot, counts, eligible, spread)
    spread.total += counts
    return {
        slot: spread.servers[index].name
        for slot, index in index_by_slot.items()
    }


def _even_out(
    index_by_slot: dict[int, int],
    counts: NDArray[np.float64],
    eligible: NDArray[np.bool_],
    spread: _Spread,
) -> None:
    for _ in tuple(index_by_slot):
        relative = counts / spread.capacity
        most = int(np.argmax(np.where(eligible, relative, -1)))
        least = _least(counts, eligible, spread)
        if relative[most] - relative[least] < _WORTHWHILE_DIFFERENCE:
            return
        slot = max(
            slot for slot, index in index_by_slot.items() if index == most
        )
        index_by_slot[slot] = least
        counts[most] -= 1
        counts[least] += 1


def _least(
    counts: NDArray[np.float64],
    eligible: NDArray[np.bool_],
    spread: _Spread,
) -> int:
    cost = (counts + 1 + _TOTAL_WEIGHT * spread.total) / spread.capacity
    return int(np.argmin(np.where(eligible, cost, np.inf)))
