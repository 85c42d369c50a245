"""Region of demand: slots worth serving from another data centre.

The ranking is reported to operators; slots change their group only by a
declaration.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

_ROUND_TRIP_MS = 16.0


@dataclass(slots=True)
class SlotDemand:
    """Requests and bytes of one slot by the region that they come from."""

    requests_by_region: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    bytes_by_region: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )


@dataclass(frozen=True, slots=True)
class RemoteSlot:
    """A slot that most requests reach from another region.

    Attributes:
        saved_ms_per_s: round trips saved, less those added, per second.
        saved_bytes_per_s: bytes that the link between regions is spared.
        state_bytes: what the move sends over the link once.
    """

    slot: int
    home_region: str
    demand_region: str
    saved_ms_per_s: float
    saved_bytes_per_s: float
    state_bytes: float

    @property
    def payback_s(self) -> float:
        """Time after which the link has been spared what the move sent."""
        if self.saved_bytes_per_s <= 0:
            return float('inf')
        return self.state_bytes / self.saved_bytes_per_s


class RegionDemand:
    """Counts the demand of a group's slots by region over a window."""

    def __init__(self) -> None:
        self._demand_by_slot: dict[int, SlotDemand] = defaultdict(SlotDemand)

    def add(self, slot: int, region: str, body_bytes: float) -> None:
        """Adds one request that entered in the region."""
        demand = self._demand_by_slot[slot]
        demand.requests_by_region[region] += 1
        demand.bytes_by_region[region] += body_bytes

    def take(self) -> Mapping[int, SlotDemand]:
        """Returns what was counted and starts anew."""
        taken = self._demand_by_slot
        self._demand_by_slot = defaultdict(SlotDemand)
        return taken


def rank_remote_slots(
    demand_by_slot: Mapping[int, SlotDemand],
    home_region_by_slot: Mapping[int, str],
    state_bytes_by_slot: Mapping[int, float],
    *,
    window_s: float,
    link_budget_bytes: float,
) -> list[RemoteSlot]:
    """Returns slots by latency saved per byte sent, within the link's budget.

    ``link_budget_bytes`` is what moves may send over the link in total. Slots
    whose state does not fit are left out, smaller ones after them may follow.
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
    return list(_within(link_budget_bytes, sorted(worthwhile, key=_order)))


def _order(remote: RemoteSlot) -> tuple[float, int]:
    return -remote.saved_ms_per_s / (1 + remote.state_bytes), remote.slot


def _within(
    budget_bytes: float, ranked: Iterable[RemoteSlot]
) -> Iterable[RemoteSlot]:
    left = budget_bytes
    for remote in ranked:
        if remote.state_bytes <= left:
            left -= remote.state_bytes
            yield remote


def _remote_slot(
    slot: int,
    demand: SlotDemand,
    home_region: str,
    state_bytes: float,
    window_s: float,
) -> RemoteSlot:
    requests = demand.requests_by_region
    best = max(sorted(requests), key=lambda region: requests[region])
    more_requests = requests[best] - requests.get(home_region, 0)
    spared_bytes = demand.bytes_by_region.get(
        best, 0
    ) - demand.bytes_by_region.get(home_region, 0)
    return RemoteSlot(
        slot,
        home_region,
        best,
        more_requests * _ROUND_TRIP_MS / window_s,
        spared_bytes / window_s,
        state_bytes,
    )
