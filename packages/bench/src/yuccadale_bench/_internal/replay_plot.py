"""Plots of a replay: one image for each customer."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import numpy as np
from matplotlib import pyplot as plt

from yuccadale_bench._internal.replay_measures import Measures
from yuccadale_bench._internal.replay_strategies import BASELINES
from yuccadale_bench._internal.replay_targets import Replayed

# Renders to files without a display.
plt.switch_backend('Agg')

_ROWS = (
    ('maximum over mean load', 'max_over_mean', False),
    ('churn, share of keys', 'churn_keys', True),
    ('unavailable time, s', 'unavailable_s', True),
)
_LOGARITHMIC_ABOVE = 0.1
_WIDTH_INCHES = 3.2
_HEIGHT_INCHES = 2.4


def plot_customer(
    replayed: Sequence[Replayed], customer: str, path: Path
) -> None:
    """Writes a PNG with a column per sequence and a row per measure."""
    figure, axes = plt.subplots(
        len(_ROWS),
        len(replayed),
        figsize=(
            _WIDTH_INCHES * len(replayed),
            _HEIGHT_INCHES * len(_ROWS),
        ),
        squeeze=False,
    )
    for column, run in enumerate(replayed):
        series = {**run.baselines, customer: run.by_customer[customer]}
        axes[0, column].set_title(run.sequence.name)
        for row, (_, attribute, cumulative) in enumerate(_ROWS):
            _draw(axes[row, column], series, attribute, cumulative=cumulative)
    for labelled, (label, _, _) in enumerate(_ROWS):
        axes[labelled, 0].set_ylabel(label)
    axes[0, 0].legend(fontsize='small')
    figure.supxlabel('seconds')
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _draw(
    axis: Any,
    series: Mapping[str, Measures],
    attribute: str,
    *,
    cumulative: bool,
) -> None:
    for name, measures in series.items():
        axis.plot(
            _line(measures, attribute, cumulative=cumulative),
            label=name,
            linewidth=1 if name in BASELINES else 2,
        )
    if cumulative:
        _scale(axis, series, attribute)


def _scale(axis: Any, series: Mapping[str, Measures], attribute: str) -> None:
    """Uses a logarithmic axis when a sum exceeds the threshold."""
    largest_sum = max(sum(getattr(run, attribute)) for run in series.values())
    if largest_sum > _LOGARITHMIC_ABOVE:
        axis.set_yscale('symlog', linthresh=0.01)


def _line(
    measures: Measures, attribute: str, *, cumulative: bool
) -> np.ndarray:
    values = np.array(getattr(measures, attribute))
    return np.cumsum(values) if cumulative else values
