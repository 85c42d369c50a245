"""One instance's part in one group: candidate, standby or leader."""

import asyncio

from expression import Result

from yuccadale_core.instances import GroupId, InstanceRef, Leadership
from yuccadale_core.mapping import build_group_map
from yuccadale_core.messages import (
    Handover,
    ProbeAnswer,
    Promise,
    PromiseRequest,
    Replicate,
    ReplicateAck,
    Resign,
)
from yuccadale_core.platform import Row, TableFailure, TableFailureKind
from yuccadale_core.timing import (
    STANDBY_TIMEOUT_MS,
    SUSPICION_TIMEOUT_MS,
    milliseconds,
    seconds,
)
from yuccadale_router._internal.contracts import (
    Candidate,
    GroupRequests,
    ServerState,
)
from yuccadale_router._internal.ownership import recording
from yuccadale_router._internal.ownership.context import (
    InstanceContext,
    TaskSet,
    rank,
)
from yuccadale_router._internal.ownership.leader import GroupLeader
from yuccadale_router._internal.ownership.leader_state import (
    Inheritance,
    Origin,
    call_server,
    with_standby,
)
from yuccadale_router._internal.ownership.lease import (
    FOREIGN_TERM_MS,
    StandbyPromise,
)
from yuccadale_router._internal.ownership.origin import first_slots
from yuccadale_router._internal.ownership.pacing import (
    Backoff,
    sleep_jittered,
)
from yuccadale_router._internal.ownership.replication import StandbyReplica
from yuccadale_router._internal.ownership.rows import (
    MAX_SERVERS,
    GroupRow,
    decode_row,
    encode_row,
)

STANDBY_TICK_MS = 20
CANDIDATE_INTERVAL_MS = 200
# Lower ranks wait this much longer before they create a group's row.
RANK_DELAY_MS = 300
LEADER_SILENCE_MS = 2000
PROBE_INTERVAL_MS = 200
LOOK_INTERVAL_MS = 4000
LOOKING_RANKS = 3


class GroupMember:
    """Follows a group, and leads it while the row or the rules say so."""

    def __init__(self, context: InstanceContext, group: GroupId) -> None:
        self._context = context
        self.group = group
        self.leader: GroupLeader | None = None
        self.promise: StandbyPromise | None = None
        self.replica: StandbyReplica | None = None
        self._highest_token = 0
        self._handed_over: Handover | None = None
        self._backoff = Backoff(context.chooser)
        self._probes = TaskSet()
        self._probing_since: float | None = None
        self._silent_since_by_server: dict[str, float] = {}
        self._watched: tuple[str, float] | None = None
        self._write_number = 0
        self._stopping = False
        # Whether the row may still name this instance as leader.
        self._gave_up = False
        self._look_at = context.clock()

    @property
    def dispatcher(self) -> GroupRequests | None:
        """The group's dispatcher while this instance leads."""
        if self.leader is None or self.leader.state.ended.is_set():
            return None
        return self.leader.state.requests

    async def run(self) -> None:
        """Takes part in the group until cancelled."""
        try:
            while True:
                await self._step()
        finally:
            await self._probes.stop()

    async def hand_over(self) -> None:
        """Gives up both roles before the process ends."""
        self._stopping = True
        leader = self.leader
        if leader is not None and not leader.state.ended.is_set():
            if not await leader.hand_over():
                leader.state.end('shutting down')
        promise = self.promise
        leadership = self._context.leaderships.leadership(self.group)
        if promise is not None and leadership is not None:
            promise.resigned = True
            self._context.peers.send(
                leadership.leader.name, Resign(self.group, promise.token)
            )

    def learned(self, leadership: Leadership) -> None:
        """Ends the own leadership when a higher token is known."""
        leader = self.leader
        if leader is None or leadership.leader == self._context.me:
            return
        if leadership.token > leader.state.token:
            leader.state.end(f'{leadership.leader.name} leads')

    def promise_requested(
        self, sender: InstanceRef, message: PromiseRequest
    ) -> None:
        """Answers a leader."""
        granted = self._give_promise(message.token)
        self._context.peers.send(
            sender.name,
            Promise(
                self.group,
                message.token,
                message.number,
                granted=granted,
                highest_token=self._highest_token,
            ),
        )

    def promise_received(self, sender: InstanceRef, message: Promise) -> None:
        """Passes the standby's answer to the leader."""
        if self.leader is not None:
            self.leader.promise_received(sender.incarnation, message)

    def replicated(self, sender: InstanceRef, message: Replicate) -> None:
        """Takes state from the leader."""
        replica = self.replica
        accepted = (
            replica is not None
            and self._follows(message.token)
            and replica.apply(message)
        )
        self._context.peers.send(
            sender.name,
            ReplicateAck(
                self.group, message.token, message.number, accepted=accepted
            ),
        )

    def replication_acknowledged(
        self, sender: InstanceRef, message: ReplicateAck
    ) -> None:
        """Takes the standby's acknowledgement."""
        if self.leader is None:
            return
        standby = self.leader.state.row.standby
        if standby is not None and standby.incarnation == sender.incarnation:
            recording.acknowledged(
                self.leader.state,
                message.token,
                message.number,
                accepted=message.accepted,
            )

    def handed_over(self, sender: InstanceRef, message: Handover) -> None:
        """Notes that the row names this instance as leader."""
        if message.token > self._highest_token:
            self._handed_over = message

    def resigned(self, sender: InstanceRef, message: Resign) -> None:
        """Notes that the standby will never take over."""
        if self.leader is None:
            return
        standby = self.leader.state.row.standby
        if standby is not None and standby.incarnation == sender.incarnation:
            self.leader.state.standby_resigned = True

    def probe_answered(self, sender: InstanceRef, message: ProbeAnswer) -> None:
        """Takes the standby's report on a server."""
        if self.leader is None:
            return
        standby = self.leader.state.row.standby
        if standby is not None and standby.incarnation == sender.incarnation:
            self.leader.state.membership.probe_answered(
                message.server, message.number, reached=message.reached
            )

    async def _step(self) -> None:
        if self._stopping:
            await asyncio.sleep(seconds(CANDIDATE_INTERVAL_MS))
        elif self._handed_over is not None:
            await self._accept_handover(self._handed_over)
        elif self.promise is not None:
            await self._stand_by(self.promise)
        else:
            await self._be_candidate()

    async def _lead(self, start: Inheritance) -> None:
        self.promise = None
        self.replica = None
        self._handed_over = None
        self._silent_since_by_server.clear()
        self._probing_since = None
        self._watched = None
        self._highest_token = max(self._highest_token, start.token)
        self._context.counters.count('ownership.leader_began')
        self.leader = GroupLeader(self._context, self.group, start)
        try:
            await self.leader.run()
        finally:
            self._forget_leader(self.leader.state.token)

    def _forget_leader(self, token: int) -> None:
        self._highest_token = max(self._highest_token, token)
        self.leader = None
        self._gave_up = True

    def _follows(self, token: int) -> bool:
        promise = self.promise
        return (
            promise is not None
            and promise.token == token
            and not promise.taking_over
        )

    def _give_promise(self, token: int) -> bool:
        leader = self.leader
        if leader is not None and not leader.state.ended.is_set():
            self._highest_token = max(self._highest_token, leader.state.token)
            if token > leader.state.token:
                leader.state.end(f'another instance leads with token {token}')
            return False
        if token < self._highest_token:
            return False
        promise = self.promise
        if promise is None or promise.token < token:
            self._begin_standby(token)
        return self.promise is not None and self.promise.give(token)

    def _begin_standby(self, token: int) -> None:
        self._highest_token = token
        service = self._context.service(self.group)
        window_s = service.retry_window_s if service else 0
        self.promise = StandbyPromise(self._context.clock, token)
        self.replica = StandbyReplica(
            self._context.clock, token, milliseconds(window_s)
        )

    def _end_standby(self) -> None:
        self.promise = None
        self.replica = None
        self._probing_since = None
        self._silent_since_by_server.clear()

    async def _stand_by(self, promise: StandbyPromise) -> None:
        """Waits for the leader's silence."""
        await asyncio.sleep(seconds(STANDBY_TICK_MS))
        if promise is not self.promise:
            return
        silence_ms = promise.silence_ms()
        if silence_ms < STANDBY_TIMEOUT_MS:
            self._probing_since = None
            self._silent_since_by_server.clear()
            return
        if self._probing_since is None:
            self._probing_since = self._context.clock()
            self._probes.start(self._probe_servers(promise))
            self._probes.start(self._read_ahead())
        if promise.may_take_over():
            promise.taking_over = True
            await self._take_over(promise)

    async def _read_ahead(self) -> None:
        """Finds out before the takeover whether the table answers."""
        await self._context.table.read(self.group.row_name)

    async def _probe_servers(self, promise: StandbyPromise) -> None:
        """Asks the servers in parallel with the end of the lease."""
        replica = self.replica
        if replica is None or replica.row is None:
            return
        servers = list(replica.row.server_by_name.values())
        self._silent_since_by_server = {
            server.name: self._context.clock() for server in servers
        }
        while self.promise is promise and self._probing_since is not None:
            for server in servers:
                self._probes.start(self._probe_once(server.name, promise))
            await asyncio.sleep(seconds(PROBE_INTERVAL_MS))

    async def _probe_once(
        self, server_name: str, promise: StandbyPromise
    ) -> None:
        replica = self.replica
        if replica is None or replica.row is None:
            return
        server = replica.row.server_by_name.get(server_name)
        if server is None:
            return
        target = self._context.target_factory(server)
        if (await call_server(target.hello())).is_ok():
            self._silent_since_by_server.pop(server_name, None)

    async def _take_over(self, promise: StandbyPromise) -> None:
        """Becomes leader by a conditional write, or by the odd token."""
        table = self._context.table
        if table.is_down() and self._may_take_odd():
            await self._lead(self._odd_start(promise))
            return
        read = await table.read(self.group.row_name)
        if read.is_error():
            await self._take_over_without_table(promise)
            return
        row = read.ok
        if row is None or not self._may_take(decode_row(row.text), promise):
            self._end_standby()
            return
        await self._write_takeover(promise, row)

    def _may_take(self, row: GroupRow, promise: StandbyPromise) -> bool:
        me = self._context.me
        if row.term * 2 == promise.token and row.standby == me:
            return True
        # An earlier write of this takeover took effect.
        return row.leader == me and row.term * 2 > promise.token

    async def _write_takeover(self, promise: StandbyPromise, read: Row) -> None:
        row = decode_row(read.text)
        replica = self.replica
        start_row = row
        replicated = replica is not None and replica.complete
        if replica is not None and replica.row is not None and replicated:
            start_row = replica.row
        predecessor = start_row.leader
        new_row = with_standby(
            start_row,
            self._context.me,
            self._context.choose_standby(
                self.group, excluded=frozenset((row.leader.name,))
            ),
            row.term + 1,
        )
        written = await self._write(new_row, read.version)
        if written.is_ok():
            await self._lead(
                self._inheritance(
                    new_row, written.ok.version, new_row.token, predecessor
                )
            )
        elif written.error.kind == TableFailureKind.conflict:
            promise.taking_over = True
            await asyncio.sleep(seconds(STANDBY_TICK_MS))
        else:
            await self._take_over_without_table(promise, wrote=True)

    async def _take_over_without_table(
        self, promise: StandbyPromise, *, wrote: bool = False
    ) -> None:
        if self._may_take_odd():
            await self._lead(self._odd_start(promise))
            return
        # After a write with an unknown outcome no promise may be given.
        promise.taking_over = wrote
        await asyncio.sleep(self._backoff.next_delay_s())

    def _may_take_odd(self) -> bool:
        replica = self.replica
        if replica is None or replica.row is None or not replica.complete:
            return False
        return replica.row.standby == self._context.me and (
            self._context.checks_grants(self.group)
        )

    def _odd_start(self, promise: StandbyPromise) -> Inheritance:
        replica = self.replica
        if replica is None or replica.row is None:
            raise RuntimeError('an odd takeover needs a complete replica')
        return self._inheritance(
            replica.row, None, replica.row.odd_token, replica.row.leader
        )

    def _inheritance(
        self,
        row: GroupRow,
        version: int | None,
        token: int,
        predecessor: InstanceRef,
        origin: Origin = Origin.replicated,
    ) -> Inheritance:
        replica = self.replica
        if replica is None or not replica.complete:
            return Inheritance(Origin.unknown, row, version, token, predecessor)
        return Inheritance(
            origin=origin,
            row=row,
            version=version,
            token=token,
            predecessor=predecessor,
            records=replica.export_records(),
            silent_servers=dict(self._silent_since_by_server),
            other_rows=tuple(replica.other_rows),
            moves=tuple(replica.moves),
            unconfirmed=replica.unconfirmed,
            incomplete=replica.incomplete,
        )

    async def _accept_handover(self, message: Handover) -> None:
        """Leads at once by the row that the earlier leader wrote."""
        read = await self._context.table.read(self.group.row_name)
        if read.is_error():
            await asyncio.sleep(self._backoff.next_delay_s())
            return
        self._handed_over = None
        if read.ok is None:
            return
        row = decode_row(read.ok.text)
        if row.leader != self._context.me or row.token != message.token:
            return
        replica = self.replica
        predecessor = replica.row.leader if replica and replica.row else None
        if predecessor is None:
            self._end_standby()
            return
        await self._lead(
            self._inheritance(
                row,
                read.ok.version,
                row.token,
                predecessor,
                Origin.handed_over,
            )
        )

    async def _be_candidate(self) -> None:
        await sleep_jittered(CANDIDATE_INTERVAL_MS, self._context.chooser)
        if self.promise is not None:
            return
        if self._is_led() and not self._looks_anyway():
            self._watched = None
            return
        read = await self._context.table.read(self.group.row_name)
        if read.is_error():
            await asyncio.sleep(self._backoff.next_delay_s())
            return
        self._backoff.reset()
        if self.promise is not None or self._stopping:
            return
        if read.ok is None:
            await self._create_row()
        else:
            await self._consider_row(read.ok)

    def _looks_anyway(self) -> bool:
        """Says whether to read the row although its leader seems alive.

        A leader that gave up takes its own row again. A live process may
        also have stopped leading without telling; a few instances by rank
        look now and then, so that the reads do not grow with the instances.
        """
        if self._gave_up:
            return True
        now = self._context.clock()
        if self._own_rank() >= LOOKING_RANKS or now < self._look_at:
            return False
        self._look_at = now + LOOK_INTERVAL_MS * self._context.chooser.uniform(
            1 / 2, 3 / 2
        )
        return True

    def _is_led(self) -> bool:
        """Says whether the known leader or its standby still shows life."""
        leadership = self._context.leaderships.leadership(self.group)
        if leadership is None:
            return False
        known = [leadership.leader]
        if leadership.standby is not None:
            known.append(leadership.standby)
        return any(self._shows_life(instance) for instance in known)

    def _shows_life(self, instance: InstanceRef) -> bool:
        if instance.name == self._context.me.name:
            return False
        if instance.data_centre != self.group.data_centre:
            # It released the slots of a lost data centre and leads nothing.
            return False
        if self._context.is_gone(instance):
            return False
        silence_ms = self._context.peers.silence_ms(instance.name)
        return silence_ms < LEADER_SILENCE_MS

    async def _consider_row(self, read: Row) -> None:
        row = decode_row(read.text)
        me = self._context.me
        self._gave_up = row.leader == me
        if row.leader != me:
            self._context.leaderships.learn(
                Leadership(self.group, row.token, row.leader, row.standby)
            )
        if row.standby == me:
            if self.promise is None and row.token >= self._highest_token:
                self._begin_standby(row.token)
        elif self._is_free(row):
            await self._take_after_watch(read, row)
        else:
            # The list lags; asking the table more often finds nothing new.
            await sleep_jittered(SUSPICION_TIMEOUT_MS, self._context.chooser)

    def _is_free(self, row: GroupRow) -> bool:
        """Says whether an instance without a role may take the row."""
        if row.leader == self._context.me:
            # This process gave up; a standby that lives takes over sooner.
            return True
        if row.standby is None:
            return not self._shows_life(row.leader)
        return self._context.is_gone(row.leader) and self._context.is_gone(
            row.standby
        )

    async def _take_after_watch(self, read: Row, row: GroupRow) -> None:
        """Takes a row that did not change for one term."""
        now = self._context.clock()
        if self._watched is None or self._watched[0] != read.write_id:
            self._watched = (read.write_id, now)
            return
        rank_delay_ms = self._own_rank() * RANK_DELAY_MS
        if now - self._watched[1] < FOREIGN_TERM_MS + rank_delay_ms:
            return
        new_row = with_standby(
            row,
            self._context.me,
            self._context.choose_standby(self.group, excluded=frozenset()),
            row.term + 1,
        )
        written = await self._write(new_row, read.version)
        if written.is_ok():
            await self._lead(
                Inheritance(
                    Origin.unknown,
                    new_row,
                    written.ok.version,
                    new_row.token,
                    row.leader,
                )
            )

    def _own_rank(self) -> int:
        """Counts the live peers that should come first for this group."""
        mine = rank(self.group, self._context.me.name)
        return sum(
            rank(self.group, peer.name) < mine
            for peer in self._context.local_peers()
        )

    async def _create_row(self) -> None:
        """Creates the group's row; the conditional write decides who."""
        await sleep_jittered(
            RANK_DELAY_MS * self._own_rank(), self._context.chooser
        )
        row = await self._new_row()
        if row is None:
            return
        written = await self._write(row, 0)
        if written.is_ok():
            await self._lead(
                Inheritance(Origin.created, row, written.ok.version, row.token)
            )

    async def _new_row(self) -> GroupRow | None:
        context = self._context
        service = context.service(self.group)
        listed = context.listed_servers(self.group)
        servers = {
            name: entry.ref
            for name, entry in sorted(listed.items())[:MAX_SERVERS]
            if not entry.leaving
        }
        if service is None or not servers:
            return None
        group_map = build_group_map(context.declaration, service)
        if self.group not in group_map.groups:
            return None
        slots = await first_slots(
            context.table,
            context.declaration,
            service,
            self.group,
            f'{context.holder}/origin/{service.name}',
        )
        if slots is None:
            return None
        assignment = context.placement_factory(self.group).assign(
            slots,
            [
                Candidate(server.name, server.rack, ServerState.live)
                for server in servers.values()
            ],
        )
        return GroupRow(
            term=1,
            leader=context.me,
            standby=context.choose_standby(self.group, excluded=frozenset()),
            server_by_name=servers,
            owner_by_slot=dict(assignment.owner_by_slot),
            successor_by_slot=dict(assignment.successor_by_slot),
        )

    async def _write(
        self, row: GroupRow, version: int
    ) -> Result[Row, TableFailure]:
        self._write_number += 1
        write_id = (
            f'{self._context.holder}/{row.token}/member/'
            f'{self._write_number}/{self._context.chooser.getrandbits(32):x}'
        )
        return await self._context.table.write(
            self.group.row_name, encode_row(row), version, write_id
        )
