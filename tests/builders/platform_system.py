"""Instances with the platform adapter and stand-ins, in this process."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from types import MappingProxyType

import aiohttp

from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import RunningStore, running_store
from tests.builders.ports import free_port
from yuccadale_edge.instance import Bounds, Instance, Place, Settings
from yuccadale_platform.adapter import make_adapter

REGION_BY_ZONE = MappingProxyType({'a': 'north', 'b': 'south'})
HOST = 'shop.example'
_PROBE_NUMBERS = itertools.count()
_TIMEOUT_S = 15.0


def route(**changes: object) -> dict:
    """Returns a route of the operators' configuration."""
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
    """Returns an operators' configuration."""
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
    """Returns the settings of an instance on loopback ports."""
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
    """Instances, servers and the store, with a session for callers."""

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
        self,
        zone: str = 'a',
        store: RunningStore | None = None,
        **changes: object,
    ) -> str:
        """Starts an instance and waits until it is ready.

        Args:
            zone: its data centre.
            store: the store that it uses, if it is another one.
            changes: of its settings.
        """
        instance_settings = settings(
            len(self.settings_by_name), store or self.store, zone, **changes
        )
        self.settings_by_name[instance_settings.instance] = instance_settings
        await self.start(instance_settings.instance)
        return instance_settings.instance

    async def start(self, name: str) -> None:
        """Starts or restarts an instance and waits until it is ready."""
        instance_settings = self.settings_by_name[name]
        instance = Instance(
            instance_settings,
            make_adapter(instance_settings),
            lambda: instance_settings,
        )
        self.instance_by_name[name] = instance
        self.task_by_name[name] = asyncio.create_task(instance.run())
        await self.wait_until(lambda: self.is_ready(name))

    async def kill(self, name: str) -> None:
        """Ends an instance without a graceful shutdown."""
        task = self.task_by_name.pop(name)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    async def is_ready(self, name: str) -> bool:
        """Returns whether the readiness check of an instance succeeds."""
        host, port = self.settings_by_name[name].readiness_address
        try:
            async with self.session.get(
                f'http://{host}:{port}/v1/readyz'
            ) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def send_request(
        self,
        name: str,
        path: str,
        *,
        key: int | None = None,
        request_id: str = 'a-1',
        method: str = 'POST',
        **headers: str,
    ) -> tuple[int, str, dict]:
        """Sends a caller's request; returns status, body and headers."""
        host, port = self.settings_by_name[name].caller_address
        all_headers = {
            'Host': HOST,
            'X-Attempt-Id': request_id,
            'X-Deadline-Ms': '2000',
        } | headers
        if key is not None:
            all_headers['X-Shard-Key'] = str(key)
        async with self.session.request(
            method,
            f'http://{host}:{port}{path}',
            headers=all_headers,
            data=b'body',
        ) as answer:
            answer_headers = {
                name.lower(): text for name, text in answer.headers.items()
            }
            return answer.status, await answer.text(), answer_headers

    async def is_served(self, name: str, key: int) -> bool:
        """Returns whether a request for a key succeeds."""
        status, _, _ = await self.send_request(
            name,
            '/keyed/x',
            key=key,
            request_id=f'probe-{next(_PROBE_NUMBERS)}',
        )
        return status == 200

    async def wait_until_served(self, name: str, *keys: int) -> None:
        """Waits until an instance serves requests for all the keys."""
        for key in keys:

            async def key_is_served(probed_key: int = key) -> bool:
                return await self.is_served(name, probed_key)

            await self.wait_until(key_is_served)

    async def wait_until(self, condition: Callable) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.02)


@asynccontextmanager
async def platform_system(
    keyed: int = 2, unkeyed: int = 1
) -> AsyncIterator[PlatformSystem]:
    """Runs the store and servers; the test adds instances."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        store.state.put('op', 'config', configuration())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        system = PlatformSystem(store, session, stack)
        for number in range(keyed):
            await system.add_server(
                PlatformServer(f'k{number}', 'ledger', 'a', keyed=True)
            )
        for number in range(unkeyed):
            await system.add_server(
                PlatformServer(f'p{number}', 'stage', 'a', keyed=False)
            )
        try:
            yield system
        finally:
            for name in list(system.task_by_name):
                await system.kill(name)
