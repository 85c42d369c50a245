"""Responses whose status is none, on connections and between instances."""

import asyncio

import msgspec
import pytest

from tests.builders.invalid_statuses import (
    INVALID_STATUSES,
    answers_first_with,
    response,
)
from tests.builders.raw_server import RawServer, run_raw_server

from yuccadale_edge._internal.routing.requests import Result, Served
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    AnswerMalformedError,
)
from yuccadale_edge._internal.transport.client_pool import ClientPool
from yuccadale_platform.adapter import parse_address

_TIMEOUT_S = 2.0
_decode_result = msgspec.msgpack.Decoder(Result).decode
_VALID = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


def _accept_any(_answer: Answer) -> bool:
    return True


async def _exchange(raw: RawServer, method: str) -> Answer:
    address = parse_address(raw.address)
    pool = ClientPool(asyncio.get_running_loop())
    try:
        async with pool.acquire(address, _TIMEOUT_S) as connection:
            async with asyncio.timeout(_TIMEOUT_S):
                return await connection.exchange(
                    f'{method} /x HTTP/1.1\r\nhost: s\r\n\r\n'.encode(),
                    _accept_any,
                    head_only=method == 'HEAD',
                )
    finally:
        pool.close_idle(address)


async def _assert_refused(answer: bytes, method: str = 'GET') -> None:
    """Checks that a response fails its request and closes the connection."""
    make_script = answers_first_with(lambda _: answer, lambda _: _VALID)
    async with run_raw_server(make_script) as raw:
        with pytest.raises(AnswerMalformedError):
            await _exchange(raw, method)
        async with asyncio.timeout(_TIMEOUT_S):
            while raw.open_connections:
                await asyncio.sleep(0.01)


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('status', INVALID_STATUSES)
async def test_a_response_with_an_invalid_status_fails_its_request(
    status: str, method: str
) -> None:
    """Guards against a client that gets it, or waits until its deadline."""
    await _assert_refused(response(status, b''), method)


@pytest.mark.parametrize('status', INVALID_STATUSES)
@pytest.mark.parametrize(
    'rest', [b' Begun', b'\r\nx: y\r\nx: z\r\n', b'\r\n\r\n', b' \r\n\r\n']
)
async def test_an_invalid_status_counts_before_the_response_is_complete(
    rest: bytes, status: str
) -> None:
    """Guards against a connection that stays open for the rest of a head.

    The parser reports a header when the next one begins.
    """
    await _assert_refused(b'HTTP/1.1 %b%b' % (status.encode(), rest))


@pytest.mark.parametrize('status', INVALID_STATUSES)
async def test_the_response_behind_an_invalid_status_is_not_used(
    status: str,
) -> None:
    """Guards against a response of a server that does not keep to HTTP."""
    await _assert_refused(response(status, b'') + _VALID)


@pytest.mark.parametrize('status', ['100', '103', '199'])
async def test_interim_responses_are_passed_over(status: str) -> None:
    """Guards against a request that fails because of an interim response."""
    interim = f'HTTP/1.1 {status} Continue\r\n\r\n'.encode()
    make_script = answers_first_with(
        lambda _: interim + _VALID, lambda _: _VALID
    )
    async with run_raw_server(make_script) as raw:
        assert (await _exchange(raw, 'GET')).status == 200


@pytest.mark.parametrize('status', [-1, 0, 42, 99, 100, 199, 600, 999, 2000])
def test_an_instance_does_not_pass_on_an_invalid_status(status: int) -> None:
    """Guards against a caller that gets what another instance let through.

    Interim responses are not passed on either.
    """
    served = Served(status, [], b'', 's', 1, 0, 0)
    with pytest.raises(msgspec.DecodeError):
        _decode_result(msgspec.msgpack.encode(served))


@pytest.mark.parametrize('status', [200, 599])
def test_an_instance_passes_on_a_valid_status(status: int) -> None:
    """Guards against a response that is lost between instances."""
    served = Served(status, [], b'', 's', 1, 0, 0)
    assert _decode_result(msgspec.msgpack.encode(served)) == served
