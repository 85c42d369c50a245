"""Entry instances, one group and its servers, connected in memory."""

import asyncio
import random
from collections import deque
from collections.abc import Sequence
from typing import Any, cast

from expression import Result

from tests.builders.fake_servers import FakeServer
from tests.builders.virtual_time import virtual_ms
from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.declaration import DataCentre, Declaration, Kind, Service
from yuccadale_core.instances import (
    GroupId,
    InstanceRef,
    Leadership,
    ServerRef,
)
from yuccadale_core.messages import PeerMessage, RecordChange
from yuccadale_core.refusals import Refusal
from yuccadale_core.targets import Target
from yuccadale_router._internal.contracts import (
    LeadershipTable,
    MessageHandler,
    SendPermit,
    ServerObservation,
    Tenure,
)
from yuccadale_router._internal.requests.answers import CallerAnswer
from yuccadale_router._internal.requests.delivery import DispatcherParts
from yuccadale_router._internal.requests.dispatchers import Dispatchers
from yuccadale_router._internal.requests.entry import RequestEntry
from yuccadale_router._internal.requests.parsing import CallerRequest

GROUP = GroupId('ledger', 'lodz-a', 0)
SLOT_COUNT = 8
LINK_MS = 1.0
_LinkQueue = deque[tuple[MessageHandler, InstanceRef, PeerMessage]]


def make_service(**changes: Any) -> Service:
    """Returns a service with one kind of each priority."""
    kinds = {
        'deposit': Kind('deposit', False, 1, 1, 2000),
        'calendar': Kind('calendar', True, 3, 1, 2000),
    }
    fields: dict[str, Any] = {
        'slot_count': SLOT_COUNT,
        'concurrency': 2,
        'connections': 20,
        'kind_by_name': kinds,
    }
    return Service('ledger', **{**fields, **changes})


def make_declaration(service: Service) -> Declaration:
    """Returns one service in one data centre, and a second region."""
    return Declaration(
        service_by_name={service.name: service},
        data_centre_by_name={
            'lodz-a': DataCentre(
                'lodz-a', 'pl-central', 'live', {service.name: 1}
            ),
            'krakow-a': DataCentre('krakow-a', 'pl-south'),
        },
    )


def make_instance(
    name: str, data_centre: str = 'lodz-a', incarnation: str = ''
) -> InstanceRef:
    """Returns a reference; its incarnation is derived from the name."""
    return InstanceRef(
        name, incarnation or f'{name}-1', data_centre, 'rack', 'peer'
    )


def deposit(
    request_id: str, key: str = 'stage-1', **changes: Any
) -> CallerRequest:
    """Returns a non-repeatable request."""
    return CallerRequest(
        'ledger', 'POST', '/deposit', key, request_id, 'deposit', **changes
    )


def calendar(key: str = 'stage-1', **changes: Any) -> CallerRequest:
    """Returns a repeatable request."""
    return CallerRequest('ledger', 'GET', '/calendar', key, **changes)


class FakePeers:
    """The links of one instance; messages arrive in order after a delay."""

    def __init__(self, world: 'World', me: InstanceRef) -> None:
        self.world = world
        self.me = me
        self.handler_by_type: dict[type, MessageHandler] = {}
        self.full = False

    def send(self, peer_name: str, message: PeerMessage) -> bool:
        if self.full or peer_name not in self.world.peers_by_name:
            return False
        self.world.transmit(self.me, peer_name, message)
        return True

    def handle(
        self, message_type: type[PeerMessage], handler: MessageHandler
    ) -> None:
        self.handler_by_type[message_type] = handler

    def silence_ms(self, peer_name: str) -> float:
        cut_ms = self.world.cut_ms_by_link.get((peer_name, self.me.name))
        return 0 if cut_ms is None else virtual_ms() - cut_ms

    def live_peers(self) -> Sequence[InstanceRef]:
        return [
            peers.me
            for peers in self.world.peers_by_name.values()
            if peers is not self and self.silence_ms(peers.me.name) < 600
        ]


class FakeOwnership:
    """A leader's ownership of the group; tests set its results."""

    def __init__(self, world: 'World', token: int) -> None:
        self.world = world
        self.token = token
        self.refusal: ResultCode | None = None
        self.tenure_value = Tenure(complete=True, age_ms=1e9)
        self.replicated: list[RecordChange] = []
        self.observations: list[ServerObservation] = []
        self.pinned: dict[str, int] = {}
        self.replicate_refusal: ResultCode | None = None

    def effective_slot(self, slot: int, key: str) -> int:
        return self.pinned.get(key, slot)

    def permit(self, slot: int) -> Result[SendPermit, Refusal]:
        if self.refusal is not None:
            return Result.Error(Refusal(self.refusal, 'ownership'))
        name = self.world.owner_by_slot[slot]
        return Result.Ok(SendPermit(ServerRef(name, name, 'rack'), self.token))

    def tenure(self, slot: int) -> Tenure:
        return self.tenure_value

    async def replicate(
        self, server_name: str, changes: list[RecordChange]
    ) -> Result[None, Refusal]:
        await asyncio.sleep(2 * LINK_MS / 1000)
        if self.replicate_refusal is not None:
            return Result.Error(Refusal(self.replicate_refusal, 'ownership'))
        self.replicated.extend(changes)
        return Result.Ok(None)

    def report_observation(
        self, server_name: str, observation: ServerObservation
    ) -> None:
        self.observations.append(observation)


class Node:
    """One entry instance with the real classes of the request path."""

    def __init__(self, world: 'World', me: InstanceRef) -> None:
        self.me = me
        self.peers = FakePeers(world, me)
        world.peers_by_name[me.name] = self.peers
        self.leaderships = LeadershipTable()
        self.counters = Counters()
        self.samples: list[object] = []
        self.dispatchers = Dispatchers(
            DispatcherParts(
                where=f'leader {me.name}',
                clock=virtual_ms,
                counters=self.counters,
                targets=world.target,
                random_unit=world.random.random,
            ),
            lambda _group: self,
        )
        self.entry = RequestEntry(
            me,
            self.leaderships,
            self.peers,
            self.counters,
            virtual_ms,
            dispatchers=self.dispatchers,
            random_unit=world.random.random,
        )
        self.entry.declaration_changed(world.declaration)

    def observe(self, sample: object) -> None:
        self.samples.append(sample)

    async def ask(self, request: CallerRequest) -> CallerAnswer:
        return await self.entry.handle(request)

    def lead(
        self, token: int, announce_to: 'Sequence[Node]' = ()
    ) -> FakeOwnership:
        ownership = FakeOwnership(self.peers.world, token)
        self.dispatchers(GROUP, ownership)
        for node in (self, *announce_to):
            node.leaderships.learn(Leadership(GROUP, token, self.me, None))
        return ownership


class World:
    """Nodes, links and servers."""

    def __init__(
        self, service: Service | None = None, servers: int = 2
    ) -> None:
        self.random = random.Random(1)
        self.declaration = make_declaration(service or make_service())
        self.peers_by_name: dict[str, FakePeers] = {}
        self.cut_ms_by_link: dict[tuple[str, str], float] = {}
        self._queue_by_link: dict[tuple[str, str], _LinkQueue] = {}
        self.server_by_name = {
            f's{number}': FakeServer(f's{number}') for number in range(servers)
        }
        names = list(self.server_by_name)
        self.owner_by_slot = {
            slot: names[slot % servers] for slot in range(2 * SLOT_COUNT)
        }

    def target(self, server: ServerRef) -> Target:
        return cast(Target, self.server_by_name[server.name])

    def node(self, name: str, data_centre: str = 'lodz-a') -> Node:
        return Node(self, make_instance(name, data_centre))

    def transmit(
        self, sender: InstanceRef, receiver: str, message: PeerMessage
    ) -> None:
        if (sender.name, receiver) in self.cut_ms_by_link:
            return
        self.deliver(sender, receiver, message, LINK_MS)

    def deliver(
        self,
        sender: InstanceRef,
        receiver: str,
        message: PeerMessage,
        delay_ms: float,
    ) -> None:
        link_queue = self._queue_by_link.setdefault(
            (sender.name, receiver), deque()
        )
        handlers = self.peers_by_name[receiver].handler_by_type
        link_queue.append((handlers[type(message)], sender, message))
        asyncio.get_running_loop().call_later(
            delay_ms / 1000, self._arrive, link_queue
        )

    def cut(self, first: str, second: str) -> None:
        for link in ((first, second), (second, first)):
            self.cut_ms_by_link[link] = virtual_ms()

    def restore_link(self, first: str, second: str) -> None:
        for link in ((first, second), (second, first)):
            self.cut_ms_by_link.pop(link, None)

    def _arrive(self, link_queue: _LinkQueue) -> None:
        # Timers due at the same time may run in any order; links keep order.
        handler, sender, message = link_queue.popleft()
        handler(sender, message)
