"""Tests of the placement replay."""

from dataclasses import replace

import numpy as np

from yuccadale_bench._internal.replay_measures import replay
from yuccadale_bench._internal.replay_sequences import build_sequences
from yuccadale_bench._internal.replay_strategies import (
    BASELINES,
    CurrentPlacement,
)
from yuccadale_core.declaration import Weights
from yuccadale_router.placement import PlacementPolicy


def _shortened_sequence(name: str):
    sequences = build_sequences(1, held_out=False)
    sequence = next(one for one in sequences if one.name == name)
    return replace(sequence, seconds=130)


def test_held_out_sequences_are_apart():
    """Guards against tuning with held-out sequences."""
    tuning_names = {one.name for one in build_sequences(1, held_out=False)}
    held_out_names = {one.name for one in build_sequences(1, held_out=True)}
    assert not tuning_names & held_out_names
    assert all(name.startswith('held-out') for name in held_out_names)


def test_loss_moves_the_lost_keys_and_costs_their_demand():
    """Guards against lost keys that are not counted, or counted twice."""
    sequence = _shortened_sequence('lost-server')
    measures = replay(sequence, BASELINES['first version']())
    assert np.isclose(sum(measures.churn_keys), measures.had_to_move)
    assert np.isclose(
        sum(measures.unavailable_s), 1.6 * sum(measures.churn_requests)
    )


def test_same_seed_gives_the_same_measures():
    """Guards against measures that are not reproducible."""
    sequence = _shortened_sequence('dawn')
    runs = [
        replay(
            sequence,
            CurrentPlacement(Weights(), sequence, PlacementPolicy(), 1),
        )
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
    assert sum(runs[0].churn_requests) > 0
