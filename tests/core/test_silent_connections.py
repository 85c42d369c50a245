"""Open connections may stop delivering while new ones work."""

import asyncio

import pytest

from tests.builders.raw_server import RawServer, Script, run_raw_server
from tests.builders.requests_to_servers import build_request
from tests.core.test_single_attempt import build_target
from yuccadale_core.targets import TargetFailureKind

_HELLO_BODY = (
    b'{"accepted":false,"ticket":{"incarnation":"a","issued_ms":1},'
    b'"highest_token":0}'
)
_HELLO = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
    len(_HELLO_BODY),
    _HELLO_BODY,
)


def _silent_first_connections(silent: int):
    """Connections up to this number read requests and never answer."""

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            answers = raw.connections > silent
            while True:
                await raw.read_request(reader)
                if answers:
                    writer.write(_HELLO)

        return script

    return make_script


async def test_answer_on_a_new_connection_ends_the_old_ones() -> None:
    """Guards against requests that wait for a dead connection's deadline."""
    async with run_raw_server(_silent_first_connections(2)) as raw:
        target = build_target(raw.address)
        waiting = asyncio.create_task(
            target.run(build_request(remaining_ms=60_000))
        )
        while not raw.heads:
            await asyncio.sleep(0)
        silent = await target.hello()
        answered = await target.hello()
        lost = await asyncio.wait_for(waiting, 10)
        await target.close()
    assert silent.error.kind == TargetFailureKind.lost
    assert answered.is_ok()
    assert lost.error.kind == TargetFailureKind.lost


async def test_silent_server_keeps_its_connections() -> None:
    """Guards against giving up work of a server that is only paused."""
    async with run_raw_server(_silent_first_connections(100)) as raw:
        target = build_target(raw.address)
        waiting = asyncio.create_task(
            target.run(build_request(remaining_ms=60_000))
        )
        while not raw.heads:
            await asyncio.sleep(0)
        await target.hello()
        assert not waiting.done()
        await target.close()
        await waiting


def _first_connection_late(raw: RawServer) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = raw.connections
        await raw.read_request(reader)
        if number == 2:
            await reader.read()
        # The first connection answers once the second one was given up.
        while number == 1 and raw.connections < 3:
            await asyncio.sleep(0.01)
        writer.write(_HELLO)
        await reader.read()

    return script


async def test_busy_connections_keep_their_calls() -> None:
    """Guards against losing work because one answer was slow."""
    async with run_raw_server(_first_connection_late) as raw:
        target = build_target(raw.address)
        first = asyncio.create_task(target.run(build_request('id-1')))
        while not raw.heads:
            await asyncio.sleep(0)
        silent = await target.hello()
        second = asyncio.create_task(target.run(build_request('id-2')))
        answers = await asyncio.gather(first, second)
        await target.hello()
        await target.close()
    assert silent.error.kind == TargetFailureKind.lost
    assert all(answer.is_ok() for answer in answers)


@pytest.mark.parametrize('connections', [1, 2, 4])
async def test_new_connections_stay_within_the_declared_number(
    connections: int,
) -> None:
    """Guards against old and new connections together above the number."""
    async with run_raw_server(_silent_first_connections(100)) as raw:
        target = build_target(raw.address, connections=connections)
        for _ in range(4):
            await target.hello()
            assert raw.open_connections <= connections
        await target.close()
