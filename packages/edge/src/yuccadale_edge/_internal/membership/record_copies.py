"""Copies of the records of keys, which electors keep in memory.

A restore of the store loses the latest records. A leader that is elected after
it may go on from copies if these include every record by which keys were
granted:

* The leader uses a record only after a majority of each trusted set of electors
  keeps a copy. Without such a majority it waits until the set is not trusted
  any more.
* A set is trusted only for a short time after the leader has stated that a
  majority of it keeps the latest record.
* An elector keeps nothing for a leader after it has voted to replace it, and
  its vote comes with its copies.
* A candidate needs copies from a majority: an elector without one may have
  started again, and have lost a later copy than the others have.

So at least one of the voters has the latest record that was used, or a later
one. A later one lists the same servers, or more.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from math import inf

from yuccadale_edge._internal.membership.messages import (
    Elector,
    Electors,
    RecordCopy,
)
from yuccadale_edge._internal.membership.promises import is_majority

# A candidate uses copies if the leader stated for so long at most before its
# election that they are kept. This includes the outage of the store.
COPIES_VALID_S = 6.0
# With clock rates that differ by 2 % at each instance.
TRUSTED_S = 1.1 * COPIES_VALID_S
# With a smaller set, the loss of one elector would delay all moves of keys.
_MIN_ELECTORS = 3


class RecordCopies:
    """The copies that this instance keeps as an elector."""

    def __init__(self) -> None:
        self._copy_by_service: dict[str, RecordCopy] = {}

    def keep(self, copy: RecordCopy) -> None:
        """Keeps a copy unless it has a later one."""
        known = self._copy_by_service.get(copy.service)
        if known is None or copy.order > known.order:
            self._copy_by_service[copy.service] = copy

    def all(self) -> list[RecordCopy]:
        """Returns the copies of all services."""
        return list(self._copy_by_service.values())


class TrustedElectors:
    """Which electors keep the leader's records, and which sets are trusted."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._trusted_until_s_by_electors: dict[Electors, float] = {}
        # Sets that are not known may be trusted until then.
        self._unknown_until_s: float = 0
        # Of the latest record of each service.
        self._keeping_by_service: dict[str, frozenset[Elector]] = {}
        self._latest_by_service: dict[str, RecordCopy] = {}

    def begin_term(self, sets: Iterable[Electors] | None) -> None:
        """Assumes that the earlier leader has just made a statement.

        Args:
            sets: all sets that it may have made one about, None if unknown.
        """
        until_s = self._now() + TRUSTED_S
        self._keeping_by_service = {}
        if sets is None:
            self._unknown_until_s = until_s
            return
        for electors in sets:
            self._trust(electors, until_s)

    def sets(self) -> list[Electors]:
        """Returns the trusted sets."""
        now_s = self._now()
        self._trusted_until_s_by_electors = {
            electors: until_s
            for electors, until_s in self._trusted_until_s_by_electors.items()
            if until_s > now_s
        }
        return list(self._trusted_until_s_by_electors)

    def sets_to_ask(self, electors: Electors) -> list[Electors]:
        """Returns the sets of which a majority should keep the next record.

        Args:
            electors: the set that the leader's row names.
        """
        sets = set(self.sets())
        if len(electors) >= _MIN_ELECTORS:
            sets.add(electors)
        return list(sets)

    def begin_record(self, copy: RecordCopy) -> None:
        """Records that a service has a record that nobody keeps yet."""
        self._latest_by_service[copy.service] = copy
        self._keeping_by_service[copy.service] = frozenset()

    def end_record(
        self, copy: RecordCopy, keeping: Collection[Elector]
    ) -> bool:
        """Records which electors keep the latest record of a service.

        Returns:
            Whether the record may be used.
        """
        if self._latest_by_service.get(copy.service) != copy:
            return False
        self._keeping_by_service[copy.service] = frozenset(keeping)
        return self._now() >= self._unknown_until_s and all(
            is_majority(keeping, electors) for electors in self.sets()
        )

    def state(self, electors: Electors) -> tuple[str, ...]:
        """Returns the services whose latest record a majority keeps.

        The caller passes it on as the leader's statement, so that the set is
        trusted from now on.
        """
        if len(electors) < _MIN_ELECTORS:
            return ()
        services = tuple(
            service
            for service, keeping in self._keeping_by_service.items()
            if is_majority(keeping, electors)
        )
        if services:
            self._trust(electors, self._now() + TRUSTED_S)
        return services

    def _trust(self, electors: Electors, until_s: float) -> None:
        if len(electors) < _MIN_ELECTORS:
            return
        known_until_s = self._trusted_until_s_by_electors.get(electors, -inf)
        self._trusted_until_s_by_electors[electors] = max(
            until_s, known_until_s
        )


def latest_copies(
    copies_of_voters: Collection[Iterable[RecordCopy]],
    services: Iterable[str],
    electors: Electors,
) -> Mapping[str, RecordCopy]:
    """Returns the latest copy of each service that a majority has copies of.

    Args:
        copies_of_voters: what each elector that voted keeps.
        services: those whose copies may be used.
        electors: all electors.
    """
    found: dict[str, RecordCopy] = {}
    for service in services:
        copies = [
            copy
            for of_voter in copies_of_voters
            for copy in of_voter
            if copy.service == service
        ]
        if len(copies) * 2 > len(electors):
            found[service] = max(copies, key=_order)
    return found


def _order(copy: RecordCopy) -> tuple[int, int]:
    return copy.order
