"""Counters, gauges and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter

# Upper bounds; target latencies are between tens of ms and seconds.
_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Metrics of this process."""

    def __init__(self) -> None:
        self._count_by_series: Counter[tuple[str, Labels]] = Counter()
        self._gauge_by_series: dict[tuple[str, Labels], float] = {}
        self._buckets_by_series: dict[tuple[str, Labels], list[int]] = {}
        self._sum_by_series: Counter[tuple[str, Labels]] = Counter()

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        self._count_by_series[name, _sorted(labels)] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._gauge_by_series[name, _sorted(labels)] = value

    def remove_gauge(self, name: str, **labels: str) -> None:
        """Removes a gauge whose subject no longer exists."""
        self._gauge_by_series.pop((name, _sorted(labels)), None)

    def observe_ms(self, name: str, took_ms: float, **labels: str) -> None:
        """Adds a latency in milliseconds to a histogram."""
        series = (name, _sorted(labels))
        buckets = self._buckets_by_series.get(series)
        if buckets is None:
            buckets = [0 for _ in range(len(_BUCKETS_MS) + 1)]
            self._buckets_by_series[series] = buckets
        buckets[bisect_left(_BUCKETS_MS, took_ms)] += 1
        self._sum_by_series[series] += took_ms  # type: ignore[assignment]

    def value(self, name: str, **labels: str) -> int:
        """Returns the value of a counter."""
        return self._count_by_series[name, _sorted(labels)]

    def text(self) -> str:
        """Returns all series in the text format, sorted."""
        lines = [
            f'yuccadale_{name}_total{_format_labels(labels)} {count}'
            for (name, labels), count in self._count_by_series.items()
        ]
        lines.extend(
            f'yuccadale_{name}{_format_labels(labels)} {value}'
            for (name, labels), value in self._gauge_by_series.items()
        )
        for (name, labels), buckets in self._buckets_by_series.items():
            below = 0
            for bound, count in zip(
                (*_BUCKETS_MS, '+Inf'), buckets, strict=True
            ):
                below += count
                with_bound = _format_labels((*labels, ('le', str(bound))))
                lines.append(f'yuccadale_{name}_ms_bucket{with_bound} {below}')
            total = self._sum_by_series[name, labels]
            lines.append(
                f'yuccadale_{name}_ms_sum{_format_labels(labels)} {total}'
            )
            lines.append(
                f'yuccadale_{name}_ms_count{_format_labels(labels)} {below}'
            )
        return '\n'.join((*sorted(lines), ''))


def _sorted(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ''
    inside = ','.join(f'{name}="{text}"' for name, text in labels)
    return f'{{{inside}}}'
