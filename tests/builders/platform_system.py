"""The adapter's program in this process, on the platform's stand-ins."""

import asyncio
import itertools
import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from types import MappingProxyType

import aiohttp

from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import RunningStore, running_store
from yuccadale_edge.instance import Bounds, Instance, Place, Settings
from yuccadale_platform.parts import make_parts

REGION_BY_ZONE = MappingProxyType({'a': 'north', 'b': 'south'})
HOST = 'shop.example'
_PROBES = itertools.count()
_PATIENCE_S = 15.0
# Below the ports that connections get. Runs side by side have blocks of
# their own, since a port is only taken when its process listens.
_BLOCK_PORTS = 1000
_FIRST_PORT = 12000 + os.getpid() % 20 * _BLOCK_PORTS
_PORTS = itertools.cycle(range(_FIRST_PORT, _FIRST_PORT + _BLOCK_PORTS))


def free_port() -> int:
    """Returns a port that is free, and that no outgoing connection takes.

    A port that the system picks may be taken by a connection before the
    instance listens on it.
    """
    for port in itertools.islice(_PORTS, _BLOCK_PORTS):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
    raise RuntimeError('no port is free')


def route(**changes: object) -> dict:
    """Returns a route as the operator writes it."""
    return {
        'host': HOST,
        'prefix': '/keyed/',
        'kind': 'unsafe',
        'timeout': '2000ms',
        'target_latency': '500ms',
        'priority': 1,
        'service': 'ledger',
        'max_attempts': 2,
    } | changes


def configuration(version: int = 1, **routes: dict) -> dict:
    """Returns a configuration as the operator writes it."""
    return {
        'version': f'{version:08x}',
        'routes': {
            'keyed': route(),
            'open': route(prefix='/open/', service='stage', kind='safe'),
            'once': route(prefix='/once/', service='stage'),
        }
        | routes,
        'services': {
            'ledger': {'sharded': True, 'warm': '2s', 'max_conns': 50},
            'stage': {'max_conns': 50},
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1000000,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
    }


def settings(
    number: int, store: RunningStore, zone: str = 'a', **changes: object
) -> Settings:
    """Returns settings of an instance on loopback ports."""
    values = {
        'instance': f'edge-{number}',
        'place': Place(zone, REGION_BY_ZONE[zone], REGION_BY_ZONE),
        'caller_address': ('127.0.0.1', free_port()),
        'readiness_address': ('127.0.0.1', free_port()),
        'peer_address': ('127.0.0.1', free_port()),
        'metrics_address': ('127.0.0.1', free_port()),
        'seeds': (),
        'store_address': store.address,
        'bounds': Bounds(grace_s=1.5),
    }
    return Settings(**(values | changes))  # type: ignore[arg-type]


@dataclass
class PlatformSystem:
    """Instances, servers and the store, with a caller's session."""

    store: RunningStore
    session: aiohttp.ClientSession
    stack: AsyncExitStack
    settings_by_name: dict[str, Settings] = field(default_factory=dict)
    task_by_name: dict[str, asyncio.Task] = field(default_factory=dict)
    instance_by_name: dict[str, Instance] = field(default_factory=dict)
    server_by_id: dict[str, PlatformServer] = field(default_factory=dict)

    async def add_server(self, server: PlatformServer) -> PlatformServer:
        """Starts and registers a server."""
        await self.stack.enter_async_context(running_server(server, self.store))
        self.server_by_id[server.server_id] = server
        return server

    async def add_instance(
        self, zone: str = 'a', store: RunningStore | None = None
    ) -> str:
        """Starts an instance and waits until it is ready."""
        made = settings(len(self.settings_by_name), store or self.store, zone)
        self.settings_by_name[made.instance] = made
        await self.start(made.instance)
        return made.instance

    async def start(self, name: str) -> None:
        """Starts an instance, also again."""
        made = self.settings_by_name[name]
        instance = Instance(made, make_parts(made), lambda: made)
        self.instance_by_name[name] = instance
        self.task_by_name[name] = asyncio.create_task(instance.run())
        await self.until(lambda: self.ready(name))

    async def kill(self, name: str) -> None:
        """Ends an instance without any farewell."""
        task = self.task_by_name.pop(name)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    async def ready(self, name: str) -> bool:
        """Asks an instance whether it is ready."""
        host, port = self.settings_by_name[name].readiness_address
        try:
            async with self.session.get(
                f'http://{host}:{port}/v1/readyz'
            ) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def ask(
        self,
        name: str,
        path: str,
        *,
        key: int | None = None,
        attempt: str = 'a-1',
        method: str = 'POST',
        **headers: str,
    ) -> tuple[int, str, dict]:
        """Sends a caller's request; returns status, body and headers."""
        host, port = self.settings_by_name[name].caller_address
        sent = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': '2000',
        } | headers
        if key is not None:
            sent['X-Shard-Key'] = str(key)
        async with self.session.request(
            method, f'http://{host}:{port}{path}', headers=sent, data=b'body'
        ) as answer:
            names = {
                name.lower(): text for name, text in answer.headers.items()
            }
            return answer.status, await answer.text(), names

    async def served(self, name: str, key: int) -> bool:
        """Whether a request about a key is answered."""
        status, _, _ = await self.ask(
            name, '/keyed/x', key=key, attempt=f'probe-{next(_PROBES)}'
        )
        return status == 200

    async def serves(self, name: str, *keys: int) -> None:
        """Waits until an instance serves requests about all the keys."""
        for key in keys:

            async def one_served(asked: int = key) -> bool:
                return await self.served(name, asked)

            await self.until(one_served)

    async def until(self, condition: Callable) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(_PATIENCE_S):
            while not await condition():
                await asyncio.sleep(0.02)


@asynccontextmanager
async def platform_system(
    keyed: int = 2, plain: int = 1
) -> AsyncIterator[PlatformSystem]:
    """Runs the store and servers; instances are added by the test."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        store.state.put('op', 'config', configuration())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        system = PlatformSystem(store, session, stack)
        for number in range(keyed):
            await system.add_server(
                PlatformServer(f'k{number}', 'ledger', 'a', keyed=True)
            )
        for number in range(plain):
            await system.add_server(
                PlatformServer(f'p{number}', 'stage', 'a', keyed=False)
            )
        try:
            yield system
        finally:
            for name in list(system.task_by_name):
                await system.kill(name)
