"""Answers of a store that are scripted one by one."""

import asyncio
import json
from collections.abc import Callable

from tests.builders.raw_server import RawServer, Script

Document = dict[str, object]


def table_row(key: str, ver: int, **changes: object) -> Document:
    """Returns a row of the table ``own``, with changed fields."""
    row = {'table': 'own', 'part': '', 'key': key, 'value': 'e30=', 'ver': ver}
    return row | changes


def table_page(*rows: Document, **changes: object) -> Document:
    """Returns an answer to a read of a table, with changed fields."""
    page = {'rows': rows, 'has_more': False, 'ver': 7, 'now': '7000ms'}
    return page | changes


def without(document: Document, name: str) -> Document:
    """Returns a copy that lacks a field."""
    return {key: one for key, one in document.items() if key != name}


def answers_in_turn(
    *documents: Document, eras: tuple[int, ...] = ()
) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts that answer requests in the order given.

    The order goes on over connections.

    Args:
        documents: the bodies.
        eras: the era that each answer names; 0 by default.
    """

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                await raw.read_request(reader)
                number = len(raw.heads) - 1
                era = eras[number] if eras else 0
                writer.write(_encode(documents[number], era))

        return script

    return make_script


def _encode(document: Document, era: int) -> bytes:
    body = json.dumps(document).encode()
    return (
        b'HTTP/1.1 200 OK\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n'
        % (era, len(body))
    ) + body
