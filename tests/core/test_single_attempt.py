"""No request may be sent twice, whatever its method."""

import asyncio
from dataclasses import replace

import pytest

from tests.builders.raw_server import RawServer, Script, run_raw_server
from tests.builders.refusing_server import refuses_all
from tests.builders.requests_to_servers import build_request
from yuccadale_core.instances import ServerRef
from yuccadale_core.targets import TargetFailureKind
from yuccadale_core.targets_http import HttpTarget, target_factory

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


def build_target(address: str, *, connections: int = 4) -> HttpTarget:
    """Returns a target with a small limit of the answer's size."""
    make_target = target_factory(
        connections=connections, body_limit_bytes=1000, control_timeout_ms=300
    )
    return make_target(ServerRef('s1', address, 'rack-1'))


def _answer_once_then_close(raw: RawServer) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await raw.read_request(reader)
        if len(raw.heads) == 1:
            writer.write(_ANSWER)
            await raw.read_request(reader)

    return script


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST', 'HEAD'])
async def test_lost_kept_alive_connection_sends_once(method: str) -> None:
    """Guards against aiohttp's own retry after a lost kept-alive connection."""
    async with run_raw_server(_answer_once_then_close) as raw:
        target = build_target(raw.address)
        warmed = await target.run(build_request('id-1', method='GET'))
        lost = await target.run(build_request('id-2', method=method))
        await target.close()
    assert warmed.is_ok()
    assert lost.error.kind == TargetFailureKind.lost
    assert len(raw.heads) == 2
    assert raw.connections == 1


def _repeats_a_refusal(raw: RawServer) -> Script:
    """Returns a script that refuses a request, and runs it the second time.

    If that comes on the same connection, the refusal is sent again first.
    """
    refusal = (
        b'HTTP/1.1 503 Refused\r\nYuccadale-Refused: draining\r\n'
        b'Yuccadale-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n'
    )

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if raw.connections == 1:
            await raw.read_request(reader)
            writer.write(refusal)
            await raw.read_request(reader)
            writer.write(refusal)
        else:
            await raw.read_request(reader)
        writer.write(_ANSWER)
        await reader.read()

    return script


async def test_the_copy_of_a_refusal_is_not_the_answer_to_a_repeat() -> None:
    """Guards against a request that runs twice, since it counts as refused."""
    async with run_raw_server(_repeats_a_refusal) as raw:
        target = build_target(raw.address)
        refused = await target.run(build_request('id-1'))
        repeated = await target.run(build_request('id-1'))
        await target.close()
    assert refused.error.kind == TargetFailureKind.draining
    assert repeated.is_ok()


@pytest.mark.parametrize('body', [b'', b'busy'])
async def test_a_repeat_opens_a_connection_only_if_none_is_free_of_its_refusal(
    body: bytes,
) -> None:
    """Guards against a connection that is given up with each refusal."""
    make_script = refuses_all(body=body)
    async with run_raw_server(make_script) as raw:
        target = build_target(raw.address)
        kinds = [
            (await target.run(build_request(f'id-{number}'))).error.kind
            for number in (1, 2, 3, 3, 4)
        ]
        await target.close()
    assert set(kinds) == {TargetFailureKind.shedding}
    assert len(raw.heads) == 5
    assert raw.connections == 2


@pytest.mark.parametrize('body', [b'', b'busy'])
async def test_a_refusal_that_names_no_request_ends_its_connection(
    body: bytes,
) -> None:
    """Guards against its copy, which would count for any later request."""
    make_script = refuses_all(names_request=False, body=body)
    async with run_raw_server(make_script) as raw:
        target = build_target(raw.address)
        for number in (1, 2):
            refused = await target.run(build_request(f'id-{number}'))
            assert refused.error.kind == TargetFailureKind.shedding
        await target.close()
    assert raw.connections == 2


async def test_a_connection_with_many_refusals_is_not_used_again() -> None:
    """Guards against refusals that a connection forgets, or keeps for ever."""
    make_script = refuses_all()
    async with run_raw_server(make_script) as raw:
        target = build_target(raw.address)
        for number in range(65):
            await target.run(build_request(f'id-{number}'))
        await target.close()
    assert raw.connections == 2


async def test_a_repeat_without_a_new_connection_is_not_sent() -> None:
    """Guards against a repeat that counts as lost though no byte was sent."""
    make_script = refuses_all()
    async with run_raw_server(make_script) as raw:
        target = build_target(raw.address)
        await target.run(build_request('id-1'))
        raw.stop_accepting()
        repeated = await target.run(build_request('id-1'))
        await target.close()
    assert repeated.error.kind == TargetFailureKind.not_sent
    assert len(raw.heads) == 1


def _never_answer(raw: RawServer) -> Script:
    async def script(
        reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        await raw.read_request(reader)
        await reader.read()

    return script


async def test_connections_stay_at_the_declared_number() -> None:
    """Guards against more connections than a server accepts."""
    async with run_raw_server(_never_answer) as raw:
        target = build_target(raw.address, connections=3)
        holding = [
            asyncio.create_task(target.run(build_request(f'id-{number}')))
            for number in range(3)
        ]
        waiting = [
            target.run(build_request(f'id-{number}', remaining_ms=200))
            for number in range(3, 8)
        ]
        answers = await asyncio.gather(*waiting)
        connections = raw.connections
        await target.close()
        await asyncio.gather(*holding)
    # They waited for a free connection until their deadline.
    assert {answer.error.kind for answer in answers} == {
        TargetFailureKind.not_sent
    }
    assert connections == 3


def _not_permitted() -> bool:
    return False


async def test_permission_is_checked_after_connecting() -> None:
    """Guards against sending after a lease that ended while connecting."""
    async with run_raw_server(_never_answer) as raw:
        target = build_target(raw.address)
        request = replace(build_request(), permitted=_not_permitted)
        refused = await target.run(request)
        await target.close()
    assert refused.error.kind == TargetFailureKind.not_sent
    assert not raw.heads
    assert raw.connections == 1
