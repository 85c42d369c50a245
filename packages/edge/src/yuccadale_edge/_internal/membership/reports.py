"""Observations of an instance for its next report to the leader."""

from collections import Counter
from collections.abc import Callable

from yuccadale_edge._internal.membership.messages import (
    KeyWork,
    Report,
    RosterEntry,
    ServiceTime,
)
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.system_view import SystemView


class Reporter:
    """Collects observations and builds reports from them."""

    def __init__(
        self,
        entry: Callable[[], RosterEntry],
        system_view: SystemView,
        dispatcher: Dispatcher,
    ) -> None:
        self.roster_entry = entry
        self._system_view = system_view
        self._dispatcher = dispatcher
        self._work_by_service: dict[str, dict[int, float]] = {}
        self._requests_by_service: Counter[str] = Counter()

    def record_key_work(self, service: str, key: int, work_s: float) -> None:
        """Records work that a caller requested, in seconds."""
        weights = self._work_by_service.setdefault(service, {})
        weights[key] = weights.get(key, 0) + work_s
        self._requests_by_service[service] += 1

    def report(self) -> Report:
        """Returns the observations since the last report."""
        work = [
            KeyWork(service, weights, self._requests_by_service[service])
            for service, weights in self._work_by_service.items()
            if weights
        ]
        self._work_by_service = {}
        self._requests_by_service.clear()
        return Report(
            self.roster_entry(),
            self._system_view.version_by_table(),
            self._system_view.membership_version,
            {
                name: owners.version
                for name, owners in self._system_view.owners_by_service.items()
            },
            work,
            self._time_totals(),
            self._system_view.availability.unreachable_ids(),
            self._system_view.configuration_version(),
            fetches_rows=True,
        )

    def _time_totals(self) -> list[ServiceTime]:
        total_by_pair: dict[tuple[str, str], ServiceTime] = {}
        for server_id, route, worked_s in self._dispatcher.service_time_samples:
            total = total_by_pair.setdefault(
                (server_id, route), ServiceTime(server_id, route, 0, 0)
            )
            total.count += 1
            total.total_s += worked_s
        self._dispatcher.service_time_samples.clear()
        return list(total_by_pair.values())
