"""A server that sends earlier answers of a connection again, in many forms."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from tests.builders.raw_server import RawServer, Script

# How an answer is written, and how its copy is: in pieces, one after another.
Encode = Callable[[bytes, bytes], bytes]
Divide = Callable[[bytes, random.Random], Sequence[bytes]]

_WORK_S = 0.002
_REFUSAL_LINES = b'503 Busy\r\nX-Not-Executed: 1\r\n'
_SUCCESS_LINES = b'200 OK\r\nX-Server-Signature: sig\r\n'
_END = b''


def _with_length(lines: bytes, request_id: bytes) -> bytes:
    return b'HTTP/1.1 %bX-Attempt-Id: %b\r\nContent-Length: 2\r\n\r\nok' % (
        lines,
        request_id,
    )


def _chunked(lines: bytes, request_id: bytes) -> bytes:
    return (
        b'HTTP/1.1 %bX-Attempt-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2;a=b\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n'
    ) % (lines, request_id)


def _id_last(lines: bytes, request_id: bytes) -> bytes:
    return b'HTTP/1.1 %bContent-Length: 2\r\nx-attempt-id:%b \r\n\r\nok' % (
        lines,
        request_id,
    )


def _after_interim(lines: bytes, request_id: bytes) -> bytes:
    interim = b'HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %b\r\n\r\n'
    return interim % request_id + _with_length(lines, request_id)


def _whole(copy: bytes, _random: random.Random) -> Sequence[bytes]:
    return (copy,)


def _split(copy: bytes, source: random.Random) -> Sequence[bytes]:
    at = source.randrange(1, len(copy))
    return copy[:at], copy[at:]


def _cut(copy: bytes, source: random.Random) -> Sequence[bytes]:
    return (copy[: source.randrange(1, len(copy))],)


def _last(copy: bytes, _random: random.Random) -> Sequence[bytes]:
    return copy, _END


def _closing(copy: bytes, _random: random.Random) -> Sequence[bytes]:
    head, separator, body = copy.partition(b'\r\n\r\n')
    return (b'%b\r\nConnection: close%b%b' % (head, separator, body),)


def _without_length(copy: bytes, _random: random.Random) -> Sequence[bytes]:
    return (copy.replace(b'Content-Length: 2\r\n', b''), _END)


FORMS: MappingProxyType[str, tuple[Encode, Divide]] = MappingProxyType(
    {
        'whole': (_with_length, _whole),
        'split': (_with_length, _split),
        'cut': (_with_length, _cut),
        'chunked': (_chunked, _whole),
        'chunked, split': (_chunked, _split),
        'chunked, cut': (_chunked, _cut),
        'id last': (_id_last, _split),
        'after an interim answer': (_after_interim, _split),
        'end behind': (_with_length, _last),
        'closing': (_with_length, _closing),
        'without length': (_with_length, _without_length),
    }
)


@dataclass
class CopyingServer:
    """Refuses each third request at first, and copies answers to later ones.

    Attributes:
        form: a key of ``FORMS``.
        executions: number of executions by request id.
        copies: number of copies sent.
        came_again: number of refused requests that came again.
    """

    form: str
    executions: Counter[bytes] = field(default_factory=Counter)
    copies: int = 0
    came_again: int = 0
    _random: random.Random = field(default_factory=lambda: random.Random(1))
    _refused: set[bytes] = field(default_factory=set)
    _arrived: set[bytes] = field(default_factory=set)

    def make_script(self, raw: RawServer) -> Script:
        """Returns the script of its connections."""

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            sent: list[bytes] = []
            while not writer.is_closing():
                await raw.read_request(reader)
                await self._answer(raw.heads[-1], writer, sent)

        return script

    async def _answer(
        self, head: bytes, writer: asyncio.StreamWriter, sent: list[bytes]
    ) -> None:
        if head.startswith(b'POST /v1/'):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            return
        request_id = named_request(head)
        encode, divide = FORMS[self.form]
        lines = _SUCCESS_LINES
        if self._refuses(request_id):
            lines = _REFUSAL_LINES
        else:
            self.executions[request_id] += 1
            for copy in self._random.sample(sent, min(len(sent), 2)):
                self.copies += 1
                await _write_pieces(writer, divide(copy, self._random))
        answer = encode(lines, request_id)
        sent.append(answer)
        writer.write(answer)

    def _refuses(self, request_id: bytes) -> bool:
        self.came_again += request_id in self._refused
        is_new = request_id not in self._arrived
        self._arrived.add(request_id)
        if not is_new or len(self._arrived) % 3:
            return False
        self._refused.add(request_id)
        return True


async def _write_pieces(
    writer: asyncio.StreamWriter, pieces: Sequence[bytes]
) -> None:
    for piece in pieces:
        if piece == _END:
            writer.write_eof()
            # What is left of the connection carries no answer.
            await asyncio.sleep(_WORK_S)
            raise ConnectionResetError
        writer.write(piece)
        await asyncio.sleep(_WORK_S)


def named_request(head: bytes) -> bytes:
    """Returns the id of a request, empty if it has none."""
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'x-attempt-id':
            return text
    return b''
