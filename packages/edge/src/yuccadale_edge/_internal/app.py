"""An instance: construction, listeners, background tasks and shutdown."""

import asyncio
import gc
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import AsyncExitStack, contextmanager
from functools import partial

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.evacuations import (
    EvacuatedDataCentre,
    no_evacuations,
)
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.cluster import Cluster
from yuccadale_edge._internal.membership.electorate import (
    Electorate,
    choose_electors,
)
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import (
    FORWARD_TOPIC,
    PeerLinks,
    PeerServer,
    peer_listener,
)
from yuccadale_edge._internal.membership.messages import LeaderInfo
from yuccadale_edge._internal.membership.source_reader import (
    SourceReader,
    StoreContact,
)
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.observability.knowledge import (
    KnowledgeReporter,
)
from yuccadale_edge._internal.observability.loop_lag import (
    sleep_and_observe_lag,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.call_runner import ServerCalls
from yuccadale_edge._internal.routing.attempts import (
    ATTEMPT_TOPIC,
    Attempts,
)
from yuccadale_edge._internal.routing.codec import RequestCodec
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.forwarding import Forwarder
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.routing.retry_budget import RetryBudget
from yuccadale_edge._internal.routing.stop_guard import StopGuard
from yuccadale_edge._internal.store import (
    Store,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from yuccadale_edge._internal.supervision import supervise
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SOURCE_TABLES,
    DecodeConfiguration,
    DecodeServer,
    SystemView,
)
from yuccadale_edge._internal.transport.client_pool import Address, ClientPool
from yuccadale_edge._internal.transport.held_bytes import BodyShare, HeldBytes
from yuccadale_edge._internal.transport.listening import listen_when_free
from yuccadale_edge._internal.transport.parse_scheduler import ParseScheduler
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    ListenerState,
    Reply,
    ServerConnection,
    ServerLimits,
)
from yuccadale_edge._internal.transport.sockets import is_readable

_log = structlog.get_logger()

_HOUSEKEEPING_S = 0.2
_RELOAD_ROUNDS = 10
# The load balancer removes an instance after two failed readiness checks, one
# per second; until then the instance accepts new connections.
_LOAD_BALANCER_GRACE_S = 2.5
# Part of the grace period that is reserved for closing. The last answers are
# written at its begin; connections are aborted when half of it is over.
_SHUTDOWN_MARGIN_S = 0.4
_DRAIN_POLL_S = 0.02
# Polls at the end in which requests that were cancelled then are answered. They
# are counted, since a process without processor time is late by any clock.
_LAST_ANSWERS_POLLS = 5
# Longest wait until connections that the kernel has opened are accepted.
_BACKLOG_S = 0.3
# Share of the process's memory for the large requests of callers, and as much
# for those that other instances forward.
_BODIES_SHARE = 0.2
# Share for requests for readiness and metrics.
_STATUS_SHARE = 0.02
# Share for open connections of callers besides their requests, and the memory
# of one of them with what it has read, but not parsed.
_CONNECTIONS_SHARE = 0.1
_CONNECTION_BYTES = 20_000
# Shares of the descriptors for open connections of callers, for those of
# readiness and metrics, and for connections that the kernel has accepted. The
# rest is for servers, peers and the store.
_CALLERS_SHARE = 0.5
_BACKLOG_SHARE = 0.125
_STATUS_CONNECTIONS_SHARE = 0.0625
_BYTES_PER_MB = 1_000_000
# Share of the process's memory for all bytes that are held for others. Joining
# an answer, or passing it to another instance, copies it for a moment.
_HELD_SHARE = 0.4
_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404
_BACKLOG = 1024
# Net allocations that start a garbage collection. Objects that survive start-up
# are frozen, since they never become garbage.
_GC_THRESHOLD = 5000


class Adapter:
    """What the platform supplies besides the settings."""

    def __init__(
        self,
        *,
        store: Callable[[ClientPool], Store],
        calls: Callable[[ClientPool], ServerCalls],
        codec: RequestCodec,
        decode_configuration: DecodeConfiguration,
        decode_server: DecodeServer,
        evacuated_data_centre: EvacuatedDataCentre = no_evacuations,
        readiness_path: str,
        metrics_path: str,
    ) -> None:
        self.store = store
        self.calls = calls
        self.codec = codec
        self.decode_configuration = decode_configuration
        self.decode_server = decode_server
        self.evacuated_data_centre = evacuated_data_centre
        self.readiness_path = readiness_path
        self.metrics_path = metrics_path


class Instance:
    """A running instance."""

    def __init__(
        self,
        settings: Settings,
        adapter: Adapter,
        read_settings: Callable[[], Settings],
    ) -> None:
        self._settings = settings
        self._read_settings = read_settings
        self._adapter = adapter
        self._metrics = Metrics()
        memory_bytes = settings.machine.memory_mb * _BYTES_PER_MB
        loop = asyncio.get_running_loop()
        self._held = HeldBytes(memory_bytes * _HELD_SHARE)
        self._parse_scheduler = ParseScheduler()
        self._pool = ClientPool(loop, self._held, self._parse_scheduler)
        self._links = PeerLinks(self._held, self._metrics)
        self._system_view = SystemView(
            adapter.decode_configuration,
            adapter.decode_server,
            settings.bounds.max_source_age_s,
            adapter.evacuated_data_centre,
        )
        self._retry_budget_by_service: dict[str, RetryBudget] = {}
        forwarder = Forwarder(
            self._system_view,
            self._links,
            self._metrics,
            settings.place,
            settings.instance,
            self._hears_leader,
        )
        self._attempts = Attempts(
            self._system_view,
            self._links,
            self._metrics,
            settings.instance,
            self._retry_budget,
        )
        self._dispatcher = Dispatcher(
            self._system_view,
            self._pool,
            adapter.codec,
            self._metrics,
            settings.place,
            forwarder,
            self._attempts,
        )
        store = adapter.store(self._pool)
        contact = StoreContact()
        me = LeaderInfo(
            0, settings.instance, *settings.contact_address, time.time_ns()
        )
        broadcaster = Broadcaster(settings, self._system_view, self._links)
        electorate = Electorate(
            self._links,
            settings.contact_address,
            settings.instance,
            self._store_answers,
            self._known_epoch,
            self._metrics,
            settings.place.distance,
        )
        self._leadership = Leadership(
            store,
            me,
            contact,
            electorate,
            lambda: choose_electors(broadcaster.peers()),
        )
        self._cluster = Cluster(
            settings,
            self._system_view,
            self._leadership,
            electorate,
            contact,
            self._links,
            broadcaster,
            self._dispatcher,
            adapter.calls(self._pool),
            self._metrics,
        )
        self._stop_guard = StopGuard(elapsed_s)
        self._router = RequestRouter(
            self._system_view,
            self._dispatcher,
            forwarder,
            adapter.codec,
            self._metrics,
            settings.place,
            self._attempts,
            self._cluster.record_key_work,
            self._stop_guard,
        )
        self._readers = [
            SourceReader(
                table,
                store,
                self._system_view,
                contact,
                self._metrics,
                self._cluster.read_wait_s,
                self._cluster.publish_rows,
            )
            for table in SOURCE_TABLES
        ]
        self._limits = ServerLimits()
        descriptors = settings.machine.descriptors
        self._callers = ListenerState(
            self._router.handle,
            self._limits,
            memory_bytes * _BODIES_SHARE,
            self._held,
            max_connections=min(
                descriptors * _CALLERS_SHARE,
                memory_bytes * _CONNECTIONS_SHARE / _CONNECTION_BYTES,
            ),
            scheduler=self._parse_scheduler,
        )
        self._status = ListenerState(
            self._answer_status_request,
            self._limits,
            memory_bytes * _STATUS_SHARE,
            self._held,
            max_connections=descriptors * _STATUS_CONNECTIONS_SHARE,
            keeps_bodies=False,
            scheduler=self._parse_scheduler,
        )
        self._forwarded = BodyShare(memory_bytes * _BODIES_SHARE, self._held)
        self._peers = PeerServer(
            self._answer_peer,
            self._cluster.handle_message,
            self._metrics,
            self._forwarded,
            self._held,
        )
        self._stopping = asyncio.Event()
        self._listening = False

    def stop(self) -> None:
        """Starts the shutdown."""
        self._stopping.set()

    def reload(self) -> None:
        """Applies changed settings; ignores them if they are invalid."""
        try:
            settings = self._read_settings()
        except (OSError, ValueError) as error:
            _log.error('settings not reloaded', reason=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._system_view.max_source_age_s = settings.bounds.max_source_age_s
        self._cluster.reconfigure(settings)
        for budget in self._retry_budget_by_service.values():
            budget.reconfigure(settings.bounds)
        _log.info('settings reloaded', settings=_loggable(settings))

    async def run(self) -> None:
        """Serves until ``stop``, then shuts down within the grace period."""
        async with AsyncExitStack() as stack:
            stack.enter_context(self._status_listeners())
            callers = await self._unless_stopped(self._listen_for_all(stack))
            if callers is None:
                _log.info('stopped before all addresses were free')
                return
            stack.callback(self._links.close)
            tasks = [
                ('membership', self._cluster.run),
                ('missing rows', self._cluster.fetch_rows),
                ('limits of servers', self._cluster.exchange_limits),
                ('cold servers', self._cluster.exchange_cold),
                ('servers that leave', self._cluster.exchange_leaving),
                ('housekeeping', self._housekeeping),
                *((f'reader of {one.table}', one.run) for one in self._readers),
            ]
            for name, run in tasks:
                task = asyncio.create_task(supervise(name, run, self._metrics))
                stack.callback(task.cancel)
            gc.collect()
            gc.freeze()
            gc.set_threshold(_GC_THRESHOLD)
            _log.info('started', settings=_loggable(self._settings))
            await self._stopping.wait()
            await self._drain(callers)
        _log.info('stopped')

    async def _listen_for_all(self, stack: AsyncExitStack) -> asyncio.Server:
        """Listens for peers and callers; returns the listener of callers."""
        await stack.enter_async_context(
            peer_listener(self._settings.peer_address, self._peers)
        )
        callers = await self._listen(
            self._settings.caller_address, self._callers, _BACKLOG_SHARE
        )
        stack.callback(self._callers.abort)
        stack.callback(callers.close)
        self._listening = True
        return callers

    async def _unless_stopped(
        self, starting: Coroutine[None, None, asyncio.Server]
    ) -> asyncio.Server | None:
        """Returns the result of a step of the start; None after ``stop``."""
        start = asyncio.create_task(starting)
        stop = asyncio.create_task(self._stopping.wait())
        try:
            await asyncio.wait(
                (start, stop), return_when=asyncio.FIRST_COMPLETED
            )
            return start.result() if start.done() else None
        finally:
            start.cancel()
            stop.cancel()

    async def _drain(self, callers: asyncio.Server) -> None:
        started_s = elapsed_s()
        end_s = started_s + self._settings.bounds.grace_s - _SHUTDOWN_MARGIN_S
        listen_until_s = min(started_s + _LOAD_BALANCER_GRACE_S, end_s)
        self._stop_guard.begin(end_s, listen_until_s)
        _log.info('stopping', connections=len(self._callers.connections.all))
        self._callers.closing = True
        leaving = asyncio.create_task(
            supervise('leaving', partial(self._leave, end_s), self._metrics)
        )
        await asyncio.sleep(max(0, listen_until_s - elapsed_s()))
        await self._accept_waiting(callers)
        callers.close()
        while elapsed_s() < end_s + _SHUTDOWN_MARGIN_S / 2:
            for connection in list(self._callers.connections.all):
                connection.close_when_idle()
            if (
                not self._callers.connections.all
                and not self._peers.active_requests
                and leaving.done()
            ):
                break
            await asyncio.sleep(_DRAIN_POLL_S)
        await self._write_last_answers()
        leaving.cancel()

    async def _write_last_answers(self) -> None:
        """Lets the event loop answer the requests that the end cancelled."""
        for _ in range(_LAST_ANSWERS_POLLS):
            if not any(one.busy for one in self._callers.connections.all):
                break
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _accept_waiting(self, listener: asyncio.Server) -> None:
        """Accepts what the kernel has connected: closing would reset it."""
        until_s = elapsed_s() + _BACKLOG_S
        while elapsed_s() < until_s and any(map(is_readable, listener.sockets)):
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _leave(self, end_s: float) -> None:
        try:
            await self._cluster.leave(end_s)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            _log.warning('could not resign', reason=str(error))

    def _ready(self) -> bool:
        return (
            self._accepts_callers()
            and self._system_view.is_loaded
            and self._system_view.is_confirmed(CONFIGURATION_TABLE)
        )

    def _accepts_callers(self) -> bool:
        return self._listening and not self._stopping.is_set()

    async def _housekeeping(self) -> None:
        rounds = 0
        knowledge = KnowledgeReporter(self._system_view, self._metrics)
        while True:
            rounds += 1
            knowledge.report()
            if rounds % _RELOAD_ROUNDS == 0:
                # The settings file may change without a signal.
                self.reload()
            self._pool.close_expired()
            self._report_listeners()
            self._metrics.gauge('held_forward_bytes', self._forwarded.size)
            self._metrics.gauge('held_bytes', self._held.size)
            self._metrics.gauge(
                'unsent_peer_bytes',
                self._links.unsent_bytes() + self._peers.unsent_bytes(),
            )
            self._metrics.gauge('given_up_bodies', self._held.given_up)
            self._metrics.gauge(
                'deferred_parsing', self._parse_scheduler.deferrals
            )
            self._dispatcher.maintain_queues()
            servers = self._system_view.servers
            if servers.remove_after_grace() | servers.accept_held():
                self._system_view.wake()
            configuration = self._system_view.configuration
            if configuration is not None:
                limits = configuration.limits
                self._limits.header_bytes = limits.header_bytes
                self._limits.body_bytes = limits.body_bytes
                self._limits.header_timeout_s = limits.header_timeout_s
                self._limits.idle_timeout_s = limits.idle_timeout_s
            instances = max(1, len(self._system_view.instance_by_name))
            for budget in self._retry_budget_by_service.values():
                budget.instances = instances
            await sleep_and_observe_lag(_HOUSEKEEPING_S, self._metrics)

    def _report_listeners(self) -> None:
        """Sets the gauges of the connections and requests of clients."""
        for listener, state in (
            ('callers', self._callers),
            ('status', self._status),
        ):
            requests = state.requests
            value_by_name = {
                'held_body_bytes': requests.size,
                'refused_bodies': requests.refused,
                'given_up_requests': requests.given_up,
                'slow_bodies': state.slow_bodies,
                'client_connections': len(state.connections.all),
                'closed_connections': state.connections.closed,
            }
            for name, value in value_by_name.items():
                self._metrics.gauge(name, value, listener=listener)

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._settings.bounds, elapsed_s)
            budget.instances = max(1, len(self._system_view.instance_by_name))
            self._retry_budget_by_service[service] = budget
        return budget

    def _answer_peer(
        self, topic: str, body: bytes, due_s: float
    ) -> Awaitable[bytes]:
        if topic == FORWARD_TOPIC:
            return self._router.handle_forwarded(body, due_s)
        if topic == ATTEMPT_TOPIC:
            return self._allow_attempt(body)
        return self._cluster.handle_request(topic, body)

    async def _allow_attempt(self, body: bytes) -> bytes:
        return self._attempts.handle(body)

    async def _store_answers(self) -> bool:
        return await self._leadership.store_answers()

    def _hears_leader(self) -> bool:
        return self._cluster.hears_leader()

    def _known_epoch(self) -> int:
        return self._leadership.epoch

    async def _answer_status_request(self, message: CallerMessage) -> Reply:
        path = message.target.decode('latin-1')
        if path == self._adapter.readiness_path:
            return Reply(_OK if self._ready() else _UNAVAILABLE)
        if path == self._adapter.metrics_path:
            return Reply(
                _OK,
                [(b'content-type', b'text/plain; version=0.0.4')],
                self._metrics.text().encode(),
            )
        return Reply(_NOT_FOUND)

    @contextmanager
    def _status_listeners(self) -> Iterator[None]:
        """Answers for readiness and metrics while the block runs.

        The instance serves also while their addresses are in use.
        """
        tasks = [
            asyncio.create_task(
                supervise(
                    'status listener',
                    partial(self._answer_status, address),
                    self._metrics,
                )
            )
            for address in (
                self._settings.readiness_address,
                self._settings.metrics_address,
            )
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            self._status.abort()

    async def _answer_status(self, address: Address) -> None:
        """Answers on one address until it is cancelled."""
        listener = await self._listen(
            address, self._status, _STATUS_CONNECTIONS_SHARE
        )
        try:
            await asyncio.Event().wait()
        finally:
            listener.close()

    async def _listen(
        self,
        address: Address,
        listener_state: ListenerState,
        backlog_share: float,
    ) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        descriptors = self._settings.machine.descriptors
        # All of them may be accepted before the first one is closed.
        backlog = min(_BACKLOG, int(descriptors * backlog_share))

        async def listen() -> asyncio.Server:
            return await loop.create_server(
                lambda: ServerConnection(loop, listener_state),
                *address,
                backlog=backlog,
                reuse_address=True,
            )

        return await listen_when_free(listen, address)


def _loggable(settings: Settings) -> dict[str, object]:
    return {
        'data_centre': settings.place.data_centre,
        'callers': settings.caller_address,
        'peers': settings.peer_address,
        'store': settings.store_address,
    }
