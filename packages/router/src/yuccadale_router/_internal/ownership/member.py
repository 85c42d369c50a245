"""One instance's role in one group: candidate, standby or leader."""

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
    InitialState,
    Origin,
    call_server,
    with_standby,
)
from yuccadale_router._internal.ownership.lease import (
    LEASE_TERM_WITH_MARGIN_MS,
    StandbyPromise,
)
from yuccadale_router._internal.ownership.initial_mapping import initial_slots
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

STANDBY_CHECK_INTERVAL_MS = 20
CANDIDATE_INTERVAL_MS = 200
# Extra delay for each better ranked peer before creating or claiming a row.
RANK_DELAY_MS = 300
LEADER_TIMEOUT_MS = 2000
PROBE_INTERVAL_MS = 200
REREAD_INTERVAL_MS = 4000
REREADING_RANKS = 3


class GroupMember:
    """Runs the instance's current role in a group."""

    def __init__(self, context: InstanceContext, group: GroupId) -> None:
        self._context = context
        self.group = group
        self.leader: GroupLeader | None = None
        self.promise: StandbyPromise | None = None
        self.replica: StandbyReplica | None = None
        self._highest_token = 0
        self._handed_over: Handover | None = None
        self._backoff = Backoff(context.rng)
        self._probes = TaskSet()
        self._probing_since: float | None = None
        self._silent_since_by_server: dict[str, float] = {}
        self._observed_write: tuple[str, float] | None = None
        self._write_number = 0
        self._stopping = False
        # Whether the row may name this instance after it stopped leading.
        self._may_be_row_leader = False
        self._reread_at = context.clock()

    @property
    def dispatcher(self) -> GroupRequests | None:
        """The group's dispatcher, None unless this instance leads."""
        if self.leader is None or self.leader.state.ended.is_set():
            return None
        return self.leader.state.requests

    async def run(self) -> None:
        """Runs the roles one after the other until cancelled."""
        try:
            while True:
                await self._step()
        finally:
            await self._probes.stop()

    async def hand_over(self) -> None:
        """Hands over the leadership and resigns as standby, before shutdown."""
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

    def leadership_learned(self, leadership: Leadership) -> None:
        """Ends this instance's leadership when another has a higher token."""
        leader = self.leader
        if leader is None or leadership.leader == self._context.me:
            return
        if leadership.token > leader.state.token:
            leader.state.end(f'{leadership.leader.name} leads')

    def promise_requested(
        self, sender: InstanceRef, message: PromiseRequest
    ) -> None:
        """Answers a leader's request for a promise."""
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
        """Applies replicated state from the leader and acknowledges it."""
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
        """Handles the standby's acknowledgement of replicated state."""
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
        """Records that the row names this instance as leader."""
        if message.token > self._highest_token:
            self._handed_over = message

    def resigned(self, sender: InstanceRef, message: Resign) -> None:
        """Records that the standby will not take over any more."""
        if self.leader is None:
            return
        standby = self.leader.state.row.standby
        if standby is not None and standby.incarnation == sender.incarnation:
            self.leader.state.standby_resigned = True

    def probe_answered(self, sender: InstanceRef, message: ProbeAnswer) -> None:
        """Handles the standby's report on a server."""
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
            await self._run_as_standby(self.promise)
        else:
            await self._run_as_candidate()

    async def _lead(self, initial: InitialState) -> None:
        self.promise = None
        self.replica = None
        self._handed_over = None
        self._silent_since_by_server.clear()
        self._probing_since = None
        self._observed_write = None
        self._highest_token = max(self._highest_token, initial.token)
        self._context.counters.count('ownership.leader_began')
        self.leader = GroupLeader(self._context, self.group, initial)
        try:
            await self.leader.run()
        finally:
            self._leadership_ended(self.leader.state.token)

    def _leadership_ended(self, token: int) -> None:
        self._highest_token = max(self._highest_token, token)
        self.leader = None
        self._may_be_row_leader = True

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

    async def _run_as_standby(self, promise: StandbyPromise) -> None:
        """Takes over once the leader has been silent for long enough."""
        await asyncio.sleep(seconds(STANDBY_CHECK_INTERVAL_MS))
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
            self._probes.start(self._probe_table())
        if promise.may_take_over():
            promise.taking_over = True
            await self._take_over(promise)

    async def _probe_table(self) -> None:
        """Reads the row, to know at the takeover if the table answers."""
        await self._context.table.read(self.group.row_name)

    async def _probe_servers(self, promise: StandbyPromise) -> None:
        """Probes the servers while the leader's lease expires."""
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
        """Takes over by a conditional write, or with the provisional token."""
        table = self._context.table
        if table.is_down() and self._may_lead_provisionally():
            await self._lead(self._provisional_state(promise))
            return
        read = await table.read(self.group.row_name)
        if read.is_error():
            await self._take_over_without_table(promise)
            return
        row = read.ok
        if row is None or not self._may_claim_row(
            decode_row(row.text), promise
        ):
            self._end_standby()
            return
        await self._write_takeover(promise, row)

    def _may_claim_row(self, row: GroupRow, promise: StandbyPromise) -> bool:
        me = self._context.me
        if row.term * 2 == promise.token and row.standby == me:
            return True
        # An earlier write of this takeover has taken effect.
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
                self._initial_state(
                    new_row, written.ok.version, new_row.token, predecessor
                )
            )
        elif written.error.kind == TableFailureKind.conflict:
            promise.taking_over = True
            await asyncio.sleep(seconds(STANDBY_CHECK_INTERVAL_MS))
        else:
            await self._take_over_without_table(promise, wrote=True)

    async def _take_over_without_table(
        self, promise: StandbyPromise, *, wrote: bool = False
    ) -> None:
        if self._may_lead_provisionally():
            await self._lead(self._provisional_state(promise))
            return
        # The write may still take effect, so no promise may be given.
        promise.taking_over = wrote
        await asyncio.sleep(self._backoff.next_delay_s())

    def _may_lead_provisionally(self) -> bool:
        replica = self.replica
        if replica is None or replica.row is None or not replica.complete:
            return False
        return replica.row.standby == self._context.me and (
            self._context.checks_grants(self.group)
        )

    def _provisional_state(self, promise: StandbyPromise) -> InitialState:
        replica = self.replica
        if replica is None or replica.row is None:
            raise RuntimeError('takeover without the table: no replica')
        return self._initial_state(
            replica.row, None, replica.row.provisional_token, replica.row.leader
        )

    def _initial_state(
        self,
        row: GroupRow,
        version: int | None,
        token: int,
        predecessor: InstanceRef,
        origin: Origin = Origin.replicated,
    ) -> InitialState:
        replica = self.replica
        if replica is None or not replica.complete:
            return InitialState(
                Origin.unknown, row, version, token, predecessor
            )
        return InitialState(
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
        """Leads at once under the row that the previous leader wrote."""
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
            self._initial_state(
                row,
                read.ok.version,
                row.token,
                predecessor,
                Origin.handed_over,
            )
        )

    async def _run_as_candidate(self) -> None:
        await sleep_jittered(CANDIDATE_INTERVAL_MS, self._context.rng)
        if self.promise is not None:
            return
        if self._is_led() and not self._should_reread_row():
            self._observed_write = None
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
            await self._evaluate_row(read.ok)

    def _should_reread_row(self) -> bool:
        """Says whether to read the row although its leader seems alive.

        An instance that stopped leading may claim its own row again. Other
        leaders may have stopped without notice, so the best ranked instances
        read the row from time to time; only these few, so that the number of
        reads does not grow with the instances.
        """
        if self._may_be_row_leader:
            return True
        now = self._context.clock()
        if self._own_rank() >= REREADING_RANKS or now < self._reread_at:
            return False
        self._reread_at = now + REREAD_INTERVAL_MS * self._context.rng.uniform(
            1 / 2, 3 / 2
        )
        return True

    def _is_led(self) -> bool:
        """Says whether the known leader or its standby is alive."""
        leadership = self._context.leaderships.leadership(self.group)
        if leadership is None:
            return False
        known = [leadership.leader]
        if leadership.standby is not None:
            known.append(leadership.standby)
        return any(self._is_alive(instance) for instance in known)

    def _is_alive(self, instance: InstanceRef) -> bool:
        if instance.name == self._context.me.name:
            return False
        if instance.data_centre != self.group.data_centre:
            # It only wrote the row to release the slots of a lost data
            # centre, and does not lead the group.
            return False
        if self._context.has_ended(instance):
            return False
        silence_ms = self._context.peers.silence_ms(instance.name)
        return silence_ms < LEADER_TIMEOUT_MS

    async def _evaluate_row(self, read: Row) -> None:
        row = decode_row(read.text)
        me = self._context.me
        self._may_be_row_leader = row.leader == me
        if row.leader != me:
            self._context.leaderships.learn(
                Leadership(self.group, row.token, row.leader, row.standby)
            )
        if row.standby == me:
            if self.promise is None and row.token >= self._highest_token:
                self._begin_standby(row.token)
        elif self._is_unclaimed(row):
            await self._claim_unchanged_row(read, row)
        else:
            # The instance list may not show yet that leader and standby ended;
            # reading the row more often gains nothing.
            await sleep_jittered(SUSPICION_TIMEOUT_MS, self._context.rng)

    def _is_unclaimed(self, row: GroupRow) -> bool:
        """Says whether an instance other than the standby may claim the row."""
        if row.leader == self._context.me:
            # This process stopped leading; a live standby is faster.
            return True
        if row.standby is None:
            return not self._is_alive(row.leader)
        return self._context.has_ended(row.leader) and self._context.has_ended(
            row.standby
        )

    async def _claim_unchanged_row(self, read: Row, row: GroupRow) -> None:
        """Claims a row that has not changed for one lease term."""
        now = self._context.clock()
        if (
            self._observed_write is None
            or self._observed_write[0] != read.write_id
        ):
            self._observed_write = (read.write_id, now)
            return
        rank_delay_ms = self._own_rank() * RANK_DELAY_MS
        if (
            now - self._observed_write[1]
            < LEASE_TERM_WITH_MARGIN_MS + rank_delay_ms
        ):
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
                InitialState(
                    Origin.unknown,
                    new_row,
                    written.ok.version,
                    new_row.token,
                    row.leader,
                )
            )

    def _own_rank(self) -> int:
        """Counts the live peers that rank before this instance."""
        mine = rank(self.group, self._context.me.name)
        return sum(
            rank(self.group, peer.name) < mine
            for peer in self._context.local_peers()
        )

    async def _create_row(self) -> None:
        """Creates the group's row; of several instances one write succeeds."""
        await sleep_jittered(
            RANK_DELAY_MS * self._own_rank(), self._context.rng
        )
        row = await self._new_row()
        if row is None:
            return
        written = await self._write(row, 0)
        if written.is_ok():
            await self._lead(
                InitialState(Origin.created, row, written.ok.version, row.token)
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
        slots = await initial_slots(
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
            f'{self._write_number}/{self._context.rng.getrandbits(32):x}'
        )
        return await self._context.table.write(
            self.group.row_name, encode_row(row), version, write_id
        )
