"""Failures of servers whose status promises that a request has not run."""

from itertools import count

import pytest

from tests.builders.failing_server import (
    Failure,
    system_with_failing_server,
)
from yuccadale_core.codes import CODE_TABLE, Outcome, ResultCode
from yuccadale_edge._internal.routing.outcome_proofs import (
    PROMISING_STATUSES,
    refusal_status,
)

_STATEMENTS = (
    b'Retry-After: 1',
    b'Server-Limit: 50',
    b'Connection: close',
)
_numbers = count()


def _next_id() -> str:
    return f'request-{next(_numbers)}'


@pytest.mark.parametrize('prefix', ['/once/', '/uploads/', '/unknown/'])
@pytest.mark.parametrize(
    'failure',
    [
        Failure(503),
        Failure(429),
        Failure(408),
        Failure(503, _STATEMENTS),
        Failure(429, _STATEMENTS),
    ],
)
async def test_a_failure_after_the_work_began_promises_nothing(
    failure: Failure, prefix: str
) -> None:
    """Guards against work that its caller repeats (review case 7).

    The server ran the request and failed with a status that is a promise.
    """
    async with system_with_failing_server(failure) as (system, raw):
        # One of the two forwards to the other, which sends to the server.
        for _ in range(2):
            name = await system.add_instance()
            request_id = _next_id()
            status, _, headers = await system.send_request(
                name, f'{prefix}x', request_id=request_id
            )
            assert status == 502
            assert headers['yuccadale-code'] == '4010'
            assert headers['x-attempt-id'] == request_id
            assert 'x-server-signature' not in headers
            assert 'retry-after' not in headers
        assert len(raw.heads) == 2


@pytest.mark.parametrize('prefix', ['/open/', '/downloads/'])
@pytest.mark.parametrize('status', [503, 429, 408])
async def test_a_failure_of_repeatable_work_is_passed_on_unchanged(
    status: int, prefix: str
) -> None:
    """Guards against failures of servers that callers cannot tell apart."""
    async with system_with_failing_server(Failure(status)) as (system, _):
        name = await system.add_instance()
        received, body, headers = await system.send_request(name, f'{prefix}x')
        assert (received, body) == (status, 'no')
        assert headers['x-server-signature'] == 'sig'


@pytest.mark.parametrize('status', [500, 504, 502, 404, 409])
async def test_a_failure_without_a_promise_is_passed_on_unchanged(
    status: int,
) -> None:
    """Guards against answers of servers that are replaced without need."""
    async with system_with_failing_server(Failure(status)) as (system, _):
        name = await system.add_instance()
        received, body, headers = await system.send_request(name, '/once/x')
        assert (received, body) == (status, 'no')
        assert headers['x-server-signature'] == 'sig'


@pytest.mark.parametrize(
    'failure',
    [
        Failure(503, (b'X-Not-Executed: 1',)),
        Failure(429, (b'X-Not-Executed: 1',)),
        Failure(421),
    ],
)
async def test_a_refusal_that_states_it_keeps_its_promise(
    failure: Failure,
) -> None:
    """Guards against callers that may not repeat a request that never ran."""
    async with system_with_failing_server(failure) as (system, _):
        name = await system.add_instance()
        status, _, headers = await system.send_request(name, '/once/x')
        assert status == 503
        assert float(headers['retry-after']) > 0


@pytest.mark.parametrize('code', ResultCode)
def test_only_a_refusal_that_did_not_run_promises_it(code: ResultCode) -> None:
    """Guards against a result code whose status promises too much."""
    if CODE_TABLE[code].outcome != Outcome.not_run:
        assert refusal_status(code) not in PROMISING_STATUSES
