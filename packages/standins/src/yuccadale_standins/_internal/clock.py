"""The stand-ins' monotonic clock."""

import time

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_ms() -> float:
    """Returns the monotonic time in milliseconds.

    Processes on one machine share this clock, so that records of several
    stand-ins can be put in order.
    """
    return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND
