"""Builds peer links on loopback for tests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.builders.ports import free_port
from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.peer_keys import PeerKeys
from yuccadale_router._internal.clock import monotonic_ms
from yuccadale_router._internal.contracts import LeadershipTable
from yuccadale_router._internal.network.peer_links import PeerLinks

# Long enough for a loaded machine; a task that ignored its cancellation never
# ends.
_END_LIMIT_S = 10


def write_peer_keys(directory: Path, *keys: str) -> PeerKeys:
    """Writes a key file and loads it."""
    path = directory / f'keys-{"-".join(keys)}'
    path.write_text('\n'.join(keys))
    return PeerKeys(path)


def free_address() -> str:
    """Returns a loopback address whose port was free a moment ago."""
    return f'127.0.0.1:{free_port()}'


def instance(
    name: str,
    address: str,
    data_centre: str = 'east',
    *,
    incarnation: str = 'first',
) -> InstanceRef:
    """Returns a reference to an entry instance."""
    return InstanceRef(name, incarnation, data_centre, 'rack-0', address)


@asynccontextmanager
async def running_links(
    me: InstanceRef,
    keys: PeerKeys,
    *,
    leaderships: LeadershipTable | None = None,
    message_limit: int = 1000,
    listen_address: str = '',
) -> AsyncIterator[PeerLinks]:
    """Runs the links of one instance until the block ends."""
    links = PeerLinks(
        me,
        keys=keys,
        leaderships=leaderships or LeadershipTable(),
        counters=Counters(),
        clock=monotonic_ms,
        message_limit=message_limit,
        listen_address=listen_address,
    )
    task = asyncio.create_task(links.run())
    try:
        yield links
    finally:
        await _end(task)


async def _end(task: asyncio.Task[None]) -> None:
    """Cancels a task; raises if it does not end after one cancellation."""
    task.cancel()
    ended, _ = await asyncio.wait({task}, timeout=_END_LIMIT_S)
    while not task.done():
        task.cancel()
        await asyncio.sleep(0)
    if not ended:
        raise RuntimeError('PeerLinks.run did not end after its cancellation')
