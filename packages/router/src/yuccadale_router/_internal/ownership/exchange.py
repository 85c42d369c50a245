"""Transfer of slots between groups after a new declaration.

A slot is either owned in one row, or released: then the entry with the highest
number in any row's ``released`` names the only group that may adopt it. So two
groups that act on different declarations never adopt the same slot.

The releasing group first marks the slots as ``leaving``, in a write that is
confirmed: from then on no leader of that group grants them, even if a delayed
write puts an older row back. Only then it removes and releases them. A group
decides on one read of all rows.
"""

import asyncio
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

import numpy as np

from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import GroupId
from yuccadale_core.keys import slot_of_key
from yuccadale_core.mapping import GroupMap, build_group_map
from yuccadale_router._internal.contracts import Assignment, ServerState
from yuccadale_router._internal.ownership.grants import GRANT_TTL_WITH_MARGIN_MS
from yuccadale_router._internal.ownership.group_rows import (
    GroupRows,
    decode_group_rows,
)
from yuccadale_router._internal.ownership.leader_state import (
    LeaderState,
    wait_duration,
)
from yuccadale_router._internal.ownership.lease import LEASE_TERM_WITH_MARGIN_MS
from yuccadale_router._internal.ownership.moving import (
    candidates,
    wait_until_revoked,
)
from yuccadale_router._internal.ownership.pacing import sleep_jittered
from yuccadale_router._internal.ownership.recording import always, record
from yuccadale_router._internal.ownership.rows import (
    GroupRow,
    Release,
    encode_row,
)

IDLE_INTERVAL_MS = 1000
BUSY_INTERVAL_MS = 200
# Slots that are drained at the same time.
SLOTS_AT_ONCE = 64
# The lease and grants of a leader in a lost data centre expire within this.
LOST_CENTRE_WAIT_MS = LEASE_TERM_WITH_MARGIN_MS + GRANT_TTL_WITH_MARGIN_MS
ARRIVAL_CONFIRMATION_MS = 30_000
# A slot may be released to a group that a newer declaration does not name as
# owner. That group must adopt it and release it again, so it reads the rows for
# this long after each change of the declaration.
READ_AFTER_CHANGE_MS = 60_000
_REASON_ADOPTED = 'declared for this group'

_Value = TypeVar('_Value')


@dataclass(frozen=True, slots=True)
class DeclaredSlots:
    """One declaration and its mapping, for one round.

    A newer declaration can arrive while a round waits. A round that combined
    its lost data centres with the older mapping would release slots to the
    lost group itself, and no group would own them.
    """

    declaration: Declaration
    group_map: GroupMap

    def is_lost(self, group: GroupId) -> bool:
        """Says whether an operator declared the group's data centre lost."""
        centre = self.declaration.data_centre_by_name.get(group.data_centre)
        return centre is not None and centre.state == 'lost'


class _Schedule:
    """Decides when to read the rows, and which mapping to use."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._declaration: Declaration | None = None
        self._group_map = GroupMap([], np.zeros(0, dtype=np.int64))
        self._read_until = state.started_at
        self.interval_ms: float = IDLE_INTERVAL_MS

    def due_slots(self) -> DeclaredSlots | None:
        """Returns the declared mapping when a round is due, otherwise None."""
        state = self._state
        self.interval_ms = IDLE_INTERVAL_MS
        service = state.context.service(state.group)
        if service is None or not _may_exchange(state):
            return None
        now = state.context.clock()
        if self._declaration is not state.context.declaration:
            self._declaration = state.context.declaration
            self._read_until = now + READ_AFTER_CHANGE_MS
            # Built once for a declaration: 0.46 s for 544,000 slots.
            self._group_map = build_group_map(self._declaration, service)
        group_map = self._group_map
        wanted = now < self._read_until or _is_needed(state, group_map)
        if not group_map.groups or not wanted:
            return None
        self.interval_ms = BUSY_INTERVAL_MS
        return DeclaredSlots(self._declaration, group_map)


async def run_exchange(state: LeaderState) -> None:
    """Releases and adopts slots by the declaration until the leader ends."""
    schedule = _Schedule(state)
    while not state.ended.is_set():
        await sleep_jittered(schedule.interval_ms, state.context.rng)
        declared = schedule.due_slots()
        if declared is not None:
            await exchange_once(state, declared)


def resume_leaving(state: LeaderState) -> None:
    """Keeps slots that an earlier leader marked as leaving out of grants."""
    for slot in state.row.leaving:
        state.moving.add(slot)
        state.slot_tracker.target_by_slot[slot] = state.row.owner_by_slot[slot]


async def exchange_once(state: LeaderState, declared: DeclaredSlots) -> None:
    """Runs one round, on one read of all rows of the service."""
    read = await state.context.table.read_prefix(
        f'group/{state.group.service}/'
    )
    if read.is_error():
        return
    rows = decode_group_rows(read.ok)
    _update_other_groups(state, declared.group_map, rows)
    await _remove_arrived_entries(state, rows)
    # Later steps change this group's row, which makes the read outdated.
    if await _adopt_released(state, rows):
        # Adopting slots can take long, so the mapping may be outdated.
        return
    await _release_for_lost_centres(state, declared, rows)
    await _mark_leaving(state, declared.group_map)
    await _release_leaving(state)


def _may_exchange(state: LeaderState) -> bool:
    return (
        state.may_move()
        and not state.handing_over
        and not state.slot_tracker.undecided
        and not state.context.table.is_down()
    )


def _is_needed(state: LeaderState, group_map: GroupMap) -> bool:
    declared = set(group_map.slots_of_group(state.group))
    return bool(
        declared - state.row.owner_by_slot.keys()
        or _surplus(state, group_map)
        or state.row.released
    )


def _update_other_groups(
    state: LeaderState, group_map: GroupMap, rows: GroupRows
) -> None:
    """Updates which groups own the declared slots that this group lacks.

    Refusals name them to callers.
    """
    state.other_group_by_slot = {
        slot: owner
        for slot in group_map.slots_of_group(state.group)
        if slot not in state.row.owner_by_slot
        and (owner := rows.owner_group(slot)) is not None
    }


def _surplus(state: LeaderState, group_map: GroupMap) -> list[int]:
    """Returns owned slots that are declared for another group."""
    service = state.context.service(state.group)
    if service is None:
        return []
    return [
        slot
        for slot in sorted(state.row.owner_by_slot)
        if slot < service.slot_count
        and group_map.group_of_slot(slot) != state.group
    ]


async def _mark_leaving(state: LeaderState, group_map: GroupMap) -> None:
    """Drains, revokes and marks slots that are declared for another group."""
    chosen = [
        slot
        for slot in _surplus(state, group_map)
        if slot not in state.moving and not state.slot_tracker.is_held(slot)
    ][:SLOTS_AT_ONCE]
    if not chosen:
        return
    held = chosen + _pins_of(state, set(chosen))
    state.moving.update(held)
    await _drain(state, held)
    marked = {slot: group_map.group_of_slot(slot) for slot in chosen}
    marked.update({slot: state.group for slot in held if slot not in marked})
    recorded = await record(
        state,
        lambda row: replace(row, leaving={**row.leaving, **marked}),
        [],
        needs_table=always,
    )
    if not recorded:
        # The mark alone lets no group adopt the slots: serve them again.
        _resume_serving(state, held)


def _pins_of(state: LeaderState, slots: set[int]) -> list[int]:
    """Returns the pins whose keys belong to the slots."""
    service = state.context.service(state.group)
    if service is None:
        return []
    return [
        pin_slot
        for key, pin_slot in state.row.pins.items()
        if slot_of_key(key, service.slot_count) in slots
    ]


async def _drain(state: LeaderState, slots: Sequence[int]) -> None:
    """Waits for the slots' work to finish and revokes their grants."""
    await asyncio.gather(*(state.dispatcher.hold_slot(slot) for slot in slots))
    for slot in slots:
        owner = state.row.owner_by_slot[slot]
        state.slot_tracker.target_by_slot[slot] = owner
        state.trigger_grant(owner)
    for slot in slots:
        await wait_until_revoked(state, state.row.owner_by_slot[slot], slot)


def _resume_serving(state: LeaderState, slots: Iterable[int]) -> None:
    for slot in slots:
        state.moving.discard(slot)
        state.slot_tracker.target_by_slot.pop(slot, None)
        state.dispatcher.release_slot(slot)
    state.trigger_all_grants()


async def _release_leaving(state: LeaderState) -> None:
    """Removes marked slots from the row and names their next groups."""
    leaving = dict(state.row.leaving)
    if not leaving:
        return
    recorded = await record(
        state,
        lambda row: _without_slots(row, leaving, state.group),
        [],
        needs_table=always,
    )
    if not recorded:
        return
    for slot, next_group in leaving.items():
        state.moving.discard(slot)
        state.slot_tracker.target_by_slot.pop(slot, None)
        state.other_group_by_slot[slot] = next_group
        state.dispatcher.release_slot(slot)
    state.context.counters.count('ownership.slots_released', len(leaving))


def _without_slots(
    row: GroupRow, group_by_slot: Mapping[int, GroupId], group: GroupId
) -> GroupRow:
    """Returns the row without the slots.

    Slots of pins end; the others are released to their next groups.
    """
    released = {
        slot: Release(next_group, row.transfer_count_by_slot.get(slot, 0) + 1)
        for slot, next_group in group_by_slot.items()
        if next_group != group
    }
    return replace(
        row,
        owner_by_slot=_without_keys(row.owner_by_slot, group_by_slot),
        successor_by_slot=_without_keys(row.successor_by_slot, group_by_slot),
        pins={
            key: slot
            for key, slot in row.pins.items()
            if slot not in group_by_slot
        },
        leaving={},
        released={**row.released, **released},
        transfer_count_by_slot=_without_keys(
            row.transfer_count_by_slot, group_by_slot
        ),
    )


def _without_keys(
    value_by_slot: Mapping[int, _Value], slots: Container[int]
) -> dict[int, _Value]:
    return {
        slot: found
        for slot, found in value_by_slot.items()
        if slot not in slots
    }


async def _release_for_lost_centres(
    state: LeaderState, declared: DeclaredSlots, rows: GroupRows
) -> None:
    """Releases the slots of data centres that an operator declared lost.

    Their own leaders cannot. The row then names a leader outside its data
    centre, and so the adopting group first waits until the former leader's
    lease and grants have expired.
    """
    for group, row in rows.row_by_group.items():
        completed = _with_pending(row, rows.released_to(group))
        if not completed.owner_by_slot or not declared.is_lost(group):
            continue
        group_by_slot = _groups_after_loss(group, completed, declared.group_map)
        released = replace(
            _without_slots(completed, group_by_slot, group),
            term=row.term + 1,
            leader=state.context.me,
            standby=None,
        )
        if await _write_row_of_group(state, rows, group, released):
            state.context.counters.count(
                'ownership.lost_centre_slots', len(group_by_slot)
            )


def _with_pending(row: GroupRow, pending: Mapping[int, Release]) -> GroupRow:
    """Returns the row as if its group had adopted the slots released to it."""
    return replace(
        row,
        owner_by_slot={**dict.fromkeys(pending, ''), **row.owner_by_slot},
        transfer_count_by_slot={
            **row.transfer_count_by_slot,
            **_counts_of(pending),
        },
    )


def _counts_of(releases: Mapping[int, Release]) -> dict[int, int]:
    return {slot: entry.number for slot, entry in releases.items()}


def _groups_after_loss(
    group: GroupId, row: GroupRow, group_map: GroupMap
) -> dict[int, GroupId]:
    """Returns the next group of each slot.

    A leaving mark has precedence over the mapping: the slot may already have
    been released by it.
    """
    pins = set(row.pins.values())
    return {
        slot: group
        if slot in pins
        else row.leaving.get(slot, group_map.group_of_slot(slot))
        for slot in row.owner_by_slot
    }


async def _write_row_of_group(
    state: LeaderState, rows: GroupRows, group: GroupId, row: GroupRow
) -> bool:
    written = await state.context.table.write(
        group.row_name,
        encode_row(row),
        rows.version_by_group[group],
        f'{state.context.holder}/{group}/{rows.version_by_group[group]}',
    )
    return written.is_ok()


async def _adopt_released(state: LeaderState, rows: GroupRows) -> bool:
    """Adopts the slots released to this group; true if it tried.

    No other group may adopt them. So a slot that is now declared for another
    group is adopted as well, and released to that group later.
    """
    entries = _without_keys(
        rows.adoptable(state.group), state.row.owner_by_slot
    )
    usable = [
        candidate
        for candidate in candidates(state)
        if candidate.state == ServerState.live
    ]
    if not entries or not usable:
        return False
    if rows.from_lost_centre(entries):
        await wait_duration(state, LOST_CENTRE_WAIT_MS)
    assignment = state.placement.assign(sorted(entries), usable)
    if not await record(
        state,
        lambda row: _with_slots(row, assignment, _counts_of(entries)),
        [],
        needs_table=always,
    ):
        return True
    for slot, owner in assignment.owner_by_slot.items():
        state.slot_tracker.begin_tenure(slot, complete=False)
        state.slot_tracker.record_owner(
            slot, owner, state.token, _REASON_ADOPTED
        )
        state.other_group_by_slot.pop(slot, None)
    state.context.counters.count('ownership.slots_adopted', len(entries))
    state.trigger_all_grants()
    return True


def _with_slots(
    row: GroupRow, assignment: Assignment, number_by_slot: Mapping[int, int]
) -> GroupRow:
    return replace(
        row,
        owner_by_slot={**assignment.owner_by_slot, **row.owner_by_slot},
        successor_by_slot={
            **assignment.successor_by_slot,
            **row.successor_by_slot,
        },
        transfer_count_by_slot={**row.transfer_count_by_slot, **number_by_slot},
    )


async def _remove_arrived_entries(state: LeaderState, rows: GroupRows) -> None:
    """Removes release entries of slots that have arrived for certain."""
    arrived = _arrived(state, state.row, rows)
    if arrived:
        await record(
            state,
            lambda row: _without_entries(row, arrived),
            [],
            needs_table=always,
        )
    for group, row in rows.row_by_group.items():
        if row.leader.data_centre == group.data_centre:
            continue
        # No leader updates the row of a lost data centre.
        old_entries = _arrived(state, row, rows)
        if old_entries:
            await _write_row_of_group(
                state, rows, group, _without_entries(row, old_entries)
            )


def _arrived(state: LeaderState, row: GroupRow, rows: GroupRows) -> set[int]:
    """Returns the slots whose release entries in the row are not needed.

    A delayed write may replace the adopting group's row by an older one. So a
    slot must be owned there for ``ARRIVAL_CONFIRMATION_MS``.
    """
    now = state.context.clock()
    arrived = set()
    for slot, entry in row.released.items():
        release_key = (slot, entry.number)
        if rows.was_released_again(slot, entry.number):
            arrived.add(slot)
        elif not rows.has_arrived(slot, entry.number):
            state.arrival_seen_at.pop(release_key, None)
        elif (
            now - state.arrival_seen_at.setdefault(release_key, now)
            > ARRIVAL_CONFIRMATION_MS
        ):
            arrived.add(slot)
    return arrived


def _without_entries(row: GroupRow, slots: set[int]) -> GroupRow:
    return replace(row, released=_without_keys(row.released, slots))
