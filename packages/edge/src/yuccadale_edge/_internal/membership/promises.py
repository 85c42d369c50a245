"""Promises by which a leader goes on while the store is away from everybody.

The leader's row in the store names some instances, the electors. A leader
that the store no longer answers may act for a little longer when a majority
of them promises not to agree to its replacement meanwhile. An instance that
wants to replace the leader needs the agreement of a majority as well, for
the version of the row that it replaces. Two majorities share an elector,
which either keeps its promise or refuses another one.

Electors keep all of this in memory. One that has started anew knows nothing,
so it waits: with an agreement until each promise of its earlier life is
over, and with a promise until no leader from before its start may act by
promises any more.
"""

from collections.abc import Callable, Collection, Hashable

# One promise; the leader asks again several times within it.
PROMISE_S = 1.5
# Clocks of two instances may differ by this part.
_CLOCK_SHARE = 0.98
# A leader acts by promises for at most this long after its last renewal in
# the store: outages of about 8 s are usual, and a candidate that reaches no
# majority has to wait for as long.
HOLD_MOST_S = 10.0


class Promises:
    """What this instance promised and agreed to, as an elector."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._started_s = now()
        self._promised_until_s: float = 0
        self._replaced_version = -1

    def promise(self, version: int) -> bool:
        """Promises not to agree to a replacement for ``PROMISE_S``.

        Args:
            version: that of the row which the leader wrote last.
        """
        now_s = self._now()
        if now_s - self._started_s < HOLD_MOST_S:
            return False
        if version <= self._replaced_version:
            return False
        self._promised_until_s = now_s + PROMISE_S
        return True

    def agree(self, version: int) -> bool:
        """Agrees to the replacement of the leader that wrote a version."""
        free_s = max(self._promised_until_s, self._started_s + PROMISE_S)
        if self._now() < free_s:
            return False
        self._replaced_version = max(version, self._replaced_version)
        return True


def promised_until_s(asked_s: float, renewed_s: float) -> float:
    """Returns until when a leader may act by a majority's promises.

    Args:
        asked_s: when it began to ask.
        renewed_s: when its last renewal in the store began.
    """
    return min(asked_s + PROMISE_S * _CLOCK_SHARE, renewed_s + HOLD_MOST_S)


def is_majority(
    named: Collection[Hashable], electors: Collection[Hashable]
) -> bool:
    """Whether more than half of the electors are named; never of none."""
    found = sum(1 for elector in electors if elector in named)
    return found * 2 > len(electors)
