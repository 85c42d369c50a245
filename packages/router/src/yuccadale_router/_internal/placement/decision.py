"""Chooses moves whose gain exceeds their price, most worthwhile first."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from yuccadale_router._internal.placement.view import (
    Floats,
    GroupView,
    Indices,
    Prices,
)

# Only the least loaded servers are compared as destinations.
_DESTINATIONS = 8
# Work of ownership for any move, so that slots with hardly any load or keys
# are not moved in large numbers.
_OVERHEAD = 0.0005
# Below this variation, differences in load cost about the same; it keeps the
# cost of a full server finite when all are even.
_LEAST_VARIATION = 0.05


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A move in indices of the view."""

    slot_index: int
    server_index: int
    gain: float
    price: float


@dataclass(slots=True)
class Rebalancing:
    """One run of the greedy choice.

    Attributes:
        movable: which slots may move, by slot.
        sources: servers that have too much, by server.
        banned: pairs of slot number and server name that are not chosen.
        most_after: highest relative load of a destination after a move; a
            new server's is lower by its ramp. Slots that a new server got
            when another was drained do not count as too many.
    """

    view: GroupView
    prices: Prices
    movable: NDArray[np.bool_]
    sources: NDArray[np.bool_]
    banned: AbstractSet[tuple[int, str]]
    most_after: float

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
        step = self._steps(np.array([move.slot_index]))[0]
        relative[source] -= step[source]
        relative[move.server_index] += step[move.server_index]
        self.view.owner[move.slot_index] = move.server_index
        self.movable[move.slot_index] = False
        if relative[source] <= 1:
            self.sources[source] = False

    def _steps(self, moving: Indices) -> Floats:
        """Returns relative load that each slot adds to each server."""
        return np.multiply.outer(
            self.view.load[moving], self.view.relative_step()
        )

    def _best_from(self, source: int, relative: Floats) -> PlannedMove | None:
        moving = np.flatnonzero(
            (self.view.owner == source) & self.movable & (self.view.load > 0)
        )
        servers = self._destinations(source, relative)
        if not moving.size or not servers.size:
            return None
        gain = self._gains(moving, servers, source, relative)
        price = self.prices.price(self.view, moving, servers)
        policy = self.prices.policy
        urgent = relative[source] > policy.bound
        margin = 1 if urgent else policy.gain_margin
        worth = np.where(
            gain > margin * price, (gain - price) / (price + _OVERHEAD), 0
        )
        return self._first_allowed(worth, moving, servers, gain, price)

    def _destinations(self, source: int, relative: Floats) -> Indices:
        order = np.argsort(relative, kind='stable')[: _DESTINATIONS + 1]
        return order[order != source][:_DESTINATIONS]

    def _gains(
        self,
        moving: Indices,
        servers: Indices,
        source: int,
        relative: Floats,
    ) -> Floats:
        steps = self._steps(moving)
        source_after = relative[source] - steps.take([source], axis=1)
        server_after = relative[servers] + steps.take(servers, axis=1)
        after = np.square(source_after) + np.square(server_after)
        before = np.square(relative[source]) + np.square(relative[servers])
        squares = float(np.square(relative - 1).sum())
        variation_after = np.sqrt(
            np.maximum(squares + after - before, 0) / len(relative)
        )
        gain = self.prices.gain(
            np.sqrt(squares / len(relative)), variation_after
        )
        most_after = self.most_after * self.view.ramp[servers]
        return np.where(server_after <= most_after, gain, 0)

    def _first_allowed(
        self,
        worth: Floats,
        moving: Indices,
        servers: Indices,
        gain: Floats,
        price: Floats,
    ) -> PlannedMove | None:
        while worth.max() > 0:
            row, column = np.unravel_index(int(worth.argmax()), worth.shape)
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
                    float(price[row, column]),
                )
            worth[row, column] = 0
        return None


def place_homeless(
    view: GroupView, prices: Prices, moving: Indices
) -> list[PlannedMove]:
    """Finds a new owner for each slot that must leave, heaviest first."""
    relative = view.relative_loads()
    variation = max(float(np.std(relative)), _LEAST_VARIATION)
    per_server = view.relative_step()
    servers = np.arange(len(view.servers))
    moves = []
    heaviest_first = moving[np.argsort(-view.load[moving], kind='stable')]
    for slot_index in heaviest_first:
        after = relative + view.load[slot_index] * per_server
        growth = np.square(after) - np.square(relative)
        added = growth / (2 * variation * len(relative))
        price = prices.price(view, np.array([slot_index]), servers)[0]
        server_index = int(np.argmin(price - prices.gain(0, added)))
        relative[server_index] = after[server_index]
        moves.append(
            PlannedMove(
                int(slot_index),
                server_index,
                0,
                float(price[server_index]),
            )
        )
    return moves
