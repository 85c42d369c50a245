"""The stand-ins' monotonic clock."""

from yuccadale_standins._internal.clock import monotonic_ms

__all__ = ['monotonic_ms']
