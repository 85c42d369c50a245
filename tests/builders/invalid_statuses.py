"""Responses whose status is not three digits from 100 to 599."""

import asyncio
from collections.abc import Callable

from tests.builders.raw_server import RawServer, Script

INVALID_STATUSES = (
    '000',
    '042',
    '099',
    '600',
    '700',
    '999',
    '20',
    '2000',
    'abc',
)

Answer = Callable[[bytes], bytes]


def response(status: str, request_head: bytes, *lines: str) -> bytes:
    """Returns a response with the id of its request, a signature and a body.

    Args:
        status: the status code, valid or not.
        request_head: head of the request.
        lines: further header lines.
    """
    named = [
        line
        for line in request_head.decode().split('\r\n')
        if line.lower().startswith('x-attempt-id:')
    ]
    return '\r\n'.join(
        (
            f'HTTP/1.1 {status} Answer',
            *named,
            'X-Server-Signature: sig',
            *lines,
            'Content-Length: 2',
            '\r\nok',
        )
    ).encode()


def answers_first_with(
    first: Answer, later: Answer
) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts that answer the first request differently.

    The connections stay open until the client closes them.
    """

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                await raw.read_request(reader)
                answer = first if len(raw.heads) == 1 else later
                writer.write(answer(raw.heads[-1]))

        return script

    return make_script
