"""The clock that leases and deadlines are measured with."""

import time


def elapsed_s() -> float:
    """Returns seconds of a clock that also runs while the machine sleeps.

    ``time.monotonic`` stands still during a suspension, so a lease measured
    with it would seem valid after the process was frozen past its end.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
