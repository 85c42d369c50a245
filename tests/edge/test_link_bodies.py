"""Bodies that instances forward to each other."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from tests.builders.ports import free_port
from tests.soak.proxy import LoopbackProxy, running_proxy
from yuccadale_edge._internal.membership import links
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.transport.held_bytes import BodyShare, HeldBytes

_BODY_BYTES = 400_000
# Room for one body.
_MAX_BYTES = 600_000
_LARGE_BYTES = 4_000_000
_TIMEOUT_S = 20.0


@dataclass
class _Peer:
    """An instance that handles forwarded requests.

    Attributes:
        answer: while it is not set, no request is answered.
        response_bytes: size of its responses to forwarded requests.
        received: sizes of the requests that it has handled.
    """

    held: HeldBytes = field(default_factory=lambda: HeldBytes(_MAX_BYTES))
    answer: asyncio.Event = field(default_factory=asyncio.Event)
    response_bytes: int = 0
    received: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.bodies = BodyShare(_MAX_BYTES, self.held)
        self.server = links.PeerServer(
            self._handle, _ignore, Metrics(), self.bodies, self.held
        )

    async def _handle(self, topic: str, body: bytes, _due_s: float) -> bytes:
        if topic != links.FORWARD_TOPIC:
            return body
        self.received.append(len(body))
        await self.answer.wait()
        return bytes(self.response_bytes)


def _ignore(_topic: str, _body: bytes) -> None:
    """Handles a notification."""


@asynccontextmanager
async def _running(peer: _Peer) -> AsyncIterator[LoopbackProxy]:
    """Runs a peer behind a proxy."""
    address = ('127.0.0.1', free_port())
    async with (
        links.peer_listener(address, peer.server),
        running_proxy(address) as proxy,
    ):
        yield proxy


@asynccontextmanager
async def _dialled(responses: HeldBytes | None = None) -> AsyncIterator:
    peer_links = links.PeerLinks(responses)
    try:
        yield peer_links
    finally:
        peer_links.close()


async def _forward(
    dialled: links.PeerLinks, proxy: LoopbackProxy, size: int
) -> int:
    response = await dialled.request(
        proxy.address, links.FORWARD_TOPIC, bytes(size), _TIMEOUT_S, bytes
    )
    return len(response)


async def _ask(dialled: links.PeerLinks, proxy: LoopbackProxy) -> bytes:
    return await dialled.request(proxy.address, 'vote', b'1', _TIMEOUT_S, bytes)


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_forwarded_body_without_room_is_refused_unsent() -> None:
    """Guards against an instance that takes forwarded bodies without bound."""
    peer = _Peer()
    async with _running(peer) as proxy, _dialled() as dialled:
        first = asyncio.create_task(_forward(dialled, proxy, _BODY_BYTES))
        await _until(lambda: bool(peer.received))
        assert peer.held.size == _BODY_BYTES
        with pytest.raises(links.NoRoomError):
            await _forward(dialled, proxy, _BODY_BYTES)
        assert peer.held.size == _BODY_BYTES
        assert await _ask(dialled, proxy) == b'1'
        peer.answer.set()
        assert await first == 0
        await _until(lambda: not peer.held.size)
        assert await _forward(dialled, proxy, _BODY_BYTES) == 0
        assert peer.received == [_BODY_BYTES, _BODY_BYTES]


async def test_small_forwarded_bodies_share_the_bound() -> None:
    """Guards against many small bodies that together fill the memory."""
    peer = _Peer()
    async with _running(peer) as proxy, _dialled() as dialled:
        sizes = [60_000 for _ in range(_MAX_BYTES // 60_000)]
        accepted = [
            asyncio.create_task(_forward(dialled, proxy, size))
            for size in sizes
        ]
        await _until(lambda: peer.received == sizes)
        with pytest.raises(links.NoRoomError):
            await _forward(dialled, proxy, 60_000)
        peer.answer.set()
        assert set(await asyncio.gather(*accepted)) == {0}
        await _until(lambda: not peer.held.size)


async def test_one_body_beyond_the_bound_is_accepted_alone() -> None:
    """Guards against a large body that no instance ever takes."""
    peer = _Peer(response_bytes=_LARGE_BYTES)
    peer.answer.set()
    async with (
        _running(peer) as proxy,
        _dialled(HeldBytes(_MAX_BYTES)) as dialled,
    ):
        assert await _forward(dialled, proxy, _LARGE_BYTES) == _LARGE_BYTES
        await _until(lambda: not peer.held.size)


async def test_responses_wait_for_room_in_both_directions() -> None:
    """Guards against two instances that wait for each other's room."""
    peers = [_Peer(response_bytes=_BODY_BYTES) for _ in range(2)]
    responses = [HeldBytes(_MAX_BYTES) for _ in peers]
    async with (
        _running(peers[0]) as first,
        _running(peers[1]) as second,
        _dialled(responses[0]) as to_first,
        _dialled(responses[1]) as to_second,
    ):
        asked = [
            asyncio.create_task(_forward(dialled, proxy, 1))
            for dialled, proxy in ((to_first, first), (to_second, second)) * 5
        ]
        await _until(lambda: all(len(one.received) == 5 for one in peers))
        for peer in peers:
            peer.answer.set()
        async with asyncio.timeout(_TIMEOUT_S):
            assert set(await asyncio.gather(*asked)) == {_BODY_BYTES}
        await _until(lambda: not any(one.held.size for one in peers))
        assert not any(one.size for one in responses)


@pytest.mark.parametrize(('sent', 'returned'), [(_LARGE_BYTES, 0), (1, 1)])
async def test_other_messages_pass_a_large_body(
    sent: int, returned: int
) -> None:
    """Guards against votes and leases that wait behind a body on a link."""
    peer = _Peer(response_bytes=returned * _LARGE_BYTES)
    peer.answer.set()
    async with _running(peer) as proxy, _dialled() as dialled:
        assert await _ask(dialled, proxy) == b'1'
        proxy.delay_s = 0.02
        body = asyncio.create_task(_forward(dialled, proxy, sent))
        for _ in range(3):
            assert await _ask(dialled, proxy) == b'1'
        assert not body.done()
        proxy.delay_s = 0
        assert await body == returned * _LARGE_BYTES


async def _break_off(
    peer: _Peer,
    dialled: links.PeerLinks,
    proxy: LoopbackProxy,
    end: Callable[[asyncio.Task], object],
) -> None:
    """Ends a request while its body is being sent."""
    sending = asyncio.create_task(_forward(dialled, proxy, _LARGE_BYTES))
    await _until(lambda: bool(peer.held.size))
    end(sending)
    await asyncio.wait({sending})
    assert sending.cancelled() or sending.exception() is not None
    await _until(lambda: not peer.held.size)


async def test_a_body_that_is_broken_off_is_released() -> None:
    """Guards against room that is never free again after a lost link."""
    peer = _Peer()
    async with _running(peer) as proxy, _dialled() as dialled:
        await _ask(dialled, proxy)
        proxy.delay_s = 0.05
        await _break_off(peer, dialled, proxy, asyncio.Task.cancel)
        await _break_off(peer, dialled, proxy, lambda _task: proxy.reset())
        proxy.delay_s = 0
        peer.answer.set()
        assert await _forward(dialled, proxy, _BODY_BYTES) == 0
        assert peer.received == [_BODY_BYTES]


async def test_a_request_that_is_given_up_releases_its_response() -> None:
    """Guards against a response that is kept for a caller who has left."""
    peer = _Peer(response_bytes=_LARGE_BYTES)
    peer.answer.set()
    async with _running(peer) as proxy, _dialled() as dialled:
        await _ask(dialled, proxy)
        proxy.delay_s = 0.05
        asking = asyncio.create_task(_forward(dialled, proxy, 1))
        await _until(lambda: peer.held.size >= _LARGE_BYTES)
        asking.cancel()
        await _until(lambda: not peer.held.size)
        assert await _ask(dialled, proxy) == b'1'


async def test_a_body_longer_than_announced_ends_the_link() -> None:
    """Guards against parts without end for a body that has room."""
    peer = _Peer()
    async with _running(peer) as proxy:
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(
            links._frame(
                links._REQUEST, 1, links.FORWARD_TOPIC, b'', _BODY_BYTES
            )
        )
        part = bytes(_BODY_BYTES + 1)
        writer.write(links._frame(links._PART, 1, '', part))
        async with asyncio.timeout(_TIMEOUT_S):
            with pytest.raises((EOFError, OSError)):
                while await reader.readexactly(1):
                    """Reads until the link ends."""
        writer.close()
        await _until(lambda: not peer.held.size)


@pytest.mark.parametrize('size', [-1, 1 << 40])
async def test_an_impossible_size_ends_the_link(size: int) -> None:
    """Guards against an account that nonsense of a peer falsifies."""
    peer = _Peer()
    async with _running(peer) as proxy:
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(
            links._frame(links._REQUEST, 1, links.FORWARD_TOPIC, b'', size)
        )
        async with asyncio.timeout(_TIMEOUT_S):
            assert not await reader.read()
        writer.close()
        assert peer.held.size == 0
