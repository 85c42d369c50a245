"""Pins: separate slots for the keys with the most work."""

from collections.abc import Mapping
from dataclasses import replace

from yuccadale_core.declaration import Service
from yuccadale_core.keys import slot_of_key
from yuccadale_router._internal.ownership.leader_state import LeaderState
from yuccadale_router._internal.ownership.recording import always, record
from yuccadale_router._internal.ownership.rows import GroupRow

PIN_LIMIT = 64
# A pin is removed after its key was not proposed for this many rounds.
IDLE_ROUNDS = 30


def effective_slot(row: GroupRow, slot: int, key: str) -> int:
    """Returns the slot of the key's pin, or ``slot`` when it has none."""
    return row.pins.get(key, slot) if row.pins else slot


async def update_pins(state: LeaderState) -> None:
    """Pins one hot key, or removes one unused pin."""
    service = state.context.service(state.group)
    if service is None or not state.may_move():
        return
    if state.context.table.is_down() or state.handing_over:
        return
    hot_keys = set(state.placement.keys_to_pin())
    rounds_by_pin = state.idle_rounds_by_pin
    for pinned in state.row.pins:
        idle = rounds_by_pin.get(pinned, 0) + 1
        rounds_by_pin[pinned] = 0 if pinned in hot_keys else idle
    new_keys = sorted(hot_keys - state.row.pins.keys())
    idle_keys = [
        key
        for key, idle_rounds in rounds_by_pin.items()
        if key in state.row.pins and idle_rounds >= IDLE_ROUNDS
    ]
    if new_keys and len(state.row.pins) < PIN_LIMIT:
        base_slot = slot_of_key(new_keys[0], service.slot_count)
        await _add_pin(state, new_keys[0], base_slot)
    elif idle_keys:
        await _remove_pin(state, idle_keys[0], service)


async def _add_pin(state: LeaderState, key: str, base_slot: int) -> None:
    """Gives a key its own slot, at first on the server of its base slot.

    Work for the key under the base slot must be finished first: otherwise it
    would still run on that server after the pin has moved.
    """
    owner = state.row.owner_by_slot.get(base_slot)
    if owner is None or not _is_available(state, base_slot):
        return
    service = state.context.service(state.group)
    if service is None:
        return
    pin_slot = next(
        number
        for number in range(
            service.slot_count, service.slot_count + PIN_LIMIT + 1
        )
        if number not in state.row.owner_by_slot
    )
    state.moving.add(base_slot)
    await state.dispatcher.hold_slot(base_slot)
    if state.row.owner_by_slot.get(base_slot) == owner:
        await record(
            state,
            lambda row: _with_pin(row, key, base_slot, pin_slot),
            [],
            needs_table=always,
        )
    if key in state.row.pins:
        state.slot_tracker.copy_tenure(base_slot, pin_slot)
        state.slot_tracker.record_owner(pin_slot, owner, state.token, 'pinned')
    state.moving.discard(base_slot)
    state.trigger_grant(owner)
    state.dispatcher.release_slot(base_slot)


async def _remove_pin(state: LeaderState, key: str, service: Service) -> None:
    """Returns a key to its base slot, once both are on one server."""
    pin_slot = state.row.pins[key]
    base_slot = slot_of_key(key, service.slot_count)
    owners = state.row.owner_by_slot
    if not (_is_available(state, pin_slot) and _is_available(state, base_slot)):
        return
    if owners.get(pin_slot) != owners.get(base_slot):
        state.returning_pins[pin_slot] = owners[base_slot]
        return
    state.moving.update({pin_slot, base_slot})
    await state.dispatcher.hold_slot(pin_slot)
    if owners.get(pin_slot) == state.row.owner_by_slot.get(base_slot):
        await record(
            state,
            lambda row: _without_pin(row, key),
            [],
            needs_table=always,
        )
    if key not in state.row.pins:
        state.idle_rounds_by_pin.pop(key, None)
        state.returning_pins.pop(pin_slot, None)
    state.moving.difference_update({pin_slot, base_slot})
    state.dispatcher.release_slot(pin_slot)


def _is_available(state: LeaderState, slot: int) -> bool:
    return slot not in state.moving and not state.slot_tracker.is_held(slot)


def _with_pin(
    row: GroupRow, key: str, base_slot: int, pin_slot: int
) -> GroupRow:
    owner_by_slot = dict(row.owner_by_slot)
    owner_by_slot[pin_slot] = owner_by_slot[base_slot]
    successor_by_slot = dict(row.successor_by_slot)
    successor = successor_by_slot.get(base_slot)
    if successor is not None:
        successor_by_slot[pin_slot] = successor
    return replace(
        row,
        owner_by_slot=owner_by_slot,
        successor_by_slot=successor_by_slot,
        pins={**row.pins, key: pin_slot},
    )


def _without_pin(row: GroupRow, key: str) -> GroupRow:
    pins = dict(row.pins)
    pin_slot = pins.pop(key)
    return replace(
        row,
        owner_by_slot=_without(row.owner_by_slot, pin_slot),
        successor_by_slot=_without(row.successor_by_slot, pin_slot),
        pins=pins,
    )


def _without(name_by_slot: Mapping[int, str], slot: int) -> dict[int, str]:
    names = dict(name_by_slot)
    names.pop(slot, None)
    return names
