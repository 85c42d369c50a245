"""Crowds of clients that use the limits of a listener to the full."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import count
from types import MappingProxyType

from tests.builders.platform_system import HOST

# Eight of them fill the share of memory for bodies of callers at 160 MB.
BODY_BYTES = 4_000_000
HEADER_BYTES = 16 * 1024
_SMALL_PIECE_BYTES = 2048
_CHUNK_BYTES = 1024
_OVER_BYTES = 16 * BODY_BYTES
# Bytes of a field that the limit of a head counts: name, text and separators.
_SHORT_FIELD_BYTES = 8
_HEAD_RESERVE_BYTES = 200
_HEADS_AHEAD = 3
_PIPELINED = 20_000
_PAUSE_S = 0.2
_READ_BYTES = 16
_CONNECT_TIMEOUT_S = 5.0
# The buffers of the kernel for a client that reads slowly or not at all.
_RECEIVE_BUFFER_BYTES = 4096
# Sending to a client that has reset its connection, or that was refused.
_ENDED = (ConnectionError, TimeoutError, asyncio.IncompleteReadError)
_NUMBERS = count()


class Client:
    """One client connection without a protocol of its own."""

    def __init__(self, sock: socket.socket, target: str) -> None:
        self._sock = sock
        self._target = target
        self._loop = asyncio.get_running_loop()

    def head(self, *fields: str, method: str = 'POST', end: str = '') -> bytes:
        """Encodes a head; its id differs from those of all others."""
        lines = (
            f'{method} {self._target} HTTP/1.1',
            f'host: {HOST}',
            f'x-attempt-id: crowd-{next(_NUMBERS)}',
            'x-deadline-ms: 5000',
            *fields,
        )
        return '\r\n'.join((*lines, end or '\r\n')).encode()

    async def send(self, content: bytes) -> None:
        """Sends all bytes; waits while the listener does not read."""
        await self._loop.sock_sendall(self._sock, content)

    async def read(self, size: int) -> bytes:
        """Reads some bytes."""
        return await self._loop.sock_recv(self._sock, size)

    def reset(self) -> None:
        """Closes the connection without the usual end."""
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self._sock.close()

    def half_close(self) -> None:
        """Ends the sending side only."""
        self._sock.shutdown(socket.SHUT_WR)


@dataclass(frozen=True)
class Crowd:
    """Clients of one kind.

    Attributes:
        size: number of clients.
        act: what each of them does; the connection stays open afterwards.
    """

    size: int
    act: Callable[[Client], Awaitable[None]]


@asynccontextmanager
async def attacking(
    crowd: Crowd, port: int, target: str, duration_s: float
) -> AsyncIterator[None]:
    """Lets a crowd act; its clients stay connected until the block ends.

    Args:
        crowd: the clients.
        port: of the listener.
        target: path of their requests.
        duration_s: the longest wait before the block, which begins earlier
            when all clients have sent what they can.
    """
    async with AsyncExitStack() as stack:
        tasks = [
            asyncio.create_task(_run(crowd, port, target, stack))
            for _ in range(crowd.size)
        ]
        stack.push_async_callback(_cancel, tasks)
        await asyncio.wait(tasks, timeout=duration_s)
        yield


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _run(
    crowd: Crowd, port: int, target: str, stack: AsyncExitStack
) -> None:
    sock = socket.socket()
    stack.callback(sock.close)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with suppress(*_ENDED):
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ('127.0.0.1', port))
        await crowd.act(Client(sock, target))


async def _send_in_pieces(
    client: Client, content: bytes, piece_bytes: int
) -> None:
    for first in range(0, len(content), piece_bytes):
        await client.send(content[first : first + piece_bytes])


async def _body_in_one_piece(client: Client) -> None:
    await client.send(client.head(f'content-length: {BODY_BYTES}'))
    await client.send(bytes(BODY_BYTES - 1))


async def _body_in_small_pieces(client: Client) -> None:
    await client.send(client.head(f'content-length: {BODY_BYTES}'))
    await _send_in_pieces(client, bytes(BODY_BYTES - 1), _SMALL_PIECE_BYTES)


async def _body_in_chunks(client: Client) -> None:
    await client.send(client.head('transfer-encoding: chunked'))
    chunk = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, bytes(_CHUNK_BYTES))
    await client.send(chunk * (BODY_BYTES // _CHUNK_BYTES))


async def _body_over_the_limit(client: Client) -> None:
    await client.send(client.head('transfer-encoding: chunked'))
    await client.send(b'%x\r\n' % _OVER_BYTES)
    for _ in range(_OVER_BYTES // BODY_BYTES):
        await client.send(bytes(BODY_BYTES))


async def _short_fields(client: Client) -> None:
    number = (HEADER_BYTES - _HEAD_RESERVE_BYTES) // _SHORT_FIELD_BYTES
    fields = ['ab:cd' for _ in range(number)]
    for _ in range(_HEADS_AHEAD):
        await client.send(client.head(*fields, method='GET'))
    await client.send(client.head(*fields, 'content-length: 2'))
    await client.send(b'a')


async def _pipelined(client: Client) -> None:
    for _ in range(_PIPELINED // 100):
        heads = [client.head(method='GET') for _ in range(100)]
        await client.send(b''.join(heads))


async def _slow_sender(client: Client) -> None:
    await client.send(client.head(f'content-length: {BODY_BYTES}'))
    while True:
        await client.send(b'a')
        await asyncio.sleep(_PAUSE_S)


async def _slow_reader(client: Client) -> None:
    for _ in range(_HEADS_AHEAD):
        await client.send(client.head(method='GET'))
    while await client.read(_READ_BYTES):
        await asyncio.sleep(_PAUSE_S)


async def _half_way(client: Client) -> None:
    number = next(_NUMBERS) % 4
    whole = client.head(method='GET')
    if number == 0:
        await client.send(client.head(f'content-length: {BODY_BYTES}'))
        await client.send(bytes(BODY_BYTES // 2))
        client.reset()
    elif number == 1:
        await client.send(whole)
        await client.send(client.head(end='x-half'))
    elif number == 2:
        await client.send(client.head('content-length: 2'))
        await client.send(b'a')
        client.half_close()
    else:
        await client.send(client.head(f'content-length: {BODY_BYTES}'))
        await client.send(bytes(BODY_BYTES // 2))


CROWD_BY_KIND = MappingProxyType(
    {
        'bodies in one piece': Crowd(48, _body_in_one_piece),
        'bodies in small pieces': Crowd(48, _body_in_small_pieces),
        'bodies in chunks': Crowd(48, _body_in_chunks),
        'bodies over the limit': Crowd(48, _body_over_the_limit),
        'short fields': Crowd(300, _short_fields),
        'pipelined': Crowd(30, _pipelined),
        'slow senders': Crowd(300, _slow_sender),
        'slow readers': Crowd(300, _slow_reader),
        'half-way': Crowd(300, _half_way),
    }
)
