"""The command ``replay-weights``: varies one weight, the others stay 1."""

import argparse
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from types import MappingProxyType

from matplotlib import pyplot as plt

from yuccadale_bench._internal.replay_measures import Measures, replay
from yuccadale_bench._internal.replay_sequences import (
    DemandSequence,
    build_sequences,
)
from yuccadale_bench._internal.replay_strategies import CurrentPlacement
from yuccadale_core.declaration import Weights
from yuccadale_router.placement import PlacementPolicy

# Renders to files without a display.
plt.switch_backend('Agg')

_SEQUENCES = ('dawn', 'rolling')
_VALUES = (0.1, 0.3, 1, 3, 10, 30)
_WEIGHT_NAMES = ('imbalance', 'churn', 'unavailable_time')
_TITLE_BY_ATTRIBUTE: Mapping[str, str] = MappingProxyType(
    {
        'variation': 'imbalance, mean CV',
        'churn_keys': 'churn, share of keys',
        'unavailable_s': 'unavailable time, s',
    }
)


def run_command(arguments: Sequence[str]) -> int:
    """Writes one PNG for each weight and prints the plotted figures."""
    parser = argparse.ArgumentParser(
        prog='python -m yuccadale_bench replay-weights'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--plot', type=Path, required=True)
    options = parser.parse_args(arguments)
    options.plot.mkdir(parents=True, exist_ok=True)
    sequences = [
        sequence
        for sequence in build_sequences(options.seed, held_out=False)
        if sequence.name in _SEQUENCES
    ]
    for weight_name in _WEIGHT_NAMES:
        runs_by_sequence = {
            sequence.name: _runs(sequence, weight_name, options.seed)
            for sequence in sequences
        }
        _print_runs(weight_name, runs_by_sequence)
        file_name = f'weight-{weight_name.replace("_", "-")}.png'
        _plot(weight_name, runs_by_sequence, options.plot / file_name)
    return 0


def _runs(
    sequence: DemandSequence, weight_name: str, seed: int
) -> list[Measures]:
    return [
        replay(
            sequence,
            CurrentPlacement(
                replace(Weights(), **{weight_name: weight}),
                sequence,
                PlacementPolicy(),
                seed,
            ),
        )
        for weight in _VALUES
    ]


def _figures(runs: Sequence[Measures], attribute: str) -> list[float]:
    """Returns the mean of the imbalance, or the sum of another measure."""
    sums = [sum(getattr(run, attribute)) for run in runs]
    if attribute != 'variation':
        return sums
    return [
        total / len(run.variation)
        for total, run in zip(sums, runs, strict=True)
    ]


def _print_runs(
    weight_name: str, runs_by_sequence: Mapping[str, Sequence[Measures]]
) -> None:
    for name, runs in runs_by_sequence.items():
        for attribute, title in _TITLE_BY_ATTRIBUTE.items():
            figures = ' '.join(
                f'{figure:.4f}' for figure in _figures(runs, attribute)
            )
            print(f'{weight_name} {_VALUES}, {name}, {title}: {figures}')


def _plot(
    weight_name: str,
    runs_by_sequence: Mapping[str, Sequence[Measures]],
    path: Path,
) -> None:
    figure, axes = plt.subplots(1, len(_TITLE_BY_ATTRIBUTE), figsize=(10, 3))
    panels = zip(axes, _TITLE_BY_ATTRIBUTE.items(), strict=True)
    for axis, (attribute, title) in panels:
        for name, runs in runs_by_sequence.items():
            axis.plot(
                _VALUES, _figures(runs, attribute), marker='o', label=name
            )
        axis.set_xscale('log')
        axis.set_ylim(bottom=0)
        axis.set_title(title)
        axis.set_xlabel(f'weight of {weight_name}')
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    plt.close(figure)
