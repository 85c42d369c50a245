"""A TCP relay that can stop delivering data on open connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

_CHUNK_BYTES = 1 << 16


class RelayedConnection:
    """One client connection through a relay.

    Attributes:
        first_bytes: start of the client's data, which identifies the sender.
    """

    def __init__(self) -> None:
        self.first_bytes = b''
        self._delivering = asyncio.Event()
        self._delivering.set()

    def silence(self) -> None:
        """Stops delivery in both directions; the connection stays open."""
        self._delivering.clear()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_client: bool,
    ) -> None:
        """Forwards one direction until its end of stream."""
        with suppress(ConnectionError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if from_client and len(self.first_bytes) < _CHUNK_BYTES:
                    self.first_bytes += chunk
                await self._delivering.wait()
                writer.write(chunk)
                await writer.drain()
        writer.close()


class TcpRelay:
    """Forwards connections to one destination address."""

    def __init__(self, destination: str) -> None:
        host, _, port = destination.rpartition(':')
        self._destination = (host, int(port))
        self._connections: set[RelayedConnection] = set()

    def stall_open_connections(self, sender: bytes = b'') -> int:
        """Silences open connections of a sender; returns their number.

        Args:
            sender: bytes in the first data of a client that identify it;
                empty selects all connections.
        """
        silenced = [
            connection
            for connection in self._connections
            if sender in connection.first_bytes
        ]
        for connection in silenced:
            connection.silence()
        return len(silenced)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one client connection until either side ends it."""
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._destination
            )
        except OSError:
            writer.transport.abort()
            return
        connection = RelayedConnection()
        self._connections.add(connection)
        tasks = (
            asyncio.create_task(
                connection.forward(reader, server_writer, from_client=True)
            ),
            asyncio.create_task(
                connection.forward(server_reader, writer, from_client=False)
            ),
        )
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._connections.discard(connection)
            for task, side_writer in zip(
                tasks, (writer, server_writer), strict=True
            ):
                task.cancel()
                side_writer.transport.abort()


@asynccontextmanager
async def running_relay(
    address: str, destination: str
) -> AsyncIterator[TcpRelay]:
    """Runs a relay that listens on an address until the context exits."""
    relay = TcpRelay(destination)
    host, _, port = address.rpartition(':')
    server = await asyncio.start_server(relay.serve, host, int(port))
    try:
        yield relay
    finally:
        server.close()
