"""Rows, leases, grants and replication, each alone, on a manual clock."""

import math

import pytest

from tests.builders.ownership_parts import (
    ManualClock,
    accept,
    make_answer,
    make_instance,
    make_row,
)
from yuccadale_core.instances import GroupId
from yuccadale_core.messages import RecordChange
from yuccadale_core.timing import GRANT_TTL_MS, LEASE_TERM_MS
from yuccadale_router._internal.ownership.grants import (
    GRANT_TTL_WITH_MARGIN_MS,
    GrantLedger,
    latest_ends,
)
from yuccadale_router._internal.ownership.lease import (
    LEASE_TERM_WITH_MARGIN_MS,
    LeaderLease,
    StandbyPromise,
)
from yuccadale_router._internal.ownership.replication import (
    BATCH_LIMIT,
    ReplicationLog,
    StandbyReplica,
)
from yuccadale_router._internal.ownership.rows import (
    decode_row,
    encode_row,
    move_slot,
)

GROUP = GroupId('ledger', 'lodz-a', 0)


def _ledger(clock: ManualClock) -> GrantLedger:
    ledger = GrantLedger(clock, 'i0/1', 2)
    for server in ('a', 'b'):
        ledger.note_answer(server, make_answer(accepted=False, token=0))
    return ledger


def _change(number: int) -> RecordChange:
    return RecordChange(0, f'id-{number}', 'started', 1, 'a', 0)


@pytest.mark.parametrize('first', [0, 127, 128, 16_384, 543_999])
def test_row_survives_its_text_form(first):
    """Guards against a text form that alters slots or owners."""
    row = make_row({first: 'a', first + 500: 'b'}, {first: 'c'})
    assert decode_row(encode_row(row)) == row


def test_move_to_successor_keeps_the_pair():
    """Guards against a leader that asks the wrong servers for the owner."""
    row = move_slot(make_row(), 0, 'b')
    assert (row.owner_by_slot[0], row.successor_by_slot[0]) == ('b', 'a')


def test_lease_counts_from_before_the_request():
    """Guards against a lease that is longer after a slow promise."""
    clock = ManualClock()
    lease = LeaderLease(clock)
    number = lease.begin_request()
    clock.now += 900
    lease.promise_received(number)
    assert lease.left_ms() == LEASE_TERM_MS - 900
    clock.now += 100
    assert not lease.is_valid()


def test_lease_ignores_promises_while_the_standby_changes():
    """Guards against a lease by a standby that the row does not name."""
    clock = ManualClock()
    lease = LeaderLease(clock)
    number = lease.begin_request()
    lease.stop_extending()
    lease.promise_received(number)
    lease.promise_received(lease.begin_request())
    assert not lease.is_valid()


def test_standby_waits_a_term_before_its_first_takeover():
    """Guards against a takeover before an earlier standby's promise ends."""
    clock = ManualClock()
    promise = StandbyPromise(clock, 2)
    clock.now += LEASE_TERM_WITH_MARGIN_MS - 1
    assert not promise.may_take_over()
    clock.now += 1
    assert promise.may_take_over()
    assert not promise.give(3)
    promise.resigned = True
    assert not promise.may_take_over()


@pytest.mark.parametrize(
    ('lease_left', 'answered_ago', 'expected_ttl'),
    [(800, math.inf, 800), (-1, 300, 700), (200, 300, 700), (5000, 0, 1000)],
)
def test_lifetime_ends_with_lease_or_successor(
    lease_left, answered_ago, expected_ttl
):
    """Guards against grants that outlive lease and successor's wait."""
    clock = ManualClock()
    ledger = _ledger(clock)
    accept(ledger, 'a', ledger.prepare('a', {}))
    limits = latest_ends(
        [0], clock.now + lease_left, {0: clock.now - answered_ago}
    )
    assert ledger.prepare('a', limits).ttl_ms == expected_ttl


def test_left_out_slot_is_still_reported():
    """Guards against an unknown owner after leader and standby are lost."""
    clock = ManualClock()
    ledger = _ledger(clock)
    accept(ledger, 'a', ledger.prepare('a', {}))
    grant = ledger.prepare('a', {0: clock.now + 900, 1: clock.now + 10})
    assert (grant.slots, grant.retained) == ((0,), (1,))


def test_unanswered_grant_counts_until_its_end():
    """Guards against a move while a grant without an answer is valid."""
    clock = ManualClock()
    ledger = _ledger(clock)
    ledger.prepare('a', {0: clock.now + GRANT_TTL_MS})
    expires_at = ledger.of_server('a').slot_expires_at(0)
    assert expires_at == pytest.approx(clock.now + GRANT_TTL_WITH_MARGIN_MS)
    revoke = ledger.prepare('a', {})
    accept(ledger, 'a', revoke)
    assert ledger.of_server('a').slot_expires_at(0) == -math.inf


def test_gap_counts_only_when_no_later_grant_lacks_it():
    """Guards against missing records that no grant marks."""
    clock = ManualClock()
    ledger = _ledger(clock)
    ledger.mark_gap('a')
    accept(ledger, 'a', ledger.prepare('a', {}))
    assert ledger.gap_accepted('a')
    ledger.clear_gaps()
    ledger.prepare('a', {})
    ledger.mark_gap('a')
    assert not ledger.gap_accepted('a')


def test_new_token_needs_a_new_acceptance():
    """Guards against replacing a successor that accepts lower tokens."""
    clock = ManualClock()
    ledger = _ledger(clock)
    accept(ledger, 'a', ledger.prepare('a', {}))
    ledger.change_token(4)
    assert ledger.of_server('a').first_accepted_at == math.inf


def _replicate_all(
    log: ReplicationLog, replica: StandbyReplica, records
) -> None:
    def export() -> list[RecordChange]:
        return list(records)

    message = log.next_message(export)
    while message is not None:
        accepted = replica.apply(message)
        log.acknowledge(2, message.number, accepted=accepted)
        message = log.next_message(export)


def test_full_copy_in_pieces_then_changes():
    """Guards against a takeover with an incomplete copy."""
    clock = ManualClock()
    log = ReplicationLog(GROUP, 2, encode_row(make_row()))
    replica = StandbyReplica(clock, 2, 600_000)
    records = [_change(number) for number in range(BATCH_LIMIT + 1)]
    first = log.next_message(lambda: records)
    assert replica.apply(first)
    assert not replica.complete
    log.acknowledge(2, first.number, accepted=True)
    _replicate_all(log, replica, records)
    assert replica.complete
    assert len(replica.export_records()) == len(records)
    log.queue_records([_change(-1)])
    _replicate_all(log, replica, records)
    assert log.is_idle()


def test_missing_message_asks_for_a_full_copy():
    """Guards against records that are lost between two messages."""
    clock = ManualClock()
    log = ReplicationLog(GROUP, 2, encode_row(make_row()))
    replica = StandbyReplica(clock, 2, 600_000)
    _replicate_all(log, replica, [])
    restarted = StandbyReplica(clock, 2, 600_000)
    log.queue_records([_change(1)])
    _replicate_all(log, restarted, [_change(1)])
    assert restarted.complete
    assert log.is_idle()


def test_prepared_row_keeps_the_successors_of_the_older_one():
    """Guards against a provisional leader that ignores a valid successor."""
    replica = StandbyReplica(ManualClock(), 2, 600_000)
    log = ReplicationLog(GROUP, 2, encode_row(make_row()))
    _replicate_all(log, replica, [])
    prepared = make_row(successor_by_slot={0: 'c', 1: 'a'})
    log.queue_row(encode_row(prepared), [], committed=False)
    _replicate_all(log, replica, [])
    assert replica.other_rows == [make_row()]
    log.queue_row(encode_row(prepared), [], committed=True)
    _replicate_all(log, replica, [])
    assert replica.other_rows == []


def test_records_leave_the_replica_after_the_retry_window():
    """Guards against a standby whose memory grows without bound."""
    clock = ManualClock()
    replica = StandbyReplica(clock, 2, 1000)
    log = ReplicationLog(GROUP, 2, encode_row(make_row()))
    _replicate_all(log, replica, [_change(1)])
    clock.now += 1001
    log.queue_records([_change(2)])
    _replicate_all(log, replica, [])
    assert [change.request_id for change in replica.export_records()] == [
        'id-2'
    ]


def test_instance_of_another_incarnation_is_another_one():
    """Guards against mistaking a restarted process for the old one."""
    assert make_instance('i0', '1') != make_instance('i0', '2')
