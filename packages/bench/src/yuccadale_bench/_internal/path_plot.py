"""Plots the latencies of several routes."""

from pathlib import Path

import matplotlib as mpl
from hdrh.histogram import HdrHistogram

_MICROSECONDS_PER_MS = 1000
_PERCENTILES = tuple(step / 2 for step in range(200)) + (99.9,)


def plot_latencies(
    latency_by_route: dict[str, HdrHistogram], title: str, path: Path
) -> None:
    """Writes an image of latency over percentile."""
    mpl.use('Agg')
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(8, 5))
    for name, latency in latency_by_route.items():
        axes.plot(
            _PERCENTILES,
            [
                latency.get_value_at_percentile(percentile)
                / _MICROSECONDS_PER_MS
                for percentile in _PERCENTILES
            ],
            label=name,
        )
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('latency in ms')
    axes.set_title(title)
    axes.legend()
    axes.grid(visible=True, which='both', alpha=0.3)
    figure.savefig(path, dpi=120)
    plt.close(figure)
