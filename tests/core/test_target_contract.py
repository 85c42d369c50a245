"""A target reports each fault of a server with the right failure kind."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from types import MappingProxyType

import msgspec
import pytest

from tests.builders.raw_server import RawServer, Script, run_raw_server
from tests.builders.requests_to_servers import build_grant, build_request
from tests.core.test_single_attempt import build_target
from yuccadale_core.targets import ServerOutcome, TargetFailureKind
from yuccadale_core.targets_http import HttpTarget
from yuccadale_standins.server import (
    RunningServer,
    ServerFaults,
    ServerOptions,
    run_server,
)

_HEAD = b'HTTP/1.1 200 OK\r\n'


def _after_request(
    answer: bytes, *, hold: bool = False
) -> Callable[[RawServer], Script]:
    """Returns a script that reads a request and writes the bytes.

    Args:
        hold: whether the connection stays open afterwards.
    """

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await raw.read_request(reader)
            writer.write(answer)
            await writer.drain()
            if hold:
                await reader.read()

        return script

    return make_script


def _close_before_request(_raw: RawServer) -> Script:
    async def script(
        reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(1)

    return script


_LATE = b'%sContent-Length: 2\r\n\r\n' % _HEAD
_FAULTS = MappingProxyType(
    {
        'reset during the request': (_close_before_request, 'lost'),
        'reset after the request': (_after_request(b''), 'lost'),
        'reset in the head': (_after_request(b'HTTP/1.1 200'), 'lost'),
        'reset in the body': (
            _after_request(b'%sContent-Length: 9\r\n\r\nshort' % _HEAD),
            'lost',
        ),
        'silence': (_after_request(b'', hold=True), 'lost'),
        'body too late': (_after_request(_LATE, hold=True), 'lost'),
        'not HTTP': (_after_request(b'\x00\x01\x02\r\n\r\n'), 'malformed'),
        'no length': (_after_request(b'%s\r\nbody' % _HEAD), 'malformed'),
        'above the limit': (
            _after_request(
                b'%sContent-Length: 1001\r\n\r\n%s' % (_HEAD, b'x' * 1001)
            ),
            'malformed',
        ),
        'answer to another request': (
            _after_request(
                b'%sYuccadale-Request-Id: id-9\r\nContent-Length: 0\r\n\r\n'
                % _HEAD
            ),
            'malformed',
        ),
    }
)


@pytest.mark.parametrize('fault', _FAULTS)
async def test_fault_after_sending_is_never_not_sent(fault: str) -> None:
    """Guards against `not sent` for a request that may have run."""
    make_script, kind = _FAULTS[fault]
    async with run_raw_server(make_script) as raw:
        target = build_target(raw.address)
        run = await target.run(build_request(remaining_ms=300))
        await target.close()
    assert run.error.kind == TargetFailureKind(kind)


@pytest.mark.parametrize('remaining_ms', [0, 300], ids=['no time', 'refused'])
async def test_request_that_was_not_sent(remaining_ms: float) -> None:
    """Guards against `lost` for a request that cannot have run."""
    async with run_raw_server(_after_request(b'')) as raw:
        address = raw.address
    target = build_target(address)
    run = await target.run(build_request(remaining_ms=remaining_ms))
    await target.close()
    assert run.error.kind == TargetFailureKind.not_sent


async def test_header_with_line_break_is_not_sent() -> None:
    """Guards against header injection by a request id."""
    async with run_raw_server(_after_request(b'')) as raw:
        target = build_target(raw.address)
        run = await target.run(build_request('id\r\nYuccadale-Token: 9'))
        await target.close()
    assert run.is_error()
    assert not raw.heads


@pytest.mark.parametrize(
    'answer',
    [b'%sContent-Length: 2\r\n\r\n{}' % _HEAD, b'HTTP/1.1 500 X\r\n\r\n'],
    ids=['wrong shape', 'status'],
)
async def test_malformed_grant_answer_is_a_failure(answer: bytes) -> None:
    """Guards against treating a malformed answer as an accepted grant."""
    async with run_raw_server(_after_request(answer)) as raw:
        target = build_target(raw.address)
        assert (await target.hello()).error.kind == TargetFailureKind.malformed
        await target.close()


@asynccontextmanager
async def _granted_server(
    **options: float,
) -> AsyncIterator[tuple[RunningServer, HttpTarget]]:
    """Runs a server that owns slot 7 and serves it at once."""
    server_options = ServerOptions('s1', 'ledger', **options)
    async with run_server(server_options) as server:
        server.state.rules = type(server.state.rules)(
            # A process that started long ago serves new slots at once.
            _started_earlier(server.state.clock),
            server.state.incarnation,
        )
        target = build_target(server.address)
        ticket = (await target.hello()).ok.ticket
        granted = await target.grant(build_grant(ticket))
        assert granted.ok.accepted
        yield server, target
        await target.close()


def _started_earlier(clock: Callable[[], float]) -> Callable[[], float]:
    readings = iter([clock() - 10_000])
    return lambda: next(readings, None) or clock()


async def test_answer_echoes_the_request() -> None:
    """Guards against a request that is changed while it is sent."""
    async with _granted_server() as (server, target):
        answer = (await target.run(build_request())).ok
        records = server.state.records()
    echo = msgspec.json.decode(answer.body)
    assert echo['path'] == '/deposits/1?currency=pln'
    assert (echo['key'], echo['body_length']) == ('deposit-1', 10)
    assert [(run.request_id, run.effect) for run in records.runs] == [
        ('id-1', True)
    ]


@pytest.mark.parametrize(
    ('faults', 'kind', 'runs'),
    [
        ({'drain': True}, 'draining', 0),
        ({'shed': 1}, 'shedding', 0),
        ({'lose_answers': 1}, 'lost', 1),
        ({'delay_ms': 500}, 'lost', 0),
        ({'freeze_ms': 400}, 'lost', 0),
    ],
    ids=['drain', 'shed', 'answer lost', 'late', 'frozen'],
)
async def test_server_faults_are_distinguished(
    faults: dict[str, object], kind: str, runs: int
) -> None:
    """Guards against a wrong report on whether the request took effect."""
    async with _granted_server() as (server, target):
        server.state.apply_faults(ServerFaults(**faults))
        failed = await target.run(build_request(remaining_ms=200))
        # The stand-in finishes the request before its records are read.
        await asyncio.sleep(0.5)
        records = server.state.records()
    assert failed.error.kind == TargetFailureKind(kind)
    assert sum(run.effect for run in records.runs) == runs


@pytest.mark.parametrize(
    ('request_of', 'detail'),
    [
        (build_request(token=1), 'token'),
        (build_request(token=3), 'token unknown'),
        (build_request(slot=8), 'slot not granted'),
    ],
)
async def test_refusal_states_the_reason(request_of, detail: str) -> None:
    """Guards against running a request with a wrong token or slot."""
    async with _granted_server() as (server, target):
        refused = (await target.run(request_of)).error
        assert not server.state.records().runs
    assert (refused.kind, refused.detail) == (
        TargetFailureKind.refused,
        detail,
    )
    assert refused.highest_token == 2


async def test_cancelled_request_has_no_effect() -> None:
    """Guards against a cancelled request that keeps running."""
    async with _granted_server(service_ms=5000) as (server, target):
        running = asyncio.create_task(target.run(build_request()))
        while not server.state.load().running:
            await asyncio.sleep(0)
        assert (await target.outcome('id-1')).ok.outcome == (
            ServerOutcome.running
        )
        await target.cancel('id-1')
        cancelled = await running
        outcome = await target.outcome('id-1')
    assert cancelled.error.detail == 'cancelled'
    assert outcome.ok.outcome == ServerOutcome.not_run


async def test_outcome_returns_the_lost_answer() -> None:
    """Guards against an unknown outcome although the server knows it."""
    async with _granted_server() as (server, target):
        server.state.apply_faults(ServerFaults(lose_answers=1))
        await target.run(build_request())
        done = (await target.outcome('id-1')).ok
        never_received = (await target.outcome('id-2')).ok
    assert done.outcome == ServerOutcome.done
    assert msgspec.json.decode(done.answer.body)['request_id'] == 'id-1'
    assert never_received.outcome == ServerOutcome.not_offered


async def test_concurrency_is_enforced_and_recorded() -> None:
    """Guards against exceeding the declared concurrency unnoticed."""
    async with _granted_server(service_ms=100) as (server, target):
        answers = await asyncio.gather(
            *(target.run(build_request(f'id-{number}')) for number in range(3))
        )
        records = server.state.records()
    assert sum(answer.is_ok() for answer in answers) == 2
    assert (records.most_running, records.over_limit) == (2, 1)


async def test_load_report_can_be_wrong() -> None:
    """Guards against a stand-in that cannot simulate a wrong load report."""
    async with _granted_server() as (server, target):
        server.state.apply_faults(ServerFaults(drain=True, hide_drain=True))
        assert not (await target.load()).ok.draining
        server.state.apply_faults(ServerFaults(drain=True))
        assert (await target.load()).ok.draining
