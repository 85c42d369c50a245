"""An instance that follows a leader, finds one, or becomes one."""

import asyncio
from math import inf

import msgspec
import structlog

from yuccadale_edge._internal.system_view import (
    SystemView,
    Instance,
    Owner,
    decode_owner,
)
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import (
    NEWS_TOPIC,
    REPORT_TOPIC,
    ROWS_TOPIC,
    LeaderInfo,
    News,
    NotLeading,
    Owners,
    ReportAnswer,
    Roster,
    SourceRows,
)
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.ownership.records import (
    KEYS_PREFIX,
    decode_record,
)
from yuccadale_edge._internal.store import Rows

_log = structlog.get_logger()

REPORT_S = 0.4
_REPORT_TIMEOUT_S = 0.7
# A leader that was not heard for this long is looked for.
_LEADER_SILENT_S = 1.0
# Instances that are not deputies leave the search for a leader to these for
# so much longer, to ask the store less.
_DEPUTIES_SEARCH_S = 2.0
# Each lost contact makes at most so many reads of the store a second.
_LOOK_S = 0.5
# The leader calls the store each 0.5 s; after this it has lost it.
_STORE_SILENT_S = 1.0
# Members that do not hear of the sources read them later than the deputies.
_DEPUTIES_SILENT_S = 0.5
_DEPUTIES_PER_REGION = 2
# A new elector that has not heard the leader for this long, which is a few
# times the way there and back, does not wait for the connection to fail.
_LEADER_ANSWERS_S = 0.1
# A new instance that finds no leader waits so long for the rows that a
# deputy of its region reads: all that start at once would fill the link to
# the store.
_NEW_PATIENCE_S = 2.5
# Versions of owners before any leader has told them; epochs begin with 1.
_NO_VERSION = (0, 0)
_RECORDED_VERSION = (0, 1)

_encode = msgspec.msgpack.Encoder().encode
_decode_rows = msgspec.msgpack.Decoder(SourceRows).decode
_decode_news = msgspec.msgpack.Decoder(News).decode
_decode_answer = msgspec.msgpack.Decoder(ReportAnswer).decode


class Member:
    """This instance as one that follows."""

    def __init__(
        self,
        settings: Settings,
        system_view: SystemView,
        leadership: Leadership,
        links: PeerLinks,
        broadcaster: Broadcaster,
        reporter: Reporter,
    ) -> None:
        self.draining = False
        self._settings = settings
        self._system_view = system_view
        self._leadership = leadership
        self._links = links
        self._broadcaster = broadcaster
        self._reporter = reporter
        # A new instance first hears what the leader has; see reads_sources.
        self._started_s = elapsed_s()
        self._heard_s = self._started_s
        self._heard = False
        # When a leader that did not answer yet was asked first.
        self._asked_s = inf
        self._leader_store_age_s: float = 0
        self._rows_heard_s: float = 0
        self._wake = asyncio.Event()

    def reconfigure(self, settings: Settings) -> None:
        """Takes other settings; addresses stay those of the start."""
        self._settings = settings

    def should_read_sources(self) -> bool:
        """Whether this instance follows the store's tables itself."""
        if self._leadership.leading():
            return True
        now_s = elapsed_s()
        if not self._heard:
            if self._is_deputy():
                return now_s - self._asked_s > _LEADER_ANSWERS_S
            return now_s - self._started_s > _NEW_PATIENCE_S
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

    def tell_region(self, source: SourceRows) -> None:
        """Passes rows on that this instance read as a deputy."""
        if self._is_deputy():
            self._broadcaster.tell_near(ROWS_TOPIC, _encode(source))

    def take_rows(self, body: bytes) -> None:
        """Takes source rows that a deputy read."""
        source = _decode_rows(body)
        if source.after <= self._system_view.version_by_table[source.table]:
            # After a gap this instance reads the rest itself.
            self._rows_heard_s = elapsed_s()
        self._apply_source(source)

    def take_news(self, body: bytes) -> None:
        """Takes news that the leader pushed."""
        self._apply(_decode_news(body))

    def relay_news(self, body: bytes) -> None:
        """Takes news and passes them on in the own region."""
        self.take_news(body)
        self._broadcaster.tell_near(NEWS_TOPIC, body)

    async def follow(self) -> None:
        """Reports to the leader once, or looks for one.

        Raises:
            StoreUnavailableError, StoreOutcomeUnknownError: the store says
                nothing about a leader.
        """
        leader = self._leadership.leader
        if leader is not None and not self._is_here(leader):
            if await self._reached(leader):
                return
        await self._leadership.look()
        self._use_recorded_owners()
        if self._leadership.leader == leader and not self.draining:
            await self._stand()
        await self.pause(_LOOK_S - REPORT_S)

    async def ask_seeds(self) -> None:
        """Finds the leader through other instances while the store is away."""
        if elapsed_s() - self._heard_s < _LEADER_SILENT_S:
            return
        for address in self._settings.seeds:
            if address == self._settings.contact_address:
                continue
            seed = LeaderInfo(0, '', *address, 0)
            try:
                await self._report(seed)
            except (PeerUnreachableError, LinkLostError):
                continue
            return

    async def pause(self, longest_s: float) -> None:
        """Waits, but not on when something has to be asked again."""
        try:
            async with asyncio.timeout(max(0, longest_s)):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _use_recorded_owners(self) -> None:
        """Sends by the last record until a leader says who owns what.

        Servers keep their leases when all instances are lost at once, and
        refuse a key that they do not hold.
        """
        for key, row in self._leadership.row_by_key.items():
            service = key.removeprefix(KEYS_PREFIX)
            owners = self._system_view.owners(service)
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
            self._system_view.wake()

    async def _reached(self, leader: LeaderInfo) -> bool:
        """Whether the leader answered a report, or did a moment ago."""
        self._asked_s = min(self._asked_s, elapsed_s())
        try:
            await self._report(leader)
        except (PeerUnreachableError, LinkLostError) as error:
            if not self._heard:
                await self._ask_deputies()
            silent_s = elapsed_s() - self._heard_s
            if silent_s < self._patience_s():
                return True
            _log.warning(
                'leader not reached',
                leader=leader.instance,
                reason=str(error),
                silent_s=round(silent_s, 2),
            )
            return False
        # A leader that lost the store is deposed by one that has it.
        lost = self._leader_store_age_s > _STORE_SILENT_S
        return not (lost and self._is_deputy())

    def _patience_s(self) -> float:
        """Returns how long a leader may be silent before it is looked for."""
        if self._heard and not self._is_deputy():
            return _LEADER_SILENT_S + _DEPUTIES_SEARCH_S
        return _LEADER_SILENT_S

    async def _stand(self) -> None:
        """Becomes the leader if the store's row says that nobody leads."""
        version = await self._leadership.replaceable()
        if version is None or await self._leadership.take(version):
            return
        # Another instance was first; the next look shows which one.
        await self._leadership.look()

    def _is_here(self, leader: LeaderInfo) -> bool:
        return (leader.host, leader.port) == self._settings.contact_address

    async def _report(self, leader: LeaderInfo) -> None:
        body = _encode(self._reporter.report())
        answer = _decode_answer(
            await self._links.request(
                (leader.host, leader.port),
                REPORT_TOPIC,
                body,
                _REPORT_TIMEOUT_S,
            )
        )
        if answer.news is not None:
            self._apply(answer.news)
            return
        known = answer.not_leading or NotLeading(None)
        for source in known.sources:
            self._apply_source(source)
        if known.leader is None or not self._leadership.follow(known.leader):
            raise PeerUnreachableError('the instance does not lead')

    async def _ask_deputies(self) -> None:
        """Asks those near for the sources while no leader tells them."""
        if all(self._system_view.version_by_table.values()):
            return
        place = self._settings.place
        for elector in self._leadership.row_electors:
            here = elector.address == self._settings.contact_address
            if here or place.distance(elector.data_centre) > 1:
                continue
            try:
                await self._report(LeaderInfo(0, '', *elector.address, 0))
            except (PeerUnreachableError, LinkLostError) as error:
                _log.info(
                    'no leader found through a deputy',
                    peer=elector.address,
                    reason=str(error),
                    version_by_table=self._system_view.version_by_table,
                )

    def _apply(self, news: News) -> None:
        if news.leader.epoch < self._leadership.epoch:
            return
        self._leadership.follow(news.leader)
        if self._leadership.leading():
            return
        self._leadership.note_version(news.row_version)
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
        known = self._system_view.version_by_table[source.table]
        rows = tuple(row.stored() for row in source.rows)
        # Rows before a gap are still to come with the next report's answer.
        version = source.version if source.after <= known else known
        self._system_view.apply_rows(
            source.table,
            Rows(rows, version),
            full_snapshot=False,
            removal_grace=source.removal_grace,
        )

    def _apply_roster(self, roster: Roster) -> None:
        if roster.version <= self._system_view.membership_version:
            return
        self._system_view.membership_version = roster.version
        self._system_view.instance_by_name = {
            line.instance: Instance(
                line.instance, (line.host, line.port), line.data_centre
            )
            for line in roster.lines
        }
        _log.info(
            'instances changed',
            version=roster.version,
            instances=sorted(self._system_view.instance_by_name),
        )

    def _apply_owners(self, owners: Owners) -> None:
        known = self._system_view.owners(owners.service)
        if owners.version <= known.version:
            return
        if owners.after is not None and owners.after != known.version:
            self._wake.set()
            return
        now_s = elapsed_s()
        for changed in owners.ranges:
            known.assign(
                changed.first, changed.last, decode_owner(changed, now_s)
            )
        known.version = owners.version
        self._system_view.wake()

    def _is_deputy(self) -> bool:
        """Whether this instance reads for its region in the leader's place."""
        if not self._system_view.instance_by_name:
            # The others are not known yet, but the leader's row names some.
            named = [one.address for one in self._leadership.row_electors]
            return not named or self._settings.contact_address in named
        leader = self._leadership.leader
        peers = {one.name for one in self._broadcaster.near()}
        if leader is not None:
            peers.discard(leader.instance)
        names = sorted({*peers, self._settings.instance})
        return self._settings.instance in names[:_DEPUTIES_PER_REGION]
