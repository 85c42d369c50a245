"""Suspicion of servers, from the results of grants, probes and requests."""

import math
from dataclasses import dataclass, field

from yuccadale_core.timing import STANDBY_TIMEOUT_MS, SUSPICION_TIMEOUT_MS
from yuccadale_router._internal.clock import Clock

PROBE_MEMORY_MS = 500
PROBES_REMEMBERED = 8


@dataclass(slots=True)
class ServerWatch:
    """What is known about one server's reachability.

    Attributes:
        heard_at: last answer of any kind.
        draining: whether the server said that it is leaving.
        asked_at_by_probe: when the standby was asked for the newest probes;
            a probe of a silent server takes longer than the interval.
        unreached_at: when the standby last reported that it gets no answer.
        reached_at: when the standby last reported an answer.
    """

    heard_at: float
    draining: bool = False
    asked_at_by_probe: dict[int, float] = field(default_factory=dict)
    unreached_at: float = -math.inf
    reached_at: float = -math.inf


class ServerMembership:
    """Decides which servers of a group are suspected and confirmed lost."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watch_by_server: dict[str, ServerWatch] = {}
        self._probe_number = 0

    def of_server(self, server_name: str) -> ServerWatch:
        """Returns the entry of a server; a new one counts as just heard."""
        watch = self._watch_by_server.get(server_name)
        if watch is None:
            watch = ServerWatch(heard_at=self._clock())
            self._watch_by_server[server_name] = watch
        return watch

    def heard(self, server_name: str, *, draining: bool | None = None) -> None:
        """Notes an answer of the server."""
        watch = self.of_server(server_name)
        watch.heard_at = self._clock()
        if draining is not None:
            watch.draining = draining

    def silent_since(self, server_name: str, heard_at: float) -> None:
        """Takes over an earlier silence, seen before this instance led."""
        self.of_server(server_name).heard_at = heard_at

    def silence_ms(self, server_name: str) -> float:
        """Returns the time since the server last answered."""
        return self._clock() - self.of_server(server_name).heard_at

    def is_suspected(self, server_name: str) -> bool:
        """Says whether the server has been silent for too long."""
        return self.silence_ms(server_name) >= SUSPICION_TIMEOUT_MS

    def next_probe(self, server_name: str) -> int | None:
        """Returns the number of a probe to ask the standby for, if due."""
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
        """Takes the standby's report on a probe of the present silence."""
        watch = self.of_server(server_name)
        asked_at = watch.asked_at_by_probe.get(number, -math.inf)
        if asked_at < watch.heard_at:
            return
        if reached:
            watch.reached_at = self._clock()
        else:
            watch.unreached_at = self._clock()

    def is_lost(self, server_name: str, *, confirmed_by_standby: bool) -> bool:
        """Says whether a forced move away from the server may be made."""
        if not self.is_suspected(server_name):
            return False
        watch = self.of_server(server_name)
        recent = self._clock() - watch.unreached_at <= PROBE_MEMORY_MS
        return not confirmed_by_standby or (
            recent and watch.unreached_at > watch.reached_at
        )

    def reached_only_by_standby(self, server_name: str) -> bool:
        """Says whether this instance's own link to the server is bad."""
        watch = self.of_server(server_name)
        return self.is_suspected(server_name) and (
            self._clock() - watch.reached_at <= PROBE_MEMORY_MS
            and watch.reached_at > watch.unreached_at
        )

    def forget(self, server_name: str) -> None:
        """Drops a server that left the group."""
        self._watch_by_server.pop(server_name, None)
