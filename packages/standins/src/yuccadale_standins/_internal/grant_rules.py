"""Rules by which a server that checks grants accepts grants and requests.

The rules are specified in section 3.3 of the design page. The class does no
I/O and has an injected clock, so that a fuzzer can drive it directly.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from yuccadale_core.targets import Grant, GrantAnswer, LastGrant, Ticket
from yuccadale_core.timing import CLOCK_RATE_MARGIN, GRANT_TTL_MS

Clock = Callable[[], float]

# A leader may extend grants elsewhere because of this server's answer. After
# this time all of these grants have expired.
GRANT_EXPIRY_WAIT_MS = GRANT_TTL_MS * CLOCK_RATE_MARGIN


class WorkRefusal(StrEnum):
    """Why a server does not run a request."""

    token_too_low = 'token'
    token_unknown = 'token unknown'
    grant_ended = 'grant ended'
    slot_not_granted = 'slot not granted'
    slot_not_ready = 'slot not ready'


@dataclass(frozen=True, slots=True)
class _Ownership:
    """One slot of the grant in force.

    Attributes:
        period: number of the uninterrupted period of ownership.
        ready_at_ms: time from which the slot is served.
    """

    period: int
    ready_at_ms: float


@dataclass(frozen=True, slots=True)
class WorkPermit:
    """Permission to run a request; checked again before it takes effect."""

    slot: int
    period: int


class GrantRules:
    """Grants, fencing token and waiting times of one server process.

    Args:
        clock: monotonic time in milliseconds.
        incarnation: unique id of this process.
    """

    def __init__(self, clock: Clock, incarnation: str) -> None:
        self._clock = clock
        self._incarnation = incarnation
        self._grant: Grant | None = None
        self._ends_at_ms: float = 0
        self._ownership_by_slot: dict[int, _Ownership] = {}
        self._period_count = 0
        self._answered_at_by_holder: dict[str, float] = {}
        # An earlier process at this address may have answered a leader just
        # before it ended, so the start counts as an answer.
        self._new_slots_at_ms = clock() + GRANT_EXPIRY_WAIT_MS
        self.highest_token = 0

    def hello(self) -> GrantAnswer:
        """Issues a ticket; renews no grant."""
        return self._answer(accepted=False, last_grant=self._last_grant())

    def offer(self, grant: Grant) -> GrantAnswer:
        """Accepts or refuses a grant.

        A grant that has expired when it is processed is accepted too: the
        server stores its token and slots, but serves no request under it.
        """
        last_grant = self._last_grant()
        accepted = self._is_acceptable(grant)
        if accepted:
            self._accept(grant)
        if grant.token == self.highest_token:
            # See ``GRANT_EXPIRY_WAIT_MS``.
            self._answered_at_by_holder[grant.holder] = self._clock()
        return self._answer(accepted=accepted, last_grant=last_grant)

    def start(self, slot: int, token: int) -> WorkPermit | WorkRefusal:
        """Checks whether a request with this token may start now."""
        refusal = self._token_refusal(token) or self._slot_refusal(slot)
        if refusal is not None:
            return refusal
        return WorkPermit(slot, self._ownership_by_slot[slot].period)

    def may_take_effect(self, permit: WorkPermit) -> bool:
        """Checks whether the slot was owned without interruption until now."""
        ownership = self._ownership_by_slot.get(permit.slot)
        if ownership is None or ownership.period != permit.period:
            return False
        return self._clock() < self._ends_at_ms

    def serving_times(self) -> tuple[dict[int, float], float]:
        """Returns when each granted slot is ready, and when the grant ends."""
        ready_at_by_slot = {
            slot: ownership.ready_at_ms
            for slot, ownership in self._ownership_by_slot.items()
        }
        return ready_at_by_slot, self._ends_at_ms

    def _is_acceptable(self, grant: Grant) -> bool:
        if grant.ticket.incarnation != self._incarnation:
            return False
        if grant.token < self.highest_token:
            return False
        if grant.ticket.issued_ms > self._clock():
            return False
        last = self._grant
        if last is None or grant.token > last.token:
            return True
        return grant.holder == last.holder and grant.sequence > last.sequence

    def _accept(self, grant: Grant) -> None:
        if grant.token > self.highest_token:
            self._begin_token(grant)
        self._ownership_by_slot = {
            slot: self._ownership(slot, grant.token) for slot in grant.slots
        }
        self._grant = grant
        self._ends_at_ms = grant.ticket.issued_ms + _lifetime_ms(grant)

    def _begin_token(self, grant: Grant) -> None:
        answered_at_ms = max(
            (
                answered_ms
                for holder, answered_ms in self._answered_at_by_holder.items()
                if holder != grant.holder
            ),
            default=float('-inf'),
        )
        self._new_slots_at_ms = max(
            self._new_slots_at_ms, answered_at_ms + GRANT_EXPIRY_WAIT_MS
        )
        self.highest_token = grant.token
        now_ms = self._clock()
        self._answered_at_by_holder = {
            holder: answered_ms
            for holder, answered_ms in self._answered_at_by_holder.items()
            if answered_ms + GRANT_EXPIRY_WAIT_MS > now_ms
        }

    def _ownership(self, slot: int, token: int) -> _Ownership:
        now_ms = self._clock()
        known = self._ownership_by_slot.get(slot)
        if known is None or not (self._is_live() or self._has_token(token)):
            return _Ownership(self._next_period(), self._new_slots_at_ms)
        # An interruption invalidates running requests. Without a new token
        # only the holder can have moved the slot in between, so that the slot
        # needs no further waiting time.
        period = known.period if self._is_live() else self._next_period()
        if known.ready_at_ms > now_ms:
            ready_at_ms = max(known.ready_at_ms, self._new_slots_at_ms)
            return _Ownership(period, ready_at_ms)
        return _Ownership(period, known.ready_at_ms)

    def _has_token(self, token: int) -> bool:
        return self._grant is not None and self._grant.token == token

    def _next_period(self) -> int:
        self._period_count += 1
        return self._period_count

    def _is_live(self) -> bool:
        return self._grant is not None and self._clock() < self._ends_at_ms

    def _token_refusal(self, token: int) -> WorkRefusal | None:
        if token < self.highest_token:
            return WorkRefusal.token_too_low
        if token > self.highest_token:
            return WorkRefusal.token_unknown
        return None

    def _slot_refusal(self, slot: int) -> WorkRefusal | None:
        if not self._is_live():
            return WorkRefusal.grant_ended
        ownership = self._ownership_by_slot.get(slot)
        if ownership is None:
            return WorkRefusal.slot_not_granted
        if ownership.ready_at_ms > self._clock():
            return WorkRefusal.slot_not_ready
        return None

    def _answer(
        self, *, accepted: bool, last_grant: LastGrant | None
    ) -> GrantAnswer:
        return GrantAnswer(
            accepted=accepted,
            ticket=Ticket(self._incarnation, self._clock()),
            highest_token=self.highest_token,
            ready_in_ms=self._ready_in_ms(),
            last_grant=last_grant,
        )

    def _ready_in_ms(self) -> float:
        now_ms = self._clock()
        return max(
            (
                ownership.ready_at_ms - now_ms
                for ownership in self._ownership_by_slot.values()
                if ownership.ready_at_ms > now_ms
            ),
            default=0,
        )

    def _last_grant(self) -> LastGrant | None:
        grant = self._grant
        if grant is None:
            return None
        return LastGrant(
            holder=grant.holder,
            token=grant.token,
            sequence=grant.sequence,
            slots=(*grant.slots, *grant.retained),
            live=self._is_live(),
            gap=grant.gap,
        )


def _lifetime_ms(grant: Grant) -> float:
    # ``GRANT_EXPIRY_WAIT_MS`` relies on this limit.
    return min(grant.ttl_ms, GRANT_TTL_MS)
