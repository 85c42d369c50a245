"""Ownership on one instance: a member of each group in its data centre."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar, cast

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import (
    GroupId,
    InstanceRef,
    Leadership,
    ServerRef,
)
from yuccadale_core.messages import (
    Handover,
    PeerMessage,
    ProbeAnswer,
    ProbeRequest,
    Promise,
    PromiseRequest,
    Replicate,
    ReplicateAck,
    Resign,
)
from yuccadale_core.platform import InstanceList, Table
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import (
    GroupRequests,
    GroupRequestsFactory,
    LeadershipTable,
    Peers,
    TargetFactory,
)
from yuccadale_router._internal.ownership.context import (
    InstanceContext,
    PlacementFactory,
    TaskSet,
)
from yuccadale_router._internal.ownership.leader_state import call_server
from yuccadale_router._internal.ownership.member import GroupMember
from yuccadale_router._internal.ownership.moving import server_state
from yuccadale_router._internal.ownership.pacing import (
    PacedTable,
    sleep_jittered,
)
from yuccadale_router._internal.ownership.slots import SlotEvent

LIST_INTERVAL_MS = 1000


class _GroupMessage(Protocol):
    @property
    def group(self) -> GroupId:
        """The group that the message is about."""


_Message = TypeVar('_Message', bound=PeerMessage)
_Handler = Callable[[GroupMember, InstanceRef, _Message], None]


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """A server on the status page."""

    name: str
    state: str
    slot_count: int


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """A group on the status page.

    Attributes:
        role: ``leader``, ``standby`` or ``candidate``.
        token: this leader's token, or that of the leader to which this
            standby gave its promise.
        lease_left_ms: 0 unless this instance leads with a valid lease.
        servers: empty unless this instance leads.
    """

    group: str
    role: str
    token: int
    lease_left_ms: float
    standby: str
    servers: tuple[ServerStatus, ...]


class OwnershipService:
    """Takes part in all groups of the instance's data centre."""

    def __init__(
        self,
        me: InstanceRef,
        table: Table,
        instance_list: InstanceList,
        peers: Peers,
        target_factory: TargetFactory,
        requests_factory: GroupRequestsFactory,
        placement_factory: PlacementFactory,
        leaderships: LeadershipTable,
        counters: Counters,
        clock: Clock,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._instance_list = instance_list
        self._context = InstanceContext(
            me=me,
            table=PacedTable(table, clock, counters),
            peers=peers,
            target_factory=target_factory,
            requests_factory=requests_factory,
            placement_factory=placement_factory,
            leaderships=leaderships,
            counters=counters,
            clock=clock,
            rng=rng or random.Random(),
        )
        self._member_by_group: dict[GroupId, GroupMember] = {}
        self._tasks = TaskSet(self._task_failed)
        self._has_failed = False
        self._running = False
        leaderships.listen(self._leadership_learned)
        self._handle_messages()

    async def run(self) -> None:
        """Runs until cancelled."""
        self._running = True
        self._start_members()
        try:
            await self._poll_instance_list()
        finally:
            self._running = False
            await self._tasks.stop()

    def declaration_changed(self, declaration: Declaration) -> None:
        """Applies a new declaration and joins new groups."""
        self._context.declaration = declaration
        if self._running:
            self._start_members()

    def dispatcher(self, group: GroupId) -> GroupRequests | None:
        """Returns the group's dispatcher, None unless this instance leads."""
        member = self._member_by_group.get(group)
        return member.dispatcher if member else None

    async def hand_over(self) -> None:
        """Hands over all groups before the process ends."""
        await asyncio.gather(
            *(member.hand_over() for member in self._member_by_group.values())
        )

    def status(self) -> list[GroupStatus]:
        """Returns the state of all groups for the operators' status page."""
        return [
            _group_status(member)
            for _, member in sorted(self._member_by_group.items())
        ]

    def slot_history(self, group: GroupId, slot: int) -> list[SlotEvent]:
        """Returns a slot's last owners; empty unless this instance leads."""
        member = self._member_by_group.get(group)
        if member is None or member.leader is None:
            return []
        return member.leader.state.slot_tracker.history(slot)

    def _start_members(self) -> None:
        centre = self._context.me.data_centre
        for service in self._context.declaration.service_by_name.values():
            for number in range(service.groups_per_data_centre):
                group = GroupId(service.name, centre, number)
                if group not in self._member_by_group:
                    member = GroupMember(self._context, group)
                    self._member_by_group[group] = member
                    self._tasks.start(member.run())

    async def _poll_instance_list(self) -> None:
        while not self._has_failed:
            fetched = await self._instance_list.fetch()
            if fetched.is_ok():
                self._context.listed = {
                    instance.name: instance for instance in fetched.ok
                }
            await sleep_jittered(LIST_INTERVAL_MS, self._context.rng)
        raise RuntimeError('a task of ownership failed')

    def _task_failed(self) -> None:
        """Makes ``run`` fail, since a group would have no member any more."""
        self._has_failed = True

    def _leadership_learned(self, leadership: Leadership) -> None:
        member = self._member_by_group.get(leadership.group)
        if member is not None:
            member.leadership_learned(leadership)

    def _handle_messages(self) -> None:
        self._handle(PromiseRequest, GroupMember.promise_requested)
        self._handle(Promise, GroupMember.promise_received)
        self._handle(Replicate, GroupMember.replicated)
        self._handle(ReplicateAck, GroupMember.replication_acknowledged)
        self._handle(Handover, GroupMember.handed_over)
        self._handle(Resign, GroupMember.resigned)
        self._handle(ProbeAnswer, GroupMember.probe_answered)
        self._context.peers.handle(ProbeRequest, self._probe_requested)

    def _handle(
        self, message_type: type[_Message], handler: _Handler[_Message]
    ) -> None:
        def forward(sender: InstanceRef, message: PeerMessage) -> None:
            if not isinstance(message, message_type):
                return
            about = cast(_GroupMessage, message)
            member = self._member_by_group.get(about.group)
            if member is not None:
                handler(member, sender, message)

        self._context.peers.handle(message_type, forward)

    def _probe_requested(
        self, sender: InstanceRef, message: PeerMessage
    ) -> None:
        if isinstance(message, ProbeRequest) and self._running:
            self._tasks.start(self._probe(sender, message))

    async def _probe(self, sender: InstanceRef, message: ProbeRequest) -> None:
        server = ServerRef(
            message.server, message.address, '', message.group.service
        )
        target = self._context.target_factory(server)
        hello_result = await call_server(target.hello())
        self._context.peers.send(
            sender.name,
            ProbeAnswer(
                message.group,
                message.server,
                message.number,
                reached=hello_result.is_ok(),
            ),
        )


def _group_status(member: GroupMember) -> GroupStatus:
    leader = member.leader
    if leader is None:
        promise = member.promise
        return GroupStatus(
            group=str(member.group),
            role='standby' if promise else 'candidate',
            token=promise.token if promise else 0,
            lease_left_ms=0,
            standby='',
            servers=(),
        )
    state = leader.state
    return GroupStatus(
        group=str(member.group),
        role='leader',
        token=state.token,
        lease_left_ms=state.lease.left_ms(),
        standby=state.row.standby.name if state.row.standby else '',
        servers=tuple(
            ServerStatus(
                name,
                server_state(state, name).value,
                len(state.row.slots_of(name)),
            )
            for name in sorted(state.row.server_by_name)
        ),
    )
