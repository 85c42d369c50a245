"""Open connections may stop delivering data while new ones work."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.builders.raw_server import RawServer, Script, run_raw_server
from tests.builders.requests_to_servers import build_request
from tests.core.test_single_attempt import build_target
from yuccadale_bench._internal.cluster import free_addresses
from yuccadale_bench._internal.tcp_relay import TcpRelay, running_relay
from yuccadale_core.targets import TargetFailureKind
from yuccadale_core.targets_http import HttpTarget
from yuccadale_standins.server import (
    RunningServer,
    ServerOptions,
    run_server,
)

# A valid answer to both a hello call and an outcome query.
_HELLO_BODY = (
    b'{"accepted":false,"ticket":{"incarnation":"a","issued_ms":1},'
    b'"highest_token":0,"outcome":"not offered","remembered_ms":1}'
)
_HELLO = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
    len(_HELLO_BODY),
    _HELLO_BODY,
)


@asynccontextmanager
async def running_server_behind_relay(
    service_ms: float = 100,
) -> AsyncIterator[tuple[RunningServer, TcpRelay, HttpTarget]]:
    """Runs a server that checks no grants, and a relay in front of it."""
    options = ServerOptions(
        's1', 'ledger', checks_grants=False, service_ms=service_ms
    )
    address = free_addresses(1)[0]
    async with (
        run_server(options) as server,
        running_relay(address, server.address) as relay,
    ):
        target = build_target(address)
        yield server, relay, target
        await target.close()


def _silent_first_connections(silent_count: int):
    """Returns a script; the first connections read requests, never answer."""

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            answers = raw.connections > silent_count
            while True:
                await raw.read_request(reader)
                if answers:
                    writer.write(_HELLO)

        return script

    return make_script


async def test_request_not_received_ends_before_its_deadline() -> None:
    """Guards against waiting on a dead connection until the deadline."""
    async with run_raw_server(_silent_first_connections(2)) as raw:
        target = build_target(raw.address)
        waiting = asyncio.create_task(
            target.run(build_request(remaining_ms=60_000))
        )
        while not raw.heads:
            await asyncio.sleep(0)
        timed_out = await target.hello()
        while not waiting.done():
            await target.hello()
            await asyncio.sleep(0.05)
        await target.close()
    assert timed_out.error.kind == TargetFailureKind.lost
    assert waiting.result().error.kind == TargetFailureKind.lost


async def test_undelivered_answer_is_queried_by_id() -> None:
    """Guards against `lost` for a request whose answer the server still has."""
    async with running_server_behind_relay() as (server, relay, target):
        waiting = asyncio.create_task(
            target.run(build_request(remaining_ms=60_000))
        )
        while not server.state.load().running:
            await asyncio.sleep(0)
        relay.stall_open_connections()
        while not waiting.done():
            await target.hello()
            await asyncio.sleep(0.05)
        records = server.state.records()
    assert b'"id-1"' in waiting.result().ok.body
    assert len(records.runs) == 1


async def test_silent_server_keeps_its_connections() -> None:
    """Guards against ending requests of a server that is only paused."""
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


async def test_running_request_is_not_ended_by_outcome_queries() -> None:
    """Guards against ending a long request that the server still runs."""
    async with running_server_behind_relay(service_ms=1500) as (
        _server,
        _relay,
        target,
    ):
        waiting = asyncio.create_task(
            target.run(build_request(remaining_ms=60_000))
        )
        while not waiting.done():
            await target.hello()
            await asyncio.sleep(0.05)
    assert waiting.result().is_ok()


@pytest.mark.parametrize('connections', [1, 2, 4])
async def test_new_connections_stay_within_the_declared_number(
    connections: int,
) -> None:
    """Guards against exceeding the limit with old and new connections."""
    async with run_raw_server(_silent_first_connections(100)) as raw:
        target = build_target(raw.address, connections=connections)
        for _ in range(4):
            await target.hello()
            assert raw.open_connections <= connections
        await target.close()
