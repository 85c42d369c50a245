"""Servers that report their load, with a running instance."""

import asyncio
import itertools

from tests.builders.platform_system import PlatformSystem, platform_system

_NUMBERS = itertools.count()
FREE = '1,0,2,100'
SLOW = '2,0,2,1200'


async def _send(system: PlatformSystem, name: str) -> int:
    status, _, _ = await system.send_request(
        name, '/once/x', key=None, request_id=f'loaded-{next(_NUMBERS)}'
    )
    return status


async def test_a_slow_server_is_avoided_and_asked() -> None:
    """Guards against a slow server that gets requests, or none ever again."""
    async with platform_system(keyed=0, unkeyed=2) as system:
        name = await system.add_instance()
        slow, other = system.server_by_id['p0'], system.server_by_id['p1']
        slow.load_text = SLOW
        other.load_text = FREE
        async with asyncio.timeout(20):
            # Each is tried once; then the first is known to be slow.
            while not (slow.arrivals_s and other.arrivals_s):
                assert await _send(system, name) == 200
            while slow.health_requests < 2:
                assert await _send(system, name) == 200
                await asyncio.sleep(0.05)
            slow.load_text = FREE
            other.load_text = SLOW
            arrivals = len(slow.arrivals_s)
            while len(slow.arrivals_s) == arrivals:
                assert await _send(system, name) == 200
                await asyncio.sleep(0.05)


async def test_an_unreadable_load_changes_nothing_but_a_counter() -> None:
    """Guards against requests that fail, as the load cannot be read."""
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        server = system.server_by_id['p0']
        for text in (FREE, 'many', '-1,0,4', ''):
            server.load_text = text
            assert await _send(system, name) == 200
        host, port = system.settings_by_name[name].metrics_address
        async with system.session.get(
            f'http://{host}:{port}/metrics'
        ) as answer:
            metrics = await answer.text()
    assert 'invalid_server_loads_total{service="stage"} 3' in metrics
