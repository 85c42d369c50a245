"""A loopback proxy that harms the connections that go through it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

_CHUNK_BYTES = 65536
_POLL_S = 0.02


class LoopbackProxy:
    """Passes connections on to one address, with faults on request.

    Attributes:
        delay_s: how much later bytes go on.
        held: directions in which bytes wait until the fault ends.
        refusing: whether new connections are closed at once.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = ('127.0.0.1', 0)
        self.delay_s: float = 0
        self.held: frozenset[str] = frozenset()
        self.refusing = False
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stall_connections(self) -> None:
        """Lets open connections deliver nothing more; new ones work."""
        self._silenced.update(self._writers)

    def heal(self) -> None:
        """Ends all faults; silenced connections stay silent."""
        self.delay_s = 0
        self.held = frozenset()
        self.refusing = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        if self.refusing:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, far_writer))
        passing = [
            asyncio.create_task(self._pass(reader, far_writer, 'there')),
            asyncio.create_task(self._pass(far_reader, writer, 'back')),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in passing:
                task.cancel()
            for end in (writer, far_writer):
                self._writers.discard(end)
                self._silenced.discard(end)
                end.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                while direction in self.held or writer in self._silenced:
                    await asyncio.sleep(_POLL_S)
                await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()


@asynccontextmanager
async def running_proxy(
    target: tuple[str, int], port: int = 0
) -> AsyncIterator[LoopbackProxy]:
    """Runs a proxy while the block runs."""
    proxy = LoopbackProxy(target)
    listener = await asyncio.start_server(proxy.serve, '127.0.0.1', port)
    proxy.address = listener.sockets[0].getsockname()[:2]
    try:
        yield proxy
    finally:
        listener.close()
        proxy.reset()
