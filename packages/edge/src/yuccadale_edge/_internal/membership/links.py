"""Links between instances: framed messages over persistent TCP connections.

Each instance dials its peers to send its own requests and notifications. A
request can be cancelled; the loss of a link fails the requests that wait on
it. An open connection can stall for good although its bytes are acknowledged
and new connections work. Therefore, while a response is late or nothing was
received for some time, the peer has to echo a probe frame, or the link is
closed. Only bytes from the peer count: bytes that left a write buffer may be
in a buffer of the kernel or of a proxy. A peer that receives a large frame
acknowledges its parts, since it reads the probe only after that frame.

A frame may arrive long after it was written: kernels retransmit, and a process
may be suspended. Frames carry the time of their writing on the sender's clock,
so the receiver knows how much later than others one arrives. A link that is
given up is reset, so that the kernel discards what it has not sent; a planned
stop still delivers what was written.
"""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial
from math import inf
from typing import TypeVar

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.supervision import contained
from yuccadale_edge._internal.transport.client_pool import Address
from yuccadale_edge._internal.transport.listening import listen_when_free

_log = structlog.get_logger()

_LENGTH_BYTES = 4
_MAX_FRAME_BYTES = 80 * 1024 * 1024
_READ_CHUNK_BYTES = 64 * 1024
_TCP_USER_TIMEOUT_MS = 1500
_CONNECT_TIMEOUT_S = 0.5
# Closing resets a connection, unless the second option is set before.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_SEND_AFTER_CLOSE = struct.pack('ii', 0, 0)
# A new link is used once the peer has echoed a probe within this time: a kernel
# also accepts connections for a process that is suspended.
_FIRST_ECHO_TIMEOUT_S = 0.8
# The clocks of two instances may differ by this rate.
_CLOCK_RATE_MARGIN = 0.02
# What follows a request that arrives this late is read first: its sender may
# have cancelled it, or closed the link.
_LATE_REQUEST_S = 0.1
_SETTLE_S = 0.05
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
_FAILURE = 6


class Frame(msgspec.Struct, array_like=True):
    """One message on a link.

    Attributes:
        kind: one of the constants above.
        request_id: of a request, its response and its cancellation.
        written_s: when it was written, on the clock of its sender; 0 if that
            runs an earlier version.
    """

    kind: int
    request_id: int
    topic: str
    body: bytes
    written_s: float = 0


class LinkLostError(Exception):
    """The link was lost; the peer may have handled the request."""


class PeerUnreachableError(Exception):
    """No link could be established; nothing was sent."""


class RequestFailedError(LinkLostError):
    """The peer failed to handle the request; the link goes on."""


class UnreadableMessageError(LinkLostError):
    """The peer sent bytes that are no message; the link was closed."""


# Errors after which a link cannot be read any more.
_LINK_ERRORS = (OSError, EOFError, LinkLostError)
# Raised for bytes that are no message; deep nesting ends in a RecursionError.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)

_Message = TypeVar('_Message')
RequestHandler = Callable[[str, bytes, float], Awaitable[bytes]]
MessageHandler = Callable[[str, bytes], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def _frame(kind: int, request_id: int, topic: str, body: bytes) -> bytes:
    frame = Frame(kind, request_id, topic, body, elapsed_s())
    packed = _encoder.encode(frame)
    return len(packed).to_bytes(_LENGTH_BYTES, 'big') + packed


class DueTimes:
    """Tells when the frames of one link should have arrived.

    The difference between the sender's and the receiver's clock is unknown, so
    a delay is relative to the frame that took the shortest time.
    """

    def __init__(self) -> None:
        self._shortest_s = inf
        self._measured_s = elapsed_s()

    def of(self, frame: Frame) -> float:
        """Returns when a frame that is read now was due, on this clock."""
        now_s = elapsed_s()
        if not 0 < frame.written_s < inf:
            return now_s
        drift_s = (now_s - self._measured_s) * _CLOCK_RATE_MARGIN
        self._shortest_s = min(
            now_s - frame.written_s, self._shortest_s + drift_s
        )
        self._measured_s = now_s
        return frame.written_s + self._shortest_s


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

    async def read(self) -> Frame:
        """Returns the next frame.

        Raises:
            OSError, EOFError, LinkLostError: the link cannot be used any more.
        """
        size = int.from_bytes(await self._read_exactly(_LENGTH_BYTES), 'big')
        if size > _MAX_FRAME_BYTES:
            raise LinkLostError(f'frame of {size} bytes exceeds the size limit')
        packed = await self._read_exactly(size)
        try:
            return _decoder.decode(packed)
        except DECODE_ERRORS as error:
            raise UnreadableMessageError(f'invalid frame: {error}') from error

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


def _write(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Writes a frame, unless the connection has ended.

    uvloop raises an error for a connection whose end the reader of the link has
    not noticed yet.
    """
    if not writer.is_closing():
        writer.write(frame)


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    if writer.is_closing():
        raise ConnectionResetError('the connection ended while it was opened')
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _close_after_sending(writer: asyncio.StreamWriter) -> None:
    """Closes a connection; the kernel goes on sending what was written."""
    if writer.is_closing():
        return
    sock = writer.get_extra_info('socket')
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _SEND_AFTER_CLOSE)
    writer.close()


class PeerLink:
    """The dialling side of a link."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._frames = FrameReader(reader)
        self._writer = writer
        self._future_by_request_id: dict[int, asyncio.Future[bytes]] = {}
        self._last_request_id = 0
        self._probe_task: asyncio.Task[None] | None = None
        self._echoed = asyncio.Event()
        self._ended = False

    @property
    def open(self) -> bool:
        """Whether the link can be used."""
        return not self._ended and not self._writer.is_closing()

    @property
    def established(self) -> bool:
        """Whether the peer has read from the link, which is open."""
        return self.open and self._echoed.is_set()

    async def establish(self) -> None:
        """Waits until the peer has echoed a probe; closes the link otherwise.

        Raises:
            PeerUnreachableError: the link was closed.
        """
        _write(self._writer, _frame(_PROBE, 0, '', b''))
        try:
            async with asyncio.timeout(_FIRST_ECHO_TIMEOUT_S):
                await self._echoed.wait()
        except TimeoutError:
            """The link is closed below."""
        finally:
            if not self.established:
                self.close()
        if not self.open:
            raise PeerUnreachableError('no echo on a new link')

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
        _write(self._writer, _frame(_REQUEST, request_id, topic, body))
        late = asyncio.get_running_loop().call_later(
            _LATE_RESPONSE_S, self.probe
        )
        try:
            return await future
        except asyncio.CancelledError:
            if self.open:
                _write(self._writer, _frame(_CANCEL, request_id, topic, b''))
            raise
        finally:
            late.cancel()
            self._future_by_request_id.pop(request_id, None)

    def notify(self, topic: str, body: bytes) -> None:
        """Sends a message that gets no response."""
        if not self.open:
            return
        _write(self._writer, _frame(_NOTIFICATION, 0, topic, body))
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
                self._handle_frame(await self._frames.read())
        except _LINK_ERRORS as error:
            _log.debug('link to a peer closed', reason=repr(error))
        finally:
            self.close()

    def close(self) -> None:
        """Resets the link and fails the requests that wait on it."""
        self._writer.transport.abort()
        self._end()

    def close_after_sending(self) -> None:
        """Closes the link; what was written before is still delivered."""
        _close_after_sending(self._writer)
        self._end()

    def _end(self) -> None:
        self._ended = True
        self._echoed.set()
        for future in self._future_by_request_id.values():
            if not future.done():
                future.set_exception(LinkLostError('the link was lost'))

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind == _ECHO:
            self._echoed.set()
        future = self._future_by_request_id.get(frame.request_id)
        if future is None or future.done():
            return
        if frame.kind == _RESPONSE:
            future.set_result(frame.body)
        elif frame.kind == _FAILURE:
            future.set_exception(RequestFailedError('unexpected error'))

    async def _await_echo(self) -> None:
        read_before = self._frames.bytes_read
        _write(self._writer, _frame(_PROBE, 0, '', b''))
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
        self._unreadable_peers: set[Address] = set()

    async def request(
        self,
        address: Address,
        topic: str,
        body: bytes,
        timeout_s: float,
        decode: Callable[[bytes], _Message],
    ) -> _Message:
        """Sends a request to a peer and waits for its response.

        Args:
            address: address of the peer.
            topic: topic of the request.
            body: encoded request.
            timeout_s: longest wait for the response.
            decode: decodes the response; its errors are `DECODE_ERRORS`.

        Returns:
            The decoded response.

        Raises:
            PeerUnreachableError: nothing was sent.
            LinkLostError: no response; the peer may have handled the request.
            UnreadableMessageError: the response could not be decoded.
        """
        link = await self._link(address)
        try:
            async with asyncio.timeout(timeout_s):
                response = await link.request(topic, body)
        except TimeoutError as error:
            link.probe()
            raise LinkLostError(f'no response within {timeout_s} s') from error
        try:
            message = decode(response)
        except DECODE_ERRORS as error:
            self._close_unreadable(address, topic, error)
            raise UnreadableMessageError(
                f'unreadable response to {topic}: {error}'
            ) from error
        self._unreadable_peers.discard(address)
        return message

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
        """Resets the link to an address; the next use dials again."""
        link = self._link_by_address.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Closes all links; what was written before is still delivered."""
        for link in self._link_by_address.values():
            link.close_after_sending()
        self._link_by_address.clear()

    def _close_unreadable(
        self, address: Address, topic: str, error: Exception
    ) -> None:
        """Closes a link with an unreadable response; logs the first one."""
        self.drop(address)
        if address not in self._unreadable_peers:
            self._unreadable_peers.add(address)
            _log.warning(
                'unreadable response of a peer, link closed',
                peer=address,
                topic=topic,
                reason=str(error),
            )

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
            _set_socket_options(writer)
        except (OSError, TimeoutError) as error:
            raise PeerUnreachableError(f'cannot connect: {error!r}') from error
        link = PeerLink(reader, writer)
        task = asyncio.create_task(link.read())
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        await link.establish()
        self._link_by_address[address] = link
        return link


class PeerServer:
    """The accepting side of all links.

    Attributes:
        active_requests: number of requests without a response yet.
    """

    def __init__(
        self,
        handle_request: RequestHandler,
        handle_message: MessageHandler,
        metrics: Metrics,
    ) -> None:
        """Creates the server.

        Args:
            handle_request: returns the response to a topic and a body. It
                gets the time at which they were due, on the clock of
                ``elapsed_s``, since they may have arrived late.
            handle_message: handles a topic and body without a response.
            metrics: counts messages that could not be handled.
        """
        self._handle_request = handle_request
        self._handle_message = handle_message
        self._metrics = metrics
        self._writers: set[asyncio.StreamWriter] = set()
        self._unreadable_hosts: set[str] = set()
        self.active_requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one link until it ends, and cancels its requests then.

        A message that cannot be decoded ends the link. Another error ends only
        the handling of its message.
        """
        self._writers.add(writer)
        task_by_request_id: dict[int, asyncio.Task[None]] = {}

        def acknowledge() -> None:
            _write(writer, _frame(_ECHO, 0, '', b''))

        frames = FrameReader(reader, acknowledge)
        try:
            await self._serve_frames(writer, task_by_request_id, frames)
        except UnreadableMessageError as error:
            self._log_unreadable(writer, str(error))
        except _LINK_ERRORS as error:
            _log.debug('link from a peer closed', reason=repr(error))
        finally:
            self._close_link(writer, task_by_request_id)

    def close(self) -> None:
        """Closes all accepted links; what was written is still delivered."""
        for writer in list(self._writers):
            _close_after_sending(writer)

    async def _serve_frames(
        self,
        writer: asyncio.StreamWriter,
        task_by_request_id: dict[int, asyncio.Task[None]],
        frames: FrameReader,
    ) -> None:
        _set_socket_options(writer)
        due_times = DueTimes()
        while True:
            frame = await frames.read()
            due_s = due_times.of(frame)
            with contained(
                'message of a peer',
                self._metrics,
                passing=(UnreadableMessageError,),
            ):
                self._handle_frame(writer, task_by_request_id, frame, due_s)

    def _handle_frame(
        self,
        writer: asyncio.StreamWriter,
        task_by_request_id: dict[int, asyncio.Task[None]],
        frame: Frame,
        due_s: float,
    ) -> None:
        if frame.kind == _NOTIFICATION:
            self._receive(frame)
        elif frame.kind == _PROBE:
            _write(writer, _frame(_ECHO, frame.request_id, frame.topic, b''))
        elif frame.kind == _CANCEL:
            _cancel(task_by_request_id.pop(frame.request_id, None))
        elif frame.kind == _REQUEST:
            self._start_request(writer, task_by_request_id, frame, due_s)

    def _start_request(
        self,
        writer: asyncio.StreamWriter,
        task_by_request_id: dict[int, asyncio.Task[None]],
        frame: Frame,
        due_s: float,
    ) -> None:
        def forget(_done: asyncio.Task[None]) -> None:
            task_by_request_id.pop(frame.request_id, None)

        task = asyncio.create_task(self._respond(writer, frame, due_s))
        task_by_request_id[frame.request_id] = task
        task.add_done_callback(forget)

    def _receive(self, frame: Frame) -> None:
        try:
            self._handle_message(frame.topic, frame.body)
        except DECODE_ERRORS as error:
            raise UnreadableMessageError(
                f'unreadable message {frame.topic}: {error}'
            ) from error

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
        self, writer: asyncio.StreamWriter, frame: Frame, due_s: float
    ) -> None:
        if elapsed_s() - due_s > _LATE_REQUEST_S:
            self._metrics.count('late_peer_requests', topic=frame.topic)
            await asyncio.sleep(_SETTLE_S)
        self.active_requests += 1
        kind = _FAILURE
        response = b''
        try:
            with contained(
                'request of a peer', self._metrics, passing=DECODE_ERRORS
            ):
                response = await self._handle_request(
                    frame.topic, frame.body, due_s
                )
                kind = _RESPONSE
        except DECODE_ERRORS as error:
            self._log_unreadable(writer, str(error))
            writer.transport.abort()
            return
        finally:
            self.active_requests -= 1
        _write(writer, _frame(kind, frame.request_id, frame.topic, response))

    def _log_unreadable(
        self, writer: asyncio.StreamWriter, reason: str
    ) -> None:
        """Logs the first unreadable message of each host."""
        self._metrics.count('unreadable_messages')
        host = writer.get_extra_info('peername', ('',))[0]
        if host not in self._unreadable_hosts:
            self._unreadable_hosts.add(host)
            _log.warning(
                'unreadable message of a peer, link closed',
                peer=host,
                reason=reason,
            )


def _cancel(task: asyncio.Task[None] | None) -> None:
    if task is not None:
        task.cancel()


@asynccontextmanager
async def peer_listener(
    address: Address, server: PeerServer
) -> AsyncIterator[None]:
    """Listens for peers while the block runs."""
    listener = await listen_when_free(
        partial(asyncio.start_server, server.serve, *address), address
    )
    try:
        yield
    finally:
        listener.close()
        server.close()
