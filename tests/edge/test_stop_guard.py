"""Which requests a stopping instance accepts, without a network."""

from math import inf, isinf

import pytest

from yuccadale_edge._internal.routing.requests import Refused
from yuccadale_edge._internal.routing.server_queue import ServiceTimes
from yuccadale_edge._internal.routing.stop_guard import StopGuard, estimate_s

_ENDS_S = 6.0
_ESTIMATES_UNTIL_S = 2.5
_ROUTE = 'report'


def _deadline_s(
    now_s: float, deadline_s: float, expected_s: float = inf
) -> float | Refused:
    guard = StopGuard(lambda: now_s)
    guard.begin(_ENDS_S, _ESTIMATES_UNTIL_S)
    return guard.bounded_deadline_s(deadline_s, expected_s)


@pytest.mark.parametrize('now_s', [0.1, 2.6, 5.9])
def test_a_request_that_surely_ends_is_accepted(now_s: float) -> None:
    """Guards against refusals of requests that have the time they need."""
    assert _deadline_s(now_s, _ENDS_S) == _ENDS_S


@pytest.mark.parametrize('now_s', [2.6, 3.2, 5.9])
def test_late_in_a_stop_no_estimate_decides(now_s: float) -> None:
    """Guards against a request that is broken off (review case 5).

    A request unlike the others of its route takes longer than they do.
    """
    assert isinstance(_deadline_s(now_s, _ENDS_S + 0.1, 0.01), Refused)


@pytest.mark.parametrize(
    ('expected_s', 'accepted'), [(0.5, True), (4.0, True), (4.1, False)]
)
def test_while_new_callers_arrive_an_estimate_decides(
    expected_s: float, accepted: bool
) -> None:
    """Guards against refusals of all requests with long deadlines."""
    bounded_s = _deadline_s(2.0, _ENDS_S + 2, expected_s)
    assert (bounded_s == _ENDS_S) == accepted


def test_a_forwarded_request_is_not_accepted_by_an_estimate() -> None:
    """Guards against forwarded requests that end with the sender's process."""
    assert isinstance(_deadline_s(0.1, _ENDS_S + 0.1), Refused)


def test_an_estimate_counts_the_longest_answer() -> None:
    """Guards against a mean that hides a few long requests."""
    times = ServiceTimes()
    assert isinf(estimate_s(times, _ROUTE))
    times.record(_ROUTE, 4)
    for _ in range(20):
        times.record(_ROUTE, 0.01)
    assert times.mean_s(_ROUTE) < 1
    assert estimate_s(times, _ROUTE) > 3
