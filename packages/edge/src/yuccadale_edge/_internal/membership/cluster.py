"""This instance among the others: it follows a leader or leads."""

import asyncio
import random

import structlog

from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.membership.electorate import Electorate
from yuccadale_edge._internal.membership.leader import Leader
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import PeerLinks
from yuccadale_edge._internal.membership.member import REPORT_S, Member
from yuccadale_edge._internal.membership.messages import (
    AGREE_TOPIC,
    UNCONFIRMED_GRANTS_TOPIC,
    NEWS_TOPIC,
    PROMISE_TOPIC,
    RELAY_TOPIC,
    REPORT_TOPIC,
    ROWS_TOPIC,
    RosterLine,
    SourceRows,
    source_row,
)
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import ServerCalls
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.store import (
    Rows,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

_log = structlog.get_logger()

_START_SPREAD_S = 0.2


class Cluster:
    """Hands the messages of other instances out, and runs the present part."""

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
        reporter = Reporter(self._line, system_view, dispatcher)
        self.record_key_work = reporter.record_key_work
        self._member = Member(
            settings, system_view, leadership, links, broadcaster, reporter
        )
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
        )
        self.should_read_sources = self._member.should_read_sources

    def reconfigure(self, settings: Settings) -> None:
        """Takes other settings; addresses stay those of the start."""
        self._settings = settings
        self._member.reconfigure(settings)
        self._leader.reconfigure(settings)

    def publish_rows(
        self, table: str, rows: Rows, after: int, removal_grace: bool
    ) -> None:
        """Passes rows that this instance read on to the others."""
        listed = [source_row(row) for row in rows.rows]
        source = SourceRows(table, after, rows.version, removal_grace, listed)
        if not self._leadership.leading():
            self._member.tell_region(source)
        elif listed:
            self._leader.tell_rows(source)

    async def run(self) -> None:
        """Takes part until cancelled."""
        # Instances that start together do not all find that nobody leads.
        await asyncio.sleep(random.random() * _START_SPREAD_S)
        while True:
            try:
                if self._leadership.leading():
                    await self._leader.lead()
                else:
                    await self._member.follow()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                _log.warning('no contact with the store', reason=str(error))
                await self._member.ask_seeds()
            await self._member.pause(REPORT_S)

    async def leave(self) -> None:
        """Ends this instance's part; another one leads after it.

        Raises:
            StoreUnavailableError, StoreOutcomeUnknownError: the next leader
                waits until the lease is over.
        """
        self._draining = True
        self._member.draining = True
        self._leader.draining = True
        if self._leadership.leading():
            await self._leader.resign()

    async def handle_request(self, topic: str, body: bytes) -> bytes:
        """Answers another instance; nothing to what is not known."""
        if topic == REPORT_TOPIC:
            return self._leader.answer_report(body)
        if topic == PROMISE_TOPIC:
            return await self._electorate.answer_promise(body)
        if topic == AGREE_TOPIC:
            return self._electorate.answer_agree(body)
        _log.warning('unknown question of a peer', topic=topic)
        return b''

    def handle_message(self, topic: str, body: bytes) -> None:
        """Takes what another instance tells."""
        handle_message = {
            NEWS_TOPIC: self._member.take_news,
            RELAY_TOPIC: self._member.relay_news,
            ROWS_TOPIC: self._member.take_rows,
            UNCONFIRMED_GRANTS_TOPIC: self._leader.handle_unconfirmed_grants,
        }.get(topic)
        if handle_message is None:
            _log.warning('unknown news of a peer', topic=topic)
        else:
            handle_message(body)

    def _line(self) -> RosterLine:
        """Returns this instance as others list it."""
        host, port = self._settings.contact_address
        return RosterLine(
            self._settings.instance,
            host,
            port,
            self._settings.place.data_centre,
            leaving=self._draining,
        )
