"""Which server holds which keys, as the leader knows and changes it.

The rules that keep two servers from holding one key at the same time:

* A server may hold keys from the moment a grant is sent to it until it has
  answered a release, is known to have ended, or the longest lease that any
  grant sent to it could have is over.
* A grant that got no answer may be applied seconds later, also after the
  release of the same keys; its lease counts from its latest arrival.
* Keys are granted to a server only when no other server may hold them, with
  a fencing token above all that were used on them, and only after the store
  has recorded that the server may hold them.
* At most one call about a key is under way at a server.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

from yuccadale_edge._internal.model import KEY_COUNT

LAST_KEY = KEY_COUNT - 1
# A server's clock may run this much slower than ours (stated by its protocol).
CLOCK_MARGIN = 1.02
# Bytes that were written before a connection was aborted arrive within this.
LATEST_ARRIVAL_S = 0.4
_FENCE_COUNTER_BITS = 24


class Holder(NamedTuple):
    """One life of a server."""

    server_id: str
    incarnation: int


class CallKind(StrEnum):
    """What a server is told."""

    grant = 'grant'
    release = 'release'


@dataclass(frozen=True, slots=True)
class OwnershipCall:
    """A call to one server about a range of keys, both ends included."""

    kind: CallKind
    holder: Holder
    first: int
    last: int
    fence: int
    handover: str | None = None


class UnconfirmedGrant(NamedTuple):
    """A grant that a server may still carry out, by an earlier leader.

    Attributes:
        left_s: until its lease has surely ended.
    """

    first: int
    last: int
    server_id: str
    incarnation: int
    left_s: float

    @property
    def holder(self) -> Holder:
        """The life of the server."""
        return Holder(self.server_id, self.incarnation)


@dataclass(slots=True)
class Lease:
    """What one server may hold of a segment.

    Attributes:
        fence: fencing token of the grant.
        until_s: latest end of the lease by all answered grants.
        doubt_until_s: latest end of a grant that got no answer.
        accepted: whether the server has answered a grant with this token.
        sent_s: when the newest grant was sent.
        handover: what the last holder gave along, sent again with renewals.
        released: whether the server has answered a release since.
    """

    fence: int
    until_s: float
    doubt_until_s: float = 0
    accepted: bool = False
    sent_s: float = 0
    handover: str | None = None
    released: bool = False

    @property
    def end_s(self) -> float:
        """When the server surely holds nothing any more."""
        if self.released:
            return self.doubt_until_s
        return max(self.until_s, self.doubt_until_s)


@dataclass(slots=True)
class Segment:
    """A range of keys with one history.

    Attributes:
        owner: the server that requests are sent to, None while it changes.
        target: the server that shall own the keys, None when it is the owner.
        lease_by_holder: every server that may hold the keys.
        handover: given by the last owner's release, for the next grant.
        recorded: whether the store names the wanted server and its fence.
        reserved_fence: the fence of the next grant.
        last_fence: the highest fence that any server may have had.
        calls: servers with a call under way about these keys.
    """

    first: int
    last: int
    owner: Holder | None = None
    target: Holder | None = None
    lease_by_holder: dict[Holder, Lease] = field(default_factory=dict)
    handover: str | None = None
    recorded: bool = False
    reserved_fence: int | None = None
    last_fence: int = 0
    calls: set[Holder] = field(default_factory=set)

    @property
    def size(self) -> int:
        """The number of keys."""
        return self.last - self.first + 1

    @property
    def wanted(self) -> Holder | None:
        """The server that owns or shall own the keys."""
        return self.target or self.owner

    def renewable(self, holder: Holder) -> bool:
        """Whether a server's grant may be sent again as it was.

        Not after a release, and not when another server may have had the
        keys with a higher fence since.
        """
        lease = self.lease_by_holder.get(holder)
        return (
            lease is not None
            and not lease.released
            and lease.fence == self.last_fence
        )

    def copy_range(self, first: int, last: int) -> 'Segment':
        """Returns a part of the segment with a history of its own."""
        leases = {
            holder: replace(lease)
            for holder, lease in self.lease_by_holder.items()
        }
        return replace(
            self,
            first=first,
            last=last,
            lease_by_holder=leases,
            calls=set(self.calls),
        )


class SegmentTable:
    """All keys of one service.

    Attributes:
        lease_s: the lease time of each grant.
        changed: ranges whose owner changed since they were last taken.
    """

    def __init__(self, epoch: int, lease_s: float, renew_s: float) -> None:
        self.segments: list[Segment] = [Segment(0, LAST_KEY)]
        self.lease_s = lease_s
        self.changed: list[tuple[int, int]] = []
        self._plan_version = 1
        self._recorded_version = 1
        self._renew_s = renew_s
        self._epoch = epoch
        self._fences_used = 0

    def in_range(self, first: int, last: int) -> Iterator[Segment]:
        """Yields the segments that overlap a range."""
        for segment in self.segments:
            if segment.first <= last and segment.last >= first:
                yield segment

    def at(self, key: int) -> Segment:
        """Returns the segment of a key."""
        return next(self.in_range(key, key))

    def split(self, key: int) -> None:
        """Makes a segment begin at a key."""
        for index, segment in enumerate(self.segments):
            if segment.first < key <= segment.last:
                lower = segment.copy_range(segment.first, key - 1)
                upper = segment.copy_range(key, segment.last)
                self.segments.insert(index + 1, upper)
                self.segments[index] = lower
                return

    def plan(self, first: int, last: int, target: Holder) -> None:
        """Decides that a server shall own a range."""
        self.split(first)
        self.split(last + 1)
        for segment in self.in_range(first, last):
            if segment.wanted == target:
                continue
            segment.target = None if segment.owner == target else target
            self._needs_record(segment)

    @property
    def unrecorded(self) -> bool:
        """Whether the store does not know the present plan."""
        return self._plan_version != self._recorded_version

    def reserve_fences(self) -> int:
        """Fixes the fences of the next grants; returns the plan's version."""
        for segment in self.segments:
            wanted = segment.wanted
            if wanted is None or segment.reserved_fence is not None:
                continue
            if not segment.renewable(wanted):
                segment.reserved_fence = self._next_fence()
        return self._plan_version

    def mark_recorded(self, plan_version: int) -> None:
        """Notes that the store has a version of the plan."""
        if plan_version != self._plan_version:
            return
        for segment in self.segments:
            segment.recorded = True
        self._recorded_version = plan_version

    def end_holder(self, holder: Holder) -> None:
        """Notes that a life of a server has ended, so it holds nothing."""
        for segment in self.segments:
            segment.lease_by_holder.pop(holder, None)
            if holder in {segment.target, segment.owner}:
                # The reserved fence was that of the ended server.
                self._needs_record(segment)
            if segment.target == holder:
                segment.target = None
            if segment.owner == holder:
                self._set_owner(segment, None)

    def holders(self) -> set[Holder]:
        """Returns all servers that may hold something or shall."""
        known: set[Holder] = set()
        for segment in self.segments:
            known.update(segment.lease_by_holder)
            if segment.target is not None:
                known.add(segment.target)
        return known

    def settled(self, now_s: float) -> bool:
        """Whether every call has been answered or can no longer matter."""
        return not any(
            segment.calls
            or any(
                lease.doubt_until_s > now_s
                for lease in segment.lease_by_holder.values()
            )
            for segment in self.segments
        )

    def require_record(self) -> None:
        """Asks for a record before anything is granted or renewed."""
        self._plan_version += 1

    def unconfirmed_grants(self, now_s: float) -> list[UnconfirmedGrant]:
        """Returns the grants that may still be carried out late."""
        return [
            UnconfirmedGrant(
                segment.first,
                segment.last,
                *holder,
                self._doubt_s(segment, holder, now_s),
            )
            for segment in self.segments
            for holder in segment.lease_by_holder
            if self._doubt_s(segment, holder, now_s) > 0
        ]

    def replace_assumed_grants(
        self,
        assumed_until_s: float,
        unconfirmed_grants: Iterable[UnconfirmedGrant],
        now_s: float,
    ) -> None:
        """Replaces what was assumed of an earlier leader by its own word."""
        known = list(unconfirmed_grants)
        for told in known:
            self.split(told.first)
            self.split(told.last + 1)
        for segment in self.segments:
            for holder, lease in segment.lease_by_holder.items():
                if lease.doubt_until_s == assumed_until_s:
                    left_s = _longest_doubt_s(segment, holder, known)
                    lease.doubt_until_s = now_s + left_s if left_s else 0

    def join_settled(self) -> None:
        """Joins neighbours that have the same owner and the same grant."""
        joined: list[Segment] = []
        for segment in self.segments:
            if joined and _alike(joined[-1], segment):
                _absorb(joined[-1], segment)
            else:
                joined.append(segment)
        self.segments = joined

    def calls_due(
        self, now_s: float, renew_s: float | None = None
    ) -> list[OwnershipCall]:
        """Returns the calls to make now and notes that they are under way.

        Args:
            now_s: the present time.
            renew_s: renews grants of this age instead of the usual one.
        """
        due_age_s = self._renew_s if renew_s is None else renew_s
        due: list[OwnershipCall] = []
        for segment in self.segments:
            self._forget_ended(segment, now_s)
            due.extend(self._segment_calls(segment, now_s, due_age_s))
        return due

    def grant_answered(
        self, call: OwnershipCall, *, accepted: bool, now_s: float
    ) -> None:
        """Notes a server's answer to a grant."""
        for segment, lease in self._leases_of(call):
            if accepted:
                lease.accepted = True
                lease.until_s = max(lease.until_s, self._lease_end(now_s))
                self._confirm(segment, call.holder)
            else:
                self._refuse(segment, call.holder)

    def call_unanswered(self, call: OwnershipCall, now_s: float) -> None:
        """Notes a call that may be acted on late or not at all."""
        end_s = self._lease_end(now_s + LATEST_ARRIVAL_S)
        for _, lease in self._leases_of(call):
            if call.kind == CallKind.grant:
                lease.doubt_until_s = max(lease.doubt_until_s, end_s)

    def call_not_sent(self, call: OwnershipCall) -> None:
        """Notes a call of which no byte left this process."""
        for segment, lease in self._leases_of(call):
            unused = not lease.accepted and not lease.doubt_until_s
            if call.kind == CallKind.grant and unused:
                segment.lease_by_holder.pop(call.holder, None)

    def call_again(
        self, call: OwnershipCall, after_s: float, now_s: float
    ) -> None:
        """Makes the grants of a call due again sooner than usual."""
        for segment in self.in_range(call.first, call.last):
            lease = segment.lease_by_holder.get(call.holder)
            if lease is not None and lease.fence == call.fence:
                lease.sent_s = now_s + after_s - self._renew_s

    def release_answered(
        self, call: OwnershipCall, handover: str | None, now_s: float
    ) -> None:
        """Notes that a server has given keys back."""
        for segment, lease in self._leases_of(call):
            lease.released = True
            lease.accepted = False
            if handover is not None:
                segment.handover = handover
            self._forget_ended(segment, now_s)

    def waiting_s(self, segment: Segment, now_s: float) -> float:
        """Returns the time until a segment's keys can surely be granted."""
        ends = [
            lease.end_s - now_s
            for holder, lease in segment.lease_by_holder.items()
            if holder != segment.target
        ]
        return max(ends, default=0)

    def take_changes(self) -> list[tuple[int, int]]:
        """Returns ranges whose owner changed, and forgets them."""
        changes = self.changed
        self.changed = []
        return changes

    def load(self, segments: Iterable[Segment]) -> None:
        """Takes over what an earlier leader recorded."""
        self.segments = sorted(segments, key=_first_key)

    def _doubt_s(self, segment: Segment, holder: Holder, now_s: float) -> float:
        doubt_s = segment.lease_by_holder[holder].doubt_until_s - now_s
        if holder in segment.calls:
            # It has not been answered yet.
            doubt_s = self.lease_s * CLOCK_MARGIN + LATEST_ARRIVAL_S
        return doubt_s

    def _segment_calls(
        self, segment: Segment, now_s: float, renew_s: float
    ) -> Iterator[OwnershipCall]:
        wanted = segment.wanted
        others = [held for held in segment.lease_by_holder if held != wanted]
        if others and segment.target is not None and segment.owner is not None:
            # Callers stop sending before the owner is told to release.
            self._set_owner(segment, None)
        yield from self._releases(segment, others)
        if wanted is None or others or wanted in segment.calls:
            return
        lease = self._lease_to_send(segment, wanted)
        if lease is None:
            return
        if lease.accepted and now_s - lease.sent_s < renew_s:
            return
        lease.sent_s = now_s
        segment.calls.add(wanted)
        yield _call(
            CallKind.grant, segment, wanted, lease.fence, lease.handover
        )

    def _releases(
        self, segment: Segment, holders: Iterable[Holder]
    ) -> Iterator[OwnershipCall]:
        for holder in holders:
            lease = segment.lease_by_holder[holder]
            if holder not in segment.calls and not lease.released:
                segment.calls.add(holder)
                yield _call(CallKind.release, segment, holder, lease.fence)

    def _lease_to_send(self, segment: Segment, wanted: Holder) -> Lease | None:
        """Returns the lease to grant or renew, None before it is recorded."""
        own = segment.lease_by_holder.get(wanted)
        if own is not None and segment.renewable(wanted):
            return own
        if not segment.recorded or segment.reserved_fence is None:
            return None
        return self._new_lease(segment, wanted, segment.reserved_fence, own)

    def _confirm(self, segment: Segment, holder: Holder) -> None:
        if segment.wanted != holder:
            return
        segment.target = None
        segment.handover = None
        if segment.owner != holder:
            self._set_owner(segment, holder)

    def _refuse(self, segment: Segment, holder: Holder) -> None:
        # A higher fence was seen: this one gave the server nothing.
        segment.lease_by_holder.pop(holder, None)
        if segment.owner == holder:
            segment.target = segment.target or holder
            self._set_owner(segment, None)
        self._needs_record(segment)

    def _new_lease(
        self,
        segment: Segment,
        holder: Holder,
        fence: int,
        earlier: Lease | None,
    ) -> Lease:
        lease = Lease(
            fence,
            until_s=0,
            doubt_until_s=0 if earlier is None else earlier.doubt_until_s,
            handover=segment.handover,
        )
        segment.lease_by_holder[holder] = lease
        segment.last_fence = fence
        return lease

    def _needs_record(self, segment: Segment) -> None:
        segment.recorded = False
        segment.reserved_fence = None
        self._plan_version += 1

    def _next_fence(self) -> int:
        self._fences_used += 1
        return (self._epoch << _FENCE_COUNTER_BITS) + self._fences_used

    def _leases_of(self, call: OwnershipCall) -> list[tuple[Segment, Lease]]:
        """Ends a call and returns the leases that it was about."""
        leases = []
        for segment in self.in_range(call.first, call.last):
            segment.calls.discard(call.holder)
            lease = segment.lease_by_holder.get(call.holder)
            if lease is not None and lease.fence == call.fence:
                leases.append((segment, lease))
        return leases

    def _forget_ended(self, segment: Segment, now_s: float) -> None:
        for holder, lease in list(segment.lease_by_holder.items()):
            kept = holder == segment.wanted and not lease.released
            if kept or holder in segment.calls:
                continue
            if now_s > lease.end_s:
                segment.lease_by_holder.pop(holder)

    def _lease_end(self, arrival_s: float) -> float:
        return arrival_s + self.lease_s * CLOCK_MARGIN

    def _set_owner(self, segment: Segment, owner: Holder | None) -> None:
        segment.owner = owner
        self.changed.append((segment.first, segment.last))


def _first_key(segment: Segment) -> int:
    return segment.first


def _longest_doubt_s(
    segment: Segment,
    holder: Holder,
    unconfirmed_grants: Iterable[UnconfirmedGrant],
) -> float:
    return max(
        (
            doubt.left_s
            for doubt in unconfirmed_grants
            if doubt.holder == holder
            and doubt.first <= segment.last
            and doubt.last >= segment.first
        ),
        default=0,
    )


def _call(
    kind: CallKind,
    segment: Segment,
    holder: Holder,
    fence: int,
    handover: str | None = None,
) -> OwnershipCall:
    return OwnershipCall(
        kind, holder, segment.first, segment.last, fence, handover
    )


def _alike(lower: Segment, upper: Segment) -> bool:
    for segment in (lower, upper):
        settled = segment.target is None and not segment.calls
        if not settled or list(segment.lease_by_holder) != [segment.owner]:
            return False
    if lower.owner != upper.owner or lower.owner is None:
        return False
    low = lower.lease_by_holder[lower.owner]
    high = upper.lease_by_holder[lower.owner]
    return (
        low.fence == high.fence
        and low.handover == high.handover
        and low.accepted
        and high.accepted
    )


def _absorb(lower: Segment, upper: Segment) -> None:
    assert lower.owner is not None
    low = lower.lease_by_holder[lower.owner]
    high = upper.lease_by_holder[lower.owner]
    low.until_s = max(low.until_s, high.until_s)
    low.doubt_until_s = max(low.doubt_until_s, high.doubt_until_s)
    low.sent_s = min(low.sent_s, high.sent_s)
    lower.last = upper.last
    lower.last_fence = max(lower.last_fence, upper.last_fence)
