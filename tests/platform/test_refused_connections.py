"""What a refused connection to a server says about its leases: nothing.

A path that refuses and resets connections looks like a process that has ended,
while the server behind it lives and its leases run.
"""

import asyncio
import time

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import PlatformSystem, platform_system
from tests.soak.proxy import LoopbackProxy, running_proxy
from yuccadale_edge.ownership import KEY_COUNT
from yuccadale_platform.adapter import parse_address

# How long connections are refused, and what the server's entry says then.
_CASES = ((0.6, 'draining'), (2.5, 'ready'), (2.5, 'draining'))
_WATCHED_S = 7.0
_SAMPLE_S = 0.02
_STEP = 512
# The users allow two servers to hold a key for a moment.
_MOMENT_S = 0.5
_KEY = 9


async def _relay(
    system: PlatformSystem, server: PlatformServer
) -> LoopbackProxy:
    """Runs a relay to a server and registers its address for the server's."""
    proxy = await system.stack.enter_async_context(
        running_proxy(parse_address(server.address))
    )
    server.address = f'{proxy.address[0]}:{proxy.address[1]}'
    await _register(system, server, 'ready')
    return proxy


async def _register(
    system: PlatformSystem, server: PlatformServer, state: str
) -> None:
    store = system.store.state
    store.put('servers', server.server_id, server.entry(state))
    await store.notify_feeds()


async def _cut(proxy: LoopbackProxy, seconds: float) -> None:
    port = proxy.address[1]
    proxy.stop_listening()
    proxy.reset()
    await asyncio.sleep(seconds)
    await proxy.listen(port)


async def _longest_shared_s(servers: list[PlatformServer]) -> float:
    """Returns for how long two servers held the same key at the longest."""
    since_by_key: dict[int, float] = {}
    longest_s: float = 0
    end_s = time.monotonic() + _WATCHED_S
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        shared = [
            key
            for key in range(0, KEY_COUNT, _STEP)
            if all(server.holds(key) for server in servers)
        ]
        since_by_key = {key: since_by_key.get(key, now_s) for key in shared}
        shared_s = [now_s - since_s for since_s in since_by_key.values()]
        longest_s = max(longest_s, *shared_s, 0)
        await asyncio.sleep(_SAMPLE_S)
    return longest_s


async def _longest_shared_after_cut_s(refused_s: float, state: str) -> float:
    async with platform_system() as system:
        keyed = [one for one in system.server_by_id.values() if one.keyed]
        proxies = [await _relay(system, server) for server in keyed]
        name = await system.add_instance()
        await system.add_instance()
        await system.wait_until_served(name, _KEY, KEY_COUNT - 1)
        watching = asyncio.create_task(_longest_shared_s(keyed))
        cut = asyncio.create_task(_cut(proxies[0], refused_s))
        await _register(system, keyed[0], state)
        await cut
        longest_s = await watching
        await system.wait_until_served(name, _KEY, KEY_COUNT - 1)
    return longest_s


async def test_keys_of_a_server_that_refuses_connections_stay_its_own() -> None:
    """Guards against two holders of a key when a path refuses connections.

    Two refused connections counted as the end of the process, also for one
    that began to leave meanwhile.
    """
    shared_s = await asyncio.gather(
        *(_longest_shared_after_cut_s(*case) for case in _CASES)
    )
    assert max(shared_s) <= _MOMENT_S, shared_s
