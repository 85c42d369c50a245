"""The declared mapping from slots to groups.

Weighted rendezvous hashing (highest random weight) selects the data centre
and then the group. A change of one data centre's capacity moves the fewest
possible slots, and every instance computes the same map without coordination.
"""

import numpy as np
import xxhash
from numpy.typing import NDArray

from yuccadale_core._internal.declaration import Declaration, Service
from yuccadale_core._internal.instances import GroupId

_MIX_FIRST = np.uint64(0xBF58476D1CE4E5B9)
_MIX_SECOND = np.uint64(0x94D049BB133111EB)
_INCREMENT = np.uint64(0x9E3779B97F4A7C15)
_MANTISSA_RANGE = float(1 << 53)


def _uniform_hashes(
    seed: int, slots: NDArray[np.uint64]
) -> NDArray[np.float64]:
    """Returns one uniform number in (0, 1) for each slot (SplitMix64)."""
    with np.errstate(over='ignore'):
        bits = (slots + np.uint64(1)) * _INCREMENT + np.uint64(seed)
        bits = _xor_shift(bits, 30) * _MIX_FIRST
        bits = _xor_shift(bits, 27) * _MIX_SECOND
    high_bits = _xor_shift(bits, 31) >> np.uint64(11)
    return (high_bits.astype(np.float64) + 0.5) / _MANTISSA_RANGE


def _xor_shift(bits: NDArray[np.uint64], shift: int) -> NDArray[np.uint64]:
    return bits ^ (bits >> np.uint64(shift))


def _costs(
    name: str, weight: float, slots: NDArray[np.uint64]
) -> NDArray[np.float64]:
    seed = xxhash.xxh3_64_intdigest(name.encode())
    return -np.log(_uniform_hashes(seed, slots)) / weight


def rendezvous(
    weight_by_name: dict[str, float], slots: NDArray[np.uint64]
) -> NDArray[np.int64]:
    """Returns the index of each slot's name in the sorted names."""
    names = sorted(weight_by_name)
    best_costs = _costs(names[0], weight_by_name[names[0]], slots)
    chosen = np.zeros(len(slots), dtype=np.int64)
    for index, name in enumerate(names[1:], start=1):
        costs = _costs(name, weight_by_name[name], slots)
        better = costs < best_costs
        chosen[better] = index
        best_costs = np.where(better, costs, best_costs)
    return chosen


class GroupMap:
    """Maps the slots of one service to its groups."""

    def __init__(
        self, groups: list[GroupId], group_index_by_slot: NDArray[np.int64]
    ) -> None:
        self.groups = groups
        self._group_index_by_slot = group_index_by_slot

    def group_of_slot(self, slot: int) -> GroupId:
        """Returns the group that owns the slot."""
        return self.groups[int(self._group_index_by_slot[slot])]

    def slots_of_group(self, group: GroupId) -> tuple[int, ...]:
        """Returns the slots of a group in ascending order."""
        if group not in self.groups:
            return ()
        index = self.groups.index(group)
        return tuple(
            int(slot)
            for slot in np.flatnonzero(self._group_index_by_slot == index)
        )


def build_group_map(declaration: Declaration, service: Service) -> GroupMap:
    """Computes the map of one service onto the live data centres."""
    weight_by_name = {
        data_centre.name: data_centre.capacity_by_service[service.name]
        for data_centre in declaration.data_centre_by_name.values()
        if data_centre.state == 'live'
        and data_centre.capacity_by_service.get(service.name, 0) > 0
    }
    slots = np.arange(service.slot_count, dtype=np.uint64)
    if not weight_by_name:
        return GroupMap([], np.zeros(service.slot_count, dtype=np.int64))
    groups_per_centre = service.groups_per_data_centre
    names = sorted(weight_by_name)
    groups = [
        GroupId(service.name, name, number)
        for name in names
        for number in range(groups_per_centre)
    ]
    centre_index = rendezvous(weight_by_name, slots)
    group_index = centre_index * groups_per_centre
    if groups_per_centre > 1:
        for index, name in enumerate(names):
            in_centre = centre_index == index
            even_weights = {
                f'{name}/{number:06d}': 1.0
                for number in range(groups_per_centre)
            }
            group_index[in_centre] += rendezvous(even_weights, slots[in_centre])
    return GroupMap(groups, group_index)
