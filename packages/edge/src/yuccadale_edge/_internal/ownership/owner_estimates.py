"""Estimates when keys without an owner get one.

Callers of such keys are told when to return. What is certain comes first: the
leases of other servers that have to end. What has no known end, such as an
outage of the store or a call without an answer, is expected to last as long
again as it has lasted.
"""

from collections.abc import Callable, Iterable

from yuccadale_edge._internal.ownership.segments import (
    Holder,
    Lease,
    Segment,
)

# A release, a record and a grant usually take less than this together.
_USUAL_S = 0.25
# Estimates are compared at this interval with those that were published.
_CHECK_INTERVAL_S = 0.2
# Smaller differences are not published: of the time, and in proportion.
_MIN_DIFFERENCE_S = 0.25
_MIN_DIFFERENCE_SHARE = 0.25

_Range = tuple[int, int]


class OwnerEstimates:
    """Estimates for the keys of one service."""

    def __init__(
        self,
        is_reachable: Callable[[Holder], bool],
        blocked_s: Callable[[Segment], float],
    ) -> None:
        """Starts without estimates.

        Args:
            is_reachable: whether a server is expected to answer calls.
            blocked_s: returns how long already a record that the keys need
                could not be written.
        """
        self._is_reachable = is_reachable
        self._blocked_s = blocked_s
        self._expected_s_by_range: dict[_Range, float] = {}
        self._published_s_by_range: dict[_Range, float] = {}
        self._checked_s: float = 0

    def available_in_s(self, segment: Segment, now_s: float) -> float:
        """Returns when keys without an owner get one, 0 if very soon.

        Args:
            segment: the keys.
            now_s: the present time.
        """
        certain_s = max(
            (
                self._held_for_s(holder, lease, now_s)
                for holder, lease in _others(segment)
            ),
            default=0,
        )
        keys = segment.first, segment.last
        if certain_s > 0:
            self._expected_s_by_range[keys] = now_s + certain_s
        expected_s = self._expected_s_by_range.setdefault(keys, now_s)
        overdue_s = max(now_s - expected_s, self._blocked_s(segment))
        if overdue_s <= _USUAL_S:
            overdue_s = 0
        return max(certain_s, overdue_s)

    def publish_in_s(self, segment: Segment, now_s: float) -> float:
        """Returns the estimate for keys, which is published now."""
        available_in_s = self.available_in_s(segment, now_s)
        keys = segment.first, segment.last
        self._published_s_by_range[keys] = now_s + available_in_s
        return available_in_s

    def outdated(
        self, segments: Iterable[Segment], now_s: float
    ) -> list[_Range]:
        """Returns keys whose published estimate is not true any more."""
        if now_s - self._checked_s < _CHECK_INTERVAL_S:
            return []
        self._checked_s = now_s
        waiting = [segment for segment in segments if segment.owner is None]
        ranges = {(segment.first, segment.last) for segment in waiting}
        for known in (self._expected_s_by_range, self._published_s_by_range):
            for keys in known.keys() - ranges:
                known.pop(keys)
        return [
            (segment.first, segment.last)
            for segment in waiting
            if self._is_outdated(segment, now_s)
        ]

    def _is_outdated(self, segment: Segment, now_s: float) -> bool:
        available_in_s = self.available_in_s(segment, now_s)
        keys = segment.first, segment.last
        published_s = self._published_s_by_range.get(keys, now_s)
        difference_s = abs(available_in_s - max(published_s - now_s, 0))
        return difference_s > max(
            _MIN_DIFFERENCE_S, available_in_s * _MIN_DIFFERENCE_SHARE
        )

    def _held_for_s(self, holder: Holder, lease: Lease, now_s: float) -> float:
        """Returns how long a server surely keeps others from the keys."""
        if not self._is_reachable(holder):
            return lease.end_s - now_s
        # It answers a release soon, also one that proves earlier grants. A
        # grant without an answer may be applied after that.
        unprovable_s = (
            grant.until_s
            for grant in lease.unproven_grants(now_s)
            if not grant.delivery.provable
        )
        until_s = max(lease.unanswered_until_s, *unprovable_s, 0)
        return until_s - now_s


def _others(segment: Segment) -> list[tuple[Holder, Lease]]:
    """Returns the leases that have to end before the keys are granted.

    A grant to a server replaces what an earlier process of it holds.
    """
    target = segment.intended_owner
    return [
        (holder, lease)
        for holder, lease in segment.lease_by_holder.items()
        if target is None or holder.server_id != target.server_id
    ]
