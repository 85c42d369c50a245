"""The leader's table of key leases: which server may hold which keys.

Rules that keep two servers from holding the same key at the same time:

* A server may hold keys from the moment a grant is sent to it until it
  answers a release, is known to have stopped, or the longest lease that any
  grant sent to it could have started has expired.
* A grant that got no answer may be applied seconds later, even after the
  release of the same keys. Its lease counts from its latest possible arrival.
* So may a grant whose answer could be the copy of an earlier one, until the
  server has surely handled it. Its lease counts from the answer at the latest.
* Keys are granted to a server only when no other server may hold them, with
  a fencing token above all earlier ones for these keys, and only after the
  store has recorded that the server may hold them.
* At most one call about a key is in flight to a server.
* Calls name a server by its id. A process that starts again under the id may
  have accepted grants that were meant for the process before it.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import inf
from typing import NamedTuple

from yuccadale_edge._internal.model import KEY_COUNT
from yuccadale_edge._internal.transport.client_connection import Delivery

LAST_KEY = KEY_COUNT - 1
# The protocol of the servers allows their clocks to run slower by this factor.
CLOCK_MARGIN = 1.02
# A grant without an answer is withdrawn after this time: its connection is
# reset, and no kernel goes on sending it. See ``ServerCalls``.
CALL_TIMEOUT_S = 0.8
# Packets that were sent before that arrive within this time.
_NETWORK_DELAY_S = 0.4
# A grant arrives within this time after it was sent, or never.
LATEST_ARRIVAL_S = CALL_TIMEOUT_S + _NETWORK_DELAY_S
_FENCE_COUNTER_BITS = 24


class Holder(NamedTuple):
    """One incarnation of a server."""

    server_id: str
    incarnation: int


# Stands for whichever server may hold keys after the record was lost. No call
# is sent to it; its leases expire.
UNKNOWN_HOLDER = Holder('', 0)


class CallKind(StrEnum):
    """What a call asks of a server."""

    grant = 'grant'
    release = 'release'


@dataclass(frozen=True, slots=True)
class OwnershipCall:
    """A call to one server about a range of keys, both ends included.

    Attributes:
        unproven: earlier grants of the keys that the server may not have
            handled yet.
    """

    kind: CallKind
    holder: Holder
    first: int
    last: int
    fence: int
    handover: str | None = None
    unproven: tuple[Delivery, ...] = field(default=(), compare=False)


class LeaseEndReason(StrEnum):
    """Why a server is known to hold no keys of a range any more."""

    released = 'released'
    expired = 'expired'
    replaced = 'replaced'
    server_ended = 'server_ended'


class LeaseEnd(NamedTuple):
    """The end of a server's lease on a range of keys."""

    first: int
    last: int
    holder: Holder
    fence: int
    reason: LeaseEndReason


class UnprovenGrant(NamedTuple):
    """A grant whose answer may be the copy of an earlier one.

    Attributes:
        until_s: when its lease has expired at the latest.
    """

    delivery: Delivery
    until_s: float


class UnconfirmedGrant(NamedTuple):
    """A grant without an answer of its own, which a server may still apply.

    Attributes:
        remaining_s: time until its lease has expired at the latest.
    """

    first: int
    last: int
    server_id: str
    incarnation: int
    remaining_s: float

    @property
    def holder(self) -> Holder:
        """The incarnation of the server."""
        return Holder(self.server_id, self.incarnation)


@dataclass(slots=True)
class Lease:
    """The lease that one server may have on a segment.

    Attributes:
        fence: fencing token of the grant.
        until_s: latest expiry by the grants that were answered.
        unconfirmed_until_s: latest expiry by a grant that got no answer.
        assumed_until_s: latest expiry by a grant that an earlier leader may
            have sent without an answer.
        unproven: grants whose answers may be copies.
        accepted: whether the server has accepted a grant with this token.
        sent_s: when the latest grant was sent.
        handover: token that the previous holder returned with its release;
            renewals repeat it.
        released: whether the server has answered a release.
        call_due_s: when a call may be sent again.
        releasing: whether a release is in flight.
        renewable: false if the server has started again since it was granted,
            or refused to renew it.
    """

    fence: int
    until_s: float
    unconfirmed_until_s: float = 0
    assumed_until_s: float = 0
    accepted: bool = False
    sent_s: float = 0
    handover: str | None = None
    released: bool = False
    call_due_s: float = 0
    releasing: bool = False
    renewable: bool = True
    unproven: tuple[UnprovenGrant, ...] = ()

    @property
    def expiry_reason(self) -> LeaseEndReason:
        """Why the server holds no keys after ``end_s``."""
        if self.released:
            return LeaseEndReason.released
        return LeaseEndReason.expired

    @property
    def unanswered_until_s(self) -> float:
        """Latest expiry by a grant without an answer, of any leader."""
        return max(self.unconfirmed_until_s, self.assumed_until_s)

    @property
    def late_until_s(self) -> float:
        """Latest expiry by a grant that may still be applied."""
        unproven_until_s = max(
            (
                grant.until_s
                for grant in self.unproven
                if not grant.delivery.proven
            ),
            default=0,
        )
        return max(self.unanswered_until_s, unproven_until_s)

    @property
    def end_s(self) -> float:
        """When the server has lost the keys at the latest."""
        if self.released:
            return self.late_until_s
        return max(self.until_s, self.late_until_s)

    def unproven_grants(self, now_s: float) -> tuple[UnprovenGrant, ...]:
        """Returns the grants whose answers may be copies, up to now."""
        return tuple(
            grant
            for grant in self.unproven
            if grant.until_s > now_s and not grant.delivery.proven
        )


@dataclass(slots=True)
class Segment:
    """A range of keys with one owner and the same leases.

    Attributes:
        owner: the server that gets the requests, None while it changes.
        target: the server that is to become the owner, None when there is no
            move.
        lease_by_holder: every server that may hold the keys.
        handover: token from the last release, sent with the next grant.
        recorded: whether the store has the intended owner and its fence.
        reserved_fence: fencing token of the next grant.
        last_fence: highest fencing token that any server may have received.
        in_flight: servers with an unanswered call about these keys.
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
    in_flight: set[Holder] = field(default_factory=set)

    @property
    def size(self) -> int:
        """The number of keys."""
        return self.last - self.first + 1

    @property
    def intended_owner(self) -> Holder | None:
        """The server that owns the keys or is to become the owner."""
        return self.target or self.owner

    @property
    def keeper(self) -> Holder | None:
        """The server that is to keep or get the keys now.

        The owner keeps them until the store has recorded where they go: no
        other server can get them before.
        """
        if self.owner is not None and not self.recorded:
            return self.owner
        return self.intended_owner

    def renewable(self, holder: Holder) -> bool:
        """Whether a server's lease may be renewed with the same fence.

        A lease cannot be renewed after a release or a restart of the server, or
        when another server may have received a higher fence for the keys.
        """
        lease = self.lease_by_holder.get(holder)
        return (
            lease is not None
            and lease.renewable
            and not lease.released
            and lease.fence == self.last_fence
        )

    def copy_range(self, first: int, last: int) -> 'Segment':
        """Returns a part of the segment with its own copy of the leases."""
        leases = {
            holder: replace(lease)
            for holder, lease in self.lease_by_holder.items()
        }
        return replace(
            self,
            first=first,
            last=last,
            lease_by_holder=leases,
            in_flight=set(self.in_flight),
        )


class SegmentTable:
    """Owners and leases of all keys of one service.

    Attributes:
        lease_s: lease duration of each grant.
        changed: ranges whose owner changed since the last `pop_changes`.
        lease_ends: leases that ended since the last `pop_lease_ends`.
    """

    def __init__(self, epoch: int, lease_s: float, renew_s: float) -> None:
        self.segments: list[Segment] = [Segment(0, LAST_KEY)]
        self.lease_s = lease_s
        self.changed: list[tuple[int, int]] = []
        self.lease_ends: list[LeaseEnd] = []
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
        """Splits the segment that contains a key so that one starts there."""
        for index, segment in enumerate(self.segments):
            if segment.first < key <= segment.last:
                lower = segment.copy_range(segment.first, key - 1)
                upper = segment.copy_range(key, segment.last)
                self.segments.insert(index + 1, upper)
                self.segments[index] = lower
                return

    def plan(self, first: int, last: int, target: Holder) -> None:
        """Makes a server the intended owner of a range."""
        self.split(first)
        self.split(last + 1)
        for segment in self.in_range(first, last):
            if segment.intended_owner == target:
                continue
            segment.target = None if segment.owner == target else target
            self._invalidate_record(segment)

    @property
    def unrecorded(self) -> bool:
        """Whether the current plan is not recorded in the store yet."""
        return self._plan_version != self._recorded_version

    def reserve_fences(self) -> int:
        """Assigns the fences of the next grants; returns the plan version."""
        for segment in self.segments:
            intended_owner = segment.intended_owner
            if intended_owner is None or segment.reserved_fence is not None:
                continue
            if not segment.renewable(intended_owner):
                segment.reserved_fence = self._next_fence()
        return self._plan_version

    def mark_recorded(self, plan_version: int) -> None:
        """Marks the plan as recorded if its version is still current."""
        if plan_version != self._plan_version:
            return
        for segment in self.segments:
            segment.recorded = True
        self._recorded_version = plan_version

    def end_holder(self, holder: Holder) -> None:
        """Removes the leases of a server incarnation that has stopped."""
        for segment in self.segments:
            self._end_lease(segment, holder, LeaseEndReason.server_ended)
            self._remove_from_plan(segment, holder)

    def restart_holder(self, holder: Holder, now_s: float) -> None:
        """Handles a server that has started again under the same id.

        The new process may have accepted grants since its start. The leases go
        on until it answers a release or they expire, but are not renewed.
        """
        for segment in self.segments:
            lease = segment.lease_by_holder.get(holder)
            if lease is not None:
                lease.renewable = False
                if holder in segment.in_flight and not lease.releasing:
                    lease.unconfirmed_until_s = self._lease_end(
                        now_s + LATEST_ARRIVAL_S
                    )
            self._remove_from_plan(segment, holder)

    def holders(self) -> set[Holder]:
        """Returns all servers that may hold keys or are to get some."""
        known: set[Holder] = set()
        for segment in self.segments:
            known.update(segment.lease_by_holder)
            if segment.target is not None:
                known.add(segment.target)
        return known

    def all_calls_answered(self, now_s: float) -> bool:
        """Whether no call is in flight and no grant can be applied late."""
        return not any(
            segment.in_flight
            or any(
                lease.late_until_s > now_s
                for lease in segment.lease_by_holder.values()
            )
            for segment in self.segments
        )

    def require_record(self) -> None:
        """Requires a record in the store before any grant or renewal."""
        self._plan_version += 1

    def unconfirmed_grants(self, now_s: float) -> list[UnconfirmedGrant]:
        """Returns the grants that servers may still apply."""
        return [
            UnconfirmedGrant(
                segment.first,
                segment.last,
                *holder,
                self._unconfirmed_s(segment, holder, now_s),
            )
            for segment in self.segments
            for holder in segment.lease_by_holder
            if self._unconfirmed_s(segment, holder, now_s) > 0
        ]

    def replace_assumed_grants(
        self,
        epoch: int,
        unconfirmed_grants: Iterable[UnconfirmedGrant],
        now_s: float,
    ) -> bool:
        """Replaces the assumptions about the previous leader's grants.

        Its report covers the grants of all leaders before it, but not those
        of a leader after it, which may have stored no record.

        Args:
            epoch: epoch of the leader that sent the report.
            unconfirmed_grants: those that it reported.
            now_s: the present time.

        Returns:
            Whether they were replaced: no other leader led since that one.
        """
        if not self._follows(epoch):
            return False
        reported = list(unconfirmed_grants)
        for grant in reported:
            self.split(grant.first)
            self.split(grant.last + 1)
        for segment in self.segments:
            for holder, lease in segment.lease_by_holder.items():
                remaining_s = _longest_unconfirmed_s(segment, holder, reported)
                lease.assumed_until_s = min(
                    lease.assumed_until_s, now_s + remaining_s
                )
        return True

    def merge_adjacent(self) -> None:
        """Merges adjacent segments with the same lease and no calls."""
        merged: list[Segment] = []
        for segment in self.segments:
            if merged and _mergeable(merged[-1], segment):
                _merge_upper(merged[-1], segment)
            else:
                merged.append(segment)
        self.segments = merged

    def calls_due(
        self, now_s: float, renew_s: float | None = None
    ) -> list[OwnershipCall]:
        """Returns the calls that are due and marks them as in flight.

        Args:
            now_s: the present time.
            renew_s: age from which grants are renewed, if not the usual one.
        """
        due_age_s = self._renew_s if renew_s is None else renew_s
        due: list[OwnershipCall] = []
        for segment in self.segments:
            self._remove_ended_leases(segment, now_s)
            due.extend(self._segment_calls(segment, now_s, due_age_s))
        return due

    def grant_answered(
        self,
        call: OwnershipCall,
        *,
        accepted: bool,
        now_s: float,
        delivery: Delivery | None = None,
    ) -> bool:
        """Applies a server's answer to a grant.

        Args:
            call: the grant.
            accepted: whether the server has accepted it.
            now_s: the present time.
            delivery: of an accepted grant, None if the answer is surely no
                copy.

        Returns:
            Whether the server became the owner of keys.
        """
        changes = len(self.changed)
        for segment, lease in self._end_call(call):
            if accepted:
                lease.accepted = True
                lease.until_s = max(lease.until_s, self._lease_end(now_s))
                if delivery is not None:
                    latest = UnprovenGrant(delivery, self._lease_end(now_s))
                    lease.unproven = (*lease.unproven_grants(now_s), latest)
                self._handle_acceptance(segment, call.holder)
                self._end_earlier_processes(segment, call.holder)
            else:
                self._handle_refusal(segment, call.holder, lease)
        return accepted and len(self.changed) > changes

    def call_unanswered(self, call: OwnershipCall, now_s: float) -> None:
        """Handles a call that was withdrawn without an answer.

        The server may apply it late or never.
        """
        end_s = self._lease_end(now_s + _NETWORK_DELAY_S)
        for _, lease in self._end_call(call):
            if call.kind == CallKind.grant:
                lease.unconfirmed_until_s = max(
                    lease.unconfirmed_until_s, end_s
                )

    def call_not_sent(self, call: OwnershipCall) -> None:
        """Handles a call that its server has not read and never will."""
        self._end_call(call)

    def retry_call_after(
        self, call: OwnershipCall, after_s: float, now_s: float
    ) -> None:
        """Makes a call due again after a delay."""
        for segment in self.in_range(call.first, call.last):
            lease = segment.lease_by_holder.get(call.holder)
            if lease is None or lease.fence != call.fence:
                continue
            lease.call_due_s = now_s + after_s
            if call.kind == CallKind.grant:
                lease.sent_s = -inf

    def release_answered(
        self, call: OwnershipCall, handover: str | None, now_s: float
    ) -> None:
        """Applies a server's answer to a release."""
        for segment, lease in self._end_call(call):
            lease.released = True
            lease.accepted = False
            if handover is not None:
                segment.handover = handover
            self._remove_ended_leases(segment, now_s)

    def pop_changes(self) -> list[tuple[int, int]]:
        """Returns the ranges whose owner changed and clears the list."""
        changes = self.changed
        self.changed = []
        return changes

    def pop_lease_ends(self) -> list[LeaseEnd]:
        """Returns the leases that ended and clears the list."""
        ends = self.lease_ends
        self.lease_ends = []
        return ends

    def load(self, segments: Iterable[Segment]) -> None:
        """Replaces all segments by those that an earlier leader recorded."""
        self.segments = sorted(segments, key=_first_key)

    def load_owners(
        self,
        owner_by_range: Mapping[tuple[int, int], Holder],
        latest_end_s: float,
    ) -> None:
        """Replaces all segments when nobody knows which servers hold keys.

        Args:
            owner_by_range: servers that probably hold ranges of keys. They get
                requests, and are granted the keys again.
            latest_end_s: when every earlier lease has expired.
        """
        self.segments = [Segment(0, LAST_KEY)]
        for first, last in owner_by_range:
            self.split(first)
            self.split(last + 1)
        for (first, last), owner in owner_by_range.items():
            for segment in self.in_range(first, last):
                self._set_owner(segment, owner)
        for segment in self.segments:
            segment.lease_by_holder[UNKNOWN_HOLDER] = unknown_lease(
                latest_end_s
            )
        self._plan_version += 1

    def _unconfirmed_s(
        self, segment: Segment, holder: Holder, now_s: float
    ) -> float:
        unconfirmed_s = segment.lease_by_holder[holder].late_until_s - now_s
        if holder in segment.in_flight:
            # The call may still arrive.
            unconfirmed_s = self.lease_s * CLOCK_MARGIN + LATEST_ARRIVAL_S
        return unconfirmed_s

    def _follows(self, epoch: int) -> bool:
        """Whether no other leader can have led since that of an epoch."""
        return epoch == self._epoch - 1

    def _segment_calls(
        self, segment: Segment, now_s: float, renew_s: float
    ) -> Iterator[OwnershipCall]:
        keeper = segment.keeper
        # An earlier process of the keeper has ended; what that held is replaced
        # by the next grant.
        other_holders = [
            held
            for held in segment.lease_by_holder
            if keeper is None or held.server_id != keeper.server_id
        ]
        if (
            other_holders
            and keeper != segment.owner
            and segment.owner is not None
        ):
            # Requests stop before the owner is asked to release.
            self._set_owner(segment, None)
        yield from self._releases(segment, other_holders, now_s)
        if keeper is None or other_holders:
            return
        if any(one.server_id == keeper.server_id for one in segment.in_flight):
            return
        lease = self._lease_to_send(segment, keeper)
        if lease is None or now_s < lease.call_due_s:
            return
        if lease.accepted and now_s - lease.sent_s < renew_s:
            return
        lease.sent_s = now_s
        segment.in_flight.add(keeper)
        yield _make_call(
            CallKind.grant, segment, keeper, lease, now_s, lease.handover
        )

    def _releases(
        self, segment: Segment, holders: Iterable[Holder], now_s: float
    ) -> Iterator[OwnershipCall]:
        for holder in holders:
            lease = segment.lease_by_holder[holder]
            due = _needs_release(lease, now_s) and now_s >= lease.call_due_s
            if due and holder not in segment.in_flight:
                lease.releasing = True
                segment.in_flight.add(holder)
                yield _make_call(
                    CallKind.release, segment, holder, lease, now_s
                )

    def _lease_to_send(self, segment: Segment, keeper: Holder) -> Lease | None:
        """Returns the lease to grant or renew, None if it is not recorded."""
        own = segment.lease_by_holder.get(keeper)
        if own is not None and segment.renewable(keeper):
            return own
        if not segment.recorded or segment.reserved_fence is None:
            return None
        return self._new_lease(segment, keeper, segment.reserved_fence, own)

    def _handle_acceptance(self, segment: Segment, holder: Holder) -> None:
        if segment.intended_owner != holder:
            return
        segment.target = None
        segment.handover = None
        if segment.owner != holder:
            self._set_owner(segment, holder)

    def _end_earlier_processes(self, segment: Segment, holder: Holder) -> None:
        """Ends the leases that an accepted grant to a server replaces."""
        for earlier in list(segment.lease_by_holder):
            same_server = earlier.server_id == holder.server_id
            if same_server and earlier != holder:
                self._end_lease(segment, earlier, LeaseEndReason.replaced)

    def _handle_refusal(
        self, segment: Segment, holder: Holder, lease: Lease
    ) -> None:
        # The server knows a higher fence for some of the keys, so it did not
        # apply this grant. It may hold the others by an earlier one.
        lease.renewable = False
        lease.accepted = False
        if segment.owner == holder:
            segment.target = segment.target or holder
            self._set_owner(segment, None)
        self._invalidate_record(segment)

    def _new_lease(
        self,
        segment: Segment,
        holder: Holder,
        fence: int,
        earlier: Lease | None,
    ) -> Lease:
        lease = Lease(fence, until_s=0, handover=segment.handover)
        if earlier is not None:
            # The server holds the keys by the earlier grant until it has
            # accepted this one.
            lease.until_s = 0 if earlier.released else earlier.until_s
            lease.unconfirmed_until_s = earlier.unconfirmed_until_s
            lease.assumed_until_s = earlier.assumed_until_s
            lease.unproven = earlier.unproven
        segment.lease_by_holder[holder] = lease
        segment.last_fence = fence
        return lease

    def _invalidate_record(self, segment: Segment) -> None:
        segment.recorded = False
        segment.reserved_fence = None
        self._plan_version += 1

    def _next_fence(self) -> int:
        self._fences_used += 1
        return (self._epoch << _FENCE_COUNTER_BITS) + self._fences_used

    def _end_call(self, call: OwnershipCall) -> list[tuple[Segment, Lease]]:
        """Marks a call as no longer in flight; returns its leases."""
        leases = []
        for segment in self.in_range(call.first, call.last):
            segment.in_flight.discard(call.holder)
            lease = segment.lease_by_holder.get(call.holder)
            if lease is not None and lease.fence == call.fence:
                lease.releasing = False
                leases.append((segment, lease))
        return leases

    def _remove_ended_leases(self, segment: Segment, now_s: float) -> None:
        for holder, lease in list(segment.lease_by_holder.items()):
            needed = holder in {segment.intended_owner, segment.keeper}
            kept = needed and not lease.released
            # A release in flight cannot start a lease.
            granting = holder in segment.in_flight and not lease.releasing
            if not kept and not granting and now_s > lease.end_s:
                self._end_lease(segment, holder, lease.expiry_reason)

    def _end_lease(
        self, segment: Segment, holder: Holder, reason: LeaseEndReason
    ) -> None:
        lease = segment.lease_by_holder.pop(holder, None)
        if lease is not None:
            self.lease_ends.append(
                LeaseEnd(
                    segment.first, segment.last, holder, lease.fence, reason
                )
            )

    def _lease_end(self, arrival_s: float) -> float:
        return arrival_s + self.lease_s * CLOCK_MARGIN

    def _remove_from_plan(self, segment: Segment, holder: Holder) -> None:
        if holder in {segment.target, segment.owner}:
            # The reserved fence belonged to the stopped server.
            self._invalidate_record(segment)
        if segment.target == holder:
            segment.target = None
        if segment.owner == holder:
            self._set_owner(segment, None)

    def _set_owner(self, segment: Segment, owner: Holder | None) -> None:
        segment.owner = owner
        self.changed.append((segment.first, segment.last))


def unknown_lease(latest_end_s: float) -> Lease:
    """Returns a lease of ``UNKNOWN_HOLDER``, for which no call is due."""
    return Lease(
        fence=0,
        until_s=latest_end_s,
        unconfirmed_until_s=latest_end_s,
        released=True,
    )


def epoch_of(fence: int) -> int:
    """Returns the epoch of the leader that assigned a fence."""
    return fence >> _FENCE_COUNTER_BITS


def _needs_release(lease: Lease, now_s: float) -> bool:
    """Whether a release is not answered yet, or can prove another grant."""
    return not lease.released or any(
        grant.delivery.provable for grant in lease.unproven_grants(now_s)
    )


def _first_key(segment: Segment) -> int:
    return segment.first


def _longest_unconfirmed_s(
    segment: Segment,
    holder: Holder,
    unconfirmed_grants: Iterable[UnconfirmedGrant],
) -> float:
    return max(
        (
            grant.remaining_s
            for grant in unconfirmed_grants
            if grant.holder == holder
            and grant.first <= segment.last
            and grant.last >= segment.first
        ),
        default=0,
    )


def _make_call(
    kind: CallKind,
    segment: Segment,
    holder: Holder,
    lease: Lease,
    now_s: float,
    handover: str | None = None,
) -> OwnershipCall:
    return OwnershipCall(
        kind,
        holder,
        segment.first,
        segment.last,
        lease.fence,
        handover,
        tuple(grant.delivery for grant in lease.unproven_grants(now_s)),
    )


def _mergeable(lower: Segment, upper: Segment) -> bool:
    for segment in (lower, upper):
        idle = segment.target is None and not segment.in_flight
        if not idle or list(segment.lease_by_holder) != [segment.owner]:
            return False
    if lower.owner != upper.owner or lower.owner is None:
        return False
    lower_lease = lower.lease_by_holder[lower.owner]
    upper_lease = upper.lease_by_holder[lower.owner]
    return (
        lower_lease.fence == upper_lease.fence
        and lower_lease.handover == upper_lease.handover
        and lower_lease.accepted
        and upper_lease.accepted
    )


def _merge_upper(lower: Segment, upper: Segment) -> None:
    assert lower.owner is not None
    lower_lease = lower.lease_by_holder[lower.owner]
    upper_lease = upper.lease_by_holder[lower.owner]
    lower_lease.until_s = max(lower_lease.until_s, upper_lease.until_s)
    lower_lease.unconfirmed_until_s = max(
        lower_lease.unconfirmed_until_s, upper_lease.unconfirmed_until_s
    )
    lower_lease.assumed_until_s = max(
        lower_lease.assumed_until_s, upper_lease.assumed_until_s
    )
    lower_lease.unproven = tuple(
        dict.fromkeys(lower_lease.unproven + upper_lease.unproven)
    )
    lower_lease.sent_s = min(lower_lease.sent_s, upper_lease.sent_s)
    lower.last = upper.last
    lower.last_fence = max(lower.last_fence, upper.last_fence)
