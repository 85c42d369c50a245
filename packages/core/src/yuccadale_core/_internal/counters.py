"""Counters: kept in the process, sent to statsd when one is configured."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

import statsd


class Sink(Protocol):
    """Where increments go besides the process's own memory."""

    def incr(self, stat: str, count: int = 1) -> object:
        """Adds to a counter."""


class Counters:
    """Counts by dotted name, such as ``refusal.queue_full``."""

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
        """Returns a function that counts names below the prefix."""

        def count_below(name: str) -> None:
            self.count(f'{prefix}.{name}')

        return count_below


def statsd_sink(host: str, port: int) -> Sink:
    """Returns a sink that sends UDP datagrams to a statsd server."""
    return statsd.StatsClient(host, port, prefix='yuccadale')
