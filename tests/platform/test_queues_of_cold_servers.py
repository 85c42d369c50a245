"""Requests for a service of which some servers are cold, in virtual time.

Load: requests without keys while a server starts, or becomes cold with requests
in its queue. Warm servers have room for all of them.
"""

import asyncio
from itertools import pairwise
from unittest.mock import AsyncMock

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.queued_requests import SendingInstance, sending_instance
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Server, ServerState
from yuccadale_edge._internal.routing.codec import InvalidWarmUpError
from yuccadale_edge._internal.routing.requests import Served
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_platform._internal.requests import PlatformCodec

COLD_PER_S = 5


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _servers_used(instance: SendingInstance) -> list[str]:
    return [one.server_id for one in instance.servers.sent]


@in_virtual_time
async def test_warm_servers_serve_what_a_cold_one_does_not_take() -> None:
    """Guards against callers that wait, or are refused, for a cold server."""
    async with sending_instance('a', 'b', 'c') as instance:
        instance.limit_cold_servers(COLD_PER_S)
        instance.servers.work_s = 0.02
        instance.make_cold('a', 5)
        requests = []
        for number in range(300):
            requests.append(instance.start_request(f'r{number}'))
            await asyncio.sleep(0.01)
        results = await asyncio.gather(*requests)
        assert all(isinstance(one, Served) for one in results)
        # Less than until the next request may be sent to the cold server.
        assert max(one.waited_ms for one in results) <= 100
        assert 10 <= _servers_used(instance).count('a') <= 17


@in_virtual_time
async def test_a_slow_warm_server_is_chosen_while_the_pace_is_used_up() -> None:
    """Guards against a wait for a cold server that looks short."""
    async with sending_instance('a', 'b') as instance:
        instance.limit_cold_servers(COLD_PER_S)
        instance.make_cold('a', 5)
        instance.slow_down('b', 8)
        requests = [instance.start_request(f'r{number}') for number in range(2)]
        await asyncio.sleep(0.01)
        assert _servers_used(instance) == ['a', 'b']
        await asyncio.gather(*requests)


@in_virtual_time
async def test_requests_that_were_queued_return_one_after_another() -> None:
    """Guards against callers that all return at the same time."""
    async with sending_instance('a') as instance:
        instance.limit_cold_servers(COLD_PER_S)
        requests = [instance.start_request(f'r{number}') for number in range(6)]
        await asyncio.sleep(0.1)
        instance.make_cold('a', 9)
        results = await asyncio.gather(*requests[1:])
        assert {one.code for one in results} == {ResultCode.server_limited}
        returns_s = sorted(one.retry_after_s for one in results)
        assert all(
            later_s - earlier_s > 0.95 / COLD_PER_S
            for earlier_s, later_s in pairwise(returns_s)
        )


@in_virtual_time
async def test_requests_queued_for_a_server_that_becomes_cold_move() -> None:
    """Guards against requests that are held for a server that became cold."""
    async with sending_instance('a') as instance:
        instance.limit_cold_servers(COLD_PER_S)
        requests = [instance.start_request(f'r{number}') for number in range(4)]
        await asyncio.sleep(0.1)
        assert _servers_used(instance) == ['a']
        for server_id in 'bcd':
            instance.apply_entry(server_id, ServerState.ready)
        instance.make_cold('a', 9)
        await asyncio.sleep(0.5)
        assert sorted(_servers_used(instance)) == ['a', 'b', 'c', 'd']
        results = await asyncio.gather(*requests)
        assert all(isinstance(one, Served) for one in results)


@in_virtual_time
async def test_a_request_whose_connection_opens_later_moves() -> None:
    """Guards against many admitted requests that connect at the same time."""
    async with sending_instance('a') as instance:
        instance.limit_cold_servers(COLD_PER_S)
        instance.servers.connect_s = 0.3
        request = instance.start_request('r')
        await asyncio.sleep(0.1)
        instance.apply_entry('b', ServerState.ready)
        instance.make_cold('a', 9)
        assert isinstance(await request, Served)
        assert _servers_used(instance) == ['b']


@in_virtual_time
async def test_requests_through_another_sender_are_spaced() -> None:
    """Guards against callers whom many cold servers refuse in turn."""
    async with sending_instance('a', 'b', 'c') as instance:
        instance.limit_cold_servers(COLD_PER_S)
        instance.servers.work_s = 0.5
        instance.make_cold('a', 5)
        instance.forwarder.limit_sender.return_value = 'another'
        instance.forwarder.forward = AsyncMock(
            return_value=Served(200, [], b'', 'a', 1, 0, 1, 1)
        )
        requests = []
        for number in range(60):
            requests.append(instance.start_request(f'r{number}'))
            await asyncio.sleep(0.05)
        await asyncio.gather(*requests)
        # In 3 s; the warm servers are busy, so that it is chosen when possible.
        assert 10 <= instance.forwarder.forward.await_count <= 16


@in_virtual_time
async def test_a_process_that_resumes_paces_its_requests() -> None:
    """Guards against a burst of requests from before the stop of a process.

    Its housekeeping does not run, like that of a process that is stopped.
    """
    async with sending_instance('a', is_maintained=False) as instance:
        instance.limit_cold_servers(COLD_PER_S)
        instance.servers.work_s = 0.02
        instance.dispatcher.maintain_queues()
        await asyncio.sleep(3)
        requests = [instance.start_request(f'r{number}') for number in range(9)]
        await asyncio.sleep(0.5)
        assert len(_servers_used(instance)) <= 2
        # No newer entry is confirmed: the store is away.
        for _ in range(7):
            instance.dispatcher.maintain_queues()
            await asyncio.sleep(0.2)
        await asyncio.gather(*requests)
        assert isinstance(await instance.start_request('later'), Served)


@in_virtual_time
async def test_services_without_the_limit_use_a_cold_server() -> None:
    """Guards against a change for deployments without ``cold_per_s``."""
    async with sending_instance('a') as instance:
        instance.servers.work_s = 0.02
        instance.make_cold('a', 5)
        for number in range(30):
            assert isinstance(
                await instance.start_request(f'r{number}'), Served
            )
        assert len(_servers_used(instance)) == 30


def _health_response(*texts: bytes, status: int = 200) -> Answer:
    return Answer(status, [(b'x-warmup-ms', text) for text in texts])


def test_health_responses_are_read() -> None:
    """Guards against a cold period that is lost or far too long.

    A response of another server at the address says nothing.
    """
    codec = PlatformCodec()
    read = codec.remaining_warm_up_s
    assert read(_health_response(b'0')) == 0
    assert read(_health_response(b' 2500')) == pytest.approx(2.5)
    assert read(_health_response(b'2500', status=503)) == pytest.approx(2.5)
    assert read(_health_response()) is None
    assert read(_health_response(b'0', status=421)) is None
    for texts in ((b'-1',), (b'soon',), (b'999999999',), (b'1', b'2')):
        with pytest.raises(InvalidWarmUpError):
            read(_health_response(*texts))


def test_a_health_request_names_its_server() -> None:
    """Guards against a response of a server that has taken the address."""
    server = Server('s', 'x', ('10.0.0.1', 8), 'a', 1, ServerState.ready, 1, 0)
    request = PlatformCodec().encode_health_request(server, '/health')
    assert request == (
        b'GET /health HTTP/1.1\r\nHost: 10.0.0.1:8\r\n'
        b'x-expect-instance: s\r\n\r\n'
    )
