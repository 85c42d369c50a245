"""Simulated instances that send to a server with a limit, in virtual time.

Requests are routed, queued, paced and told of by the code of the product;
links, connections and the leader that sends the roster are simulated.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field, replace
from math import inf
from types import MappingProxyType
from typing import Any

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.cold_exchange import exchange_cold
from yuccadale_edge._internal.membership.leaving_exchange import (
    exchange_leaving,
)
from yuccadale_edge._internal.membership.limit_exchange import exchange_limits
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import (
    COLD_RELAY_TOPIC,
    COLD_TOPIC,
    LEAVING_RELAY_TOPIC,
    LEAVING_TOPIC,
    LIMITS_RELAY_TOPIC,
    LIMITS_TOPIC,
)
from yuccadale_edge._internal.model import (
    Bounds,
    Configuration,
    Place,
    Server,
    ServerState,
    Settings,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.attempts import Attempts
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.forwarding import (
    Forwarder,
    decode_request,
    encode_message,
)
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.routing.requests import (
    Result,
    RoutedRequest,
    Served,
)
from yuccadale_edge._internal.routing.retry_budget import RetryBudget
from yuccadale_edge._internal.routing.stop_guard import StopGuard
from yuccadale_edge._internal.system_view import Instance, SystemView
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    AnswerLostError,
    AnswerMatcher,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import Address
from yuccadale_platform._internal.requests import PlatformCodec

from tests.builders.limit_record import LimitRecord

REGION_BY_DATA_CENTRE = MappingProxyType(
    {'a': 'north', 'b': 'north', 'c': 'south'}
)
SERVICE = 'ledger'
# The users allow 3 s until a limit has to be kept.
SETTLING_S = 1.5
TARGET_S = 0.3
DEADLINE_S = 1.5
_LINK_DELAYS_S = (0.001, 0.004, 0.03)
_LOST_NOTICES = 0.2
_LATE_NOTICE_S = 1.5
# As in production: the time until the leader removes a lost instance.
_REMOVAL_S = 1.5
_LEADER_TIMEOUT_S = 1.0
_MAINTENANCE_S = 0.2
_SLOTS = 4
_REFUSED = 503
_MISDIRECTED = 421
_PAUSES_S = (0.1, 0.5, 2.0, 5.0)
_LIMITS_PER_S = (0, 2, 6.5, 17.5, 40)


@dataclass
class LimitedServer:
    """A server that names a limit in its answers.

    Attributes:
        limit_text: what it names, None for nothing.
        leaving: whether its answers say that it leaves.
        pause_s: the pause that it asks for while it refuses all requests.
        lost_keys: whether it refuses all requests since it owns no keys.
        cold_until_s: until when it is cold.
        entry: what its last heartbeat has stored.
        health_s: when health requests arrived.
        record: limits and arrivals.
    """

    server: Server
    limit_text: str | None = None
    leaving: bool = False
    pause_s: float | None = None
    lost_keys: bool = False
    service_s: float = 0.05
    cold_until_s: float = 0
    entry: Server | None = None
    health_s: list[float] = field(default_factory=list)
    record: LimitRecord = field(default_factory=lambda: LimitRecord(SETTLING_S))

    def name_limit(self, per_s: float) -> None:
        """Names a limit from now on; ``inf`` ends it."""
        self.limit_text = None if per_s == inf else str(per_s)
        self.record.named.append((elapsed_s(), per_s))

    def write_entry(self) -> None:
        """Stores what the other processes learn of it."""
        left_s = max(0, self.cold_until_s - elapsed_s())
        self.entry = replace(self.server, slow_start_s=left_s)

    def answer_health(self) -> Answer:
        """Says for how long it is cold."""
        self.health_s.append(elapsed_s())
        left_ms = max(0, self.cold_until_s - elapsed_s()) * 1000
        return Answer(200, [(b'x-warmup-ms', b'%d' % left_ms)])

    async def answer(self, request_id: bytes) -> Answer:
        """Runs a request."""
        self.record.arrivals_s.append(elapsed_s())
        if self.pause_s is not None:
            return Answer(
                _REFUSED,
                [
                    (b'x-attempt-id', request_id),
                    (b'x-not-executed', b'1'),
                    (b'retry-after', str(self.pause_s).encode()),
                ],
            )
        if self.lost_keys:
            return Answer(_MISDIRECTED, self._headers(request_id))
        await asyncio.sleep(self.service_s)
        return Answer(200, self._headers(request_id))

    def _headers(self, request_id: bytes) -> list[tuple[bytes, bytes]]:
        headers = [(b'x-attempt-id', request_id)]
        if self.limit_text is not None:
            headers.append((b'server-limit', self.limit_text.encode()))
        if self.leaving:
            headers.append((b'server-leaving', b'1'))
        return headers


@dataclass
class SendRecord:
    """The requests of one instance to the incarnations of the server.

    Attributes:
        sent: incarnation and time of each request.
        leaving_s_by_incarnation: when an answer that the instance received or
            passed on first said that the server leaves.
        pauses: incarnation, begin and end of each pause it was asked for.
    """

    sent: list[tuple[int, float]] = field(default_factory=list)
    leaving_s_by_incarnation: dict[int, float] = field(default_factory=dict)
    pauses: list[tuple[int, float, float]] = field(default_factory=list)

    def record(self, incarnation: int) -> None:
        """Records a request that is sent now."""
        self.sent.append((incarnation, elapsed_s()))

    def note_leaving(self, incarnation: int) -> None:
        """Records an answer that says that the server leaves."""
        self.leaving_s_by_incarnation.setdefault(incarnation, elapsed_s())

    def note_pause(self, incarnation: int, for_s: float) -> None:
        """Records a refusal that asks for a pause."""
        now_s = elapsed_s()
        self.pauses.append((incarnation, now_s, now_s + for_s))

    def excess_in_pauses(self, crossing_s: float, allowed: int) -> list[str]:
        """Returns the pauses with too many requests.

        Args:
            crossing_s: requests before may have been on their way.
            allowed: requests after that.
        """
        counts = [
            sum(
                sent_to == incarnation and begin_s + crossing_s < at_s < end_s
                for sent_to, at_s in self.sent
            )
            for incarnation, begin_s, end_s in self.pauses
        ]
        return [f'{count} in a pause' for count in counts if count > allowed]

    def late(self, allowed_s: float) -> list[str]:
        """Returns the requests that were sent too long after that answer."""
        leaving_s = self.leaving_s_by_incarnation
        return [
            f'sent {at_s - leaving_s[incarnation]:.2f} s after the answer'
            for incarnation, at_s in self.sent
            if at_s - leaving_s.get(incarnation, inf) > allowed_s
        ]


class SimulatedConnection:
    """A connection of one instance to the server, for one request.

    Attributes:
        number: see ``ClientConnection``.
        answers: how many were read.
    """

    number = 0
    answers = 1

    def __init__(self, node: 'SimulatedInstance') -> None:
        self._node = node
        self._server = node.world.server

    def close(self) -> None:
        """Closes nothing: no bytes are kept here."""

    def note_failure(self, request_id: str) -> None:
        """Notes nothing: no other request is sent here."""

    def prove_deliveries(self) -> None:
        """Proves nothing: no call is sent here."""

    async def exchange(
        self,
        request: bytes,
        matches: AnswerMatcher,
        _unacknowledged_s: float,
        *,
        head_only: bool = False,
        body: bytes = b'',
    ) -> Answer:
        """Sends a request; fails if the server has started again meanwhile."""
        assert not head_only
        assert not body
        expected = f'x-expect-instance: {self._server.server.server_id}\r\n'
        assert expected.encode() in request
        if request.startswith(b'GET /health '):
            return self._server.answer_health()
        before = self._server.server.incarnation
        self._node.sends.record(before)
        request_id = request.split(b'X-Attempt-Id: ')[1].split(b'\r\n')[0]
        answer = await self._server.answer(request_id)
        if self._server.server.incarnation != before:
            raise AnswerLostError('closed')
        assert matches(answer)
        if any(name == b'server-leaving' for name, _ in answer.headers):
            self._node.sends.note_leaving(before)
        known = self._node.view.servers.server_by_id[
            self._server.server.server_id
        ]
        paused = self._server.pause_s is not None
        # An answer of a process that is not known yet counts for the former.
        if answer.status == _REFUSED and paused and known.incarnation == before:
            self._node.sends.note_pause(before, self._server.pause_s)
        return answer


class SimulatedPool:
    """The connections of one instance."""

    def __init__(self, node: 'SimulatedInstance') -> None:
        self._node = node

    @asynccontextmanager
    async def acquire(
        self,
        _address: Address,
        _timeout_s: float,
        *,
        force_new: bool = False,
        request_id: str = '',
    ) -> AsyncIterator[SimulatedConnection]:
        """Provides a connection, new or not."""
        assert force_new or request_id
        if not self._node.running and force_new is False:
            raise NotSentError('the instance has ended')
        yield SimulatedConnection(self._node)

    def close_idle(self, address: Address) -> None:
        """Closes nothing: connections hold no state here."""


class SimulatedLinks:
    """The links of one instance to the others."""

    def __init__(self, node: 'SimulatedInstance') -> None:
        self._node = node
        self._late: set[asyncio.Task[None]] = set()

    async def connect(self, _address: Address) -> None:
        """Does nothing: links are opened by the first request."""

    async def request(
        self,
        address: Address,
        topic: str,
        body: bytes,
        timeout_s: float,
        decode: Callable[[bytes], Any],
    ) -> Any:
        """Forwards a request."""
        assert topic
        world = self._node.world
        await asyncio.sleep(world.random.choice(_LINK_DELAYS_S))
        peer = world.node_by_address[address]
        if not world.connected(self._node, peer):
            raise PeerUnreachableError('refused')
        serving = asyncio.create_task(peer.serve_forwarded(body))
        try:
            async with asyncio.timeout(timeout_s):
                response = await serving
        except TimeoutError as error:
            raise LinkLostError('no response') from error
        if not world.connected(self._node, peer):
            raise LinkLostError('the link was lost')
        return decode(response)

    async def notify(self, address: Address, topic: str, body: bytes) -> bool:
        """Sends a message that may be lost or late while there are faults."""
        world = self._node.world
        peer = world.node_by_address[address]
        if not world.connected(self._node, peer):
            return False
        world.notices += 1
        delay_s = world.random.choice(_LINK_DELAYS_S)
        if world.loses_messages:
            if world.random.random() < _LOST_NOTICES:
                return True
            delay_s += world.random.random() * _LATE_NOTICE_S
        task = asyncio.create_task(_deliver_later(peer, topic, body, delay_s))
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        return True


async def _deliver_later(
    peer: 'SimulatedInstance', topic: str, body: bytes, delay_s: float
) -> None:
    await asyncio.sleep(delay_s)
    if peer.running:
        handle = {
            LIMITS_TOPIC: peer.exchange.handle,
            LIMITS_RELAY_TOPIC: peer.exchange.handle_relay,
            COLD_TOPIC: peer.cold_exchange.handle,
            COLD_RELAY_TOPIC: peer.cold_exchange.handle_relay,
            LEAVING_TOPIC: peer.leaving_exchange.handle,
            LEAVING_RELAY_TOPIC: peer.leaving_exchange.handle_relay,
        }[topic]
        handle(body)


class SimulatedInstance:
    """One instance: its view and the parts that send requests.

    Attributes:
        running: whether the process lives.
        cut: other instances that it cannot reach.
        heard_s: when it last heard the leader.
        sends: its requests to the server.
    """

    def __init__(self, world: 'LimitWorld', entry: Instance) -> None:
        self.world = world
        self.entry = entry
        self.running = True
        self.cut: set[str] = set()
        self.heard_s = elapsed_s()
        self.sends = SendRecord()
        self._entry: Server | None = None
        place = Place(
            entry.data_centre,
            REGION_BY_DATA_CENTRE[entry.data_centre],
            REGION_BY_DATA_CENTRE,
        )
        self.view = SystemView(_decodes_nothing, _decodes_nothing, 2.0)
        self.view.configuration = world.configuration
        self.metrics = Metrics()
        links: Any = SimulatedLinks(self)
        pool: Any = SimulatedPool(self)
        settings = Settings(
            entry.name,
            place,
            entry.address,
            entry.address,
            entry.address,
            entry.address,
            (),
            entry.address,
        )
        forwarder = Forwarder(
            self.view,
            links,
            self.metrics,
            place,
            entry.name,
            self._hears_leader,
        )
        self._forwarder = forwarder
        budget = RetryBudget(Bounds(), elapsed_s)
        attempts = Attempts(
            self.view,
            links,
            self.metrics,
            entry.name,
            lambda _service: budget,
        )
        self.dispatcher = Dispatcher(
            self.view,
            pool,
            PlatformCodec(),
            self.metrics,
            place,
            forwarder,
            attempts,
        )
        self.router = RequestRouter(
            self.view,
            self.dispatcher,
            forwarder,
            PlatformCodec(),
            self.metrics,
            place,
            attempts,
            _record_nothing,
            StopGuard(elapsed_s),
        )
        broadcaster = Broadcaster(settings, self.view, links)
        self.exchange = exchange_limits(
            self.dispatcher.rate_limits, self.view, broadcaster
        )
        self.cold_exchange = exchange_cold(self.view, broadcaster)
        self.leaving_exchange = exchange_leaving(self.view, broadcaster, bool)
        self._tasks = [
            asyncio.create_task(self.exchange.run()),
            asyncio.create_task(self.leaving_exchange.run()),
            asyncio.create_task(self.cold_exchange.run()),
            asyncio.create_task(self._maintain()),
        ]

    def learn_server(self) -> None:
        """Applies the present entry of the server."""
        server = self.world.server.server
        self.view.servers.server_by_id[server.server_id] = server
        entry = self.world.server.entry
        if entry is not None and entry is not self._entry:
            self._entry = entry
            self.view.cold_servers.observe_entry(entry)

    def learn_roster(self, entries: list[Instance], version: int) -> None:
        """Applies an update of the leader."""
        self.heard_s = elapsed_s()
        if version > self.view.membership_version[1]:
            self.view.membership_version = (1, version)
            self.view.instance_by_name = {one.name: one for one in entries}

    def limit_share(self) -> float:
        """Returns the part of the server's limit that it may use."""
        return self._forwarder.limit_share(self.world.server.server)

    def stop(self) -> None:
        """Ends the process."""
        self.running = False
        for task in self._tasks:
            task.cancel()

    async def send(self, request_id: str, *, keyed: bool, priority: int) -> Any:
        """Sends a caller's request; returns its result."""
        server = self.world.server.server
        routed = RoutedRequest(
            request_id=request_id,
            route='keyed' if keyed else 'open',
            service=SERVICE,
            method=b'POST',
            target=b'/x',
            headers=[(b'X-Attempt-Id', request_id.encode())],
            body=b'',
            priority=priority,
            repeatable=False,
            remaining_ms=DEADLINE_S * 1000,
            until_target_ms=TARGET_S * 1000,
            allowed_attempts=2,
            key=7 if keyed else None,
            server_id=server.server_id if keyed else None,
            incarnation=server.incarnation if keyed else 0,
        )
        return await self.router._send(routed)

    async def serve_forwarded(self, body: bytes) -> bytes:
        """Serves a request that another instance forwarded."""
        return encode_message(await self.dispatcher.serve(decode_request(body)))

    def _hears_leader(self) -> bool:
        return elapsed_s() - self.heard_s < _LEADER_TIMEOUT_S

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_S)
            self.dispatcher.maintain_queues()


@dataclass
class Outcomes:
    """What became of the callers' requests, with the times of the ends."""

    served_s: list[float] = field(default_factory=list)
    refused: list[tuple[float, Any]] = field(default_factory=list)


class LimitWorld:
    """Instances, one server, and a leader that tells the roster."""

    def __init__(
        self,
        seed: int,
        instances: int = 6,
        configuration: Configuration | None = None,
    ) -> None:
        self.configuration = configuration
        self.random = random.Random(seed)
        self.loses_messages = False
        self.notices = 0
        self.outcomes = Outcomes()
        self.ended_nodes: list[SimulatedInstance] = []
        self.server = LimitedServer(
            Server(
                's',
                SERVICE,
                ('server', 1),
                'a',
                _SLOTS,
                ServerState.ready,
                1,
                0,
            )
        )
        self.lost_s_by_name: dict[str, float] = {}
        self._roster_version = 0
        self._roster: list[Instance] = []
        self._requests = 0
        self._tasks: set[asyncio.Task[None]] = set()
        entries = [
            Instance(f'i{number}', ('i', number), 'abc'[number % 3])
            for number in range(instances)
        ]
        self.nodes = [SimulatedInstance(self, entry) for entry in entries]
        self._start(self._lead())

    @property
    def node_by_address(self) -> dict[Address, SimulatedInstance]:
        """The instances, also those that ended."""
        return {node.entry.address: node for node in self.nodes}

    def connected(
        self, sender: SimulatedInstance, peer: SimulatedInstance
    ) -> bool:
        """Whether messages pass between two instances."""
        names = {sender.entry.name, peer.entry.name}
        return (
            sender.running
            and peer.running
            and not names & sender.cut
            and not names & peer.cut
        )

    def sender(self) -> SimulatedInstance:
        """Returns the instance through which the server is reached."""
        return max(self.nodes, key=SimulatedInstance.limit_share)

    def say_it_leaves(self) -> None:
        """Lets all answers of the server say that it leaves."""
        self.server.leaving = True

    async def load(
        self, per_s: float, for_s: float, *, keyed: bool | None = None
    ) -> None:
        """Sends requests at random times through random instances.

        Args:
            per_s: requests a second.
            for_s: how long.
            keyed: whether they are for keys of the server; by chance if None.
        """
        end_s = elapsed_s() + for_s
        while elapsed_s() < end_s:
            await asyncio.sleep(self.random.expovariate(per_s))
            running = [node for node in self.nodes if node.running]
            self._start(self._request(self.random.choice(running), keyed))

    async def faults(self, for_s: float, *, of_server: bool = True) -> None:
        """Injects random changes and faults, which overlap.

        Args:
            for_s: how long.
            of_server: whether the server starts again and changes its limit.
        """
        end_s = elapsed_s() + for_s
        of_servers = (self._change_limit, self._restart_server)
        actions = (
            *(of_servers if of_server else ()),
            self._restart_instance,
            self._isolate_instance,
            self._cut_from_leader,
            self._lose_messages,
        )
        while elapsed_s() < end_s:
            await asyncio.sleep(self.random.choice(_PAUSES_S))
            self._start(self.random.choice(actions)())

    def close(self) -> None:
        """Ends all tasks."""
        for node in self.nodes:
            node.stop()
        for task in self._tasks:
            task.cancel()

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(
        self, node: SimulatedInstance, keyed: bool | None
    ) -> None:
        self._requests += 1
        if keyed is None:
            keyed = self.random.choice((False, True))
        result: Result = await node.send(
            f'r{self._requests}',
            keyed=keyed,
            priority=self.random.randrange(3),
        )
        if isinstance(result, Served):
            self.outcomes.served_s.append(elapsed_s())
            if (b'server-leaving', b'1') in result.headers:
                node.sends.note_leaving(result.incarnation)
        else:
            self.outcomes.refused.append((elapsed_s(), result))

    async def _lead(self) -> None:
        """Tells the instances the roster; removes those it does not hear."""
        while True:
            heard = [node for node in self.nodes if self._heard(node)]
            self._note_lost(heard)
            entries = self._entries()
            if entries != self._roster:
                self._roster = entries
                self._roster_version += 1
            for member in heard:
                member.learn_roster(entries, self._roster_version)
                member.learn_server()
            await asyncio.sleep(0.25)

    def _note_lost(self, heard: list[SimulatedInstance]) -> None:
        now_s = elapsed_s()
        for node in self.nodes:
            if node in heard:
                self.lost_s_by_name.pop(node.entry.name, None)
            else:
                self.lost_s_by_name.setdefault(node.entry.name, now_s)

    def _entries(self) -> list[Instance]:
        now_s = elapsed_s()
        return [
            node.entry
            for node in self.nodes
            if now_s - self.lost_s_by_name.get(node.entry.name, now_s)
            < _REMOVAL_S
        ]

    def _heard(self, node: SimulatedInstance) -> bool:
        return node.running and 'leader' not in node.cut

    async def _change_limit(self) -> None:
        self.server.name_limit(self.random.choice((*_LIMITS_PER_S, inf)))

    async def _restart_server(self) -> None:
        known = self.server.server
        self.server.leaving = False
        self.server.server = replace(known, incarnation=known.incarnation + 1)
        # The new process names no limit until it is in need again.
        self.server.name_limit(inf)

    async def _restart_instance(self) -> None:
        node = self.random.choice(self.nodes)
        if not node.running:
            return
        node.stop()
        await asyncio.sleep(self.random.choice(_PAUSES_S))
        index = self.nodes.index(node)
        self.nodes[index] = SimulatedInstance(self, node.entry)
        self.ended_nodes.append(node)
        self.nodes[index].learn_server()

    async def _isolate_instance(self) -> None:
        """Cuts an instance from the leader and from some or all others."""
        node = self.random.choice(self.nodes)
        names = [peer.entry.name for peer in self.nodes]
        count = self.random.randint(1, len(names))
        with _cut(node, {'leader', *self.random.sample(names, count)}):
            await asyncio.sleep(self.random.choice(_PAUSES_S))

    async def _cut_from_leader(self) -> None:
        with _cut(self.random.choice(self.nodes), {'leader'}):
            await asyncio.sleep(self.random.choice(_PAUSES_S))

    async def _lose_messages(self) -> None:
        self.loses_messages = True
        await asyncio.sleep(self.random.choice(_PAUSES_S))
        self.loses_messages = False


@contextmanager
def _cut(node: SimulatedInstance, names: set[str]) -> Iterator[None]:
    added = names - node.cut
    node.cut |= added
    try:
        yield
    finally:
        node.cut -= added


@asynccontextmanager
async def limit_world(
    seed: int,
    instances: int = 6,
    configuration: Configuration | None = None,
) -> AsyncIterator[LimitWorld]:
    """Runs a world; its tasks end with the block."""
    world = LimitWorld(seed, instances, configuration)
    # The first roster arrives.
    await asyncio.sleep(0.3)
    try:
        yield world
    finally:
        world.close()
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(0)


def _decodes_nothing(*_: Any) -> Any:
    raise NotImplementedError


def _record_nothing(*_: Any) -> None:
    """Accepts the work of a key."""
