"""The work of the leading instance: members, news, owners of keys."""

import asyncio
from collections import deque

import msgspec
import structlog

from yuccadale_edge._internal.system_view import (
    SERVER_TABLE,
    SOURCE_TABLES,
    SystemView,
    Instance,
    OwnedRange,
    decode_owner,
)
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import PeerLinks
from yuccadale_edge._internal.membership.messages import (
    UNCONFIRMED_GRANTS_TOPIC,
    UnconfirmedGrants,
    News,
    NotLeading,
    Owners,
    Report,
    ReportAnswer,
    Roster,
    RosterLine,
    SourceRows,
    TimeTotal,
    Version,
    source_row,
)
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import ServerCalls
from yuccadale_edge._internal.ownership.manager import OwnershipManager
from yuccadale_edge._internal.ownership.records import (
    KEYS_PREFIX,
    decode_record,
)

_log = structlog.get_logger()

# An instance that was not heard for this long gets no requests passed on.
_MEMBER_SILENT_S = 1.3
_OWNER_CHANGES_KEPT = 400
_SERVICE_CHECK_S = 0.25
_ROSTER_S = 0.25
# Rows that were pushed arrive within this, also over a slow link.
_ON_ITS_WAY_S = 0.7

_encode = msgspec.msgpack.Encoder().encode
_decode_report = msgspec.msgpack.Decoder(Report).decode
_decode_unconfirmed_grants = msgspec.msgpack.Decoder(UnconfirmedGrants).decode

_OwnerChange = tuple[int, list[OwnedRange]]


class Leader:
    """This instance as the one that leads, while it does."""

    def __init__(
        self,
        settings: Settings,
        system_view: SystemView,
        leadership: Leadership,
        contact: StoreContact,
        links: PeerLinks,
        broadcaster: Broadcaster,
        reporter: Reporter,
        calls: ServerCalls,
        metrics: Metrics,
    ) -> None:
        self.draining = False
        self._settings = settings
        self._system_view = system_view
        self._leadership = leadership
        self._contact = contact
        self._links = links
        self._broadcaster = broadcaster
        self._reporter = reporter
        self._calls = calls
        self._metrics = metrics
        self._manager_by_service: dict[str, OwnershipManager] = {}
        self._heard_by_member: dict[str, float] = {}
        self._missing_since_by_member: dict[
            tuple[str, str], tuple[int, float]
        ] = {}
        self._roster_number = 0
        self._roster_changed = False
        self._owner_changes: dict[str, deque[_OwnerChange]] = {}
        self._owner_number: dict[str, int] = {}

    def reconfigure(self, settings: Settings) -> None:
        """Takes other settings; addresses stay those of the start."""
        self._settings = settings

    async def resign(self) -> None:
        """Ends the calls about keys and gives the leadership up.

        Raises:
            StoreUnavailableError, StoreOutcomeUnknownError: the next leader
                waits until the lease is over.
        """
        settled = await asyncio.gather(
            *(
                manager.finish_calls()
                for manager in self._manager_by_service.values()
            )
        )
        try:
            await self._leadership.renew(dict(settled), resign=True)
        finally:
            self._leadership.deposed = True

    def answer_report(self, body: bytes) -> bytes:
        """Answers a member's report, or names the leader."""
        report = _decode_report(body)
        if not self._leadership.leading():
            known = NotLeading(
                self._leadership.leader, self._sources_for_new(report)
            )
            return _encode(ReportAnswer(not_leading=known))
        self._take_report(report)
        return _encode(ReportAnswer(news=self._news_for(report)))

    def handle_unconfirmed_grants(self, body: bytes) -> None:
        """Takes the word of the leader before this one."""
        told = _decode_unconfirmed_grants(body)
        manager = self._manager_by_service.get(told.service)
        if manager is not None:
            manager.replace_assumed_grants(told.epoch, told.unconfirmed_grants)

    def tell_rows(self, source: SourceRows) -> None:
        """Tells all others of rows that this instance read."""
        news = self._news()
        news.sources = [source]
        self._tell_all(news)

    async def lead(self) -> None:
        """Does the leader's work until another instance leads."""
        epoch = self._leadership.epoch
        self._heard_by_member = {self._settings.instance: elapsed_s()}
        grace_s = elapsed_s() + _MEMBER_SILENT_S
        for name in self._system_view.instance_by_name:
            self._heard_by_member.setdefault(name, grace_s)
        self._manager_by_service = {}
        self._owner_changes = {}
        self._owner_number = {}
        self._update_roster(force=True)
        async with asyncio.TaskGroup() as group:
            keep = group.create_task(self._leadership.keep())
            work = [
                group.create_task(self._leadership.hold()),
                group.create_task(self._lead_members()),
                group.create_task(self._lead_services()),
            ]
            await keep
            for task in work:
                task.cancel()
        if not self.draining:
            self._broadcaster.start(
                self._send_unconfirmed_grants(epoch, self._manager_by_service)
            )
        self._manager_by_service = {}

    async def _send_unconfirmed_grants(
        self, epoch: int, manager_by_service: dict[str, OwnershipManager]
    ) -> None:
        """Tells the next leader which calls of this one may act late."""
        for service, manager in manager_by_service.items():
            unconfirmed_grants = UnconfirmedGrants(
                epoch, service, await manager.unconfirmed_grants()
            )
            leader = self._leadership.leader
            if leader is not None and not self._leadership.leading():
                await self._links.tell(
                    (leader.host, leader.port),
                    UNCONFIRMED_GRANTS_TOPIC,
                    _encode(unconfirmed_grants),
                )
            _log.info(
                'keys given to the next leader',
                service=service,
                doubts=len(unconfirmed_grants.unconfirmed_grants),
            )

    async def _lead_members(self) -> None:
        while True:
            self._take_report(self._reporter.report())
            self._update_roster(force=self._roster_changed)
            await asyncio.sleep(_ROSTER_S)

    async def _lead_services(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                known = self._manager_by_service.keys()
                services = self._system_view.keyed_services()
                for service in set(services).difference(known):
                    manager = self._create_manager(service)
                    self._manager_by_service[service] = manager
                    group.create_task(manager.run())
                await asyncio.sleep(_SERVICE_CHECK_S)

    def _create_manager(self, service: str) -> OwnershipManager:
        leadership = self._leadership
        manager = OwnershipManager(
            service,
            leadership.epoch,
            self._system_view,
            self._calls,
            leadership.may_act,
            leadership.may_plan,
            leadership.lease_left_s,
            leadership.renew,
            self._owners_changed,
            self._metrics,
            self._settings.bounds.lease_s,
        )
        row = leadership.row_by_key.get(KEYS_PREFIX + service)
        manager.take_over(None if row is None else decode_record(row.content))
        return manager

    def _owners_changed(self, service: str, ranges: list[OwnedRange]) -> None:
        epoch = self._leadership.epoch
        number = self._owner_number.get(service, 0)
        self._owner_number[service] = number + 1
        changes = self._owner_changes.setdefault(
            service, deque(maxlen=_OWNER_CHANGES_KEPT)
        )
        changes.append((number + 1, ranges))
        known = self._system_view.owners(service)
        now_s = elapsed_s()
        for changed in ranges:
            known.assign(
                changed.first, changed.last, decode_owner(changed, now_s)
            )
        known.version = (epoch, number + 1)
        self._system_view.wake()
        after = (epoch, number) if number else None
        news = self._news()
        news.owners = [Owners(service, after, known.version, ranges)]
        self._tell_all(news)

    def _take_report(self, report: Report) -> None:
        name = report.line.instance
        now_s = elapsed_s()
        self._heard_by_member[name] = now_s
        if report.line.leaving:
            self._heard_by_member.pop(name)
            self._update_roster(force=False)
        else:
            self._note_member(report.line)
        for work in report.work:
            manager = self._manager_by_service.get(work.service)
            if manager is not None:
                manager.load.add(work.weight_by_key)
        for total in report.times:
            self._note_time(total)

    def _note_member(self, line: RosterLine) -> None:
        known = self._system_view.instance_by_name.get(line.instance)
        seen = Instance(line.instance, (line.host, line.port), line.data_centre)
        if known != seen:
            self._system_view.instance_by_name[line.instance] = seen
            # Told with the next round: many may join at the same moment.
            self._roster_changed = True

    def _note_time(self, total: TimeTotal) -> None:
        server = self._system_view.servers.server_by_id.get(total.server_id)
        if server is None or self._system_view.servers.cold(server):
            # The first seconds of a server say nothing of its speed.
            return
        manager = self._manager_by_service.get(server.service)
        if manager is not None:
            manager.speeds.add_answers(
                total.server_id, total.route, total.count, total.total_s
            )

    def _update_roster(self, *, force: bool) -> None:
        now_s = elapsed_s()
        silent = [
            name
            for name in self._system_view.instance_by_name
            if now_s - self._heard_by_member.get(name, 0) > _MEMBER_SILENT_S
        ]
        for name in silent:
            self._system_view.instance_by_name.pop(name)
            _log.warning('instance not heard, taken off', peer=name)
        if not silent and not force:
            return
        self._roster_changed = False
        self._roster_number += 1
        self._system_view.membership_version = (
            self._leadership.epoch,
            self._roster_number,
        )
        news = self._news()
        news.roster = self._roster()
        self._tell_all(news)

    def _roster(self) -> Roster:
        lines = [
            RosterLine(one.name, *one.address, one.data_centre)
            for one in self._system_view.instance_by_name.values()
        ]
        return Roster(self._system_view.membership_version, lines)

    def _news(self) -> News:
        assert self._leadership.leader is not None
        return News(
            self._leadership.leader,
            self._contact.age_s(),
            self._leadership.version,
        )

    def _tell_all(self, news: News) -> None:
        self._broadcaster.tell_all(_encode(news))

    def _news_for(self, report: Report) -> News:
        news = self._news()
        for table in SOURCE_TABLES:
            after = report.version_by_table.get(table, 0)
            if self._has_to_be_told(report.line.instance, table, after):
                news.sources.append(self._source_after(table, after))
        if report.membership_version != self._system_view.membership_version:
            news.roster = self._roster()
        for service in self._manager_by_service:
            known = report.version_by_service.get(service, (0, 0))
            owners = self._owners_after(service, known)
            if owners is not None:
                news.owners.append(owners)
        return news

    def _sources_for_new(self, report: Report) -> list[SourceRows]:
        """Returns the tables of which a new instance has nothing."""
        return [
            self._source_after(table, 0)
            for table in SOURCE_TABLES
            if not report.version_by_table.get(table)
            and self._system_view.version_by_table[table]
        ]

    def _has_to_be_told(self, member: str, table: str, after: int) -> bool:
        """Whether a member's report shows that pushed rows were lost.

        What is on its way is not sent again at each report, since that
        would fill a slow link with copies of a large configuration.
        """
        version = self._system_view.version_by_table[table]
        if after >= version:
            return False
        now_s = elapsed_s()
        known = self._missing_since_by_member.get((member, table))
        if after and (known is None or known[0] != after):
            self._missing_since_by_member[member, table] = (after, now_s)
            return False
        if known is not None and now_s - known[1] < _ON_ITS_WAY_S:
            return False
        self._missing_since_by_member[member, table] = (after, now_s)
        return True

    def _source_after(self, table: str, after: int) -> SourceRows:
        version = self._system_view.version_by_table[table]
        if table == SERVER_TABLE:
            rows = list(self._system_view.servers.row_by_id.values())
        else:
            row = self._system_view.configuration_row
            rows = [] if row is None else [row]
        newer = [source_row(row) for row in rows if row.version > after]
        return SourceRows(table, after, version, False, newer)

    def _owners_after(self, service: str, known: Version) -> Owners | None:
        owners = self._system_view.owners(service)
        epoch, number = owners.version
        if epoch != self._leadership.epoch or known == owners.version:
            return None
        changes = self._owner_changes.get(service, ())
        if known[0] == epoch:
            later = [one for one in changes if one[0] > known[1]]
            if len(later) == number - known[1]:
                ranges = [one for _, listed in later for one in listed]
                return Owners(service, known, owners.version, ranges)
        return Owners(service, None, owners.version, owners.ranges(elapsed_s()))
