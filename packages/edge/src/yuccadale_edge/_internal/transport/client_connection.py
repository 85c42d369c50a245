"""One HTTP/1.1 connection to a server: one request at a time, sent once.

HTTP client libraries retry idempotent methods after a lost connection and
accept any next answer. Here a request is written exactly once, and an answer is
accepted only if it matches the request, since servers may send additional,
late answers.
"""

import asyncio
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from io import BytesIO

import httptools
import structlog

from yuccadale_edge._internal.transport.held_bytes import (
    SMALL_BYTES,
    HeldBytes,
    Holding,
)
from yuccadale_edge._internal.transport.parse_scheduler import (
    MAX_CALLS_PER_TURN,
    ParseScheduler,
)
from yuccadale_edge._internal.transport.sockets import (
    is_readable,
    unacknowledged_bytes,
)

Headers = list[tuple[bytes, bytes]]

_log = structlog.get_logger()

# The connection ends after this time with unacknowledged bytes. This detects a
# machine that lost power and sends no reset.
UNACKNOWLEDGED_S = 2.5
_MS_PER_S = 1000
# Closing resets the connection and discards what the kernel has not sent yet.
# Otherwise the kernel goes on sending for a closed connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Bytes that may be parsed without completing a head, or a part of a body. What
# is parsed at once is added.
_MAX_UNPARSED_BYTES = 64 * 1024
# Bytes of heads, and of bodies in chunks, that are parsed at once. The parser
# cannot pause, and each field and each chunk costs a call.
_PARSED_BYTES = 4 * 1024
# Bytes of a body in chunks that are not content may be twice the content, and
# so many more.
_MAX_FRAMING_BYTES = 64 * 1024
_FRAMING_RATIO = 2
# Interim answers, and answers to other requests, before the answer.
_MAX_OTHER_ANSWERS = 16
# An answer with another status is none. The parser accepts all of three digits.
_VALID_STATUSES = range(100, 600)
# Answers with a lower status are interim.
_FIRST_FINAL_STATUS = 200
# A connection on which as many requests failed is not used again, so that it
# need not forget any.
_MAX_FAILED_IDS = 64
_NO_BODY_STATUSES = frozenset((204, 304))
# Within a head it is the begin of another answer.
_STATUS_LINE = re.compile(rb'HTTP/1\.[0-9] [0-9]{3}(?: |$)')


class NotSentError(Exception):
    """No byte of the request was sent."""


class AnswerLostError(Exception):
    """The request was sent; the server may have run it."""


class AnswerMalformedError(AnswerLostError):
    """The server sent bytes that are not a complete HTTP answer."""


@dataclass(slots=True)
class Answer:
    """A complete answer.

    Attributes:
        status: the status code.
        headers: names in lower case, in the order received.
        body: the decoded body.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; the name is in lower case."""
        for known, text in self.headers:
            if known == name:
                return text
        return None


AnswerMatcher = Callable[[Answer], bool]


class Delivery:
    """A call without an id, by the place it has on its connection.

    Its answer may be the copy of an earlier one, while the server still holds
    the call back.
    """

    def __init__(self, connection: 'ClientConnection', number: int) -> None:
        self.connection = connection
        self._number = number

    @property
    def proven(self) -> bool:
        """Whether the server has surely handled the call."""
        return self._number <= self.connection.proven_deliveries

    @property
    def provable(self) -> bool:
        """Whether another call can be sent behind this one now."""
        return not self.proven and self.connection.reusable


class ClientConnection(asyncio.BufferedProtocol):
    """Sends requests to one server and reads their answers.

    Answers are parsed in parts, as far as the scheduler permits in one turn of
    the event loop; nothing is read meanwhile.

    Attributes:
        number: distinguishes the connections of a process in logs.
        answers: number of answers on it so far, additional ones included.
        proven_deliveries: number of calls without an id that the server has
            surely handled.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        held: HeldBytes,
        scheduler: ParseScheduler,
        number: int = 0,
    ) -> None:
        """Creates a connection.

        Args:
            loop: the event loop.
            held: account of the answers that are read.
            scheduler: bounds what is parsed in one turn of the event loop.
            number: distinguishes the connections of a process in logs.
        """
        self._loop = loop
        self._held = held
        self._scheduler = scheduler
        self.number = number
        self.answers = 0
        self.proven_deliveries = 0
        self._deliveries = 0
        self._failed_ids: set[str] = set()
        self._holding: Holding | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        # Bytes that are read, but wait until they may be parsed.
        self._unparsed = b''
        self._awaits_room = False
        # Pieces of the body from the part that is being parsed.
        self._pieces: list[bytes] = []
        self._waiter: asyncio.Future[Answer] | None = None
        self._matches: AnswerMatcher | None = None
        self._head_only = False
        self._only_acknowledged = False
        self._reset_answer()
        self._unparsed_bytes = 0
        # Calls of the parser for the answers to one request.
        self._parsed_calls = 0
        self._is_expensive = False
        self._other_answers = 0
        self._keep_alive = True
        self._unacknowledged_s: float = 0
        self.idle_since: float = 0
        self.idle_limit_s: float | None = None
        self.used = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._keep_alive
            and self._waiter is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def has_unread_bytes(self) -> bool:
        """Whether bytes, or the end, arrived that were not read yet.

        On an idle connection they belong to no request. The event loop may
        not have had the time to read them.
        """
        assert self._transport is not None
        return is_readable(self._transport.get_extra_info('socket'))

    def note_failure(self, request_id: str) -> None:
        """Notes that a request was refused or failed on this connection.

        The server may send the answer again. A later attempt of the request
        may not be sent here, since the copy would look like its answer.
        """
        self._failed_ids.add(request_id)
        if len(self._failed_ids) >= _MAX_FAILED_IDS:
            self._keep_alive = False

    def has_failed(self, request_id: str) -> bool:
        """Whether a request was refused or failed on this connection."""
        return request_id in self._failed_ids

    def note_delivery(self) -> Delivery:
        """Notes an answer that bears no id.

        The first such answer is no copy: there was none to copy.
        """
        self._deliveries += 1
        if self._deliveries == 1:
            self.prove_deliveries()
        return Delivery(self, self._deliveries)

    def prove_deliveries(self) -> None:
        """Notes an answer that is surely no copy.

        A server handles the requests of a connection in order, one at a time:
        it has handled all that were sent before.
        """
        self.proven_deliveries = self._deliveries

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the options of the socket."""
        self._transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._limit_unacknowledged(UNACKNOWLEDGED_S)

    async def exchange(
        self,
        request: bytes,
        matches: AnswerMatcher,
        unacknowledged_s: float = UNACKNOWLEDGED_S,
        *,
        head_only: bool = False,
        only_acknowledged: bool = False,
        body: bytes = b'',
    ) -> Answer:
        """Sends a request and returns the answer that matches it.

        Args:
            request: the whole request, or its part before ``body``.
            matches: tells whether an answer belongs to the request.
            unacknowledged_s: the connection ends when the server's machine
                has not acknowledged the request for this long, even if this
                process is stopped meanwhile.
            head_only: the answer has no body, whatever its head announces.
            only_acknowledged: pass over an answer that comes before the
                server's machine has acknowledged the whole request. It belongs
                to an earlier one.
            body: the body; a large one is not copied.

        Raises:
            NotSentError: the connection was closed before the request was sent.
            AnswerLostError: the connection ended without a complete answer.
        """
        if not self.reusable:
            raise NotSentError('the connection was closed while idle')
        transport = self._transport
        assert transport is not None
        self._waiter = self._loop.create_future()
        self._matches = matches
        self._head_only = head_only
        self._only_acknowledged = only_acknowledged
        self._other_answers = 0
        self._parsed_calls = 0
        self._is_expensive = False
        self.used = True
        self._limit_unacknowledged(unacknowledged_s)
        if len(body) > SMALL_BYTES:
            transport.write(request)
            transport.write(body)
        else:
            transport.write(request + body)
        with self._held.holding(self._give_up_answer) as holding:
            self._holding = holding
            try:
                return await self._waiter
            except asyncio.CancelledError:
                # The answer may have been read; nobody notes what it says.
                self.close()
                raise
            finally:
                self._end_exchange(self._waiter, transport)

    def close(self) -> None:
        """Resets the connection; what was not sent yet is discarded."""
        self._keep_alive = False
        self._unparsed = b''
        if self._transport is not None:
            self._transport.abort()

    def get_buffer(self, _size: int) -> memoryview:
        """Returns the buffer of all connections."""
        return self._scheduler.buffer

    def buffer_updated(self, size: int) -> None:
        """Parses what was read; closes if no request is pending."""
        received = self._scheduler.buffer[:size]
        if self._unparsed:
            self._unparsed += bytes(received)
        else:
            self._feed(received)

    def eof_received(self) -> bool:
        """Completes an answer whose body is delimited by the connection end."""
        self._keep_alive = False
        if self._body_until_close and self._waiter is not None:
            error = self._socket_error()
            if error:
                self._fail(AnswerLostError(f'reset by the server ({error})'))
            else:
                self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request, if any."""
        self._keep_alive = False
        detail = 'closed' if exc is None else str(exc)
        self._fail(AnswerLostError(detail))

    def on_message_begin(self) -> None:
        """Resets the state of the previous answer.

        An answer that begins behind the one to the request belongs to no
        request. It may be incomplete, and the next answer would continue it.
        """
        self._reset_answer()
        if not self._pending:
            self.close()
        elif self._holding is not None:
            self._holding.restart()

    def on_status(self, piece: bytes) -> None:
        """Collects the reason phrase."""
        self._check_status()
        self._reason += piece
        self._check_line(self._reason)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collects a header."""
        self._check_status()
        self._check_line(text)
        self._parsed_calls += 1
        lowered = name.lower()
        self._headers.append((lowered, text))
        if lowered in {b'content-length', b'transfer-encoding'}:
            self._framed = True
        if lowered == b'content-length' and text.strip().isdigit():
            self._announced_bytes = int(text)

    def on_headers_complete(self) -> None:
        """Determines how the body is delimited."""
        self._unparsed_bytes = 0
        self._head_complete = True
        if not self._check_status():
            return
        status = self._parser.get_status_code()
        self._body_until_close = (
            not self._framed
            and status >= _FIRST_FINAL_STATUS
            and status not in _NO_BODY_STATUSES
        )
        self.answers += status >= _FIRST_FINAL_STATUS
        if self._head_only and status >= _FIRST_FINAL_STATUS:
            self._finish_head()
        self._reserve_body()

    def on_body(self, piece: bytes) -> None:
        """Collects a piece of the body."""
        self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Completes the answer unless it is interim."""
        self._collect_body()
        self._unparsed_bytes = 0
        self._head_complete = False
        if not self._parser.should_keep_alive():
            self._keep_alive = False
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self._finish()
        else:
            self._pass_over()

    def _feed(self, received: memoryview) -> None:
        """Parses what was read, as far as the scheduler permits now."""
        left = received
        while left and self._pending and self._scheduler.may_parse():
            size = self._next_bytes()
            self._parse(left[:size])
            left = left[size:]
        if left and self._pending:
            self._unparsed = bytes(left)
            self._defer()
        elif left:
            # Bytes behind the answer belong to no request.
            self.close()

    def _next_bytes(self) -> int:
        """Returns how much is parsed before the scheduler is asked again."""
        left = self._announced_bytes - self._body_bytes
        return left if self._head_complete and left > 0 else _PARSED_BYTES

    def _parse(self, part: memoryview) -> None:
        in_body = self._head_complete
        calls_before = self._parsed_calls
        self._unparsed_bytes += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._fail(AnswerMalformedError('the server switched protocols'))
        except httptools.HttpParserError as error:
            self._fail(AnswerMalformedError(str(error)))
        self._collect_body()
        self._scheduler.count(self._parsed_calls - calls_before, len(part))
        if self._unparsed_bytes > _MAX_UNPARSED_BYTES:
            self._fail(AnswerMalformedError('a head or trailer is too large'))
        if in_body and self._head_complete:
            self._check_framing(len(part))

    def _check_framing(self, size: int) -> None:
        """Fails the request if the body is too expensive for its content."""
        self._coded_bytes += size
        framing = self._coded_bytes - self._body_bytes
        if framing > self._body_bytes * _FRAMING_RATIO + _MAX_FRAMING_BYTES:
            self._fail(
                AnswerMalformedError('the chunks of the body are too small')
            )

    def _collect_body(self) -> None:
        """Moves the collected pieces to the body."""
        if not self._pieces:
            return
        self._parsed_calls += len(self._pieces)
        joined = b''.join(self._pieces)
        self._pieces.clear()
        self._unparsed_bytes = 0
        if not self._pending:
            return
        self._body_bytes += len(joined)
        if self._body_bytes > _MAX_ANSWER_BYTES:
            self._fail(AnswerMalformedError('the answer is too large'))
            return
        self._body.write(joined)
        if self._holding is not None:
            self._holding.grow_to(self._body_bytes)

    def _defer(self) -> None:
        """Parses the rest in a later turn; reads nothing until then."""
        transport = self._transport
        assert transport is not None
        if transport.is_closing():
            return
        transport.pause_reading()
        self._scheduler.wait(self._parsed_calls, self._parse_deferred)
        if self._parsed_calls >= MAX_CALLS_PER_TURN and not self._is_expensive:
            self._is_expensive = True
            _log.info(
                'expensive answer',
                server=transport.get_extra_info('peername'),
                parsed_calls=self._parsed_calls,
                size=self._body_bytes,
            )

    def _parse_deferred(self) -> None:
        unparsed = self._unparsed
        self._unparsed = b''
        if unparsed:
            self._feed(memoryview(unparsed))
        self._read_on()

    def _check_status(self) -> bool:
        """Fails the request if the status of the answer is not valid.

        Called from the first part of a head that follows the status, so that
        the connection does not stay open until the end of the answer.
        """
        status = self._parser.get_status_code()
        if status in _VALID_STATUSES:
            return True
        self._fail(AnswerMalformedError(f'the answer has status {status:03}'))
        return False

    def _check_line(self, text: bytes) -> None:
        """Fails the request if an answer begins within a line of the head.

        The head was begun by additional bytes, and goes on with the answer.
        """
        if _STATUS_LINE.search(text):
            self._fail(AnswerMalformedError('an answer begins within a head'))

    def _finish_head(self) -> None:
        """Completes an answer without a body.

        The parser goes on to expect the body that the head announces, so the
        connection is not used again.
        """
        head = Answer(self._parser.get_status_code(), self._headers)
        if self._matches is not None and self._matches(head):
            self._keep_alive = False
            self._finish()

    def _reserve_body(self) -> None:
        """Reserves room for a body of a known length, or waits unread."""
        if not self._announced_bytes or self._holding is None:
            return
        if self._announced_bytes > _MAX_ANSWER_BYTES:
            self._fail(AnswerMalformedError('the answer is too large'))
            return
        assert self._transport is not None
        if not self._holding.reserve(self._announced_bytes, self._use_room):
            self._awaits_room = True
            self._transport.pause_reading()

    def _use_room(self) -> None:
        self._awaits_room = False
        self._read_on()

    def _read_on(self) -> None:
        """Reads again, unless something that was read waits."""
        if self._transport is None or self._transport.is_closing():
            return
        if not self._unparsed and not self._awaits_room:
            self._transport.resume_reading()

    def _give_up_answer(self) -> None:
        self._fail(
            AnswerMalformedError(
                'the answer has no known end, and memory is used up'
            )
        )

    def _limit_unacknowledged(self, limit_s: float) -> None:
        if limit_s == self._unacknowledged_s:
            return
        self._unacknowledged_s = limit_s
        assert self._transport is not None
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            # 0 would stand for the limit of the system.
            max(1, int(limit_s * _MS_PER_S)),
        )

    def _end_exchange(
        self, waiter: asyncio.Future[Answer], transport: asyncio.Transport
    ) -> None:
        self._waiter = None
        self._matches = None
        self._holding = None
        # The server may have answered before it read the whole request.
        unread = transport.get_write_buffer_size() > 0
        if unread or not waiter.done() or waiter.cancelled():
            self.close()
        # The parser refers to this object: what it keeps would last until the
        # next garbage collection.
        self._reset_answer()

    def _socket_error(self) -> int:
        # uvloop reports a reset after data as EOF.
        assert self._transport is not None
        sock = self._transport.get_extra_info('socket')
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def _reset_answer(self) -> None:
        self._reason = b''
        self._headers: Headers = []
        self._body = BytesIO()
        self._body_bytes = 0
        self._announced_bytes = 0
        self._coded_bytes = 0
        self._head_complete = False
        self._framed = False
        self._body_until_close = False

    @property
    def _pending(self) -> bool:
        """Whether a request waits for its answer."""
        return self._waiter is not None and not self._waiter.done()

    def _finish(self) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done():
            self.close()
            return
        answer = Answer(
            self._parser.get_status_code(),
            self._headers,
            self._body.getvalue(),
        )
        self._reset_answer()
        if not self._may_be_answer(answer):
            self._pass_over()
            if not self._keep_alive:
                self._fail(AnswerLostError('no answer matched the request'))
            return
        limit = answer.header(b'keep-alive')
        if limit is not None and limit.startswith(b'timeout='):
            digits = limit.removeprefix(b'timeout=').split(b',')[0]
            if digits.isdigit():
                self.idle_limit_s = float(digits)
        self.idle_since = self._loop.time()
        waiter.set_result(answer)

    def _may_be_answer(self, answer: Answer) -> bool:
        if self._only_acknowledged and self._has_unacknowledged_bytes():
            return False
        return self._matches is None or self._matches(answer)

    def _has_unacknowledged_bytes(self) -> bool:
        transport = self._transport
        assert transport is not None
        if transport.get_write_buffer_size():
            return True
        return unacknowledged_bytes(transport.get_extra_info('socket')) > 0

    def _pass_over(self) -> None:
        """Counts an answer that is not the one to the request."""
        self._other_answers += 1
        if self._other_answers > _MAX_OTHER_ANSWERS:
            self._fail(AnswerMalformedError('too many other answers'))

    def _fail(self, error: AnswerLostError) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        self._reset_answer()
        self.close()
