"""Instances, servers and the store of the platform together, in one process."""

import asyncio
import time

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_store import store_endpoint
from tests.builders.platform_system import (
    PlatformSystem,
    configuration,
    platform_system,
    route,
    settings,
)
from yuccadale_edge.instance import Bounds

KEYS = (0, 20000, 40000, 65535)
# Required time until a configuration is in force at all instances.
CONVERGENCE_TIMEOUT_S = 2.0
PROMISE_DELAY_S = 10.2
# With a lease of 4.5 s after it, longer than the test asks for requests.
STOP_GRACE_S = 3.0
SERVED_AFTER_STOP_S = 5.6


def _execution_count(system: PlatformSystem, request_id: str) -> int:
    return sum(
        server.executions[request_id] for server in system.server_by_id.values()
    )


async def _all_serve_added_route(
    system: PlatformSystem, names: list[str]
) -> bool:
    """Returns whether all the instances serve the route that a test added."""
    answers = [await system.send_request(name, '/added/x') for name in names]
    return all(status == 200 for status, _, _ in answers)


def _assert_at_most_one_holder(system: PlatformSystem) -> None:
    for key in KEYS:
        holders = [
            server.server_id
            for server in system.server_by_id.values()
            if server.keyed and server.holds(key)
        ]
        assert len(holders) <= 1, f'{key} is held by {holders}'


async def test_requests_reach_the_owner_through_any_instance() -> None:
    """Guards against an instance that does not know the owners."""
    async with platform_system(keyed=3) as system:
        names = [await system.add_instance(zone) for zone in ('a', 'b')]
        for name in names:
            await system.wait_until_served(name, *KEYS)
        _assert_at_most_one_holder(system)
        status, text, headers = await system.send_request(
            names[1], '/keyed/x?q=1', key=1, request_id='whole'
        )
        assert (status, text) == (200, 'POST /keyed/x?q=1 body')
        assert headers['x-server-signature'].endswith('.whole')
        assert _execution_count(system, 'whole') == 1


async def test_an_unsafe_request_runs_once_when_its_answer_is_lost() -> None:
    """Guards against a retry of a request that may have run."""
    async with platform_system(keyed=0, unkeyed=2) as system:
        name = await system.add_instance()
        for server in system.server_by_id.values():
            server.drop_answers = True
        status, _, _ = await system.send_request(
            name, '/once/x', request_id='lost'
        )
        assert status == 502
        assert _execution_count(system, 'lost') == 1


async def test_a_safe_request_is_retried_at_another_server() -> None:
    """Guards against a failure although a second server would answer."""
    async with platform_system(keyed=0, unkeyed=2) as system:
        name = await system.add_instance()
        system.server_by_id['p0'].drop_answers = True
        for number in range(4):
            status, _, _ = await system.send_request(
                name, '/open/x', request_id=f'r{number}', method='GET'
            )
            assert status == 200


async def test_a_refusal_is_not_run_and_has_a_retry_time() -> None:
    """Guards against a refused request that runs, or has no Retry-After."""
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        system.server_by_id['p0'].full = True
        status, _, headers = await system.send_request(
            name, '/once/x', request_id='full'
        )
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert 'x-server-signature' not in headers
        assert _execution_count(system, 'full') == 0


async def test_a_request_shed_by_its_owner_is_retried() -> None:
    """Guards against a refusal although the owner would accept a retry.

    Without retries, 358 requests a second were refused while servers shed
    half of theirs.
    """
    async with platform_system(keyed=1) as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 7)
        system.server_by_id['k0'].shed_next = 1
        status, _, _ = await system.send_request(
            name, '/keyed/x', key=7, request_id='shed'
        )
        assert status == 200
        assert _execution_count(system, 'shed') == 1


async def test_an_extra_answer_is_given_to_no_request() -> None:
    """Guards against an answer that goes to a connection's next request."""
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        system.server_by_id['p0'].send_extra_answers = True
        for number in range(10):
            request_id = f'extra-{number}'
            status, text, headers = await system.send_request(
                name, f'/open/{number}', request_id=request_id, method='GET'
            )
            assert status == 200
            assert text.startswith(f'GET /open/{number} ')
            assert headers['x-attempt-id'] == request_id
            await asyncio.sleep(0.004)


async def test_an_unknown_route_is_not_found() -> None:
    """Guards against another status than 404 for a path without a route."""
    async with platform_system() as system:
        name = await system.add_instance()
        status, _, _ = await system.send_request(name, '/elsewhere/x')
        assert status == 404


async def test_only_newer_valid_configurations_are_applied() -> None:
    """Guards against an older or truncated configuration in force."""
    async with platform_system() as system:
        names = [await system.add_instance() for _ in range(2)]
        added = configuration(
            9, added=route(prefix='/added/', service='stage', kind='safe')
        )
        system.store.state.put('op', 'config', added)
        await system.store.state.notify_feeds()

        async def added_everywhere() -> bool:
            return await _all_serve_added_route(system, names)

        await system.wait_until(added_everywhere)
        for bad in (configuration(3), {'version': '0000000f'}, b'{"cut'):
            system.store.state.put('op', 'config', bad)
            await system.store.state.notify_feeds()
        await asyncio.sleep(0.2)
        assert await added_everywhere()


async def test_a_draining_server_releases_its_keys() -> None:
    """Guards against requests that are sent to a draining server."""
    async with platform_system(keyed=2) as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 0)
        draining = next(
            server for server in system.server_by_id.values() if server.holds(0)
        )
        system.store.state.put(
            'servers', draining.server_id, draining.entry('draining')
        )
        await system.store.state.notify_feeds()

        async def released_all_keys() -> bool:
            return not any(draining.holds(key) for key in KEYS)

        await system.wait_until(released_all_keys)
        await system.wait_until_served(name, *KEYS)
        _assert_at_most_one_holder(system)


async def test_keys_are_served_while_the_store_is_unavailable() -> None:
    """Guards against a store outage that stops requests."""
    async with platform_system() as system:
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until_served(name, 5)
        system.store.faults.down = True
        for _ in range(20):
            assert await system.is_served(names[0], 5)
            await asyncio.sleep(0.1)
        system.store.faults.down = False
        assert await system.is_served(names[1], 5)


async def test_leadership_survives_lost_answers_of_the_store() -> None:
    """Guards against a leader that mistakes its own write for another's."""
    async with platform_system() as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 5)
        system.store.faults.drop_answers = True
        await asyncio.sleep(1.2)
        system.store.faults.drop_answers = False
        await system.add_server(
            PlatformServer('late', 'ledger', 'a', keyed=True)
        )

        async def late_server_owns_keys() -> bool:
            return bool(system.server_by_id['late'].grants)

        await system.wait_until(late_server_owns_keys)
        _assert_at_most_one_holder(system)


async def test_a_restarted_leader_does_not_reuse_its_fences() -> None:
    """Guards against fencing tokens of an earlier incarnation."""
    async with platform_system(keyed=2) as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 5)
        await system.kill(name)
        await system.start(name)
        await system.wait_until_served(name, 5)
        await system.add_server(
            PlatformServer('new', 'ledger', 'a', keyed=True)
        )
        await asyncio.sleep(0.5)
        _assert_at_most_one_holder(system)
        fences = [
            fence
            for server in system.server_by_id.values()
            for kind, _, _, fence in server.call_history
            if kind == 'grant'
        ]
        assert len({fence >> 24 for fence in fences}) <= 2


async def test_an_update_reaches_all_instances_of_another_region() -> None:
    """Guards against members that the relay of their region leaves out."""
    async with platform_system() as system:
        names = [await system.add_instance(zone) for zone in 'abb']
        for name in names:
            await system.wait_until_served(name, *KEYS)
        system.store.state.put(
            'op',
            'config',
            configuration(
                7, added=route(prefix='/added/', service='stage', kind='safe')
            ),
        )
        await system.store.state.notify_feeds()

        async def added_everywhere() -> bool:
            return await _all_serve_added_route(system, names)

        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            await system.wait_until(added_everywhere)


async def test_forged_and_unreadable_entries_change_nothing() -> None:
    """Guards against a server list that an invalid row empties."""
    async with platform_system() as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 5)
        for number, row in enumerate(
            (b'\xff\x00', {'address': 7}, {'info': {'service': 'ledger'}})
        ):
            system.store.state.put('servers', f'forged{number}', row)
        await system.store.state.notify_feeds()
        await asyncio.sleep(0.2)
        assert await system.is_served(name, 5)


async def test_tables_are_read_whole_after_lost_history() -> None:
    """Guards against changes that are missed when the history is dropped."""
    async with platform_system() as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 5)
        state = system.store.state
        state.put(
            'op',
            'config',
            configuration(
                7, added=route(prefix='/added/', service='stage', kind='safe')
            ),
        )
        state.version += 100
        system.store.faults.history_from = state.version

        async def added() -> bool:
            status, _, _ = await system.send_request(name, '/added/x')
            return status == 200

        await system.wait_until(added)


async def test_shutdown_finishes_accepted_requests() -> None:
    """Guards against requests that a shutdown aborts."""
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        system.server_by_id['p0'].work_s = 0.3
        request = asyncio.create_task(system.send_request(name, '/once/x'))
        await asyncio.sleep(0.1)
        system.instance_by_name[name].stop()
        status, _, _ = await request
        assert status == 200
        assert not await system.is_ready(name)
        await asyncio.wait_for(system.task_by_name[name], 5)


async def test_a_leader_that_stops_while_the_store_is_away_goes_on() -> None:
    """Guards against keys without an owner until the store is back.

    A leader that was stopped while no instance reached the store gave its role
    up at once. Nobody could take it over, and all leases expired 4.5 s later.
    """
    async with platform_system() as system:
        grace = Bounds(grace_s=STOP_GRACE_S)
        leader, member = [
            await system.add_instance(bounds=grace) for _ in range(2)
        ]
        for name in (leader, member):
            await system.wait_until_served(name, *KEYS)
        # A restarted elector promises nothing for 10 s.
        await asyncio.sleep(PROMISE_DELAY_S)
        system.store.faults.down = True
        await asyncio.sleep(0.5)
        system.instance_by_name[leader].stop()
        served_until_s = time.monotonic() + SERVED_AFTER_STOP_S
        while time.monotonic() < served_until_s:
            assert await system.is_served(member, KEYS[2])
            await asyncio.sleep(0.1)
        system.store.faults.down = False
        await system.wait_until_served(member, *KEYS)
        _assert_at_most_one_holder(system)


async def test_members_read_the_store_when_the_leader_cannot() -> None:
    """Guards against a configuration that waits for a leader without store.

    When only the leader was disconnected from the store, the others began
    to read its tables 2 s later, too late for a new configuration.
    """
    async with platform_system() as system:
        leader_endpoint = await system.stack.enter_async_context(
            store_endpoint(system.store.state)
        )
        leader = await system.add_instance(store=leader_endpoint)
        await system.wait_until_served(leader, 5)
        member = await system.add_instance()
        await system.wait_until_served(member, 5)
        calls_before = system.store.state.call_count
        while system.store.state.call_count == calls_before:
            await asyncio.sleep(0.005)
        # The leader has just had contact with the store.
        leader_endpoint.faults.down = True
        system.store.state.put(
            'op',
            'config',
            configuration(
                7, added=route(prefix='/added/', service='stage', kind='safe')
            ),
        )
        await system.store.state.notify_feeds()

        async def added() -> bool:
            status, _, _ = await system.send_request(member, '/added/x')
            return status == 200

        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            await system.wait_until(added)


async def test_a_leader_without_the_store_is_replaced() -> None:
    """Guards against a leader that is reachable, but may not act.

    A leader that was disconnected from the store kept its role for 12 s,
    since the others still reached it; leases expired meanwhile.
    """
    async with platform_system() as system:
        leader_endpoint = await system.stack.enter_async_context(
            store_endpoint(system.store.state)
        )
        leader = await system.add_instance(store=leader_endpoint)
        await system.wait_until_served(leader, 5)
        member = await system.add_instance()
        await system.wait_until_served(member, 5)
        leader_endpoint.faults.down = True
        added = await system.add_server(
            PlatformServer('added', 'ledger', 'a', keyed=True)
        )

        async def added_server_owns_keys() -> bool:
            return bool(added.grants)

        await system.wait_until(added_server_owns_keys)
        await system.wait_until_served(leader, *KEYS)
        _assert_at_most_one_holder(system)


async def test_keys_are_served_before_a_new_leader_is_elected() -> None:
    """Guards against an outage of seconds after all instances were killed."""
    async with platform_system() as system:
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until_served(name, *KEYS)
        # Wait until all grants are accepted and all owners recorded.
        await asyncio.sleep(1.0)
        for name in names:
            await system.kill(name)
        await system.start(names[1])
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            await system.wait_until_served(names[1], *KEYS)
        _assert_at_most_one_holder(system)


async def test_a_new_instance_gets_its_state_from_any_other() -> None:
    """Guards against an instance that waits for the store or a leader."""
    async with platform_system() as system:
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until_served(name, *KEYS)
        await system.kill(names[0])
        system.store.faults.down = True
        instance_settings = settings(
            len(names),
            system.store,
            seeds=(system.settings_by_name[names[1]].peer_address,),
        )
        system.settings_by_name[instance_settings.instance] = instance_settings
        await system.start(instance_settings.instance)
        # The state is too old for a 404, but it has routes and servers.
        status, _, _ = await system.send_request(
            instance_settings.instance, '/open/x', method='GET'
        )
        assert status == 200
