"""Chooses moves whose gain exceeds their cost, best ratio first."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from yuccadale_router._internal.placement.view import (
    CostModel,
    Floats,
    GroupView,
    Indices,
)

# Only the least loaded servers are compared as destinations.
_DESTINATION_LIMIT = 8
# Added to the cost of every move when moves are ranked: each move is work for
# ownership, so many moves of nearly idle slots are not preferred.
_OVERHEAD_COST = 0.0005
# Lower bound of the coefficient of variation that added load is divided by;
# it keeps the result finite when all loads are equal.
_MIN_VARIATION = 0.05


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A move, as indices into the view's slots and servers."""

    slot_index: int
    server_index: int
    gain: float
    cost: float


@dataclass(slots=True)
class Rebalancing:
    """One run of the greedy search for load moves.

    Attributes:
        movable: whether the slot may move, by slot.
        sources: whether slots may leave the server, by server.
        banned: pairs of slot number and server name that are not chosen.
        max_load_after: highest relative load that a destination may have
            after a move, multiplied by the server's ramp. The ramp limits
            destinations only: a new server that got more slots when another
            was drained is not a source for that reason.
    """

    view: GroupView
    cost_model: CostModel
    movable: NDArray[np.bool_]
    sources: NDArray[np.bool_]
    banned: AbstractSet[tuple[int, str]]
    max_load_after: float

    def choose(self, limit: int) -> list[PlannedMove]:
        """Returns at most ``limit`` moves; changes the view's owners."""
        relative = self.view.relative_loads()
        moves: list[PlannedMove] = []
        while len(moves) < limit and self.sources.any():
            source = int(np.argmax(np.where(self.sources, relative, -np.inf)))
            move = self._best_from(source, relative)
            if move is None:
                self.sources[source] = False
                continue
            moves.append(move)
            self._apply(move, source, relative)
        return moves

    def _apply(self, move: PlannedMove, source: int, relative: Floats) -> None:
        added = self._added_relative_loads(np.array([move.slot_index]))[0]
        relative[source] -= added[source]
        relative[move.server_index] += added[move.server_index]
        self.view.owner[move.slot_index] = move.server_index
        self.movable[move.slot_index] = False
        if relative[source] <= 1:
            self.sources[source] = False

    def _added_relative_loads(self, moving: Indices) -> Floats:
        """Returns the relative load that each slot adds to each server."""
        return np.multiply.outer(
            self.view.load[moving], self.view.relative_load_per_unit()
        )

    def _best_from(self, source: int, relative: Floats) -> PlannedMove | None:
        moving = np.flatnonzero(
            (self.view.owner == source) & self.movable & (self.view.load > 0)
        )
        servers = self._destinations(source, relative)
        if not moving.size or not servers.size:
            return None
        gain = self._gains(moving, servers, source, relative)
        cost = self.cost_model.cost(self.view, moving, servers)
        policy = self.cost_model.policy
        urgent = relative[source] > policy.max_relative_load
        margin = 1 if urgent else policy.gain_margin
        score = np.where(
            gain > margin * cost, (gain - cost) / (cost + _OVERHEAD_COST), 0
        )
        return self._best_allowed(score, moving, servers, gain, cost)

    def _destinations(self, source: int, relative: Floats) -> Indices:
        order = np.argsort(relative, kind='stable')[: _DESTINATION_LIMIT + 1]
        return order[order != source][:_DESTINATION_LIMIT]

    def _gains(
        self,
        moving: Indices,
        servers: Indices,
        source: int,
        relative: Floats,
    ) -> Floats:
        added = self._added_relative_loads(moving)
        source_after = relative[source] - added.take([source], axis=1)
        server_after = relative[servers] + added.take(servers, axis=1)
        after = np.square(source_after) + np.square(server_after)
        before = np.square(relative[source]) + np.square(relative[servers])
        squares = float(np.square(relative - 1).sum())
        variation_after = np.sqrt(
            np.maximum(squares + after - before, 0) / len(relative)
        )
        gain = self.cost_model.gain(
            np.sqrt(squares / len(relative)), variation_after
        )
        max_load_after = self.max_load_after * self.view.ramp[servers]
        return np.where(server_after <= max_load_after, gain, 0)

    def _best_allowed(
        self,
        score: Floats,
        moving: Indices,
        servers: Indices,
        gain: Floats,
        cost: Floats,
    ) -> PlannedMove | None:
        while score.max() > 0:
            row, column = np.unravel_index(int(score.argmax()), score.shape)
            slot_index = int(moving[row])
            server_index = int(servers[column])
            pair = (
                int(self.view.slots[slot_index]),
                self.view.servers[server_index].name,
            )
            if pair not in self.banned:
                return PlannedMove(
                    slot_index,
                    server_index,
                    float(gain[row, column]),
                    float(cost[row, column]),
                )
            score[row, column] = 0
        return None


def plan_evacuation(
    view: GroupView, cost_model: CostModel, moving: Indices
) -> list[PlannedMove]:
    """Chooses a new owner for each slot in ``moving``, heaviest first."""
    relative = view.relative_loads()
    variation = max(float(np.std(relative)), _MIN_VARIATION)
    per_server = view.relative_load_per_unit()
    servers = np.arange(len(view.servers))
    moves = []
    heaviest_first = moving[np.argsort(-view.load[moving], kind='stable')]
    for slot_index in heaviest_first:
        after = relative + view.load[slot_index] * per_server
        growth = np.square(after) - np.square(relative)
        added = growth / (2 * variation * len(relative))
        cost = cost_model.cost(view, np.array([slot_index]), servers)[0]
        server_index = int(np.argmin(cost - cost_model.gain(0, added)))
        relative[server_index] = after[server_index]
        moves.append(
            PlannedMove(
                int(slot_index),
                server_index,
                0,
                float(cost[server_index]),
            )
        )
    return moves
