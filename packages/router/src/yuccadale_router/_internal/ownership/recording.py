"""Recording of changes: at the standby first, then in the table.

A change takes effect only after it is recorded, so that a takeover finds it.
"""

from collections.abc import Callable

from expression import Result

from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import RecordChange, SlotMove
from yuccadale_core.platform import Row, TableFailure, TableFailureKind
from yuccadale_core.timing import STANDBY_TIMEOUT_MS
from yuccadale_router._internal.ownership.leader_state import (
    LeaderState,
    with_standby,
)
from yuccadale_router._internal.ownership.rows import GroupRow, encode_row

RESEND_MS = 100
ACKNOWLEDGEMENT_LIMIT_MS = STANDBY_TIMEOUT_MS


def always(row: GroupRow) -> bool:
    """Requires a change to be in the table before it takes effect."""
    return True


async def record(
    state: LeaderState,
    change: Callable[[GroupRow], GroupRow | None],
    moves: list[SlotMove],
    *,
    needs_table: Callable[[GroupRow], bool],
) -> bool:
    """Records a change of the row; true once it may take effect.

    ``change`` returns None when the current state does not allow it. If
    ``needs_table`` returns false for the current row, the standby's
    acknowledgement suffices while the table is down.

    The standby receives the row before the table does, so that it never lags
    behind the table. After a failure the outcome is unknown: the caller keeps
    the slots out of all grants and retries.
    """
    async with state.lock:
        if not state.may_move() or state.standby_change_unresolved():
            return False
        row = change(state.row)
        if row is None:
            return False
        standby_suffices = row.standby is not None and not needs_table(
            state.row
        )
        if not await _replicate_row(state, row, moves):
            return False
        if standby_suffices and state.context.table.is_down():
            written_ok = False
        else:
            written = await state.write_row(row)
            if _is_conflict(written):
                state.end('another instance wrote the row')
            written_ok = written.is_ok()
        if not (written_ok or standby_suffices):
            return False
        _adopt(state, row, committed=written_ok)
        return state.may_move()


async def write_pending_row(state: LeaderState) -> bool:
    """Writes a row that only the standby has; false when that failed."""
    async with state.lock:
        if not state.dirty or state.is_provisional or state.ended.is_set():
            return True
        if state.standby_change_unresolved() or state.version is None:
            return False
        written = await state.write_row(state.row)
        if _is_conflict(written):
            state.end('another instance wrote the row')
        if written.is_ok():
            _adopt(state, state.row, committed=True)
        return written.is_ok()


async def renew_by_table(state: LeaderState) -> bool:
    """Renews the lease by a conditional write, for a row without standby."""
    async with state.lock:
        if state.ended.is_set() or state.row.standby is not None:
            return False
        if state.standby_change_unresolved():
            return False
        sent_at = state.context.clock()
        written = await state.write_row(state.row)
        if _is_conflict(written):
            state.end('another instance wrote the row')
        if written.is_ok():
            state.dirty = False
            state.lease.renew(sent_at)
        return written.is_ok()


async def change_standby(
    state: LeaderState, standby: InstanceRef | None
) -> bool:
    """Writes a row with another standby and term, and switches to it."""
    async with state.lock:
        if state.ended.is_set() or state.version is None:
            return False
        if not await _table_answers(state):
            return False
        state.lease.stop_extending()
        sent_at = state.context.clock()
        row = with_standby(
            state.row, state.context.me, standby, state.highest_term + 1
        )
        state.highest_term = row.term
        written = await state.write_row(row)
        if written.is_ok():
            state.dirty = False
            state.begin_term(row)
            if standby is None:
                state.lease.renew(sent_at)
            state.context.counters.count('ownership.standby_changed')
            return True
        if _is_conflict(written):
            state.end('another instance wrote the row')
        elif written.error.kind == TableFailureKind.unavailable:
            _revert_standby_change(state)
        return False


async def commit_provisional_takeover(
    state: LeaderState, row: GroupRow, version: int
) -> bool:
    """Writes the row of a takeover that happened while the table was down."""
    async with state.lock:
        state.version = version
        state.highest_term = max(state.highest_term, row.term)
        written = await state.write_row(row)
        if written.is_ok():
            state.dirty = False
            state.begin_term(row)
        # A conflict may come from an earlier write of this takeover, so the
        # caller reads the row again.
        return written.is_ok()


async def replicate_records(
    state: LeaderState, changes: list[RecordChange]
) -> bool:
    """Sends record changes; true once the standby acknowledged them."""
    serial = state.log.queue_records(changes)
    state.replication_wanted.set()
    return await _wait_acknowledged(state, serial)


async def run_replication(state: LeaderState) -> None:
    """Sends queued changes to the standby, one message at a time.

    A message is sent again until it is acknowledged; the standby applies each
    message number once.
    """
    while not state.ended.is_set():
        standby = state.standby
        message = None
        if standby is not None:
            message = state.log.next_message(state.dispatcher.export_records)
        if standby is None or message is None:
            _clear_gaps(state)
            await state.replication_wanted.wait()
            state.replication_wanted.clear()
            continue
        state.context.peers.send(standby.name, message)
        await _wait_answered(state, message.number)


async def _wait_answered(state: LeaderState, number: int) -> None:
    """Waits for the answer to a message, or until it must be sent again.

    A late answer to an earlier copy of the message must not cause
    another one.
    """
    log = state.log
    deadline = state.context.clock() + RESEND_MS
    while log is state.log and not state.ended.is_set():
        left_ms = deadline - state.context.clock()
        answered = log.waiting_number() != number
        if left_ms <= 0 or (answered and log.synced_or_copying()):
            return
        await state.replication_acknowledged.wait(left_ms)


def acknowledged(
    state: LeaderState, token: int, number: int, *, accepted: bool
) -> None:
    """Handles the standby's acknowledgement of a message."""
    state.log.acknowledge(token, number, accepted=accepted)
    state.replication_acknowledged.notify()
    state.replication_wanted.set()


def _clear_gaps(state: LeaderState) -> None:
    if state.log.is_idle() and state.ledger.gap_server_names():
        state.ledger.clear_gaps()


async def _replicate_row(
    state: LeaderState, row: GroupRow, moves: list[SlotMove]
) -> bool:
    if row.standby is None:
        return True
    serial = state.log.queue_row(encode_row(row), moves, committed=False)
    state.replication_wanted.set()
    return await _wait_acknowledged(state, serial)


async def _wait_acknowledged(state: LeaderState, serial: int) -> bool:
    log = state.log
    deadline = state.context.clock() + ACKNOWLEDGEMENT_LIMIT_MS
    while not (log.synced and log.acknowledged >= serial):
        left_ms = deadline - state.context.clock()
        if state.ended.is_set() or log is not state.log or left_ms <= 0:
            return False
        await state.replication_acknowledged.wait(left_ms)
    return log is state.log


def _adopt(state: LeaderState, row: GroupRow, *, committed: bool) -> None:
    state.row = row
    state.dirty = not committed
    if committed and row.standby is not None:
        state.log.queue_row(encode_row(row), [], committed=True)
        state.replication_wanted.set()


async def _table_answers(state: LeaderState) -> bool:
    """Says whether the table is up, by a read when it was down before.

    A write with an unknown outcome would end the lease, although the standby
    may only be paused.
    """
    if not state.context.table.is_down():
        return True
    return (await state.context.table.read(state.group.row_name)).is_ok()


def _revert_standby_change(state: LeaderState) -> None:
    """Keeps the current standby after a write that did not happen.

    When the outcome of an earlier attempt is unknown, its term stays the
    highest and the lease is not extended.
    """
    if state.highest_term == state.row.term + 1:
        state.highest_term = state.row.term
        state.lease.resume_extending()


def _is_conflict(written: Result[Row, TableFailure]) -> bool:
    return (
        written.is_error() and written.error.kind == TableFailureKind.conflict
    )
