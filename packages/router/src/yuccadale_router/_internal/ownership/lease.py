"""The leader's lease and the standby's promise, each on its own clock.

A standby promises not to take over for one term. The margin for the rates of
the clocks makes the lease end before the promise does.
"""

import math

from yuccadale_core.timing import CLOCK_RATE_MARGIN, LEASE_TERM_MS
from yuccadale_router._internal.clock import Clock

_OUTSTANDING_LIMIT = 16
LEASE_TERM_WITH_MARGIN_MS = LEASE_TERM_MS * CLOCK_RATE_MARGIN


class LeaderLease:
    """The right to act as leader, for one term after a request for a promise.

    The term is counted from the time before the request was sent, so that a
    slow or lost answer can only shorten the lease.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent_at_by_number: dict[int, float] = {}
        self._number = 0
        self._extends = True
        self.valid_until = -math.inf
        self.last_renewed_at = clock()

    def begin_request(self) -> int:
        """Records the time before a promise request; returns its number."""
        self._number += 1
        self._sent_at_by_number[self._number] = self._clock()
        self._sent_at_by_number.pop(self._number - _OUTSTANDING_LIMIT, None)
        return self._number

    def promise_received(self, number: int) -> None:
        """Extends the lease when the promise answers a known request."""
        sent_at = self._sent_at_by_number.pop(number, None)
        if sent_at is not None and self._extends:
            self.renew(sent_at)

    def renew(self, sent_at: float) -> None:
        """Extends the lease to one term after ``sent_at``, in milliseconds."""
        self.valid_until = max(self.valid_until, sent_at + LEASE_TERM_MS)
        self.last_renewed_at = self._clock()

    def stop_extending(self) -> None:
        """Ignores promises while a row with another standby is being written.

        The write may take effect before its answer arrives. From then on a
        promise of the former standby does not stop others from leading.
        """
        self._extends = False
        self._sent_at_by_number.clear()

    def resume_extending(self) -> None:
        """Accepts promises again, once the row is known to be unchanged."""
        self._extends = True

    def end(self) -> None:
        """Ends the lease at once, when the row names another standby."""
        self.stop_extending()
        self._extends = True
        self.valid_until = -math.inf
        self.last_renewed_at = self._clock()

    def is_valid(self) -> bool:
        """Says whether an action that needs the lease may start now."""
        return self._clock() < self.valid_until

    @property
    def began(self) -> bool:
        """Whether the current standby has given a promise."""
        return not math.isinf(self.valid_until)

    def left_ms(self) -> float:
        """Returns the remaining time, 0 when the lease has ended."""
        return max(0, self.valid_until - self._clock())


class StandbyPromise:
    """The standby's promise to the leader with the given token."""

    def __init__(self, clock: Clock, token: int) -> None:
        self._clock = clock
        self.token = token
        self.resigned = False
        self.taking_over = False
        # A new standby also waits for a full term before its first promise: the
        # leader may hold a lease by the promise of an earlier standby.
        self._given_at = clock()

    def give(self, token: int) -> bool:
        """Promises not to take over for one term; false when refused.

        It is refused for another token, or once a takeover has begun.
        """
        if token != self.token or self.taking_over:
            return False
        self._given_at = self._clock()
        return True

    def silence_ms(self) -> float:
        """Returns the time since the last promise."""
        return self._clock() - self._given_at

    def may_take_over(self) -> bool:
        """Says whether the promise has expired at every allowed clock rate."""
        return (
            not self.resigned and self.silence_ms() >= LEASE_TERM_WITH_MARGIN_MS
        )
