"""How a new leader determines tenures and slot owners.

A leader without replicated state asks the servers which grants they hold,
because the row may lack moves that only the lost leader and standby knew.
"""

import math

from yuccadale_core.targets import GrantAnswer, LastGrant
from yuccadale_router._internal.ownership.leader_state import (
    LeaderState,
    Origin,
)
from yuccadale_router._internal.ownership.rows import GroupRow, move_slot


def initialize_slots(state: LeaderState) -> None:
    """Starts the tenures; marks slots as undecided without replicated state."""
    complete = state.initial.origin in {Origin.created, Origin.handed_over}
    for slot, owner in state.row.owner_by_slot.items():
        state.slot_tracker.begin_tenure(
            slot, complete=complete and slot not in state.initial.incomplete
        )
        state.slot_tracker.record_owner(
            slot, owner, state.token, state.initial.origin.value
        )
    for move in state.initial.moves:
        state.slot_tracker.record_owner(
            move.slot, move.new_server, state.token, move.reason
        )
    if state.initial.origin == Origin.unknown and state.checks_grants:
        state.slot_tracker.undecided.update(state.row.owner_by_slot)
    state.slot_tracker.undecided.update(state.initial.unconfirmed)


def handle_report(
    state: LeaderState, server_name: str, answer: GrantAnswer
) -> None:
    """Handles a server's report on an earlier leader's grant."""
    grants = state.ledger.of_server(server_name)
    if server_name in state.reports:
        _update_report(state, server_name, answer.last_grant)
        return
    state.reports[server_name] = answer.last_grant
    grants.previous_grant = answer.last_grant
    if state.initial.origin == Origin.replicated:
        _inherit_tenures(state, server_name, answer.last_grant)


def decide_owners(state: LeaderState) -> dict[int, str]:
    """Returns the owners of the undecided slots that can be decided now.

    Both the row's owner and its successor must have reported, or be missing
    from the platform's list.
    """
    decided: dict[int, str] = {}
    for slot in state.slot_tracker.undecided:
        owner = state.row.owner_by_slot[slot]
        successor = state.row.successor_by_slot.get(slot, owner)
        if not all(_has_reported(state, name) for name in (owner, successor)):
            continue
        moved = _moved_to_successor(state, slot, owner, successor)
        decided[slot] = successor if moved else owner
    return decided


def with_decisions(row: GroupRow, owner_by_slot: dict[int, str]) -> GroupRow:
    """Returns the row with the decided owners."""
    for slot, owner in owner_by_slot.items():
        if row.owner_by_slot.get(slot, owner) != owner:
            row = move_slot(row, slot, owner)
    return row


def _update_report(
    state: LeaderState, server_name: str, report: LastGrant | None
) -> None:
    """Replaces a report by a later one on another leader's grant.

    That leader may grant until the server knows this leader's token.
    """
    if report is not None and report.holder != state.context.holder:
        state.reports[server_name] = report


def _has_reported(state: LeaderState, server_name: str) -> bool:
    grants = state.ledger.of_server(server_name)
    # Until it accepts the current token, a leader with a lower one may
    # still change its grant.
    if server_name in state.reports and grants.first_accepted_at < math.inf:
        return True
    listed = state.context.listed
    return listed is not None and server_name not in listed


def _moved_to_successor(
    state: LeaderState, slot: int, owner: str, successor: str
) -> bool:
    at_owner = state.reports.get(owner)
    at_successor = state.reports.get(successor)
    if at_successor is None or slot not in at_successor.slots:
        return False
    if at_owner is None or slot not in at_owner.slots:
        # The move was recorded at the standby only, under the token of the
        # row's leader. A report with a lower token is older than the row.
        return at_successor.token >= state.row_token_before
    return _age_key(at_successor) > _age_key(at_owner)


def _age_key(report: LastGrant) -> tuple[int, int]:
    return report.token, report.sequence


def _inherit_tenures(
    state: LeaderState, server_name: str, report: LastGrant | None
) -> None:
    predecessor = state.initial.predecessor
    if report is None or report.gap or predecessor is None:
        return
    holder = f'{predecessor.name}/{predecessor.incarnation}'
    if report.holder != holder:
        return
    for slot in state.slots_of(server_name):
        if slot not in state.initial.incomplete:
            state.slot_tracker.begin_tenure(slot, complete=True)
