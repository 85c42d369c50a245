"""A TCP relay whose open connections can stop delivering data."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

_CHUNK_BYTES = 1 << 16


class RelayedConnection:
    """One connection through a relay.

    Attributes:
        first_bytes: what the dialling side sent first; it names the sender.
    """

    def __init__(self) -> None:
        self.first_bytes = b''
        self._delivering = asyncio.Event()
        self._delivering.set()

    def silence(self) -> None:
        """Delivers nothing from now on; the connection stays open."""
        self._delivering.clear()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_dialler: bool,
    ) -> None:
        """Copies one direction until it ends."""
        with suppress(ConnectionError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if from_dialler and len(self.first_bytes) < _CHUNK_BYTES:
                    self.first_bytes += chunk
                await self._delivering.wait()
                writer.write(chunk)
                await writer.drain()
        writer.close()


class TcpRelay:
    """Forwards connections to one address."""

    def __init__(self, destination: str) -> None:
        host, _, port = destination.rpartition(':')
        self._destination = (host, int(port))
        self._connections: set[RelayedConnection] = set()

    def silence_open(self, sender: bytes = b'') -> int:
        """Silences the open connections of a sender; returns their number.

        Args:
            sender: bytes that the dialling side sent; all when empty.
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
        """Relays one connection."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._destination
            )
        except OSError:
            writer.transport.abort()
            return
        connection = RelayedConnection()
        self._connections.add(connection)
        pumps = (
            asyncio.create_task(
                connection.pump(reader, far_writer, from_dialler=True)
            ),
            asyncio.create_task(
                connection.pump(far_reader, writer, from_dialler=False)
            ),
        )
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._connections.discard(connection)
            for pump, end in zip(pumps, (writer, far_writer), strict=True):
                pump.cancel()
                end.transport.abort()


@asynccontextmanager
async def running_relay(
    address: str, destination: str
) -> AsyncIterator[TcpRelay]:
    """Listens on an address until the block ends."""
    relay = TcpRelay(destination)
    host, _, port = address.rpartition(':')
    server = await asyncio.start_server(relay.serve, host, int(port))
    try:
        yield relay
    finally:
        server.close()
