"""Electors that a candidate may still know after the leader's row was lost.

A restore of the store loses the leader's row. A candidate then requests the
votes of the electors that it knows from the leader. That is safe as long as
every leader that may act by promises needs a majority of these electors too.
So a set of electors that the row no longer names remains required for
promises, and is inherited by the next leader. Candidates use the electors only
if the leader confirmed them shortly before the restore: until the set is no
longer required, the last lease by promises from before the restore has expired.
"""

from collections.abc import Callable, Iterable
from math import inf

from yuccadale_edge._internal.membership.messages import (
    ConfirmedElectors,
    Electors,
)
from yuccadale_edge._internal.membership.promises import MAX_PROMISED_LEASE_S
from yuccadale_edge._internal.membership.record_copies import COPIES_VALID_S
from yuccadale_edge._internal.store_versions import FIRST_ERA, era_of

# A candidate uses electors that were confirmed at most this long before it
# noticed the restore.
CONFIRMATION_VALID_S = 11.0
# With clock rates that differ by 2 % at each instance.
FORMER_REQUIRED_S = 1.1 * (CONFIRMATION_VALID_S + MAX_PROMISED_LEASE_S)
# Bounds the size of the row while electors change often.
_MAX_SETS = 6


class RequiredElectors:
    """The sets of electors of which a leader needs majorities for promises.

    These are all sets that the stored row may name, including writes whose
    outcome is unknown, and former ones.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._until_s_by_electors: dict[Electors, float] = {}

    def sets(self) -> list[Electors]:
        """Returns the required sets."""
        now_s = self._now()
        self._until_s_by_electors = {
            electors: until_s
            for electors, until_s in self._until_s_by_electors.items()
            if until_s > now_s
        }
        return list(self._until_s_by_electors)

    def others(self, electors: Electors) -> tuple[Electors, ...]:
        """Returns the required sets without the one that a row names."""
        return tuple(one for one in self.sets() if one and one != electors)

    def limit(self, electors: Electors) -> Electors:
        """Returns the electors, or a required set if there are too many."""
        required = self.sets()
        if electors in required or len(required) < _MAX_SETS:
            return electors
        # Nobody can be elected by an empty set.
        return max(
            filter(None, required), key=self._until_s_by_electors.__getitem__
        )

    def add(self, electors: Electors) -> None:
        """Adds a set that the row may name from now on."""
        self._until_s_by_electors[electors] = inf

    def inherit(self, sets: Iterable[Electors], began_s: float) -> None:
        """Adds the sets of a row that another instance wrote.

        Args:
            sets: all sets of the row.
            began_s: a time after the row was read.
        """
        until_s = began_s + FORMER_REQUIRED_S
        for electors in sets:
            known_until_s = self._until_s_by_electors.get(electors, 0)
            self._until_s_by_electors[electors] = max(until_s, known_until_s)

    def clear(self) -> None:
        """Forgets the sets of an earlier leadership."""
        self._until_s_by_electors = {}

    def confirm(self, electors: Electors, began_s: float) -> None:
        """Records that the stored row names a set; the others are former.

        Args:
            electors: the set.
            began_s: when the write began.
        """
        until_s = began_s + FORMER_REQUIRED_S
        self._until_s_by_electors = {
            one: min(until_s, known_until_s)
            for one, known_until_s in self._until_s_by_electors.items()
            if one
        }
        self._until_s_by_electors[electors] = inf


class KnownElectors:
    """The electors that the leader's row named at the last confirmation.

    Attributes:
        since: version since which the row has named them, 0 if unknown.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.since = 0
        self._now = now
        self._electors: Electors = ()
        self._version = 0
        self._confirmed_s: float = 0
        # When the leader was asked which services' records are kept.
        self._kept_s_by_service: dict[str, float] = {}

    @property
    def electors(self) -> Electors:
        """The electors, also if they were confirmed long ago."""
        return self._electors

    def record_renewal(
        self, version: int, electors: Electors, began_s: float
    ) -> None:
        """Records a renewal of this instance that succeeded."""
        if not self.since or electors != self._electors:
            self.since = version
        self._electors = electors
        self._kept_s_by_service = {}
        self._version = version
        self._confirmed_s = began_s

    def confirmation(
        self, since: int, kept_services: tuple[str, ...] = ()
    ) -> ConfirmedElectors | None:
        """Returns what this instance knows, None if that is nothing.

        Args:
            since: the same attribute of the receiver.
            kept_services: see ``ConfirmedElectors``.
        """
        if not self.since:
            return None
        return ConfirmedElectors(
            self._version,
            self.since,
            self._now() - self._confirmed_s,
            None if since == self.since else self._electors,
            kept_services,
        )

    def confirm(self, confirmed: ConfirmedElectors, requested_s: float) -> None:
        """Records what the leader answered.

        Args:
            confirmed: the answer.
            requested_s: when it was requested. Messages may be delayed, so
                the age counts from then.
        """
        if confirmed.version < self._version:
            return
        if confirmed.electors is not None:
            self._electors = confirmed.electors
            self.since = confirmed.since
            self._kept_s_by_service = {}
        elif confirmed.since != self.since:
            return
        self._version = confirmed.version
        self._confirmed_s = requested_s - confirmed.age_s
        self._kept_s_by_service |= dict.fromkeys(
            confirmed.kept_services, requested_s
        )

    def kept_services(self, electors: Electors) -> list[str]:
        """Returns the services whose records a majority of electors keeps.

        The leader has stated that shortly before, and can't have used a
        record without such a majority since.
        """
        if electors != self._electors:
            return []
        now_s = self._now()
        return [
            service
            for service, kept_s in self._kept_s_by_service.items()
            if now_s - kept_s <= COPIES_VALID_S
        ]

    def before_restore(self, version: int, noticed_s: float) -> Electors:
        """Returns electors of whom a majority can replace a lost row.

        Those of an era before the last one do not count, since a leader of
        the last era may have named others.

        Args:
            version: version of the lost row; its number is 0.
            noticed_s: when this instance noticed the restore.

        Returns:
            No electors if they are unknown or were confirmed too long ago.
        """
        last_era = max(era_of(self._version), FIRST_ERA)
        if last_era + 1 != era_of(version):
            return ()
        if noticed_s - self._confirmed_s > CONFIRMATION_VALID_S:
            return ()
        return self._electors
