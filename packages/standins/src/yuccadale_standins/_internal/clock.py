"""The stand-ins' monotonic clock."""

import time

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_ms() -> float:
    """Returns the monotonic time in milliseconds.

    All processes on one machine share this clock, so that the records of
    several stand-ins can be sorted by time.
    """
    return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND
