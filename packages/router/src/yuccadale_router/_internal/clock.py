"""The monotonic clock of the process; tests replace it."""

import time
from collections.abc import Callable

Clock = Callable[[], float]

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_ms() -> float:
    """Returns the monotonic time in milliseconds."""
    return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND
