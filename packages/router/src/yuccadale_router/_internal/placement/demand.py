"""Ranks slots whose requests come mostly from another region.

The ranking is a report for operators: slots change their group only by a
declaration.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

_ROUND_TRIP_MS = 16.0


@dataclass(slots=True)
class SlotDemand:
    """Requests and bytes of one slot by the region they entered in."""

    requests_by_region: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    bytes_by_region: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )


@dataclass(frozen=True, slots=True)
class RemoteSlot:
    """A slot that gets more requests from another region than from its own.

    Attributes:
        saved_ms_per_s: round-trip time that a move to ``demand_region`` would
            save per second, net of the time it would add.
        saved_bytes_per_s: bytes per second that the move would keep off the
            link between the regions, net of those it would add.
        state_bytes: bytes that the move itself sends over the link.
    """

    slot: int
    home_region: str
    demand_region: str
    saved_ms_per_s: float
    saved_bytes_per_s: float
    state_bytes: float

    @property
    def payback_s(self) -> float:
        """Time after which the bytes saved equal those the move sent."""
        if self.saved_bytes_per_s <= 0:
            return float('inf')
        return self.state_bytes / self.saved_bytes_per_s


class RegionDemand:
    """Counts requests and bytes of a group's slots by region."""

    def __init__(self) -> None:
        self._demand_by_slot: dict[int, SlotDemand] = defaultdict(SlotDemand)

    def add(self, slot: int, region: str, body_bytes: float) -> None:
        """Counts one request that entered in the region."""
        demand = self._demand_by_slot[slot]
        demand.requests_by_region[region] += 1
        demand.bytes_by_region[region] += body_bytes

    def collect_and_reset(self) -> Mapping[int, SlotDemand]:
        """Returns the counts since the last call and resets them."""
        collected = self._demand_by_slot
        self._demand_by_slot = defaultdict(SlotDemand)
        return collected


def rank_remote_slots(
    demand_by_slot: Mapping[int, SlotDemand],
    home_region_by_slot: Mapping[int, str],
    state_bytes_by_slot: Mapping[int, float],
    *,
    window_s: float,
    link_budget_bytes: float,
) -> list[RemoteSlot]:
    """Returns slots by latency saved per byte of state, best first.

    ``link_budget_bytes`` limits the bytes that all moves together send over
    the link. A slot whose state exceeds the rest of the budget is left out;
    slots with less state may still follow it.
    """
    worthwhile = [
        remote
        for slot, demand in demand_by_slot.items()
        if slot in home_region_by_slot
        and (
            remote := _remote_slot(
                slot,
                demand,
                home_region_by_slot[slot],
                state_bytes_by_slot.get(slot, 0),
                window_s,
            )
        ).saved_ms_per_s
        > 0
    ]
    return list(
        _within_budget(link_budget_bytes, sorted(worthwhile, key=_ranking_key))
    )


def _ranking_key(remote: RemoteSlot) -> tuple[float, int]:
    return -remote.saved_ms_per_s / (1 + remote.state_bytes), remote.slot


def _within_budget(
    budget_bytes: float, ranked: Iterable[RemoteSlot]
) -> Iterable[RemoteSlot]:
    remaining_bytes = budget_bytes
    for remote in ranked:
        if remote.state_bytes <= remaining_bytes:
            remaining_bytes -= remote.state_bytes
            yield remote


def _remote_slot(
    slot: int,
    demand: SlotDemand,
    home_region: str,
    state_bytes: float,
    window_s: float,
) -> RemoteSlot:
    requests = demand.requests_by_region
    demand_region = max(sorted(requests), key=lambda region: requests[region])
    more_requests = requests[demand_region] - requests.get(home_region, 0)
    saved_bytes = demand.bytes_by_region.get(
        demand_region, 0
    ) - demand.bytes_by_region.get(home_region, 0)
    return RemoteSlot(
        slot,
        home_region,
        demand_region,
        more_requests * _ROUND_TRIP_MS / window_s,
        saved_bytes / window_s,
        state_bytes,
    )
