"""Time limits of the control protocol, in ms unless stated.

Together they limit the time from a failure until a key is served again to
2 s: suspicion and the end of a grant run in parallel, and the takeover of a
group starts one lease term after the standby's last promise.
"""

LEASE_TERM_MS = 1000
PROMISE_INTERVAL_MS = 200
GRANT_TTL_MS = 1000
GRANT_INTERVAL_MS = 200
STANDBY_TIMEOUT_MS = 400
SUSPICION_TIMEOUT_MS = 600
LINK_TIMEOUT_MS = 1000
HEARTBEAT_INTERVAL_MS = 200
TABLE_TIMEOUT_MS = 500

# Largest assumed ratio between the rates of two clocks. A wait for the end of
# another process's term is multiplied by it.
CLOCK_RATE_MARGIN = 1.02

STORE_READ_INTERVAL_MS = 500
STORE_READERS_PER_DATA_CENTRE = 3
MILLISECONDS_PER_SECOND = 1000


def milliseconds(seconds: float) -> float:
    """Converts seconds to milliseconds."""
    return seconds * MILLISECONDS_PER_SECOND


def seconds(milliseconds_value: float) -> float:
    """Converts milliseconds to seconds."""
    return milliseconds_value / MILLISECONDS_PER_SECOND
