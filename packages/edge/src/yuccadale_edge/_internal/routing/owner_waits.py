"""How long a request waits for an owner of its key, and when it may return."""

import random
from collections.abc import Callable

from yuccadale_edge._internal.routing.pacing import ReturnTimes

# Moving keys usually have a new owner within this time.
TYPICAL_MOVE_S = 0.25
# Share of the remaining time that a request waits for its key to get an owner.
_WAIT_SHARE = 0.5
# How much later than estimated an owner may be known: the grant, and the
# update on its way through the relays.
_MARGIN_S = 0.5
# Longest return of a caller that has waited without any estimate.
_MAX_UNKNOWN_S = 1.0
# Part of the caller's remaining time over which returns are spread at most.
_SPREAD_SHARE = 1 / 3
# Owners that are expected within this time of each other share their returns.
_SAME_TIME_S = 0.25


def max_wait_s(remaining_s: float) -> float:
    """Returns how long a request waits at most if no end is known."""
    return remaining_s * _WAIT_SHARE


def wait_limit_s(
    *,
    started_s: float,
    remaining_s: float,
    until_target_s: float,
    available_at_s: float,
) -> float:
    """Returns how long a request waits for an owner of its key, in seconds.

    Args:
        started_s: when it began to wait.
        remaining_s: time until its deadline then.
        until_target_s: time until its target then.
        available_at_s: when an owner is expected.

    Returns:
        0 if the owner is expected too late.
    """
    longest_s = max_wait_s(remaining_s)
    available_in_s = available_at_s - started_s
    if available_in_s <= 0:
        return longest_s
    if available_in_s > longest_s:
        return 0
    return min(longest_s, max(available_in_s + _MARGIN_S, until_target_s))


class OwnerReturns:
    """Spreads the returns of callers whose keys have no owner."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without returns.

        Args:
            now: returns the time in seconds.
        """
        self._now = now
        self._returns_by_expected: dict[tuple[str, int], ReturnTimes] = {}

    def book_s(
        self,
        service: str,
        available_in_s: float,
        waited_s: float,
        owner_per_s: float,
        remaining_s: float,
    ) -> float:
        """Returns when a caller that is refused now may return, in seconds.

        They are spread over as long as the keys have no owner: the callers that
        return then are as many as usual. Instances do not know of each other's
        returns, so that each begins at a random time.

        Args:
            service: of the keys.
            available_in_s: when an owner is expected, 0 if unknown.
            waited_s: how long this request has waited.
            owner_per_s: requests a second that the owner can serve.
            remaining_s: time until the deadline of the request.
        """
        if available_in_s <= 0:
            return max(TYPICAL_MOVE_S, min(waited_s, _MAX_UNKNOWN_S))
        now_s = self._now()
        self._forget_past(now_s)
        spread_s = min(available_in_s, remaining_s * _SPREAD_SHARE)
        delay_s = available_in_s
        expected = service, round((now_s + available_in_s) / _SAME_TIME_S)
        returns = self._returns_by_expected.get(expected)
        if returns is None:
            returns = ReturnTimes(self._now)
            self._returns_by_expected[expected] = returns
            delay_s += random.uniform(0, spread_s)
        return returns.book_s(owner_per_s, delay_s, spread_s)

    def _forget_past(self, now_s: float) -> None:
        self._returns_by_expected = {
            (service, at): returns
            for (service, at), returns in self._returns_by_expected.items()
            if at * _SAME_TIME_S >= now_s - _SAME_TIME_S
        }
