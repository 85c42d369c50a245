"""Links between instances over faulty connections."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest

from tests.builders.ports import free_port
from tests.builders.raw_server import accepting_socket
from tests.soak.proxy import LoopbackProxy, running_proxy
from yuccadale_edge._internal.membership import links
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.transport.client_pool import Address

_SLOW_S = 0.5
_LARGE_BYTES = 8_000_000
_READ_BYTES = 65536
# A late response, then the time for an echo, and time to run.
_LOST_WITHIN_S = 5.0


async def _handle_request(topic: str, body: bytes, _due_s: float) -> bytes:
    if topic == 'slow':
        await asyncio.sleep(_SLOW_S)
    if topic == 'fails':
        raise ZeroDivisionError
    if topic == 'unreadable':
        raise msgspec.DecodeError
    return bytes(_LARGE_BYTES) if topic == 'large' else body


def _handle_message(topic: str, body: bytes) -> None:
    if topic == 'fails':
        raise ZeroDivisionError


async def _request(
    dialled: links.PeerLinks,
    address: Address,
    topic: str,
    body: bytes,
    timeout_s: float,
) -> bytes:
    """Sends a request whose response is not decoded."""
    return await dialled.request(address, topic, body, timeout_s, bytes)


@asynccontextmanager
async def _peer() -> AsyncIterator[tuple[links.PeerLinks, LoopbackProxy]]:
    """Starts a peer behind a proxy; yields links to it and the proxy."""
    address = ('127.0.0.1', free_port())
    server = links.PeerServer(_handle_request, _handle_message, Metrics())
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
        assert (
            await _request(dialled, proxy.address, 'quick', b'1', 1.0) == b'1'
        )
        proxy.stall_connections()
        with pytest.raises(links.LinkLostError):
            await _request(dialled, proxy.address, 'quick', b'2', 0.1)
        await asyncio.sleep(0.4)
        assert (
            await _request(dialled, proxy.address, 'quick', b'3', 1.0) == b'3'
        )


async def test_a_link_whose_connection_has_just_ended_is_not_used() -> None:
    """Guards against an unexpected error in place of an unsent request.

    The connection is closed one step of the event loop before its reader
    notices. Callers got status 500 for requests that had not run.
    """
    async with _peer() as (dialled, proxy):
        await _request(dialled, proxy.address, 'quick', b'1', 1.0)
        link = await dialled._link(proxy.address)
        link._writer.transport.abort()
        await asyncio.sleep(0)
        assert not link.open
        with pytest.raises(links.PeerUnreachableError):
            await link.request('quick', b'2')
        link.notify('quick', b'3')
        assert (
            await _request(dialled, proxy.address, 'quick', b'4', 1.0) == b'4'
        )


async def test_a_link_that_is_busy_with_a_large_answer_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a large configuration whose transfer never completes.

    Links were closed as stalled while a configuration of 1,756 routes was
    being sent, so its transfer restarted again and again.
    """
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.1, raising=True)
    async with _peer() as (dialled, proxy):
        await _request(dialled, proxy.address, 'quick', b'1', 1.0)
        # The proxy delays each chunk, so that the large response takes long.
        proxy.delay_s = 0.02
        answered = asyncio.create_task(
            _request(dialled, proxy.address, 'large', b'', 20.0)
        )
        lost = 0
        # Other responses are queued behind the large one.
        while not answered.done():
            try:
                await _request(dialled, proxy.address, 'quick', b'2', 0.05)
            except links.LinkLostError:
                lost += 1
            await asyncio.sleep(0.11)
        assert lost
        assert len(await answered) == _LARGE_BYTES


async def test_a_link_that_is_busy_with_a_large_request_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a large request body whose transfer never completes.

    The peer reads the probe only after the request, so it has to acknowledge
    the parts of the request.
    """
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.2, raising=True)
    monkeypatch.setattr(links, '_LATE_RESPONSE_S', 0.05, raising=True)
    async with _peer() as (dialled, proxy):
        await _request(dialled, proxy.address, 'quick', b'1', 1.0)
        proxy.delay_s = 0.02
        body = bytes(_LARGE_BYTES)
        answer = await _request(dialled, proxy.address, 'quick', body, 20.0)
        assert len(answer) == _LARGE_BYTES


async def test_a_stalled_link_is_replaced_while_a_response_is_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that waits on a stalled link to its deadline.

    A forwarded request may have a deadline of several seconds.
    """
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.2, raising=True)
    async with _peer() as (dialled, proxy):
        await _request(dialled, proxy.address, 'quick', b'1', 1.0)
        proxy.stall_connections()
        began_s = asyncio.get_running_loop().time()
        with pytest.raises(links.LinkLostError):
            await _request(dialled, proxy.address, 'quick', b'2', 20.0)
        assert asyncio.get_running_loop().time() - began_s < _LOST_WITHIN_S


async def test_a_stalled_link_of_notifications_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against updates of a leader that a member never receives."""
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.1, raising=True)
    monkeypatch.setattr(links, '_PROOF_INTERVAL_S', 0.1, raising=True)
    async with _peer() as (dialled, proxy):
        assert await dialled.notify(proxy.address, 'news', b'1')
        proxy.stall_connections()
        received = proxy.accepted
        for _ in range(20):
            await dialled.notify(proxy.address, 'news', b'2')
            await asyncio.sleep(0.05)
        assert proxy.accepted > received


async def test_a_pause_of_the_own_process_does_not_end_a_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that is broken off though its peer answers.

    The echo came while the process got no processor, and its time had passed
    before the event loop read it.
    """
    monkeypatch.setattr(links, '_LATE_RESPONSE_S', 0.05, raising=True)
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.5, raising=True)
    loop = asyncio.get_running_loop()
    dialled = links.PeerLinks()
    async with accepting_socket() as (address, accept):
        request = asyncio.create_task(
            _request(dialled, address, 'any', b'', _LOST_WITHIN_S)
        )
        peer = await accept()
        echo = links._frame(links._ECHO, 0, '', b'')
        # The probe of the new link, the request, and the probe behind it.
        for answer in (echo, b'', echo):
            assert await loop.sock_recv(peer, _READ_BYTES)
            peer.sendall(answer)
        time.sleep(links._ECHO_TIMEOUT_S + 0.1)
        await asyncio.sleep(links._ECHO_TIMEOUT_S)
        peer.sendall(links._frame(links._RESPONSE, 1, 'any', b'late'))
        assert await request == b'late'
        dialled.close()


async def test_a_slow_answer_does_not_end_the_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow response that is lost with a working link."""
    monkeypatch.setattr(links, '_ECHO_TIMEOUT_S', 0.2, raising=True)
    async with _peer() as (dialled, proxy):
        slow = asyncio.create_task(
            _request(dialled, proxy.address, 'slow', b'late', 2.0)
        )
        await asyncio.sleep(0.05)
        with pytest.raises(links.LinkLostError):
            await _request(dialled, proxy.address, 'slow', b'hasty', 0.1)
        assert await slow == b'late'


async def test_an_error_while_handling_a_request_ends_only_that() -> None:
    """Guards against a process or link that one message ends."""
    async with _peer() as (dialled, proxy):
        slow = asyncio.create_task(
            _request(dialled, proxy.address, 'slow', b'1', 2.0)
        )
        await asyncio.sleep(0.05)
        with pytest.raises(links.RequestFailedError):
            await _request(dialled, proxy.address, 'fails', b'', 2.0)
        assert await dialled.notify(proxy.address, 'fails', b'')
        assert await _request(dialled, proxy.address, 'quick', b'2', 1) == b'2'
        assert await slow == b'1'
        assert proxy.accepted == 1


async def test_an_unreadable_request_ends_its_link() -> None:
    """Guards against a peer that is heard further after it sent nonsense."""
    async with _peer() as (dialled, proxy):
        with pytest.raises(links.LinkLostError):
            await _request(dialled, proxy.address, 'unreadable', b'', 2.0)
        assert await _request(dialled, proxy.address, 'quick', b'2', 1) == b'2'
        assert proxy.accepted == 2


async def test_an_unreadable_response_is_a_lost_link() -> None:
    """Guards against a response that ends the task which asked for it."""

    def decode(_response: bytes) -> bytes:
        raise msgspec.DecodeError('not a response')

    async with _peer() as (dialled, proxy):
        for _ in range(2):
            with pytest.raises(links.UnreadableMessageError):
                await dialled.request(proxy.address, 'quick', b'', 1, decode)
        assert await _request(dialled, proxy.address, 'quick', b'2', 1) == b'2'


@pytest.mark.parametrize(
    'frame',
    [
        b'\xc1',
        b'\x91' * 5000,
        msgspec.msgpack.encode({'kind': 0}),
        msgspec.msgpack.encode((0, 'one', 'topic', b'')),
        msgspec.msgpack.encode((99, 1, 'topic', b'')),
    ],
)
async def test_nonsense_on_a_link_ends_only_that_link(frame: bytes) -> None:
    """Guards against a peer of another kind that stops the listener."""
    async with _peer() as (dialled, proxy):
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(len(frame).to_bytes(4, 'big') + frame)
        writer.write_eof()
        assert not await reader.read()
        writer.close()
        assert await _request(dialled, proxy.address, 'quick', b'2', 1) == b'2'


async def test_a_planned_stop_delivers_what_was_written() -> None:
    """Guards against messages and responses that are lost by a planned stop.

    A leader that stops has just written its hand-over, and an instance the
    responses to forwarded requests. Links that are given up are reset instead.
    """
    received: list[bytes] = []
    address = ('127.0.0.1', free_port())
    server = links.PeerServer(
        _handle_request, lambda _, body: received.append(body), Metrics()
    )
    dialled = links.PeerLinks()
    async with links.peer_listener(address, server):
        sent = [b'%d' % number * 8000 for number in range(100)]
        for body in sent:
            await dialled.notify(address, 'quick', body)
        dialled.close()
        async with asyncio.timeout(_LOST_WITHIN_S):
            while len(received) < len(sent):
                await asyncio.sleep(0.01)
        assert received == sent
        stopping = links.PeerLinks()
        response = asyncio.create_task(
            _request(stopping, address, 'slow', b'2', _LOST_WITHIN_S)
        )
        await asyncio.sleep(_SLOW_S / 2)
        async with asyncio.timeout(_LOST_WITHIN_S):
            while server.active_requests:
                await asyncio.sleep(0)
        server.close()
        assert await response == b'2'
        stopping.close()


async def test_a_link_is_not_opened_to_a_peer_that_reads_nothing() -> None:
    """Guards against requests to a suspended peer, which reads them later.

    Its kernel accepts connections and bytes.
    """
    silent = socket.create_server(('127.0.0.1', 0))
    dialled = links.PeerLinks()
    with silent, pytest.raises(links.PeerUnreachableError):
        await _request(dialled, silent.getsockname(), 'quick', b'', 5.0)
    dialled.close()
