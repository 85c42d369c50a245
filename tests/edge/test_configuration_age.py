"""The configuration by which instances route, under faults and many changes.

Guards against an instance that denies a route, or routes by old rules, later
than the bound after the change was acknowledged. An instance that was restarted
in a storm of changes answered 404 for a route 2.06 s after its change: it had
the configuration of a leader that lost power, and the next leader's updates
brought the configuration last.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Iterator
from types import MappingProxyType

import pytest

from tests.builders.configuration_world import (
    DENIES,
    DOES_NOT_SERVE,
    GOES_BACK,
    OUTDATED,
    ConfigurationWorld,
)
from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import VirtualTimeLoop
from yuccadale_edge._internal.store import StoredRow
from yuccadale_edge._internal.system_view import SystemView

NAMES = ('i0', 'i1', 'i2', 'i3', 'i4', 'i5')
_SEEDS = range(6)
# What a seed shows also depends on the order of sets, which differs by process.
_MANY_SEEDS = range(60)
_CHANGES = 25
_CHANGE_INTERVAL_S = 0.06
_SETTLE_S = 14.0

Fault = Callable[[ConfigurationWorld], Awaitable[None]]


async def _no_fault(_world: ConfigurationWorld) -> None:
    """Changes nothing."""


async def _restart_each(world: ConfigurationWorld) -> None:
    for name in NAMES:
        world.kill(name)
        await asyncio.sleep(0.25)
        world.start(name)


async def _lose_leader(world: ConfigurationWorld) -> None:
    leader = world.leader()
    world.kill(leader)
    await asyncio.sleep(world.random.choice((0.6, 2.0)))
    world.start(leader)


async def _lose_two_leaders(world: ConfigurationWorld) -> None:
    await _lose_leader(world)
    await asyncio.sleep(world.random.choice((0.3, 1.2, 2.4)))
    await _lose_leader(world)


async def _lose_all(world: ConfigurationWorld) -> None:
    world.kill(*NAMES)
    await asyncio.sleep(0.8)
    for name in NAMES:
        world.start(name)
        await asyncio.sleep(0.05)


async def _restart_one_before_the_leader_is_lost(
    world: ConfigurationWorld,
) -> None:
    leader = world.leader()
    restarted = next(name for name in NAMES if name != leader)
    world.start(restarted)
    await asyncio.sleep(world.random.choice((0.3, 0.7)))
    world.kill(leader)


async def _close_store_to_leader(world: ConfigurationWorld) -> None:
    world.without_store = {world.leader()}
    await asyncio.sleep(5.0)
    world.without_store = set()


async def _close_store_to_others(world: ConfigurationWorld) -> None:
    world.without_store = set(NAMES) - {world.leader()}
    await _lose_leader(world)
    await asyncio.sleep(3.0)
    world.without_store = set()


async def _close_store(world: ConfigurationWorld) -> None:
    world.without_store = set(NAMES)
    await asyncio.sleep(3.0)
    world.without_store = set()


async def _silence_store_to_leader(world: ConfigurationWorld) -> None:
    leader = world.leader()
    world.silent_store = {leader}
    await asyncio.sleep(7.0)
    world.silent_store = set()


async def _silence_store_to_some(world: ConfigurationWorld) -> None:
    world.silent_store = set(world.random.sample(NAMES, 2))
    await asyncio.sleep(9.0)
    world.silent_store = set()


async def _cut_off_leader(world: ConfigurationWorld) -> None:
    world.cut_off = {world.leader()}
    await asyncio.sleep(5.5)
    world.cut_off = set()


async def _slow_store(world: ConfigurationWorld) -> None:
    world.store_delay_s = 0.12
    await asyncio.sleep(4.5)
    world.store_delay_s = 0


async def _lose_leader_of_slow_store(world: ConfigurationWorld) -> None:
    await asyncio.gather(_slow_store(world), _lose_leader(world))


async def _lose_leader_after_silence(world: ConfigurationWorld) -> None:
    await asyncio.gather(_silence_store_to_some(world), _lose_leader(world))


async def _delay_messages(world: ConfigurationWorld) -> None:
    world.late_share = 0.3
    await _lose_leader(world)
    await asyncio.sleep(2.0)
    world.late_share = 0


async def _write_invalid(world: ConfigurationWorld) -> None:
    world.write_invalid_configuration()
    await asyncio.sleep(0.3)
    await _lose_leader(world)


async def _stall_reads_of_leader(world: ConfigurationWorld) -> None:
    world.stalled_reads = {world.leader()}
    await asyncio.sleep(6.0)
    world.stalled_reads = set()


FAULT_BY_NAME: MappingProxyType[str, Fault] = MappingProxyType(
    {
        'no fault': _no_fault,
        'restart each': _restart_each,
        'lose leader': _lose_leader,
        'lose two leaders': _lose_two_leaders,
        'lose all': _lose_all,
        'restart one, lose leader': _restart_one_before_the_leader_is_lost,
        'close store to leader': _close_store_to_leader,
        'close store to others': _close_store_to_others,
        'close store': _close_store,
        'stall reads of leader': _stall_reads_of_leader,
        'silence store to leader': _silence_store_to_leader,
        'silence store to some': _silence_store_to_some,
        'cut off leader': _cut_off_leader,
        'slow store': _slow_store,
        'slow store, lose leader': _lose_leader_of_slow_store,
        'silence store to some, lose leader': _lose_leader_after_silence,
        'late messages, lose leader': _delay_messages,
        'write invalid, lose leader': _write_invalid,
    }
)


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


async def _play(seed: int, fault: Fault) -> list[str]:
    world = ConfigurationWorld(seed, NAMES)
    world.write_configuration()
    world.start(*NAMES)
    watch = asyncio.create_task(world.watch())
    await asyncio.sleep(6.0 + world.random.random())
    storm = asyncio.create_task(world.storm(_CHANGES, _CHANGE_INTERVAL_S))
    await asyncio.sleep(world.random.random() * _CHANGES * _CHANGE_INTERVAL_S)
    await fault(world)
    await storm
    await asyncio.sleep(world.random.random() * 3)
    # A change after the faults, too.
    world.write_configuration()
    await asyncio.sleep(_SETTLE_S)
    watch.cancel()
    world.stop()
    return world.problems


def _problems(fault: Fault, seeds: Iterable[int]) -> Iterator[str]:
    for seed in seeds:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            found = runner.run(_play(seed, fault))
        yield from (f'seed {seed}, {problem}' for problem in found)


def play_all(fault: Fault) -> list[str]:
    """Plays a fault with all seeds; returns the problems."""
    return list(_problems(fault, _SEEDS))


@pytest.mark.parametrize('name', sorted(FAULT_BY_NAME))
def test_configuration_is_in_force_within_its_bound(name: str) -> None:
    """Guards against a denied route and old rules after the bound."""
    problems = play_all(FAULT_BY_NAME[name])
    assert not problems


def test_denial_by_an_outdated_configuration_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check that does not see denied routes."""
    monkeypatch.setattr(SystemView, 'is_outdated', lambda *_: False)
    monkeypatch.setattr(SystemView, 'needs_confirmation', lambda *_: False)
    problems = play_all(_stall_reads_of_leader)
    assert any(DENIES in problem for problem in problems)


def test_missing_reads_of_outdated_tables_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check that does not see old rules."""
    monkeypatch.setattr(SystemView, 'needs_confirmation', lambda *_: False)
    problems = play_all(_stall_reads_of_leader)
    assert any(OUTDATED in problem for problem in problems)


def test_an_instance_that_waits_for_ever_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check that does not see added routes without service."""
    monkeypatch.setattr(SystemView, 'is_outdated', lambda *_: True)
    monkeypatch.setattr(SystemView, 'needs_confirmation', lambda *_: False)
    problems = play_all(_stall_reads_of_leader)
    assert any(DOES_NOT_SERVE in problem for problem in problems)


def test_a_configuration_that_goes_back_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check that does not see older configurations."""
    apply = SystemView._apply_configuration

    def apply_any(view: SystemView, row: StoredRow) -> bool:
        view.configuration = None
        view.configuration_row = None
        return apply(view, row)

    monkeypatch.setattr(SystemView, '_apply_configuration', apply_any)
    problems = _problems(_delay_messages, _MANY_SEEDS)
    assert any(GOES_BACK in problem for problem in problems)
