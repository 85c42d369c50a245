"""Reports how recent the knowledge of this instance is."""

from math import inf

import structlog

from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.system_view import SOURCE_TABLES, SystemView

_log = structlog.get_logger()


class KnowledgeReporter:
    """Keeps gauges of the system view, and logs rows that become outdated."""

    def __init__(self, system_view: SystemView, metrics: Metrics) -> None:
        self._system_view = system_view
        self._metrics = metrics
        self._outdated: set[str] = set()

    def report(self) -> None:
        """Updates the gauges; logs each change between recent and outdated."""
        for table in SOURCE_TABLES:
            self._report_age(table)
        configuration = self._system_view.configuration
        if configuration is not None:
            self._metrics.gauge('configuration_version', configuration.version)
        self._metrics.gauge(
            'evacuated_data_centres',
            len(self._system_view.evacuations.data_centres),
        )
        for service in self._system_view.keyed_services():
            self._metrics.gauge(
                'keys_without_owner',
                self._system_view.owners(service).unowned_keys(),
                service=service,
            )

    def _report_age(self, table: str) -> None:
        status = self._system_view.status_by_table[table]
        self._metrics.gauge('rows_missing', int(status.is_behind), table=table)
        age_s = self._system_view.source_age_s(table)
        if age_s == inf:
            return
        self._metrics.gauge('source_age_seconds', round(age_s, 3), table=table)
        outdated = self._system_view.is_outdated(table)
        if outdated == (table in self._outdated):
            return
        if outdated:
            self._outdated.add(table)
            self._metrics.count('sources_outdated', table=table)
            _log.warning(
                'rows may be outdated', table=table, age_s=round(age_s, 2)
            )
            return
        self._outdated.remove(table)
        _log.info('rows confirmed again', table=table)
