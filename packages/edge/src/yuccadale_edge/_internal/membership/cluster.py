"""Runs this instance as a follower or as the leader of the cluster."""

import asyncio
import random

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.cold_exchange import exchange_cold
from yuccadale_edge._internal.membership.electorate import Electorate
from yuccadale_edge._internal.membership.leader import Leader
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.leaving_exchange import (
    exchange_leaving,
)
from yuccadale_edge._internal.membership.limit_exchange import exchange_limits
from yuccadale_edge._internal.membership.links import PeerLinks
from yuccadale_edge._internal.membership.member import REPORT_INTERVAL_S, Member
from yuccadale_edge._internal.membership.messages import (
    COLD_RELAY_TOPIC,
    COLD_TOPIC,
    LEADER_UPDATE_TOPIC,
    LEAVING_RELAY_TOPIC,
    LEAVING_TOPIC,
    LIMITS_RELAY_TOPIC,
    LIMITS_TOPIC,
    NOMINATION_TOPIC,
    PROMISE_TOPIC,
    RECORD_COPY_TOPIC,
    RELAY_TOPIC,
    REPORT_TOPIC,
    ROWS_REQUEST_TOPIC,
    ROWS_TOPIC,
    UNCONFIRMED_GRANTS_TOPIC,
    VOTE_TOPIC,
    RosterEntry,
    SourceRows,
    encode_source_row,
)
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import ServerCalls
from yuccadale_edge._internal.routing.cold_servers import planning_rates
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.store import (
    Rows,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from yuccadale_edge._internal.system_view import SystemView

_log = structlog.get_logger()

_MAX_START_DELAY_S = 0.2
_LEAVE_RETRY_S = 0.1


class Cluster:
    """Dispatches messages of other instances, and follows or leads."""

    def __init__(
        self,
        settings: Settings,
        system_view: SystemView,
        leadership: Leadership,
        electorate: Electorate,
        contact: StoreContact,
        links: PeerLinks,
        broadcaster: Broadcaster,
        dispatcher: Dispatcher,
        calls: ServerCalls,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._leadership = leadership
        self._electorate = electorate
        self._draining = False
        reporter = Reporter(self._roster_entry, system_view, dispatcher)
        self.record_key_work = reporter.record_key_work
        self._member = Member(
            settings,
            system_view,
            leadership,
            links,
            broadcaster,
            reporter,
            metrics,
        )
        self.fetch_rows = self._member.fetch_rows
        self._leader = Leader(
            settings,
            system_view,
            leadership,
            contact,
            links,
            broadcaster,
            reporter,
            calls,
            metrics,
            planning_rates(
                dispatcher.rate_limits.planning_rate_by_holder,
                system_view.cold_limits,
            ),
        )
        self.read_wait_s = self._member.read_wait_s
        self._limit_exchange = exchange_limits(
            dispatcher.rate_limits, system_view, broadcaster
        )
        self.exchange_limits = self._limit_exchange.run
        self._cold_exchange = exchange_cold(system_view, broadcaster)
        self.exchange_cold = self._cold_exchange.run
        self._leaving_exchange = exchange_leaving(
            system_view, broadcaster, leadership.leading
        )
        self.exchange_leaving = self._leaving_exchange.run

    def reconfigure(self, settings: Settings) -> None:
        """Applies changed settings; addresses need a restart."""
        self._settings = settings
        self._member.reconfigure(settings)
        self._leader.reconfigure(settings)

    def publish_rows(
        self, table: str, rows: Rows, after: int, removal_grace: bool
    ) -> None:
        """Sends rows that this instance read from the store to its peers.

        Args:
            table: the source table.
            rows: rows that changed after version ``after``.
            after: version of the table here before the rows were read.
            removal_grace: whether removed servers are kept for a grace period.
        """
        sent_rows = [encode_source_row(row) for row in rows.rows]
        source = SourceRows(
            table, after, rows.version, removal_grace, sent_rows
        )
        if not self._leadership.leading():
            self._member.broadcast_rows_in_region(source)
        elif sent_rows:
            self._leader.broadcast_rows(source)

    def hears_leader(self) -> bool:
        """Whether this instance leads, or has an update of the leader."""
        return self._leadership.leading() or self._member.hears_leader()

    async def run(self) -> None:
        """Follows or leads until cancelled."""
        # Instances that start at the same time do not all become candidates.
        await asyncio.sleep(random.random() * _MAX_START_DELAY_S)
        while True:
            wait_s = REPORT_INTERVAL_S
            try:
                if self._leadership.leading():
                    await self._leader.lead()
                else:
                    wait_s = await self._member.follow()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                _log.warning(
                    'store not reached, asking the seeds for the leader',
                    reason=str(error),
                )
                await self._member.find_leader_by_seeds()
            await self._member.wait(wait_s)

    async def leave(self, until_s: float) -> None:
        """Starts to drain this instance, and hands its role over if it leads.

        Nobody else can lead while no instance reaches the store, so a leader
        goes on renewing leases then.

        Args:
            until_s: when the role is given up in any case.

        Raises:
            StoreUnavailableError, StoreOutcomeUnknownError: the resignation
                may not be stored; the next leader waits for the lease to
                expire.
        """
        self._draining = True
        self._member.draining = True
        self._leader.draining = True
        while self._leadership.leading() and elapsed_s() < until_s:
            if self._leadership.may_plan():
                await self._leader.try_to_hand_over()
            await asyncio.sleep(_LEAVE_RETRY_S)
        if self._leadership.leading():
            await self._leader.hand_over()

    async def handle_request(self, topic: str, body: bytes) -> bytes:
        """Returns the response to a request of another instance.

        The response to an unknown topic is empty.
        """
        if topic == REPORT_TOPIC:
            return self._leader.handle_report(body)
        if topic == PROMISE_TOPIC:
            return await self._electorate.handle_promise_request(body)
        if topic == VOTE_TOPIC:
            return self._electorate.handle_vote_request(body)
        if topic == ROWS_REQUEST_TOPIC:
            return self._leader.handle_rows_request(body)
        if topic == RECORD_COPY_TOPIC:
            return self._electorate.handle_copy_request(body)
        _log.warning('request of a peer has an unknown topic', topic=topic)
        return b''

    def handle_message(self, topic: str, body: bytes) -> None:
        """Handles a message of another instance that needs no response."""
        handler = {
            LEADER_UPDATE_TOPIC: self._member.handle_leader_update,
            RELAY_TOPIC: self._member.relay_leader_update,
            ROWS_TOPIC: self._member.handle_rows,
            UNCONFIRMED_GRANTS_TOPIC: self._leader.handle_unconfirmed_grants,
            NOMINATION_TOPIC: self._member.handle_nomination,
            LIMITS_TOPIC: self._limit_exchange.handle,
            LIMITS_RELAY_TOPIC: self._limit_exchange.handle_relay,
            COLD_TOPIC: self._cold_exchange.handle,
            COLD_RELAY_TOPIC: self._cold_exchange.handle_relay,
            LEAVING_TOPIC: self._leaving_exchange.handle,
            LEAVING_RELAY_TOPIC: self._leaving_exchange.handle_relay,
        }.get(topic)
        if handler is None:
            _log.warning('message of a peer has an unknown topic', topic=topic)
        else:
            handler(body)

    def _roster_entry(self) -> RosterEntry:
        """Returns this instance's entry for the roster."""
        host, port = self._settings.contact_address
        return RosterEntry(
            self._settings.instance,
            host,
            port,
            self._settings.place.data_centre,
            leaving=self._draining,
            capacity=self._settings.machine.capacity,
        )
