"""Requests to a server that limits the requests a second.

Load pattern: for seconds, callers ask for several times the limit of a server,
with requests of different priorities.
"""

import asyncio
from collections import Counter
from math import inf

import pytest

from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge.routing import AdmissionError, ServerQueue

SLOTS = 3
SERVICE_S = 0.02
LIMIT_PER_S = 20.0
TARGET_S = 0.25


class LimitedServer:
    """A queue under a limit, and what became of the requests.

    Attributes:
        sent_s: when requests were sent.
        sent_by_priority: number of requests sent.
        refusals: the errors of the others, with their times.
        held_s: how long refused requests were held.
    """

    def __init__(self, per_s: float = LIMIT_PER_S) -> None:
        self.per_s = per_s
        self.loop = asyncio.get_running_loop()
        self.queue = ServerQueue(SLOTS, self.loop.time, lambda: self.per_s)
        self.sent_s: list[float] = []
        self.sent_by_priority: Counter[int] = Counter()
        self.refusals: list[tuple[float, AdmissionError]] = []
        self.held_s: list[float] = []

    async def request(self, priority: int = 1) -> None:
        """Sends one request, or records its refusal."""
        asked_s = self.loop.time()
        try:
            async with self.queue.admit(
                priority=priority,
                caller_retry=False,
                expected_service_s=SERVICE_S,
                remaining_s=2,
                until_target_s=TARGET_S,
            ):
                self.sent_s.append(self.loop.time())
                self.sent_by_priority[priority] += 1
                await asyncio.sleep(SERVICE_S)
        except AdmissionError as refusal:
            self.refusals.append((self.loop.time(), refusal))
            self.held_s.append(self.loop.time() - asked_s)

    async def load(self, per_s: float, for_s: float, *priorities: int) -> None:
        """Sends requests at a rate, with the priorities in turn."""
        async with asyncio.TaskGroup() as group:
            for number in range(round(per_s * for_s)):
                priority = priorities[number % len(priorities)]
                group.create_task(self.request(priority))
                await asyncio.sleep(1 / per_s)

    def sent_between(self, first_s: float, last_s: float) -> int:
        """Returns the number of requests sent in a span of time."""
        return sum(first_s <= sent_s < last_s for sent_s in self.sent_s)


@in_virtual_time
async def test_a_limit_is_kept_and_used_in_each_second() -> None:
    """Guards against a limit that is exceeded, or given away under load."""
    server = LimitedServer()
    await server.load(3 * LIMIT_PER_S, 10, 1)
    for tenths in range(5, 90):
        sent = server.sent_between(tenths / 10, tenths / 10 + 1)
        assert LIMIT_PER_S * 0.9 <= sent <= LIMIT_PER_S + 2


@in_virtual_time
async def test_no_burst_follows_a_pause_or_a_rise() -> None:
    """Guards against saved-up requests that are sent at once."""
    server = LimitedServer(2)
    await server.load(10, 3, 1)
    await asyncio.sleep(30)
    began_s = server.loop.time()
    await asyncio.gather(*(server.request() for _ in range(20)))
    assert server.sent_between(began_s, began_s + 0.4) <= 2
    server.per_s = LIMIT_PER_S
    rise_s = server.loop.time()
    await server.load(200, 2, 1)
    assert server.sent_between(rise_s, rise_s + 1) <= LIMIT_PER_S + 2


@in_virtual_time
async def test_a_limit_that_begins_under_load_holds_at_once() -> None:
    """Guards against requests sent for the time before the limit."""
    server = LimitedServer(inf)
    await server.load(100, 1, 1)
    server.per_s = LIMIT_PER_S
    began_s = server.loop.time()
    await server.load(100, 2, 1)
    assert server.sent_between(began_s, began_s + 1) <= LIMIT_PER_S + 1


@in_virtual_time
async def test_excess_is_refused_at_once() -> None:
    """Guards against requests that are held although they cannot be sent."""
    server = LimitedServer()
    await server.load(5 * LIMIT_PER_S, 5, 1)
    codes = {refusal.code for _, refusal in server.refusals}
    assert codes == {ResultCode.server_limited}
    assert max(server.held_s) < TARGET_S + 0.001
    held = [held_s for held_s in server.held_s if held_s]
    assert len(held) <= len(server.held_s) * 0.1


@in_virtual_time
async def test_urgent_requests_go_first_and_none_starve() -> None:
    """Guards against low priorities that get nothing, or as much as others."""
    server = LimitedServer()
    await server.load(6 * LIMIT_PER_S, 20, 0, 1, 2)
    total = server.sent_by_priority.total()
    assert server.sent_by_priority[0] > total / 2
    # A quarter of the share that each would get without priorities.
    for priority in (1, 2):
        assert server.sent_by_priority[priority] >= total / 3 / 4


@in_virtual_time
async def test_returns_of_refused_callers_are_spread() -> None:
    """Guards against callers that all return at the same moment."""
    server = LimitedServer()
    await asyncio.gather(*(server.request() for _ in range(60)))
    returns_s = sorted(
        refused_s + refusal.expected_wait_s
        for refused_s, refusal in server.refusals
    )
    assert len(returns_s) > 40
    by_interval = Counter(int(moment_s * LIMIT_PER_S) for moment_s in returns_s)
    assert max(by_interval.values()) <= 3


@pytest.mark.parametrize('per_s', [LIMIT_PER_S, 0.25])
@in_virtual_time
async def test_waiting_requests_go_when_the_limit_rises(per_s: float) -> None:
    """Guards against a timer of the old limit that delays requests."""
    server = LimitedServer(per_s)
    await server.request()
    waiting = asyncio.create_task(server.request())
    await asyncio.sleep(0.01)
    server.per_s = inf
    server.queue.admit_next()
    await waiting
    assert len(server.sent_s) + len(server.refusals) == 2
    assert server.loop.time() * 1000 < 100
