"""Followers: reports to the leader, search for a leader, and candidacy.

Up to two instances of each region are standbys. When the leader does not
respond, or has lost the store, they read the source tables for their region
and look for a new leader before the other instances do.
"""

import asyncio
import random
from math import inf

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import (
    LEADER_UPDATE_TOPIC,
    REPORT_TOPIC,
    ROWS_TOPIC,
    LeaderInfo,
    LeaderUpdate,
    NotLeading,
    OwnersUpdate,
    ReportResponse,
    Roster,
    SourceRows,
    instance_of,
)
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.membership.row_fetcher import RowFetcher
from yuccadale_edge._internal.membership.source_pages import (
    PAGE_BYTES,
    size_of,
)
from yuccadale_edge._internal.membership.succession import MIN_CAPACITY_RATIO
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.records import (
    KEYS_PREFIX,
    InvalidRecordError,
    SegmentRecord,
    decode_record,
)
from yuccadale_edge._internal.store import Rows, StoredRow
from yuccadale_edge._internal.store_versions import version_text
from yuccadale_edge._internal.system_view import (
    SERVER_TABLE,
    Owner,
    SystemView,
    decode_owner,
    most_capable_first,
)
from yuccadale_edge._internal.transport.client_pool import Address

_log = structlog.get_logger()

REPORT_INTERVAL_S = 0.4
_REPORT_TIMEOUT_S = 0.7
# A search for a leader starts when no update arrived for this long.
_LEADER_TIMEOUT_S = 1.0
# Other instances start the search this much later than the standbys, which
# saves reads of the store.
_STANDBY_SEARCH_S = 2.0
# Interval of an instance's reads of the leader's row during the search.
_READ_INTERVAL_S = 0.5
# Timers may fire early by less than this.
_WAKE_MARGIN_S = 0.01
# Instances on less capable machines take over this much later: a few round
# trips to electors and to the store.
HANDICAP_S = 0.3
# The leader writes to the store every 0.5 s; without an answer for this long
# it has lost the store.
_STORE_TIMEOUT_S = 1.0
# Longest wait of a read for changes, and its share of the age at which rows are
# outdated. The rest is for the way to the other instances, and for a retry
# after a connection that stalled, which is detected only by this wait.
_MAX_CHANGES_WAIT_S = 1.2
_CHANGES_WAIT_SHARE = 0.4
# Other instances start to read the source tables this much later than the
# standbys.
_STANDBY_READ_S = 0.5
_STANDBYS_PER_REGION = 2
# A new standby reads the source tables without waiting for the connection to
# the leader to fail. This is a few round trips.
_NEW_STANDBY_READ_DELAY_S = 0.1
# A new instance without a leader waits this long for rows from a standby of
# its region; many that start at once would fill the link to the store.
_NEW_MEMBER_READ_DELAY_S = 2.5
# A peer may be as far behind as this instance; then the leader is asked.
_MAX_PEER_FAILURES = 8
# Share of the requests that go to the leader then.
_LEADER_SHARE = 0.5
# Versions of owners before the first update of a leader; epochs start at 1.
_NO_VERSION = (0, 0)
_RECORDED_VERSION = (0, 1)

_encode = msgspec.msgpack.Encoder().encode
_decode_rows = msgspec.msgpack.Decoder(SourceRows).decode
_decode_update = msgspec.msgpack.Decoder(LeaderUpdate).decode
_decode_epoch = msgspec.msgpack.Decoder(int).decode
_decode_response = msgspec.msgpack.Decoder(ReportResponse).decode


class Member:
    """The tasks of this instance while it is not the leader.

    Attributes:
        draining: whether this instance is shutting down, so that it does not
            run for leader.
    """

    def __init__(
        self,
        settings: Settings,
        system_view: SystemView,
        leadership: Leadership,
        links: PeerLinks,
        broadcaster: Broadcaster,
        reporter: Reporter,
        metrics: Metrics,
    ) -> None:
        self.draining = False
        self._fetcher = RowFetcher(
            system_view, links, self._row_source, self._apply_source, metrics
        )
        self.fetch_rows = self._fetcher.run
        self._settings = settings
        self._system_view = system_view
        self._leadership = leadership
        self._links = links
        self._broadcaster = broadcaster
        self._reporter = reporter
        self._started_s = elapsed_s()
        self._last_update_s = self._started_s
        self._received_update = False
        # When this instance first tried to report to a leader.
        self._first_report_s = inf
        self._leader_store_age_s: float = 0
        self._rows_received_s: float = 0
        self._nominated = False
        self._row_read_since_failure = False
        self._report_now = asyncio.Event()

    def reconfigure(self, settings: Settings) -> None:
        """Applies changed settings; addresses need a restart."""
        self._settings = settings

    def hears_leader(self) -> bool:
        """Whether the last update of the leader is recent.

        False before the leader removes this instance from the roster.
        """
        return elapsed_s() - self._last_update_s < _LEADER_TIMEOUT_S

    def read_wait_s(self, table: str) -> float | None:
        """Returns for how long a read of a source table waits for changes.

        Returns:
            None if this instance does not have to read the table, also while
            its peers send many rows that it misses; 0 to read it at once,
            before its rows are outdated.
        """
        if table == SERVER_TABLE and self._receives_rows():
            return None
        if self._system_view.needs_confirmation(table):
            return 0
        if self.should_read_sources():
            return min(
                _MAX_CHANGES_WAIT_S,
                self._system_view.max_source_age_s * _CHANGES_WAIT_SHARE,
                # A wait that begins late would outlast the age limit.
                self._system_view.confirmed_for_s(table),
            )
        return None

    def should_read_sources(self) -> bool:
        """Whether this instance follows the source tables in the store.

        A new instance first waits for the rows of the leader or a standby.
        """
        if self._leadership.leading():
            return True
        now_s = elapsed_s()
        if not self._received_update:
            # Rows of a peer are on their way.
            last_s = max(self._started_s, self._fetcher.received_s)
            late = now_s - last_s > _NEW_MEMBER_READ_DELAY_S
            if late or not self._is_standby():
                return late
            return now_s - self._first_report_s > _NEW_STANDBY_READ_DELAY_S
        since_update_s = now_s - self._last_update_s
        late_s = max(
            since_update_s - _LEADER_TIMEOUT_S,
            since_update_s + self._leader_store_age_s - _STORE_TIMEOUT_S,
        )
        if late_s <= 0:
            return False
        if self._is_standby():
            return True
        since_rows_s = now_s - self._rows_received_s
        return min(late_s, since_rows_s - REPORT_INTERVAL_S) > _STANDBY_READ_S

    def broadcast_rows_in_region(self, source: SourceRows) -> None:
        """Sends rows that this instance read as a standby to its region.

        Only the version of many servers is sent; the others fetch their rows.
        """
        if not self._is_standby():
            return
        if source.table == SERVER_TABLE and size_of(source.rows) > PAGE_BYTES:
            changed_version = max(row.version for row in source.rows)
            source = SourceRows(
                source.table,
                changed_version,
                changed_version,
                source.removal_grace,
                [],
            )
        self._broadcaster.broadcast_in_region(ROWS_TOPIC, _encode(source))

    def handle_rows(self, body: bytes) -> None:
        """Handles rows that a standby read from the store."""
        source = _decode_rows(body)
        status = self._system_view.status_by_table.get(source.table)
        if status is not None and source.after <= status.version:
            # After a gap the time stays, so that this instance reads the
            # missing rows itself.
            self._rows_received_s = elapsed_s()
        self._apply_source(source)

    def handle_leader_update(self, body: bytes) -> None:
        """Handles an update that the leader broadcast."""
        self._apply_update(_decode_update(body))

    def relay_leader_update(self, body: bytes) -> None:
        """Handles an update of the leader and relays it to this region."""
        self.handle_leader_update(body)
        self._broadcaster.broadcast_in_region(LEADER_UPDATE_TOPIC, body)

    def handle_nomination(self, body: bytes) -> None:
        """Handles the request of a leader that has resigned to lead now."""
        if _decode_epoch(body) == self._leadership.epoch:
            self._nominated = True
            self._report_now.set()

    async def follow(self) -> float:
        """Reports to the leader once, or searches for a leader.

        Returns:
            The time until the next call, in seconds.

        Raises:
            StoreUnavailableError: the leader's row was not read or written.
            StoreOutcomeUnknownError: this instance may have become the
                leader; the next read of the row shows the outcome.
        """
        leader = self._leadership.leader
        nominated = self._nominated
        self._nominated = False
        if leader is not None and not self._is_self(leader) and not nominated:
            if await self._report_to(leader):
                return REPORT_INTERVAL_S
        await self._leadership.refresh()
        self._apply_recorded_owners()
        if self._leadership.leader == leader and not self.draining:
            await self._run_for_leader()
        until_takeover_s = self._leadership.until_takeover_s(self._handicap_s())
        if 0 < until_takeover_s < _READ_INTERVAL_S:
            return until_takeover_s + _WAKE_MARGIN_S
        return _READ_INTERVAL_S

    async def find_leader_by_seeds(self) -> None:
        """Requests the leader from the seeds while the store is unreachable."""
        if elapsed_s() - self._last_update_s < _LEADER_TIMEOUT_S:
            return
        for address in self._settings.seeds:
            if address == self._settings.contact_address:
                continue
            seed = LeaderInfo(0, '', *address, 0)
            try:
                await self._send_report(seed)
            except (PeerUnreachableError, LinkLostError):
                continue
            return

    async def wait(self, longest_s: float) -> None:
        """Waits until the next report is due.

        Args:
            longest_s: longest wait; a missed update ends it earlier.
        """
        try:
            async with asyncio.timeout(max(0, longest_s)):
                await self._report_now.wait()
        except TimeoutError:
            return
        self._report_now.clear()

    def _receives_rows(self) -> bool:
        """Whether peers are sending the rows of servers that are missing."""
        leading = self._leadership.leading()
        return not leading and self._fetcher.makes_progress(SERVER_TABLE)

    def _apply_recorded_owners(self) -> None:
        """Uses the stored owners until the first update of a leader arrives.

        When all instances fail at once, servers keep their leases; a server
        refuses requests for keys that it does not hold.
        """
        for key, row in self._leadership.row_by_key.items():
            service = key.removeprefix(KEYS_PREFIX)
            owners = self._system_view.owners(service)
            if service == key or owners.version != _NO_VERSION:
                continue
            for segment in _recorded_segments(row, service):
                if segment.holders:
                    holder = segment.holders[0].holder
                    owners.assign(segment.first, segment.last, Owner(holder, 0))
            owners.version = _RECORDED_VERSION
            _log.info(
                'stored owners used until a leader update arrives',
                service=service,
                row_version=version_text(row.version),
            )
            self._system_view.wake()

    async def _report_to(self, leader: LeaderInfo) -> bool:
        """Reports to a leader.

        Returns:
            False if the search for a leader has to start.
        """
        self._first_report_s = min(self._first_report_s, elapsed_s())
        try:
            await self._send_report(leader)
        except (PeerUnreachableError, LinkLostError) as error:
            if not self._received_update:
                await self._request_sources_from_electors()
            elif self._is_standby() and not self._row_read_since_failure:
                # The wait for a takeover counts from the first sight of the
                # row's latest version.
                self._row_read_since_failure = True
                await self._leadership.refresh()
            silent_s = elapsed_s() - self._last_update_s
            if silent_s < self._leader_timeout_s():
                return True
            _log.warning(
                'leader not reached, searching for a leader',
                leader=leader.instance,
                reason=str(error),
                silent_s=round(silent_s, 2),
            )
            return False
        self._row_read_since_failure = False
        # A standby that reaches the store may replace a leader that does not.
        store_lost = self._leader_store_age_s > _STORE_TIMEOUT_S
        return not (store_lost and self._is_standby())

    def _leader_timeout_s(self) -> float:
        """Returns the time without an update after which a search starts."""
        if self._received_update and not self._is_standby():
            return _LEADER_TIMEOUT_S + _STANDBY_SEARCH_S
        return _LEADER_TIMEOUT_S

    async def _run_for_leader(self) -> None:
        """Tries to become the leader if the row of the store allows it."""
        version = await self._leadership.replaceable_version(self._handicap_s())
        if version is None or await self._leadership.claim(version):
            return
        # Another candidate was faster; the row shows which one leads.
        await self._leadership.refresh()

    def _handicap_s(self) -> float:
        """Returns how long this instance lets more capable ones go first."""
        leader = self._leadership.leader
        capacity = self._settings.machine.capacity * MIN_CAPACITY_RATIO
        others = (
            peer
            for peer in self._broadcaster.peers()
            if leader is None or peer.name != leader.instance
        )
        if any(peer.capacity >= capacity for peer in others):
            return HANDICAP_S
        return 0

    def _is_self(self, leader: LeaderInfo) -> bool:
        return (leader.host, leader.port) == self._settings.contact_address

    async def _send_report(self, leader: LeaderInfo) -> None:
        report = self._reporter.report()
        report.electors_since = self._leadership.known_electors.since
        body = _encode(report)
        asked_s = elapsed_s()
        response = await self._links.request(
            (leader.host, leader.port),
            REPORT_TOPIC,
            body,
            _REPORT_TIMEOUT_S,
            _decode_response,
        )
        if response.update is not None:
            self._apply_update(response.update)
            self._system_view.confirm_sources(
                response.update.source_ages, asked_s
            )
            if response.update.electors is not None:
                self._leadership.known_electors.confirm(
                    response.update.electors, asked_s
                )
            return
        redirect = response.not_leading or NotLeading(None)
        for source in redirect.sources:
            self._apply_source(source)
        self._system_view.confirm_sources(redirect.source_ages, asked_s)
        if redirect.leader is None or not self._leadership.accept_leader(
            redirect.leader
        ):
            raise PeerUnreachableError(
                'the instance does not lead and knows no newer leader'
            )

    async def _request_sources_from_electors(self) -> None:
        """Requests the source tables from the electors of this region."""
        if all(self._system_view.version_by_table().values()):
            return
        for address in self._region_electors():
            try:
                await self._send_report(LeaderInfo(0, '', *address, 0))
            except (PeerUnreachableError, LinkLostError) as error:
                _log.info(
                    'no leader found through an elector, trying the next one',
                    peer=address,
                    reason=str(error),
                    version_by_table=self._system_view.version_by_table(),
                )

    def _apply_update(self, update: LeaderUpdate) -> None:
        if update.leader.epoch < self._leadership.epoch:
            return
        self._leadership.accept_leader(update.leader)
        if self._leadership.leading():
            return
        self._leadership.observe_version(update.row_version)
        self._last_update_s = elapsed_s()
        self._received_update = True
        self._leader_store_age_s = update.store_age_s
        for source in update.sources:
            self._apply_source(source)
        if update.roster is not None:
            self._apply_roster(update.roster)
        for owners in update.owners:
            self._apply_owners(owners)

    def _row_source(self, failures: int) -> Address | None:
        """Returns the peer from which to fetch rows.

        Standbys ask the leader too, and all ask their peers, most often those
        on capable machines. So the leader sends the rows a few times only, and
        few of them pass the link between regions.

        Args:
            failures: number of requests in a row that brought nothing.
        """
        leader = self._leadership.leader
        leader_address = None
        if leader is not None and not self._is_self(leader):
            leader_address = leader.host, leader.port
        weight_by_address = {
            peer.address: peer.capacity + 1
            for peer in self._broadcaster.region_peers()
            if peer.address != leader_address
        } or dict.fromkeys(self._region_electors(), 1.0)
        if not weight_by_address:
            return leader_address
        may_ask_leader = self._is_standby() or failures >= _MAX_PEER_FAILURES
        if may_ask_leader and random.random() < _LEADER_SHARE:
            if leader_address is not None:
                return leader_address
        return random.choices(
            list(weight_by_address), list(weight_by_address.values())
        )[0]

    def _region_electors(self) -> list[Address]:
        """Returns the electors of this region, except this instance."""
        place = self._settings.place
        return [
            elector.address
            for elector in self._leadership.row_electors
            if elector.address != self._settings.contact_address
            and place.distance(elector.data_centre) <= 1
        ]

    def _apply_source(self, source: SourceRows) -> None:
        status = self._system_view.status_by_table.get(source.table)
        if status is None:
            # An instance of a later version may have more tables.
            return
        known = status.version
        if source.after > known:
            self._system_view.announce(
                source.table,
                max((row.version for row in source.rows), default=source.after),
            )
        rows = tuple(row.decode() for row in source.rows)
        # After a gap the version stays, so that the response to the next
        # report carries the missing rows.
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
            entry.instance: instance_of(entry) for entry in roster.entries
        }
        _log.info(
            'roster changed',
            version=roster.version,
            instances=sorted(self._system_view.instance_by_name),
        )

    def _apply_owners(self, owners: OwnersUpdate) -> None:
        known = self._system_view.owners(owners.service)
        if owners.version <= known.version:
            return
        if owners.after is not None and owners.after != known.version:
            self._report_now.set()
            return
        now_s = elapsed_s()
        for changed in owners.ranges:
            known.assign(
                changed.first, changed.last, decode_owner(changed, now_s)
            )
        known.version = owners.version
        self._system_view.wake()
        if not owners.complete:
            self._report_now.set()

    def _is_standby(self) -> bool:
        """Whether this instance is a standby of its region."""
        leader = self._leadership.leader
        if not self._system_view.instance_by_name:
            # Without a roster the electors of the leader's row are standbys.
            electors = [one.address for one in self._leadership.row_electors]
            return not electors or self._settings.contact_address in electors
        peers = self._broadcaster.region_peers()
        ranked = sorted(
            (
                one
                for one in (*peers, instance_of(self._reporter.roster_entry()))
                if leader is None or one.name != leader.instance
            ),
            key=most_capable_first,
        )
        standbys = [one.name for one in ranked[:_STANDBYS_PER_REGION]]
        return self._settings.instance in standbys


def _recorded_segments(row: StoredRow, service: str) -> list[SegmentRecord]:
    try:
        return decode_record(row.content).segments
    except InvalidRecordError as error:
        _log.warning(
            'stored owners unreadable',
            service=service,
            row_version=version_text(row.version),
            reason=str(error),
        )
        return []
