"""How instances act together: reports to the leader, its news, its work."""

import asyncio
import random
from collections import deque
from collections.abc import Coroutine
from typing import Any

import msgspec
import structlog

from yuccadale_edge._internal.beliefs import (
    SERVER_TABLE,
    SOURCE_TABLES,
    Beliefs,
    Instance,
    OwnedRange,
    Owner,
    owner_of,
)
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.news import (
    DOUBTS_TOPIC,
    NEWS_TOPIC,
    RELAY_TOPIC,
    REPORT_TOPIC,
    ROWS_TOPIC,
    KeyWork,
    LastDoubts,
    LeaderInfo,
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
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import ServerCalls
from yuccadale_edge._internal.ownership.keeper import KeyKeeper
from yuccadale_edge._internal.ownership.records import (
    KEYS_PREFIX,
    decode_record,
)
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.store import (
    Rows,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

_log = structlog.get_logger()

REPORT_S = 0.4
_REPORT_TIMEOUT_S = 0.7
# A leader that was not heard for this long is looked for.
_LEADER_SILENT_S = 1.0
# An instance that was not heard for this long gets no requests passed on.
_MEMBER_SILENT_S = 1.3
# Each lost contact makes at most so many reads of the store a second.
_LOOK_S = 0.5
# The leader calls the store each 0.7 s; after this it has lost it.
_STORE_SILENT_S = 1.0
# Members that do not hear of the sources read them later than the deputies.
_DEPUTIES_SILENT_S = 0.5
_DEPUTIES_PER_REGION = 2
_OWNER_CHANGES_KEPT = 400
_SERVICE_CHECK_S = 0.25
_START_SPREAD_S = 0.2
_ROSTER_S = 0.25
# Rows that were pushed arrive within this, also over a slow link.
_ON_ITS_WAY_S = 0.7
# Versions of owners before any leader has told them; epochs begin with 1.
_NO_VERSION = (0, 0)
_RECORDED_VERSION = (0, 1)

_encode = msgspec.msgpack.Encoder().encode
_decode_report = msgspec.msgpack.Decoder(Report).decode
_decode_rows = msgspec.msgpack.Decoder(SourceRows).decode
_decode_doubts = msgspec.msgpack.Decoder(LastDoubts).decode
_decode_news = msgspec.msgpack.Decoder(News).decode
_decode_answer = msgspec.msgpack.Decoder(ReportAnswer).decode


_OwnerChange = tuple[int, list[OwnedRange]]


class Cluster:
    """This instance among the others."""

    def __init__(
        self,
        settings: Settings,
        beliefs: Beliefs,
        leadership: Leadership,
        contact: StoreContact,
        links: PeerLinks,
        dispatcher: Dispatcher,
        calls: ServerCalls,
        metrics: Metrics,
    ) -> None:
        self.draining = False
        self._settings = settings
        self._beliefs = beliefs
        self._leadership = leadership
        self._contact = contact
        self._links = links
        self._dispatcher = dispatcher
        self._calls = calls
        self._metrics = metrics
        # A new instance first hears what the leader has; see reads_sources.
        self._heard_s = elapsed_s()
        self._heard = False
        self._leader_store_age_s: float = 0
        self._rows_heard_s: float = 0
        self._work_by_service: dict[str, dict[int, float]] = {}
        self._wake = asyncio.Event()
        # Kept by the leader only.
        self._keeper_by_service: dict[str, KeyKeeper] = {}
        self._heard_by_member: dict[str, float] = {}
        self._missing_since_by_member: dict[
            tuple[str, str], tuple[int, float]
        ] = {}
        self._roster_number = 0
        self._roster_changed = False
        self._owner_changes: dict[str, deque[_OwnerChange]] = {}
        self._owner_number: dict[str, int] = {}
        self._members: set[asyncio.Task[None]] = set()

    @property
    def line(self) -> RosterLine:
        """This instance as others list it."""
        host, port = self._settings.peer_address
        return RosterLine(
            self._settings.instance,
            host,
            port,
            self._settings.place.data_centre,
            leaving=self.draining,
        )

    def use(self, settings: Settings) -> None:
        """Takes other settings; addresses stay those of the start."""
        self._settings = settings

    def note_key(self, service: str, key: int, work_s: float) -> None:
        """Notes work that a caller asked for."""
        weights = self._work_by_service.setdefault(service, {})
        weights[key] = weights.get(key, 0) + work_s

    def reads_sources(self) -> bool:
        """Whether this instance follows the store's tables itself."""
        if self._leadership.leading():
            return True
        now_s = elapsed_s()
        since_heard_s = now_s - self._heard_s
        late_s = max(
            since_heard_s - _LEADER_SILENT_S,
            since_heard_s + self._leader_store_age_s - _STORE_SILENT_S,
        )
        if late_s <= 0:
            return False
        if self._is_deputy():
            return True
        heard_s = now_s - self._rows_heard_s
        return min(late_s, heard_s - REPORT_S) > _DEPUTIES_SILENT_S

    def rows_read(
        self, table: str, rows: Rows, after: int, lapsed_grace: bool
    ) -> None:
        """Passes rows that this instance read on to the others."""
        listed = [source_row(row) for row in rows.rows]
        source = SourceRows(table, after, rows.version, lapsed_grace, listed)
        if not self._leadership.leading():
            self._tell_region(source)
        elif listed:
            news = self._news()
            news.sources = [source]
            self._tell_all(news)

    async def run(self) -> None:
        """Takes part until cancelled."""
        # Instances that start together do not all find that nobody leads.
        await asyncio.sleep(random.random() * _START_SPREAD_S)
        while True:
            try:
                if self._leadership.leading():
                    await self._lead()
                else:
                    await self._follow()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                _log.warning('no contact with the store', reason=str(error))
                await self._ask_seeds()
            await self._pause(REPORT_S)

    async def resign(self) -> None:
        """Ends the calls about keys and gives the leadership up.

        Raises:
            StoreUnavailableError, StoreOutcomeUnknownError: the next leader
                waits until the lease is over.
        """
        if not self._leadership.leading():
            return
        settled = await asyncio.gather(
            *(keeper.settle() for keeper in self._keeper_by_service.values())
        )
        try:
            await self._leadership.renew(dict(settled), resign=True)
        finally:
            self._leadership.deposed = True

    async def answer_report(self, body: bytes) -> bytes:
        """Answers a member's report, or names the leader."""
        report = _decode_report(body)
        if not self._leadership.leading():
            known = NotLeading(self._leadership.leader)
            return _encode(ReportAnswer(not_leading=known))
        self._take_report(report)
        return _encode(ReportAnswer(news=self._news_for(report)))

    def take_rows(self, body: bytes) -> None:
        """Takes source rows that a deputy read."""
        source = _decode_rows(body)
        if source.after <= self._beliefs.version_by_table[source.table]:
            # After a gap this instance reads the rest itself.
            self._rows_heard_s = elapsed_s()
        self._apply_source(source)

    def take_news(self, body: bytes) -> None:
        """Takes news that the leader pushed."""
        self._apply(_decode_news(body))

    def take_doubts(self, body: bytes) -> None:
        """Takes the word of the leader before this one."""
        told = _decode_doubts(body)
        keeper = self._keeper_by_service.get(told.service)
        if keeper is not None:
            keeper.clear_doubts(told.epoch, told.doubts)

    def relay_news(self, body: bytes) -> None:
        """Takes news and passes them on in the own region."""
        self._apply(_decode_news(body))
        self._tell_near(NEWS_TOPIC, body)

    # Member

    async def _follow(self) -> None:
        leader = self._leadership.leader
        if leader is not None and not self._is_here(leader):
            if await self._reached(leader):
                return
        await self._leadership.look()
        self._use_recorded_owners()
        if self._leadership.leader == leader and not self.draining:
            await self._stand()
        await self._pause(_LOOK_S - REPORT_S)

    def _use_recorded_owners(self) -> None:
        """Sends by the last record until a leader says who owns what.

        Servers keep their leases when all instances are lost at once, and
        refuse a key that they do not hold.
        """
        for key, row in self._leadership.row_by_key.items():
            service = key.removeprefix(KEYS_PREFIX)
            owners = self._beliefs.owners(service)
            if service == key or owners.version != _NO_VERSION:
                continue
            for segment in decode_record(row.content).segments:
                if segment.holders:
                    holder = segment.holders[0].holder
                    owners.assign(segment.first, segment.last, Owner(holder, 0))
            owners.version = _RECORDED_VERSION
            _log.info(
                'owners taken from the record',
                service=service,
                row_version=row.version,
            )
            self._beliefs.wake()

    async def _reached(self, leader: LeaderInfo) -> bool:
        """Whether the leader answered a report, or did a moment ago."""
        try:
            await self._report(leader)
        except (PeerUnreachableError, LinkLostError) as error:
            if not self._heard:
                # A new instance that finds no leader reads for itself.
                self._heard_s = 0
            if elapsed_s() - self._heard_s < _LEADER_SILENT_S:
                return True
            _log.warning(
                'leader not reached',
                leader=leader.instance,
                reason=str(error),
            )
            return False
        # A leader that lost the store is deposed by one that has it.
        lost = self._leader_store_age_s > _STORE_SILENT_S
        return not (lost and self._is_deputy())

    async def _stand(self) -> None:
        """Becomes the leader if the store's row says that nobody leads."""
        if not self._leadership.may_take():
            return
        if await self._leadership.take():
            return
        # Another instance was first; the next look shows which one.
        await self._leadership.look()

    def _is_here(self, leader: LeaderInfo) -> bool:
        return (leader.host, leader.port) == self._settings.peer_address

    async def _report(self, leader: LeaderInfo) -> None:
        body = _encode(self._make_report())
        answer = _decode_answer(
            await self._links.ask(
                (leader.host, leader.port),
                REPORT_TOPIC,
                body,
                _REPORT_TIMEOUT_S,
            )
        )
        if answer.news is not None:
            self._apply(answer.news)
            return
        named = (
            None if answer.not_leading is None else answer.not_leading.leader
        )
        if named is None or not self._leadership.follow(named):
            raise PeerUnreachableError('the instance does not lead')

    async def _ask_seeds(self) -> None:
        """Finds the leader through other instances while the store is away."""
        if elapsed_s() - self._heard_s < _LEADER_SILENT_S:
            return
        for address in self._settings.seeds:
            if address == self._settings.peer_address:
                continue
            seed = LeaderInfo(0, '', *address, 0)
            try:
                await self._report(seed)
            except (PeerUnreachableError, LinkLostError):
                continue
            return

    def _make_report(self) -> Report:
        now_s = elapsed_s()
        work = [
            KeyWork(service, weights)
            for service, weights in self._work_by_service.items()
            if weights
        ]
        self._work_by_service = {}
        unreachable = [
            server_id
            for server_id, until_s in (
                self._beliefs.unreachable_until_by_server.items()
            )
            if until_s > now_s
        ]
        return Report(
            self.line,
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

    def _time_totals(self) -> list[TimeTotal]:
        total_by_pair: dict[tuple[str, str], TimeTotal] = {}
        for server_id, route, worked_s in self._dispatcher.samples:
            total = total_by_pair.setdefault(
                (server_id, route), TimeTotal(server_id, route, 0, 0)
            )
            total.count += 1
            total.total_s += worked_s
        self._dispatcher.samples.clear()
        return list(total_by_pair.values())

    def _apply(self, news: News) -> None:
        if news.leader.epoch < self._leadership.epoch:
            return
        self._leadership.follow(news.leader)
        if self._leadership.leading():
            return
        self._heard_s = elapsed_s()
        self._heard = True
        self._leader_store_age_s = news.store_age_s
        for source in news.sources:
            self._apply_source(source)
        if news.roster is not None:
            self._apply_roster(news.roster)
        for owners in news.owners:
            self._apply_owners(owners)

    def _apply_source(self, source: SourceRows) -> None:
        known = self._beliefs.version_by_table[source.table]
        rows = tuple(row.stored() for row in source.rows)
        # Rows before a gap are still to come with the next report's answer.
        version = source.version if source.after <= known else known
        self._beliefs.apply_rows(
            source.table,
            Rows(rows, version),
            whole=False,
            lapsed_grace=source.lapsed_grace,
        )

    def _apply_roster(self, roster: Roster) -> None:
        if roster.version <= self._beliefs.roster_version:
            return
        self._beliefs.roster_version = roster.version
        self._beliefs.instance_by_name = {
            line.instance: Instance(
                line.instance, (line.host, line.port), line.data_centre
            )
            for line in roster.lines
        }
        _log.info(
            'instances changed',
            version=roster.version,
            instances=sorted(self._beliefs.instance_by_name),
        )

    def _apply_owners(self, owners: Owners) -> None:
        known = self._beliefs.owners(owners.service)
        if owners.version <= known.version:
            return
        if owners.after is not None and owners.after != known.version:
            self._wake.set()
            return
        now_s = elapsed_s()
        for changed in owners.ranges:
            known.assign(changed.first, changed.last, owner_of(changed, now_s))
        known.version = owners.version
        self._beliefs.wake()

    # Leader

    async def _lead(self) -> None:
        """Does the leader's work until another instance leads."""
        epoch = self._leadership.epoch
        self._heard_by_member = {self._settings.instance: elapsed_s()}
        grace_s = elapsed_s() + _MEMBER_SILENT_S
        for name in self._beliefs.instance_by_name:
            self._heard_by_member.setdefault(name, grace_s)
        self._keeper_by_service = {}
        self._owner_changes = {}
        self._owner_number = {}
        self._update_roster(force=True)
        async with asyncio.TaskGroup() as group:
            keep = group.create_task(self._leadership.keep())
            work = [
                group.create_task(self._lead_members()),
                group.create_task(self._lead_services()),
            ]
            await keep
            for task in work:
                task.cancel()
        if not self.draining:
            self._spawn(self._tell_doubts(epoch, self._keeper_by_service))
        self._keeper_by_service = {}

    async def _tell_doubts(
        self, epoch: int, keeper_by_service: dict[str, KeyKeeper]
    ) -> None:
        """Tells the next leader which calls of this one may act late."""
        for service, keeper in keeper_by_service.items():
            doubts = LastDoubts(epoch, service, await keeper.doubts())
            leader = self._leadership.leader
            if leader is not None and not self._leadership.leading():
                await self._links.tell(
                    (leader.host, leader.port), DOUBTS_TOPIC, _encode(doubts)
                )
            _log.info(
                'keys given to the next leader',
                service=service,
                doubts=len(doubts.doubts),
            )

    async def _lead_members(self) -> None:
        while True:
            self._take_report(self._make_report())
            self._update_roster(force=self._roster_changed)
            await asyncio.sleep(_ROSTER_S)

    async def _lead_services(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                known = self._keeper_by_service.keys()
                services = self._beliefs.keyed_services()
                for service in set(services).difference(known):
                    keeper = self._keeper(service)
                    self._keeper_by_service[service] = keeper
                    group.create_task(keeper.run())
                await asyncio.sleep(_SERVICE_CHECK_S)

    def _keeper(self, service: str) -> KeyKeeper:
        leadership = self._leadership
        keeper = KeyKeeper(
            service,
            leadership.epoch,
            self._beliefs,
            self._calls,
            leadership.may_act,
            leadership.lease_left_s,
            leadership.renew,
            self._owners_changed,
            self._metrics,
            self._settings.bounds.lease_s,
        )
        row = leadership.row_by_key.get(KEYS_PREFIX + service)
        keeper.take_over(None if row is None else decode_record(row.content))
        return keeper

    def _owners_changed(self, service: str, ranges: list[OwnedRange]) -> None:
        epoch = self._leadership.epoch
        number = self._owner_number.get(service, 0)
        self._owner_number[service] = number + 1
        changes = self._owner_changes.setdefault(
            service, deque(maxlen=_OWNER_CHANGES_KEPT)
        )
        changes.append((number + 1, ranges))
        known = self._beliefs.owners(service)
        now_s = elapsed_s()
        for changed in ranges:
            known.assign(changed.first, changed.last, owner_of(changed, now_s))
        known.version = (epoch, number + 1)
        self._beliefs.wake()
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
            keeper = self._keeper_by_service.get(work.service)
            if keeper is not None:
                keeper.load.add(work.weight_by_key)
        for total in report.times:
            self._note_time(total)

    def _note_member(self, line: RosterLine) -> None:
        known = self._beliefs.instance_by_name.get(line.instance)
        seen = Instance(line.instance, (line.host, line.port), line.data_centre)
        if known != seen:
            self._beliefs.instance_by_name[line.instance] = seen
            # Told with the next round: many may join at the same moment.
            self._roster_changed = True

    def _note_time(self, total: TimeTotal) -> None:
        server = self._beliefs.servers.server_by_id.get(total.server_id)
        if server is None:
            return
        keeper = self._keeper_by_service.get(server.service)
        if keeper is not None:
            keeper.speeds.note(
                total.server_id, total.route, total.count, total.total_s
            )

    def _update_roster(self, *, force: bool) -> None:
        now_s = elapsed_s()
        silent = [
            name
            for name in self._beliefs.instance_by_name
            if now_s - self._heard_by_member.get(name, 0) > _MEMBER_SILENT_S
        ]
        for name in silent:
            self._beliefs.instance_by_name.pop(name)
            _log.warning('instance not heard, taken off', peer=name)
        if not silent and not force:
            return
        self._roster_changed = False
        self._roster_number += 1
        self._beliefs.roster_version = (
            self._leadership.epoch,
            self._roster_number,
        )
        news = self._news()
        news.roster = self._roster()
        self._tell_all(news)

    def _roster(self) -> Roster:
        lines = [
            RosterLine(one.name, *one.address, one.data_centre)
            for one in self._beliefs.instance_by_name.values()
        ]
        return Roster(self._beliefs.roster_version, lines)

    def _news(self) -> News:
        assert self._leadership.leader is not None
        return News(self._leadership.leader, self._contact.age_s())

    def _news_for(self, report: Report) -> News:
        news = self._news()
        for table in SOURCE_TABLES:
            after = report.version_by_table.get(table, 0)
            if self._has_to_be_told(report.line.instance, table, after):
                news.sources.append(self._source_after(table, after))
        if report.roster_version != self._beliefs.roster_version:
            news.roster = self._roster()
        for service in self._keeper_by_service:
            known = report.version_by_service.get(service, (0, 0))
            owners = self._owners_after(service, known)
            if owners is not None:
                news.owners.append(owners)
        return news

    def _has_to_be_told(self, member: str, table: str, after: int) -> bool:
        """Whether a member's report shows that pushed rows were lost.

        What is on its way is not sent again at each report, since that
        would fill a slow link with copies of a large configuration.
        """
        version = self._beliefs.version_by_table[table]
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
        version = self._beliefs.version_by_table[table]
        if table == SERVER_TABLE:
            rows = list(self._beliefs.servers.row_by_id.values())
        else:
            row = self._beliefs.configuration_row
            rows = [] if row is None else [row]
        newer = [source_row(row) for row in rows if row.version > after]
        return SourceRows(table, after, version, False, newer)

    def _owners_after(self, service: str, known: Version) -> Owners | None:
        owners = self._beliefs.owners(service)
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

    def _is_deputy(self) -> bool:
        """Whether this instance reads for its region in the leader's place."""
        place = self._settings.place
        peers = [
            one.name
            for one in self._beliefs.instance_by_name.values()
            if place.distance(one.data_centre) <= 1
        ]
        names = sorted({*peers, self._settings.instance})
        return self._settings.instance in names[:_DEPUTIES_PER_REGION]

    def _tell_region(self, source: SourceRows) -> None:
        if not self._is_deputy():
            return
        self._tell_near(ROWS_TOPIC, _encode(source))

    def _tell_all(self, news: News) -> None:
        body = _encode(news)
        far_by_region: dict[str, list[Instance]] = {}
        region_of = self._settings.place.region_by_data_centre
        for instance in self._others():
            region = region_of.get(instance.data_centre, '')
            if region == self._settings.place.region:
                self._spawn(self._tell(instance, NEWS_TOPIC, body))
            else:
                far_by_region.setdefault(region, []).append(instance)
        for members in far_by_region.values():
            self._spawn(self._tell_far(members, body))

    async def _tell_far(self, members: list[Instance], body: bytes) -> None:
        """Sends news into another region once; one instance passes it on."""
        relay = min(members)
        if await self._links.tell(relay.address, RELAY_TOPIC, body):
            return
        for instance in members:
            if instance != relay:
                await self._tell(instance, NEWS_TOPIC, body)

    async def _tell(self, instance: Instance, topic: str, body: bytes) -> None:
        await self._links.tell(instance.address, topic, body)

    def _others(self) -> list[Instance]:
        return [
            one
            for one in self._beliefs.instance_by_name.values()
            if one.name != self._settings.instance
        ]

    def _tell_near(self, topic: str, body: bytes) -> None:
        """Sends to all other instances of the own region."""
        place = self._settings.place
        for instance in self._others():
            if place.distance(instance.data_centre) <= 1:
                self._spawn(self._tell(instance, topic, body))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._members.add(task)
        task.add_done_callback(self._members.discard)

    async def _pause(self, longest_s: float) -> None:
        """Waits, but not on when something has to be asked again."""
        try:
            async with asyncio.timeout(max(0, longest_s)):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
