"""Rules of an elector: promises to the leader and votes to replace it.

The leader's row in the store names some instances as electors. A leader that
cannot reach the store may extend its lease when a majority of them promises
not to vote for a replacement meanwhile. A candidate that wants to replace the
leader needs the votes of a majority too, for the version of the row that it
replaces. Two majorities share at least one elector, which refuses either the
vote or the promise, so the old and the new leader never act at the same time.

Electors keep this state in memory. A restarted elector has lost it and waits:
it votes only after every promise of its earlier incarnation has expired, and
promises only after no leader from before its start can act by promises.
"""

from collections.abc import Callable, Collection, Hashable

# Duration of one promise; the leader requests several within it.
PROMISE_S = 1.5
# The leader's clock may run slower than an elector's by this factor.
_CLOCK_RATE_MARGIN = 0.98
# Longest extension by promises after the last renewal in the store. Store
# outages of about 8 s are usual; a candidate without a majority has to wait
# for this long.
MAX_PROMISED_LEASE_S = 10.0


class Promises:
    """The promises and votes that this instance gave as an elector."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._started_s = now()
        self._promised_until_s: float = 0
        self._voted_version = -1

    def promise(self, version: int) -> bool:
        """Promises not to vote for a replacement during ``PROMISE_S``.

        Args:
            version: version of the row that the leader wrote last.

        Returns:
            Whether the promise is given.
        """
        now_s = self._now()
        if now_s - self._started_s < MAX_PROMISED_LEASE_S:
            return False
        if version <= self._voted_version:
            return False
        self._promised_until_s = now_s + PROMISE_S
        return True

    def may_keep(self, version: int) -> bool:
        """Whether a copy may be kept for the leader that wrote a row version.

        A candidate that has the vote of this instance has its copies, too.
        """
        return version > self._voted_version

    def vote(self, version: int) -> bool:
        """Votes to replace the leader that wrote a version of the row.

        Returns:
            Whether the vote is given.
        """
        voting_from_s = max(self._promised_until_s, self._started_s + PROMISE_S)
        if self._now() < voting_from_s:
            return False
        self._voted_version = max(version, self._voted_version)
        return True


def promised_lease_end_s(requested_s: float, renewed_s: float) -> float:
    """Returns until when a leader may act by a majority's promises.

    Args:
        requested_s: when the leader began to request the promises.
        renewed_s: when its last renewal in the store began.
    """
    return min(
        requested_s + PROMISE_S * _CLOCK_RATE_MARGIN,
        renewed_s + MAX_PROMISED_LEASE_S,
    )


def is_majority(
    accepting: Collection[Hashable], electors: Collection[Hashable]
) -> bool:
    """Whether more than half of the electors accept; false without electors."""
    count = sum(1 for elector in electors if elector in accepting)
    return count * 2 > len(electors)
