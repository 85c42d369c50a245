"""Random histories of ownership calls against an oracle of what servers hold.

Guards against two servers holding one key, and against a fence that is not
above all that other servers had. Each rule that prevents this is removed in
turn; the same histories then have to show it.
"""

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from tests.builders.edge_key_servers import KeyWorld
from yuccadale_edge._internal.ownership import records, segments

HISTORIES = 400
STEPS = 120
# A removed rule has to show in at most so many histories.
HISTORIES_TO_FIND = 1500


def _problems(histories: int) -> list[str]:
    for seed in range(histories):
        found = KeyWorld(seed).run(STEPS)
        if found:
            return [f'seed {seed}', *found]
    return []


def test_no_history_breaks_ownership() -> None:
    """Two holders or a low fence in any history is a fault of the rules."""
    assert not _problems(HISTORIES)


@dataclass(frozen=True)
class RemovedRule:
    """A rule and how it is switched off."""

    name: str
    remove: Callable[[pytest.MonkeyPatch], None]


def _without_doubt(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        segments.SegmentTable,
        'call_unanswered',
        lambda table, call, _now_s: table._leases_of(call),
    )


def _without_doubt_after_takeover(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        records,
        '_segment',
        lambda record, end_s, _doubt_s, original=records._segment: original(
            record, end_s, 0
        ),
    )


def _without_waiting(patch: pytest.MonkeyPatch) -> None:
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
    original = segments.SegmentTable._needs_record

    def recorded_at_once(
        table: segments.SegmentTable, segment: segments.Segment
    ) -> None:
        original(table, segment)
        segment.recorded = True
        segment.reserved_fence = table._next_fence()

    patch.setattr(segments.SegmentTable, '_needs_record', recorded_at_once)


def _without_clock_margin(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(segments, 'CLOCK_MARGIN', 0.9)


def _with_calls_side_by_side(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        segments.Segment,
        'wanted',
        property(lambda segment: segment.target or segment.owner),
    )
    patch.setattr(
        segments.SegmentTable,
        '_releases',
        lambda _table, _segment, _holders: iter(()),
    )
    patch.setattr(
        segments.Lease, 'end_s', property(lambda lease: lease.until_s)
    )


RULES = (
    RemovedRule(
        'a new leader doubts what it did not send',
        _without_doubt_after_takeover,
    ),
    RemovedRule('an unanswered grant is doubted', _without_doubt),
    RemovedRule('a lease is waited out', _without_waiting),
    RemovedRule('a renewal has the highest fence', _without_highest_fence),
    RemovedRule('a grant is recorded before it is sent', _without_record),
    RemovedRule('clocks may differ', _without_clock_margin),
    RemovedRule('doubt outlives the lease', _with_calls_side_by_side),
)


@pytest.mark.parametrize('rule', RULES, ids=lambda rule: rule.name)
def test_each_rule_is_needed(
    rule: RemovedRule, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A rule whose removal nothing shows is either idle or not tested."""
    rule.remove(monkeypatch)
    assert _problems(HISTORIES_TO_FIND)
