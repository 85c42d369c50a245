"""The leader's lease and the standby's promise, each on its own clock."""

import math

from yuccadale_core.timing import CLOCK_RATE_MARGIN, LEASE_TERM_MS
from yuccadale_router._internal.clock import Clock

_OUTSTANDING_LIMIT = 16
LEASE_TERM_WITH_MARGIN_MS = LEASE_TERM_MS * CLOCK_RATE_MARGIN


class LeaderLease:
    """The right to act as leader, valid until a term after a request began.

    The end is counted from the time before the request was sent, so that a
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
        """Notes the time before a promise request is sent."""
        self._number += 1
        self._sent_at_by_number[self._number] = self._clock()
        self._sent_at_by_number.pop(self._number - _OUTSTANDING_LIMIT, None)
        return self._number

    def promise_received(self, number: int) -> None:
        """Extends the lease by the answer to a request of ours."""
        sent_at = self._sent_at_by_number.pop(number, None)
        if sent_at is not None and self._extends:
            self.renew(sent_at)

    def renew(self, sent_at: float) -> None:
        """Extends the lease by something that was sent at ``sent_at``."""
        self.valid_until = max(self.valid_until, sent_at + LEASE_TERM_MS)
        self.last_renewed_at = self._clock()

    def stop_extending(self) -> None:
        """Ignores promises while a row with another standby is being written.

        The write may take effect before its answer arrives; a promise of the
        former standby that was asked for later would be worth nothing.
        """
        self._extends = False
        self._sent_at_by_number.clear()

    def resume_extending(self) -> None:
        """Accepts promises again, after the row turned out unchanged."""
        self._extends = True

    def end(self) -> None:
        """Ends the lease at once, after the row names another standby."""
        self.stop_extending()
        self._extends = True
        self.valid_until = -math.inf
        self.last_renewed_at = self._clock()

    def is_valid(self) -> bool:
        """Says whether an action that needs the lease may start now."""
        return self._clock() < self.valid_until

    @property
    def began(self) -> bool:
        """Whether the present standby has given a promise."""
        return not math.isinf(self.valid_until)

    def left_ms(self) -> float:
        """Returns the time left, 0 when the lease has ended."""
        return max(0, self.valid_until - self._clock())


class StandbyPromise:
    """What the standby promised to the leader with the given token."""

    def __init__(self, clock: Clock, token: int) -> None:
        self._clock = clock
        self.token = token
        self.resigned = False
        self.taking_over = False
        # A standby that has not promised yet also waits for a full term: the
        # leader may still hold a lease by the promise of another standby.
        self._given_at = clock()

    def give(self, token: int) -> bool:
        """Promises not to take over for one term, unless it has begun to."""
        if token != self.token or self.taking_over:
            return False
        self._given_at = self._clock()
        return True

    def silence_ms(self) -> float:
        """Returns the time since the last promise."""
        return self._clock() - self._given_at

    def may_take_over(self) -> bool:
        """Says whether every promise has run out on any allowed clock."""
        return (
            not self.resigned and self.silence_ms() >= LEASE_TERM_WITH_MARGIN_MS
        )
