"""Chooses the server that takes over each slot if its owner is lost."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import numpy as np
from numpy.typing import NDArray

from yuccadale_router._internal.contracts import Candidate
from yuccadale_router._internal.placement.assignment import usable_candidates

# A valid successor is replaced only to even out an owner's slots, when the
# counts of two servers differ by at least this much: each change is a
# conditional write that waits until no holder of an older token can rely on
# the old successor.
_MIN_DIFFERENCE = 2
# Breaks ties in favour of the server that is successor of fewer slots.
_TIE_BREAK_WEIGHT = 1e-6


class _SuccessorPool:
    """Servers that can be successors, and the slots counted for each."""

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
        """Returns which servers may succeed the owner.

        Servers of the owner's rack are eligible only if all are in it.
        """
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
    """Returns a valid successor for each slot that can have one.

    Valid entries of ``successor_by_slot`` are kept unless the successors of an
    owner are spread unevenly.
    """
    pool = _SuccessorPool(candidates)
    if not pool.servers:
        return {}
    slots_by_owner: dict[str, list[int]] = defaultdict(list)
    for slot in sorted(owner_by_slot):
        slots_by_owner[owner_by_slot[slot]].append(slot)
    chosen: dict[int, str] = {}
    for owner in sorted(slots_by_owner):
        chosen.update(
            _successors_of_owner(
                owner, slots_by_owner[owner], successor_by_slot, pool
            )
        )
    return chosen


def _successors_of_owner(
    owner: str,
    slots: list[int],
    successor_by_slot: Mapping[int, str],
    pool: _SuccessorPool,
) -> dict[int, str]:
    eligible = pool.eligible(owner)
    if not eligible.any():
        return {}
    counts = np.zeros(len(pool.servers))
    index_by_slot: dict[int, int] = {}
    for slot_with_successor in slots:
        successor = successor_by_slot.get(slot_with_successor, '')
        index = pool.index_by_name.get(successor, -1)
        if index >= 0 and eligible[index]:
            index_by_slot[slot_with_successor] = index
            counts[index] += 1
    for unassigned_slot in slots:
        if unassigned_slot not in index_by_slot:
            index = _least_loaded(counts, eligible, pool)
            index_by_slot[unassigned_slot] = index
            counts[index] += 1
    _balance_counts(index_by_slot, counts, eligible, pool)
    pool.total += counts
    return {
        slot: pool.servers[index].name for slot, index in index_by_slot.items()
    }


def _balance_counts(
    index_by_slot: dict[int, int],
    counts: NDArray[np.float64],
    eligible: NDArray[np.bool_],
    pool: _SuccessorPool,
) -> None:
    for _ in tuple(index_by_slot):
        relative = counts / pool.capacity
        most = int(np.argmax(np.where(eligible, relative, -1)))
        least = _least_loaded(counts, eligible, pool)
        if relative[most] - relative[least] < _MIN_DIFFERENCE:
            return
        slot = max(
            slot for slot, index in index_by_slot.items() if index == most
        )
        index_by_slot[slot] = least
        counts[most] -= 1
        counts[least] += 1


def _least_loaded(
    counts: NDArray[np.float64],
    eligible: NDArray[np.bool_],
    pool: _SuccessorPool,
) -> int:
    cost = (counts + 1 + _TIE_BREAK_WEIGHT * pool.total) / pool.capacity
    return int(np.argmin(np.where(eligible, cost, np.inf)))
