"""Grants and releases that the adapter sends to stand-in servers."""

import asyncio
from dataclasses import replace

import pytest

from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import running_store
from tests.builders.raw_server import RawServer, Script, run_raw_server
from yuccadale_edge.instance import (
    AnswerLostError,
    CallKind,
    ClientPool,
    Delivery,
    GrantRefusedError,
    NotSentError,
    OwnershipCall,
    WrongServerError,
)
from yuccadale_edge.ownership import Holder
from yuccadale_platform.adapter import PlatformServerCalls, parse_address

LEASE_S = 1.0
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_CLOSING_ANSWER = (
    b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
)
_RELEASED = b'HTTP/1.1 200 OK\r\nX-Handover: h7\r\nContent-Length: 0\r\n\r\n'


def _call(
    server_id: str, fence: int, kind: CallKind = CallKind.grant
) -> OwnershipCall:
    return OwnershipCall(kind, Holder(server_id, 1), 0, 99, fence)


def _calls() -> PlatformServerCalls:
    return PlatformServerCalls(ClientPool(asyncio.get_running_loop()))


async def test_a_grant_with_a_lower_fence_is_refused() -> None:
    """Guards against a refused grant that counts as accepted."""
    async with running_store() as store:
        server = PlatformServer('k', 'ledger', 'a', keyed=True)
        async with running_server(server, store):
            calls = _calls()
            server_address = parse_address(server.address)
            await calls.grant(
                server_address, _call('k', 7), LEASE_S, lambda: True
            )
            with pytest.raises(GrantRefusedError):
                await calls.grant(
                    server_address, _call('k', 6), LEASE_S, lambda: True
                )
            released = await calls.release(
                server_address,
                _call('k', 7, CallKind.release),
                lambda: True,
            )
            assert released == 'h7'
            assert not server.holds(5)


@pytest.mark.parametrize('keyed', [True, False])
async def test_another_server_at_the_address_is_told_apart(
    *, keyed: bool
) -> None:
    """Guards against an answer of another server that counts as a refusal.

    A server with keys answers calls for another id with 421, one without keys
    answers all calls with 400.
    """
    async with running_store() as store:
        server = PlatformServer('other', 'stage', 'a', keyed=keyed)
        async with running_server(server, store):
            with pytest.raises(WrongServerError):
                await _calls().grant(
                    parse_address(server.address),
                    _call('k', 7),
                    LEASE_S,
                    lambda: True,
                )


async def test_a_call_is_not_written_once_it_may_not_be_sent() -> None:
    """Guards against a grant by a leader whose lease ended while connecting."""
    async with running_store() as store:
        server = PlatformServer('k', 'ledger', 'a', keyed=True)
        async with running_server(server, store):
            with pytest.raises(NotSentError):
                await _calls().grant(
                    parse_address(server.address),
                    _call('k', 7),
                    LEASE_S,
                    bool,
                )
            assert not server.call_history


def _answers_calls(raw: RawServer, release_answers: bytes) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await raw.read_request(reader)
            is_release = b'/v1/release' in raw.heads[-1]
            writer.write(release_answers if is_release else _ANSWER)

    return script


def _answers_all(raw: RawServer) -> Script:
    """Answers each call once."""
    return _answers_calls(raw, _RELEASED)


def _proves_releases(raw: RawServer) -> Script:
    """Answers a renewal late, when the release behind it is due."""
    return _answers_calls(raw, _ANSWER + _RELEASED)


def _proves_no_release(raw: RawServer) -> Script:
    """Answers releases without a handover, and ends the connection."""
    return _answers_calls(raw, _CLOSING_ANSWER)


async def _renew(calls: PlatformServerCalls, raw: RawServer) -> Delivery:
    """Grants keys twice; the second answer may be a copy of the first."""
    for _ in range(2):
        delivery = await calls.grant(
            parse_address(raw.address), _call('k', 7), LEASE_S, lambda: True
        )
    return delivery


async def _release(
    calls: PlatformServerCalls, raw: RawServer, *unproven: Delivery
) -> str | None:
    release = replace(_call('k', 7, CallKind.release), unproven=unproven)
    return await calls.release(
        parse_address(raw.address), release, lambda: True
    )


async def test_a_release_behind_a_grant_proves_it() -> None:
    """Guards against two holders by a copy that counts for a renewal.

    The server answers the calls of a connection in order. The answer to the
    renewal comes when the release is due.
    """
    async with run_raw_server(_proves_releases) as raw:
        calls = _calls()
        renewal = await _renew(calls, raw)
        assert not renewal.proven
        assert await _release(calls, raw, renewal) == 'h7'
        assert renewal.proven
        assert raw.connections == 1
        # The connection is not used for grants again.
        await _renew(calls, raw)
        assert raw.connections == 2


async def test_the_copy_of_a_grant_is_no_answer_to_a_release() -> None:
    """Guards against keys that are granted while their holder has them."""
    async with run_raw_server(_proves_no_release) as raw:
        calls = _calls()
        renewal = await _renew(calls, raw)
        with pytest.raises(AnswerLostError):
            await _release(calls, raw, renewal)
        assert not renewal.proven


async def test_a_release_on_another_connection_proves_no_grant() -> None:
    """Guards against a release that overtakes a renewal."""
    async with run_raw_server(_answers_all) as raw:
        calls = _calls()
        renewal = await _renew(calls, raw)
        assert await _release(calls, raw) == 'h7'
        assert raw.connections == 2
        assert not renewal.proven


async def test_renewals_stay_on_the_connection_of_an_unproven_one() -> None:
    """Guards against unproven grants on more connections than one."""
    async with run_raw_server(_answers_all) as raw:
        calls = _calls()
        renewal = await _renew(calls, raw)
        address = parse_address(raw.address)
        grant = _call('k', 7)
        # Another connection was used last.
        await asyncio.gather(
            *(
                calls.grant(address, grant, LEASE_S, lambda: True)
                for _ in range(2)
            )
        )
        next_one = await calls.grant(
            address, replace(grant, unproven=(renewal,)), LEASE_S, lambda: True
        )
        assert next_one.connection is renewal.connection
