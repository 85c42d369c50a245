"""A server of calls whose path can fall silent, as behind a network partition.

While the path is silent, the kernel drops every packet to the server's sockets
that has data or ends a connection. Connections can still be opened, so that a
call is sent on them. Senders notice nothing but missing acknowledgements, and
their kernels retransmit. This needs no privileges: a classic BPF filter on a
socket sees each packet, from its TCP header on, before TCP does.
"""

import asyncio
import ctypes
import socket
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

# Constants of <asm-generic/socket.h>, which the module socket lacks.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
# Instructions of a filter: code, jumps if true and if false, operand.
_DROP_DATA_AND_ENDS = (
    (0x30, 0, 0, 13),  # load the flags
    (0x45, 6, 0, 0x05),  # FIN or RST: drop
    (0x30, 0, 0, 12),  # load the length of the header
    (0x74, 0, 0, 4),
    (0x64, 0, 0, 2),
    (0x07, 0, 0, 0),
    (0x80, 0, 0, 0),  # load the length of the packet
    (0x1D, 1, 0, 0),  # as long as the header: accept
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFF),  # accept
)
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_HEAD_END = b'\r\n\r\n'


def drop_packets(sock: socket.socket) -> None:
    """Drops arriving packets that have data or end a connection."""
    program = ctypes.create_string_buffer(
        b''.join(
            struct.pack('HBBI', *instruction)
            for instruction in _DROP_DATA_AND_ENDS
        )
    )
    sock.setsockopt(
        socket.SOL_SOCKET,
        _SO_ATTACH_FILTER,
        struct.pack(
            'HxxxxxxP', len(_DROP_DATA_AND_ENDS), ctypes.addressof(program)
        ),
    )


def accept_packets(sock: socket.socket) -> None:
    """Accepts all arriving packets again."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, struct.pack('i', 0))


@dataclass(frozen=True)
class Arrival:
    """A call that the server's process has read.

    Attributes:
        at_s: when, on the monotonic clock of the machine.
        path: path of the call.
        fence: fencing token in its body.
    """

    at_s: float
    path: str
    fence: int


@dataclass
class SilentPathServer:
    """Answers grants and releases, and records their arrivals."""

    address: tuple[str, int] = ('127.0.0.1', 0)
    arrivals: list[Arrival] = field(default_factory=list)
    sockets: list[socket.socket] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def close_connections(self) -> None:
        """Closes all connections, so that the next call needs a new one."""
        for writer in list(self.writers):
            writer.close()

    def repeat_answers(self) -> None:
        """Sends the last answer again on all connections."""
        for writer in self.writers:
            writer.write(_ANSWER)

    def silence(self) -> None:
        """Drops all packets from now on, those of new connections too."""
        for sock in self.sockets:
            drop_packets(sock)

    def heal(self) -> None:
        """Lets packets through again."""
        for sock in self.sockets:
            accept_packets(sock)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it ends."""
        sock = writer.get_extra_info('socket')
        self.sockets.append(sock)
        self.writers.add(writer)
        try:
            while True:
                await self._serve_call(reader, writer)
        except (OSError, EOFError):
            return
        finally:
            self._forget(writer)

    def _forget(self, writer: asyncio.StreamWriter) -> None:
        self.sockets.remove(writer.get_extra_info('socket'))
        self.writers.remove(writer)
        writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(_HEAD_END)
        lines = head.decode().lower().split('\r\n')
        length = next(
            int(line.partition(':')[2])
            for line in lines
            if line.startswith('content-length:')
        )
        body = msgspec.json.decode(await reader.readexactly(length))
        path = lines[0].split(' ')[1]
        self.arrivals.append(Arrival(time.monotonic(), path, body['fence']))
        writer.write(_ANSWER)


@asynccontextmanager
async def silent_path_server() -> AsyncIterator[SilentPathServer]:
    """Runs a server on a loopback port while the block runs."""
    server = SilentPathServer()
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    server.sockets.extend(listener.sockets)
    server.address = listener.sockets[0].getsockname()
    try:
        yield server
    finally:
        listener.close()
