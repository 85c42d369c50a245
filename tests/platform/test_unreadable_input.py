"""Rows, messages and responses that cannot be read, on running instances.

Guards against one malformed message that ends a process, and one row that ends
all of them, each as it takes over.
"""

import asyncio
import time

import msgspec
import pytest

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import (
    PlatformSystem,
    platform_system,
    route,
    configuration,
)
from yuccadale_edge._internal.membership.messages import REPORT_TOPIC
from yuccadale_edge._internal.membership.leader import Leader
from yuccadale_edge._internal.ownership import balance

KEYS = (0, 20000, 40000, 65535)
OWN_TABLE = 'yuccadale'
# Until every lease has expired, and a few rounds of planning.
_REBUILT_WITHIN_S = 9.0
# Of the lease at the leader's end, so that the next leader rebuilds within it.
_MIN_LEASE_LEFT_S = 4.2
# Before the end of a lease: the longest time of a request on a busy machine.
_LONGEST_REQUEST_S = 0.5


async def _leader_and_member(system: PlatformSystem) -> tuple[str, str]:
    leader = await system.add_instance()
    await system.wait_until_served(leader, *KEYS)
    member = await system.add_instance()
    await system.wait_until_served(member, *KEYS)
    return leader, member


def _assert_one_holder(system: PlatformSystem) -> None:
    for key in KEYS:
        holders = [
            server.server_id
            for server in system.server_by_id.values()
            if server.keyed and server.holds(key)
        ]
        assert len(holders) <= 1, f'{key} is held by {holders}'


def _lease_end_s(system: PlatformSystem, key: int) -> float:
    return max(
        grant.until_s
        for server in system.server_by_id.values()
        for grant in server.grants
        if grant.first <= key <= grant.last
    )


async def test_an_unreadable_response_to_a_report_ends_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that stopped 1.5 s after such a response."""
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)
        with monkeypatch.context() as patch:
            patch.setattr(Leader, 'handle_report', lambda *_: b'\xc1\x00')
            await asyncio.sleep(2.0)
            for name in (leader, member):
                assert not system.task_by_name[name].done()
                assert await system.is_ready(name)
        await system.wait_until_served(member, *KEYS)


async def test_an_unreadable_row_of_keys_is_rebuilt() -> None:
    """Guards against each next leader that stops when it reads the row."""
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)
        system.store.state.put(OWN_TABLE, 'keys/ledger', b'{"cut')
        await system.kill(leader)
        async with asyncio.timeout(_REBUILT_WITHIN_S):
            while True:
                _assert_one_holder(system)
                row = system.store.state.value_by_row[OWN_TABLE, 'keys/ledger']
                if row.value != b'{"cut':
                    break
                await asyncio.sleep(0.05)
        await asyncio.sleep(6.0)
        await system.wait_until_served(member, *KEYS)
        _assert_one_holder(system)
        fences = [
            [
                fence
                for kind, _, _, fence in server.call_history
                if kind == 'grant'
            ]
            for server in system.server_by_id.values()
            if server.keyed
        ]
        # Each server gets higher fences only, and none is refused for long.
        assert all(sorted(one) == one for one in fences)


async def test_requests_go_on_while_the_row_of_keys_is_rebuilt() -> None:
    """Guards against keys without an owner although leases have not expired.

    Nobody renews these leases before all that may exist have expired.
    """
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)
        leadership = system.instance_by_name[member]._leadership

        async def lease_is_fresh() -> bool:
            left_s = _lease_end_s(system, KEYS[1]) - time.monotonic()
            return left_s > _MIN_LEASE_LEFT_S

        await system.wait_until(lease_is_fresh)
        system.store.state.put(OWN_TABLE, 'keys/ledger', b'[')
        await system.kill(leader)
        lease_end_s = _lease_end_s(system, KEYS[1])
        while time.monotonic() < lease_end_s - _LONGEST_REQUEST_S:
            assert await system.is_served(member, KEYS[1])
            await asyncio.sleep(0.1)
        assert leadership.may_act()


async def test_an_unreadable_row_of_the_leader_is_repaired() -> None:
    """Guards against all instances that stop within 2 s."""
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)
        system.store.state.put(OWN_TABLE, 'leader', b'\xff')
        await asyncio.sleep(1.5)
        row = system.store.state.value_by_row[OWN_TABLE, 'leader']
        assert msgspec.json.decode(row.value or b'')
        for name in (leader, member):
            assert await system.is_served(name, KEYS[0])
        epochs = {
            fence >> 24
            for server in system.server_by_id.values()
            for _, _, _, fence in server.call_history
        }
        assert epochs == {1}


async def test_an_unreadable_row_of_a_lost_leader_is_replaced() -> None:
    """Guards against keys that nobody serves again."""
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)
        await system.kill(leader)
        system.store.state.put(OWN_TABLE, 'leader', b'')
        system.store.state.put(OWN_TABLE, 'keys/ledger', b'')
        # The lost leader might act by promises for 12.1 s.
        async with asyncio.timeout(25.0):
            while not system.instance_by_name[member]._leadership.may_act():
                _assert_one_holder(system)
                await asyncio.sleep(0.05)
        await asyncio.sleep(6.0)
        await system.wait_until_served(member, *KEYS)
        _assert_one_holder(system)


async def test_a_failing_plan_ends_no_renewal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against leases that expire because moves cannot be planned."""
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)

        def fail(*_arguments: object) -> None:
            raise ZeroDivisionError('no capacity')

        monkeypatch.setattr(balance.Balancer, 'place_unowned', fail)
        await asyncio.sleep(7.0)
        for name in (leader, member):
            for key in KEYS:
                assert await system.is_served(name, key)


async def test_rows_of_the_operators_and_servers_end_nothing() -> None:
    """Guards against values that a later calculation cannot use."""
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)
        state = system.store.state
        keyed = PlatformServer('odd', 'ledger', 'a', keyed=True)
        keyed.address = '127.0.0.1:1'
        entry = keyed.entry()
        for number, changes in enumerate(
            (
                {'address': '127.0.0.1:99999999'},
                {'address': 'no such host:1'},
                {'address': 'a..b:1'},
                {'info': entry['info'] | {'slots': -3}},
                {'info': entry['info'] | {'slots': 10**30}},
                {'status': entry['status'] | {'slow_start_time': 'infs'}},
            )
        ):
            state.put('servers', f'odd{number}', entry | changes)
        state.put('servers', 'deep', b'[' * 100_000)
        state.put(
            'op',
            'config',
            configuration(5, odd=route(prefix='/odd/', timeout='nans')),
        )
        await state.notify_feeds()
        await asyncio.sleep(1.5)
        for name in (leader, member):
            assert await system.is_served(name, KEYS[2])
        metrics = system.instance_by_name[leader]._metrics
        assert 'task_failures' not in metrics.text()


async def test_a_request_with_odd_numbers_is_answered() -> None:
    """Guards against a connection that ends without an answer."""
    async with platform_system() as system:
        leader = await system.add_instance()
        await system.wait_until_served(leader, *KEYS)
        for headers in (
            {'X-Shard-Key': '9' * 5000},
            {'X-Shard-Key': '65536'},
            {'X-Shard-Key': '-1'},
            {'X-Deadline-Ms': '9' * 5000, 'X-Shard-Key': '1'},
        ):
            status, _, _ = await system.send_request(
                leader, '/keyed/x', request_id=f'odd-{headers}'[:40], **headers
            )
            assert status in {200, 400}


async def test_reports_of_unknown_tables_are_ignored() -> None:
    """Guards against an instance of a later version with more tables."""
    async with platform_system() as system:
        leader, member = await _leader_and_member(system)
        links = system.instance_by_name[member]._links
        address = system.settings_by_name[leader].contact_address
        entry = ('later', '127.0.0.1', 1, 'a', False, 1.0, 'new field')
        report = (entry, {'later': 7}, (0, 0), {}, [], [], [])
        answer = await links.request(
            address, REPORT_TOPIC, msgspec.msgpack.encode(report), 1.0, bytes
        )
        assert msgspec.msgpack.decode(answer)
