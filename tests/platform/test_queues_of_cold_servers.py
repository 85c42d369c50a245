"""Requests for a service of which some servers are cold, in virtual time.

Load: requests without keys while a server starts, or becomes cold with requests
in its queue. Warm servers have room for all of them.
"""

import asyncio
from unittest.mock import AsyncMock

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.queued_requests import SendingInstance, sending_instance
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.model import ServerState
from yuccadale_edge._internal.routing.requests import Served

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
