"""A TCP server that runs a script on each connection to simulate faults."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Address = tuple[str, int]
Accept = Callable[[], Awaitable[socket.socket]]


@dataclass
class RawServer:
    """Requests and connections of a raw server.

    Attributes:
        heads: request heads of all connections, in the order of arrival.
        connections: number of connections opened so far.
        open_connections: number of connections that are open now.
        stop_accepting: refuses connections from now on; keeps the open ones.
    """

    address: str = ''
    heads: list[bytes] = field(default_factory=list)
    connections: int = 0
    open_connections: int = 0
    stop_accepting: Callable[[], None] = lambda: None

    async def read_request(self, reader: asyncio.StreamReader) -> None:
        """Reads a request with its body and appends its head to ``heads``."""
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append(head)
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.partition(b':')[2]))


@asynccontextmanager
async def run_raw_server(
    make_script: Callable[[RawServer], Script],
) -> AsyncIterator[RawServer]:
    """Runs the script on each connection and aborts the connection after it."""
    raw = RawServer()
    script = make_script(raw)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw.connections += 1
        raw.open_connections += 1
        try:
            await script(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            raw.open_connections -= 1
            writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    raw.address = f'{host}:{port}'
    raw.stop_accepting = server.close
    try:
        yield raw
    finally:
        server.close()


@asynccontextmanager
async def accepting_socket() -> AsyncIterator[tuple[Address, Accept]]:
    """Yields an address, and a function that accepts its next connection.

    The sockets are used directly: what a test sends is in the kernel before
    the event loop reads again.
    """
    accepted: list[socket.socket] = []
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listening:
        listening.setblocking(False)

        async def accept() -> socket.socket:
            peer, _ = await loop.sock_accept(listening)
            accepted.append(peer)
            return peer

        yield listening.getsockname(), accept
        for peer in accepted:
            peer.close()
