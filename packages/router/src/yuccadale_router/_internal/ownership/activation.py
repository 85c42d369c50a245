"""What a new leader learns from the servers: tenures and owners (R7)."""

import math

from yuccadale_core.targets import GrantAnswer, LastGrant
from yuccadale_router._internal.ownership.leader_state import (
    LeaderState,
    Origin,
)
from yuccadale_router._internal.ownership.rows import GroupRow, move_slot


def begin_slots(state: LeaderState) -> None:
    """Starts the tenures; a leader without state waits for reports."""
    complete = state.start.origin in {Origin.created, Origin.handed_over}
    for slot, owner in state.row.owner_by_slot.items():
        state.book.begin_tenure(
            slot, complete=complete and slot not in state.start.incomplete
        )
        state.book.record(slot, owner, state.token, state.start.origin.value)
    for move in state.start.moves:
        state.book.record(move.slot, move.new_server, state.token, move.reason)
    if state.start.origin == Origin.unknown and state.checks_grants:
        state.book.waiting.update(state.row.owner_by_slot)
    state.book.waiting.update(state.start.unconfirmed)


def take_report(
    state: LeaderState, server_name: str, answer: GrantAnswer
) -> None:
    """Takes a server's first report on the grants of an earlier leader."""
    grants = state.ledger.of_server(server_name)
    if server_name in state.reports:
        _renew_report(state, server_name, answer.last_grant)
        return
    state.reports[server_name] = answer.last_grant
    grants.previous_grant = answer.last_grant
    if state.start.origin == Origin.replicated:
        _inherit_tenures(state, server_name, answer.last_grant)


def decide_waiting_slots(state: LeaderState) -> dict[int, str]:
    """Returns the owner of each waiting slot that the reports settle.

    Owner and successor must both have reported, unless the platform's list
    dropped the server.
    """
    decided: dict[int, str] = {}
    for slot in state.book.waiting:
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


def _renew_report(
    state: LeaderState, server_name: str, report: LastGrant | None
) -> None:
    """Takes a later grant of another leader, made before ours was known."""
    if report is not None and report.holder != state.context.holder:
        state.reports[server_name] = report


def _has_reported(state: LeaderState, server_name: str) -> bool:
    grants = state.ledger.of_server(server_name)
    # Before it accepted the present token, a lower one may still change it.
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
        # The move was recorded at the standby alone, under the token of the
        # row's leader; an older report is from before the row.
        return at_successor.token >= state.row_token_before
    return _age_key(at_successor) > _age_key(at_owner)


def _age_key(report: LastGrant) -> tuple[int, int]:
    return report.token, report.sequence


def _inherit_tenures(
    state: LeaderState, server_name: str, report: LastGrant | None
) -> None:
    predecessor = state.start.predecessor
    if report is None or report.gap or predecessor is None:
        return
    holder = f'{predecessor.name}/{predecessor.incarnation}'
    if report.holder != holder:
        return
    for slot in state.slots_of(server_name):
        if slot not in state.start.incomplete:
            state.book.begin_tenure(slot, complete=True)
