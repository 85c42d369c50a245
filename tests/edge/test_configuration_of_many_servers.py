"""The configuration of a system with many instances and servers.

The rows of all servers are more than the link of the leader carries to all
instances at once, and more than that of a small machine carries in the time of
one response.
"""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import replace

import pytest

from tests.builders.configuration_world import ConfigurationWorld
from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import VirtualTimeLoop
from yuccadale_edge.instance import Machine

_SEED = 47
_NAMES = tuple(f'i{number:02}' for number in range(60))
_CAPABLE_NAMES = _NAMES[::10]
_CAPABLE = Machine(cores=3, link_mbps=12)
_SMALL = Machine(cores=1, link_mbps=2)
_BITS_PER_MB = 125_000
_SERVERS = 1600
_SERVERS_AT_ONCE = 80
_REGISTRATION_INTERVAL_S = 0.1
_CHANGES = 10
_CHANGE_INTERVAL_S = 1.0
_SETTLE_S = 5.0
_DOWN_S = 1.5


@pytest.fixture(autouse=True)
def _repeatable(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    use_virtual_clock(monkeypatch)
    state = random.getstate()
    random.seed(_SEED)
    yield
    random.setstate(state)


def _world(seed: int) -> ConfigurationWorld:
    world = ConfigurationWorld(seed, _NAMES)
    for name, settings in world.settings_by_name.items():
        machine = _CAPABLE if name in _CAPABLE_NAMES else _SMALL
        world.settings_by_name[name] = replace(settings, machine=machine)
        rate = machine.link_mbps * _BITS_PER_MB
        world.links.bytes_per_s_by_name[name] = rate
    world.write_configuration()
    return world


async def _register_servers(world: ConfigurationWorld) -> None:
    for first in range(0, _SERVERS, _SERVERS_AT_ONCE):
        world.write_servers(first, first + _SERVERS_AT_ONCE)
        await asyncio.sleep(_REGISTRATION_INTERVAL_S)


async def _change_configuration(world: ConfigurationWorld) -> list[str]:
    watch = asyncio.create_task(world.watch())
    await world.storm(_CHANGES, _CHANGE_INTERVAL_S)
    await asyncio.sleep(_SETTLE_S)
    watch.cancel()
    missing = [
        f'{name} knows {len(instance.system_view.servers.server_by_id)} servers'
        for name, instance in world.instance_by_name.items()
        if len(instance.system_view.servers.server_by_id) < _SERVERS
    ]
    return world.problems + missing


async def _play_registration() -> list[str]:
    world = _world(_SEED)
    world.start(*_NAMES)
    await _register_servers(world)
    problems = await _change_configuration(world)
    world.stop()
    return problems


async def _play_loss_of_all() -> list[str]:
    world = _world(_SEED)
    world.start(*_NAMES)
    await _register_servers(world)
    await asyncio.sleep(_SETTLE_S)
    world.kill(*_NAMES)
    await asyncio.sleep(_DOWN_S)
    world.start(*_NAMES)
    problems = await _change_configuration(world)
    world.stop()
    return problems


def test_configuration_is_in_force_in_time_while_servers_register() -> None:
    """Guards against changes that wait behind the rows of new servers."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        assert not runner.run(_play_registration())


# Guards against CONFIG and RECOVER: instances that started at once got the rows
# of all servers again and again, in responses that came after their timeout.
def test_configuration_is_in_force_in_time_after_a_loss_of_all() -> None:
    """Changes the configuration from the moment at which all start again."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        assert not runner.run(_play_loss_of_all())
