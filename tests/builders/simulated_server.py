"""A server that follows the grant rules, on simulated time.

The oracle's checks rely on it alone to say which server serves a slot.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from yuccadale_core.targets import Grant, GrantAnswer, LastGrant, Ticket
from yuccadale_core.timing import CLOCK_RATE_MARGIN, GRANT_TTL_MS

from tests.builders.simulated_loop import World

_WAIT_MS = GRANT_TTL_MS * CLOCK_RATE_MARGIN


@dataclass
class SimulatedServer:
    """One server.

    ``checks_token`` and ``waits_for_earlier_holder`` are off only in tests
    that remove the rule from all servers; so they belong to the class.
    """

    checks_token: ClassVar[bool] = True
    waits_for_earlier_holder: ClassVar[bool] = True

    world: World
    name: str
    rate: float = 1.0
    incarnation: int = 1
    alive: bool = True
    frozen_until: float = 0
    highest_token: int = 0
    grant: Grant | None = None
    ready_at_by_slot: dict[int, float] = field(default_factory=dict)
    answered_by_holder: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )

    def local_ms(self) -> float:
        """Reads the server's clock."""
        return self.world.now_ms * self.rate

    def world_ms(self, local_ms: float) -> float:
        """Converts a reading of the server's clock to world time."""
        return local_ms / self.rate

    def restart(self) -> None:
        """Starts a new process that remembers no grant or token."""
        self.incarnation += 1
        self.highest_token = 0
        self.grant = None
        self.ready_at_by_slot = {}
        self.answered_by_holder = {}
        self.frozen_until = 0

    def hello(self) -> GrantAnswer:
        """Answers with a ticket."""
        return self._answer(accepted=False, last_grant=self._last_grant())

    def offer(self, grant: Grant) -> GrantAnswer:
        """Accepts or refuses a grant."""
        last_grant = self._last_grant()
        if not self._is_acceptable(grant):
            return self._answer(accepted=False, last_grant=last_grant)
        now = self.local_ms()
        wait_until = max(
            (
                answered_at + _WAIT_MS
                for holder, (token, answered_at) in (
                    self.answered_by_holder.items()
                )
                if holder != grant.holder and token < grant.token
            ),
            default=now,
        )
        if not self.waits_for_earlier_holder:
            wait_until = now
        owned = set(self.grant.slots) if self.grant else set()
        self.ready_at_by_slot = {
            slot: self.ready_at_by_slot[slot]
            if slot in owned
            else max(now, wait_until)
            for slot in grant.slots
        }
        self.highest_token = max(self.highest_token, grant.token)
        self.grant = grant
        self.answered_by_holder[grant.holder] = (grant.token, now)
        return self._answer(accepted=True, last_grant=last_grant)

    def serving_span(self, slot: int) -> tuple[float, float] | None:
        """Returns start and end of serving the slot, in world milliseconds."""
        grant = self.grant
        if not self.alive or grant is None or slot not in grant.slots:
            return None
        ends_at = grant.ticket.issued_ms + grant.ttl_ms
        begins_at = self.ready_at_by_slot[slot]
        if begins_at >= ends_at:
            return None
        return self.world_ms(begins_at), self.world_ms(ends_at)

    def serves(self, slot: int) -> bool:
        """Says whether a request for the slot would run now."""
        span = self.serving_span(slot)
        return span is not None and span[0] <= self.world.now_ms < span[1]

    def _is_acceptable(self, grant: Grant) -> bool:
        if grant.ticket.incarnation != str(self.incarnation):
            return False
        if not self.checks_token:
            return True
        if grant.token < self.highest_token:
            return False
        newest = self.grant
        return (
            newest is None
            or grant.token > newest.token
            or grant.sequence > newest.sequence
        )

    def _last_grant(self) -> LastGrant | None:
        grant = self.grant
        if grant is None:
            return None
        ends_at = grant.ticket.issued_ms + grant.ttl_ms
        return LastGrant(
            grant.holder,
            grant.token,
            grant.sequence,
            (*grant.slots, *grant.retained),
            self.local_ms() < ends_at,
            grant.gap,
        )

    def _answer(
        self, *, accepted: bool, last_grant: LastGrant | None
    ) -> GrantAnswer:
        now = self.local_ms()
        ready_in_ms = max(
            (ready_at - now for ready_at in self.ready_at_by_slot.values()),
            default=0,
        )
        return GrantAnswer(
            accepted=accepted,
            ticket=Ticket(str(self.incarnation), now),
            highest_token=self.highest_token,
            ready_in_ms=max(0, ready_in_ms),
            last_grant=last_grant,
        )
