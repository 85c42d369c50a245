"""Links between instances: framed messages over kept TCP connections.

Each instance dials the others for its own questions and news. A question may
be cancelled; a link that is lost fails the questions that wait on it. An open
connection can go silent for good while new ones work, also where the kernel
sees its bytes acknowledged: after a question without an answer the peer has
to echo a frame, or the link is closed.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import structlog

from yuccadale_edge._internal.transport.client_pool import Address

_log = structlog.get_logger()

_LENGTH_BYTES = 4
_MAX_FRAME_BYTES = 80 * 1024 * 1024
_PIECE_BYTES = 64 * 1024
_UNACKNOWLEDGED_MS = 1500
_CONNECT_TIMEOUT_S = 0.5
# A peer that runs echoes a frame within some ms, unless large frames are on
# their way before it; a paused one is reached again by a new link.
_ECHO_TIMEOUT_S = 1.0

_QUESTION = 0
_ANSWER = 1
_CANCEL = 2
_NEWS = 3
_PROBE = 4
_ECHO = 5


class LinkLostError(Exception):
    """The link ended; a question on it may have been acted on."""


class PeerUnreachableError(Exception):
    """No link could be made; nothing was sent."""


# What ends the reading side of a link.
_LINK_ENDS = (OSError, EOFError, msgspec.DecodeError, LinkLostError)

Answerer = Callable[[str, bytes], Awaitable[bytes]]
Listener = Callable[[str, bytes], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder()


def _frame(kind: int, number: int, topic: str, body: bytes) -> bytes:
    packed = _encoder.encode((kind, number, topic, body))
    return len(packed).to_bytes(_LENGTH_BYTES, 'big') + packed


class FrameReader:
    """Reads frames, and counts the bytes of those that are under way too."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.bytes_read = 0
        self._reader = reader

    async def read(self) -> Any:
        """Returns the next frame.

        Raises:
            OSError, EOFError, msgspec.DecodeError, LinkLostError: the link
                cannot be used any more.
        """
        size = int.from_bytes(await self._exactly(_LENGTH_BYTES), 'big')
        if size > _MAX_FRAME_BYTES:
            raise LinkLostError(f'a frame of {size} bytes is too large')
        return _decoder.decode(await self._exactly(size))

    async def _exactly(self, size: int) -> bytes:
        pieces: list[bytes] = []
        left = size
        while left:
            piece = await self._reader.read(min(left, _PIECE_BYTES))
            if not piece:
                raise EOFError(f'the link ended {left} bytes early')
            self.bytes_read += len(piece)
            pieces.append(piece)
            left -= len(piece)
        return b''.join(pieces)


def _tune(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )


class PeerLink:
    """The dialled side of a link."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._frames = FrameReader(reader)
        self._writer = writer
        self._future_by_number: dict[int, asyncio.Future[bytes]] = {}
        self._next_number = 0
        self._probe: asyncio.Task[None] | None = None
        self.open = True

    async def request(self, topic: str, body: bytes) -> bytes:
        """Sends a question and waits for its answer.

        Raises:
            PeerUnreachableError: the link had ended before.
            LinkLostError: the link ended without an answer.
        """
        if not self.open:
            raise PeerUnreachableError('the link has ended')
        self._next_number += 1
        number = self._next_number
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_number[number] = future
        self._writer.write(_frame(_QUESTION, number, topic, body))
        try:
            return await future
        except asyncio.CancelledError:
            if self.open:
                self._writer.write(_frame(_CANCEL, number, topic, b''))
            raise
        finally:
            self._future_by_number.pop(number, None)

    def tell(self, topic: str, body: bytes) -> None:
        """Sends news; nothing is answered."""
        if self.open:
            self._writer.write(_frame(_NEWS, 0, topic, body))

    def prove(self) -> None:
        """Closes the link unless the peer still answers on it."""
        if self.open and self._probe is None:
            self._probe = asyncio.create_task(self._await_echo())

    async def read(self) -> None:
        """Hands out answers until the link ends."""
        try:
            while True:
                _, number, _, body = await self._frames.read()
                future = self._future_by_number.get(number)
                if future is not None and not future.done():
                    future.set_result(body)
        except _LINK_ENDS as error:
            _log.debug('link to a peer ended', reason=repr(error))
        finally:
            self.close()

    def close(self) -> None:
        """Ends the link and fails the questions on it."""
        self.open = False
        transport = self._writer.transport
        transport.abort()
        for future in self._future_by_number.values():
            if not future.done():
                future.set_exception(LinkLostError('the link was lost'))

    async def _await_echo(self) -> None:
        """Closes the link if nothing moves on it any more."""
        self._writer.write(_frame(_PROBE, 0, '', b''))
        read_before = self._frames.bytes_read
        unsent_before = self._unsent_bytes()
        await asyncio.sleep(_ECHO_TIMEOUT_S)
        self._probe = None
        moves = (
            self._frames.bytes_read > read_before
            or self._unsent_bytes() < unsent_before
        )
        if self.open and not moves:
            _log.warning(
                'silent link to a peer closed',
                waited_s=_ECHO_TIMEOUT_S,
                questions=len(self._future_by_number),
                unsent_bytes=unsent_before,
            )
            self.close()

    def _unsent_bytes(self) -> int:
        return self._writer.transport.get_write_buffer_size()


class PeerLinks:
    """All links that this instance dialled, by address."""

    def __init__(self) -> None:
        self._link_by_address: dict[Address, PeerLink] = {}
        self._lock_by_address: dict[Address, asyncio.Lock] = {}
        self._readers: set[asyncio.Task[None]] = set()

    async def request(
        self, address: Address, topic: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Asks a peer.

        Raises:
            PeerUnreachableError: nothing was sent.
            LinkLostError: it may have been acted on.
        """
        link = await self._link(address)
        try:
            async with asyncio.timeout(timeout_s):
                return await link.request(topic, body)
        except TimeoutError as error:
            link.prove()
            raise LinkLostError(f'no answer within {timeout_s} s') from error

    async def tell(self, address: Address, topic: str, body: bytes) -> bool:
        """Sends news; returns false when the peer is unreachable."""
        try:
            link = await self._link(address)
        except PeerUnreachableError:
            return False
        link.tell(topic, body)
        return link.open

    def drop(self, address: Address) -> None:
        """Ends the link to an address, so that the next use dials again."""
        link = self._link_by_address.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Ends all links."""
        for address in list(self._link_by_address):
            self.drop(address)

    async def _link(self, address: Address) -> PeerLink:
        known = self._link_by_address.get(address)
        if known is not None and known.open:
            return known
        lock = self._lock_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            known = self._link_by_address.get(address)
            if known is not None and known.open:
                return known
            return await self._dial(address)

    async def _dial(self, address: Address) -> PeerLink:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError) as error:
            raise PeerUnreachableError(f'cannot connect: {error!r}') from error
        _tune(writer)
        link = PeerLink(reader, writer)
        self._link_by_address[address] = link
        task = asyncio.create_task(link.read())
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        return link


class PeerServer:
    """The accepting side: answers questions and takes news."""

    def __init__(self, answer: Answerer, listen: Listener) -> None:
        self._answer = answer
        self._listen = listen
        self._writers: set[asyncio.StreamWriter] = set()
        self.active_requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one link until it ends; what it asked is then cancelled."""
        _tune(writer)
        self._writers.add(writer)
        task_by_number: dict[int, asyncio.Task[None]] = {}
        frames = FrameReader(reader)
        try:
            while True:
                self._take(writer, task_by_number, await frames.read())
        except _LINK_ENDS as error:
            _log.debug('link from a peer ended', reason=repr(error))
        finally:
            self._end(writer, task_by_number)

    def close(self) -> None:
        """Ends all accepted links."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _take(
        self,
        writer: asyncio.StreamWriter,
        task_by_number: dict[int, asyncio.Task[None]],
        frame: Any,
    ) -> None:
        kind, number, topic, body = frame
        if kind == _NEWS:
            self._listen(topic, body)
        elif kind == _PROBE:
            writer.write(_frame(_ECHO, number, topic, b''))
        elif kind == _CANCEL:
            known = task_by_number.pop(number, None)
            if known is not None:
                known.cancel()
        else:
            task = asyncio.create_task(
                self._respond(writer, number, topic, body)
            )
            task_by_number[number] = task

            def forget(_done: asyncio.Task[None]) -> None:
                task_by_number.pop(number, None)

            task.add_done_callback(forget)

    def _end(
        self,
        writer: asyncio.StreamWriter,
        task_by_number: dict[int, asyncio.Task[None]],
    ) -> None:
        for waiting in list(task_by_number.values()):
            waiting.cancel()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _respond(
        self, writer: asyncio.StreamWriter, number: int, topic: str, body: bytes
    ) -> None:
        self.active_requests += 1
        try:
            answer = await self._answer(topic, body)
            writer.write(_frame(_ANSWER, number, topic, answer))
        finally:
            self.active_requests -= 1


@asynccontextmanager
async def peer_listener(
    address: Address, server: PeerServer
) -> AsyncIterator[None]:
    """Listens for peers while the block runs."""
    listener = await asyncio.start_server(server.serve, *address)
    try:
        yield
    finally:
        listener.close()
        server.close()
