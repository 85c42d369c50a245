"""Forced and planned moves of slots, successors and group members.

A forced move takes a slot from a lost server to its committed successor, also
while the table is unavailable. A planned move takes a slot from one responding
server to another, after the old owner's grant was revoked.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from yuccadale_core.instances import ServerRef
from yuccadale_core.messages import ProbeRequest, SlotMove
from yuccadale_router._internal.contracts import (
    Assignment,
    Candidate,
    MoveProposal,
    ServerState,
)
from yuccadale_router._internal.ownership.activation import (
    decide_owners,
    with_decisions,
)
from yuccadale_router._internal.ownership.grants import GRANT_TTL_WITH_MARGIN_MS
from yuccadale_router._internal.ownership.leader_state import (
    LeaderState,
    Origin,
    wait_duration,
    wait_until,
)
from yuccadale_router._internal.ownership.recording import always, record
from yuccadale_router._internal.ownership.rows import (
    MAX_SERVERS,
    GroupRow,
    encode_row,
    move_slot,
)

PLANNED_MOVES_AT_ONCE = 4
SUCCESSOR_WAIT_MS = 3000
REVOKE_WAIT_MS = 3000
RECORD_PAUSE_MS = 200
_REASON_LOST = 'server lost'
_REASON_QUERY = 'found at the successor'


def candidates(state: LeaderState) -> list[Candidate]:
    """Returns the group's servers as placement sees them."""
    return [
        Candidate(server.name, server.rack, server_state(state, server.name))
        for server in state.row.server_by_name.values()
    ]


def server_state(state: LeaderState, server_name: str) -> ServerState:
    """Returns the state of a server as placement sees it."""
    listed = state.listed_servers().get(server_name)
    if state.membership.is_suspected(server_name):
        return ServerState.lost
    if (
        state.membership.of_server(server_name).draining
        or (listed is not None and listed.leaving)
        or (listed is None and state.context.listed is not None)
    ):
        return ServerState.draining
    if not accepts_slots(state, server_name):
        return ServerState.joining
    return ServerState.live


def accepts_slots(state: LeaderState, server_name: str) -> bool:
    """Says whether a server may be given slots of another one now.

    A restarted process does not know which grants an earlier leader extended
    on the answers of the old process. So it gets no new slots until one grant
    lifetime after it was first seen.
    """
    if state.membership.is_suspected(server_name):
        return False
    if not state.checks_grants:
        return True
    grants = state.ledger.of_server(server_name)
    if math.isinf(grants.first_accepted_at):
        return False
    if grants.previous_grant is not None:
        return True
    return (
        state.context.clock()
        >= grants.incarnation_seen_at + GRANT_TTL_WITH_MARGIN_MS
    )


def request_probes(state: LeaderState) -> None:
    """Asks the standby to confirm the silence of servers."""
    standby = state.standby
    if standby is None:
        return
    for server in state.row.server_by_name.values():
        number = state.membership.next_probe(server.name)
        if number is not None:
            state.context.peers.send(
                standby.name,
                ProbeRequest(state.group, server.name, server.address, number),
            )


async def activate_decided_slots(state: LeaderState) -> None:
    """Activates undecided slots once the servers' reports name the owner."""
    if not state.slot_tracker.undecided or not state.may_move():
        return
    decided = decide_owners(state)
    if not decided:
        return
    changed = {
        slot: owner
        for slot, owner in decided.items()
        if state.row.owner_by_slot[slot] != owner
    }
    if changed and not await record(
        state,
        lambda row: with_decisions(row, changed),
        _move_records(state, changed, _REASON_QUERY),
        needs_table=always,
    ):
        return
    for moved_slot, new_owner in changed.items():
        state.slot_tracker.record_owner(
            moved_slot, new_owner, state.token, _REASON_QUERY
        )
        old_owner = state.row.successor_by_slot[moved_slot]
        state.placement.record_move(moved_slot, old_owner, new_owner)
    state.slot_tracker.undecided.difference_update(decided)
    state.log.queue_row(encode_row(state.row), [], committed=not state.dirty)
    state.replication_wanted.set()
    state.trigger_all_grants()


async def move_lost_slots(state: LeaderState) -> None:
    """Moves the slots of lost servers to their committed successors."""
    if not state.may_move() or not _earlier_rights_expired(state):
        return
    needs_probe = state.row.standby is not None
    for server_name in list(state.row.server_by_name):
        lost = state.membership.is_lost(server_name, needs_probe=needs_probe)
        if lost:
            await _move_slots_of_lost(state, server_name)
        elif not state.membership.is_suspected(server_name):
            state.lost_servers.discard(server_name)


async def move_planned(state: LeaderState, proposal: MoveProposal) -> None:
    """Moves one slot from its owner to another server that responds."""
    slot = proposal.slot
    old_owner = state.row.owner_by_slot[slot]
    await state.dispatcher.hold_slot(slot)
    if state.ended.is_set() or not _is_still_wanted(state, proposal, old_owner):
        state.dispatcher.release_slot(slot)
        return
    state.slot_tracker.target_by_slot[slot] = proposal.new_owner
    state.trigger_grant(old_owner)
    await wait_until_revoked(state, old_owner, slot)
    while not state.ended.is_set():
        target = _reachable_target(state, slot)
        if await _record_moves(state, {slot: target}, proposal.reason):
            return
        await wait_duration(state, RECORD_PAUSE_MS)


async def wait_until_revoked(
    state: LeaderState, old_owner: str, slot: int
) -> None:
    """Waits until the old owner holds no valid grant with the slot.

    The end of the last grant limits the wait, unless the task is paused.
    """
    grants = state.ledger.of_server(old_owner)

    def has_expired() -> bool:
        return grants.slot_expires_at(slot) <= state.context.clock()

    while not (state.ended.is_set() or has_expired()):
        await wait_until(has_expired, state, REVOKE_WAIT_MS)


async def finish_interrupted_moves(state: LeaderState) -> None:
    """Records forced moves again whose first record failed.

    The standby may have received the move, so the slot must not return to the
    old owner without another record.
    """
    if not state.may_move():
        return
    unfinished = {
        slot: state.row.successor_by_slot.get(slot, target)
        for slot, target in state.slot_tracker.target_by_slot.items()
        if slot in state.forced_slots and _grants_expired(state, slot)
    }
    if unfinished:
        await _record_moves(state, unfinished, _REASON_LOST)


def planned_moves(state: LeaderState) -> list[MoveProposal]:
    """Returns the moves that may start now."""
    if (
        not state.may_move()
        or state.handing_over
        or state.slot_tracker.undecided
        or state.context.table.is_down()
    ):
        return []
    room = PLANNED_MOVES_AT_ONCE - len(state.moving)
    if room <= 0:
        return []
    assignment = Assignment(
        state.row.owner_by_slot, state.row.successor_by_slot
    )
    returning = [
        MoveProposal(slot, owner, 'pin ends', 0)
        for slot, owner in state.returning_pins.items()
    ]
    proposals = state.placement.propose(assignment, candidates(state))
    return [
        proposal
        for proposal in (*returning, *proposals)
        if proposal.slot not in state.moving
        and not state.slot_tracker.is_held(proposal.slot)
        and _is_allowed(state, proposal)
    ][:room]


async def update_successors(state: LeaderState) -> None:
    """Replaces successors by those that placement chooses now."""
    if not state.may_move() or state.context.table.is_down():
        return
    wanted = state.placement.successors(
        state.row.owner_by_slot,
        state.row.successor_by_slot,
        candidates(state),
    )
    changes = _allowed_changes(state, wanted)
    if not changes:
        return
    for slot, name in changes.items():
        state.other_successors.setdefault(slot, set()).add(name)
    restricted = await wait_until(
        _all_restricted(state, changes), state, SUCCESSOR_WAIT_MS
    )
    if restricted and await record(
        state,
        # Checked again under the lock: the token may have changed during the
        # wait, and the old successor must have accepted the current one.
        lambda row: _with_successors(row, _allowed_changes(state, changes)),
        [],
        needs_table=always,
    ):
        state.context.counters.count('ownership.successors_changed')
        state.other_successors.clear()


async def update_members(state: LeaderState) -> None:
    """Adds new servers, updates addresses and drops servers that left."""
    listed = state.listed_servers()
    if not listed or not state.may_move() or state.context.table.is_down():
        return
    in_use = {
        *state.row.owner_by_slot.values(),
        *state.row.successor_by_slot.values(),
    }
    server_by_name = {
        name: server
        for name, server in state.row.server_by_name.items()
        if name in listed or name in in_use
    }
    for name, entry in listed.items():
        known = server_by_name.get(name)
        if known is not None or not entry.leaving:
            server_by_name[name] = entry.ref
    if server_by_name == state.row.server_by_name:
        return
    if len(server_by_name) <= MAX_SERVERS:
        await _record_members(state, server_by_name)


async def _record_members(
    state: LeaderState, server_by_name: dict[str, ServerRef]
) -> None:
    added = server_by_name.keys() - state.row.server_by_name.keys()
    if not await record(
        state,
        lambda row: replace(row, server_by_name=server_by_name),
        [],
        needs_table=always,
    ):
        return
    for name in added:
        state.dispatcher.server_added(server_by_name[name], cold=True)
    state.members_changed.set()


async def _move_slots_of_lost(state: LeaderState, server_name: str) -> None:
    if server_name not in state.lost_servers:
        state.lost_servers.add(server_name)
        state.dispatcher.server_lost(server_name)
        state.context.counters.count('ownership.server_lost')
    targets = _forced_targets(state, server_name)
    state.slot_tracker.target_by_slot.update(targets)
    state.forced_slots.update(targets)
    if not state.checks_grants:
        await _hold_all(state, targets)
    # The successor may have been replaced while the slots were held.
    ready = {
        slot: successor
        for slot, successor in targets.items()
        if _grants_expired(state, slot)
        and state.row.successor_by_slot.get(slot) == successor
    }
    if ready:
        await _record_moves(state, ready, _REASON_LOST)


def _forced_targets(state: LeaderState, server_name: str) -> dict[int, str]:
    """Returns the committed successors that can take over slots now.

    A slot of a lost server may go to no other server.
    """
    return {
        slot: state.row.successor_by_slot[slot]
        for slot in state.slots_of(server_name)
        if slot in state.row.successor_by_slot
        and slot not in state.moving
        and slot not in state.slot_tracker.undecided
        and accepts_slots(state, state.row.successor_by_slot[slot])
    }


async def _hold_all(state: LeaderState, slots: Iterable[int]) -> None:
    for slot in slots:
        await state.dispatcher.hold_slot(slot)


async def _record_moves(
    state: LeaderState, target_by_slot: dict[int, str], reason: str
) -> bool:
    """Records moves, then grants the slots to their new owners."""
    old_owner_by_slot = {
        slot: state.row.owner_by_slot[slot] for slot in target_by_slot
    }
    recorded = await record(
        state,
        lambda row: _checked_moves(state, row, target_by_slot),
        _move_records(state, target_by_slot, reason),
        needs_table=lambda row: any(
            row.successor_by_slot.get(slot) != target
            or _must_be_in_table(state, slot)
            for slot, target in target_by_slot.items()
        ),
    )
    if not recorded:
        return False
    for slot, target in target_by_slot.items():
        state.moved_at[slot] = state.context.clock()
        state.slot_tracker.target_by_slot.pop(slot, None)
        state.forced_slots.discard(slot)
        state.slot_tracker.record_owner(slot, target, state.token, reason)
        state.placement.record_move(slot, old_owner_by_slot[slot], target)
        state.usable_slots.discard(slot)
        if not state.checks_grants:
            state.dispatcher.release_slot(slot)
        state.trigger_grant(target)
    state.context.counters.count('ownership.slots_moved', len(target_by_slot))
    return True


def _must_be_in_table(state: LeaderState, slot: int) -> bool:
    """Whether a move must be in the table before it takes effect.

    Servers that do not check grants cannot report who owns a slot, so the
    table has to know their planned moves.
    """
    return not state.checks_grants and slot not in state.forced_slots


def _is_fenced(state: LeaderState, slot: int) -> bool:
    """Whether the owner refuses every lower token by now.

    Until it has accepted the current token, a former standby with a
    provisional token may grant it a slot again after a confirmed revoke.
    """
    grants = state.ledger.of_server(state.owner(slot))
    return not state.checks_grants or math.isfinite(grants.first_accepted_at)


def _checked_moves(
    state: LeaderState, row: GroupRow, target_by_slot: dict[int, str]
) -> GroupRow | None:
    """Returns the row after the moves, or None when one is not allowed."""
    for slot, target in target_by_slot.items():
        to_successor = row.successor_by_slot.get(slot) == target
        if not (to_successor or _is_fenced(state, slot)):
            return None
    return _with_moves(row, target_by_slot)


def _with_moves(row: GroupRow, target_by_slot: dict[int, str]) -> GroupRow:
    for slot, target in target_by_slot.items():
        if row.owner_by_slot[slot] != target:
            row = move_slot(row, slot, target)
    return row


def _allowed_changes(
    state: LeaderState, changes: Mapping[int, str]
) -> dict[int, str]:
    return {
        slot: name
        for slot, name in changes.items()
        if _may_replace_successor(state, slot, name)
    }


def _with_successors(row: GroupRow, changes: dict[int, str]) -> GroupRow:
    allowed = {
        slot: name
        for slot, name in changes.items()
        if row.owner_by_slot[slot] != name
    }
    return replace(row, successor_by_slot={**row.successor_by_slot, **allowed})


def _move_records(
    state: LeaderState, target_by_slot: dict[int, str], reason: str
) -> list[SlotMove]:
    return [
        SlotMove(slot, state.row.owner_by_slot[slot], target, reason)
        for slot, target in target_by_slot.items()
    ]


def _grants_expired(state: LeaderState, slot: int) -> bool:
    """Says whether the owner holds no grant of this leader with the slot."""
    owner = state.owner(slot)
    expires_at = state.ledger.of_server(owner).slot_expires_at(slot)
    return expires_at <= state.context.clock()


def _reachable_target(state: LeaderState, slot: int) -> str:
    """Returns where a revoked slot goes.

    While the table is down, or before the old owner refuses lower tokens, only
    the committed successor is possible.
    """
    target = state.slot_tracker.target_by_slot[slot]
    successor = state.row.successor_by_slot.get(slot)
    if state.context.table.is_down() or not _is_fenced(state, slot):
        choices = [successor]
    else:
        choices = [target, state.row.owner_by_slot[slot], successor]
    for server_name in choices:
        if server_name is not None and accepts_slots(state, server_name):
            state.slot_tracker.target_by_slot[slot] = server_name
            break
    return state.slot_tracker.target_by_slot[slot]


def _is_still_wanted(
    state: LeaderState, proposal: MoveProposal, old_owner: str
) -> bool:
    return (
        state.may_move()
        and not state.slot_tracker.is_held(proposal.slot)
        and state.row.owner_by_slot.get(proposal.slot) == old_owner
        and _is_allowed(state, proposal)
    )


def _is_allowed(state: LeaderState, proposal: MoveProposal) -> bool:
    owner = state.row.owner_by_slot.get(proposal.slot)
    if owner is None or owner == proposal.new_owner:
        return False
    return (
        proposal.new_owner in state.row.server_by_name
        and accepts_slots(state, proposal.new_owner)
        and not state.membership.is_suspected(owner)
    )


def _may_replace_successor(state: LeaderState, slot: int, name: str) -> bool:
    """Says whether no valid grant relies on the old successor's answers.

    The old successor has accepted the current token, so it answers no leader
    with a lower one, or the platform's list dropped it. One grant lifetime
    later every grant that relied on its earlier answers has expired, whatever
    instances with lower tokens do.
    """
    owner = state.row.owner_by_slot.get(slot)
    old = state.row.successor_by_slot.get(slot)
    if name in {old, owner} or slot in state.moving:
        return False
    if state.slot_tracker.is_held(slot) or not accepts_slots(state, name):
        return False
    if old is None or not state.checks_grants:
        return True
    return _ttl_has_passed(
        state, state.ledger.of_server(old).first_accepted_at
    ) or _is_long_unlisted(state, old)


def _is_long_unlisted(state: LeaderState, server_name: str) -> bool:
    """Whether the list has lacked a server for one grant lifetime."""
    listed = state.context.listed
    if listed is None or server_name in listed:
        state.unlisted_since.pop(server_name, None)
        return False
    return _ttl_has_passed(
        state,
        state.unlisted_since.setdefault(server_name, state.context.clock()),
    )


def _ttl_has_passed(state: LeaderState, since: float) -> bool:
    return state.context.clock() >= since + GRANT_TTL_WITH_MARGIN_MS


def _all_restricted(
    state: LeaderState, slots: Iterable[int]
) -> Callable[[], bool]:
    """Returns a check that only grants sent from now on are valid."""
    since = state.context.clock()
    return lambda: all(_is_restricted(state, slot, since) for slot in slots)


def _is_restricted(state: LeaderState, slot: int, since: float) -> bool:
    """Whether the new successor limits all grants that the owner holds."""
    owner = state.owner(slot)
    return all(
        grant.sent_at > since
        for grant in state.ledger.of_server(owner).sent
        if slot in grant.slots and grant.expires_at > state.context.clock()
    )


def _earlier_rights_expired(state: LeaderState) -> bool:
    """Whether all rights that an earlier leader gave have expired.

    After a handover its grants may last until the end of the lease that it
    gave up. Servers that do not check grants work on the earlier leader's
    requests until their deadlines.
    """
    if state.initial.origin == Origin.created:
        return True
    if state.checks_grants:
        return state.initial.origin != Origin.handed_over or _ttl_has_passed(
            state, state.started_at
        )
    service = state.context.service(state.group)
    if service is None:
        return False
    kinds = service.kind_by_name.values()
    longest_ms = max(
        service.deadline_ms, *(kind.deadline_ms for kind in kinds), 0
    )
    waited_ms = state.context.clock() - state.started_at
    return waited_ms >= longest_ms
