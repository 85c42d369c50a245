"""Callers return to a full server one after another.

Load pattern: keys that suddenly become hot. The server refuses what it cannot
serve, and all who were refused in the same moment returned in the same one.
"""

import asyncio
from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders.loaded_queue import (
    SLOTS,
    SPEED_PER_S,
    LoadedQueue,
    QueuedRoute,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.routing.pacing import OrderedReturns
from yuccadale_edge._internal.routing.queue_forecast import ServerPace
from yuccadale_edge.routing import AdmissionError

PER_S = 10.0
REMAINING_S = 3.0
HORIZON_S = REMAINING_S / 3
WAIT_S = 0.5
ROUTE = QueuedRoute(1)


def _book(
    returns: OrderedReturns, priority: int = 1, *, has_waited: bool = False
) -> float:
    return returns.book_s(
        priority=priority,
        has_waited=has_waited,
        per_s=PER_S,
        delay_s=WAIT_S,
        remaining_s=REMAINING_S,
    )


def _returns() -> OrderedReturns:
    return OrderedReturns(lambda: 10)


def test_returns_follow_what_the_server_completes() -> None:
    """Guards against returns in the same moment, or before there is room."""
    returns = _returns()
    booked_s = [_book(returns) for _ in range(10)]
    assert booked_s == pytest.approx(
        [WAIT_S + number / PER_S for number in range(1, 11)]
    )


def test_returns_use_a_third_of_the_remaining_time() -> None:
    """Guards against returns that leave no time for the answer."""
    returns = _returns()
    booked_s = [_book(returns) for _ in range(100)]
    assert max(booked_s) <= WAIT_S + HORIZON_S + 0.001
    by_tenth = Counter(round(one * PER_S) for one in booked_s)
    assert max(by_tenth.values()) == 100 / (HORIZON_S * PER_S)


def test_urgent_callers_and_those_that_waited_return_first() -> None:
    """Guards against urgent callers that return behind all others."""
    returns = _returns()
    refused_first_s = _book(returns, 1)
    waited_s = [_book(returns, 1, has_waited=True) for _ in range(3)]
    others_s = [_book(returns, 1) for _ in range(3)]
    assert waited_s[0] == refused_first_s
    patient_s = [_book(returns, 2) for _ in range(3)]
    urgent_s = [_book(returns, 0) for _ in range(3)]
    assert max(waited_s) < min(others_s)
    assert max(others_s) <= min(patient_s) + 1 / PER_S
    assert urgent_s == waited_s


@given(
    bookings=st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=60),
    per_s=st.floats(0.01, 1000),
    remaining_s=st.floats(0.05, 10),
)
def test_no_return_is_booked_outside_of_its_time(
    bookings: list[tuple[int, bool]], per_s: float, remaining_s: float
) -> None:
    """Guards against returns before the wait, or long after it."""
    returns = _returns()
    for priority, has_waited in bookings:
        booked_s = returns.book_s(
            priority=priority,
            has_waited=has_waited,
            per_s=per_s,
            delay_s=WAIT_S,
            remaining_s=remaining_s,
        )
        latest_s = WAIT_S + max(remaining_s / 3, 0.1)
        assert WAIT_S < booked_s <= latest_s + 0.001


@in_virtual_time
async def test_callers_refused_in_the_same_moment_return_apart() -> None:
    """Guards against a queue that does not book its refusals.

    Load: 30 requests at once for a server that can serve 10 a second.
    """
    server = LoadedQueue(0)
    await asyncio.gather(*(server.request(ROUTE) for _ in range(30)))
    at_once = [
        refusal
        for refused_s, refusal in server.outcomes.refusals
        if not refused_s
    ]
    assert {one.code for one in at_once} == {ResultCode.queue_full}
    returns_s = [refusal.expected_wait_s for refusal in at_once]
    assert len(returns_s) > 10
    # The requests in the queue take this long.
    assert min(returns_s) * SPEED_PER_S > 30 - len(returns_s) - SLOTS
    by_step = Counter(int(one * SPEED_PER_S) for one in returns_s)
    assert max(by_step.values()) <= len(returns_s) / 4


@in_virtual_time
async def test_who_waited_longest_returns_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that waited in vain and return last.

    Load: 4 requests of two priorities wait for a server that stops, and all are
    refused in the same moment.
    """
    server = LoadedQueue(0)
    server.stretch = 100
    returns: list[tuple[int, int, float]] = []

    async def call(number: int) -> None:
        priority = number % 2
        try:
            async with server.queue.admit(
                priority=priority,
                caller_retry=False,
                expected_service_s=0.1,
                # The later ones have to start first.
                remaining_s=REMAINING_S - number / 10,
                until_target_s=REMAINING_S - number / 10,
            ):
                await asyncio.sleep(REMAINING_S)
        except AdmissionError as error:
            returns.append((priority, number, error.expected_wait_s))

    calls = [asyncio.create_task(call(number)) for number in range(6)]
    await asyncio.sleep(0.01)
    monkeypatch.setattr(ServerPace, 'stretch', lambda *_: 100)
    await asyncio.gather(*calls)
    assert len(returns) == 4
    by_return = sorted(returns, key=lambda one: one[2])
    assert by_return == sorted(returns)


@in_virtual_time
async def test_only_callers_that_waited_have_an_advantage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an advantage for requests that did not wait.

    Load: 1.5 times the speed of a server for 5 s.
    """
    told: list[bool] = []
    book_s = OrderedReturns.book_s

    def record(returns: OrderedReturns, **named: Any) -> float:
        told.append(named['has_waited'])
        return book_s(returns, **named)

    monkeypatch.setattr(OrderedReturns, 'book_s', record)
    server = LoadedQueue(0)
    await server.load(5, QueuedRoute(SPEED_PER_S * 1.5))
    waited = Counter(bool(held_s) for held_s in server.outcomes.held_s)
    assert Counter(told) == waited
    assert len(waited) == 2
