"""Requests wait for a server only while it is plausible that it serves them.

Load pattern: one server with two slots gets more requests than it can serve.
"""

import asyncio
from collections.abc import Callable, Coroutine
from statistics import median
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders.loaded_queue import (
    SPEED_PER_S,
    LoadedQueue,
    Outcomes,
    QueuedRoute,
)
from tests.builders.virtual_time import VirtualTimeLoop, in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.routing.queue_forecast import (
    Capacity,
    ServerPace,
    WaitingRequest,
    not_served,
)

SEEDS = range(10)
OVERLOAD = 1.5
OVERLOAD_S = 5.0
ROUTE = QueuedRoute(SPEED_PER_S * OVERLOAD)
IDLE = Capacity(1, 0, 1, 0)


def _outcomes(
    scenario: Callable[[LoadedQueue], Coroutine[Any, Any, None]],
) -> Outcomes:
    total = Outcomes()
    for seed in SEEDS:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            seen = runner.run(_play(seed, scenario))
        total.arrived += seen.arrived
        total.in_time += seen.in_time
        total.late += seen.late
        total.refusals += seen.refusals
        total.held_s += seen.held_s
    return total


async def _play(
    seed: int, scenario: Callable[[LoadedQueue], Coroutine[Any, Any, None]]
) -> Outcomes:
    server = LoadedQueue(seed)
    await scenario(server)
    assert not server.queue.waiting
    return server.outcomes


def test_requests_are_not_held_in_vain_under_overload() -> None:
    """Guards against requests that wait for a start that never comes.

    Load: 1.5 times the speed of a server for 5 s. Each refused request had
    waited for 2.3 s, up to its latest start.
    """

    async def overload(server: LoadedQueue) -> None:
        await server.load(OVERLOAD_S, ROUTE)

    seen = _outcomes(overload)
    # The server stays busy with requests that are in time.
    assert seen.in_time[1] >= SPEED_PER_S * OVERLOAD_S * len(SEEDS)
    held_s = [held_s for held_s in seen.held_s if held_s]
    assert median(held_s) < ROUTE.target_s / 2
    assert sum(seen.held_s) / len(seen.held_s) < ROUTE.target_s / 3


def test_late_requests_are_served_after_a_burst() -> None:
    """Guards against refusals of requests that a server has time for.

    Load: three times the speed of a server for 0.7 s, then half of it.
    """

    async def burst(server: LoadedQueue) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(server.load(6, QueuedRoute(SPEED_PER_S / 2)))
            group.create_task(server.load(0.7, QueuedRoute(SPEED_PER_S * 3)))

    seen = _outcomes(burst)
    waited = [held_s for held_s in seen.held_s if held_s]
    assert seen.late[1] > 2 * len(waited)


@pytest.mark.parametrize('overload', [1.2, 4])
@pytest.mark.parametrize('overloading', [0, 2])
def test_no_priority_starves(overloading: int, overload: float) -> None:
    """Guards against a priority that gets nothing, whichever is too much.

    Load: one priority alone asks for 1.2 or 4 times the speed of a server for
    10 s, the two others for a fifth of it.
    """
    routes = [
        QueuedRoute(
            SPEED_PER_S * (overload if priority == overloading else 0.2),
            priority=priority,
        )
        for priority in range(3)
    ]

    async def play(server: LoadedQueue) -> None:
        await server.load(10, *routes)

    seen = _outcomes(play)
    served_by_priority = {
        priority: seen.in_time[priority] / arrived
        for priority, arrived in seen.arrived.items()
    }
    best = max(served_by_priority.values())
    assert min(served_by_priority.values()) > best / 10


def test_long_targets_do_not_starve_short_ones() -> None:
    """Guards against urgent requests that get nothing beside patient ones.

    Load: uploads with a target of 3 s alone ask for 1.5 times the speed of a
    server for 10 s, and reads with 0.8 s for a third of it.
    """
    reads = QueuedRoute(SPEED_PER_S / 3, 0.8, 2, 0)
    uploads = QueuedRoute(SPEED_PER_S * OVERLOAD, 3, 6, 2)

    async def overload(server: LoadedQueue) -> None:
        await server.load(10, reads, uploads)

    seen = _outcomes(overload)
    for priority, arrived in seen.arrived.items():
        assert seen.in_time[priority] > arrived / 10


@in_virtual_time
async def test_requests_do_not_wait_for_a_stalled_server() -> None:
    """Guards against full waits at a server that answers nothing.

    Load: 0.7 times the speed of a server that becomes 12 times slower.
    """
    server = LoadedQueue(0)
    await server.load(2, QueuedRoute(SPEED_PER_S * 0.7))
    server.stretch = 12
    await server.load(4, QueuedRoute(SPEED_PER_S * 0.7))
    assert median(server.outcomes.held_s) < ROUTE.timeout_s / 2


@in_virtual_time
async def test_a_request_without_a_chance_is_not_queued() -> None:
    """Guards against requests that are known to wait in vain at arrival.

    Load: a server that has been offered 1.5 times its speed for 5 s.
    """
    server = LoadedQueue(1)
    load = asyncio.create_task(server.load(OVERLOAD_S, ROUTE))
    await asyncio.sleep(OVERLOAD_S - 1)
    before = len(server.outcomes.refusals)
    await load
    held_s = server.outcomes.held_s[before:]
    assert held_s.count(0) > len(held_s) / 4


@in_virtual_time
async def test_a_caller_that_leaves_makes_room_at_once() -> None:
    """Guards against a request refused because of callers that have left."""
    server = LoadedQueue(0)
    calls = [asyncio.create_task(server.request(ROUTE)) for _ in range(8)]
    await asyncio.sleep(0)
    for call in calls[2:]:
        call.cancel()
    await asyncio.sleep(0)
    assert server.queue.waiting == 0
    await server.request(ROUTE)
    assert server.outcomes.in_time[1] == 3
    assert not server.outcomes.refusals


def test_late_requests_wait_for_those_in_time_that_still_arrive() -> None:
    """Guards against a forecast that only counts the present queue."""
    late = WaitingRequest(1, -1, 2, 0.5)
    in_time = WaitingRequest(2, 5, 9, 1)
    calm = IDLE._replace(share_in_time=0.4)
    assert not_served([in_time, late], calm, 0) == set()
    busy = IDLE._replace(share_in_time=0.6)
    assert not_served([in_time, late], busy, 0) == {1}
    full = IDLE._replace(share_in_time=1)
    assert not_served([late], full, 0) == {1}


def test_a_refused_request_makes_room_for_those_behind() -> None:
    """Guards against refusals because of requests that are refused, too."""
    waiting = [
        WaitingRequest(1, 9, 0.5, 1),
        WaitingRequest(2, 9, 1.5, 1),
    ]
    capacity = IDLE._replace(busy_s=1)
    assert not_served(waiting, capacity, 0) == {1}


def test_a_burst_is_not_taken_for_work_that_keeps_arriving() -> None:
    """Guards against refusals after a burst that is over.

    Load: 0.2 s with ten times the speed of a server.
    """
    now_s: float = 0
    pace = ServerPace(lambda: now_s)
    for _ in range(10):
        pace.add_arrival(0.2)
        now_s += 0.02
    now_s = 1.1
    assert not pace.share_in_time(1, 1)
    for _ in range(30):
        pace.add_arrival(0.2)
        now_s += 0.05
    assert pace.share_in_time(1, 1) == 1


def test_one_long_request_is_not_taken_for_a_slow_server() -> None:
    """Guards against refusals because one request takes long.

    Load: 20 requests of the usual time, then one that takes ten times as long;
    and 50 that all do.
    """
    now_s: float = 0
    pace = ServerPace(lambda: now_s)
    for _ in range(20):
        now_s += 0.1
        pace.add_completion(0.1, 0.1)
    assert 10 * pace.stretch([(0.1, 1)]) < 12
    for _ in range(50):
        now_s += 0.1
        pace.add_completion(0.1, 1)
    assert pace.stretch([]) > 5


_REQUESTS = st.lists(
    st.tuples(st.floats(-2, 5), st.floats(0, 5), st.floats(0.01, 2)),
    max_size=12,
)


@given(
    requests=_REQUESTS,
    slots=st.integers(1, 4),
    share=st.floats(0, 1),
    more=st.floats(0, 3),
)
def test_forecasts_agree_with_each_other(
    requests: list[tuple[float, float, float]],
    slots: int,
    share: float,
    more: float,
) -> None:
    """Guards against forecasts that depend on the order of checks.

    What a check leaves in the queue, the next one at the same time leaves,
    too; and more work in progress lets nobody start earlier.
    """
    waiting = [
        WaitingRequest(number, *request)
        for number, request in enumerate(requests)
    ]
    capacity = Capacity(slots, 0.1, 1, share)
    refused = not_served(waiting, capacity, 0)
    left = [one for one in waiting if one.number not in refused]
    assert not_served(left, capacity, 0) == set()
    first = waiting[:1]
    if not_served(first, capacity, 0):
        busier = capacity._replace(busy_s=0.1 + more)
        assert not_served(first, busier, 0)


@given(
    arrivals=st.lists(
        st.tuples(
            st.floats(0, 3), st.integers(0, 2), st.floats(0.1, 3), st.booleans()
        ),
        min_size=5,
        max_size=40,
    )
)
def test_each_request_ends_before_its_latest_start_or_runs(
    arrivals: list[tuple[float, int, float, bool]],
) -> None:
    """Guards against requests that are lost in any order of events.

    Load: up to 40 requests in 3 s, a part of whose callers leave early.
    """

    async def play() -> Outcomes:
        server = LoadedQueue(0)
        calls = [
            asyncio.create_task(_call_later(server, *arrival))
            for arrival in arrivals
        ]
        await asyncio.gather(*calls, return_exceptions=True)
        assert (server.queue.running, server.queue.waiting) == (0, 0)
        return server.outcomes

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        seen = runner.run(play())
    assert max(seen.held_s, default=0) <= 6
    codes = {refusal.code for _, refusal in seen.refusals}
    assert codes <= {ResultCode.queue_full, ResultCode.deadline_too_short}


async def _call_later(
    server: LoadedQueue,
    after_s: float,
    priority: int,
    target_s: float,
    leaves: bool,  # noqa: FBT001
) -> None:
    await asyncio.sleep(after_s)
    route = QueuedRoute(1, target_s, target_s * 2, priority)
    call = asyncio.create_task(server.request(route))
    if leaves:
        await asyncio.sleep(target_s / 4)
        call.cancel()
    await call
