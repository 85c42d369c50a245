"""Links between instances over faulty connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.builders.platform_system import free_port
from tests.soak.proxy import LoopbackProxy, running_proxy
from yuccadale_edge._internal.membership import links

_SLOW_S = 0.5
_LARGE_BYTES = 8_000_000


async def _handle_request(topic: str, body: bytes) -> bytes:
    if topic == 'slow':
        await asyncio.sleep(_SLOW_S)
    return bytes(_LARGE_BYTES) if topic == 'large' else body


@asynccontextmanager
async def _peer() -> AsyncIterator[tuple[links.PeerLinks, LoopbackProxy]]:
    """Starts a peer behind a proxy; yields links to it and the proxy."""
    address = ('127.0.0.1', free_port())
    server = links.PeerServer(_handle_request, lambda _topic, _body: None)
    dialled = links.PeerLinks()
    async with (
        links.peer_listener(address, server),
        running_proxy(address) as proxy,
    ):
        try:
            yield dialled, proxy
        finally:
            dialled.close()


async def test_a_stalled_link_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests on a stalled connection that stays open.

    A member sent reports to its leader for more than 10 s on a connection
    that delivered nothing, while new connections worked.
    """
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.2, raising=True)
    async with _peer() as (dialled, proxy):
        assert await dialled.request(proxy.address, 'quick', b'1', 1.0) == b'1'
        proxy.stall_connections()
        with pytest.raises(links.LinkLostError):
            await dialled.request(proxy.address, 'quick', b'2', 0.1)
        await asyncio.sleep(0.4)
        assert await dialled.request(proxy.address, 'quick', b'3', 1.0) == b'3'


async def test_a_link_that_is_busy_with_a_large_answer_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a large configuration whose transfer never completes.

    Links were closed as stalled while a configuration of 1,756 routes was
    being sent, so its transfer restarted again and again.
    """
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.1, raising=True)
    async with _peer() as (dialled, proxy):
        await dialled.request(proxy.address, 'quick', b'1', 1.0)
        # The proxy delays each chunk, so that the large response takes long.
        proxy.delay_s = 0.02
        answered = asyncio.create_task(
            dialled.request(proxy.address, 'large', b'', 20.0)
        )
        lost = 0
        # Other responses are queued behind the large one.
        while not answered.done():
            try:
                await dialled.request(proxy.address, 'quick', b'2', 0.05)
            except links.LinkLostError:
                lost += 1
            await asyncio.sleep(0.11)
        assert lost
        assert len(await answered) == _LARGE_BYTES


async def test_a_slow_answer_does_not_end_the_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow response that is lost with a working link."""
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.2, raising=True)
    async with _peer() as (dialled, proxy):
        slow = asyncio.create_task(
            dialled.request(proxy.address, 'slow', b'late', 2.0)
        )
        await asyncio.sleep(0.05)
        with pytest.raises(links.LinkLostError):
            await dialled.request(proxy.address, 'slow', b'hasty', 0.1)
        assert await slow == b'late'
