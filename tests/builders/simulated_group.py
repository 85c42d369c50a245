"""A data centre on simulated time: instances, servers, table and list.

Instances run the product's ``OwnershipService``; everything else is simulated.
The oracle checks the invariants while time passes.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from expression import Result

from tests.builders.simulated_loop import SimulatedProcess, World
from tests.builders.simulated_server import SimulatedServer
from yuccadale_core.counters import Counters
from yuccadale_core.declaration import DataCentre, Declaration, Service
from yuccadale_core.instances import GroupId, InstanceRef, ServerRef
from yuccadale_core.messages import (
    Heartbeat,
    PeerMessage,
    RecordChange,
    Replicate,
)
from yuccadale_core.platform import (
    ListedInstance,
    Row,
    TableFailure,
    TableFailureKind,
)
from yuccadale_core.targets import (
    Grant,
    GrantAnswer,
    TargetFailure,
    TargetFailureKind,
)
from yuccadale_router._internal.contracts import (
    Assignment,
    Candidate,
    LeadershipTable,
    MoveProposal,
    ServerState,
)
from yuccadale_router._internal.ownership.leader_state import Origin
from yuccadale_router._internal.ownership.rows import GroupRow, decode_row
from yuccadale_router._internal.ownership.service import OwnershipService

CENTRE = 'lodz-a'
SERVICE = 'ledger'
GROUP = GroupId(SERVICE, CENTRE, 0)
TABLE = 'table'
_LATENCY_MS = 1.0
_HEARTBEAT_MS = 200.0
_ALIVE_MS = 600.0


class Violation(AssertionError):
    """An invariant of slot ownership does not hold."""


@dataclass
class Network:
    """Delivers messages, with faults.

    Attributes:
        cut: pairs of names that cannot reach each other.
        cut_one_way: (sender, receiver) pairs.
        loss: share of messages and answers that are lost.
        duplication: share of messages that arrive twice.
        lateness: share of messages that arrive up to ``late_ms`` later.
    """

    world: World
    rng: random.Random
    cut: set[frozenset[str]] = field(default_factory=set)
    cut_one_way: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0
    duplication: float = 0
    lateness: float = 0
    late_ms: float = 2000.0

    def deliver(
        self, sender: str, receiver: str, action: Callable[[], None]
    ) -> None:
        """Schedules the action at the receiver, unless the message is lost."""
        if frozenset((sender, receiver)) in self.cut:
            return
        if (sender, receiver) in self.cut_one_way:
            return
        if self.rng.random() < self.loss:
            return
        self._schedule(sender, action)
        if self.rng.random() < self.duplication:
            self._schedule(sender, action, extra_ms=self._late_ms())

    def _schedule(
        self, sender: str, action: Callable[[], None], extra_ms: float = 0
    ) -> None:
        delay_ms = _LATENCY_MS * self.rng.uniform(0.5, 1.5) + extra_ms
        if self.rng.random() < self.lateness:
            delay_ms += self._late_ms()
        pause_ms = next(
            (
                process.pause_inside_ms
                for process in self.world.processes
                if process.name == sender and process.alive
            ),
            0,
        )
        self.world.at(self.world.now_ms + pause_ms + delay_ms, action)

    def _late_ms(self) -> float:
        return self.rng.uniform(0, self.late_ms)


class TableStandIn:
    """A table with conditional writes; ``down`` and ``slow_ms`` are faults."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.row_by_name: dict[str, Row] = {}
        self.down = False
        self.slow_ms = 0
        self.lose_answers = False
        self.operation_times: list[float] = []
        self.listeners: list[Callable[[Row], None]] = []

    def write(
        self, name: str, text: str, expected_version: int, write_id: str
    ) -> Result[Row, TableFailure]:
        """Writes the row if its version is the expected one."""
        row = self.row_by_name.get(name)
        version = row.version if row else 0
        if version != expected_version:
            return Result.Error(
                TableFailure(TableFailureKind.conflict, 'version', row)
            )
        written = Row(name, version + 1, text, write_id)
        self.row_by_name[name] = written
        for listener in self.listeners:
            listener(written)
        return Result.Ok(written)


@dataclass
class FakePlacement:
    """Assigns round robin and proposes the moves that a test requests."""

    cluster: 'Cluster'

    def assign(
        self, slots: Sequence[int], candidates: Sequence[Candidate]
    ) -> Assignment:
        names = [candidate.name for candidate in candidates]
        count = len(names)
        owners = {
            slot: names[index % count] for index, slot in enumerate(slots)
        }
        successors = {
            slot: names[
                (index + 1 + (index // count) % max(1, count - 1)) % count
            ]
            for index, slot in enumerate(slots)
            if count > 1
        }
        return Assignment(owners, successors)

    def successors(
        self,
        owner_by_slot: Mapping[int, str],
        successor_by_slot: Mapping[int, str],
        candidates: Sequence[Candidate],
    ) -> Mapping[int, str]:
        live = [
            candidate.name
            for candidate in candidates
            if candidate.state == ServerState.live
        ]
        chosen: dict[int, str] = {}
        for slot, owner in owner_by_slot.items():
            known = successor_by_slot.get(slot)
            others = [name for name in live if name != owner]
            if known in others or not others:
                if known is not None:
                    chosen[slot] = known
            else:
                chosen[slot] = others[slot % len(others)]
        return chosen

    def propose(
        self, assignment: Assignment, candidates: Sequence[Candidate]
    ) -> Sequence[MoveProposal]:
        state_by_name = {
            candidate.name: candidate.state for candidate in candidates
        }
        live = [
            name
            for name, state in state_by_name.items()
            if state == ServerState.live
        ]
        proposals = [
            MoveProposal(slot, target, 'asked by the test', 1)
            for slot, target in self.cluster.requested_moves.items()
            if target in live
        ]
        for slot, owner in assignment.owner_by_slot.items():
            if state_by_name.get(owner) == ServerState.draining and live:
                proposals.append(
                    MoveProposal(slot, live[slot % len(live)], 'draining', 1)
                )
        return proposals

    def record_move(self, slot: int, old_owner: str, new_owner: str) -> None:
        self.cluster.requested_moves.pop(slot, None)
        self.cluster.oracle.acknowledged(slot, new_owner)

    def keys_to_pin(self) -> Sequence[str]:
        return list(self.cluster.hot_keys)


class FakeRequests:
    """A dispatcher without work that stores records for replication."""

    def __init__(self) -> None:
        self.records: dict[str, RecordChange] = {}
        self.imported: list[RecordChange] = []
        self.drained = False
        self.lost: list[str] = []
        self.held: set[int] = set()

    async def hold_slot(self, slot: int) -> None:
        self.held.add(slot)
        await asyncio.sleep(0.005)

    def release_slot(self, slot: int) -> None:
        self.held.discard(slot)

    def server_added(self, server: ServerRef, *, cold: bool) -> None:
        """Does nothing: there is no state for each server."""

    def server_lost(self, server_name: str) -> None:
        self.lost.append(server_name)

    def export_records(self) -> list[RecordChange]:
        return list(self.records.values())

    def import_records(self, changes: list[RecordChange]) -> None:
        self.imported = changes
        self.records.update({change.request_id: change for change in changes})

    async def drain(self) -> None:
        self.drained = True


class _TableClient:
    def __init__(self, cluster: 'Cluster', instance: 'Instance') -> None:
        self._cluster = cluster
        self._instance = instance

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        table = self._cluster.table
        return await self._call(
            TableFailureKind.unavailable,
            lambda: Result.Ok(table.row_by_name.get(name)),
        )

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        table = self._cluster.table
        return await self._call(
            TableFailureKind.unavailable,
            lambda: Result.Ok(
                [
                    row
                    for name, row in sorted(table.row_by_name.items())
                    if name.startswith(prefix)
                ]
            ),
        )

    async def write(
        self, name: str, text: str, *, expected_version: int, write_id: str
    ) -> Result[Row, TableFailure]:
        table = self._cluster.table
        return await self._call(
            TableFailureKind.unknown,
            lambda: table.write(name, text, expected_version, write_id),
        )

    async def _call(
        self,
        failure_kind: TableFailureKind,
        operation: Callable[[], Result[Any, TableFailure]],
    ) -> Result[Any, TableFailure]:
        cluster = self._cluster
        if cluster.table.down:
            await asyncio.sleep(0.002)
            return Result.Error(
                TableFailure(TableFailureKind.unavailable, 'down')
            )
        cluster.table.operation_times.append(cluster.world.now_ms)
        answer = await cluster.call(
            self._instance.ref.name,
            TABLE,
            operation,
        )
        if answer is None:
            return Result.Error(TableFailure(failure_kind, 'no answer'))
        return answer


class _ListClient:
    def __init__(self, cluster: 'Cluster') -> None:
        self._cluster = cluster

    async def fetch(self) -> Result[list[ListedInstance], TableFailure]:
        if self._cluster.list_down:
            return Result.Error(
                TableFailure(TableFailureKind.unavailable, 'down')
            )
        return Result.Ok(list(self._cluster.listed.values()))


class _TargetClient:
    def __init__(
        self, cluster: 'Cluster', instance: 'Instance', server_name: str
    ) -> None:
        self._cluster = cluster
        self._instance = instance
        self._server_name = server_name

    async def hello(self) -> Result[GrantAnswer, TargetFailure]:
        return await self._call(lambda server: server.hello())

    async def grant(self, grant: Grant) -> Result[GrantAnswer, TargetFailure]:
        return await self._call(lambda server: server.offer(grant))

    async def _call(
        self, operation: Callable[[SimulatedServer], GrantAnswer]
    ) -> Result[GrantAnswer, TargetFailure]:
        server = self._cluster.server_by_name[self._server_name]

        def run() -> GrantAnswer:
            answer = operation(server)
            self._cluster.oracle.server_changed(server)
            return answer

        answer = await self._cluster.call(
            self._instance.ref.name, self._server_name, run
        )
        if answer is None:
            return Result.Error(
                TargetFailure(TargetFailureKind.lost, 'no answer')
            )
        return Result.Ok(answer)


class _Peers:
    def __init__(self, cluster: 'Cluster', instance: 'Instance') -> None:
        self._cluster = cluster
        self._instance = instance
        self._handlers: dict[type, Callable[..., None]] = {}
        self._last_message_by_peer: dict[
            str, tuple[InstanceRef, float, bool]
        ] = {}

    def send(self, peer_name: str, message: Any) -> bool:
        cluster = self._cluster
        sender = self._instance.ref
        if isinstance(message, Replicate) and message.row_text:
            cluster.oracle.row_seen(decode_row(message.row_text))

        def arrive() -> None:
            peer = cluster.instance_by_name.get(peer_name)
            if peer is not None and peer.process.alive:
                peer.process.loop.call_soon(peer.peers.receive, sender, message)

        cluster.network.deliver(sender.name, peer_name, arrive)
        return True

    def receive(self, sender: InstanceRef, message: PeerMessage) -> None:
        leaving = isinstance(message, Heartbeat) and message.leaving
        self._last_message_by_peer[sender.name] = (
            sender,
            self._instance.process.local_ms(),
            leaving,
        )
        if isinstance(message, Heartbeat):
            for leadership in message.leaderships:
                self._instance.leaderships.learn(leadership)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def handle(
        self, message_type: type[PeerMessage], handler: Callable[..., None]
    ) -> None:
        self._handlers[message_type] = handler

    def silence_ms(self, peer_name: str) -> float:
        last_message = self._last_message_by_peer.get(peer_name)
        if last_message is None:
            return float('inf')
        return self._instance.process.local_ms() - last_message[1]

    def live_peers(self) -> Sequence[InstanceRef]:
        return [
            ref
            for ref, _, leaving in self._last_message_by_peer.values()
            if not leaving and self.silence_ms(ref.name) < _ALIVE_MS
        ]


class Instance:
    """An instance that runs the product's service on its own loop."""

    def __init__(
        self, cluster: 'Cluster', ref: InstanceRef, rate: float
    ) -> None:
        self.cluster = cluster
        self.ref = ref
        self.leaving = False
        self.process = SimulatedProcess(cluster.world, ref.name, rate)
        self.leaderships = LeadershipTable()
        self.counters = Counters()
        self.peers = _Peers(cluster, self)
        self.dispatchers: list[FakeRequests] = []
        self.service = OwnershipService(
            ref,
            _TableClient(cluster, self),
            _ListClient(cluster),
            self.peers,
            lambda server: _TargetClient(cluster, self, server.name),
            self._make_requests,
            lambda group: FakePlacement(cluster),
            self.leaderships,
            self.counters,
            self.process.clock,
            rng=random.Random(f'{cluster.seed}/{ref.incarnation}'),
        )
        self.service.declaration_changed(cluster.declaration)
        self.process.loop.create_task(self.service.run())
        self.process.loop.create_task(self._send_heartbeats())

    @property
    def leader(self) -> Any:
        """The group's leader object, None unless this instance leads."""
        member = self.service._member_by_group.get(GROUP)
        leader = member.leader if member else None
        if leader is None or leader.state.ended.is_set():
            return None
        return leader

    def start(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine on this instance's loop."""
        return self.process.loop.create_task(work)

    def _make_requests(self, group: GroupId, ownership: Any) -> FakeRequests:
        requests = FakeRequests()
        self.dispatchers.append(requests)
        return requests

    async def _send_heartbeats(self) -> None:
        while True:
            known = list(self.leaderships.by_group().values())
            for name in list(self.cluster.instance_by_name):
                if name != self.ref.name:
                    self.peers.send(
                        name,
                        Heartbeat(1, 0, self.ref, {}, known, self.leaving),
                    )
            await asyncio.sleep(_HEARTBEAT_MS / 1000)


class Oracle:
    """Checks the invariants against servers, table and clocks."""

    def __init__(self, cluster: 'Cluster') -> None:
        self._cluster = cluster
        self.acknowledged_owner: dict[int, str] = {}
        self.recorded_owners: dict[int, set[str]] = defaultdict(set)
        self._owners_by_term: dict[int, dict[int, str]] = {}
        self._newest_row: GroupRow | None = None
        self._slots_in_table: set[int] = set()
        self._informed_incarnation_by_slot: dict[int, int] = {}
        self._term = 0
        self._members: tuple[Any, Any] = (None, None)
        cluster.table.listeners.append(self._row_written)

    def server_changed(self, server: SimulatedServer) -> None:
        """Checks the server's slots for other servers, now and later."""
        for slot in server.grant.slots if server.grant else ():
            if self.acknowledged_owner.get(slot) == server.name:
                self._informed_incarnation_by_slot[slot] = server.incarnation
            self._check_overlaps(server, slot)

    def acknowledged(self, slot: int, owner: str) -> None:
        """Records that a move took effect."""
        self.acknowledged_owner[slot] = owner
        self.recorded_owners[slot] = {owner}
        self._informed_incarnation_by_slot.pop(slot, None)
        self._slots_in_table.discard(slot)
        self._note_slots_in_table()

    def row_seen(self, row: GroupRow) -> None:
        """Records moves that a leader sent to standby or table.

        The first row of a term adds none: a new leader must keep the owners
        that its predecessor recorded.
        """
        known = self._owners_by_term.setdefault(
            row.term, dict(row.owner_by_slot)
        )
        for slot, owner in row.owner_by_slot.items():
            if known.get(slot, owner) != owner:
                self.recorded_owners[slot].add(owner)
            known[slot] = owner

    def check_leases(self) -> None:
        """Checks that at most one leader holds a valid lease."""
        holders = [
            instance.ref.name
            for instance in self._cluster.instance_by_name.values()
            if instance.process.alive
            and instance.leader is not None
            and instance.leader.state.lease.valid_until
            > instance.process.local_ms()
        ]
        if len(holders) > 1:
            raise Violation(f'leases held by {holders}')

    def check_permits(self) -> None:
        """Checks that at most one instance may send for a slot.

        Servers that do not check grants accept work from every instance, so
        that only the lease prevents two senders.
        """
        permitting = [
            instance.ref.name
            for instance in self._cluster.instance_by_name.values()
            if instance.process.alive
            and instance.leader is not None
            and instance.leader.permit(0).is_ok()
        ]
        if len(permitting) > 1:
            raise Violation(f'{permitting} may all send')

    def check_assignment(self) -> None:
        """Checks each leader's owners against the acknowledged moves."""
        for leader in self._leaders():
            exempt = not self._cluster.checks_grants and _has_only_row(leader)
            if leader.state.lease.is_valid() and not exempt:
                self._check_owners(leader)

    def _leaders(self) -> list[Any]:
        return [
            instance.leader
            for instance in self._cluster.instance_by_name.values()
            if instance.process.alive and instance.leader is not None
        ]

    def _check_owners(self, leader: Any) -> None:
        state = leader.state
        for slot, acknowledged in list(self.acknowledged_owner.items()):
            owner = state.row.owner_by_slot.get(slot, acknowledged)
            if not state.slot_tracker.is_held(slot):
                self._check_owner(leader, slot, owner)

    def _check_owner(self, leader: Any, slot: int, owner: str) -> None:
        if owner in self.recorded_owners[slot]:
            return
        if _has_only_row(leader) and self._record_was_lost(slot):
            self.acknowledged(slot, owner)
            return
        acknowledged = self.acknowledged_owner[slot]
        raise Violation(
            f'slot {slot} is at {owner}, acknowledged at {acknowledged}'
        )

    def _record_was_lost(self, slot: int) -> bool:
        """Whether every copy of a move's record was lost.

        The table was down, leader and standby are lost, and the new owner
        restarted or never received the grant, so that it did no work for the
        slot. Ownership does not have to survive so many losses.
        """
        owner = self.acknowledged_owner[slot]
        server = self._cluster.server_by_name[owner]
        if slot in self._slots_in_table:
            return False
        return (
            self._informed_incarnation_by_slot.get(slot) != server.incarnation
        )

    def _check_overlaps(self, server: SimulatedServer, slot: int) -> None:
        for other in self._cluster.server_by_name.values():
            begins_at = _overlap(server, other, slot)
            if other is not server and begins_at is not None:
                self._check_at(begins_at, slot, server, other)

    def _check_at(
        self,
        moment_ms: float,
        slot: int,
        server: SimulatedServer,
        other: SimulatedServer,
    ) -> None:
        def check() -> None:
            if server.serves(slot) and other.serves(slot):
                raise Violation(
                    f'slot {slot} is served by {server.name} and '
                    f'{other.name} at {self._cluster.world.now_ms:.1f} ms'
                )

        self._cluster.world.at(moment_ms, check)

    def _note_slots_in_table(self) -> None:
        row = self._newest_row
        for slot, owner in self.acknowledged_owner.items():
            if row is not None and row.owner_by_slot.get(slot) == owner:
                self._slots_in_table.add(slot)

    def _row_written(self, written: Row) -> None:
        if not written.name.startswith('group/'):
            return
        row = decode_row(written.text)
        if row.term < self._term:
            raise Violation(f'term fell from {self._term} to {row.term}')
        members = (row.leader, row.standby)
        if members != self._members and row.term <= self._term:
            raise Violation(f'leader or standby changed under term {row.term}')
        self._term = row.term
        self._members = members
        self._newest_row = row
        self._note_slots_in_table()
        self.row_seen(row)


def _has_only_row(leader: Any) -> bool:
    """Whether a leader knows nothing but the row.

    Servers that do not check grants cannot report who owns a slot.
    """
    return leader.state.initial.origin == Origin.unknown


def _overlap(
    server: SimulatedServer, other: SimulatedServer, slot: int
) -> float | None:
    """Returns when both servers begin to serve the slot, None for never."""
    span = server.serving_span(slot)
    other_span = other.serving_span(slot)
    if span is None or other_span is None:
        return None
    begins_at = max(span[0], other_span[0], server.world.now_ms)
    return begins_at if begins_at < min(span[1], other_span[1]) else None


class _Call:
    """One call over the network, with the callee's faults."""

    def __init__(
        self,
        cluster: 'Cluster',
        callee: str,
        operation: Callable[[], Any],
        reply: Callable[[Any], None],
    ) -> None:
        self._cluster = cluster
        self._callee = callee
        self._operation = operation
        self._reply = reply

    def arrive(self) -> None:
        """Runs the operation at the callee, once it is not frozen any more."""
        cluster = self._cluster
        if self._callee == TABLE:
            cluster.world.at(
                cluster.world.now_ms + cluster.table.slow_ms, self.execute
            )
            return
        server = cluster.server_by_name[self._callee]
        if server.frozen_until > cluster.world.now_ms:
            cluster.world.at(server.frozen_until, self.arrive)
        elif server.alive:
            self.execute()

    def execute(self) -> None:
        """Runs the operation and answers, unless answers are lost."""
        answer = self._operation()
        is_table = self._callee == TABLE
        if not (is_table and self._cluster.table.lose_answers):
            self._reply(answer)


class Cluster:
    """One data centre with one group."""

    def __init__(
        self,
        *,
        seed: int = 0,
        instance_count: int = 3,
        server_count: int = 3,
        slot_count: int = 6,
        checks_grants: bool = True,
        rates: Mapping[str, float] | None = None,
    ) -> None:
        self.seed = seed
        self.checks_grants = checks_grants
        self.world = World()
        self.rng = random.Random(seed)
        self.network = Network(self.world, self.rng)
        self.table = TableStandIn(self.world)
        self.oracle = Oracle(self)
        self.rates = dict(rates or {})
        self.requested_moves: dict[int, str] = {}
        self.hot_keys: list[str] = []
        self.list_down = False
        self.declaration = Declaration(
            service_by_name={
                SERVICE: Service(
                    SERVICE, slot_count, 2, 120, checks_grants=checks_grants
                )
            },
            data_centre_by_name={
                CENTRE: DataCentre(
                    CENTRE, 'pl-central', capacity_by_service={SERVICE: 1}
                )
            },
        )
        self.listed: dict[str, ListedInstance] = {}
        self.server_by_name: dict[str, SimulatedServer] = {}
        self.instance_by_name: dict[str, Instance] = {}
        for number in range(server_count):
            self.add_server(f's{number}')
        for number in range(instance_count):
            self.start_instance(f'i{number}')

    def add_server(self, name: str) -> SimulatedServer:
        """Starts a server and adds it to the instance list."""
        server = SimulatedServer(self.world, name, self.rates.get(name, 1))
        self.server_by_name[name] = server
        self.listed[name] = ListedInstance(
            name, 'server', CENTRE, f'r{name[-1]}', SERVICE, name, 'live'
        )
        return server

    def start_instance(self, name: str) -> Instance:
        """Starts an instance, with a new incarnation if it ran before."""
        previous = self.instance_by_name.get(name)
        number = 1
        if previous is not None:
            number = int(previous.ref.incarnation.rpartition('.')[2]) + 1
            previous.process.kill()
            self.world.processes.remove(previous.process)
            self.world.ended_processes.append(previous.process)
        ref = InstanceRef(
            name, f'{name}.{number}', CENTRE, f'r{name[-1]}', name
        )
        instance = Instance(self, ref, self.rates.get(name, 1))
        self.instance_by_name[name] = instance
        self.world.processes.append(instance.process)
        self.listed[name] = ListedInstance(
            name, 'entry', CENTRE, f'r{name[-1]}', '', name, 'live'
        )
        return instance

    def kill_instance(self, name: str) -> None:
        """Ends an instance, which stays in the instance list."""
        self.instance_by_name[name].process.kill()

    def kill_server(self, name: str) -> None:
        """Ends a server."""
        self.server_by_name[name].alive = False

    def cut(self, first: str, second: str) -> None:
        """Cuts the link between two processes, by name."""
        self.network.cut.add(frozenset((first, second)))

    def heal(self) -> None:
        """Ends all network and table faults."""
        self.network.cut.clear()
        self.network.cut_one_way.clear()
        self.network.loss = 0
        self.network.duplication = 0
        self.network.lateness = 0
        self.table.down = False
        self.table.slow_ms = 0
        self.table.lose_answers = False
        self.list_down = False

    def run(self, duration_ms: float) -> None:
        """Lets time pass and checks leases and assignment every 20 ms."""
        end_ms = self.world.now_ms + duration_ms
        while self.world.now_ms < end_ms:
            self.world.run_until(min(end_ms, self.world.now_ms + 20))
            self.oracle.check_leases()
            self.oracle.check_assignment()
            if not self.checks_grants:
                self.oracle.check_permits()
        for instance in self.instance_by_name.values():
            if instance.process.failures:
                raise Violation(f'task failed: {instance.process.failures[0]}')

    def run_until(
        self, condition: Callable[[], bool], limit_ms: float
    ) -> float:
        """Runs until the condition holds; returns how long it took."""
        started_ms = self.world.now_ms
        while not condition():
            if self.world.now_ms - started_ms >= limit_ms:
                raise AssertionError(f'not within {limit_ms} ms')
            self.run(10)
        return self.world.now_ms - started_ms

    @property
    def leader(self) -> Instance | None:
        """The live instance that leads with the highest token."""
        leading = [
            instance
            for instance in self.instance_by_name.values()
            if instance.process.alive and instance.leader is not None
        ]
        return max(
            leading,
            key=lambda instance: instance.leader.state.token,
            default=None,
        )

    def owners(self) -> dict[int, str]:
        """Returns which server serves each slot now."""
        slots = range(self.declaration.service_by_name[SERVICE].slot_count)
        return {
            slot: server.name
            for slot in slots
            for server in self.server_by_name.values()
            if server.serves(slot)
        }

    def all_served(self) -> bool:
        """Says whether the leader may send for every slot and it is served."""
        leader = self.leader
        if leader is None:
            return False
        count = self.declaration.service_by_name[SERVICE].slot_count
        permitted = all(
            leader.leader.permit(slot).is_ok() for slot in range(count)
        )
        if not self.checks_grants:
            return permitted
        return permitted and len(self.owners()) == count

    async def call(
        self, caller: str, callee: str, operation: Callable[[], Any]
    ) -> Any:
        """Makes a call over the network; None without an answer."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def resolve(answer: Any) -> None:
            if not future.done():
                future.set_result(answer)

        def receive(answer: Any) -> None:
            if not loop.is_closed():
                loop.call_soon(resolve, answer)

        def reply(answer: Any) -> None:
            self.network.deliver(callee, caller, partial(receive, answer))

        call = _Call(self, callee, operation, reply)
        self.network.deliver(caller, callee, call.arrive)
        try:
            return await asyncio.wait_for(future, 2)
        except TimeoutError:
            return None
