"""Counters of the process, optionally exported to statsd."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

import statsd


class Sink(Protocol):
    """Receives each increment in addition to the process's memory."""

    def incr(self, stat: str, count: int = 1) -> object:
        """Adds to a counter."""


class Counters:
    """Counters by dotted name, such as ``refusal.queue_full``."""

    def __init__(self, sink: Sink | None = None) -> None:
        self._sink = sink
        self._count_by_name: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Adds ``amount`` to the counter."""
        self._count_by_name[name] += amount
        if self._sink is not None:
            self._sink.incr(name, amount)

    def snapshot(self) -> dict[str, int]:
        """Returns all counts by name."""
        return dict(self._count_by_name)

    def scoped(self, prefix: str) -> Callable[[str], None]:
        """Returns a function that increments counters below the prefix."""

        def count_prefixed(name: str) -> None:
            self.count(f'{prefix}.{name}')

        return count_prefixed


def statsd_sink(host: str, port: int) -> Sink:
    """Returns a sink that sends UDP datagrams to a statsd server."""
    return statsd.StatsClient(host, port, prefix='yuccadale')
