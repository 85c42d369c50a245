"""Input of one decision: arrays over the slots and servers of a group."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from yuccadale_core.declaration import Weights
from yuccadale_router._internal.contracts import Candidate
from yuccadale_router._internal.placement.policy import (
    IMBALANCE_PERIOD_S,
    UNAVAILABLE_UNIT_S,
    PlacementPolicy,
)

Floats = NDArray[np.float64]
Indices = NDArray[np.int64]

_MS_PER_S = 1000.0


@dataclass(slots=True)
class GroupView:
    """Loads and owners of a group's slots.

    Attributes:
        slots: numbers of the slots; arrays by slot are in this order.
        owner: index into ``servers``, by slot; -1 if the owner isn't there.
        load: busy milliseconds per second, by slot.
        key_share: share of all keys, by slot.
        servers: usable servers; arrays by server are in this order.
        capacity: weight relative to the other servers, by server.
        ramp: share of the capacity that load moves may fill, by server.
        factor: factor that corrects the observed load, by server.
        cold: whether the server has just started, by server.
    """

    slots: Indices
    owner: Indices
    load: Floats
    key_share: Floats
    servers: Sequence[Candidate]
    capacity: Floats
    ramp: Floats
    factor: Floats
    cold: NDArray[np.bool_]

    def relative_loads(self) -> Floats:
        """Returns each server's load over its capacity, with a mean of 1."""
        return self.server_loads() * self.relative_load_per_unit()

    def relative_load_per_unit(self) -> Floats:
        """Returns the relative load that one unit of load adds, by server."""
        return self.factor / (self.capacity * self.mean_load())

    def server_loads(self) -> Floats:
        """Returns the observed load of each server, not corrected."""
        owned = self.owner >= 0
        counted = np.bincount(
            self.owner[owned],
            weights=self.load[owned],
            minlength=len(self.servers),
        )
        return counted.astype(np.float64)

    def mean_load(self) -> float:
        """Returns the load per unit of ramped capacity; never 0.

        The ramp lowers the mean gradually after a server joins, so that the
        others don't count as overloaded at once.
        """
        ramped = float((self.capacity * self.ramp).sum())
        return max(float(self.load.sum()) / ramped, 1e-9)


@dataclass(frozen=True, slots=True)
class CostModel:
    """Expresses gains and costs of moves as terms of the weighted sum."""

    weights: Weights
    policy: PlacementPolicy
    mean_service_ms: float
    horizon_s: float

    def gain(self, variation_before: float, variation_after: Floats) -> Floats:
        """Returns the gain of a lower coefficient of variation of load."""
        lasting = self.horizon_s / IMBALANCE_PERIOD_S
        scale = self.weights.imbalance * lasting
        return scale * (variation_before - variation_after)

    def pause_s(self, load: Floats, cold: NDArray[np.bool_]) -> Floats:
        """Returns the seconds for which a moving slot is not served.

        A move waits for the slot's requests in progress: the longest of n
        exponential service times is about log(1 + n) times their mean.
        """
        in_progress = load / _MS_PER_S
        wait_ms = self.mean_service_ms * np.log1p(in_progress)
        start_ms = np.where(cold, self.policy.cold_start_ms, 0)
        return (self.policy.handover_ms + wait_ms + start_ms) / _MS_PER_S

    def cost(
        self,
        view: GroupView,
        moving: Indices,
        servers: Indices,
    ) -> Floats:
        """Returns costs with a row per slot and a column per server."""
        load = np.expand_dims(view.load[moving], 1)
        churn = np.expand_dims(view.key_share[moving], 1)
        pause = self.pause_s(load, view.cold[servers])
        unavailable = pause * load / max(float(view.load.sum()), 1e-9)
        scale = self.weights.unavailable_time / UNAVAILABLE_UNIT_S
        return scale * unavailable + self.weights.churn * churn


def owner_indices(
    owner_by_slot: Mapping[int, str], servers: Sequence[Candidate]
) -> Indices:
    """Returns the index of each slot's owner, -1 for any other server."""
    index_by_name = {server.name: index for index, server in enumerate(servers)}
    get_index = index_by_name.get
    return np.array(
        [get_index(owner, -1) for owner in owner_by_slot.values()],
        dtype=np.int64,
    )
