"""Initial owners of a group's slots: consistent hashing with bounded load."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence

from yuccadale_router._internal.contracts import Candidate, ServerState
from yuccadale_router._internal.placement.hashing import stable_hash

# More points spread a full server's overflow over more neighbours; the
# quotas, not the points, keep the number of slots per server even.
_POINTS_PER_SERVER = 32


def usable_candidates(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns live servers by name, or joining ones when none is live."""
    in_order = sorted(candidates, key=_name)
    live = [server for server in in_order if server.state == ServerState.live]
    if live:
        return live
    return [
        server for server in in_order if server.state == ServerState.joining
    ]


def quotas(slot_count: int, servers: Sequence[Candidate]) -> list[int]:
    """Divides slots by capacity; the largest remainders get one more."""
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
    """Returns the owner of each slot; empty when no server is usable."""
    servers = usable_candidates(candidates)
    if not servers:
        return {}
    ring = sorted(
        (stable_hash(f'{server.name}#{point}'), index)
        for index, server in enumerate(servers)
        for point in range(_POINTS_PER_SERVER)
    )
    room = quotas(len(slots), servers)
    next_free = list(range(len(ring)))
    owner_by_slot: dict[int, str] = {}
    in_hash_order = sorted((stable_hash(str(slot)), slot) for slot in slots)
    for hashed, slot_to_place in in_hash_order:
        start = bisect_left(ring, (hashed, -1)) % len(ring)
        point = _find_room(start, ring, room, next_free)
        index = ring[point][1]
        room[index] -= 1
        owner_by_slot[slot_to_place] = servers[index].name
    return {slot: owner_by_slot[slot] for slot in slots}


def _find_room(
    start: int,
    ring: list[tuple[int, int]],
    room: list[int],
    next_free: list[int],
) -> int:
    """Returns the first ring point from ``start`` whose server has room."""
    passed = []
    point = start
    while True:
        known = next_free[point]
        if known == point and room[ring[point][1]] > 0:
            break
        passed.append(point)
        point = known if known != point else (point + 1) % len(ring)
    # Full servers stay full, so later searches may skip what this one passed.
    for skipped in passed:
        next_free[skipped] = point
    return point


def _name(candidate: Candidate) -> str:
    return candidate.name
