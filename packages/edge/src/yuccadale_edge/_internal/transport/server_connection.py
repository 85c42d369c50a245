"""HTTP/1.1 server connections of callers.

Pipelined requests are handled concurrently and answered in order. When a caller
closes its connection, the handling of its unanswered requests is cancelled.

Callers are not trusted. Each connection may hold one request of permitted size
and some small ones ahead of their answers; it is not read beyond that. Bounds
of all connections are in ``OpenConnections`` and ``ReceivedRequests``.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from io import BytesIO
from math import inf

import httptools
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.transport.client_connection import Headers
from yuccadale_edge._internal.transport.held_bytes import (
    SMALL_BYTES,
    AnswerRoom,
    HeldBytes,
    Holding,
)
from yuccadale_edge._internal.transport.open_connections import OpenConnections
from yuccadale_edge._internal.transport.parse_scheduler import (
    MAX_CALLS_PER_TURN,
    ParseScheduler,
)
from yuccadale_edge._internal.transport.received_requests import (
    ReceivedRequests,
    UnfinishedRequest,
)
from yuccadale_edge._internal.transport.sockets import (
    is_readable,
    unacknowledged_bytes,
)

_log = structlog.get_logger()

# Requests of one connection that are handled concurrently.
_MAX_PIPELINED = 32
# How long a closing connection still reads. Closing it with unread bytes would
# reset it, and the caller could lose the last answer.
_LINGER_S = 1.0
_HEADER_OVERHEAD_BYTES = 4
# Part of a head, such as the method, that its limit does not count.
_UNCOUNTED_BYTES = 1024
# A caller that has read nothing for this long has stopped reading.
_STALLED_S = 2.0
# Return of a caller whose request found no room, in seconds.
_NO_ROOM_RETRY_S = b'0.5'
# Bytes that are read at once. What is not parsed yet is kept.
_READ_BYTES = 16 * 1024
# Bytes of heads, and of bodies in chunks, that are parsed at once. The parser
# cannot pause, so they may hold requests beyond the bounds of a connection.
_PARSED_BYTES = 256
_PARSED_CHUNK_BYTES = 4 * 1024
# Memory of a request besides its bytes: its task, message and place in a queue.
_REQUEST_BYTES = 8 * 1024
# Memory of a header field besides its bytes: two byte strings in a tuple.
_FIELD_BYTES = 150
# Requests are charged in steps, since each field and piece adds little.
_CHARGED_STEP_BYTES = 4 * 1024
# Requests of one connection that are handled hold no more before the next one
# is read.
_MAX_AHEAD_BYTES = 6 * SMALL_BYTES
# Bytes from which writing waits for the client. Some answers stay unread at
# many connections at once.
_MAX_UNWRITTEN_BYTES = 16 * 1024
# Idle timeouts within which a body has to arrive. The time limit of a request
# counts from its head and is over by then.
_BODY_IDLE_TIMEOUTS = 8


@dataclass(slots=True)
class CallerMessage:
    """A received request.

    Attributes:
        target: path and query, as received.
        headers: names in lower case, in the order received.
        body: the whole body, without transfer encoding.
        arrived_s: when the headers were complete, on the clock of
            ``elapsed_s``.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; the name is in lower case."""
        for known, text in self.headers:
            if known == name:
                return text
        return None


@dataclass(slots=True)
class Reply:
    """An answer to a caller.

    Attributes:
        head_only: it has no body, and its length is not stated.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    head_only: bool = False


@dataclass(slots=True)
class ServerLimits:
    """Limits for callers; a new configuration changes them in place."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


Handler = Callable[[CallerMessage], Awaitable[Reply]]


class ListenerState:
    """Shared state of all connections of one listener.

    Attributes:
        requests: account of the requests that are read or handled.
        held: account of all bytes that the process holds for others.
        connections: the open connections.
        scheduler: bounds what is parsed in one turn of the event loop.
        slow_bodies: number of requests that were refused because their bodies
            arrived too slowly.
        keeps_bodies: whether the handler needs the bodies of requests.
        buffer: where the bytes of any connection are read before they are
            parsed.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        max_held_bytes: float = inf,
        held: HeldBytes | None = None,
        *,
        max_connections: float = inf,
        keeps_bodies: bool = True,
        scheduler: ParseScheduler | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.held = HeldBytes() if held is None else held
        self.requests = ReceivedRequests(max_held_bytes, self.held)
        self.connections: OpenConnections[ServerConnection] = OpenConnections(
            max_connections
        )
        self.scheduler = ParseScheduler() if scheduler is None else scheduler
        self.slow_bodies = 0
        self.keeps_bodies = keeps_bodies
        self.buffer = memoryview(bytearray(_READ_BYTES))
        self.closing = False

    @property
    def held_bytes(self) -> int:
        """The size of the requests that are held."""
        return self.requests.size

    def abort(self) -> None:
        """Aborts all connections."""
        for connection in list(self.connections.all):
            connection.abort()


class ServerConnection(asyncio.BufferedProtocol):
    """One connection of a caller."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listener: ListenerState
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._answers: deque[asyncio.Task[Reply]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._reading_request = False
        self._header_bytes = 0
        self._body_bytes = 0
        self._announced_bytes = 0
        self._unfinished = UnfinishedRequest(listener.requests, self._give_up)
        # Bytes of the requests that are handled.
        self._handled_bytes = 0
        self._unparsed_bytes = 0
        # Bytes that are read, but wait until they may be parsed.
        self._unparsed = b''
        self._awaits_turn = False
        # Calls of the parser, and those before the request that is being read.
        self._parsed_calls = 0
        self._earlier_calls = 0
        self._is_expensive = False
        # Pieces of the body from the part that is being parsed.
        self._pieces: list[bytes] = []
        self._head_complete = False
        self._body_until_s: float = 0
        self._written_body_bytes = 0
        self._writing_paused = False
        self._rejected = False
        self._headers: Headers = []
        self._target = b''
        self._body = BytesIO()
        self._arrived_s: float = 0
        self._reject_status: int | None = None
        self._final_answer: asyncio.Task[Reply] | None = None
        self._resources: ExitStack | None = None
        self._unwritten: Holding | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is being read or handled."""
        waits = bool(self._answers) or bool(self._unparsed)
        return waits or self._reading_request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer."""
        self._transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._transport.set_write_buffer_limits(  # type: ignore[union-attr]
            high=_MAX_UNWRITTEN_BYTES
        )
        self._start_idle_timer(self._listener.limits.idle_timeout_s)
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handling of unanswered requests."""
        self._listener.connections.remove(self)
        if self._resources is not None:
            self._resources.close()
        self._closing = True
        if self._timer is not None:
            self._timer.cancel()
        self._drop_request()
        self._unparsed = b''
        for answer in self._answers:
            answer.cancel()
        self._answers.clear()

    def pause_writing(self) -> None:
        """Reads no further request while the caller does not read."""
        self._writing_paused = True
        if self._transport is not None:
            self._transport.pause_reading()
        self._count_unwritten()
        self._note_standing()
        self._await_reader(self._unwritten_bytes(), elapsed_s())

    def resume_writing(self) -> None:
        """Writes the answers that waited."""
        self._writing_paused = False
        if self._unwritten is not None:
            self._unwritten.mark_stalled(stalled=False)
        if self._timer is not None and not self._closing:
            self._timer.cancel()
        self._write_answers()
        self._count_unwritten()

    def eof_received(self) -> bool:
        """Treats a half-closed connection as closed."""
        return False

    def get_buffer(self, _size: int) -> memoryview:
        """Returns the buffer of the listener: it is parsed at once."""
        return self._listener.buffer

    def buffer_updated(self, size: int) -> None:
        """Feeds the parser, as far as the connection may send requests."""
        received = self._listener.buffer[:size]
        if self._unparsed:
            self._unparsed += bytes(received)
        else:
            self._feed(received)

    def on_message_begin(self) -> None:
        """Resets the state of the previous request."""
        self._reading_request = True
        self._head_complete = False
        self._announced_bytes = 0
        self._headers = []
        self._target = b''
        self._body = BytesIO()
        self._header_bytes = 0
        self._body_bytes = 0
        self._unparsed_bytes = 0
        self._earlier_calls = self._parsed_calls
        self._is_expensive = False
        self._unfinished.begin(elapsed_s())
        self._hold_request()
        self._start_idle_timer(self._listener.limits.header_timeout_s)

    def on_url(self, piece: bytes) -> None:
        """Collects the request target."""
        self._target += piece
        self._count_header_bytes(len(piece))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collects a header."""
        self._parsed_calls += 1
        self._count_header_bytes(len(name) + len(text) + _HEADER_OVERHEAD_BYTES)
        if self._reject_status is None:
            self._headers.append((name.lower(), text))
            self._hold_request()

    def on_headers_complete(self) -> None:
        """Records the arrival time, from which the deadline is counted."""
        self._arrived_s = elapsed_s()
        self._head_complete = True
        self._unparsed_bytes = 0
        idle_s = self._listener.limits.idle_timeout_s
        self._body_until_s = self._arrived_s + idle_s * _BODY_IDLE_TIMEOUTS
        self._start_idle_timer(idle_s)
        self._hold_announced_body()
        if self._reject_status is not None:
            return
        if (b'expect', b'100-continue') in self._headers:
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, piece: bytes) -> None:
        """Collects a piece of the body."""
        self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Starts handling the request."""
        self._collect_body()
        self._reading_request = False
        if self._closing:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._unparsed_bytes = 0
        if self._reject_status is not None:
            return
        message = CallerMessage(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._body.getvalue(),
            self._arrived_s,
        )
        keep = self._parser.should_keep_alive()
        room = AnswerRoom(self._listener.held, for_caller=True)
        answer = self._loop.create_task(self._handle(message, room))
        size = self._unfinished.finish()
        self._handled_bytes += size
        answer.add_done_callback(partial(self._release, size))
        answer.add_done_callback(partial(self._flush, room))
        self._body = BytesIO()
        self._headers = []
        self._answers.append(answer)
        self._listener.connections.mark_served(self)
        if not keep:
            self._final_answer = answer

    def close_when_idle(self) -> None:
        """Closes an idle connection; a busy one closes with its last answer.

        A request that has arrived, but was not read yet, is still answered. An
        answer that the caller is still receiving makes a connection busy.
        """
        if self.busy or self._transport is None or self._closing:
            return
        if self._undelivered_bytes():
            return
        if not is_readable(self._transport.get_extra_info('socket')):
            self._close()

    def give_way(self) -> None:
        """Closes the connection at once; refuses a request that is unread."""
        transport = self._transport
        if transport is None:
            return
        if self._closing or self._answers or self._unwritten_bytes():
            self.abort()
            return
        self._closing = True
        reply = Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        reply.headers.append((b'retry-after', _NO_ROOM_RETRY_S))
        self._write_reply(reply, last=True)
        transport.close()

    def abort(self) -> None:
        """Aborts the connection."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, received: memoryview) -> None:
        """Parses what was read, as far as the connection may send more."""
        left = received
        scheduler = self._listener.scheduler
        while left and self._may_parse() and scheduler.may_parse():
            size = self._next_bytes()
            self._parse(left[:size])
            left = left[size:]
        if self._closing or self._rejected:
            self._unparsed = b''
            return
        self._unparsed = bytes(left)
        if self._unparsed and self._transport is not None:
            self._transport.pause_reading()
            if self._may_parse():
                self._defer()

    def _defer(self) -> None:
        """Parses the rest in a later turn of the event loop."""
        if self._awaits_turn:
            return
        self._awaits_turn = True
        calls = self._parsed_calls - self._earlier_calls
        self._listener.scheduler.wait(calls, self._parse_deferred)
        if calls >= MAX_CALLS_PER_TURN and not self._is_expensive:
            self._is_expensive = True
            assert self._transport is not None
            _log.info(
                'expensive request',
                client=self._transport.get_extra_info('peername'),
                parsed_calls=calls,
                size=self._body_bytes,
            )

    def _parse_deferred(self) -> None:
        self._awaits_turn = False
        self._parse_unparsed()

    def _parse_unparsed(self) -> None:
        """Parses what has waited, and reads on if nothing is left of it."""
        unparsed = self._unparsed
        self._unparsed = b''
        if unparsed:
            self._feed(memoryview(unparsed))
        if self._closing or self._unparsed or self._transport is None:
            return
        if self._may_parse():
            self._transport.resume_reading()

    def _may_parse(self) -> bool:
        """Whether the connection may send more before its next answer."""
        if self._closing or self._rejected or self._writing_paused:
            return False
        return not self._answers or (
            len(self._answers) < _MAX_PIPELINED
            and self._handled_bytes < _MAX_AHEAD_BYTES
            and self._listener.requests.has_room_ahead()
        )

    def _next_bytes(self) -> int:
        """Returns how much is parsed before the bounds are checked again."""
        if self._reading_request and self._head_complete:
            left = self._announced_bytes - self._body_bytes
            return left if left > 0 else _PARSED_CHUNK_BYTES
        return _PARSED_BYTES

    def _parse(self, part: memoryview) -> None:
        calls_before = self._parsed_calls
        self._unparsed_bytes += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(HTTPStatus.BAD_REQUEST)
        self._collect_body()
        self._listener.scheduler.count(
            self._parsed_calls - calls_before, len(part)
        )
        max_unparsed = self._listener.limits.header_bytes + _UNCOUNTED_BYTES
        if self._unparsed_bytes > max_unparsed:
            self._reject_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if self._reject_status is not None and not self._rejected:
            self._reject(self._reject_status)

    def _collect_body(self) -> None:
        """Moves the collected pieces to the body, up to the size limit."""
        if not self._pieces:
            return
        self._parsed_calls += len(self._pieces)
        joined = b''.join(self._pieces)
        self._pieces.clear()
        self._unparsed_bytes = 0
        self._body_bytes += len(joined)
        if self._reject_status is None:
            self._unfinished.receive(len(joined), elapsed_s())
            self._hold_body(self._body_bytes)
        if self._reject_status is None and self._listener.keeps_bodies:
            self._body.write(joined)

    async def _handle(self, message: CallerMessage, room: AnswerRoom) -> Reply:
        try:
            with room.collecting():
                reply = await self._listener.handler(message)
        except Exception as error:
            # Other requests on the connection still get their answers.
            _log.error('request handler failed', reason=repr(error))
            reply = Reply(HTTPStatus.INTERNAL_SERVER_ERROR)
        if message.method == b'HEAD':
            return Reply(reply.status, reply.headers, head_only=True)
        return reply

    def _hold_announced_body(self) -> None:
        for name, text in self._headers:
            if name == b'content-length' and text.strip().isdigit():
                self._announced_bytes = int(text)
                self._hold_body(self._announced_bytes)

    def _hold_body(self, size: int) -> None:
        """Counts a body up to a size, or refuses its request."""
        if size > self._listener.limits.body_bytes:
            self._reject_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return
        self._hold_request()

    def _hold_request(self) -> None:
        """Counts what has been read of a request, or refuses it."""
        size = (
            _REQUEST_BYTES
            + self._header_bytes
            + _FIELD_BYTES * len(self._headers)
        )
        if self._listener.keeps_bodies:
            # Small bodies are counted as read: clients that only announce them
            # keep nobody out.
            large = self._announced_bytes > SMALL_BYTES
            size += max(self._body_bytes, self._announced_bytes * large)
        steps = -(-size // _CHARGED_STEP_BYTES)
        if not self._unfinished.grow_to(steps * _CHARGED_STEP_BYTES):
            self._reject_status = HTTPStatus.SERVICE_UNAVAILABLE

    def _drop_request(self) -> None:
        """Releases a request that was not handed to a handler."""
        self._unfinished.drop()
        self._body = BytesIO()
        self._headers = []

    def _give_up(self) -> None:
        """Refuses the request that is being read."""
        self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def _release(self, size: int, _task: asyncio.Task[Reply]) -> None:
        """Releases a request that has its answer."""
        self._handled_bytes -= size
        self._listener.requests.release(size)

    def _flush(self, room: AnswerRoom, _task: asyncio.Task[Reply]) -> None:
        with room.handed_over():
            self._write_answers()
            self._count_unwritten()
            self._note_standing()

    def _note_standing(self) -> None:
        """Notes whether the connection waits for its client."""
        if all(answer.done() for answer in self._answers):
            self._listener.connections.mark_waiting(self)

    def _count_unwritten(self) -> None:
        """Counts replies that the caller has not read yet."""
        if self._closing:
            return
        size = sum(map(_reply_size, self._answers))
        if self._writing_paused:
            # The last answer stays in memory until all of it is written.
            size += max(self._unwritten_bytes(), self._written_body_bytes)
        if self._unwritten is None:
            if not size:
                return
            self._unwritten = self._open_holding()
        if size != self._unwritten.size:
            self._unwritten.resize(size)

    def _open_holding(self) -> Holding:
        """Opens the holding of a connection; most never need one."""
        self._resources = ExitStack()
        return self._resources.enter_context(
            self._listener.held.holding(self.abort, for_caller=True)
        )

    def _may_write(self) -> bool:
        return not self._closing and not self._writing_paused

    def _write_answers(self) -> None:
        while self._answers and self._answers[0].done() and self._may_write():
            answer = self._answers.popleft()
            if answer.cancelled():
                self.abort()
                return
            last = answer is self._final_answer or self._should_close()
            self._write_reply(answer.result(), last=last)
            self._listener.connections.mark_answered(self)
            if last:
                self._close()
        if self._may_write():
            self._resume_reading()

    def _resume_reading(self) -> None:
        self._parse_unparsed()
        if not self._closing and not self._answers:
            limits = self._listener.limits
            reads_head = self._reading_request and not self._head_complete
            self._start_idle_timer(
                limits.header_timeout_s if reads_head else limits.idle_timeout_s
            )

    def _should_close(self) -> bool:
        waits = bool(self._answers) or bool(self._unparsed)
        return self._listener.closing and not waits

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._listener.limits.header_bytes:
            self._reject_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def _reject(self, status: int) -> None:
        self._rejected = True
        self._drop_request()
        if self._answers:
            # Earlier requests still get their answers before the close.
            self._final_answer = self._answers[-1]
            return
        reply = Reply(status)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            reply.headers.append((b'retry-after', _NO_ROOM_RETRY_S))
        self._write_reply(reply, last=True)
        self._close()

    def _start_idle_timer(self, limit_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(
            limit_s, self._on_idle_timeout, self._body_bytes
        )

    def _on_idle_timeout(self, body_bytes_before: int) -> None:
        if self._answers:
            return
        if self._body_bytes <= body_bytes_before or not self._reading_request:
            self._close()
        elif elapsed_s() < self._body_until_s:
            self._start_idle_timer(self._listener.limits.idle_timeout_s)
        else:
            self._listener.slow_bodies += 1
            _log.warning(
                'request body too slow, refused', size=self._body_bytes
            )
            self._reject(HTTPStatus.REQUEST_TIMEOUT)

    def _write_reply(self, reply: Reply, *, last: bool) -> None:
        """Writes an answer; a large body is not copied behind its head."""
        self._written_body_bytes = len(reply.body)
        head = encode_reply_head(reply, last=last)
        if len(reply.body) <= SMALL_BYTES:
            self._write(head + reply.body)
        else:
            self._write(head)
            self._write(reply.body)

    def _write(self, encoded: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encoded)

    def _close(self) -> None:
        if self._closing:
            return
        self._closing = True
        for answer in self._answers:
            answer.cancel()
        self._answers.clear()
        self._drop_request()
        self._listener.connections.mark_closing(self)
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.resume_reading()
        transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        linger_until_s = elapsed_s() + self._listener.limits.idle_timeout_s
        self._timer = self._loop.call_later(
            _LINGER_S,
            self._end_lingering,
            linger_until_s,
            self._undelivered_bytes(),
        )

    def _end_lingering(self, until_s: float, undelivered_before: int) -> None:
        """Aborts the connection when all is delivered, or none for some time.

        If the caller sends to a socket that was closed before, the kernel
        discards what it still had to deliver.
        """
        undelivered = self._undelivered_bytes()
        if undelivered < undelivered_before:
            until_s = elapsed_s() + self._listener.limits.idle_timeout_s
        if not undelivered or elapsed_s() >= until_s:
            self.abort()
            return
        self._timer = self._loop.call_later(
            _LINGER_S, self._end_lingering, until_s, undelivered
        )

    def _await_reader(self, unwritten_before: int, read_s: float) -> None:
        """Starts the timer of a caller that may have stopped reading.

        Args:
            unwritten_before: bytes that it has to read.
            read_s: when it last read, on the clock of ``elapsed_s``.
        """
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(
            min(_STALLED_S, self._listener.limits.idle_timeout_s),
            self._check_reader,
            unwritten_before,
            read_s,
        )

    def _check_reader(self, unwritten_before: int, read_s: float) -> None:
        """Ends the connection when the caller has read nothing for too long."""
        unwritten = self._unwritten_bytes()
        has_read = unwritten < unwritten_before
        if has_read:
            read_s = elapsed_s()
            self._count_unwritten()
        elif elapsed_s() - read_s >= self._listener.limits.idle_timeout_s:
            self.abort()
            return
        self._await_reader(unwritten, read_s)
        if self._unwritten is not None:
            self._unwritten.mark_stalled(stalled=not has_read)

    def _undelivered_bytes(self) -> int:
        """Returns the bytes that the caller's machine has not acknowledged."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return 0
        in_kernel = unacknowledged_bytes(transport.get_extra_info('socket'))
        return self._unwritten_bytes() + in_kernel

    def _unwritten_bytes(self) -> int:
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()


def _reply_size(answer: asyncio.Task[Reply]) -> int:
    """Returns the size of a reply's body; 0 while there is none."""
    if not answer.done() or answer.cancelled():
        return 0
    return len(answer.result().body)


def encode_reply_head(reply: Reply, *, last: bool) -> bytes:
    """Encodes the head; ``last`` closes the connection after the answer."""
    try:
        phrase = HTTPStatus(reply.status).phrase
    except ValueError:
        phrase = 'Unknown'
    lines = [f'HTTP/1.1 {reply.status} {phrase}\r\n'.encode()]
    lines.extend(b'%b: %b\r\n' % (name, text) for name, text in reply.headers)
    if not reply.head_only:
        lines.append(b'content-length: %d\r\n' % len(reply.body))
    if last:
        lines.append(b'connection: close\r\n')
    lines.append(b'\r\n')
    return b''.join(lines)
