"""Callers whose requests wait in the kernel until they are read."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, field

from tests.builders.prepared_answers import (
    allow_unread_bytes,
    chunked_body,
)
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    ListenerState,
    Reply,
    ServerConnection,
    ServerLimits,
)

_HANDLED_WITHIN_S = 5.0


def chunked_request(chunk: bytes, count: int) -> bytes:
    """Encodes a request whose body has many equal chunks."""
    head = b'POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
    return b'%b%b0\r\n\r\n' % (head, chunked_body(chunk, count))


@dataclass
class ListenerWithCallers:
    """A listener with callers whose connections are accepted.

    Attributes:
        callers: their ends of the connections.
        bodies: of the requests that were handled, in this order.
    """

    callers: list[socket.socket] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)

    async def handle(self, message: CallerMessage) -> Reply:
        """Records a request."""
        self.bodies.append(message.body)
        return Reply(200)

    async def turns_until_handled(self, count: int) -> int:
        """Counts the turns of the event loop until requests were handled."""
        turns = 0
        async with asyncio.timeout(_HANDLED_WITHIN_S):
            while len(self.bodies) < count:
                await asyncio.sleep(0)
                turns += 1
        return turns


@asynccontextmanager
async def listener_with_callers(
    count: int,
) -> AsyncIterator[ListenerWithCallers]:
    """Runs a listener, and opens connections to it."""
    running = ListenerWithCallers()
    state = ListenerState(running.handle, ServerLimits())
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ServerConnection(loop, state), '127.0.0.1', 0
    )
    with ExitStack() as stack:
        stack.callback(server.close)
        for _ in range(count):
            caller = socket.create_connection(server.sockets[0].getsockname())
            stack.callback(caller.close)
            allow_unread_bytes(caller)
            running.callers.append(caller)
        while len(state.connections.all) < count:
            await asyncio.sleep(0)
        yield running
        state.abort()
