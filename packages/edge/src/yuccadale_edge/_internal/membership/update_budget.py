"""How much of an instance's link its broadcasts may use."""

from collections.abc import Callable

_BYTES_PER_MBIT = 125_000
# Forwarded requests, reports and calls to servers share the link.
_LINK_SHARE = 0.4
# Broadcasts may exceed their share for this long.
_BURST_S = 0.5
# Large messages that do not wait delay others by this much at most.
_MAX_DELAY_S = 0.25


class UpdateBudget:
    """A token bucket of bytes.

    A message may be sent while some of it is left, whatever its size; the next
    one then waits for longer.
    """

    def __init__(self, link_mbps: float, now: Callable[[], float]) -> None:
        """Creates a full bucket.

        Args:
            link_mbps: rate of the machine's link, in Mbit/s.
            now: a clock in seconds.
        """
        self._bytes_per_s = link_mbps * _BYTES_PER_MBIT * _LINK_SHARE
        self._left = self._bytes_per_s * _BURST_S
        self._now = now
        self._updated_s = now()

    @property
    def exhausted(self) -> bool:
        """Whether the next broadcast has to wait."""
        now_s = self._now()
        added = (now_s - self._updated_s) * self._bytes_per_s
        self._updated_s = now_s
        self._left = min(self._left + added, self._bytes_per_s * _BURST_S)
        return self._left <= 0

    def spend(self, size: int) -> None:
        """Counts bytes that are sent, also those that do not wait."""
        least = -self._bytes_per_s * _MAX_DELAY_S
        self._left = max(self._left - size, least)
