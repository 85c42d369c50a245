"""The leader's table of key leases: single rules, without servers."""

from yuccadale_edge.ownership import (
    KEY_COUNT,
    CallKind,
    Holder,
    Lease,
    OwnershipCall,
    Segment,
    SegmentTable,
    record_of,
    segments_of,
)

LEASE_S = 5.0
RENEW_S = 1.0
OWNER = Holder('owner', 1)
OTHER = Holder('other', 1)


def _owned_table() -> SegmentTable:
    """Returns a table in which one server owns all keys, granted at 0 s."""
    table = SegmentTable(1, LEASE_S, RENEW_S)
    table.plan(0, KEY_COUNT - 1, OWNER)
    table.mark_recorded(table.reserve_fences())
    _accept(table, table.calls_due(0), now_s=0)
    return table


def _accept(
    table: SegmentTable, calls: list[OwnershipCall], now_s: float
) -> None:
    for call in calls:
        if call.kind == CallKind.grant:
            table.grant_answered(call, accepted=True, now_s=now_s)
        else:
            table.release_answered(call, None, now_s)


def test_an_unsent_grant_leaves_the_earlier_lease() -> None:
    """Guards against two holders after a move that was taken back.

    The owner was to be granted its keys again with a higher fence, and could
    not be reached. Its earlier lease was forgotten then.
    """
    table = SegmentTable(2, LEASE_S, RENEW_S)
    table.load([_moving_segment(lease_end_s=10)])
    table.plan(0, KEY_COUNT - 1, OWNER)
    table.mark_recorded(table.reserve_fences())
    _accept(table, table.calls_due(1), now_s=1)
    grants = table.calls_due(2)
    assert [grant.holder for grant in grants] == [OWNER]
    table.call_not_sent(grants[0])
    table.plan(0, KEY_COUNT - 1, OTHER)
    table.mark_recorded(table.reserve_fences())
    kinds = {call.kind for call in table.calls_due(9)}
    assert kinds == {CallKind.release}


def test_a_refused_renewal_leaves_the_lease() -> None:
    """Guards against two holders after an answer with status 409.

    It says that the server knows a higher fence for some key of the range. It
    may still hold the others.
    """
    table = _owned_table()
    for renewal in table.calls_due(2):
        table.grant_answered(renewal, accepted=False, now_s=2)
    table.plan(0, KEY_COUNT - 1, OTHER)
    table.mark_recorded(table.reserve_fences())
    calls = [(call.kind, call.holder) for call in table.calls_due(3)]
    assert calls == [(CallKind.release, OWNER)]


def _moving_segment(lease_end_s: float) -> Segment:
    """Returns all keys as a new leader finds them during a move."""
    return Segment(
        0,
        KEY_COUNT - 1,
        target=OTHER,
        lease_by_holder={
            OWNER: Lease(5, until_s=lease_end_s, accepted=True),
            OTHER: Lease(6, until_s=lease_end_s, accepted=True),
        },
        recorded=True,
        last_fence=6,
    )


def test_owner_keeps_its_keys_until_the_move_is_recorded() -> None:
    """Guards against keys without an owner while the store is unavailable.

    A move was planned just before the store failed. The owner was asked to
    release its keys, and nobody could get them before the store was back.
    """
    table = _owned_table()
    table.plan(0, 99, OTHER)
    for now_s in (1.0, 2.0, 3.0):
        calls = table.calls_due(now_s)
        assert {call.kind for call in calls} == {CallKind.grant}
        assert {call.holder for call in calls} == {OWNER}
        _accept(table, calls, now_s)
    assert table.at(0).owner == OWNER
    table.mark_recorded(table.reserve_fences())
    released = table.calls_due(3.1)
    assert [(call.kind, call.holder) for call in released] == [
        (CallKind.release, OWNER)
    ]
    _accept(table, released, 3.2)
    granted = table.calls_due(3.3)
    assert [(call.kind, call.holder) for call in granted] == [
        (CallKind.grant, OTHER)
    ]


def _taken_over_table(epoch: int) -> SegmentTable:
    """Returns a new leader's table with the record of epoch 1, at 0 s."""
    record = record_of(1, _owned_table(), {OWNER: ('127.0.0.1', 1)})
    table = SegmentTable(epoch, LEASE_S, RENEW_S)
    table.load(segments_of(record, latest_end_s=LEASE_S + 1))
    return table


def _kinds_after_release(table: SegmentTable) -> set[CallKind]:
    """Moves all keys; returns the calls due when the owner released them."""
    table.plan(0, KEY_COUNT - 1, OTHER)
    table.mark_recorded(table.reserve_fences())
    _accept(table, table.calls_due(1), now_s=1)
    return {call.kind for call in table.calls_due(1.1)}


def test_a_report_leaves_what_its_receiver_has_sent() -> None:
    """Guards against two holders after a report of the previous leader.

    A new leader's own unanswered renewal ended before the expiry that it
    assumed for its predecessor's, and was forgotten with that assumption.
    """
    table = _taken_over_table(epoch=2)
    for renewal in table.calls_due(0, renew_s=0):
        table.call_unanswered(renewal, now_s=0.1)
    assert table.replace_assumed_grants(1, [], now_s=0.2)
    assert not _kinds_after_release(table)


def test_a_report_of_an_earlier_than_the_previous_leader_is_ignored() -> None:
    """Guards against two holders after leaders that followed one another.

    A leader that only renewed leaves the record of the one before it, whose
    late report was applied to its renewals too.
    """
    table = _taken_over_table(epoch=3)
    assert not table.replace_assumed_grants(1, [], now_s=0.2)
    assert not _kinds_after_release(table)


def test_a_report_of_the_previous_leader_frees_released_keys() -> None:
    """Guards against keys that wait for a lease although nobody has it."""
    table = _taken_over_table(epoch=2)
    assert table.replace_assumed_grants(1, [], now_s=0.2)
    assert _kinds_after_release(table) == {CallKind.grant}
