"""A loopback proxy that injects faults into its connections."""

import asyncio
import time
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
        client_port_by_port: port of the client of each open connection that
            is not stalled, by the port from which it goes on.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = ('127.0.0.1', 0)
        self.delay_s: float = 0
        self.blocked_directions: frozenset[str] = frozenset()
        self.refuse_connections = False
        self.accepted = 0
        self.held: list[bytes] = []
        self.client_port_by_port: dict[int, int] = {}
        self._disturbed_s: float = 0
        self._target = target
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._stalled: set[asyncio.StreamWriter] = set()

    @property
    def disturbed_s(self) -> float:
        """When a fault was last active, on a monotonic clock."""
        if self.delay_s or self.blocked_directions or self.refuse_connections:
            self._note_fault()
        return self._disturbed_s

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
        self._note_fault()
        for writer in list(self._writers):
            writer.transport.abort()

    def stall_connections(self) -> None:
        """Stops forwarding on open connections; new ones work."""
        self._note_fault()
        self.client_port_by_port.clear()
        self._stalled.update(self._writers)

    def resume_connections(self) -> None:
        """Forwards on stalled connections again, with what they have held."""
        self._stalled.clear()

    def clear_faults(self) -> None:
        """Ends all faults; stalled connections stay stalled."""
        self._note_fault()
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
        port = target_writer.get_extra_info('sockname')[1]
        self.client_port_by_port[port] = writer.get_extra_info('peername')[1]
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
            self._close(port, writer, target_writer)

    def _close(self, port: int, *writers: asyncio.StreamWriter) -> None:
        self.client_port_by_port.pop(port, None)
        for writer in writers:
            self._writers.discard(writer)
            self._stalled.discard(writer)
            writer.close()

    def _note_fault(self) -> None:
        self._disturbed_s = time.monotonic()

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
