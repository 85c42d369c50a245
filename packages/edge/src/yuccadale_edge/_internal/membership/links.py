"""Links between instances: framed messages over persistent TCP connections.

Each instance dials its peers to send its own requests and notifications. A
request can be cancelled; the loss of a link fails the requests that wait on
it. An open connection can stall for good although its bytes are acknowledged
and new connections work. Therefore, while a response is late or nothing was
received for some time, the peer has to echo a probe frame, or the link is
closed. Only bytes from the peer count: bytes that left a write buffer may be
in a buffer of the kernel or of a proxy. A peer that receives a large frame
acknowledges its parts, since it reads the probe only after that frame.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.transport.client_pool import Address

_log = structlog.get_logger()

_LENGTH_BYTES = 4
_MAX_FRAME_BYTES = 80 * 1024 * 1024
_READ_CHUNK_BYTES = 64 * 1024
_TCP_USER_TIMEOUT_MS = 1500
_CONNECT_TIMEOUT_S = 0.5
# A running peer echoes a probe within a few ms; a peer that was paused is
# reached again by a new link.
_ECHO_TIMEOUT_S = 1.0
# A response is late after this time. Most responses to reports take a few ms.
_LATE_RESPONSE_S = 0.35
# A link that carries only notifications is probed when nothing was received on
# it for this long.
_PROOF_INTERVAL_S = 3.0
# A receiver acknowledges a large frame at least this often. A link that is
# slower than this in the time of an echo counts as stalled.
_ACKNOWLEDGED_BYTES = 16 * 1024

_REQUEST = 0
_RESPONSE = 1
_CANCEL = 2
_NOTIFICATION = 3
_PROBE = 4
_ECHO = 5


class LinkLostError(Exception):
    """The link was lost; the peer may have handled the request."""


class PeerUnreachableError(Exception):
    """No link could be established; nothing was sent."""


# Errors after which a link cannot be read any more.
_LINK_ERRORS = (OSError, EOFError, msgspec.DecodeError, LinkLostError)

RequestHandler = Callable[[str, bytes], Awaitable[bytes]]
MessageHandler = Callable[[str, bytes], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder()


def _frame(kind: int, request_id: int, topic: str, body: bytes) -> bytes:
    packed = _encoder.encode((kind, request_id, topic, body))
    return len(packed).to_bytes(_LENGTH_BYTES, 'big') + packed


class FrameReader:
    """Reads frames.

    Attributes:
        bytes_read: number of bytes read, including incomplete frames.
        read_s: when bytes were last read, or when the link was opened.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        acknowledge: Callable[[], None] | None = None,
    ) -> None:
        """Creates a reader.

        Args:
            reader: the stream.
            acknowledge: called for each ``_ACKNOWLEDGED_BYTES`` of a frame
                that is not complete yet.
        """
        self.bytes_read = 0
        self.read_s = elapsed_s()
        self._reader = reader
        self._acknowledge = acknowledge
        self._unacknowledged_bytes = 0

    async def read(self) -> Any:
        """Returns the next frame.

        Raises:
            OSError, EOFError, msgspec.DecodeError, LinkLostError: the link
                cannot be used any more.
        """
        size = int.from_bytes(await self._read_exactly(_LENGTH_BYTES), 'big')
        if size > _MAX_FRAME_BYTES:
            raise LinkLostError(f'frame of {size} bytes exceeds the size limit')
        return _decoder.decode(await self._read_exactly(size))

    async def _read_exactly(self, size: int) -> bytes:
        chunks: list[bytes] = []
        left = size
        while left:
            chunk = await self._reader.read(min(left, _READ_CHUNK_BYTES))
            if not chunk:
                raise EOFError(
                    f'connection closed {left} bytes before the end of a frame'
                )
            chunks.append(chunk)
            left -= len(chunk)
            self._record_chunk(len(chunk), left)
        return b''.join(chunks)

    def _record_chunk(self, size: int, left: int) -> None:
        self.bytes_read += size
        self.read_s = elapsed_s()
        self._unacknowledged_bytes += size
        if left == 0:
            self._unacknowledged_bytes = 0
        elif self._unacknowledged_bytes >= _ACKNOWLEDGED_BYTES:
            self._unacknowledged_bytes = 0
            if self._acknowledge is not None:
                self._acknowledge()


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )


class PeerLink:
    """The dialling side of a link.

    Attributes:
        open: whether the link can be used.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._frames = FrameReader(reader)
        self._writer = writer
        self._future_by_request_id: dict[int, asyncio.Future[bytes]] = {}
        self._last_request_id = 0
        self._probe_task: asyncio.Task[None] | None = None
        self.open = True

    async def request(self, topic: str, body: bytes) -> bytes:
        """Sends a request and waits for its response.

        Raises:
            PeerUnreachableError: the link was closed before the request.
            LinkLostError: the link was lost before the response.
        """
        if not self.open:
            raise PeerUnreachableError('the link is closed')
        self._last_request_id += 1
        request_id = self._last_request_id
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_request_id[request_id] = future
        self._writer.write(_frame(_REQUEST, request_id, topic, body))
        late = asyncio.get_running_loop().call_later(
            _LATE_RESPONSE_S, self.probe
        )
        try:
            return await future
        except asyncio.CancelledError:
            if self.open:
                self._writer.write(_frame(_CANCEL, request_id, topic, b''))
            raise
        finally:
            late.cancel()
            self._future_by_request_id.pop(request_id, None)

    def notify(self, topic: str, body: bytes) -> None:
        """Sends a message that gets no response."""
        if not self.open:
            return
        self._writer.write(_frame(_NOTIFICATION, 0, topic, body))
        if elapsed_s() - self._frames.read_s > _PROOF_INTERVAL_S:
            self.probe()

    def probe(self) -> None:
        """Sends a probe, and closes the link if the peer does not echo it."""
        if self.open and self._probe_task is None:
            self._probe_task = asyncio.create_task(self._await_echo())

    async def read(self) -> None:
        """Passes responses to their requests until the link ends."""
        try:
            while True:
                _, request_id, _, body = await self._frames.read()
                future = self._future_by_request_id.get(request_id)
                if future is not None and not future.done():
                    future.set_result(body)
        except _LINK_ERRORS as error:
            _log.debug('link to a peer closed', reason=repr(error))
        finally:
            self.close()

    def close(self) -> None:
        """Closes the link and fails the requests that wait on it."""
        self.open = False
        transport = self._writer.transport
        transport.abort()
        for future in self._future_by_request_id.values():
            if not future.done():
                future.set_exception(LinkLostError('the link was lost'))

    async def _await_echo(self) -> None:
        read_before = self._frames.bytes_read
        self._writer.write(_frame(_PROBE, 0, '', b''))
        await asyncio.sleep(_ECHO_TIMEOUT_S)
        self._probe_task = None
        if self.open and self._frames.bytes_read == read_before:
            _log.warning(
                'stalled link to a peer closed, next request reconnects',
                waited_s=_ECHO_TIMEOUT_S,
                requests=len(self._future_by_request_id),
            )
            self.close()


class PeerLinks:
    """All links that this instance dialled, by address of the peer."""

    def __init__(self) -> None:
        self._link_by_address: dict[Address, PeerLink] = {}
        self._lock_by_address: dict[Address, asyncio.Lock] = {}
        self._readers: set[asyncio.Task[None]] = set()

    async def request(
        self, address: Address, topic: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Sends a request to a peer and waits for its response.

        Args:
            address: address of the peer.
            topic: topic of the request.
            body: encoded request.
            timeout_s: longest wait for the response.

        Returns:
            The encoded response.

        Raises:
            PeerUnreachableError: nothing was sent.
            LinkLostError: no response; the peer may have handled the request.
        """
        link = await self._link(address)
        try:
            async with asyncio.timeout(timeout_s):
                return await link.request(topic, body)
        except TimeoutError as error:
            link.probe()
            raise LinkLostError(f'no response within {timeout_s} s') from error

    async def notify(self, address: Address, topic: str, body: bytes) -> bool:
        """Sends a message that gets no response.

        Returns:
            False when the peer is unreachable.
        """
        try:
            link = await self._link(address)
        except PeerUnreachableError:
            return False
        link.notify(topic, body)
        return link.open

    def drop(self, address: Address) -> None:
        """Closes the link to an address; the next use dials again."""
        link = self._link_by_address.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Closes all links."""
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
        _set_socket_options(writer)
        link = PeerLink(reader, writer)
        self._link_by_address[address] = link
        task = asyncio.create_task(link.read())
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        return link


class PeerServer:
    """The accepting side of all links.

    Attributes:
        active_requests: number of requests without a response yet.
    """

    def __init__(
        self, handle_request: RequestHandler, handle_message: MessageHandler
    ) -> None:
        self._handle_request = handle_request
        self._handle_message = handle_message
        self._writers: set[asyncio.StreamWriter] = set()
        self.active_requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one link until it ends, and cancels its requests then."""
        _set_socket_options(writer)
        self._writers.add(writer)
        task_by_request_id: dict[int, asyncio.Task[None]] = {}

        def acknowledge() -> None:
            writer.write(_frame(_ECHO, 0, '', b''))

        frames = FrameReader(reader, acknowledge)
        try:
            while True:
                self._handle_frame(
                    writer, task_by_request_id, await frames.read()
                )
        except _LINK_ERRORS as error:
            _log.debug('link from a peer closed', reason=repr(error))
        finally:
            self._close_link(writer, task_by_request_id)

    def close(self) -> None:
        """Closes all accepted links."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _handle_frame(
        self,
        writer: asyncio.StreamWriter,
        task_by_request_id: dict[int, asyncio.Task[None]],
        frame: Any,
    ) -> None:
        kind, request_id, topic, body = frame
        if kind == _NOTIFICATION:
            self._handle_message(topic, body)
        elif kind == _PROBE:
            writer.write(_frame(_ECHO, request_id, topic, b''))
        elif kind == _CANCEL:
            known = task_by_request_id.pop(request_id, None)
            if known is not None:
                known.cancel()
        else:
            task = asyncio.create_task(
                self._respond(writer, request_id, topic, body)
            )
            task_by_request_id[request_id] = task

            def forget(_done: asyncio.Task[None]) -> None:
                task_by_request_id.pop(request_id, None)

            task.add_done_callback(forget)

    def _close_link(
        self,
        writer: asyncio.StreamWriter,
        task_by_request_id: dict[int, asyncio.Task[None]],
    ) -> None:
        for waiting in list(task_by_request_id.values()):
            waiting.cancel()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        request_id: int,
        topic: str,
        body: bytes,
    ) -> None:
        self.active_requests += 1
        try:
            response = await self._handle_request(topic, body)
            writer.write(_frame(_RESPONSE, request_id, topic, response))
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
