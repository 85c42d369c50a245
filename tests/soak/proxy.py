"""A loopback proxy that injects faults into its connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

_CHUNK_BYTES = 65536
_POLL_S = 0.02


class LoopbackProxy:
    """Forwards connections to one address and injects faults.

    Attributes:
        delay_s: delay of each chunk that is forwarded.
        blocked_directions: directions in which bytes wait until the fault
            ends, of ``to_target`` and ``from_target``.
        refuse_connections: whether new connections are closed at once.
        accepted: number of connections forwarded so far.
        held: chunks that had to wait until a fault ends.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = ('127.0.0.1', 0)
        self.delay_s: float = 0
        self.blocked_directions: frozenset[str] = frozenset()
        self.refuse_connections = False
        self.accepted = 0
        self.held: list[bytes] = []
        self._target = target
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._stalled: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int = 0) -> None:
        """Listens on a port of the loopback address, 0 for any free one."""
        self._listener = await asyncio.start_server(
            self.serve, self.address[0], port
        )
        self.address = self._listener.sockets[0].getsockname()[:2]

    def stop_listening(self) -> None:
        """Refuses new connections, as a port that nobody listens on."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stall_connections(self) -> None:
        """Stops forwarding on open connections; new ones work."""
        self._stalled.update(self._writers)

    def resume_connections(self) -> None:
        """Forwards on stalled connections again, with what they have held."""
        self._stalled.clear()

    def clear_faults(self) -> None:
        """Ends all faults; stalled connections stay stalled."""
        self.delay_s = 0
        self.blocked_directions = frozenset()
        self.refuse_connections = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection."""
        if self.refuse_connections:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self.accepted += 1
        self._writers.update((writer, target_writer))
        forwarding = [
            asyncio.create_task(
                self._forward(reader, target_writer, 'to_target')
            ),
            asyncio.create_task(
                self._forward(target_reader, writer, 'from_target')
            ),
        ]
        try:
            await asyncio.wait(forwarding, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in forwarding:
                task.cancel()
            for open_writer in (writer, target_writer):
                self._writers.discard(open_writer)
                self._stalled.discard(open_writer)
                open_writer.close()

    def _is_blocked(self, writer: asyncio.StreamWriter, direction: str) -> bool:
        return direction in self.blocked_directions or writer in self._stalled

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self._is_blocked(writer, direction):
                    self.held.append(chunk)
                while self._is_blocked(writer, direction):
                    await asyncio.sleep(_POLL_S)
                await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()


@asynccontextmanager
async def running_proxy(
    target: tuple[str, int], port: int = 0
) -> AsyncIterator[LoopbackProxy]:
    """Runs a proxy."""
    proxy = LoopbackProxy(target)
    await proxy.listen(port)
    try:
        yield proxy
    finally:
        proxy.stop_listening()
        proxy.reset()
