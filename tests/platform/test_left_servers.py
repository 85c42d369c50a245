"""Servers that left, or were silent for a while, and instances that restart.

Operators of similar systems had servers that left in use again after a restart
of one of the system's processes, and running work started again elsewhere when
its server was only silent.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import PlatformSystem, platform_system
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.routing.forwarding import Forwarder
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.routing.requests import Refused
from yuccadale_edge._internal.server_availability import ServerAvailability
from yuccadale_edge._internal.system_view import ServerList, SystemView

KEYS = (0, 20000, 40000, 65535)
# A server that left gets no requests later than this.
DRAIN_S = 2.0
WORK_S = 1.2
_SLOWER_S = 0.05
_CALLERS = 4
_NUMBERS = itertools.count()


async def _send_on(system: PlatformSystem, names: list[str]) -> None:
    """Sends requests to instances in turn, also while some are away."""
    for number in itertools.count():
        name = names[number % len(names)]
        path, key = (
            ('/once/x', None),
            ('/keyed/x', KEYS[number % len(KEYS)]),
        )[number % 2]
        try:
            await system.send_request(
                name, path, key=key, request_id=f'left-{next(_NUMBERS)}'
            )
        except aiohttp.ClientError:
            await asyncio.sleep(0.02)


@asynccontextmanager
async def _under_load(
    system: PlatformSystem, names: list[str]
) -> AsyncIterator[None]:
    """Sends requests during the block."""
    tasks = [
        asyncio.create_task(_send_on(system, names)) for _ in range(_CALLERS)
    ]
    try:
        yield
        assert not any(task.done() for task in tasks)
    finally:
        for task in tasks:
            task.cancel()


async def _leave(system: PlatformSystem, server: PlatformServer) -> None:
    """Announces that a server leaves, and removes its entry a moment later.

    Its process goes on listening.
    """
    state = system.store.state
    state.put('servers', server.server_id, server.entry('draining'))
    await state.notify_feeds()
    await asyncio.sleep(0.5)
    state.remove('servers', server.server_id)
    await state.notify_feeds()
    await asyncio.sleep(DRAIN_S)


@pytest.mark.parametrize('together', [False, True])
async def test_a_server_that_left_is_not_used_after_restarts(
    together: bool,
) -> None:
    """Guards against old state that a restarted instance takes for new."""
    assert not any(await _requests_after_leaving(together=together))


async def test_use_of_a_server_that_left_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check that no use of such a server would fail."""
    monkeypatch.setattr(SystemView, 'usable', lambda *_: True)
    monkeypatch.setattr(ServerAvailability, 'obstacle', lambda *_: None)
    monkeypatch.setattr(ServerList, '_remove', lambda *_, removal_grace: False)
    # A restarted instance has no old state: one instance goes on.
    assert any(await _requests_after_leaving(together=False))


async def _requests_after_leaving(*, together: bool) -> list[int]:
    """Returns the requests that servers got after they left.

    Args:
        together: whether all instances restart at once.
    """
    async with platform_system(keyed=3, unkeyed=2) as system:
        names = [await system.add_instance() for _ in range(3)]
        for started in names:
            await system.wait_until_served(started, *KEYS)
        left = [system.server_by_id[server_id] for server_id in ('k0', 'p0')]
        # Of the servers without keys, the one that leaves is the first choice.
        system.server_by_id['p1'].work_s = _SLOWER_S
        async with _under_load(system, names):
            await asyncio.gather(*(_leave(system, server) for server in left))
            before = [len(server.arrivals_s) for server in left]
            groups = [names] if together else [[name] for name in names]
            for group in groups:
                await asyncio.gather(*(system.kill(name) for name in group))
                await asyncio.gather(*(system.start(name) for name in group))
                await asyncio.sleep(1)
            for restarted in names:
                await system.wait_until_served(restarted, *KEYS)
        return [
            len(server.arrivals_s) - earlier
            for server, earlier in zip(left, before, strict=True)
        ]


async def test_work_that_is_started_again_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counts that a second run would not change."""
    monkeypatch.setattr(RequestRouter, '_is_retryable', _is_lost)
    async with platform_system(keyed=1, unkeyed=0) as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 7)
        server = system.server_by_id['k0']
        server.drop_answers = True
        status, _, _ = await system.send_request(
            name, '/keyed/x', key=7, request_id='lost-1'
        )
        assert status == 502
        assert server.executions['lost-1'] > 1


def _is_lost(
    _router: RequestRouter, _routed: object, refused: Refused, *_: object
) -> bool:
    return refused.code == ResultCode.answer_lost


@pytest.mark.parametrize(('path', 'key'), [('/once/x', None), ('/keyed/x', 7)])
async def test_work_of_a_silent_server_is_not_started_again(
    path: str, key: int | None
) -> None:
    """Guards against work that runs twice, or whose answer is given up."""
    async with platform_system(keyed=2, unkeyed=2) as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 7)
        servers = list(system.server_by_id.values())
        for slow in servers:
            slow.work_s = WORK_S
        request = asyncio.create_task(
            system.send_request(name, path, key=key, request_id='silent-1')
        )
        await asyncio.sleep(0.3)
        state = system.store.state
        running = next(one for one in servers if one.executions['silent-1'])
        state.remove('servers', running.server_id)
        await state.notify_feeds()
        await asyncio.sleep(0.3)
        state.put('servers', running.server_id, running.entry())
        await state.notify_feeds()
        status, _, _ = await request
        assert status == 200
        assert sum(one.executions['silent-1'] for one in servers) == 1


async def test_a_server_removed_during_a_forward_refuses_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against status 500 for a request that has not run."""

    async def fail_to_forward(
        forwarder: Forwarder, _sender: object, _request: object
    ) -> None:
        forwarder._system_view.servers.server_by_id.pop('k0', None)

    async with platform_system(keyed=1, unkeyed=0) as system:
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until_served(name, 7)
        monkeypatch.setattr(Forwarder, 'forward', fail_to_forward)
        statuses = set()
        for number, name in enumerate(names):
            status, _, _ = await system.send_request(
                name, '/keyed/x', key=7, request_id=f'removed-{number}'
            )
            statuses.add(status)
    assert statuses == {200, 503}
