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

Forwarded requests and their responses carry bodies of callers and servers. A
large one is announced by its size and sent in parts once the receiver has room
for all of it. Other frames are sent between the parts. A request without room
is refused before its body is sent; a response waits at its sender.
"""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from math import inf
from typing import TypeVar

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.parts import (
    PART_BYTES,
    IncomingBody,
    PartWriter,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.supervision import contained
from yuccadale_edge._internal.transport.client_pool import Address
from yuccadale_edge._internal.transport.held_bytes import (
    AnswerRoom,
    BodyShare,
    HeldBytes,
)
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
# The receiver has room for a body that was announced.
_ACCEPT = 7
_PART = 8
_NO_ROOM = 9
_PART_READ = 10

# The topic of requests whose bodies, and those of their responses, are counted
# as held for others. Other messages are small or cannot be refused.
FORWARD_TOPIC = 'forward'


class Frame(msgspec.Struct, array_like=True):
    """One message on a link.

    Attributes:
        kind: one of the constants above.
        request_id: of a request, its response and its cancellation.
        written_s: when it was written, on the clock of its sender; 0 if that
            runs an earlier version.
        size: of the body if it follows in parts.
    """

    kind: int
    request_id: int
    topic: str
    body: bytes
    written_s: float = 0
    size: int = 0


class LinkLostError(Exception):
    """The link was lost; the peer may have handled the request."""


class PeerUnreachableError(Exception):
    """No link could be established; nothing was sent."""


class NoRoomError(Exception):
    """The peer has no room for the request; it was not handled."""


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


def _frame(
    kind: int, request_id: int, topic: str, body: bytes, size: int = 0
) -> bytes:
    frame = Frame(kind, request_id, topic, body, elapsed_s(), size)
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
            frame = _decoder.decode(packed)
        except DECODE_ERRORS as error:
            raise UnreadableMessageError(f'invalid frame: {error}') from error
        if not 0 <= frame.size <= _MAX_FRAME_BYTES:
            raise UnreadableMessageError(f'body of {frame.size} bytes')
        return frame

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


def _keep() -> None:
    """Gives up nothing: the server has run the request."""


def _write(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Writes a frame, unless the connection has ended.

    uvloop raises an error for a connection whose end the reader of the link has
    not noticed yet.
    """
    if not writer.is_closing():
        writer.write(frame)


def _unsent_bytes(writer: asyncio.StreamWriter) -> int:
    if writer.is_closing():
        return 0
    return writer.transport.get_write_buffer_size()


def _in_parts(topic: str, body: bytes) -> bool:
    return topic == FORWARD_TOPIC and len(body) > PART_BYTES


def _part_writer(writer: asyncio.StreamWriter) -> PartWriter:
    def write_part(request_id: int, part: bytes) -> None:
        _write(writer, _frame(_PART, request_id, '', part))

    return PartWriter(write_part)


def _add_part(incoming: IncomingBody, part: Frame) -> None:
    if not incoming.add(part.body):
        raise UnreadableMessageError('a body is longer than announced')


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
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: HeldBytes,
    ) -> None:
        self._frames = FrameReader(reader)
        self._writer = writer
        self._held = held
        self._part_writer = _part_writer(writer)
        # Each waits for the next frame that concerns its request.
        self._future_by_request_id: dict[int, asyncio.Future[Frame]] = {}
        self._incoming_by_request_id: dict[int, IncomingBody] = {}
        self._last_request_id = 0
        self._probe_task: asyncio.Task[None] | None = None
        self._echoed = asyncio.Event()
        self._ended = False

    @property
    def open(self) -> bool:
        """Whether the link can be used."""
        return not self._ended and not self._writer.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """How many bytes wait for the network."""
        return _unsent_bytes(self._writer)

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
            NoRoomError: the peer has no room for the request.
            LinkLostError: the link was lost before the response.
        """
        if not self.open:
            raise PeerUnreachableError('the link is closed')
        self._last_request_id += 1
        request_id = self._last_request_id
        late = asyncio.get_running_loop().call_later(
            _LATE_RESPONSE_S, self.probe
        )
        try:
            response = await self._send_request(request_id, topic, body)
            if not response.size:
                return response.body
            return await self._receive_body(request_id, response)
        except asyncio.CancelledError:
            if self.open:
                _write(self._writer, _frame(_CANCEL, request_id, topic, b''))
            raise
        finally:
            late.cancel()
            self._forget(request_id)

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

    async def _send_request(
        self, request_id: int, topic: str, body: bytes
    ) -> Frame:
        """Sends a request; returns the response, or its announcement."""
        answered = self._expect(request_id)
        if not _in_parts(topic, body):
            _write(self._writer, _frame(_REQUEST, request_id, topic, body))
            return await answered
        announced = _frame(_REQUEST, request_id, topic, b'', len(body))
        _write(self._writer, announced)
        await answered
        answered = self._expect(request_id)
        await self._part_writer.write(request_id, body)
        return await answered

    async def _receive_body(self, request_id: int, response: Frame) -> bytes:
        """Receives the body of a response once there is room for it."""
        granted = self._expect(request_id)

        def grant() -> None:
            if not granted.done():
                granted.set_result(response)

        with self._held.holding(_keep, for_caller=True) as holding:
            if not holding.reserve(response.size, grant):
                await granted
            completed = self._expect(request_id)
            incoming = IncomingBody(response.size)
            self._incoming_by_request_id[request_id] = incoming
            _write(self._writer, _frame(_ACCEPT, request_id, '', b''))
            await completed
            return incoming.take()

    def _forget(self, request_id: int) -> None:
        self._incoming_by_request_id.pop(request_id, None)
        future = self._future_by_request_id.pop(request_id, None)
        if future is not None and future.done() and not future.cancelled():
            # asyncio logs an exception that nobody has asked for.
            future.exception()

    def _expect(self, request_id: int) -> asyncio.Future[Frame]:
        """Returns the next frame that concerns a request."""
        future: asyncio.Future[Frame] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_request_id[request_id] = future
        if self._ended:
            future.set_exception(LinkLostError('the link was lost'))
        return future

    def _end(self) -> None:
        self._ended = True
        self._echoed.set()
        self._part_writer.close()
        for future in self._future_by_request_id.values():
            if not future.done():
                future.set_exception(LinkLostError('the link was lost'))

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind == _ECHO:
            self._echoed.set()
        elif frame.kind == _PART_READ:
            self._part_writer.acknowledge()
        else:
            self._handle_frame_of_request(frame)

    def _handle_frame_of_request(self, frame: Frame) -> None:
        if frame.kind == _PART:
            _write(self._writer, _frame(_PART_READ, 0, '', b''))
        future = self._future_by_request_id.get(frame.request_id)
        if future is None or future.done():
            return
        if frame.kind in {_RESPONSE, _ACCEPT} or self._completes_body(frame):
            future.set_result(frame)
        elif frame.kind == _FAILURE:
            future.set_exception(RequestFailedError('unexpected error'))
        elif frame.kind == _NO_ROOM:
            future.set_exception(NoRoomError)

    def _completes_body(self, frame: Frame) -> bool:
        incoming = self._incoming_by_request_id.get(frame.request_id)
        if frame.kind != _PART or incoming is None:
            return False
        _add_part(incoming, frame)
        return incoming.complete

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

    def __init__(
        self, held: HeldBytes | None = None, metrics: Metrics | None = None
    ) -> None:
        """Creates the links.

        Args:
            held: account of the responses that are received in parts;
                unbounded by default.
            metrics: counts the bytes of messages by topic.
        """
        self._held = HeldBytes() if held is None else held
        self._metrics = Metrics() if metrics is None else metrics
        self._link_by_address: dict[Address, PeerLink] = {}
        self._lock_by_address: dict[Address, asyncio.Lock] = {}
        self._readers: set[asyncio.Task[None]] = set()
        self._unreadable_peers: set[Address] = set()

    async def connect(self, address: Address) -> None:
        """Opens the link to a peer, unless it is open.

        Raises:
            PeerUnreachableError: no link could be opened.
        """
        await self._link(address)

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
            NoRoomError: the peer has no room for the request.
            LinkLostError: no response; the peer may have handled the request.
            UnreadableMessageError: the response could not be decoded.
        """
        link = await self._link(address)
        self._metrics.count('peer_bytes', len(body), topic=topic)
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
        self._metrics.count('peer_bytes', len(body), topic=topic)
        link.notify(topic, body)
        return link.open

    def unsent_bytes(self) -> int:
        """Returns how many bytes wait for the network."""
        return sum(link.unsent_bytes for link in self._link_by_address.values())

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
        link = PeerLink(reader, writer, self._held)
        task = asyncio.create_task(link.read())
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        await link.establish()
        self._link_by_address[address] = link
        return link


@dataclass(slots=True)
class _AnnouncedRequest:
    """A request whose body is received in parts."""

    frame: Frame
    due_s: float
    incoming: IncomingBody


@dataclass(slots=True)
class _AcceptedLink:
    """The accepting side of one link.

    Attributes:
        accepted_by_request_id: resolved once the peer has room for a response.
    """

    writer: asyncio.StreamWriter
    part_writer: PartWriter
    task_by_request_id: dict[int, asyncio.Task[None]] = field(
        default_factory=dict
    )
    announced_by_request_id: dict[int, _AnnouncedRequest] = field(
        default_factory=dict
    )
    accepted_by_request_id: dict[int, asyncio.Future[None]] = field(
        default_factory=dict
    )

    def write(self, kind: int, frame: Frame, body: bytes = b'') -> None:
        """Writes a frame about the request of another one."""
        _write(self.writer, _frame(kind, frame.request_id, frame.topic, body))

    def accept(self, request_id: int) -> None:
        """Notes that the peer has room for a response."""
        accepted = self.accepted_by_request_id.get(request_id)
        if accepted is not None and not accepted.done():
            accepted.set_result(None)

    async def respond_in_parts(self, frame: Frame, response: bytes) -> None:
        """Writes a large response once the peer has room for it."""
        request_id = frame.request_id
        accepted = asyncio.get_running_loop().create_future()
        self.accepted_by_request_id[request_id] = accepted
        size = len(response)
        announced = _frame(_RESPONSE, request_id, frame.topic, b'', size)
        _write(self.writer, announced)
        try:
            await accepted
            await self.part_writer.write(request_id, response)
        finally:
            self.accepted_by_request_id.pop(request_id)


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
        bodies: BodyShare | None = None,
        held: HeldBytes | None = None,
    ) -> None:
        """Creates the server.

        Args:
            handle_request: returns the response to a topic and a body. It
                gets the time at which they were due, on the clock of
                ``elapsed_s``, since they may have arrived late.
            handle_message: handles a topic and body without a response.
            metrics: counts messages that could not be handled.
            bodies: bound of the forwarded requests that are received or
                handled; unbounded by default.
            held: account of the responses that are sent in parts.
        """
        self._bodies = BodyShare() if bodies is None else bodies
        self._held = HeldBytes() if held is None else held
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
        link = _AcceptedLink(writer, _part_writer(writer))

        def acknowledge() -> None:
            _write(writer, _frame(_ECHO, 0, '', b''))

        frames = FrameReader(reader, acknowledge)
        try:
            await self._serve_frames(link, frames)
        except UnreadableMessageError as error:
            self._log_unreadable(writer, str(error))
        except _LINK_ERRORS as error:
            _log.debug('link from a peer closed', reason=repr(error))
        finally:
            self._close_link(link)

    def unsent_bytes(self) -> int:
        """Returns how many bytes of responses wait for the network."""
        return sum(map(_unsent_bytes, self._writers))

    def close(self) -> None:
        """Closes all accepted links; what was written is still delivered."""
        for writer in list(self._writers):
            _close_after_sending(writer)

    async def _serve_frames(
        self, link: _AcceptedLink, frames: FrameReader
    ) -> None:
        _set_socket_options(link.writer)
        due_times = DueTimes()
        while True:
            frame = await frames.read()
            due_s = due_times.of(frame)
            with contained(
                'message of a peer',
                self._metrics,
                passing=(UnreadableMessageError,),
            ):
                self._handle_frame(link, frame, due_s)

    def _handle_frame(
        self, link: _AcceptedLink, frame: Frame, due_s: float
    ) -> None:
        if frame.kind == _NOTIFICATION:
            self._receive(frame)
        elif frame.kind == _PROBE:
            link.write(_ECHO, frame)
        elif frame.kind == _REQUEST:
            self._admit(link, frame, due_s)
        else:
            self._handle_frame_of_request(link, frame, due_s)

    def _handle_frame_of_request(
        self, link: _AcceptedLink, frame: Frame, due_s: float
    ) -> None:
        """Handles a frame about a request that was sent before."""
        if frame.kind == _CANCEL:
            _cancel(link.task_by_request_id.pop(frame.request_id, None))
            self._drop_announced(link, frame.request_id)
        elif frame.kind == _ACCEPT:
            link.accept(frame.request_id)
        elif frame.kind == _PART_READ:
            link.part_writer.acknowledge()
        elif frame.kind == _PART:
            link.write(_PART_READ, frame)
            self._receive_part(link, frame, due_s)

    def _admit(self, link: _AcceptedLink, frame: Frame, due_s: float) -> None:
        """Starts a request, or asks for its body, if there is room."""
        size = frame.size or len(frame.body)
        if frame.topic != FORWARD_TOPIC:
            self._start_request(link, frame, due_s, due_s, 0)
        elif not self._bodies.hold(size):
            self._metrics.count('refused_forwards')
            link.write(_NO_ROOM, frame)
        elif frame.size:
            self._drop_announced(link, frame.request_id)
            link.announced_by_request_id[frame.request_id] = _AnnouncedRequest(
                frame, due_s, IncomingBody(frame.size)
            )
            link.write(_ACCEPT, frame)
        else:
            self._start_request(link, frame, due_s, due_s, size)

    def _receive_part(
        self, link: _AcceptedLink, part: Frame, due_s: float
    ) -> None:
        announced = link.announced_by_request_id.get(part.request_id)
        if announced is None:
            return
        _add_part(announced.incoming, part)
        if not announced.incoming.complete:
            return
        link.announced_by_request_id.pop(part.request_id)
        frame = announced.frame
        frame.body = announced.incoming.take()
        self._start_request(link, frame, announced.due_s, due_s, frame.size)

    def _drop_announced(self, link: _AcceptedLink, request_id: int) -> None:
        announced = link.announced_by_request_id.pop(request_id, None)
        if announced is not None:
            self._bodies.release(announced.frame.size)

    def _start_request(
        self,
        link: _AcceptedLink,
        frame: Frame,
        due_s: float,
        complete_due_s: float,
        held: int,
    ) -> None:
        """Starts a request.

        Args:
            link: where it came from.
            frame: the request with its body.
            due_s: when the request was due.
            complete_due_s: when the last of its frames was due.
            held: the bytes that were counted for it.
        """

        def forget(_done: asyncio.Task[None]) -> None:
            link.task_by_request_id.pop(frame.request_id, None)
            self._bodies.release(held)

        task = asyncio.create_task(
            self._respond(link, frame, due_s, complete_due_s)
        )
        link.task_by_request_id[frame.request_id] = task
        task.add_done_callback(forget)

    def _receive(self, frame: Frame) -> None:
        try:
            self._handle_message(frame.topic, frame.body)
        except DECODE_ERRORS as error:
            raise UnreadableMessageError(
                f'unreadable message {frame.topic}: {error}'
            ) from error

    def _close_link(self, link: _AcceptedLink) -> None:
        for waiting in list(link.task_by_request_id.values()):
            waiting.cancel()
        for request_id in list(link.announced_by_request_id):
            self._drop_announced(link, request_id)
        self._writers.discard(link.writer)
        link.writer.transport.abort()

    async def _respond(
        self,
        link: _AcceptedLink,
        frame: Frame,
        due_s: float,
        complete_due_s: float,
    ) -> None:
        # The process may have been suspended since the frame was read.
        late = elapsed_s() - complete_due_s > _LATE_REQUEST_S
        self.active_requests += 1
        try:
            with self._held.answer_room() as room:
                await self._handle_and_respond(
                    link, frame, due_s, room, late=late
                )
        finally:
            self.active_requests -= 1

    async def _handle_and_respond(
        self,
        link: _AcceptedLink,
        frame: Frame,
        due_s: float,
        room: AnswerRoom,
        *,
        late: bool,
    ) -> None:
        if late:
            self._metrics.count('late_peer_requests', topic=frame.topic)
            await asyncio.sleep(_SETTLE_S)
        response: bytes | None = None
        try:
            with contained(
                'request of a peer', self._metrics, passing=DECODE_ERRORS
            ):
                handling = self._handle_request(frame.topic, frame.body, due_s)
                # The handler may hold a decoded copy meanwhile.
                frame.body = b''
                response = await handling
        except DECODE_ERRORS as error:
            self._log_unreadable(link.writer, str(error))
            link.writer.transport.abort()
            return
        if response is None:
            link.write(_FAILURE, frame)
            return
        self._metrics.count('peer_bytes', len(response), topic=frame.topic)
        if not _in_parts(frame.topic, response):
            link.write(_RESPONSE, frame, response)
            return
        with self._held.holding(_keep) as holding:
            holding.give_up = None
            with room.handed_over():
                holding.grow_to(len(response))
            await link.respond_in_parts(frame, response)

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
