"""Time limits of the control protocol, in ms unless stated."""

from yuccadale_core._internal.timing import (
    CLOCK_RATE_MARGIN,
    GRANT_INTERVAL_MS,
    GRANT_TTL_MS,
    HEARTBEAT_INTERVAL_MS,
    LEASE_TERM_MS,
    LINK_TIMEOUT_MS,
    MILLISECONDS_PER_SECOND,
    PROMISE_INTERVAL_MS,
    STANDBY_TIMEOUT_MS,
    STORE_READERS_PER_DATA_CENTRE,
    STORE_READ_INTERVAL_MS,
    SUSPICION_TIMEOUT_MS,
    TABLE_TIMEOUT_MS,
    milliseconds,
    seconds,
)

__all__ = [
    'CLOCK_RATE_MARGIN',
    'GRANT_INTERVAL_MS',
    'GRANT_TTL_MS',
    'HEARTBEAT_INTERVAL_MS',
    'LEASE_TERM_MS',
    'LINK_TIMEOUT_MS',
    'MILLISECONDS_PER_SECOND',
    'PROMISE_INTERVAL_MS',
    'STANDBY_TIMEOUT_MS',
    'STORE_READERS_PER_DATA_CENTRE',
    'STORE_READ_INTERVAL_MS',
    'SUSPICION_TIMEOUT_MS',
    'TABLE_TIMEOUT_MS',
    'milliseconds',
    'seconds',
]
