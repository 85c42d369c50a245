"""Leases that have expired without a word of their server.

A grant that the network delivered in time may be read late: by a server whose
process was stopped, or behind a proxy that held it. No wait of the leader
bounds that. So the leader goes on asking such a server to release the keys,
and a late grant lasts until the next release is read.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from yuccadale_edge._internal.ownership.segments import (
    LAST_KEY,
    CallKind,
    Holder,
    LeaseEnd,
    OwnershipCall,
)

# Time between two releases.
RELEASE_INTERVAL_S = 0.3
# The last answer must not be followed by a grant that was read just after it.
_ANSWERS_NEEDED = 2
# Longest time for which a server is asked.
_KEPT_S = 30.0


@dataclass(slots=True)
class _Lapse:
    """The releases of one range.

    Attributes:
        until_s: when the server is no longer asked.
        due_s: when the next release is due.
        answers_left: how many releases the server has to answer.
        in_flight: whether a release, or a grant in its place, is being sent.
    """

    until_s: float
    due_s: float
    answers_left: int = _ANSWERS_NEEDED
    in_flight: bool = False


class LapsedLeases:
    """The ranges of which servers are asked to release what they may hold."""

    def __init__(self) -> None:
        self._lapse_by_release: dict[OwnershipCall, _Lapse] = {}

    def add(self, ended: LeaseEnd, now_s: float) -> None:
        """Adds a lease that has expired."""
        release = OwnershipCall(
            CallKind.release, ended.holder, ended.first, ended.last, ended.fence
        )
        self._lapse_by_release[release] = _Lapse(now_s + _KEPT_S, now_s)

    def releases_due(self, now_s: float) -> list[OwnershipCall]:
        """Returns the releases that are due and marks them as in flight."""
        self._lapse_by_release = {
            release: lapse
            for release, lapse in self._lapse_by_release.items()
            if now_s <= lapse.until_s or lapse.in_flight
        }
        due = [
            release
            for release, lapse in self._lapse_by_release.items()
            if now_s >= lapse.due_s and not lapse.in_flight
        ]
        for release in due:
            self._lapse_by_release[release].in_flight = True
        return due

    def release_ended(
        self, release: OwnershipCall, now_s: float, *, answered: bool
    ) -> None:
        """Handles the end of a release, with or without an answer."""
        lapse = self._lapse_by_release.get(release)
        if lapse is None:
            return
        lapse.in_flight = False
        lapse.due_s = now_s + RELEASE_INTERVAL_S
        lapse.answers_left -= int(answered)
        if not lapse.answers_left:
            self._lapse_by_release.pop(release)

    def remove(self, holder: Holder) -> None:
        """Removes the ranges of a server that has ended."""
        for release in self._overlapping(holder, 0, LAST_KEY):
            self._lapse_by_release.pop(release)

    def begin_grant(self, grant: OwnershipCall) -> bool:
        """Holds the releases back that a grant to the same server may replace.

        Returns:
            False while a release of some of its keys is in flight. It could
            arrive after the grant and end it.
        """
        releases = self._overlapping(grant.holder, grant.first, grant.last)
        if any(self._lapse_by_release[one].in_flight for one in releases):
            return False
        for release in releases:
            self._lapse_by_release[release].in_flight = True
        return True

    def end_grant(self, grant: OwnershipCall, *, accepted: bool) -> None:
        """Removes what an accepted grant replaces; goes on with the rest."""
        for release in self._overlapping(grant.holder, grant.first, grant.last):
            lapse = self._lapse_by_release[release]
            lapse.in_flight = False
            if accepted:
                self._lapse_by_release.pop(release)
                for rest in _without(release, grant):
                    self._lapse_by_release[rest] = replace(lapse)

    def _overlapping(
        self, holder: Holder, first: int, last: int
    ) -> list[OwnershipCall]:
        return [
            release
            for release in self._lapse_by_release
            if release.holder.server_id == holder.server_id
            and release.first <= last
            and release.last >= first
        ]


def _without(
    release: OwnershipCall, grant: OwnershipCall
) -> Iterator[OwnershipCall]:
    """Yields the parts of a release outside the range of a grant."""
    if release.first < grant.first:
        yield replace(release, last=grant.first - 1)
    if release.last > grant.last:
        yield replace(release, first=grant.last + 1)
