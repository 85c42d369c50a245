"""Renewal of grants, in one task for each server of the group."""

import asyncio
import contextlib
import math

from expression import Result

from yuccadale_core.targets import (
    Grant,
    GrantAnswer,
    TargetFailure,
    TargetFailureKind,
)
from yuccadale_core.timing import GRANT_INTERVAL_MS, seconds
from yuccadale_router._internal.ownership.activation import handle_report
from yuccadale_router._internal.ownership.grants import (
    GRANT_TTL_WITH_MARGIN_MS,
    latest_ends,
)
from yuccadale_router._internal.ownership.leader_state import (
    LeaderState,
    Origin,
    call_server,
)

# Delay after an answer that requires another grant at once.
REPEAT_MS = 10
# Delay after a call without an answer. The server may be healthy behind a dead
# connection; a second call must be answered before it is suspected.
UNANSWERED_MS = 50
_REACHED_KINDS = frozenset(
    (
        TargetFailureKind.refused,
        TargetFailureKind.shedding,
        TargetFailureKind.draining,
        TargetFailureKind.malformed,
    )
)


async def run_server(state: LeaderState, server_name: str) -> None:
    """Renews a server's grant until it leaves the group."""
    trigger = state.grant_trigger(server_name)
    while not state.ended.is_set():
        if server_name not in state.row.server_by_name:
            return
        pause_ms = GRANT_INTERVAL_MS
        trigger.clear()
        if not state.handing_over and await contact(state, server_name):
            pause_ms = REPEAT_MS
        elif state.membership.silence_ms(server_name) > GRANT_INTERVAL_MS:
            pause_ms = UNANSWERED_MS
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(trigger.wait(), seconds(pause_ms))


async def contact(state: LeaderState, server_name: str) -> bool:
    """Sends one grant; true when the next one must follow at once.

    Without a ticket it requests one first. Servers that do not check grants
    only get a hello call.
    """
    if not state.checks_grants:
        _handle_result(state, server_name, await _say_hello(state, server_name))
        return False
    if state.ledger.of_server(server_name).ticket is None:
        hello_result = await _say_hello(state, server_name)
        _handle_result(state, server_name, hello_result)
        if hello_result.is_error():
            return False
        state.ledger.note_answer(server_name, hello_result.ok)
        handle_report(state, server_name, hello_result.ok)
    return await _offer_grant(state, server_name)


def prepare_grant(state: LeaderState, server_name: str) -> Grant | None:
    """Makes the server's next grant; None without a ticket."""
    slots = [
        slot
        for slot in state.slots_of(server_name)
        if not state.slot_tracker.is_held(slot)
        and not _must_wait_after_restart(state, server_name, slot)
    ]
    lease_end = -math.inf if state.is_provisional else state.lease.valid_until
    answered_by_slot = {
        slot: _oldest_successor_answer(state, slot) for slot in slots
    }
    return state.ledger.prepare(
        server_name,
        latest_ends(slots, lease_end, answered_by_slot),
        _retained_slots(state, server_name),
    )


def _must_wait_after_restart(
    state: LeaderState, server_name: str, slot: int
) -> bool:
    """Whether a restarted server could serve a slot too early.

    An earlier leader may have extended the grant of the slot's former owner
    on the answers of the old process. The new process does not know of them,
    so that it would not wait for the end of that grant.
    """
    grants = state.ledger.of_server(server_name)
    seen_at = grants.incarnation_seen_at
    if state.context.clock() >= seen_at + GRANT_TTL_WITH_MARGIN_MS:
        return False
    if grants.previous_grant is not None:
        # It reported an earlier leader's grant, so it has not restarted.
        return False
    moved_at = state.moved_at.get(slot)
    if moved_at is not None:
        return moved_at >= seen_at - GRANT_TTL_WITH_MARGIN_MS
    if state.initial.origin == Origin.created:
        return False
    return seen_at < state.started_at + GRANT_TTL_WITH_MARGIN_MS


def _retained_slots(state: LeaderState, server_name: str) -> set[int]:
    """Returns slots without a grant that the server still reports as its own.

    A slot whose planned move is not recorded yet belongs to its old owner.
    An undecided slot belongs to the server that reported it.
    """
    report = state.reports.get(server_name)
    reported = set(report.slots) if report is not None else set()
    not_granted = {
        slot
        for slot in state.slots_of(server_name)
        if slot in state.slot_tracker.target_by_slot
        or _must_wait_after_restart(state, server_name, slot)
    }
    return not_granted | (reported & state.slot_tracker.undecided)


async def _offer_grant(state: LeaderState, server_name: str) -> bool:
    grant = prepare_grant(state, server_name)
    if grant is None:
        return True
    answered = await call_server(state.target(server_name).grant(grant))
    _handle_result(state, server_name, answered)
    if answered.is_error() or state.ended.is_set():
        return False
    answer = answered.ok
    handle_report(state, server_name, answer)
    if not answer.accepted:
        state.ledger.note_answer(server_name, answer)
        return True
    state.ledger.note_accepted(server_name, grant, answer)
    _release_usable_slots(state, server_name)
    return grant.ttl_ms <= 0 and bool(grant.slots)


async def _say_hello(
    state: LeaderState, server_name: str
) -> Result[GrantAnswer, TargetFailure]:
    return await call_server(state.target(server_name).hello())


def _handle_result(
    state: LeaderState,
    server_name: str,
    answered: Result[GrantAnswer, TargetFailure],
) -> None:
    highest_token = 0
    if answered.is_ok():
        state.membership.answer_received(server_name)
        highest_token = answered.ok.highest_token
    elif answered.error.kind in _REACHED_KINDS:
        state.membership.answer_received(
            server_name,
            draining=answered.error.kind == TargetFailureKind.draining or None,
        )
        highest_token = answered.error.highest_token or 0
    if highest_token > state.token:
        state.end(f'{server_name} has accepted token {highest_token}')


def _oldest_successor_answer(state: LeaderState, slot: int) -> float:
    """Returns when the successor that answered longest ago was last called."""
    return min(
        (
            state.ledger.of_server(name).last_accepted_call_at
            for name in state.successors(slot)
        ),
        default=-math.inf,
    )


def _release_usable_slots(state: LeaderState, server_name: str) -> None:
    """Lets the dispatcher send queued work for slots that became usable."""
    for slot in state.slots_of(server_name):
        if not state.ledger.may_use(server_name, slot):
            state.usable_slots.discard(slot)
        elif slot not in state.usable_slots:
            state.usable_slots.add(slot)
            state.dispatcher.release_slot(slot)
