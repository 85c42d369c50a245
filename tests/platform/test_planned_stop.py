"""A planned stop of one instance, in calm, while callers go on.

Guards against requests that are accepted late in the grace period and cut off
at its end without an answer, some of which may not be repeated.
"""

import asyncio
import itertools
import time
from dataclasses import dataclass

import pytest

from tests.builders.platform_system import HOST, PlatformSystem, platform_system
from yuccadale_edge.instance import Bounds

GRACE_S = 1.5
INTERVAL_S = 0.1
_NUMBERS = itertools.count()
_NOT_RUN = 503


@dataclass
class SentRequest:
    """A request of a caller and its answer.

    Attributes:
        status: of the answer, None without a whole answer.
    """

    request_id: str
    status: int | None = None


def _request(request_id: str) -> bytes:
    return (
        f'POST /once/x HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 2000\r\n'
        f'Content-Length: 0\r\n\r\n'
    ).encode()


async def _read_status(reader: asyncio.StreamReader) -> int:
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    await reader.readexactly(length)
    return int(head.split()[1])


def _new_request() -> SentRequest:
    return SentRequest(f'stop-{next(_NUMBERS)}')


async def _send_on_new_connection(
    system: PlatformSystem, name: str
) -> SentRequest:
    sent = _new_request()
    address = system.settings_by_name[name].caller_address
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return sent
    writer.write(_request(sent.request_id))
    try:
        sent.status = await _read_status(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        sent.status = None
    writer.close()
    return sent


async def _new_connections(
    system: PlatformSystem, name: str
) -> list[SentRequest]:
    tasks = []
    for _ in range(int(GRACE_S / INTERVAL_S)):
        tasks.append(asyncio.create_task(_send_on_new_connection(system, name)))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


async def _pipelined(system: PlatformSystem, name: str) -> list[SentRequest]:
    """Sends requests behind each other on one connection."""
    address = system.settings_by_name[name].caller_address
    reader, writer = await asyncio.open_connection(*address)
    all_sent = [_new_request() for _ in range(int(GRACE_S / INTERVAL_S))]

    async def send() -> None:
        for sent in all_sent:
            writer.write(_request(sent.request_id))
            await asyncio.sleep(INTERVAL_S)

    sending = asyncio.create_task(send())
    try:
        for sent in all_sent:
            sent.status = await _read_status(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        sending.cancel()
    writer.close()
    return all_sent


@pytest.mark.parametrize('work_s', [0.05, 0.3, 0.8])
async def test_requests_late_in_the_grace_period_get_a_true_answer(
    work_s: float,
) -> None:
    """Guards against connections that are closed while their request runs."""
    async with platform_system(keyed=0, unkeyed=3) as system:
        name = await system.add_instance()
        await system.add_instance('b')
        servers = list(system.server_by_id.values())
        for slow in servers:
            slow.work_s = work_s
        await _send_on_new_connection(system, name)
        system.instance_by_name[name].stop()
        new, pipelined = await asyncio.gather(
            _new_connections(system, name), _pipelined(system, name)
        )
        await asyncio.wait_for(system.task_by_name[name], 5)
        ran = set[str]().union(*(server.executions for server in servers))
    for request in (*new, *pipelined):
        if request.request_id in ran:
            assert request.status == 200
        else:
            assert request.status in {None, _NOT_RUN}
    if work_s < INTERVAL_S:
        assert sum(sent.status == 200 for sent in new) >= len(new) / 3


async def _status_at_the_end(blocked_s: float = 0) -> int | None:
    """Returns the status for a request that outlasts the grace period.

    Args:
        blocked_s: how long the event loop stands still around the end.
    """
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        system.server_by_id['p0'].work_s = GRACE_S + 1
        request = asyncio.create_task(_send_on_new_connection(system, name))
        await asyncio.sleep(0.1)
        system.instance_by_name[name].stop()
        await asyncio.sleep(GRACE_S - 0.5)
        time.sleep(blocked_s)
        return (await request).status


async def test_a_request_that_outlasts_the_grace_period_gets_an_answer() -> (
    None
):
    """Guards against a caller that learns nothing from a closed connection."""
    assert await _status_at_the_end() == 502


async def test_a_process_that_is_late_at_the_end_still_answers() -> None:
    """Guards against a refusal that is made, but not written, at the end.

    The end of the grace period, and the time at which connections are aborted,
    pass within one step of the event loop of a process without processor time.
    """
    assert await _status_at_the_end(blocked_s=0.4) == 502


async def test_no_request_is_forwarded_to_an_instance_that_ends() -> None:
    """Guards against forwarded requests that end with the sender's process."""
    async with platform_system(keyed=1, unkeyed=0) as system:
        names = [await system.add_instance() for _ in range(3)]
        for name in names:
            await system.wait_until_served(name, 7)
        system.server_by_id['k0'].work_s = 0.3
        await system.wait_until_served(names[0], 7)
        statuses = []
        for stopped in names[1:]:
            system.instance_by_name[stopped].stop()
            for _ in range(10):
                status, _, _ = await system.send_request(
                    names[0],
                    '/keyed/x',
                    key=7,
                    request_id=f'via-{next(_NUMBERS)}',
                )
                statuses.append(status)
            await asyncio.wait_for(system.task_by_name[stopped], 5)
    assert set(statuses) <= {200, _NOT_RUN}
    assert statuses.count(200) > len(statuses) * 0.8


async def test_a_request_late_in_a_stop_is_refused_at_once() -> None:
    """Guards against a request that is accepted and broken off.

    The route's requests took a moment until then; this one takes longer than
    the rest of the grace period (review case 5).
    """
    async with platform_system(keyed=0) as system:
        name = await system.add_instance(bounds=Bounds(grace_s=4))
        server = system.server_by_id['p0']
        for _ in range(5):
            await _send_on_new_connection(system, name)
        server.work_s = 1.5
        address = system.settings_by_name[name].caller_address
        reader, writer = await asyncio.open_connection(*address)
        first, second = _new_request(), _new_request()
        system.instance_by_name[name].stop()
        # The load balancer sends no new connections from 2.5 s on.
        await asyncio.sleep(1.7)
        writer.write(_request(first.request_id))
        await asyncio.sleep(1)
        writer.write(_request(second.request_id))
        assert await _read_status(reader) == 200
        assert await _read_status(reader) == _NOT_RUN
        writer.close()
        assert first.request_id in server.executions
        assert second.request_id not in server.executions
