"""The leader's tasks: roster, updates to members, and owners of keys."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import PeerLinks
from yuccadale_edge._internal.membership.messages import (
    NOMINATION_TOPIC,
    UNCONFIRMED_GRANTS_TOPIC,
    LeaderUpdate,
    NotLeading,
    OwnersUpdate,
    Report,
    ReportResponse,
    Roster,
    RosterEntry,
    ServiceTime,
    SourceRows,
    UnconfirmedGrants,
    Version,
    instance_of,
)
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.membership.source_pages import (
    PAGE_BYTES,
    SourcePages,
    size_of,
)
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.membership.succession import Succession
from yuccadale_edge._internal.membership.update_budget import UpdateBudget
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import ServerCalls
from yuccadale_edge._internal.ownership.manager import (
    OwnershipManager,
    PlanningRates,
)
from yuccadale_edge._internal.ownership.records import (
    KEYS_PREFIX,
    InvalidRecordError,
    KeysRecord,
    decode_record,
)
from yuccadale_edge._internal.store import (
    StoredRow,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from yuccadale_edge._internal.store_versions import FIRST_ERA, version_text
from yuccadale_edge._internal.supervision import supervise
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    SOURCE_TABLES,
    Instance,
    OwnedRange,
    SystemView,
    decode_owner,
    most_capable_first,
)

_log = structlog.get_logger()

# An instance without a report for this long is removed from the roster, so
# that no requests are forwarded to it.
_MEMBER_TIMEOUT_S = 1.3
# Ranges of keys in one message.
_MAX_OWNER_RANGES = 300
# Interval at which delayed broadcasts are sent.
_BROADCAST_INTERVAL_S = 0.05
# More rows than this are not added to a response: their receiver fetches them.
_MAX_ROWS_BYTES = 8 * 1024
# Changes that were made before the first one of a leader.
_FIRST_SEQUENCE = 1
_MAX_RECENT_BROADCASTS = 64
# After a resignation another instance leads within this time, or the grants
# that servers may still apply have expired.
_NEXT_LEADER_WAIT_S = 5.0
_SERVICE_CHECK_INTERVAL_S = 0.25
_ROSTER_INTERVAL_S = 0.25
# Rows that were broadcast arrive within this time, also over a slow link.
_ROWS_DELIVERY_S = 0.7

_encode = msgspec.msgpack.Encoder().encode
_decode_report = msgspec.msgpack.Decoder(Report).decode
_decode_unconfirmed_grants = msgspec.msgpack.Decoder(UnconfirmedGrants).decode

# The version of broadcast rows, and when they were broadcast.
_Broadcast = tuple[int, float]


class Leader:
    """The tasks of this instance while it is the leader.

    Attributes:
        draining: whether this instance is shutting down.
    """

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
        planning_rate_by_holder: PlanningRates,
    ) -> None:
        self.draining = False
        self._pages = SourcePages(system_view)
        self.handle_rows_request = self._pages.answer
        self._settings = settings
        self._system_view = system_view
        self._leadership = leadership
        self._contact = contact
        self._links = links
        self._broadcaster = broadcaster
        self._reporter = reporter
        self._calls = calls
        self._metrics = metrics
        self._planning_rate_by_holder = planning_rate_by_holder
        self._manager_by_service: dict[str, OwnershipManager] = {}
        # Reports to this leader, and those that are assumed after a takeover.
        self._last_report_s_by_member: dict[str, float] = {}
        self._reported_s_by_member: dict[str, float] = {}
        self._broadcasts_by_table: dict[str, deque[_Broadcast]] = {}
        # By member and table: when rows were last sent to it alone.
        self._rows_sent_s_by_member: dict[tuple[str, str], float] = {}
        # Reports of unconfirmed grants for services without a manager yet.
        self._early_report_by_service: dict[str, UnconfirmedGrants] = {}
        self._roster_sequence = 0
        self._roster_changed = False
        self._owner_sequence_by_service: dict[str, int] = {}
        # Up to which changes were broadcast.
        self._sent_sequence_by_service: dict[str, int] = {}
        # Rows whose broadcast waits, and whether removals have a grace period.
        self._unsent_after_by_table: dict[str, int] = {}
        self._removal_grace = False
        self._budget = UpdateBudget(settings.machine.link_mbps, elapsed_s)

    def reconfigure(self, settings: Settings) -> None:
        """Applies changed settings; addresses need a restart."""
        self._settings = settings
        self._budget = UpdateBudget(settings.machine.link_mbps, elapsed_s)

    async def try_to_hand_over(self) -> None:
        """Hands the role over; keeps it if the store is unavailable."""
        try:
            await self.hand_over()
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            _log.warning('could not resign', reason=str(error))

    async def hand_over(self) -> None:
        """Resigns, and asks the most capable instance to lead at once.

        If none is reached, the others find out by themselves that this
        instance has resigned.

        Raises:
            StoreUnavailableError, StoreOutcomeUnknownError: see ``resign``.
        """
        epoch = self._leadership.epoch
        await self.resign()
        # The task that calls this ends with the leadership.
        self._broadcaster.start_task(
            self._nominate(epoch, self._reporting_peers())
        )

    async def resign(self) -> None:
        """Finishes the grants and releases, and resigns as leader.

        Raises:
            StoreUnavailableError: nothing was stored; this instance still
                leads.
            StoreOutcomeUnknownError: the resignation may not be stored; the
                next leader waits for the lease to expire.
        """
        managers = list(self._manager_by_service.values())
        records = await asyncio.gather(
            *(manager.finish_calls() for manager in managers)
        )
        try:
            await self._leadership.renew(dict(records), resign=True)
        except StoreUnavailableError:
            for manager in managers:
                manager.resume_calls()
            raise
        except StoreOutcomeUnknownError:
            self._leadership.deposed = True
            raise
        self._leadership.deposed = True

    def handle_report(self, body: bytes) -> bytes:
        """Handles a member's report.

        Returns:
            An encoded update, or the known leader if this instance does not
            lead.
        """
        report = _decode_report(body)
        if not self._leadership.leading():
            not_leading = NotLeading(
                self._leadership.leader,
                self._sources_for_new(report),
                self._system_view.source_ages(),
            )
            return _encode(ReportResponse(not_leading=not_leading))
        self._apply_report(report)
        return _encode(ReportResponse(update=self._update_for(report)))

    def handle_unconfirmed_grants(self, body: bytes) -> None:
        """Handles the previous leader's list of unconfirmed grants."""
        message = _decode_unconfirmed_grants(body)
        manager = self._manager_by_service.get(message.service)
        if manager is None:
            # It arrives within some ms of the takeover, and is sent once.
            self._early_report_by_service[message.service] = message
            return
        manager.replace_assumed_grants(
            message.epoch, message.unconfirmed_grants
        )

    def broadcast_rows(self, source: SourceRows) -> None:
        """Broadcasts rows that this instance read from the store.

        The operators' rows are never delayed. Others wait while broadcasts use
        their share of the link, and are then sent in pages.
        """
        table = source.table
        if table == SERVER_TABLE:
            large = size_of(source.rows) > PAGE_BYTES
            waiting = table in self._unsent_after_by_table
            if large or waiting or self._budget.exhausted:
                self._metrics.count('delayed_broadcasts', table=table)
                self._unsent_after_by_table.setdefault(table, source.after)
                self._removal_grace |= source.removal_grace
                return
        self._send_rows(source)

    async def lead(self) -> None:
        """Runs the leader's tasks until another instance leads."""
        leadership = self._leadership
        epoch = leadership.epoch
        self._manager_by_service = {}
        try:
            await self._run_term()
        except Exception:
            # What was sent in this term is known to the managers only.
            leadership.deposed = True
            raise
        finally:
            # This instance may lead again before the last call has ended.
            for manager in self._manager_by_service.values():
                manager.withdraw_calls()
        if not self.draining:
            self._broadcaster.start_task(
                self._send_unconfirmed_grants(epoch, self._manager_by_service)
            )
        self._manager_by_service = {}

    async def _run_term(self) -> None:
        leadership = self._leadership
        self._last_report_s_by_member = {self._settings.instance: elapsed_s()}
        self._reported_s_by_member = {}
        # Known members have twice the timeout for their first report.
        assumed_report_s = elapsed_s() + _MEMBER_TIMEOUT_S
        for name in self._system_view.instance_by_name:
            self._last_report_s_by_member.setdefault(name, assumed_report_s)
        self._owner_sequence_by_service = {}
        self._sent_sequence_by_service = {}
        self._unsent_after_by_table = {}
        self._broadcasts_by_table = {}
        self._rows_sent_s_by_member = {}
        self._update_roster(force=True)
        async with asyncio.TaskGroup() as group:
            renewal = self._start(group, 'renewal', leadership.keep_renewing)
            tasks = [
                self._start(group, 'promises', leadership.extend_by_promises),
                self._start(group, 'roster', self._maintain_roster),
                self._start(group, 'services', self._run_managers),
                self._start(group, 'hand-over', self._hand_over_when_due),
                self._start(group, 'broadcasts', self._send_delayed),
            ]
            await renewal
            for task in tasks:
                task.cancel()

    def _start(
        self,
        group: asyncio.TaskGroup,
        name: str,
        run: Callable[[], Awaitable[None]],
    ) -> asyncio.Task[None]:
        return group.create_task(supervise(name, run, self._metrics))

    async def _nominate(self, epoch: int, peers: list[Instance]) -> None:
        for peer in sorted(peers, key=most_capable_first):
            if await self._links.notify(
                peer.address, NOMINATION_TOPIC, _encode(epoch)
            ):
                _log.info(
                    'leadership handed over', epoch=epoch, successor=peer.name
                )
                return

    async def _send_unconfirmed_grants(
        self, epoch: int, manager_by_service: dict[str, OwnershipManager]
    ) -> None:
        """Sends the next leader the grants that servers may still apply."""
        await self._wait_for_next_leader(epoch)
        for service, manager in manager_by_service.items():
            message = UnconfirmedGrants(
                epoch, service, await manager.unconfirmed_grants()
            )
            leader = self._leadership.leader
            if leader is not None and not self._leadership.leading():
                await self._links.notify(
                    (leader.host, leader.port),
                    UNCONFIRMED_GRANTS_TOPIC,
                    _encode(message),
                )
            _log.info(
                'unconfirmed grants listed for the next leader',
                service=service,
                doubts=len(message.unconfirmed_grants),
            )

    async def _wait_for_next_leader(self, epoch: int) -> None:
        until_s = elapsed_s() + _NEXT_LEADER_WAIT_S
        while self._leadership.epoch == epoch and elapsed_s() < until_s:
            await asyncio.sleep(_ROSTER_INTERVAL_S / 2)

    async def _hand_over_when_due(self) -> None:
        """Hands the role to an instance on a more capable machine."""
        succession = Succession(self._settings.machine.capacity, elapsed_s)
        while self._leadership.leading():
            await asyncio.sleep(_ROSTER_INTERVAL_S)
            if self.draining or not self._leadership.may_plan():
                continue
            if succession.is_due(
                self._reporting_peers(), keys_moving=self._keys_moving()
            ):
                await self.try_to_hand_over()

    def _reporting_peers(self) -> list[Instance]:
        """Returns the peers that have just reported to this leader."""
        now_s = elapsed_s()
        return [
            peer
            for peer in self._broadcaster.peers()
            if now_s - self._reported_s_by_member.get(peer.name, -inf)
            < _MEMBER_TIMEOUT_S
        ]

    def _keys_moving(self) -> bool:
        managers = self._manager_by_service.values()
        return any(manager.keys_moving for manager in managers)

    async def _maintain_roster(self) -> None:
        while True:
            self._apply_report(self._reporter.report())
            self._update_roster(force=self._roster_changed)
            await asyncio.sleep(_ROSTER_INTERVAL_S)

    async def _run_managers(self) -> None:
        started: set[str] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                services = set(self._system_view.keyed_services())
                for service in services.difference(started):
                    self._start(
                        group,
                        f'keys of {service}',
                        partial(self._run_manager, service),
                    )
                started |= services
                await asyncio.sleep(_SERVICE_CHECK_INTERVAL_S)

    async def _run_manager(self, service: str) -> None:
        manager = self._manager_by_service.get(service)
        if manager is None:
            manager = self._create_manager(service)
            self._manager_by_service[service] = manager
            report = self._early_report_by_service.pop(service, None)
            if report is not None:
                manager.replace_assumed_grants(
                    report.epoch, report.unconfirmed_grants
                )
        await manager.run()

    def _create_manager(self, service: str) -> OwnershipManager:
        leadership = self._leadership
        self._system_view.owners(service).restart_sequence(_FIRST_SEQUENCE)
        manager = OwnershipManager(
            service,
            leadership.epoch,
            self._system_view,
            self._calls,
            leadership.may_act,
            leadership.may_plan,
            leadership.lease_left_s,
            leadership.record,
            self._publish_owners,
            self._metrics,
            self._settings.bounds.lease_s,
            self._planning_rate_by_holder,
            lambda: leadership.era,
            lambda: leadership.known_electors.electors,
        )
        row = leadership.row_by_key.get(KEYS_PREFIX + service)
        if row is None and leadership.era <= FIRST_ERA:
            return manager
        try:
            manager.take_over(self._latest_record(service, row))
        except InvalidRecordError as error:
            _log.error(
                'stored keys unusable, waiting until all leases have expired',
                service=service,
                row_version=None if row is None else version_text(row.version),
                reason=str(error),
            )
            manager.rebuild(
                self._system_view.owners(service).ranges(elapsed_s())
            )
        return manager

    def _latest_record(self, service: str, row: StoredRow | None) -> KeysRecord:
        """Returns the record by which keys were granted last.

        Raises:
            InvalidRecordError: it is unreadable, or lost.
        """
        try:
            return _record_of_era(row, self._leadership.era)
        except InvalidRecordError as error:
            copy = self._leadership.record_copies.get(service)
            if copy is None:
                raise
            record = decode_record(copy.content)
            _log.warning(
                'stored keys unusable, taken over from copies of electors',
                service=service,
                epoch=copy.epoch,
                reason=str(error),
            )
            self._metrics.count('records_recovered', service=service)
            return record

    def _publish_owners(self, service: str, ranges: list[OwnedRange]) -> None:
        known = self._system_view.owners(service)
        sequence = self._owner_sequence_by_service.get(service, _FIRST_SEQUENCE)
        now_s = elapsed_s()
        for begin in range(0, len(ranges), _MAX_OWNER_RANGES):
            sequence += 1
            for changed in ranges[begin : begin + _MAX_OWNER_RANGES]:
                known.assign(
                    changed.first,
                    changed.last,
                    decode_owner(changed, now_s),
                    sequence,
                )
        self._owner_sequence_by_service[service] = sequence
        known.version = (self._leadership.epoch, sequence)
        self._system_view.wake()
        self._send_owners(service)

    async def _send_delayed(self) -> None:
        """Sends broadcasts that had to wait, until cancelled."""
        while True:
            await asyncio.sleep(_BROADCAST_INTERVAL_S)
            for table in list(self._unsent_after_by_table):
                self._send_delayed_rows(table)
            for service in self._owner_sequence_by_service:
                self._send_owners(service)

    def _send_delayed_rows(self, table: str) -> None:
        version = self._system_view.status_by_table[table].version
        after = self._unsent_after_by_table[table]
        while after < version and not self._budget.exhausted:
            page = self._pages.page(table, after)
            page.removal_grace = self._removal_grace
            self._send_rows(page)
            after = page.version
        self._unsent_after_by_table[table] = after
        if after >= version:
            self._unsent_after_by_table.pop(table)
            self._removal_grace = False

    def _send_rows(self, source: SourceRows) -> None:
        broadcasts = self._broadcasts_by_table.setdefault(
            source.table, deque(maxlen=_MAX_RECENT_BROADCASTS)
        )
        broadcasts.append((source.version, elapsed_s()))
        update = self._new_update()
        update.sources = [source]
        self._broadcast(update)

    def _send_owners(self, service: str) -> None:
        """Broadcasts changes of owners that were not broadcast yet.

        Several changes of the same keys that had to wait are sent as one.
        """
        sequence = self._owner_sequence_by_service[service]
        sent = self._sent_sequence_by_service.get(service, 0)
        while sent < sequence and not self._budget.exhausted:
            update = self._new_update()
            page = self._owners_page(service, sent)
            update.owners = [page]
            self._broadcast(update)
            sent = page.version[1]
        self._sent_sequence_by_service[service] = sent

    def _apply_report(self, report: Report) -> None:
        name = report.entry.instance
        now_s = elapsed_s()
        self._last_report_s_by_member[name] = now_s
        self._reported_s_by_member[name] = now_s
        if report.entry.leaving:
            self._last_report_s_by_member.pop(name)
            self._reported_s_by_member.pop(name)
            self._update_roster(force=False)
        else:
            self._record_member(report.entry)
        for work in report.work:
            manager = self._manager_by_service.get(work.service)
            if manager is not None:
                manager.planner.add_work(work.weight_by_key, work.requests)
        for total in report.times:
            self._record_service_time(total)

    def _record_member(self, entry: RosterEntry) -> None:
        known = self._system_view.instance_by_name.get(entry.instance)
        reported = instance_of(entry)
        if known != reported:
            self._system_view.instance_by_name[entry.instance] = reported
            # Sent with the next roster check: many may join at the same time.
            self._roster_changed = True

    def _record_service_time(self, total: ServiceTime) -> None:
        server = self._system_view.servers.server_by_id.get(total.server_id)
        if server is None or self._system_view.servers.cold(server):
            # Service times during warm-up do not show the server's speed.
            return
        manager = self._manager_by_service.get(server.service)
        if manager is not None:
            manager.speeds.add_answers(
                total.server_id, total.route, total.count, total.total_s
            )

    def _update_roster(self, *, force: bool) -> None:
        now_s = elapsed_s()
        timed_out = [
            name
            for name in self._system_view.instance_by_name
            if now_s - self._last_report_s_by_member.get(name, 0)
            > _MEMBER_TIMEOUT_S
        ]
        for name in timed_out:
            self._system_view.instance_by_name.pop(name)
            _log.warning('instance removed from the roster', peer=name)
        if not timed_out and not force:
            return
        self._roster_changed = False
        self._roster_sequence += 1
        self._system_view.membership_version = (
            self._leadership.epoch,
            self._roster_sequence,
        )
        update = self._new_update()
        update.roster = self._roster()
        self._broadcast(update)

    def _roster(self) -> Roster:
        entries = [
            RosterEntry(
                one.name,
                *one.address,
                one.data_centre,
                capacity=one.capacity,
            )
            for one in self._system_view.instance_by_name.values()
        ]
        return Roster(self._system_view.membership_version, entries)

    def _new_update(self) -> LeaderUpdate:
        assert self._leadership.leader is not None
        return LeaderUpdate(
            self._leadership.leader,
            self._contact.age_s(),
            self._leadership.version,
        )

    def _broadcast(self, update: LeaderUpdate) -> None:
        self._count_contents(update)
        body = _encode(update)
        receivers = self._broadcaster.broadcast(body)
        self._budget.spend(len(body) * receivers)

    def _count_contents(self, update: LeaderUpdate) -> None:
        for source in update.sources:
            self._metrics.count(
                'sent_rows', len(source.rows), table=source.table
            )
        for owners in update.owners:
            self._metrics.count(
                'sent_owner_ranges', len(owners.ranges), service=owners.service
            )

    def _update_for(self, report: Report) -> LeaderUpdate:
        update = self._new_update()
        update.source_ages = self._system_view.source_ages()
        update.electors = self._leadership.confirmed_electors(
            report.electors_since
        )
        for table in SOURCE_TABLES:
            after = report.version_by_table.get(table, 0)
            if self._needs_rows(report.entry.instance, table, after):
                update.sources.extend(self._sources_after(report, table, after))
        if self._needs_configuration(report):
            update.sources.append(self._pages.changes(CONFIGURATION_TABLE, 0))
        if report.membership_version != self._system_view.membership_version:
            update.roster = self._roster()
        for service in self._manager_by_service:
            known = report.version_by_service.get(service, (0, 0))
            owners = self._owners_after(service, known)
            if owners is not None:
                update.owners.append(owners)
        self._count_contents(update)
        return update

    def _sources_for_new(self, report: Report) -> list[SourceRows]:
        """Returns the whole tables of which a new instance has no rows."""
        return [
            source
            for table in SOURCE_TABLES
            if not report.version_by_table.get(table)
            and self._system_view.status_by_table[table].version
            for source in self._sources_after(report, table, 0)
        ]

    def _sources_after(
        self, report: Report, table: str, after: int
    ) -> list[SourceRows]:
        """Returns the rows to send with the response to a report.

        A response with all rows of a large system would come after its
        timeout, and so would the next one. The reporting instance sees from the
        ages of the tables that it has to fetch them.
        """
        if not report.fetches_rows:
            return [self._pages.changes(table, after)]
        page = self._pages.page(table, after, _MAX_ROWS_BYTES)
        status = self._system_view.status_by_table[table]
        return [page] if page.version == status.version else []

    def _needs_rows(self, member: str, table: str, after: int) -> bool:
        """Whether rows have to be sent to a member that reports a version.

        Rows that were broadcast are sent again only when they have not
        arrived in time; a copy with each report would fill a slow link with a
        large configuration. A new leader did not broadcast what its
        predecessor did, so it sends that at once.
        """
        key = (member, table)
        if after >= self._system_view.status_by_table[table].changed_version:
            self._rows_sent_s_by_member.pop(key, None)
            return False
        now_s = elapsed_s()
        sent_s = max(
            self._broadcast_s(table, after) if after else -inf,
            self._rows_sent_s_by_member.get(key, -inf),
        )
        if now_s - sent_s < _ROWS_DELIVERY_S:
            return False
        self._rows_sent_s_by_member[key] = now_s
        return True

    def _needs_configuration(self, report: Report) -> bool:
        """Whether a member has an older configuration with the same version.

        It has read a restored store, and this instance knows what the store
        has lost.
        """
        after = report.version_by_table.get(CONFIGURATION_TABLE, 0)
        status = self._system_view.status_by_table[CONFIGURATION_TABLE]
        if not after or after < status.changed_version:
            return False
        known = self._system_view.configuration_version()
        return report.configuration_version < known

    def _broadcast_s(self, table: str, after: int) -> float:
        """Returns when the first change after a version was broadcast."""
        return next(
            (
                sent_s
                for version, sent_s in self._broadcasts_by_table.get(table, ())
                if version > after
            ),
            -inf,
        )

    def _owners_after(
        self, service: str, known: Version
    ) -> OwnersUpdate | None:
        owners = self._system_view.owners(service)
        epoch, _ = owners.version
        if epoch != self._leadership.epoch or known == owners.version:
            return None
        return self._owners_page(service, known[1] if known[0] == epoch else 0)

    def _owners_page(self, service: str, after: int) -> OwnersUpdate:
        """Returns the owners that changed after a change of this leader."""
        epoch = self._leadership.epoch
        owners = self._system_view.owners(service)
        ranges, sequence = owners.changed_after(
            after, _MAX_OWNER_RANGES, elapsed_s()
        )
        return OwnersUpdate(
            service,
            (epoch, after) if after else None,
            (epoch, sequence),
            ranges,
            complete=(epoch, sequence) == owners.version,
        )


def _record_of_era(row: StoredRow | None, era: int) -> KeysRecord:
    """Returns a record that was written in an era of the store.

    Raises:
        InvalidRecordError: the record is unreadable or lost, or from before a
            restore, so that keys may have moved since.
    """
    if row is None:
        raise InvalidRecordError('the restored store has no record')
    record = decode_record(row.content)
    if max(record.era, FIRST_ERA) < era:
        raise InvalidRecordError(
            f'written in era {record.era}, the store is in era {era}'
        )
    return record
