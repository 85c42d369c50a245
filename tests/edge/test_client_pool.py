"""Connections to servers and the store that stall or end."""

import asyncio
import gc
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from types import MappingProxyType

import pytest

from tests.builders.raw_server import (
    RawServer,
    Script,
    accepting_socket,
    run_raw_server,
)
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    AnswerMalformedError,
)
from yuccadale_edge._internal.transport.client_pool import Address, ClientPool
from yuccadale_edge._internal.transport.held_bytes import HeldBytes
from yuccadale_platform.adapter import parse_address

_REQUEST = b'GET /x HTTP/1.1\r\nhost: s\r\n\r\n'
_OK = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
_IDLE = 3
_MANY = 200
_TIMEOUT_S = 0.2
# Longer than any of these tests takes.
_LONG_S = 10.0


def _accept_any(_answer: Answer) -> bool:
    return True


def _stalls_after_one_answer(raw: RawServer) -> Script:
    """Returns a script; the first connections answer one request each."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answers_all = raw.connections > _IDLE
        while True:
            await raw.read_request(reader)
            writer.write(_OK)
            while not answers_all:
                # The connection stays open and is read.
                if not await reader.read(1024):
                    return

    return script


def _answers_all(raw: RawServer) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await raw.read_request(reader)
            writer.write(_OK)

    return script


@asynccontextmanager
async def _idle_connections() -> AsyncIterator[tuple[ClientPool, Address]]:
    """Yields a pool with idle connections that have stalled."""
    async with run_raw_server(_stalls_after_one_answer) as raw:
        host, _, port = raw.address.rpartition(':')
        address = (host, int(port))
        pool = ClientPool(asyncio.get_running_loop())
        await asyncio.gather(
            *(_send(pool, address, force_new=True) for _ in range(_IDLE))
        )
        yield pool, address
        pool.close_idle(address)


async def _send(
    pool: ClientPool, address: Address, *, force_new: bool = False
) -> Answer:
    async with pool.acquire(
        address, _TIMEOUT_S, force_new=force_new
    ) as connection:
        async with asyncio.timeout(_TIMEOUT_S):
            return await connection.exchange(_REQUEST, _accept_any)


async def test_a_timeout_closes_idle_connections_that_may_have_stalled() -> (
    None
):
    """Guards against one lost request for each stalled connection.

    Connections to a server or to the store can all stall at the same moment.
    """
    async with _idle_connections() as (pool, address):
        with pytest.raises(TimeoutError):
            await _send(pool, address)
        assert (await _send(pool, address)).status == 200


async def test_a_connection_is_not_used_again_after_a_cancellation() -> None:
    """Guards against an answer that was read, but not handled.

    The request is cancelled after its answer was read, before the task goes
    on. Whether it was a refusal is not noted then.
    """
    async with run_raw_server(_answers_all) as raw:
        address = parse_address(raw.address)
        pool = ClientPool(asyncio.get_running_loop())

        def cancel(_answer: Answer) -> bool:
            asyncio.get_running_loop().call_soon(sending.cancel)
            return True

        async def send() -> None:
            async with pool.acquire(address, _TIMEOUT_S) as connection:
                await connection.exchange(_REQUEST, cancel)

        sending = asyncio.create_task(send())
        with pytest.raises(asyncio.CancelledError):
            await sending
        await _send(pool, address)
        assert raw.connections == 2
        pool.close_idle(address)


async def test_a_connection_that_refused_many_requests_is_closed() -> None:
    """Guards against ids of refused requests that fill the memory.

    None of them may be forgotten while the connection is used.
    """
    async with run_raw_server(_answers_all) as raw:
        address = parse_address(raw.address)
        pool = ClientPool(asyncio.get_running_loop())
        for number in range(_MANY):
            async with pool.acquire(
                address, _TIMEOUT_S, request_id=f'{number}'
            ) as connection:
                await connection.exchange(_REQUEST, _accept_any)
                connection.note_failure(f'{number}')
                assert connection.has_failed(f'{number}')
        assert 1 < raw.connections < _MANY / 10
        pool.close_idle(address)


async def test_connections_that_open_at_once_have_different_numbers() -> None:
    """Guards against a log that joins the answers of two connections."""
    async with run_raw_server(_answers_all) as raw:
        address = parse_address(raw.address)
        pool = ClientPool(asyncio.get_running_loop())

        async def number() -> int:
            async with pool.acquire(address, _TIMEOUT_S) as connection:
                return connection.number

        numbers = await asyncio.gather(*(number() for _ in range(_IDLE)))
        assert len(set(numbers)) == _IDLE
        pool.close_idle(address)


async def test_a_timeout_keeps_connections_used_since() -> None:
    """Guards against new connections after each slow answer."""
    async with _idle_connections() as (pool, address):
        pool.close_idle(address)
        await _send(pool, address, force_new=True)
        opened = pool.opened
        with pytest.raises(TimeoutError):
            async with pool.acquire(address, _TIMEOUT_S, force_new=True):
                await asyncio.sleep(0.01)
                await _send(pool, address)
                raise TimeoutError
        await _send(pool, address)
        assert pool.opened == opened + 1


_ENDLESS = MappingProxyType(
    {
        'header lines': (b'HTTP/1.1 200 OK\r\n', b'x: %b\r\n' % (b'y' * 1000)),
        'a header': (b'HTTP/1.1 200 OK\r\nx: ', b'y' * 1000),
        'a status line': (b'HTTP/1.1 200 ', b'O' * 1000),
        'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        'answers to others': (
            b'',
            b'HTTP/1.1 204 No Content\r\nother: 1\r\n\r\n',
        ),
        'bytes of another protocol': (b'', b'\x15\x03\x01' * 500),
        'blank lines': (b'', b'\r\n' * 500),
        'a chunk size': (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            b'0' * 1000,
        ),
        'a length beyond the limit': (
            b'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n',
            b'z' * 1000,
        ),
        'trailers': (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
            b'x: %b\r\n' % (b'y' * 1000),
        ),
        'a chunk extension': (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=',
            b'y' * 1000,
        ),
    }
)
_ENDLESS_BYTES = 2_000_000


def _sends_without_end(begin: bytes, repeated: bytes) -> Script:
    """Returns a script that sends until the caller closes, or for long."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(begin)
        for _ in range(_ENDLESS_BYTES // len(repeated)):
            writer.write(repeated)
            await writer.drain()
        await reader.read()

    return script


def _is_own(answer: Answer) -> bool:
    return answer.header(b'other') is None


@pytest.mark.parametrize('part', sorted(_ENDLESS))
async def test_bytes_without_end_that_are_no_answer_end_the_request(
    part: str,
) -> None:
    """Guards against memory and time that a faulty server takes."""
    script = _sends_without_end(*_ENDLESS[part])
    async with run_raw_server(lambda _raw: script) as raw:
        host, _, port = raw.address.rpartition(':')
        pool = ClientPool(asyncio.get_running_loop())
        async with pool.acquire((host, int(port)), _TIMEOUT_S) as connection:
            async with asyncio.timeout(_LONG_S):
                with pytest.raises(AnswerMalformedError):
                    await connection.exchange(_REQUEST, _is_own)
        assert not connection.reusable


async def test_a_large_answer_is_complete() -> None:
    """Guards against a limit that a body counts for."""
    body = b'z' * 3_000_000
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    script = _sends_without_end(head + body, b' ' * _ENDLESS_BYTES)
    async with run_raw_server(lambda _raw: script) as raw:
        host, _, port = raw.address.rpartition(':')
        pool = ClientPool(asyncio.get_running_loop())
        async with pool.acquire((host, int(port)), _TIMEOUT_S) as connection:
            answer = await connection.exchange(_REQUEST, _is_own)
        assert answer.body == body


_REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n'
)
_ADDITIONAL = MappingProxyType(
    {
        'a byte': _REFUSAL[:1],
        'a part of a status line': _REFUSAL[:14],
        'a status line': _REFUSAL[:19],
        'a part of a header': _REFUSAL[:28],
        'headers': _REFUSAL[:-2],
        'an answer': _REFUSAL,
        'an interim answer': b'HTTP/1.1 102 Processing\r\n\r\n',
        'an answer without its body': (
            b'HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        ),
        'no HTTP': b'\x00\xff',
    }
)


def _appends_to_first_answer(
    additional: bytes,
) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts; the first answer has additional bytes."""

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                await raw.read_request(reader)
                is_first = len(raw.heads) == 1
                writer.write(_OK + additional if is_first else _OK)

        return script

    return make_script


@pytest.mark.parametrize('part', sorted(_ADDITIONAL))
async def test_bytes_behind_an_answer_do_not_begin_the_next_one(
    part: str,
) -> None:
    """Guards against an unsafe request that runs twice (review case 1).

    The next answer continued the additional head, so that a request which had
    run counted as refused.
    """
    script = _appends_to_first_answer(_ADDITIONAL[part])
    async with run_raw_server(script) as raw:
        host, _, port = raw.address.rpartition(':')
        address = (host, int(port))
        pool = ClientPool(asyncio.get_running_loop())
        for _ in range(3):
            answer = await _send(pool, address)
            assert answer.status == 200
            assert answer.header(b'x-not-executed') is None
        assert raw.connections == 2
        pool.close_idle(address)


async def test_an_idle_connection_with_unread_bytes_is_not_used_again() -> None:
    """Guards against an answer that is read after the next request was sent.

    Bytes can be in the kernel while the event loop has not read them yet.
    """
    async with accepting_socket() as (address, accept):
        pool = ClientPool(asyncio.get_running_loop())
        first = asyncio.create_task(_send(pool, address))
        peer = await accept()
        await asyncio.get_running_loop().sock_recv(peer, len(_REQUEST))
        peer.sendall(_OK)
        await first
        peer.sendall(_REFUSAL)
        second = asyncio.create_task(_send(pool, address))
        async with asyncio.timeout(_TIMEOUT_S):
            other = await accept()
        await asyncio.get_running_loop().sock_recv(other, len(_REQUEST))
        other.sendall(_OK)
        assert (await second).status == 200
        pool.close_idle(address)


_ENDLESS_BODY = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    b'8000\r\n%b\r\n' % bytes(0x8000),
)
_UNTIL_CLOSE = (b'HTTP/1.1 200 OK\r\n\r\n', bytes(0x8000))
_MAX_HELD = 3_000_000
# Reads of the event loop that are parsed at once.
_READ_BYTES = 512 * 1024


async def _read_endless(pool: ClientPool, address: Address) -> None:
    with pytest.raises((AnswerMalformedError, TimeoutError)):
        await _send(pool, address, force_new=True)


@pytest.mark.parametrize('parts', [_ENDLESS_BODY, _UNTIL_CLOSE])
async def test_bodies_without_end_share_a_bound(
    monkeypatch: pytest.MonkeyPatch, parts: tuple[bytes, bytes]
) -> None:
    """Guards against a process that exceeds its memory (review case 3).

    Each body was bounded, all together were not.
    """
    held = HeldBytes(_MAX_HELD)
    sizes: list[int] = []
    charge = held.charge

    def record_size(added: int) -> None:
        charge(added)
        sizes.append(held.size)

    monkeypatch.setattr(held, 'charge', record_size)
    endless = _sends_without_end(*parts)
    body = b'z' * (_MAX_HELD // 2)
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    sound = _sends_without_end(head + body, b' ' * _ENDLESS_BYTES)
    async with (
        run_raw_server(lambda _raw: endless) as faulty,
        run_raw_server(lambda _raw: sound) as other,
    ):
        pool = ClientPool(asyncio.get_running_loop(), held)
        faulty_address = parse_address(faulty.address)
        reading = [
            asyncio.create_task(_read_endless(pool, faulty_address))
            for _ in range(8)
        ]
        await asyncio.sleep(_TIMEOUT_S / 2)
        async with pool.acquire(
            parse_address(other.address), _TIMEOUT_S
        ) as connection:
            async with asyncio.timeout(_LONG_S):
                answer = await connection.exchange(_REQUEST, _accept_any)
        assert answer.body == body
        await asyncio.gather(*reading)
    assert held.given_up
    assert max(sizes) <= _MAX_HELD + _READ_BYTES
    assert held.size == 0


async def test_a_failed_answer_is_freed_without_garbage_collection() -> None:
    """Guards against bodies that outlast their requests (review case 3).

    The parser and the connection refer to each other.
    """
    endless = _sends_without_end(*_ENDLESS_BODY)
    gc.disable()
    tracemalloc.start()
    try:
        async with run_raw_server(lambda _raw: endless) as faulty:
            pool = ClientPool(asyncio.get_running_loop())
            for _ in range(5):
                await _read_endless(pool, parse_address(faulty.address))
            traced, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert traced < _ENDLESS_BYTES
