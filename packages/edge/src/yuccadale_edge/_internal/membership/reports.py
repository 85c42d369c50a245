"""Observations of an instance for its next report to the leader."""

from collections.abc import Callable

from yuccadale_edge._internal.beliefs import Beliefs
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.news import (
    KeyWork,
    Report,
    RosterEntry,
    ServiceTime,
)
from yuccadale_edge._internal.routing.dispatch import Dispatcher


class Reporter:
    """Collects observations and builds reports from them."""

    def __init__(
        self,
        entry: Callable[[], RosterEntry],
        beliefs: Beliefs,
        dispatcher: Dispatcher,
    ) -> None:
        self._roster_entry = entry
        self._beliefs = beliefs
        self._dispatcher = dispatcher
        self._work_by_service: dict[str, dict[int, float]] = {}

    def note_key(self, service: str, key: int, work_s: float) -> None:
        """Records work that a caller requested, in seconds."""
        weights = self._work_by_service.setdefault(service, {})
        weights[key] = weights.get(key, 0) + work_s

    def report(self) -> Report:
        """Returns the observations since the last report."""
        now_s = elapsed_s()
        work = [
            KeyWork(service, weights)
            for service, weights in self._work_by_service.items()
            if weights
        ]
        self._work_by_service = {}
        until_by_server = self._beliefs.unreachable_until_by_server
        unreachable = [
            server_id
            for server_id, until_s in until_by_server.items()
            if until_s > now_s
        ]
        return Report(
            self._roster_entry(),
            dict(self._beliefs.version_by_table),
            self._beliefs.roster_version,
            {
                service: owners.version
                for service, owners in self._beliefs.owners_by_service.items()
            },
            work,
            self._time_totals(),
            unreachable,
        )

    def _time_totals(self) -> list[ServiceTime]:
        total_by_pair: dict[tuple[str, str], ServiceTime] = {}
        for server_id, route, worked_s in self._dispatcher.samples:
            total = total_by_pair.setdefault(
                (server_id, route), ServiceTime(server_id, route, 0, 0)
            )
            total.count += 1
            total.total_s += worked_s
        self._dispatcher.samples.clear()
        return list(total_by_pair.values())
