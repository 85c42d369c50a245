"""A server that refuses all requests of the older packages."""

import asyncio
from collections.abc import Callable

from tests.builders.raw_server import RawServer, Script

_ID_LINE = 'Yuccadale-Request-Id: '


def refuses_all(
    *, names_request: bool = True, body: bytes = b''
) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts that refuse all requests.

    Args:
        names_request: whether the refusals bear the id of their request.
        body: of the refusals.
    """

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                await raw.read_request(reader)
                lines = [
                    'HTTP/1.1 503 Refused',
                    'Yuccadale-Refused: shedding',
                    f'Content-Length: {len(body)}',
                ]
                if names_request:
                    lines.append(_id_line(raw.heads[-1].decode()))
                writer.write('\r\n'.join((*lines, '', '')).encode() + body)

        return script

    return make_script


def _id_line(head: str) -> str:
    return next(
        line for line in head.split('\r\n') if line.startswith(_ID_LINE)
    )
