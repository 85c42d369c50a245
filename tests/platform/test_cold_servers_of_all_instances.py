"""A cold server under demand through all instances, in virtual time.

Load: callers ask for 24 times what the cold server takes, through instances in
three data centres, for its keys and for any server of its service. Instances
start again, are cut off from each other or the leader, and lose messages, so
that several of them believe that they are the sender.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.limit_record import most_in_window
from tests.builders.limit_world import SERVICE, LimitWorld, limit_world
from tests.builders.virtual_time import first_problems, in_virtual_time
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import (
    CallerLimits,
    Configuration,
    Service,
)
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing import forwarding, pacing

COLD_PER_S = 5
# cold_per_s x cold_over + cold_slack
BOUND = COLD_PER_S * 1.5 + 8
DEMAND_PER_S = 120.0
SEQUENCES = 12
SEQUENCES_TO_FIND = 40
_CONFIGURATION = Configuration(
    1,
    {},
    {SERVICE: Service(SERVICE, False, 0, '/health', 0, COLD_PER_S, 8)},
    CallerLimits(1, 1, 1, 1),
)
# The heartbeat of a server, and the longest delay of an entry.
_HEARTBEAT_S = 1.5
_ENTRY_DELAY_S = 0.5


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


async def _heartbeats(world: LimitWorld) -> None:
    """Writes entries, which instances without the leader read, too."""
    while True:
        world.server.write_entry()
        await asyncio.sleep(world.random.random() * _ENTRY_DELAY_S)
        for node in world.nodes:
            node.learn_server()
        await asyncio.sleep(_HEARTBEAT_S)


async def _cold_periods(world: LimitWorld, periods: int) -> list[str]:
    """Lets the server be cold again and again; returns what was exceeded."""
    found: list[str] = []
    for _ in range(periods):
        await asyncio.sleep(3)
        world.server.cold_until_s = elapsed_s() + 7
        await asyncio.sleep(_HEARTBEAT_S + 2 * _ENTRY_DELAY_S)
        arrivals_s = world.server.record.arrivals_s
        known = len(arrivals_s)
        await asyncio.sleep(world.server.cold_until_s - elapsed_s())
        most = most_in_window([0, *arrivals_s[known:]], 1)
        if most > BOUND:
            found.append(f'{most} requests in a second')
    return found


async def _excess(seed: int) -> list[str]:
    async with limit_world(seed, configuration=_CONFIGURATION) as world:
        heartbeats = asyncio.create_task(_heartbeats(world))
        load = asyncio.create_task(world.load(DEMAND_PER_S, 40))
        faults = asyncio.create_task(world.faults(40, of_server=False))
        try:
            return await _cold_periods(world, 4)
        finally:
            for task in (heartbeats, load, faults):
                task.cancel()


def _find_excess(seeds: Iterable[int]) -> list[str]:
    return first_problems(seeds, _excess)


def test_the_bound_holds_for_the_sum_in_random_sequences() -> None:
    """Guards against instances that keep the bound only each for itself."""
    assert not _find_excess(range(SEQUENCES))


def _send_without_the_sender(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(forwarding.Forwarder, 'limit_sender', lambda *_: None)
    patch.setattr(forwarding.Forwarder, 'limit_share', lambda *_: 1.0)


def _replace_the_sender_fully(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(forwarding, 'LIMIT_SHARES', (1.0, 1.0, 1.0, 1.0))


def _save_tokens(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(pacing, '_DEPTH', 100.0)


@pytest.mark.parametrize(
    'remove',
    [_send_without_the_sender, _replace_the_sender_fully, _save_tokens],
)
def test_removed_rule_is_found(
    remove: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sequences that cannot show an excess."""
    remove(monkeypatch)
    assert _find_excess(range(SEQUENCES_TO_FIND))


def _start_cold(world: LimitWorld, for_s: float) -> None:
    """Replaces the server by another process that is cold."""
    server = world.server.server
    world.server.server = replace(server, incarnation=server.incarnation + 1)
    world.server.cold_until_s = elapsed_s() + for_s
    world.server.write_entry()


@in_virtual_time
async def test_a_new_server_is_paced_and_normal_when_it_is_warm() -> None:
    """Guards against a burst at the start, and a limit after the end."""
    async with limit_world(1, configuration=_CONFIGURATION) as world:
        _start_cold(world, 6)
        await asyncio.sleep(0.5)
        begin_s = elapsed_s()
        await world.load(DEMAND_PER_S, 5)
        arrivals_s = world.server.record.arrivals_s
        assert most_in_window(arrivals_s, 1) <= COLD_PER_S + 2
        # It is used, and not only spared.
        assert len(arrivals_s) >= (elapsed_s() - begin_s) * COLD_PER_S * 0.8
        await asyncio.sleep(world.server.cold_until_s - elapsed_s() + 0.4)
        before = len(arrivals_s)
        await world.load(40, 2)
        assert len(arrivals_s) - before > 60


@in_virtual_time
async def test_requests_queued_before_are_not_sent_to_a_cold_server() -> None:
    """Guards against queues that empty into a server that became cold."""
    async with limit_world(2, configuration=_CONFIGURATION) as world:
        await world.load(DEMAND_PER_S, 2)
        world.server.cold_until_s = elapsed_s() + 8
        world.server.write_entry()
        # The leader passes the entry on each 0.25 s.
        await world.load(DEMAND_PER_S, 0.3)
        known = len(world.server.record.arrivals_s)
        await world.load(DEMAND_PER_S, 4)
        arrivals_s = world.server.record.arrivals_s[known:]
        assert most_in_window(arrivals_s, 1) <= BOUND


@pytest.mark.parametrize('cold_s', [0, 4])
@in_virtual_time
async def test_the_sender_asks_a_server_that_returned(cold_s: float) -> None:
    """Guards against returned servers that crash, or stay limited."""
    async with limit_world(3, configuration=_CONFIGURATION) as world:
        await world.load(20, 1)
        holder = Holder('s', 1)
        # The entry that says so has not arrived yet.
        world.server.cold_until_s = elapsed_s() + cold_s
        for node in world.nodes:
            node.view.cold_servers.observe_evacuation_end([holder])
        known = len(world.server.record.arrivals_s)
        await world.load(DEMAND_PER_S, max(cold_s, 0.3) - 0.1)
        arrivals_s = world.server.record.arrivals_s
        assert most_in_window(arrivals_s[known:], 1) <= BOUND
        assert len(world.server.health_s) == 1
        await asyncio.sleep(0.5)
        known = len(arrivals_s)
        await world.load(40, 2)
        assert len(arrivals_s) - known > 60
