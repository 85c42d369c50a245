"""Counters: kept in the process, sent to statsd when one is configured."""

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
