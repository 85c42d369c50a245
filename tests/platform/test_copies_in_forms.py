"""Copies of earlier answers in forms that are hard to tell from an answer."""

import asyncio
import itertools

import pytest

from tests.builders.copying_server import FORMS, CopyingServer
from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import (
    PlatformSystem,
    configuration,
    platform_system,
    route,
)
from tests.builders.raw_server import run_raw_server

_REQUESTS = 90
_GAP_S = 0.01
_PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


async def _send_all(system: PlatformSystem, names: list[str]) -> dict[str, int]:
    """Sends unsafe requests to all instances; returns statuses by id."""
    status_by_id: dict[str, int] = {}

    async def send(name: str, number: int) -> None:
        request_id = f'{name}-{number}'
        status, _, _ = await system.send_request(
            name, '/keyed/x', key=number, request_id=request_id
        )
        status_by_id[request_id] = status

    async with asyncio.TaskGroup() as group:
        turns = zip(itertools.cycle(names), range(_REQUESTS), strict=False)
        for name, number in turns:
            group.create_task(send(name, number))
            await asyncio.sleep(_GAP_S)
    return status_by_id


@pytest.mark.parametrize('form', sorted(FORMS))
async def test_no_form_of_a_copy_breaks_a_promise(form: str) -> None:
    """Guards against a refusal of a request that runs, or runs twice.

    Copies of refusals and of other answers of the connection come while
    another request is under way, some in pieces, cut off or with its end.
    """
    server = CopyingServer(form)
    async with run_raw_server(server.make_script) as raw:
        async with platform_system(keyed=0, unkeyed=0) as system:
            system.store.state.put(
                'op', 'config', configuration(2, keyed=route(max_attempts=3))
            )
            entry = PlatformServer('raw', 'ledger', 'a', keyed=True, slots=8)
            entry.address = raw.address
            system.store.state.put('servers', 'raw', entry.entry())
            names = [await system.add_instance() for _ in range(2)]
            for name in names:
                await system.wait_until_served(name, 0)
            status_by_id = await _send_all(system, names)
    executions = {one: server.executions[one.encode()] for one in status_by_id}
    assert server.copies > 10
    assert server.came_again > 5
    refused = [
        one
        for one, status in status_by_id.items()
        if status in _PROMISES_NOT_RUN and executions[one]
    ]
    assert not refused
    assert max(executions.values()) == 1
