"""The command ``placement-cost``: time and memory of placement decisions."""

import argparse
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import numpy as np

from yuccadale_core.declaration import Weights
from yuccadale_router.placement import (
    Assignment,
    Candidate,
    GroupPlacement,
    LoadSample,
    ServerState,
)

_SLOTS_PER_SERVER = 32
_SERVERS_PER_RACK = 40
# Servers and slots. The target size is 30,000 slots on 950 servers.
_SIZES = (
    (12, 12 * _SLOTS_PER_SERVER),
    (100, 100 * _SLOTS_PER_SERVER),
    (950, 30_000),
    (1000, 1000 * _SLOTS_PER_SERVER),
    (10_000, 10_000 * _SLOTS_PER_SERVER),
    (17_000, 17_000 * _SLOTS_PER_SERVER),
)
_WARM_UP_S = 15
_REPEATS = 5
_REQUESTS = 50_000
_KEYS = 20_000
_MILLISECONDS = 1000.0


class _Group:
    """A group with load; its clock advances a second per observation."""

    def __init__(self, servers: int, slots: int, seed: int) -> None:
        self._now_ms = float(0)
        randomness = np.random.default_rng([seed, servers])
        self.busy_ms = randomness.pareto(2, slots) * 40
        self.placement = GroupPlacement(
            Weights(), slot_count=slots, clock=self._clock
        )
        self.candidates = [
            Candidate(
                f'server{index:05d}',
                f'rack{index // _SERVERS_PER_RACK}',
                ServerState.live,
            )
            for index in range(servers)
        ]
        self.assignment = Assignment({}, {})

    def assign(self) -> None:
        self.assignment = self.placement.assign(
            range(len(self.busy_ms)), self.candidates
        )

    def observe(self) -> None:
        for _ in range(_WARM_UP_S):
            self._now_ms += _MILLISECONDS
            self.placement.observe_busy(range(len(self.busy_ms)), self.busy_ms)

    def samples(self) -> list[LoadSample]:
        """Returns samples of more keys than the frequency sketch holds."""
        owners = self.assignment.owner_by_slot
        return [
            LoadSample(
                number % len(owners),
                f'key{number % _KEYS}',
                owners[number % len(owners)],
                10,
                0,
                refused=False,
            )
            for number in range(_REQUESTS)
        ]

    def observe_requests(self, samples: list[LoadSample]) -> None:
        for sample in samples:
            self.placement.observe(sample)

    def propose(self) -> int:
        return len(self.placement.propose(self.assignment, self.candidates))

    def drain_one(self) -> None:
        first = self.candidates[0]
        draining = Candidate(first.name, first.rack, ServerState.draining)
        self.placement.propose(
            self.assignment, [draining, *self.candidates[1:]]
        )

    def successors(self) -> None:
        self.placement.successors(
            self.assignment.owner_by_slot,
            self.assignment.successor_by_slot,
            self.candidates[1:],
        )

    def _clock(self) -> float:
        return self._now_ms


def measure(servers: int, slots: int, seed: int) -> dict[str, float]:
    """Returns the costs at one group size; repeated times are medians."""
    group = _Group(servers, slots, seed)
    assign_ms = _timed_ms(group.assign)
    group.observe()
    moves = group.propose()
    propose_ms = _median_ms(group.propose)
    drain_ms = _median_ms(group.drain_one)
    successors_ms = _timed_ms(group.successors)
    state_bytes, peak_bytes = _memory(servers, slots, seed, group)
    samples = group.samples()
    requests_ms = _timed_ms(lambda: group.observe_requests(samples))
    return {
        'servers': servers,
        'slots': slots,
        'moves': moves,
        'propose_ms': round(propose_ms, 3),
        'drain_ms': round(drain_ms, 3),
        'assign_ms': round(assign_ms, 3),
        'successors_after_loss_ms': round(successors_ms, 3),
        'observe_us_per_request': round(
            requests_ms * _MILLISECONDS / _REQUESTS, 3
        ),
        'state_bytes': state_bytes,
        'decision_peak_bytes': peak_bytes,
    }


def run_command(arguments: Sequence[str]) -> int:
    """Prints the measurements as JSON, or writes them to a file."""
    parser = argparse.ArgumentParser(
        prog='python -m yuccadale_bench placement-cost'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--most-servers', type=int, default=_SIZES[-1][0])
    parser.add_argument('--output', type=Path)
    options = parser.parse_args(arguments)
    measured: list[Any] = [
        measure(servers, slots, options.seed)
        for servers, slots in _SIZES
        if servers <= options.most_servers
    ]
    text = json.dumps({'placement_cost': measured}, indent=2)
    if options.output is None:
        print(text)
    else:
        options.output.write_text(f'{text}\n', encoding='utf-8')
    return 0


def _memory(
    servers: int, slots: int, seed: int, sized_group: _Group
) -> tuple[int, int]:
    """Returns bytes of estimates and history, and of the peak in a decision.

    The peak includes that state, but not the assignment itself.
    """
    group = _Group(servers, slots, seed)
    group.assignment = sized_group.assignment
    tracemalloc.start()
    try:
        group.observe()
        state_bytes, _ = tracemalloc.get_traced_memory()
        group.propose()
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return state_bytes, peak_bytes


def _timed_ms(work: Callable[[], object]) -> float:
    started = time.perf_counter()
    work()
    return (time.perf_counter() - started) * _MILLISECONDS


def _median_ms(work: Callable[[], object]) -> float:
    return statistics.median(_timed_ms(work) for _ in range(_REPEATS))
