"""Queue, rate and retry limits, and the budget of the region link."""

import asyncio
from itertools import repeat

import pytest

from tests.builders.request_world import (
    GROUP,
    Node,
    World,
    calendar,
    deposit,
    make_service,
)
from tests.builders.virtual_time import in_virtual_time, virtual_ms
from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.instances import ServerRef
from yuccadale_core.targets import TargetFailureKind
from yuccadale_router._internal.requests.answers import CallerAnswer
from yuccadale_router._internal.requests.region_budget import RegionBudget
from yuccadale_router._internal.requests.retry_budget import RetryBudget
from yuccadale_router._internal.requests.slow_requests import (
    SlowRequest,
    SlowRequests,
)


def _one_server(delay_ms: float, **changes: int) -> tuple[World, Node]:
    world = World(make_service(concurrency=1, **changes), servers=1)
    world.server_by_name['s0'].delay_ms = delay_ms
    node = world.node('a')
    node.lead(2)
    return world, node


def _codes(answers: list[CallerAnswer]) -> list[ResultCode | None]:
    return [answer.refusal and answer.refusal.code for answer in answers]


@in_virtual_time
async def test_full_queue_drops_the_lowest_priority() -> None:
    """Guards against a queue so full of browsing that deposits are refused."""
    _, node = _one_server(10, queue_limit=4)
    browsing = [
        asyncio.create_task(node.ask(calendar(f'k{number}')))
        for number in range(7)
    ]
    await asyncio.sleep(0.001)
    deposits = await asyncio.gather(
        *(node.ask(deposit(f'd{number}', f'd{number}')) for number in (1, 2))
    )
    assert _codes(deposits) == [None, None]
    codes = _codes(await asyncio.gather(*browsing))
    # One is at the server, four wait, and the deposits displace two.
    assert codes.count(ResultCode.queue_full) == 4
    assert codes.count(None) == 3


@in_virtual_time
async def test_key_gets_half_of_the_queue() -> None:
    """Guards against one hot key that fills a shared queue."""
    _, node = _one_server(10, queue_limit=8)
    hot = [asyncio.create_task(node.ask(calendar())) for _ in range(9)]
    await asyncio.sleep(0.001)
    other = await node.ask(calendar('stage-2'))
    assert other.refusal is None
    codes = _codes(await asyncio.gather(*hot))
    assert codes.count(ResultCode.key_share_exceeded) == 4


@in_virtual_time
async def test_key_gets_half_of_the_time() -> None:
    """Guards against a hot key that uses all the time of a server."""
    _, node = _one_server(10)
    ended: list[str] = []

    async def ask(key: str, deadline_ms: float) -> None:
        await node.ask(calendar(key, deadline_ms=deadline_ms))
        ended.append(key)

    # The hot key has earlier deadlines and would be first by queue order.
    await asyncio.gather(
        *(ask('hot', 3000) for _ in range(20)),
        *(ask(f'k{number}', 4000) for number in range(10)),
    )
    assert ended[:12].count('hot') <= 7


@in_virtual_time
async def test_work_that_would_miss_its_deadline_is_refused_early() -> None:
    """Guards against queued work that cannot meet its deadline."""
    world, node = _one_server(20)
    for _ in range(30):
        await node.ask(calendar())
    pending = [
        asyncio.create_task(node.ask(calendar(f'k{n}', deadline_ms=100)))
        for n in range(20)
    ]
    await asyncio.sleep(0.001)
    refused = [task.result() for task in pending if task.done()]
    assert len(refused) >= 14
    assert set(_codes(refused)) == {ResultCode.deadline_too_short}
    served = _codes(await asyncio.gather(*pending)).count(None)
    assert served == 4
    assert world.server_by_name['s0'].runs.total() == 30 + served


@in_virtual_time
async def test_overload_keeps_the_goodput() -> None:
    """Guards against a server that spends its time on expired requests."""
    world, node = _one_server(10)
    pending = []
    for number in range(400):
        request = calendar(f'k{number}', deadline_ms=60)
        pending.append(asyncio.create_task(node.ask(request)))
        await asyncio.sleep(0.005)
    answers = await asyncio.gather(*pending)
    delivered = _codes(answers).count(None)
    # 200 requests of 10 ms fit into 2,000 ms; at least 90 % must succeed.
    assert delivered >= 180
    assert delivered >= 0.9 * world.server_by_name['s0'].runs.total()


@pytest.mark.parametrize('reason', ['cold', 'shedding'])
@in_virtual_time
async def test_rate_starts_low_and_rises(reason: str) -> None:
    """Guards against full load on a server that is cold or sheds load."""
    world, node = _one_server(5)
    server = world.server_by_name['s0']
    await node.ask(calendar())
    if reason == 'cold':
        dispatcher = node.dispatchers.find(GROUP)
        assert dispatcher
        dispatcher.server_added(ServerRef('s0', 's0', 'rack'), cold=True)
    else:
        server.failures.extend(repeat(TargetFailureKind.shedding, 4))
        await asyncio.gather(
            *(node.ask(calendar(deadline_ms=50)) for _ in range(4))
        )
    runs = []
    pending = [asyncio.create_task(node.ask(calendar())) for _ in range(90)]
    for _ in range(4):
        before = server.runs.total()
        await asyncio.sleep(0.1)
        runs.append(server.runs.total() - before)
    # At full rate a server completes 20 requests in 100 ms.
    assert runs[0] < 12
    assert runs[-1] > runs[0]
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)


def test_retries_are_a_tenth_of_first_attempts() -> None:
    """Guards against retries that amplify an overload."""
    budget = RetryBudget()
    while budget.try_spend():
        """Spends the initial allowance."""
    taken = 0
    for _ in range(1000):
        budget.count_first_attempt()
        taken += budget.try_spend()
    assert 95 <= taken <= 100


@in_virtual_time
async def test_spent_budget_does_not_hide_the_outcome() -> None:
    """Guards against a "not run" for work that an earlier attempt started."""
    world, node = _one_server(1)
    server = world.server_by_name['s0']
    server.failures.append(TargetFailureKind.lost)
    server.failures.extend(repeat(TargetFailureKind.shedding, 40))
    answer = await node.ask(calendar())
    assert answer.refusal
    assert answer.refusal.outcome == Outcome.unknown


@in_virtual_time
async def test_region_link_sends_higher_priorities_first() -> None:
    """Guards against browsing that delays deposits between regions."""
    counters = Counters()
    budget = RegionBudget(virtual_ms, counters, lambda: 100_000)
    order: list[int] = []

    async def send(priority: int, limit_ms: float) -> bool:
        admitted = await budget.admit(
            'pl-south',
            'ledger',
            priority=priority,
            body_bytes=1800,
            limit_ms=limit_ms,
        )
        if admitted:
            order.append(priority)
        return admitted

    browsing = [asyncio.create_task(send(3, 300)) for _ in range(50)]
    await asyncio.sleep(0.01)
    started_ms = virtual_ms()
    assert await send(1, 300)
    assert virtual_ms() - started_ms < 25
    sent = sum(await asyncio.gather(*browsing))
    # The reserve leaves 7,000 bytes at once, then 100 bytes per ms.
    assert 12 <= sent <= 18
    count = counters.snapshot()['region_bytes.ledger.pl-south']
    assert count == len(order) * 2000


@in_virtual_time
async def test_forward_between_regions_is_counted() -> None:
    """Guards against forwards and answers missing from the byte count."""
    world = World()
    entry = world.node('a', 'krakow-a')
    leader = world.node('b')
    leader.lead(2, announce_to=[entry])
    answer = await entry.ask(calendar(body=b'x' * 1000))
    assert answer.refusal is None
    name = 'region_bytes.ledger.pl-{}'
    assert entry.counters.snapshot()[name.format('central')] == 1200
    assert leader.counters.snapshot()[name.format('south')] == 1200


def test_slow_requests_are_bounded_and_expire() -> None:
    """Guards against a list that grows without bound or keeps old requests."""
    now_ms: list[float] = [0]
    slow = SlowRequests(lambda: now_ms[0], limit=3)
    for duration_ms in (5, 9, 1, 7, 3):
        if slow.is_among_slowest('ledger', duration_ms):
            slow.add(SlowRequest('ledger', 'k', '', duration_ms, 0, 0, ()))
    kept = [request.duration_ms for request in slow.slowest('ledger')]
    assert kept == [9, 7, 5]
    now_ms[0] = 700_000
    assert slow.is_among_slowest('ledger', 1)
    assert not slow.slowest('ledger')


@in_virtual_time
async def test_records_expire_and_their_memory_is_bounded() -> None:
    """Guards against records that are dropped too early or never."""
    world, node = _one_server(1, retry_window_s=10)
    await node.ask(deposit('w'))
    await asyncio.sleep(11)
    again = await node.ask(deposit('w', first_sent_ago_ms=9_900))
    assert [hop.name for hop in again.hops] == ['record', 'entry']
    await asyncio.sleep(2)
    dispatcher = node.dispatchers.find(GROUP)
    assert dispatcher
    assert not dispatcher.export_records()
