"""Detection of lost servers, from results of grants, probes and requests."""

import math
from dataclasses import dataclass, field

from yuccadale_core.timing import STANDBY_TIMEOUT_MS, SUSPICION_TIMEOUT_MS
from yuccadale_router._internal.clock import Clock

PROBE_MEMORY_MS = 500
PROBES_REMEMBERED = 8


@dataclass(slots=True)
class ServerWatch:
    """Observations of one server's reachability.

    Attributes:
        last_answer_at: time of the last answer of any kind.
        draining: whether the server reported that it is leaving.
        asked_at_by_probe: when the newest probes were requested from the
            standby. Several are kept, since a probe of a silent server takes
            longer than the interval between requests.
        unreached_at: when the standby last reported a failed probe.
        reached_at: when the standby last reported an answer to a probe.
    """

    last_answer_at: float
    draining: bool = False
    asked_at_by_probe: dict[int, float] = field(default_factory=dict)
    unreached_at: float = -math.inf
    reached_at: float = -math.inf


class ServerMembership:
    """Decides which servers of a group are suspected, and which are lost.

    A silent server is suspected. It is lost once the standby confirms that it
    cannot reach the server either.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watch_by_server: dict[str, ServerWatch] = {}
        self._probe_number = 0

    def of_server(self, server_name: str) -> ServerWatch:
        """Returns the entry of a server; a new one counts as answered now."""
        watch = self._watch_by_server.get(server_name)
        if watch is None:
            watch = ServerWatch(last_answer_at=self._clock())
            self._watch_by_server[server_name] = watch
        return watch

    def answer_received(
        self, server_name: str, *, draining: bool | None = None
    ) -> None:
        """Records an answer of the server."""
        watch = self.of_server(server_name)
        watch.last_answer_at = self._clock()
        if draining is not None:
            watch.draining = draining

    def silent_since(self, server_name: str, last_answer_at: float) -> None:
        """Sets the last answer to a time before this instance led."""
        self.of_server(server_name).last_answer_at = last_answer_at

    def silence_ms(self, server_name: str) -> float:
        """Returns the time since the server last answered."""
        return self._clock() - self.of_server(server_name).last_answer_at

    def is_suspected(self, server_name: str) -> bool:
        """Says whether the silence has reached the suspicion timeout."""
        return self.silence_ms(server_name) >= SUSPICION_TIMEOUT_MS

    def next_probe(self, server_name: str) -> int | None:
        """Returns the number of the probe to request now, None if not due."""
        watch = self.of_server(server_name)
        now = self._clock()
        last_asked_at = max(watch.asked_at_by_probe.values(), default=-math.inf)
        if self.silence_ms(server_name) < STANDBY_TIMEOUT_MS:
            return None
        if now - last_asked_at < STANDBY_TIMEOUT_MS / 2:
            return None
        self._probe_number += 1
        watch.asked_at_by_probe[self._probe_number] = now
        if len(watch.asked_at_by_probe) > PROBES_REMEMBERED:
            watch.asked_at_by_probe.pop(next(iter(watch.asked_at_by_probe)))
        return self._probe_number

    def probe_answered(
        self, server_name: str, number: int, *, reached: bool
    ) -> None:
        """Handles a probe result, unless the server answered meanwhile."""
        watch = self.of_server(server_name)
        asked_at = watch.asked_at_by_probe.get(number, -math.inf)
        if asked_at < watch.last_answer_at:
            return
        if reached:
            watch.reached_at = self._clock()
        else:
            watch.unreached_at = self._clock()

    def is_lost(self, server_name: str, *, needs_probe: bool) -> bool:
        """Says whether the server's slots may be moved by force.

        With ``needs_probe``, a recent probe by the standby must have failed.
        """
        if not self.is_suspected(server_name):
            return False
        watch = self.of_server(server_name)
        recent = self._clock() - watch.unreached_at <= PROBE_MEMORY_MS
        return not needs_probe or (
            recent and watch.unreached_at > watch.reached_at
        )

    def reached_only_by_standby(self, server_name: str) -> bool:
        """Says whether the standby reaches the server, unlike this instance."""
        watch = self.of_server(server_name)
        return self.is_suspected(server_name) and (
            self._clock() - watch.reached_at <= PROBE_MEMORY_MS
            and watch.reached_at > watch.unreached_at
        )

    def forget(self, server_name: str) -> None:
        """Removes a server that left the group."""
        self._watch_by_server.pop(server_name, None)
