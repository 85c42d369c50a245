"""Answers that wait in the kernel before the event loop reads them."""

import asyncio
import socket
from dataclasses import dataclass

from tests.builders.raw_server import Accept, Address
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_edge._internal.transport.client_pool import ClientPool

REQUEST = b'GET /x HTTP/1.1\r\nhost: s\r\n\r\n'
_CONNECT_TIMEOUT_S = 5.0
# Room for a whole message that nobody reads yet.
_SEND_BUFFER_BYTES = 1024 * 1024
# Sending fails instead of waiting for a reader in the same thread.
_SEND_TIMEOUT_S = 5.0


def allow_unread_bytes(sock: socket.socket) -> None:
    """Lets a socket send a whole message without a turn of the event loop."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
    sock.settimeout(_SEND_TIMEOUT_S)


def chunked_body(chunk: bytes, count: int) -> bytes:
    """Encodes a body of many equal chunks, without its end."""
    return b'%x\r\n%b\r\n' % (len(chunk), chunk) * count


def chunked_answer(chunk: bytes, count: int, *, ends: bool = True) -> bytes:
    """Encodes an answer whose body has many equal chunks.

    Args:
        chunk: content of each chunk.
        count: number of chunks.
        ends: whether the last chunk is followed by the end of the body.
    """
    head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    return head + chunked_body(chunk, count) + b'0\r\n\r\n' * ends


@dataclass(frozen=True)
class OpenRequest:
    """A request that waits for its answer.

    Attributes:
        answer: ends with the answer or its error.
        peer: the server's end of the connection.
    """

    answer: asyncio.Task[Answer]
    peer: socket.socket

    def send_answer(self, encoded: bytes) -> None:
        """Sends bytes without a turn of the event loop."""
        allow_unread_bytes(self.peer)
        self.peer.sendall(encoded)


async def open_request(
    pool: ClientPool, address: Address, accept: Accept
) -> OpenRequest:
    """Sends a request on a new connection, up to its arrival."""

    async def send() -> Answer:
        async with pool.acquire(
            address, _CONNECT_TIMEOUT_S, force_new=True
        ) as connection:
            return await connection.exchange(REQUEST, lambda _answer: True)

    answer = asyncio.create_task(send())
    peer = await accept()
    await asyncio.get_running_loop().sock_recv(peer, len(REQUEST))
    return OpenRequest(answer, peer)
