"""Servers, instances and a store whose responses have an invalid status."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial

import msgspec
import pytest

from tests.builders.invalid_statuses import (
    INVALID_STATUSES,
    answers_first_with,
    response,
)
from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import PlatformSystem, platform_system
from tests.builders.raw_server import RawServer, Script, run_raw_server
from tests.builders.store_answers import table_page, table_row
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.routing.requests import Served
from yuccadale_edge.instance import (
    AnswerLostError,
    CallKind,
    ClientPool,
    OwnershipCall,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from yuccadale_edge.ownership import Holder
from yuccadale_platform.adapter import (
    PlatformServerCalls,
    PlatformStore,
    parse_address,
)

_SERVER_ID = 'raw'
# Requests have a deadline of 2 s, a release one of 3 s.
_WELL_BEFORE_DEADLINE_S = 1.0
# A call to the store waits for 0.9 s.
_WELL_BEFORE_STORE_TIMEOUT_S = 0.6


def _answers_all_with(
    status: str, *lines: str
) -> Callable[[RawServer], Script]:
    def answer(head: bytes) -> bytes:
        return response(status, head, *lines)

    return answers_first_with(answer, answer)


@asynccontextmanager
async def _system_with(
    raw: RawServer, *others: PlatformServer
) -> AsyncIterator[tuple[PlatformSystem, str]]:
    """Runs one instance, a raw server and others without keys."""
    async with platform_system(keyed=0, unkeyed=0) as system:
        server = PlatformServer(_SERVER_ID, 'stage', 'a', keyed=False)
        server.address = raw.address
        system.store.state.put('servers', _SERVER_ID, server.entry())
        for other in others:
            await system.add_server(other)
        yield system, await system.add_instance()


@pytest.mark.parametrize('lines', [(), ('X-Not-Executed: 1',)])
@pytest.mark.parametrize('status', INVALID_STATUSES)
async def test_an_invalid_status_leaves_the_outcome_unknown(
    status: str, lines: tuple[str, ...]
) -> None:
    """Guards against a caller that gets it, or a request that is sent again.

    Statuses below 100 were passed over until the deadline.
    """
    async with run_raw_server(_answers_all_with(status, *lines)) as raw:
        async with _system_with(raw) as (system, name):
            async with asyncio.timeout(_WELL_BEFORE_DEADLINE_S):
                answer = await system.send_request(name, '/once/x')
            assert answer[0] == 502
            assert 'x-server-signature' not in answer[2]
            assert len(raw.heads) == 1
            async with asyncio.timeout(_WELL_BEFORE_DEADLINE_S):
                while raw.open_connections:
                    await asyncio.sleep(0.01)


@pytest.mark.parametrize('status', INVALID_STATUSES)
async def test_a_repeatable_request_is_served_elsewhere(status: str) -> None:
    """Guards against a failed request that another server would serve."""
    async with run_raw_server(_answers_all_with(status)) as raw:
        # The other one is farther away.
        sound = PlatformServer('p0', 'stage', 'b', keyed=False)
        async with _system_with(raw, sound) as (system, name):
            async with asyncio.timeout(_WELL_BEFORE_DEADLINE_S):
                answer = await system.send_request(name, '/open/x')
            assert answer[0] == 200
            assert len(raw.heads) == 1


@pytest.mark.parametrize('status', [0, 99, 103, 600, 999])
async def test_a_result_of_an_instance_with_an_invalid_status_is_unknown(
    status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller that gets what another instance let through."""
    served = Served(status, [], b'', 'p0', 1, 0, 0)

    async def answer(*_: object) -> bytes:
        return msgspec.msgpack.encode(served)

    async with platform_system(keyed=0) as system:
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until(partial(_is_served, system, name))
        monkeypatch.setattr(RequestRouter, 'handle_forwarded', answer)
        statuses = []
        for name in names:
            async with asyncio.timeout(_WELL_BEFORE_DEADLINE_S):
                got, _, _ = await system.send_request(name, '/once/x')
            statuses.append(got)
        # One instance forwards, to the one that sends.
        assert sorted(statuses) == [200, 502]


async def _is_served(system: PlatformSystem, name: str) -> bool:
    status, _, _ = await system.send_request(name, '/once/x')
    return status == 200


@pytest.mark.parametrize('kind', [CallKind.grant, CallKind.release])
@pytest.mark.parametrize('status', INVALID_STATUSES)
async def test_an_ownership_call_with_an_invalid_status_may_be_applied(
    status: str, kind: CallKind
) -> None:
    """Guards against keys that are taken to be granted or free, or to be not.

    A status of 600 and more counted as a refusal.
    """
    async with run_raw_server(_answers_all_with(status)) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        calls = PlatformServerCalls(pool)
        address = parse_address(raw.address)
        call = OwnershipCall(kind, Holder(_SERVER_ID, 1), 0, 9, 1)
        with pytest.raises(AnswerLostError):
            async with asyncio.timeout(_WELL_BEFORE_STORE_TIMEOUT_S):
                if kind == CallKind.grant:
                    await calls.grant(address, call, 1, lambda: True)
                else:
                    await calls.release(address, call, lambda: True)


def _store_answer(status: str, era: int) -> bytes:
    body = json.dumps(table_page(table_row('row', 7))).encode()
    return (
        b'HTTP/1.1 %b Answer\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n'
        % (status.encode(), era, len(body))
    ) + body


@asynccontextmanager
async def _store_that_answers_first_with(
    status: str,
) -> AsyncIterator[PlatformStore]:
    make_script = answers_first_with(
        lambda _: _store_answer(status, era=9),
        lambda _: _store_answer('200', era=1),
    )
    async with run_raw_server(make_script) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        yield PlatformStore(parse_address(raw.address), pool)
        pool.close_idle(parse_address(raw.address))


@pytest.mark.parametrize('status', INVALID_STATUSES)
async def test_the_store_is_read_again_after_an_invalid_status(
    status: str,
) -> None:
    """Guards against a response that counts for the era of the store.

    All later responses were refused as older.
    """
    async with _store_that_answers_first_with(status) as store:
        with pytest.raises(StoreUnavailableError):
            async with asyncio.timeout(_WELL_BEFORE_STORE_TIMEOUT_S):
                await store.read('own')
        assert len((await store.read('own')).rows) == 1


@pytest.mark.parametrize('status', INVALID_STATUSES)
async def test_a_write_with_an_invalid_status_may_be_applied(
    status: str,
) -> None:
    """Guards against a write that counts as done or as not done."""
    async with _store_that_answers_first_with(status) as store:
        with pytest.raises(StoreOutcomeUnknownError):
            async with asyncio.timeout(_WELL_BEFORE_STORE_TIMEOUT_S):
                await store.write('own', {'row': b'{}'}, {'row': 0})
        assert len((await store.read('own')).rows) == 1
