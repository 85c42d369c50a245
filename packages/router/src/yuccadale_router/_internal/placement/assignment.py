"""Initial owners of a group's slots: consistent hashing with bounded load."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence

from yuccadale_router._internal.contracts import Candidate, ServerState
from yuccadale_router._internal.placement.hashing import stable_hash

# More points spread the overflow of a full server over more of the others.
# The number of slots per server is set by the quotas, not by the points.
_POINTS_PER_SERVER = 32


def usable_candidates(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns live servers by name; joining ones if none is live."""
    in_order = sorted(candidates, key=_name)
    live = [server for server in in_order if server.state == ServerState.live]
    if live:
        return live
    return [
        server for server in in_order if server.state == ServerState.joining
    ]


def quotas(slot_count: int, servers: Sequence[Candidate]) -> list[int]:
    """Divides the slots in proportion to capacity, by largest remainder."""
    total_capacity = sum(server.capacity for server in servers)
    shares = [
        slot_count * server.capacity / total_capacity for server in servers
    ]
    counts = [int(share) for share in shares]
    by_remainder = sorted(
        range(len(servers)),
        key=lambda index: (counts[index] - shares[index], index),
    )
    for index in by_remainder[: slot_count - sum(counts)]:
        counts[index] += 1
    return counts


def assign_owners(
    slots: Sequence[int], candidates: Iterable[Candidate]
) -> dict[int, str]:
    """Returns the owner of each slot; empty if no server is usable."""
    servers = usable_candidates(candidates)
    if not servers:
        return {}
    ring = sorted(
        (stable_hash(f'{server.name}#{point}'), index)
        for index, server in enumerate(servers)
        for point in range(_POINTS_PER_SERVER)
    )
    free_count_by_index = quotas(len(slots), servers)
    next_free = list(range(len(ring)))
    owner_by_slot: dict[int, str] = {}
    in_hash_order = sorted((stable_hash(str(slot)), slot) for slot in slots)
    for hashed, slot_to_place in in_hash_order:
        start = bisect_left(ring, (hashed, -1)) % len(ring)
        point = _find_free_point(start, ring, free_count_by_index, next_free)
        index = ring[point][1]
        free_count_by_index[index] -= 1
        owner_by_slot[slot_to_place] = servers[index].name
    return {slot: owner_by_slot[slot] for slot in slots}


def _find_free_point(
    start: int,
    ring: list[tuple[int, int]],
    free_count_by_index: list[int],
    next_free: list[int],
) -> int:
    """Returns the first point from ``start`` of a server below its quota."""
    full_points = []
    point = start
    while True:
        next_point = next_free[point]
        if next_point == point and free_count_by_index[ring[point][1]] > 0:
            break
        full_points.append(point)
        point = next_point if next_point != point else (point + 1) % len(ring)
    # Full servers stay full, so later searches can skip these points.
    for full_point in full_points:
        next_free[full_point] = point
    return point


def _name(candidate: Candidate) -> str:
    return candidate.name
