"""Counters of the process, optionally exported to statsd."""

from yuccadale_core._internal.counters import (
    Counters,
    Sink,
    statsd_sink,
)

__all__ = [
    'Counters',
    'Sink',
    'statsd_sink',
]
