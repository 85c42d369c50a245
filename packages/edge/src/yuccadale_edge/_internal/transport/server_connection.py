"""The HTTP/1.1 side towards callers.

Requests that arrive one behind another on a connection are handled side by
side and answered in the order in which they came. A caller that closes its
connection cancels the handling of all its unanswered requests.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.transport.client_connection import Headers

# Requests of one connection that are handled at the same time.
_MAX_AHEAD = 32
# How long a closing connection still reads, so that unread bytes do not reset
# it before the last answer has arrived.
_LINGER_S = 1.0
_HEADER_OVERHEAD_BYTES = 4


@dataclass(slots=True)
class CallerMessage:
    """A request as it was read.

    Attributes:
        method: the method.
        target: path and query, as sent.
        headers: names in lower case, in the order they came.
        body: the whole body, without transfer coding.
        arrived_s: when its head was read, on the clock of leases.
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
    """What is written back."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''


@dataclass(slots=True)
class ServerLimits:
    """What a caller may send; changed in place when a new version says so."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


Handler = Callable[[CallerMessage], Awaitable[Reply]]


class ServerState:
    """What all connections of one listener share."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.closing = False

    def abort(self) -> None:
        """Ends all connections at once."""
        for connection in list(self.connections):
            connection.abort()


class ServerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, shared: ServerState
    ) -> None:
        self._loop = loop
        self._shared = shared
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._answers: deque[asyncio.Task[Reply]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._ending = False
        self._half_read = False
        self._header_bytes = 0
        self._body_bytes = 0
        self._headers: Headers = []
        self._target = b''
        self._pieces: list[bytes] = []
        self._arrived_s: float = 0
        self._rejected: int | None = None
        self._last: asyncio.Task[Reply] | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is being read or waits for its answer."""
        return bool(self._answers) or self._half_read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        self._transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._shared.connections.add(self)
        self._watch_idle(self._shared.limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels everything that the caller no longer waits for."""
        self._shared.connections.discard(self)
        self._ending = True
        if self._timer is not None:
            self._timer.cancel()
        for answer in self._answers:
            answer.cancel()
        self._answers.clear()

    def eof_received(self) -> bool:
        """Treats a caller that closed its side as gone."""
        return False

    def data_received(self, chunk: bytes) -> None:
        """Feeds the parser."""
        if self._ending:
            return
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(HTTPStatus.BAD_REQUEST)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._half_read = True
        self._headers = []
        self._target = b''
        self._pieces = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._watch_idle(self._shared.limits.header_timeout_s)

    def on_url(self, piece: bytes) -> None:
        """Collects the request target."""
        self._target += piece
        self._count_header(len(piece))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collects a header."""
        self._count_header(len(name) + len(text) + _HEADER_OVERHEAD_BYTES)
        self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Notes the time from which the caller's deadline runs."""
        self._arrived_s = elapsed_s()
        self._watch_idle(self._shared.limits.idle_timeout_s)
        if (b'expect', b'100-continue') in self._headers:
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, piece: bytes) -> None:
        """Collects a piece of the body."""
        self._body_bytes += len(piece)
        if self._body_bytes > self._shared.limits.body_bytes:
            self._rejected = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return
        self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Starts the handling of a request."""
        self._half_read = False
        if self._ending:
            return
        if self._timer is not None:
            self._timer.cancel()
        if self._rejected is not None:
            self._reject(self._rejected)
            return
        message = CallerMessage(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._pieces),
            self._arrived_s,
        )
        keep = self._parser.should_keep_alive()
        answer = self._loop.create_task(self._handle(message))
        answer.add_done_callback(self._flush)
        self._answers.append(answer)
        if not keep:
            self._last = answer
        if len(self._answers) >= _MAX_AHEAD and self._transport is not None:
            self._transport.pause_reading()

    def close_when_idle(self) -> None:
        """Closes now, or with the answer of the last request under way."""
        if not self.busy:
            self._end()

    def abort(self) -> None:
        """Ends the connection at once."""
        self._ending = True
        if self._transport is not None:
            self._transport.abort()

    async def _handle(self, message: CallerMessage) -> Reply:
        return await self._shared.handler(message)

    def _flush(self, _task: asyncio.Task[Reply]) -> None:
        while self._answers and self._answers[0].done() and not self._ending:
            answer = self._answers.popleft()
            if not self._succeeded(answer):
                self.abort()
                return
            last = answer is self._last or self._closes_after()
            self._write(encode_reply(answer.result(), last=last))
            if last:
                self._end()
        if not self._ending:
            self._read_on()

    def _read_on(self) -> None:
        if self._transport is not None and len(self._answers) < _MAX_AHEAD:
            self._transport.resume_reading()
        if not self.busy:
            self._watch_idle(self._shared.limits.idle_timeout_s)

    def _succeeded(self, answer: asyncio.Task[Reply]) -> bool:
        if answer.cancelled():
            return False
        failure = answer.exception()
        if failure is None:
            return True
        self._loop.call_exception_handler(
            {'message': 'request handler failed', 'exception': failure}
        )
        return False

    def _closes_after(self) -> bool:
        return self._shared.closing and not self._answers

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._shared.limits.header_bytes:
            self._rejected = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def _reject(self, status: int) -> None:
        if self._answers:
            # Answers of earlier requests are not given up for a bad one.
            self._last = self._answers[-1]
            return
        self._write(encode_reply(Reply(status), last=True))
        self._end()

    def _watch_idle(self, limit_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(limit_s, self._idle_ended)

    def _idle_ended(self) -> None:
        if not self._answers:
            self._end()

    def _write(self, encoded: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encoded)

    def _end(self) -> None:
        if self._ending:
            return
        self._ending = True
        for answer in self._answers:
            answer.cancel()
        self._answers.clear()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.resume_reading()
        transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(_LINGER_S, self.abort)


def encode_reply(reply: Reply, *, last: bool) -> bytes:
    """Encodes an answer with its length."""
    try:
        phrase = HTTPStatus(reply.status).phrase
    except ValueError:
        phrase = 'Unknown'
    lines = [f'HTTP/1.1 {reply.status} {phrase}\r\n'.encode()]
    lines.extend(b'%b: %b\r\n' % (name, text) for name, text in reply.headers)
    lines.append(b'content-length: %d\r\n' % len(reply.body))
    if last:
        lines.append(b'connection: close\r\n')
    lines.append(b'\r\n')
    lines.append(reply.body)
    return b''.join(lines)
