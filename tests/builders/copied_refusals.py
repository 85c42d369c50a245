"""Refusals that a stand-in of a server sends a second time."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from aiohttp import web


@dataclass
class CopiedRefusals:
    """Refuses requests at first, and copies refusals when they come again.

    A copy is written when the id comes again on the connection on which it was
    refused, as the users' servers do.

    Attributes:
        status: the status of its own refusals.
        each: it refuses each request whose number is a multiple of this, when
            the request arrives for the first time; 0 refuses none.
        after_s: time from an arrival to the copy; None sends none.
        arrivals: number of arrivals by request id.
        came_again: number of refused requests that came again, by whether
            they came on the connection on which they were refused.
        sent: number of copies.
    """

    status: int = 503
    each: int = 0
    after_s: float | None = None
    arrivals: Counter[str] = field(default_factory=Counter)
    came_again: Counter[bool] = field(default_factory=Counter)
    sent: int = 0
    _copies_by_connection: WeakKeyDictionary[
        asyncio.Transport, dict[str, bytes]
    ] = field(default_factory=WeakKeyDictionary)

    def refuse(self, request_id: str) -> web.Response | None:
        """Returns the refusal of a new request, if it is one to refuse."""
        self.arrivals[request_id] += 1
        is_new = self.arrivals[request_id] == 1
        if not (self.each and is_new) or len(self.arrivals) % self.each:
            return None
        return web.Response(status=self.status, headers={'X-Not-Executed': '1'})

    def note(self, request: web.Request, refusal: web.Response) -> None:
        """Keeps a refusal that is about to be sent."""
        assert request.transport is not None
        copies = self._copies_by_connection.setdefault(request.transport, {})
        copies[refusal.headers['X-Attempt-Id']] = encode_answer(refusal)

    def send_copy(self, request: web.Request) -> None:
        """Sends the refusal again that this connection had to a request."""
        transport = request.transport
        assert transport is not None
        request_id = request.headers['X-Attempt-Id']
        copy = self._copies_by_connection.get(transport, {}).get(request_id)
        if self.arrivals[request_id] > 1:
            self.came_again[copy is not None] += 1
        if copy is None or self.after_s is None:
            return
        self.sent += 1
        if self.after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.after_s, write_copy, transport, copy)
        else:
            write_copy(transport, copy)


def encode_answer(answer: web.Response) -> bytes:
    """Returns a whole answer with its own headers."""
    headers = ''.join(
        f'{name}: {text}\r\n' for name, text in answer.headers.items()
    )
    body = answer.body
    assert body is None or isinstance(body, bytes)
    content = body or b''
    return (
        f'HTTP/1.1 {answer.status} {answer.reason}\r\n{headers}'
        f'Content-Length: {len(content)}\r\n\r\n'
    ).encode() + content


def write_copy(transport: asyncio.Transport, encoded: bytes) -> None:
    """Sends an answer, unless the connection was closed meanwhile."""
    if not transport.is_closing():
        transport.write(encoded)
