"""The ledger of grants: which slots each server may serve, and until when.

A grant lets a server serve slots for a lifetime that the server counts from
the ticket in it, on its own clock. So on the leader's clock it has expired at
(arrival of the ticket) + lifetime * clock margin.

A grant of a slot may last until the later of two times:

- the end of the leader's lease: no other leader can act before;
- the grant lifetime after the last call that the slot's committed successor
  accepted: the successor waits as long for this leader's grants to expire
  before it serves the slot for another leader.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from yuccadale_core.targets import Grant, GrantAnswer, LastGrant, Ticket
from yuccadale_core.timing import CLOCK_RATE_MARGIN, GRANT_TTL_MS
from yuccadale_router._internal.clock import Clock

MINIMUM_TTL_MS = 50
GRANT_TTL_WITH_MARGIN_MS = GRANT_TTL_MS * CLOCK_RATE_MARGIN


@dataclass(frozen=True, slots=True)
class SentGrant:
    """A grant that the server may have accepted.

    Attributes:
        usable_until: until when requests may be sent under it.
        expires_at: when it has expired at the server for certain.
        gap: whether it marks missing records at the standby.
    """

    sequence: int
    slots: frozenset[int]
    sent_at: float
    usable_until: float
    expires_at: float
    gap: bool


@dataclass(slots=True)
class ServerGrants:
    """Grants of this leader to one server.

    Attributes:
        last_accepted_call_at: when the newest call was sent that the server
            accepted with this leader's token as its highest.
        first_accepted_at: first acceptance of the current token.
        incarnation_seen_at: first answer of the server's current process.
        ready_at: when the server serves all slots of the accepted grant.
        previous_grant: an earlier leader's grant that the server reported.
    """

    ticket: Ticket | None = None
    ticket_arrived_at: float = -math.inf
    sent: list[SentGrant] = field(default_factory=list)
    accepted: SentGrant | None = None
    last_accepted_call_at: float = -math.inf
    first_accepted_at: float = math.inf
    incarnation_seen_at: float = math.inf
    ready_at: float = math.inf
    previous_grant: LastGrant | None = None
    reported: bool = False

    def slot_expires_at(self, slot: int) -> float:
        """Returns when every grant with the slot has expired."""
        return max(
            (grant.expires_at for grant in self.sent if slot in grant.slots),
            default=-math.inf,
        )


class GrantLedger:
    """All grants of one leader."""

    def __init__(self, clock: Clock, holder: str, token: int) -> None:
        self._clock = clock
        self._holder = holder
        self._sequence = 0
        self._grants_by_server: dict[str, ServerGrants] = {}
        self._gap_servers: set[str] = set()
        self.token = token

    def of_server(self, server_name: str) -> ServerGrants:
        """Returns the entry of a server, creating it when missing."""
        return self._grants_by_server.setdefault(server_name, ServerGrants())

    def change_token(self, token: int) -> None:
        """Switches to a higher token of the same leader.

        The holder stays the same, so successors still wait for the grants
        that rely on their earlier answers. No server has accepted the new
        token yet.
        """
        self.token = token
        for grants in self._grants_by_server.values():
            grants.first_accepted_at = math.inf

    def mark_gap(self, server_name: str) -> None:
        """Sets the gap mark in the server's next grants."""
        self._gap_servers.add(server_name)

    def clear_gaps(self) -> None:
        """Leaves the gap mark out of the next grants."""
        self._gap_servers.clear()

    def gap_accepted(self, server_name: str) -> bool:
        """Says whether the server holds the gap mark for certain."""
        grants = self.of_server(server_name)
        accepted = grants.accepted
        if accepted is None or server_name not in self._gap_servers:
            return False
        # A later grant without the mark may still be accepted.
        return all(
            sent.gap
            for sent in grants.sent
            if sent.sequence >= accepted.sequence
        )

    def gap_server_names(self) -> frozenset[str]:
        """Returns the servers whose grants carry the gap mark."""
        return frozenset(self._gap_servers)

    def note_answer(self, server_name: str, answer: GrantAnswer) -> None:
        """Stores the ticket of an answer to a grant or hello call."""
        grants = self.of_server(server_name)
        now = self._clock()
        known = grants.ticket
        if known is None or known.incarnation != answer.ticket.incarnation:
            grants.incarnation_seen_at = now
            grants.ready_at = math.inf
            grants.accepted = None
        grants.ticket = answer.ticket
        grants.ticket_arrived_at = now
        last_grant = answer.last_grant
        if last_grant is None or last_grant.holder != self._holder:
            grants.previous_grant = last_grant
        grants.reported = True

    def prepare(
        self,
        server_name: str,
        limit_by_slot: Mapping[int, float],
        retained: Iterable[int] = (),
    ) -> Grant | None:
        """Makes the next grant of a server; None without a ticket.

        ``limit_by_slot`` holds the latest end of a grant for each slot. A
        server that has not accepted the token yet is offered all its slots,
        with a lifetime of 0 ms when the limits allow no more, so that it
        learns the token. Slots that are left out, and those in ``retained``,
        are still reported as the server's own to a leader without state.
        """
        grants = self.of_server(server_name)
        if grants.ticket is None:
            return None
        arrived_at = grants.ticket_arrived_at
        ttl_by_slot = {
            slot: min(GRANT_TTL_MS, limit - arrived_at)
            for slot, limit in limit_by_slot.items()
        }
        slots = _slots_with_sufficient_ttl(ttl_by_slot)
        ttl_ms = min((ttl_by_slot[slot] for slot in slots), default=0)
        if math.isinf(grants.first_accepted_at) and len(slots) < len(
            ttl_by_slot
        ):
            slots = list(ttl_by_slot)
            ttl_ms = 0
        self._sequence += 1
        grant = Grant(
            holder=self._holder,
            token=self.token,
            ticket=grants.ticket,
            ttl_ms=ttl_ms,
            slots=tuple(slots),
            sequence=self._sequence,
            gap=server_name in self._gap_servers,
            retained=(*(ttl_by_slot.keys() - set(slots)), *retained),
        )
        self._note_sent(grants, grant)
        return grant

    def note_accepted(
        self, server_name: str, grant: Grant, answer: GrantAnswer
    ) -> None:
        """Records an accepted grant; it replaces all earlier ones."""
        grants = self.of_server(server_name)
        self.note_answer(server_name, answer)
        if answer.ticket.incarnation != grant.ticket.incarnation:
            return
        grants.sent = [
            sent for sent in grants.sent if sent.sequence >= grant.sequence
        ]
        for sent in grants.sent:
            if sent.sequence == grant.sequence:
                self._accept(grants, sent, answer)

    def may_use(self, server_name: str, slot: int) -> bool:
        """Says whether a valid grant lets requests for the slot be sent."""
        grants = self.of_server(server_name)
        accepted = grants.accepted
        now = self._clock()
        return (
            accepted is not None
            and slot in accepted.slots
            and now < accepted.usable_until
            and now >= grants.ready_at
        )

    def _accept(
        self, grants: ServerGrants, sent: SentGrant, answer: GrantAnswer
    ) -> None:
        if answer.highest_token == self.token:
            grants.last_accepted_call_at = max(
                grants.last_accepted_call_at, sent.sent_at
            )
            grants.first_accepted_at = min(
                grants.first_accepted_at, self._clock()
            )
        grants.accepted = sent
        grants.ready_at = self._clock() + answer.ready_in_ms

    def _note_sent(self, grants: ServerGrants, grant: Grant) -> None:
        now = self._clock()
        arrived_at = grants.ticket_arrived_at
        grants.sent = [
            sent
            for sent in grants.sent
            if sent.expires_at > now or sent is grants.accepted
        ]
        grants.sent.append(
            SentGrant(
                sequence=grant.sequence,
                slots=frozenset(grant.slots),
                sent_at=now,
                usable_until=arrived_at + grant.ttl_ms,
                expires_at=arrived_at + grant.ttl_ms * CLOCK_RATE_MARGIN,
                gap=grant.gap,
            )
        )


def _slots_with_sufficient_ttl(ttl_by_slot: Mapping[int, float]) -> list[int]:
    """Leaves out slots that would shorten the grant too much.

    All slots of a grant share its lifetime. With a slot below half of the
    longest lifetime, the grant could expire before it is renewed, and all of
    the server's slots would be interrupted.
    """
    longest = max(ttl_by_slot.values(), default=0)
    least = max(MINIMUM_TTL_MS, longest / 2)
    return [slot for slot, ttl_ms in ttl_by_slot.items() if ttl_ms >= least]


def latest_ends(
    slots: Iterable[int],
    lease_end: float,
    answered_by_slot: Mapping[int, float],
) -> dict[int, float]:
    """Returns the latest end of a grant for each slot.

    ``answered_by_slot`` holds when the last call was sent that the committed
    successor accepted, minus infinity when there is none.
    """
    return {
        slot: max(
            lease_end,
            answered_by_slot.get(slot, -math.inf) + GRANT_TTL_MS,
        )
        for slot in slots
    }
