"""Every slot has one group; losing a data centre moves only its slots."""

import pytest

from yuccadale_core.declaration import DataCentre, Declaration, Service
from yuccadale_core.instances import GroupId
from yuccadale_core.mapping import build_group_map

_SERVICE = Service('ledger', slot_count=768, concurrency=2, connections=120)


def _declaration(**state_by_centre: str) -> Declaration:
    return Declaration(
        service_by_name={_SERVICE.name: _SERVICE},
        data_centre_by_name={
            name: DataCentre(name, 'region', state, {_SERVICE.name: 6})
            for name, state in state_by_centre.items()
        },
    )


def test_each_slot_has_exactly_one_group() -> None:
    """Guards against slots with no group or with two groups."""
    group_map = build_group_map(
        _declaration(east='live', west='live'), _SERVICE
    )
    owned = [
        slot
        for group in group_map.groups
        for slot in group_map.slots_of_group(group)
    ]
    assert sorted(owned) == list(range(_SERVICE.slot_count))


def test_lost_data_centre_moves_only_its_own_slots() -> None:
    """Guards against moves between data centres that remain."""
    before = build_group_map(
        _declaration(east='live', north='live', west='live'), _SERVICE
    )
    after = build_group_map(
        _declaration(east='live', north='lost', west='live'), _SERVICE
    )
    lost = GroupId(_SERVICE.name, 'north', 0)
    for slot in range(_SERVICE.slot_count):
        old_group = before.group_of_slot(slot)
        if old_group != lost:
            assert after.group_of_slot(slot) == old_group


@pytest.mark.parametrize('number', [0, 1, 2, 3])
def test_groups_share_a_data_centre_evenly(number: int) -> None:
    """Guards against a biased hash inside one data centre."""
    service = Service(
        'ledger',
        slot_count=8000,
        concurrency=2,
        connections=120,
        groups_per_data_centre=4,
    )
    group_map = build_group_map(_declaration(east='live'), service)
    share = len(group_map.slots_of_group(GroupId('ledger', 'east', number)))
    # Four standard deviations of a binomial share of a quarter of 8,000.
    assert abs(share - 2000) < 160
