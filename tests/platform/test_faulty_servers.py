"""Servers that repeat an answer, or break off within one."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from types import MappingProxyType

import pytest

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import PlatformSystem, platform_system
from tests.builders.raw_server import RawServer, Script, run_raw_server
from tests.builders.silent_path import silent_path_server
from yuccadale_edge._internal.transport.held_bytes import HeldBytes
from yuccadale_edge.instance import (
    AnswerLostError,
    CallKind,
    ClientPool,
    GrantRefusedError,
    OwnershipCall,
    WrongServerError,
)
from yuccadale_edge.ownership import Holder
from yuccadale_platform.adapter import PlatformServerCalls, parse_address

_SERVER_ID = 'raw'
_LATER_S = 0.05


def _request_id(head: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'x-attempt-id':
            return text
    return b''


def _answer(head: bytes) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n'
        b'X-Server-Signature: sig\r\nContent-Length: 2\r\n\r\nok'
    ) % _request_id(head)


def _refusal(status: int) -> bytes:
    return (
        b'HTTP/1.1 %d Refused\r\nX-Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n' % status
    )


def _refuses_again(status: int) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts that repeat their first refusal.

    The first request is refused. The next one on the same connection gets the
    same bytes again, and its own answer a moment later.
    """
    refusal = _refusal(status)

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await raw.read_request(reader)
            if len(raw.heads) == 1:
                writer.write(refusal)
                await raw.read_request(reader)
                writer.write(refusal)
            await _answer_all(raw, reader, writer)

        return script

    return make_script


def _refuses_late_without_id(raw: RawServer) -> Script:
    """Returns a script that sends a refusal behind its first answer.

    The refusal names no request and comes when the next one is under way.
    """

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await raw.read_request(reader)
        writer.write(_answer(raw.heads[-1]))
        await raw.read_request(reader)
        writer.write(_refusal(503))
        await _answer_all(raw, reader, writer)

    return script


async def _answer_all(
    raw: RawServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers the request that was read and all that follow."""
    while True:
        await asyncio.sleep(_LATER_S)
        writer.write(_answer(raw.heads[-1]))
        await raw.read_request(reader)


def _breaks_off(begun: bytes) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts that close within their answer."""

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await raw.read_request(reader)
            writer.write(begun.replace(b'%b', _request_id(raw.heads[-1])))
            writer.write_eof()
            await reader.read()

        return script

    return make_script


@asynccontextmanager
async def _system_with(raw: RawServer) -> AsyncIterator[tuple]:
    """Runs one instance whose only server is the raw one."""
    async with platform_system(keyed=0, unkeyed=0) as system:
        server = PlatformServer(_SERVER_ID, 'stage', 'a', keyed=False)
        server.address = raw.address
        system.store.state.put('servers', _SERVER_ID, server.entry())
        yield system, await system.add_instance()


async def _status(system: PlatformSystem, name: str, request_id: str) -> int:
    status, _, _ = await system.send_request(
        name, '/once/x', request_id=request_id
    )
    return status


@pytest.mark.parametrize('status', [503, 429, 421, 408])
async def test_a_repeated_refusal_is_not_the_next_answer(status: int) -> None:
    """Guards against a refusal of a request that the server is running.

    A refusal may lack the request's id, so that its copy on a kept connection
    looked like the refusal of the next request.
    """
    async with run_raw_server(_refuses_again(status)) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, 'first') in {429, 503}
            assert await _status(system, name, 'second') == 200
            assert await _status(system, name, 'third') == 200


async def test_a_refusal_without_an_id_behind_an_answer_is_no_answer() -> None:
    """Guards against a refusal of a request that the server is running.

    The refusal came late, where the answer to the next request was due.
    """
    async with run_raw_server(_refuses_late_without_id) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, 'first') == 200
            assert await _status(system, name, 'second') == 200
            assert raw.connections == 1


def _refuses_before_it_reads(raw: RawServer) -> Script:
    """Returns a script that sends a refusal when its connection opens."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(_refusal(503))
        await raw.read_request(reader)
        await _answer_all(raw, reader, writer)

    return script


async def test_a_refusal_from_before_the_request_is_no_answer() -> None:
    """Guards against a refusal of a request that the server is running.

    The refusal names no request, and is the first answer of its connection.
    """
    async with run_raw_server(_refuses_before_it_reads) as raw:
        async with _system_with(raw) as (system, name):
            status = await _status(system, name, 'first')
            assert (status, len(raw.heads)) in {(503, 0), (502, 1), (200, 1)}


def _fails_again(status: int) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts that repeat their first answer, a failure.

    The next request on the same connection gets the copy, and its own answer a
    moment later.
    """

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await raw.read_request(reader)
            if len(raw.heads) == 1:
                failure = _answer(raw.heads[-1]).replace(
                    b'200 OK', b'%d Failed' % status
                )
                writer.write(failure)
                await raw.read_request(reader)
                writer.write(failure)
            await _answer_all(raw, reader, writer)

        return script

    return make_script


@pytest.mark.parametrize(
    ('status', 'passed_on'), [(503, 502), (429, 502), (500, 500)]
)
async def test_the_copy_of_a_failure_does_not_answer_a_request_sent_again(
    status: int, passed_on: int
) -> None:
    """Guards against a refusal of a request that the server is running.

    The caller sends the request again, with the same id, after an answer that
    does not state that it did not run.
    """
    async with run_raw_server(_fails_again(status)) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, 'again') == passed_on
            assert await _status(system, name, 'again') == 200
            assert raw.connections == 2


def _sends_late(begun: bytes) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts that put bytes before their second answer."""

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await raw.read_request(reader)
            writer.write(_answer(raw.heads[-1]))
            await raw.read_request(reader)
            writer.write(begun)
            await asyncio.sleep(_LATER_S)
            writer.write(_answer(raw.heads[-1]))
            await _answer_all(raw, reader, writer)

        return script

    return make_script


@pytest.mark.parametrize(
    'begun',
    [
        b'HTTP/1.1 503 ',
        b'HTTP/1.1 503 Refused',
        b'HTTP/1.1 503 Refused\r\nX-Not-Executed: 1\r\nX-Other:',
        b'HTTP/1.1 503 Refused\r\nX-Not-Executed: 1\r\nX-Other: begun',
        b'HTTP/1.1 503 Refused\r\nX-Not-Executed: ',
    ],
)
async def test_an_answer_does_not_continue_the_begin_of_a_refusal(
    begun: bytes,
) -> None:
    """Guards against a refusal of a request that the server has run.

    The begin came late, when the request had been sent.
    """
    async with run_raw_server(_sends_late(begun)) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, 'first') == 200
            assert await _status(system, name, 'second') == 502
            assert len(raw.heads) == 2


def _refuses_all(raw: RawServer) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await raw.read_request(reader)
            if _request_id(raw.heads[-1]):
                writer.write(_answer(raw.heads[-1]))
            else:
                writer.write(_refusal(400))

    return script


async def test_a_request_without_an_id_is_refused_at_once() -> None:
    """Guards against a refusal that cannot name its request and is ignored."""
    async with run_raw_server(_refuses_all) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, 'named') == 200
            assert await _status(system, name, '') == 503
            assert raw.connections == 2


async def test_a_connection_that_refused_without_an_id_is_closed() -> None:
    """Guards against a copy of the refusal that answers a grant.

    Answers to grants have no id either.
    """
    async with run_raw_server(_refuses_all) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, '') == 503
            assert await _status(system, name, 'named') == 200
            assert raw.connections == 2


async def test_an_id_that_connection_names_reaches_the_server() -> None:
    """Guards against a request that waits until its deadline.

    A refusal without an id on a used connection is no answer.
    """
    async with run_raw_server(_refuses_all) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, 'first') == 200
            status, _, _ = await system.send_request(
                name,
                '/once/x',
                request_id='second',
                Connection='keep-alive, X-Attempt-Id',
            )
            assert status == 200
            assert _request_id(raw.heads[-1]) == b'second'


async def test_white_space_behind_an_id_is_not_a_part_of_it() -> None:
    """Guards against an answer that is passed over, since the server trims."""
    async with platform_system(keyed=0, unkeyed=1) as system:
        name = await system.add_instance()
        assert await _status(system, name, 'trimmed \t') == 200


@pytest.mark.parametrize(
    'begun',
    [
        b'HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %b\r\n\r\n',
        b'HTTP/1.1 100 Continue\r\nX-Attempt-Id: %b\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %b\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n',
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Sign',
    ],
)
async def test_an_answer_that_ends_in_its_head_is_lost(begun: bytes) -> None:
    """Guards against an interim answer, or a part, that counts as whole."""

    async with run_raw_server(_breaks_off(begun)) as raw:
        async with _system_with(raw) as (system, name):
            assert await _status(system, name, 'cut') == 502
            assert len(raw.heads) == 1


async def test_a_release_is_sent_on_a_connection_of_its_own() -> None:
    """Guards against a copy of an earlier answer that counts as a release.

    Answers to grants and releases carry no id. A key whose release was not
    answered yet would be granted to the next server.
    """
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    released = asyncio.Event()

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                await raw.read_request(reader)
                if b'/v1/release' in raw.heads[-1]:
                    await asyncio.sleep(_LATER_S)
                    released.set()
                writer.write(answer)
                if b'/v1/grant' in raw.heads[-1]:
                    await raw.read_request(reader)
                    writer.write(answer)

        return script

    async with run_raw_server(make_script) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        calls = PlatformServerCalls(pool)
        address = parse_address(raw.address)
        holder = Holder(_SERVER_ID, 1)
        for fence in (1, 2):
            grant = OwnershipCall(CallKind.grant, holder, 0, 9, fence)
            await calls.grant(address, grant, 1, lambda: True)
            released.clear()
            release = OwnershipCall(CallKind.release, holder, 0, 9, fence)
            await calls.release(address, release, lambda: True)
            assert released.is_set()
        pool.close_idle(address)


@pytest.mark.parametrize('status', [409, 421, 400])
async def test_a_copy_of_a_refusal_does_not_answer_the_next_grant(
    status: int,
) -> None:
    """Guards against a server that holds keys although its grant was refused.

    The copy comes when the server has received the next grant, which it
    accepts.
    """
    accepted = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await raw.read_request(reader)
            if len(raw.heads) == 1:
                writer.write(_refusal(status))
                await raw.read_request(reader)
                writer.write(_refusal(status))
                await asyncio.sleep(_LATER_S)
            writer.write(accepted)
            await reader.read()

        return script

    async with run_raw_server(make_script) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        calls = PlatformServerCalls(pool)
        address = parse_address(raw.address)
        grant = OwnershipCall(CallKind.grant, Holder(_SERVER_ID, 1), 0, 9, 2)
        with pytest.raises((GrantRefusedError, WrongServerError)):
            await calls.grant(address, grant, 1, lambda: True)
        await calls.grant(address, grant, 1, lambda: True)
        assert raw.connections == 2
        pool.close_idle(address)


async def test_a_copy_does_not_answer_a_grant_that_has_not_arrived() -> None:
    """Guards against a lease that lasts for longer than its leader assumes.

    Answers to grants carry no id. A lease that counts from the arrival of a
    grant would be taken to count from the copy of an earlier answer.
    """
    holder = Holder(_SERVER_ID, 1)
    async with silent_path_server() as server:
        pool = ClientPool(asyncio.get_running_loop())
        calls = PlatformServerCalls(pool)
        first = OwnershipCall(CallKind.grant, holder, 0, 9, 1)
        await calls.grant(server.address, first, 1, lambda: True)
        server.silence()
        renewal = asyncio.create_task(
            calls.grant(server.address, first, 1, lambda: True)
        )
        await asyncio.sleep(_LATER_S)
        server.repeat_answers()
        with pytest.raises((AnswerLostError, TimeoutError)):
            await renewal
        assert len(server.arrivals) == 1


def _sends_on(raw: RawServer) -> Script:
    """Returns a script that sends a head until its connection ends."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await raw.read_request(reader)
        writer.write(b'HTTP/1.1 200 OK\r\n')
        while True:
            writer.write(b'x: %b\r\n' % (b'y' * 1000))
            await writer.drain()

    return script


async def test_other_requests_are_served_beside_an_endless_answer() -> None:
    """Guards against one server that keeps the instance busy."""
    async with run_raw_server(_sends_on) as raw:
        async with _system_with(raw) as (system, name):
            await system.add_server(
                PlatformServer('k0', 'ledger', 'a', keyed=True)
            )
            await system.wait_until_served(name, 7)
            endless = [
                asyncio.create_task(_status(system, name, f'endless-{number}'))
                for number in range(8)
            ]
            for number in range(50):
                status, _, _ = await system.send_request(
                    name, '/keyed/x', key=7, request_id=f'beside-{number}'
                )
                assert status == 200
            assert set(await asyncio.gather(*endless)) == {502}


_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_PIECE = bytes(0x8000)
# What comes once, and what is repeated.
_ENDLESS = MappingProxyType(
    {
        'status line': (b'HTTP/1.1 200 ', b'O' * 1000),
        'head': (b'HTTP/1.1 200 OK\r\n', b'x: %b\r\n' % (b'y' * 1000)),
        'chunk extension': (b'%b5;x=' % _CHUNKED, b'y' * 1000),
        'chunks': (_CHUNKED, b'8000\r\n%b\r\n' % _PIECE),
        'trailer': (b'%b0\r\n' % _CHUNKED, b'x: %b\r\n' % (b'y' * 1000)),
        'body until close': (b'HTTP/1.1 200 OK\r\n\r\n', _PIECE),
        'body with a length': (
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
            _PIECE,
        ),
    }
)
_MAX_HELD_BYTES = 3_000_000
# Reads of the event loop that are parsed at once.
_READ_BYTES = 512 * 1024


def _never_ends(begin: bytes, repeated: bytes) -> Callable[[RawServer], Script]:
    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await raw.read_request(reader)
            writer.write(begin)
            while True:
                writer.write(repeated)
                await writer.drain()

        return script

    return make_script


@pytest.mark.parametrize('part', sorted(_ENDLESS))
async def test_an_answer_without_end_costs_no_other_request(part: str) -> None:
    """Guards against instances that a faulty server fills, with a forward.

    The account of each instance stays within its bound, and the requests of
    others are served meanwhile.
    """
    async with run_raw_server(_never_ends(*_ENDLESS[part])) as raw:
        async with _system_with(raw) as (system, first):
            second = await system.add_instance()
            await system.add_server(
                PlatformServer('k', 'ledger', 'a', keyed=True)
            )
            sizes: list[int] = []
            for name in (first, second):
                await system.wait_until_served(name, 7)
                held = system.instance_by_name[name]._held
                held.max_bytes = _MAX_HELD_BYTES
                _record_sizes(held, sizes)
            endless = [
                asyncio.create_task(_status(system, entry, f'{entry}-{number}'))
                for number in range(2)
                for entry in (first, second)
            ]
            for name in (first, second):
                for number in range(10):
                    assert await system.is_served(name, number)
            assert set(await asyncio.gather(*endless)) <= {429, 502, 504}
            assert raw.heads
            assert max(sizes, default=0) <= _MAX_HELD_BYTES + _READ_BYTES
            for instance in system.instance_by_name.values():
                assert instance._held.size == 0


def _record_sizes(held: HeldBytes, sizes: list[int]) -> None:
    """Records the size of an account after each change."""
    charge = held.charge

    def record(added: int) -> None:
        charge(added)
        sizes.append(held.size)

    held.charge = record  # type: ignore[method-assign]
