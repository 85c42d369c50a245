"""The clock for leases and deadlines."""

import time


def elapsed_s() -> float:
    """Returns seconds of a clock that also runs while the machine is suspended.

    ``time.monotonic`` stops during a suspension, so a lease that expired
    meanwhile would still appear valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
