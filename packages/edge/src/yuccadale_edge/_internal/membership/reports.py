"""What an instance observed since it last told the leader."""

from collections.abc import Callable

from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.messages import (
    KeyWork,
    Report,
    RosterLine,
    TimeTotal,
)
from yuccadale_edge._internal.routing.dispatch import Dispatcher


class Reporter:
    """Gathers observations and makes reports of them."""

    def __init__(
        self,
        line: Callable[[], RosterLine],
        system_view: SystemView,
        dispatcher: Dispatcher,
    ) -> None:
        self._line = line
        self._system_view = system_view
        self._dispatcher = dispatcher
        self._work_by_service: dict[str, dict[int, float]] = {}

    def record_key_work(self, service: str, key: int, work_s: float) -> None:
        """Notes work that a caller asked for."""
        weights = self._work_by_service.setdefault(service, {})
        weights[key] = weights.get(key, 0) + work_s

    def report(self) -> Report:
        """Returns what was observed since the last report."""
        now_s = elapsed_s()
        work = [
            KeyWork(service, weights)
            for service, weights in self._work_by_service.items()
            if weights
        ]
        self._work_by_service = {}
        until_by_server = self._system_view.unreachable_until_by_server
        unreachable = [
            server_id
            for server_id, until_s in until_by_server.items()
            if until_s > now_s
        ]
        return Report(
            self._line(),
            dict(self._system_view.version_by_table),
            self._system_view.membership_version,
            {
                service: owners.version
                for service, owners in self._system_view.owners_by_service.items()
            },
            work,
            self._time_totals(),
            unreachable,
        )

    def _time_totals(self) -> list[TimeTotal]:
        total_by_pair: dict[tuple[str, str], TimeTotal] = {}
        for server_id, route, worked_s in self._dispatcher.service_time_samples:
            total = total_by_pair.setdefault(
                (server_id, route), TimeTotal(server_id, route, 0, 0)
            )
            total.count += 1
            total.total_s += worked_s
        self._dispatcher.service_time_samples.clear()
        return list(total_by_pair.values())
