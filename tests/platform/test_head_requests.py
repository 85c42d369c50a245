"""HEAD: answers without the body that their heads announce."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.builders.platform_system import HOST, platform_system

_START_S = 15.0
# Far below the time limit of a request.
_SOON_S = 1.0
_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def _connected() -> AsyncIterator[_Streams]:
    """Runs an instance that serves, and connects a caller to it."""
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        async with asyncio.timeout(_START_S):
            while (await system.send_request(name, '/open/x'))[0] != 200:
                await asyncio.sleep(0.05)
        address = system.settings_by_name[name].caller_address
        reader, writer = await asyncio.open_connection(*address)
        yield reader, writer
        writer.close()


async def _head_of_answer(
    streams: _Streams, method: str, path: str
) -> tuple[int, bytes]:
    """Sends a request; returns status and head of the answer."""
    reader, writer = streams
    writer.write(
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Attempt-Id: {method}\r\nX-Deadline-Ms: 2000\r\n\r\n'.encode()
    )
    async with asyncio.timeout(_SOON_S):
        head = await reader.readuntil(b'\r\n\r\n')
    return int(head.split()[1]), head


@pytest.mark.parametrize(('path', 'status'), [('/open/x', 200), ('/none', 404)])
async def test_an_answer_to_head_has_no_body(path: str, status: int) -> None:
    """Guards against a wait for a body, and a body that the caller gets.

    Requests waited until their time limit, with a slot of the server; the
    caller took the body of the refusal for the next answer.
    """
    async with _connected() as streams:
        first, _ = await _head_of_answer(streams, 'HEAD', path)
        second, head = await _head_of_answer(streams, 'GET', '/open/x')
    assert first == status
    assert second == 200
    assert b'GET' in head
