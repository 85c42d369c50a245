"""Slots that are transferred between groups have exactly one owner."""

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from dataclasses import dataclass
from types import MappingProxyType
from unittest import mock

import pytest

from tests.builders.exchange_world import SLOTS, ExchangeWorld
from yuccadale_router._internal.ownership import exchange
from yuccadale_router._internal.ownership.group_rows import GroupRows
from yuccadale_router._internal.ownership.rows import Release

SEQUENCES = 1500
_STEPS = 30
_WEIGHT_BY_ACTION = MappingProxyType(
    {
        'declare': 2,
        'learn': 5,
        'exchange': 12,
        'rewrite': 8,
        'replace': 6,
        'lose': 1,
    }
)
_WEIGHT_BY_OUTCOME = MappingProxyType(
    {'written': 6, 'answer lost': 4, 'not written': 1}
)


@dataclass(frozen=True)
class _Step:
    action: str
    index: int
    seed: int
    outcomes: tuple[str, ...]


def _random_steps(seed: int) -> list[_Step]:
    rng = random.Random(seed)
    begin = [_Step('declare', 0, seed, ())]
    begin += [_Step('learn', index, 0, ()) for index in range(3)]
    return begin + [
        _Step(
            action=_weighted(rng, _WEIGHT_BY_ACTION),
            index=rng.randrange(3),
            seed=rng.randrange(1000),
            outcomes=tuple(
                _weighted(rng, _WEIGHT_BY_OUTCOME) for _ in range(3)
            ),
        )
        for _ in range(_STEPS)
    ]


def _weighted(rng: random.Random, weight_by_name: Mapping[str, int]) -> str:
    return rng.choices(list(weight_by_name), list(weight_by_name.values()))[0]


async def _take_step(world: ExchangeWorld, step: _Step) -> None:
    if step.action == 'exchange':
        await world.exchange(step.index, step.outcomes)
    elif step.action == 'rewrite':
        await world.rewrite(step.index, step.outcomes)
    else:
        _change(world, step)


def _change(world: ExchangeWorld, step: _Step) -> None:
    change_by_action = {
        'declare': lambda: world.declare(step.seed),
        'learn': lambda: world.learn(step.index),
        'replace': lambda: world.replace_leader(step.index),
        'lose': lambda: world.lose_centre(step.index, step.seed),
    }
    change_by_action[step.action]()


def _misplaced(world: ExchangeWorld) -> str:
    for slot in range(SLOTS):
        owners = [
            leader.group for leader in world.leaders if slot in leader.serving()
        ]
        if owners != [world.group_map.group_of_slot(slot)]:
            return f'slot {slot} is at {owners}'
    return ''


async def _violation(steps: list[_Step]) -> str:
    world = ExchangeWorld()
    for step in steps:
        await _take_step(world, step)
        twice = world.served_by_two_groups()
        if twice:
            return f'slots {twice} have two owners'
    await world.converge()
    return _misplaced(world)


def first_violation(sequences: int) -> tuple[int, str] | None:
    """Returns the first seed that breaks an invariant, and how."""
    for seed in range(sequences):
        violation = asyncio.run(_violation(_random_steps(seed)))
        if violation:
            return seed, violation
    return None


def test_each_slot_has_one_owner_and_arrives() -> None:
    """Guards against slots that two groups own, or none."""
    assert first_violation(SEQUENCES) is None


def _without_mark() -> AbstractContextManager[object]:
    """A new leader grants slots although they may have been released."""
    return mock.patch(
        'tests.builders.exchange_world.exchange.resume_leaving',
        lambda state: None,
    )


def _without_numbers() -> AbstractContextManager[object]:
    """Every release counts, although a newer one names another group."""

    def released_to(rows: GroupRows, group: object) -> dict[int, Release]:
        return {
            slot: entry
            for row in rows.row_by_group.values()
            for slot, entry in row.released.items()
            if entry.group == group
        }

    return mock.patch.object(GroupRows, 'released_to', released_to)


def _without_arrival_time() -> AbstractContextManager[object]:
    """An entry is removed once the slot was seen in the next group's row."""
    return mock.patch.object(exchange, 'ARRIVAL_CONFIRMATION_MS', -1)


@pytest.mark.parametrize(
    'remove_rule',
    [_without_mark, _without_numbers, _without_arrival_time],
)
def test_missing_rule_is_found(
    remove_rule: Callable[[], AbstractContextManager[object]],
) -> None:
    """Guards against random steps that do not detect a missing rule."""
    with remove_rule():
        assert first_violation(SEQUENCES) is not None
