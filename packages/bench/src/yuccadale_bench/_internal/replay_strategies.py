"""Strategies of the replay: the placement code and three baselines."""

from bisect import bisect_left
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Protocol

import numpy as np
import xxhash
from numpy.typing import NDArray

from yuccadale_bench._internal.replay_sequences import (
    BUSY_MS_PER_S,
    KEYS,
    SERVICE_MS,
    SLOTS,
    DemandSequence,
)
from yuccadale_core.declaration import Weights
from yuccadale_core.keys import slot_of_key
from yuccadale_core.targets import LoadReport
from yuccadale_router.placement import (
    Assignment,
    Candidate,
    GroupPlacement,
    LoadSample,
    PlacementPolicy,
    ServerState,
    assign_owners,
    spread_successors,
)

KEY_NAMES = tuple(f'key{number}' for number in range(KEYS))
SLOT_BY_KEY = np.array([slot_of_key(name, SLOTS) for name in KEY_NAMES])

_RING_POINTS = 100
_MISREPORT_FACTOR = 3.0
_MILLISECONDS = 1000.0


class Strategy(Protocol):
    """Decides the owners of slots once a second."""

    def step(
        self,
        second: int,
        candidates: Sequence[Candidate],
        demand: NDArray[np.float64],
    ) -> Mapping[int, str]:
        """Returns the owner by slot or pin; pins follow the last slot."""

    def slot_by_key(self) -> NDArray[np.int64]:
        """Returns the slot or pin of each key."""


class Modulo:
    """Owner is the slot modulo the number of live servers."""

    def step(
        self,
        second: int,
        candidates: Sequence[Candidate],
        demand: NDArray[np.float64],
    ) -> Mapping[int, str]:
        """Returns the owners; live servers are ordered by name."""
        names = _live_names(candidates)
        return {slot: names[slot % len(names)] for slot in range(SLOTS)}

    def slot_by_key(self) -> NDArray[np.int64]:
        """Returns the slot of each key."""
        return SLOT_BY_KEY


class ConsistentHashing:
    """A ring with several points per server, without load bounds."""

    def step(
        self,
        second: int,
        candidates: Sequence[Candidate],
        demand: NDArray[np.float64],
    ) -> Mapping[int, str]:
        """Returns the server at the next point of the ring, by slot."""
        ring = sorted(
            (_hash(f'{name}/{point}'), name)
            for name in _live_names(candidates)
            for point in range(_RING_POINTS)
        )
        owners = {}
        for slot in range(SLOTS):
            point = bisect_left(ring, (_hash(str(slot)), ''))
            owners[slot] = ring[point % len(ring)][1]
        return owners

    def slot_by_key(self) -> NDArray[np.int64]:
        """Returns the slot of each key."""
        return SLOT_BY_KEY


class FirstVersion:
    """The first version: even slots, spread successors, no load samples."""

    def __init__(self) -> None:
        self._assignment = Assignment({}, {})

    def step(
        self,
        second: int,
        candidates: Sequence[Candidate],
        demand: NDArray[np.float64],
    ) -> Mapping[int, str]:
        """Moves slots only off lost and draining servers."""
        owners = dict(self._assignment.owner_by_slot)
        if not owners:
            owners = assign_owners(range(SLOTS), candidates)
        live = _live_names(candidates)
        count_by_name = Counter(owners.values())
        for slot in _slots_owned_in_state(owners, candidates, ServerState.lost):
            owners[slot] = self._assignment.successor_by_slot[slot]
        for draining_slot in _slots_owned_in_state(
            owners, candidates, ServerState.draining
        ):
            counts = [(count_by_name[name], name) for name in live]
            _, least_loaded = min(counts)
            count_by_name[least_loaded] += 1
            owners[draining_slot] = least_loaded
        self._assignment = Assignment(
            owners,
            spread_successors(
                owners, self._assignment.successor_by_slot, candidates
            ),
        )
        return owners

    def slot_by_key(self) -> NDArray[np.int64]:
        """Returns the slot of each key."""
        return SLOT_BY_KEY


class CurrentPlacement:
    """The placement code, called as the ownership service calls it."""

    def __init__(
        self,
        weights: Weights,
        sequence: DemandSequence,
        policy: PlacementPolicy,
        seed: int,
    ) -> None:
        self._now_ms = float(0)
        self._placement = GroupPlacement(
            weights, slot_count=SLOTS, clock=self._clock, policy=policy
        )
        self._sequence = sequence
        self._randomness = np.random.default_rng([seed, 1])
        self._owners: dict[int, str] = {}
        self._successors: Mapping[int, str] = {}
        self._slot_by_key = SLOT_BY_KEY.copy()
        self._pin_by_key: dict[str, int] = {}
        self._delayed_samples: deque[list[LoadSample]] = deque()

    def step(
        self,
        second: int,
        candidates: Sequence[Candidate],
        demand: NDArray[np.float64],
    ) -> Mapping[int, str]:
        """Observes one second of requests and applies the proposed moves."""
        self._now_ms = second * _MILLISECONDS
        if not self._owners:
            first = self._placement.assign(range(SLOTS), candidates)
            self._owners = dict(first.owner_by_slot)
            self._successors = first.successor_by_slot
        self._observe(demand)
        self._report(candidates, demand)
        for lost in _slots_owned_in_state(
            self._owners, candidates, ServerState.lost
        ):
            self._move(lost, self._successors[lost])
        assignment = Assignment(self._owners, self._successors)
        for proposal in self._placement.propose(assignment, candidates):
            self._move(proposal.slot, proposal.new_owner)
        self._pin()
        self._successors = self._placement.successors(
            self._owners, self._successors, candidates
        )
        return dict(self._owners)

    def slot_by_key(self) -> NDArray[np.int64]:
        """Returns the slot or pin of each key."""
        return self._slot_by_key

    def _clock(self) -> float:
        return self._now_ms

    def _move(self, slot: int, new_owner: str) -> None:
        old_owner = self._owners[slot]
        self._owners[slot] = new_owner
        self._placement.record_move(slot, old_owner, new_owner)

    def _observe(self, demand: NDArray[np.float64]) -> None:
        count = self._randomness.poisson(BUSY_MS_PER_S / SERVICE_MS)
        drawn = self._randomness.random(count)
        keys = np.searchsorted(np.cumsum(demand), drawn).clip(0, KEYS - 1)
        # Gamma with shape 2: service times vary less than exponential ones.
        times = self._randomness.gamma(2, SERVICE_MS / 2, count)
        self._delayed_samples.append(
            [
                self._sample(int(key), float(time_ms))
                for key, time_ms in zip(keys, times, strict=True)
            ]
        )
        if len(self._delayed_samples) > self._sequence.lag_s:
            for sample in self._delayed_samples.popleft():
                self._placement.observe(sample)

    def _sample(self, key: int, service_ms: float) -> LoadSample:
        slot = int(self._slot_by_key[key])
        return LoadSample(
            slot, KEY_NAMES[key], self._owners[slot], service_ms, 0, False
        )

    def _report(
        self, candidates: Sequence[Candidate], demand: NDArray[np.float64]
    ) -> None:
        load_by_name: dict[str, float] = defaultdict(float)
        by_slot = np.bincount(self._slot_by_key, weights=demand)
        for slot, owner in self._owners.items():
            load_by_name[owner] += by_slot[slot] if slot < len(by_slot) else 0
        for name in _live_names(candidates):
            load = load_by_name[name]
            if name == self._sequence.misreporting:
                load *= _MISREPORT_FACTOR
            self._placement.report(name, LoadReport(0, load, draining=False))

    def _pin(self) -> None:
        keys_to_pin = set(self._placement.keys_to_pin())
        for unpinned in sorted(set(self._pin_by_key) - keys_to_pin):
            self._owners.pop(self._pin_by_key.pop(unpinned))
            key = int(unpinned.removeprefix('key'))
            self._slot_by_key[key] = SLOT_BY_KEY[key]
        for name in sorted(keys_to_pin - set(self._pin_by_key)):
            key = int(name.removeprefix('key'))
            used = set(self._pin_by_key.values())
            pin = next(
                number
                for number in range(SLOTS, SLOTS + KEYS)
                if number not in used
            )
            self._pin_by_key[name] = pin
            self._owners[pin] = self._owners[int(SLOT_BY_KEY[key])]
            self._slot_by_key[key] = pin


BASELINES: Mapping[str, Callable[[], Strategy]] = MappingProxyType(
    {
        'modulo': Modulo,
        'consistent hashing': ConsistentHashing,
        'first version': FirstVersion,
    }
)


def _live_names(candidates: Sequence[Candidate]) -> list[str]:
    return sorted(
        candidate.name
        for candidate in candidates
        if candidate.state == ServerState.live
    )


def _slots_owned_in_state(
    owners: Mapping[int, str],
    candidates: Sequence[Candidate],
    state: ServerState,
) -> list[int]:
    names = {
        candidate.name for candidate in candidates if candidate.state == state
    }
    return sorted(slot for slot, owner in owners.items() if owner in names)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
