"""Servers with keys behind relays, and a watch over who holds which keys."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import PlatformSystem, platform_system
from tests.builders.ports import free_port
from tests.soak.proxy import LoopbackProxy, running_proxy
from yuccadale_edge.ownership import KEY_COUNT
from yuccadale_platform.adapter import parse_address

# The users allow two servers to hold a key for a moment.
MOMENT_S = 0.5
_SAMPLE_S = 0.02
_STEP = 512
_KEYS = (0, KEY_COUNT - 1)


@dataclass(frozen=True)
class RelayedServers:
    """A system of two instances and two servers with keys.

    Attributes:
        servers: those with keys.
        proxies: the relay of each server.
    """

    system: PlatformSystem
    servers: list[PlatformServer]
    proxies: list[LoopbackProxy]

    async def register(self, server: PlatformServer, state: str) -> None:
        """Writes the entry of a server to the store."""
        store = self.system.store.state
        store.put('servers', server.server_id, server.entry(state))
        await store.notify_feeds()

    async def wait_until_served(self) -> None:
        """Waits until requests for the first and the last key succeed."""
        name = next(iter(self.system.task_by_name))
        await self.system.wait_until_served(name, *_KEYS)

    async def wait_until_held(self) -> None:
        """Waits until the servers hold the first and the last key.

        Nothing is sent: the leader would move keys for the work of requests.
        """

        async def all_are_held() -> bool:
            return all(
                any(server.holds(key) for server in self.servers)
                for key in _KEYS
            )

        await self.system.wait_until(all_are_held)

    async def longest_shared_s(self, watched_s: float) -> float:
        """Watches which keys two servers hold at the same time.

        Returns:
            For how long they held one at the longest.
        """
        since_by_key: dict[int, float] = {}
        longest_s: float = 0
        end_s = time.monotonic() + watched_s
        while time.monotonic() < end_s:
            now_s = time.monotonic()
            shared = [
                key
                for key in range(0, KEY_COUNT, _STEP)
                if all(server.holds(key) for server in self.servers)
            ]
            since_by_key = {key: since_by_key.get(key, now_s) for key in shared}
            shared_s = [now_s - since_s for since_s in since_by_key.values()]
            longest_s = max(longest_s, *shared_s, 0)
            await asyncio.sleep(_SAMPLE_S)
        return longest_s


@asynccontextmanager
async def relayed_servers() -> AsyncIterator[RelayedServers]:
    """Runs the system; all keys are held at the begin of the block."""
    async with platform_system() as system:
        servers = [one for one in system.server_by_id.values() if one.keyed]
        relayed = RelayedServers(system, servers, [])
        for server in servers:
            proxy = await system.stack.enter_async_context(
                # The relay closes its listener and opens it again.
                running_proxy(parse_address(server.address), free_port())
            )
            relayed.proxies.append(proxy)
            server.address = f'{proxy.address[0]}:{proxy.address[1]}'
            await relayed.register(server, 'ready')
        await system.add_instance()
        await system.add_instance()
        await relayed.wait_until_held()
        yield relayed
