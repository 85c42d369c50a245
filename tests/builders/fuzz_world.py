"""A group whose leaders, links and servers fail, with an oracle.

The request path is the real one. Ownership is a model with these rules:
servers refuse outdated tokens; records are replicated or a gap is marked; a
tenure is complete only with a complete copy of the records and without a gap.
"""

import asyncio
from dataclasses import dataclass, field, replace

from expression import Result

from tests.builders.fake_servers import FakeServer
from tests.builders.request_world import (
    GROUP,
    LINK_MS,
    FakeOwnership,
    Node,
    World,
    make_instance,
)
from tests.builders.virtual_time import virtual_ms
from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_core.instances import InstanceRef, Leadership
from yuccadale_core.messages import (
    BodyPiece,
    ForwardAnswer,
    PeerMessage,
    RecordChange,
)
from yuccadale_core.refusals import Refusal
from yuccadale_router._internal.contracts import SendPermit, Tenure
from yuccadale_router._internal.requests.answers import CallerAnswer
from yuccadale_router._internal.requests.parsing import CallerRequest

_GRANT_TTL_MS = 1000
_REGRANT_MS = 50
_NODE_NAMES = ('a', 'b', 'c')


@dataclass
class Work:
    """One request of a caller with all its attempts."""

    request: CallerRequest
    first_sent_ms: float
    # Whether the caller sends the age of its first attempt.
    aged: bool
    answers: list[CallerAnswer] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    # Set when the caller cancelled an attempt and got no outcome.
    outcome_unseen: bool = False


# Whether the records before the tenure are complete, and when it began.
_TenureStart = tuple[bool, float]


class FuzzOwnership(FakeOwnership):
    """Model of one leader's ownership; the leader may have been replaced."""

    def __init__(self, world: 'FuzzWorld', node: Node, token: int) -> None:
        super().__init__(world, token)
        self.fuzz_world = world
        self.node = node
        self.active = True
        self.owner_by_slot = world.owner_by_slot
        self.accepted: set[str] = set()
        # Tenures of the former leader whose records were inherited.
        self.inherited: dict[int, _TenureStart] = {}
        self.tenure_by_slot: dict[int, _TenureStart] = {}

    @property
    def current(self) -> bool:
        return self.fuzz_world.ownership is self

    def permit(self, slot: int) -> Result[SendPermit, Refusal]:
        """Permits sending once the owner has accepted this leader's token."""
        if not self.active:
            return Result.Error(Refusal(ResultCode.lease_ended, 'ownership'))
        permitted = super().permit(slot)
        if permitted.ok.server.name not in self.accepted:
            return Result.Error(Refusal(ResultCode.slot_not_ready, 'ownership'))
        return permitted

    def tenure(self, slot: int) -> Tenure:
        complete, began_ms = self.tenure_by_slot.get(
            slot, (False, virtual_ms())
        )
        return Tenure(complete=complete, age_ms=virtual_ms() - began_ms)

    def activate(self, server: FakeServer) -> None:
        """Sends the token to a server, which reports its gap."""
        if server.thawed.is_set() and self.token >= server.highest_token:
            server.highest_token = self.token
            self.accepted.add(server.name)
            for slot in self.fuzz_world.slots_of(server.name):
                self.begin(slot, gap=server.gap)

    def begin(self, slot: int, *, gap: bool) -> None:
        """Begins a slot's tenure, or continues the former leader's."""
        new_start = (False, virtual_ms())
        start = new_start if gap else self.inherited.get(slot, new_start)
        self.tenure_by_slot.setdefault(slot, start)

    async def replicate(
        self, server_name: str, changes: list[RecordChange]
    ) -> Result[None, Refusal]:
        """Replicates to the standby, or marks a gap at the server."""
        await asyncio.sleep(LINK_MS / 1000)
        if self.current and self.fuzz_world.standby_in_reach():
            self.fuzz_world.apply_changes(changes)
            await asyncio.sleep(LINK_MS / 1000)
            return Result.Ok(None)
        server = self.fuzz_world.server_by_name[server_name]
        await asyncio.sleep(LINK_MS / 1000)
        if not server.thawed.is_set() or server.highest_token > self.token:
            return Result.Error(Refusal(ResultCode.lease_ended, 'ownership'))
        server.gap = True
        return Result.Ok(None)


# Sender, receiving process and message.
_OldMessage = tuple[InstanceRef, InstanceRef, PeerMessage]


class FuzzWorld(World):
    """Three instances, three servers, one group and the injected faults."""

    def __init__(self) -> None:
        super().__init__(servers=3)
        self.works: list[Work] = []
        self.faults: list[str] = []
        self.old_messages: list[_OldMessage] = []
        self.ownerships: list[FuzzOwnership] = []
        self.copy_by_id: dict[tuple[int, str], RecordChange] = {}
        self.incarnations = 0
        self.frozen_ms_by_server: dict[str, float] = {}
        self.node_by_name = {name: self.node(name) for name in _NODE_NAMES}
        self.token = 0
        self.leader = 'c'
        self.standby = 'a'
        for server in self.server_by_name.values():
            server.slots = self.slots_of(server.name)
        # Nothing ran before the first leader, so its records are complete.
        self.replace_leader('a', 'b')
        for slot in self.owner_by_slot:
            self.ownership.tenure_by_slot[slot] = (True, 0)

    def slots_of(self, server_name: str) -> set[int]:
        return {
            slot
            for slot, owner in self.owner_by_slot.items()
            if owner == server_name
        }

    def standby_in_reach(self) -> bool:
        return (self.leader, self.standby) not in self.cut_ms_by_link

    def apply_changes(self, changes: list[RecordChange]) -> None:
        for change in changes:
            record_id = (change.slot, change.request_id)
            if change.state == 'not run':
                self.copy_by_id.pop(record_id, None)
            else:
                self.copy_by_id[record_id] = change

    def replace_leader(self, leader: str, standby: str) -> None:
        node = self.node_by_name[leader]
        inherits = leader == self.standby
        self.token += 2
        self.leader = leader
        self.standby = standby
        self.ownership = FuzzOwnership(self, node, self.token)
        for old in self.ownerships[-1:]:
            old.owner_by_slot = dict(self.owner_by_slot)
            if inherits:
                self.ownership.inherited = old.tenure_by_slot
        self.ownerships.append(self.ownership)
        self.dispatcher = node.dispatchers(GROUP, self.ownership)
        if inherits:
            self.dispatcher.import_records(list(self.copy_by_id.values()))
        self.copy_all_records()
        for server in self.server_by_name.values():
            self.ownership.activate(server)
            server.gap = False
        self.announce_leadership()

    def copy_all_records(self) -> None:
        self.copy_by_id.clear()
        if self.standby_in_reach():
            self.apply_changes(self.dispatcher.export_records())
            return
        for server in self.server_by_name.values():
            server.gap = True

    def announce_leadership(self) -> None:
        leader = self.node_by_name[self.leader].me
        leadership = Leadership(GROUP, self.token, leader, None)
        for name, node in self.node_by_name.items():
            if (self.leader, name) not in self.cut_ms_by_link:
                node.leaderships.learn(leadership)
                self._end_old_leases(node)

    def restart(self, name: str) -> None:
        """Replaces a process that is neither leader nor standby."""
        if name in {self.leader, self.standby}:
            return
        for work in self.works:
            for task in work.tasks:
                if task.get_name() == name and not task.done():
                    task.cancel()
        self.incarnations += 1
        me = make_instance(name, incarnation=f'{name}+{self.incarnations}')
        self.node_by_name[name] = Node(self, me)
        self.announce_leadership()

    def restore_links(self) -> None:
        if not self.cut_ms_by_link:
            return
        self.cut_ms_by_link.clear()
        self.copy_all_records()
        for server in self.server_by_name.values():
            if server.thawed.is_set():
                server.gap = False
        self.announce_leadership()

    def freeze(self, name: str) -> None:
        self.server_by_name[name].thawed.clear()
        self.frozen_ms_by_server.setdefault(name, virtual_ms())

    def thaw(self, name: str) -> None:
        """Resumes a server; its grant may have ended meanwhile."""
        server = self.server_by_name[name]
        frozen_ms = self.frozen_ms_by_server.pop(name, None)
        if frozen_ms is None:
            return
        if virtual_ms() - frozen_ms >= _GRANT_TTL_MS:
            server.slots = set()
        server.thawed.set()
        asyncio.get_running_loop().call_later(
            _REGRANT_MS / 1000, self._grant_again, server
        )

    def give_up_server(self, name: str) -> None:
        """Moves the slots of a frozen server once its grant has expired."""
        frozen_ms = self.frozen_ms_by_server.get(name)
        others = [
            other
            for other in sorted(self.ownership.accepted)
            if other not in self.frozen_ms_by_server
        ]
        if frozen_ms is None or not others:
            return
        if virtual_ms() - frozen_ms < _GRANT_TTL_MS * 1.02:
            return
        self.dispatcher.server_lost(name)
        for number, slot in enumerate(sorted(self.slots_of(name))):
            self._assign(slot, others[number % len(others)])
            self.dispatcher.release_slot(slot)

    async def move_slot(self, slot: int, name: str) -> None:
        ownership, dispatcher = self.ownership, self.dispatcher
        await dispatcher.hold_slot(slot)
        old = self.server_by_name[self.owner_by_slot[slot]]
        new = self.server_by_name[name]
        reachable = old.thawed.is_set() and new.thawed.is_set()
        accepted = {old.name, new.name} <= ownership.accepted
        if ownership.current and reachable and accepted and old.slots:
            old.slots.discard(slot)
            self._assign(slot, name)
        dispatcher.release_slot(slot)

    def transmit(
        self, sender: InstanceRef, receiver: str, message: PeerMessage
    ) -> None:
        """Sends a message and applies the next fault, if any."""
        me = self.peers_by_name[sender.name].me
        fault = self._next_fault(message)
        cut = (sender.name, receiver) in self.cut_ms_by_link
        if me.incarnation != sender.incarnation or cut or fault == 'drop':
            return
        if fault == 'delay':
            self._deliver_late(sender, receiver, message, 400)
            return
        if not isinstance(message, BodyPiece):
            process = self.peers_by_name[receiver].me
            self.old_messages.append((sender, process, message))
        super().transmit(sender, receiver, message)
        if fault == 'duplicate':
            self._deliver_late(sender, receiver, message, 30)
        elif fault == 'cross':
            for other in _NODE_NAMES:
                self._deliver_late(sender, other, message, 0)

    def replay(self, number: int) -> None:
        if self.old_messages:
            sender, receiver, message = self.old_messages[
                -1 - number % len(self.old_messages)
            ]
            # A link ends with its process, so a request cannot reach a
            # restarted one; an answer could match a reused forward id.
            if isinstance(message, ForwardAnswer):
                for name in _NODE_NAMES:
                    self._deliver_late(sender, name, message, 0)
            elif self.peers_by_name[receiver.name].me == receiver:
                self._deliver_late(sender, receiver.name, message, 0)

    def ask(self, work: Work, name: str) -> None:
        node = self.node_by_name[name]
        age_ms = virtual_ms() - work.first_sent_ms if work.aged else -1
        request = replace(work.request, first_sent_ago_ms=age_ms)
        work.tasks.append(
            asyncio.create_task(self._attempt(work, node, request), name=name)
        )

    def violations(self) -> list[str]:
        found: list[str] = []
        for work in self.works:
            request = work.request
            runs = sum(
                server.runs[request.body.decode()]
                for server in self.server_by_name.values()
            )
            repeatable = request.kind != 'deposit'
            if not repeatable and runs > 1:
                found.append(f'{request.request_id} ran {runs} times')
            found.extend(_answer_problems(work, runs, repeatable=repeatable))
        return found

    async def _attempt(
        self, work: Work, node: Node, request: CallerRequest
    ) -> None:
        try:
            work.answers.append(await node.ask(request))
        except asyncio.CancelledError:
            work.outcome_unseen = True
            raise

    def _assign(self, slot: int, name: str) -> None:
        old = self.server_by_name[self.owner_by_slot[slot]]
        new = self.server_by_name[name]
        # The standby may lack records of the slot from the old owner.
        new.gap = new.gap or old.gap
        self.owner_by_slot[slot] = name
        self.ownership.begin(slot, gap=True)
        if new.slots is not None:
            new.slots.add(slot)

    def _next_fault(self, message: PeerMessage) -> str:
        fault = self.faults[-1] if self.faults else ''
        if fault == 'cross' and not isinstance(message, ForwardAnswer):
            return ''
        self.faults = self.faults[:-1]
        return fault

    def _end_old_leases(self, node: Node) -> None:
        for ownership in self.ownerships:
            if ownership.node is node and not ownership.current:
                ownership.active = False

    def _grant_again(self, server: FakeServer) -> None:
        if server.thawed.is_set():
            self.ownership.activate(server)
            server.slots = self.slots_of(server.name)

    def _deliver_late(
        self,
        sender: InstanceRef,
        receiver: str,
        message: PeerMessage,
        delay_ms: float,
    ) -> None:
        peers = self.peers_by_name[receiver]
        handler = peers.handler_by_type[type(message)]
        asyncio.get_running_loop().call_later(
            (LINK_MS + delay_ms) / 1000, handler, sender, message
        )


def _answer_problems(work: Work, runs: int, *, repeatable: bool) -> list[str]:
    found: list[str] = []
    request_id = work.request.request_id
    refusals = [answer.refusal for answer in work.answers if answer.refusal]
    for answer in work.answers:
        if answer.refusal is None and answer.body != work.request.body:
            found.append(f'{request_id} got {answer.body!r}')
    acknowledged = len(refusals) < len(work.answers)
    if acknowledged and not runs and not repeatable:
        found.append(f'{request_id} was acknowledged and never ran')
    # A running attempt, or one cancelled by its caller, may have run.
    seen = not work.outcome_unseen and all(task.done() for task in work.tasks)
    not_run = seen and all(
        refusal.outcome == Outcome.not_run for refusal in refusals
    )
    if not_run and not acknowledged and runs:
        found.append(f'{request_id} was "not run" and ran')
    return found
