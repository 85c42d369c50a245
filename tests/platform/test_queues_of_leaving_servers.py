"""Requests that are queued for a server whose entry says that it leaves.

The server says nothing of it in answers: it is at work on long requests.
"""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import (
    configuration,
    platform_system,
    route,
)
from tests.builders.queued_requests import (
    WORK_S,
    SendingInstance,
    sending_instance,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import ServerState
from yuccadale_edge._internal.routing.requests import Refused, Served

DRAIN_S = 2.0
# A caller leaves then, after the entry changed, which frees a slot.
FREED_S = 2.6
REFUSED_WITHIN_S = 0.3
KEYED_WORK_S = 2.5
MOMENT_S = 0.01
REQUESTS = 6
PATIENT = MappingProxyType({'X-Deadline-Ms': '9000'})

EntryChange = Callable[[SendingInstance], None]


def _drain(instance: SendingInstance) -> None:
    instance.apply_entry('s0', ServerState.leaving)


def _remove(instance: SendingInstance) -> None:
    instance.apply_removal('s0')


ENTRY_CHANGES = (_drain, _remove)


@pytest.fixture
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


@pytest.mark.usefixtures('_virtual_clock')
@pytest.mark.parametrize('change', ENTRY_CHANGES)
@pytest.mark.parametrize('is_maintained', [True, False])
@in_virtual_time
async def test_queued_requests_do_not_follow_a_server_that_leaves(
    change: EntryChange, is_maintained: bool
) -> None:
    """Guards against requests that a server gets after its drain time."""
    async with sending_instance(
        's0', 's1', is_maintained=is_maintained
    ) as instance:
        tasks = {}
        for number in range(REQUESTS):
            request_id = f'r{number}'
            tasks[request_id] = instance.start_request(request_id)
            await asyncio.sleep(0)
        sent = instance.servers.sent
        running = {one.server_id: one.request_id for one in sent}
        assert set(running) == {'s0', 's1'}
        change(instance)
        changed_s = elapsed_s()
        await asyncio.sleep(FREED_S)
        tasks.pop(running['s0']).cancel()
        served = await asyncio.gather(*tasks.values())
        assert all(isinstance(one, Served) for one in served)
        late = [
            one
            for one in sent
            if one.server_id == 's0' and one.sent_s > changed_s + DRAIN_S
        ]
        assert not late
        taken = instance.metrics.value(
            'requests_taken_from_queues', code='server_draining'
        )
        assert bool(taken) == is_maintained


@pytest.mark.usefixtures('_virtual_clock')
@pytest.mark.parametrize('change', ENTRY_CHANGES)
@pytest.mark.parametrize('named', ['s0', None])
@in_virtual_time
async def test_queued_requests_without_another_server_are_refused_soon(
    change: EntryChange, named: str | None
) -> None:
    """Guards against callers that wait until a server has ended.

    A request that names its server was forwarded by another instance, which
    chooses the next one: it must learn that the request was not sent.
    """
    async with sending_instance('s0') as instance:
        began_s = elapsed_s()
        running = instance.start_request('r0', named)
        await asyncio.sleep(0)
        waiting = instance.start_request('r1', named)
        await asyncio.sleep(MOMENT_S)
        change(instance)
        refused = await waiting
        assert isinstance(refused, Refused)
        assert refused.code == ResultCode.server_draining
        assert refused.retry_after_s
        assert not refused.attempts
        assert elapsed_s() - began_s < REFUSED_WITHIN_S
        # What the server is at work on ends.
        assert isinstance(await running, Served)


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_queued_requests_go_to_the_next_incarnation() -> None:
    """Guards against callers that wait for a process that has ended."""
    async with sending_instance('s0') as instance:
        instance.start_request('r0')
        await asyncio.sleep(0)
        waiting = instance.start_request('r1')
        await asyncio.sleep(MOMENT_S)
        instance.apply_entry('s0', ServerState.ready, incarnation=2)
        served = await waiting
        assert isinstance(served, Served)
        assert served.incarnation == 2
        assert elapsed_s() < 1 + MOMENT_S + REFUSED_WITHIN_S + WORK_S


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_a_forwarded_request_for_an_unknown_server_may_go_elsewhere() -> (
    None
):
    """Guards against a final refusal when only the sender knows the removal."""
    async with sending_instance('s0') as instance:
        instance.apply_removal('s0')
        refused = await instance.start_request('r0', 's0')
        assert refused.code == ResultCode.server_draining
        assert not refused.attempts


@pytest.mark.usefixtures('_virtual_clock')
@pytest.mark.parametrize('change', ENTRY_CHANGES)
@in_virtual_time
async def test_a_server_whose_entry_is_ready_again_gets_requests(
    change: EntryChange,
) -> None:
    """Guards against a queue that stays closed after an entry was withdrawn."""
    async with sending_instance('s0') as instance:
        change(instance)
        await asyncio.sleep(1)
        instance.apply_entry('s0', ServerState.ready)
        assert isinstance(await instance.start_request('r0'), Served)


async def test_a_queued_request_for_a_key_goes_to_the_next_owner() -> None:
    """Guards against queued requests that follow a former owner of the key."""
    async with platform_system(keyed=1, unkeyed=0) as system:
        patient = route(timeout='9s', target_latency='9s')
        system.store.state.put('op', 'config', configuration(2, keyed=patient))
        name = await system.add_instance()
        await system.wait_until_served(name, 7)
        owner = system.server_by_id['k0']
        owner.work_s = KEYED_WORK_S
        calls = [
            asyncio.create_task(
                system.send_request(
                    name,
                    '/keyed/x',
                    key=7,
                    request_id=f'queued-{number}',
                    **PATIENT,
                )
            )
            for number in range(owner.slots + 1)
        ]
        await asyncio.sleep(0.3)
        arrived = len(owner.arrivals_s)
        state = system.store.state
        state.put('servers', 'k0', owner.entry('draining'))
        await state.notify_feeds()
        await system.add_server(PlatformServer('k1', 'ledger', 'a', keyed=True))
        answers = await asyncio.gather(*calls)
        assert {status for status, _, _ in answers} == {200}
        assert len(owner.arrivals_s) == arrived
        assert sum(system.server_by_id['k1'].executions.values()) == 1
