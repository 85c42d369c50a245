"""Admission control and order of the queue of a server."""

import asyncio

import pytest

from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge.routing import AdmissionError, ServerQueue

LIMIT = 2
SERVICE_S = 0.1


def _queue() -> ServerQueue:
    return ServerQueue(LIMIT, asyncio.get_running_loop().time)


async def _serve(
    queue: ServerQueue,
    done: list[str],
    name: str,
    *,
    priority: int = 1,
    caller_retry: bool = False,
    remaining_s: float = 5.0,
    until_target_s: float = 5.0,
) -> None:
    async with queue.admit(
        priority=priority,
        caller_retry=caller_retry,
        expected_service_s=SERVICE_S,
        remaining_s=remaining_s,
        until_target_s=until_target_s,
    ):
        await asyncio.sleep(SERVICE_S)
        done.append(name)


@in_virtual_time
async def test_running_requests_never_exceed_the_limit() -> None:
    """Guards against more concurrent requests than a server has slots."""
    queue = _queue()
    seen: list[int] = []

    async def request() -> None:
        async with queue.admit(
            priority=1,
            caller_retry=False,
            expected_service_s=SERVICE_S,
            remaining_s=9,
            until_target_s=9,
        ):
            seen.append(queue.running)
            await asyncio.sleep(SERVICE_S)

    await asyncio.gather(*(request() for _ in range(10)))
    assert max(seen) == LIMIT
    assert queue.running == 0


@in_virtual_time
async def test_urgent_requests_and_caller_retries_go_first() -> None:
    """Guards against an urgent request that waits behind less urgent ones."""
    queue = _queue()
    done: list[str] = []
    async with asyncio.TaskGroup() as group:
        for name in ('first', 'second'):
            group.create_task(_serve(queue, done, name))
        await asyncio.sleep(0)
        group.create_task(_serve(queue, done, 'low', priority=2))
        group.create_task(_serve(queue, done, 'new'))
        group.create_task(_serve(queue, done, 'retry', caller_retry=True))
        group.create_task(_serve(queue, done, 'urgent', priority=0))
    assert done == ['first', 'second', 'urgent', 'retry', 'new', 'low']


@in_virtual_time
async def test_the_request_with_the_earliest_start_goes_first() -> None:
    """Guards against a missed short target behind requests with long ones.

    Requests with a target of 600 ms waited behind all those with 800 ms.
    """
    queue = _queue()
    done: list[str] = []
    async with asyncio.TaskGroup() as group:
        for name in ('first', 'second'):
            group.create_task(_serve(queue, done, name))
        await asyncio.sleep(0)
        for number in range(4):
            group.create_task(
                _serve(
                    queue, done, f'long{number}', priority=1, until_target_s=0.8
                )
            )
        group.create_task(
            _serve(queue, done, 'short', priority=2, until_target_s=0.4)
        )
    assert done[2] == 'short'


@in_virtual_time
async def test_requests_past_their_target_go_last() -> None:
    """Guards against a queue that only serves requests past their target.

    After a loss of all instances callers reconnected at once, and for 4 s each
    request was answered after its target.
    """
    queue = _queue()
    done: list[str] = []
    slow = [asyncio.create_task(_hold(queue, 1.0)) for _ in range(LIMIT)]
    await asyncio.sleep(0)
    async with asyncio.TaskGroup() as group:
        for number in range(4):
            group.create_task(
                _serve(queue, done, f'late{number}', until_target_s=0.5)
            )
        await asyncio.sleep(0.9)
        group.create_task(_serve(queue, done, 'new', until_target_s=0.5))
    await asyncio.gather(*slow)
    assert done[0] == 'new'
    assert sorted(done[1:]) == [f'late{number}' for number in range(4)]


@in_virtual_time
async def test_a_request_that_would_miss_its_deadline_is_refused() -> None:
    """Guards against queueing a request that cannot be answered in time."""
    queue = _queue()
    done: list[str] = []
    running = [
        asyncio.create_task(_serve(queue, done, f'{number}'))
        for number in range(12)
    ]
    await asyncio.sleep(0)
    started_s = asyncio.get_running_loop().time()
    with pytest.raises(AdmissionError) as refused:
        await _serve(queue, done, 'late', remaining_s=0.2)
    assert asyncio.get_running_loop().time() == started_s
    assert refused.value.code == ResultCode.deadline_too_short
    assert refused.value.expected_wait_s > 0
    await asyncio.gather(*running)


@in_virtual_time
async def test_a_cancelled_request_frees_its_place() -> None:
    """Guards against places that stay taken by cancelled requests."""
    queue = _queue()
    done: list[str] = []
    tasks = [
        asyncio.create_task(_serve(queue, done, f'{number}'))
        for number in range(6)
    ]
    await asyncio.sleep(SERVICE_S / 2)
    for task in tasks[:4]:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert done == ['4', '5']
    assert queue.running == 0
    assert queue.waiting == 0


@in_virtual_time
async def test_a_queued_request_is_refused_at_its_latest_start() -> None:
    """Guards against waiting past the latest start that meets the deadline."""
    queue = _queue()
    done: list[str] = []
    slow = [asyncio.create_task(_hold(queue, 3.0)) for _ in range(LIMIT)]
    await asyncio.sleep(0)
    with pytest.raises(AdmissionError):
        await _serve(queue, done, 'waits', remaining_s=1.0)
    assert asyncio.get_running_loop().time() < 2
    await asyncio.gather(*slow)


async def _hold(queue: ServerQueue, for_s: float) -> None:
    async with queue.admit(
        priority=1,
        caller_retry=False,
        expected_service_s=SERVICE_S,
        remaining_s=9,
        until_target_s=9,
    ):
        await asyncio.sleep(for_s)
