"""Placement of one group: owners, successors and proposed moves."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

import numpy as np
from numpy.typing import NDArray

from yuccadale_core.declaration import Weights
from yuccadale_core.targets import LoadReport
from yuccadale_router._internal.clock import Clock, monotonic_ms
from yuccadale_router._internal.contracts import (
    Assignment,
    Candidate,
    LoadSample,
    MoveProposal,
    ServerState,
)
from yuccadale_router._internal.placement.assignment import (
    assign_owners,
    usable_candidates,
)
from yuccadale_router._internal.placement.decision import (
    PlannedMove,
    Rebalancing,
    place_homeless,
)
from yuccadale_router._internal.placement.history import MoveHistory, MoveKind
from yuccadale_router._internal.placement.load import LoadEstimator
from yuccadale_router._internal.placement.pins import HotKeys
from yuccadale_router._internal.placement.policy import PlacementPolicy
from yuccadale_router._internal.placement.servers import ServerAges
from yuccadale_router._internal.placement.sketch import HotKey
from yuccadale_router._internal.placement.successors import spread_successors
from yuccadale_router._internal.placement.view import (
    Floats,
    GroupView,
    Prices,
    owner_indices,
)

_DEFAULT_WEIGHTS = Weights()
_DEFAULT_POLICY = PlacementPolicy()
# Share of a slot's keys that a pin stands for; one key among thousands.
_PIN_KEY_SHARE = 0.001
_DRAIN_GAIN = 1.0


class GroupPlacement:
    """Decides which server of a group owns each slot.

    Slots from ``slot_count`` upwards are pins: one key each. The same
    observations and calls at the same times give the same decisions.
    """

    def __init__(
        self,
        weights: Weights = _DEFAULT_WEIGHTS,
        *,
        slot_count: int | None = None,
        clock: Clock = monotonic_ms,
        policy: PlacementPolicy = _DEFAULT_POLICY,
    ) -> None:
        self._weights = weights
        self._slot_count = slot_count
        self._clock = clock
        self._policy = policy
        self._estimator = LoadEstimator(clock, policy)
        self._history = MoveHistory(policy)
        self._hot_keys = HotKeys()
        self._ages = ServerAges(policy)
        self._overloaded: set[str] = set()
        self._state_by_name: dict[str, ServerState] = {}

    def declare(self, weights: Weights) -> None:
        """Takes the weights of a newer declaration."""
        self._weights = weights

    def observe(self, sample: LoadSample) -> None:
        """Adds what a sender observed about one request."""
        self._estimator.observe(sample)
        self._hot_keys.add(sample.key, sample.service_ms, self._clock())
        former_slot = self._hot_keys.note_slot(sample.key, sample.slot)
        if former_slot is not None:
            rate = self._hot_keys.rate(sample.key)
            self._estimator.transfer(former_slot, sample.slot, rate)
            self._history.release(former_slot)

    def observe_busy(
        self, slots: Iterable[int], busy_ms: NDArray[np.float64]
    ) -> None:
        """Adds busy time of many slots at once, without keys."""
        self._estimator.observe_busy(slots, busy_ms)

    def observe_key(self, key: str, busy_ms: float) -> None:
        """Adds busy time of a key to the sketch only."""
        self._hot_keys.add(key, busy_ms, self._clock())

    def report(self, server_name: str, report: LoadReport) -> None:
        """Takes a server's own load report."""
        self._estimator.report(server_name, report)

    def assign(
        self, slots: Sequence[int], candidates: Sequence[Candidate]
    ) -> Assignment:
        """Places all slots of a new group; empty when no server is usable."""
        owner_by_slot = assign_owners(slots, candidates)
        return Assignment(
            owner_by_slot, spread_successors(owner_by_slot, {}, candidates)
        )

    def successors(
        self,
        owner_by_slot: Mapping[int, str],
        successor_by_slot: Mapping[int, str],
        candidates: Sequence[Candidate],
    ) -> Mapping[int, str]:
        """Returns a valid successor for each slot that can have one."""
        return spread_successors(owner_by_slot, successor_by_slot, candidates)

    def propose(
        self, assignment: Assignment, candidates: Sequence[Candidate]
    ) -> Sequence[MoveProposal]:
        """Returns the moves worth their price now, best first.

        A proposal is repeated until the move is recorded, so at most
        ``moves_at_once`` load moves are under way; slots on draining servers
        are all proposed.
        """
        now = self._clock()
        self._ages.update(candidates, now)
        self._state_by_name = {
            candidate.name: candidate.state for candidate in candidates
        }
        servers = usable_candidates(candidates)
        if not servers or not assignment.owner_by_slot:
            return ()
        view = self._view(assignment.owner_by_slot, servers, now)
        prices = Prices(
            self._weights,
            self._policy,
            self._estimator.mean_service_ms(),
            self._policy.horizon_s,
        )
        drains = self._drain(view, prices, assignment.owner_by_slot)
        if not self._estimator.is_current():
            return drains
        moves = self._rebalance(view, prices, now)
        return [*drains, *_as_proposals(moves, view, 'the owner has more load')]

    def record_move(self, slot: int, old_owner: str, new_owner: str) -> None:
        """Records a move that took place, planned or forced."""
        state = self._state_by_name.get(old_owner, ServerState.lost)
        kind = MoveKind.chosen
        if state == ServerState.lost:
            kind = MoveKind.forced
        elif state == ServerState.draining:
            kind = MoveKind.drained
        self._history.add(slot, old_owner, self._clock(), kind)

    def keys_to_pin(self) -> Sequence[str]:
        """Returns keys that deserve a slot of their own now."""
        servers = sum(
            state == ServerState.live for state in self._state_by_name.values()
        )
        before = self._hot_keys.pinned()
        now = self._clock()
        pins = self._hot_keys.pins(servers, now)
        for key in set(pins) - before:
            slot = self._hot_keys.slot(key)
            if slot is not None:
                # Until the key is seen under its pin, the slot's figures
                # still contain it.
                self._history.rest(slot, now)
        return pins

    def heaviest_keys(self, count: int) -> list[HotKey]:
        """Returns the heaviest keys, as sent to other instances."""
        return self._hot_keys.heaviest(count)

    def _view(
        self,
        owner_by_slot: Mapping[int, str],
        servers: Sequence[Candidate],
        now: float,
    ) -> GroupView:
        slots = np.fromiter(owner_by_slot, np.int64, len(owner_by_slot))
        load = self._estimator.loads(tuple(owner_by_slot))
        if not load.any():
            load = np.ones(len(slots))
        names = [server.name for server in servers]
        capacity = np.array([server.capacity for server in servers])
        ramp = np.array([self._ages.usable_share(name, now) for name in names])
        cold = np.array([self._ages.is_cold(name, now) for name in names])
        view = GroupView(
            slots,
            owner_indices(owner_by_slot, servers),
            load,
            self._key_shares(slots),
            servers,
            capacity,
            ramp,
            np.ones(len(servers)),
            cold,
        )
        view.factor = self._estimator.factors(names, view.server_loads())
        return view

    def _key_shares(self, slots: NDArray[np.int64]) -> Floats:
        if self._slot_count is None:
            return np.full(len(slots), 1 / len(slots))
        pinned = slots >= self._slot_count
        share = 1 / max(1, len(slots) - int(pinned.sum()))
        return np.where(pinned, share * _PIN_KEY_SHARE, share)

    def _drain(
        self,
        view: GroupView,
        prices: Prices,
        owner_by_slot: Mapping[int, str],
    ) -> list[MoveProposal]:
        draining = {
            name
            for name, state in self._state_by_name.items()
            if state == ServerState.draining
        }
        if not draining:
            return []
        leaving = [owner in draining for owner in owner_by_slot.values()]
        moves = place_homeless(view, prices, np.flatnonzero(leaving))
        for move in moves:
            view.owner[move.slot_index] = move.server_index
        return _as_proposals(moves, view, 'the owner is draining')

    def _rebalance(
        self, view: GroupView, prices: Prices, now: float
    ) -> list[PlannedMove]:
        relative = view.relative_loads()
        severe = bool(relative.max() > 1 + self._policy.severe_excess)
        limit = self._history.moves_left(now, len(view.slots), severe=severe)
        sources = self._sources(view, relative)
        if not limit or not sources.any():
            return []
        if relative.min() < self._policy.idle_share:
            horizon_s = self._ages.horizon_s(now)
            prices = replace(prices, horizon_s=horizon_s)
        resting = np.array(list(self._history.resting_slots(now)), np.int64)
        rebalancing = Rebalancing(
            view,
            prices,
            ~np.isin(view.slots, resting),
            sources,
            self._history.returns(now),
            1 + self._policy.stop_excess,
        )
        return rebalancing.choose(limit)

    def _sources(self, view: GroupView, relative: Floats) -> NDArray[np.bool_]:
        """Returns the servers to take slots from, with hysteresis."""
        names = [server.name for server in view.servers]
        start = 1 + self._policy.start_excess
        stop = 1 + self._policy.stop_excess
        self._overloaded = {
            name
            for name, load in zip(names, relative, strict=True)
            if load > (stop if name in self._overloaded else start)
        }
        if self._has_idle(view, relative):
            return relative > 1
        return np.array([name in self._overloaded for name in names])

    def _has_idle(self, view: GroupView, relative: Floats) -> bool:
        """Returns whether a warm server has much less load than it may take.

        A replacement gets the slots of the server that it replaces within
        this time; slots drawn earlier would be moved without need.
        """
        idle = relative < self._policy.idle_share * view.ramp
        return bool((idle & ~view.cold).any())


def _as_proposals(
    moves: Iterable[PlannedMove], view: GroupView, reason: str
) -> list[MoveProposal]:
    return [
        MoveProposal(
            int(view.slots[move.slot_index]),
            view.servers[move.server_index].name,
            reason,
            move.gain or _DRAIN_GAIN,
        )
        for move in moves
    ]
