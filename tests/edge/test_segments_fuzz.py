"""Random histories of ownership calls, checked against simulated servers.

Guards against two servers that hold the same key, and against a fencing token
that is not above those of the earlier holders. Each rule that prevents this is
removed in turn, and the random histories must then show a violation.
"""

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from tests.builders.edge_key_servers import KeyServerSimulation
from yuccadale_edge._internal.ownership import records, segments

HISTORIES = 400
STEPS = 120
# A violation must show within this many histories when a rule is removed.
HISTORIES_WITHOUT_RULE = 1500


def _violations(histories: int) -> list[str]:
    for seed in range(histories):
        found = KeyServerSimulation(seed).run(STEPS)
        if found:
            return [f'seed {seed}', *found]
    return []


def test_no_history_breaks_ownership() -> None:
    """Guards against two holders of a key and against a low fencing token."""
    assert not _violations(HISTORIES)


@dataclass(frozen=True)
class RemovedRule:
    """A rule and a function that disables it."""

    name: str
    remove: Callable[[pytest.MonkeyPatch], None]


def _without_unconfirmed_grants(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        segments.SegmentTable,
        'call_unanswered',
        lambda table, call, _now_s: table._end_call(call),
    )


def _without_unconfirmed_grants_after_takeover(
    patch: pytest.MonkeyPatch,
) -> None:
    patch.setattr(
        records,
        '_segment',
        lambda record, end_s, _unconfirmed_s, original=records._segment: (
            original(record, end_s, 0)
        ),
    )


def _without_lease_expiry(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(segments.Lease, 'end_s', property(lambda _lease: 0))


def _without_highest_fence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        segments.Segment,
        'renewable',
        lambda segment, holder: (
            holder in segment.lease_by_holder
            and not segment.lease_by_holder[holder].released
        ),
    )


def _without_record(patch: pytest.MonkeyPatch) -> None:
    original = segments.SegmentTable._invalidate_record

    def recorded_at_once(
        table: segments.SegmentTable, segment: segments.Segment
    ) -> None:
        original(table, segment)
        segment.recorded = True
        segment.reserved_fence = table._next_fence()

    patch.setattr(segments.SegmentTable, '_invalidate_record', recorded_at_once)


def _without_clock_margin(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(segments, 'CLOCK_MARGIN', 0.9)


def _without_waiting_for_unconfirmed_grants(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        segments.Segment,
        'intended_owner',
        property(lambda segment: segment.target or segment.owner),
    )
    patch.setattr(
        segments.SegmentTable,
        '_releases',
        lambda *_arguments: iter(()),
    )
    patch.setattr(
        segments.Lease, 'end_s', property(lambda lease: lease.until_s)
    )


def _without_leases_of_restarted_servers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        segments.SegmentTable,
        'restart_holder',
        lambda table, holder, _now_s: table.end_holder(holder),
    )


def _with_reports_of_any_leader(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        segments.SegmentTable, '_follows', lambda _table, _epoch: True
    )


def _with_reports_about_own_grants(patch: pytest.MonkeyPatch) -> None:
    original = segments.SegmentTable.replace_assumed_grants

    def replace_all(
        table: segments.SegmentTable,
        epoch: int,
        unconfirmed_grants: list[segments.UnconfirmedGrant],
        now_s: float,
    ) -> bool:
        if not original(table, epoch, unconfirmed_grants, now_s):
            return False
        for segment in table.segments:
            for lease in segment.lease_by_holder.values():
                lease.unconfirmed_until_s = lease.assumed_until_s
        return True

    patch.setattr(segments.SegmentTable, 'replace_assumed_grants', replace_all)


RULES = (
    RemovedRule(
        'a report counts only for the next leader', _with_reports_of_any_leader
    ),
    RemovedRule(
        'a report leaves what its receiver sent', _with_reports_about_own_grants
    ),
    RemovedRule(
        'a server that starts again may have new grants',
        _without_leases_of_restarted_servers,
    ),
    RemovedRule(
        'a new leader assumes unanswered grants',
        _without_unconfirmed_grants_after_takeover,
    ),
    RemovedRule(
        'an unanswered grant may be applied late', _without_unconfirmed_grants
    ),
    RemovedRule('keys wait until a lease has expired', _without_lease_expiry),
    RemovedRule('only the highest fence is renewed', _without_highest_fence),
    RemovedRule('a grant is recorded before it is sent', _without_record),
    RemovedRule('clocks of servers may run slower', _without_clock_margin),
    RemovedRule(
        'keys wait for unanswered grants',
        _without_waiting_for_unconfirmed_grants,
    ),
)


@pytest.mark.parametrize('rule', RULES, ids=lambda rule: rule.name)
def test_removing_a_rule_is_detected(
    rule: RemovedRule, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rule that no history tests or that has no effect."""
    rule.remove(monkeypatch)
    assert _violations(HISTORIES_WITHOUT_RULE)
