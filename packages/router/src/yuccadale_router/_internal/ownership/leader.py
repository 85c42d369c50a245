"""The leader of one group: its background tasks and send permissions."""

import asyncio
from typing import TypeVar

from expression import Result

from yuccadale_core.codes import ResultCode
from yuccadale_core.instances import GroupId, InstanceRef
from yuccadale_core.messages import (
    Handover,
    Promise,
    PromiseRequest,
    RecordChange,
)
from yuccadale_core.refusals import Refusal
from yuccadale_core.timing import (
    PROMISE_INTERVAL_MS,
    LEASE_TERM_MS,
    STANDBY_TIMEOUT_MS,
    seconds,
)
from yuccadale_router._internal.contracts import (
    MoveProposal,
    SendPermit,
    ServerObservation,
    Tenure,
)
from yuccadale_router._internal.ownership import moving, recording
from yuccadale_router._internal.ownership.activation import initialize_slots
from yuccadale_router._internal.ownership.context import InstanceContext
from yuccadale_router._internal.ownership.granting import run_server
from yuccadale_router._internal.ownership.exchange import (
    resume_leaving,
    run_exchange,
)
from yuccadale_router._internal.ownership.leader_state import (
    InitialState,
    LeaderState,
    Origin,
    wait_duration,
    wait_until,
    with_standby,
)
from yuccadale_router._internal.ownership.lease import LEASE_TERM_WITH_MARGIN_MS
from yuccadale_router._internal.ownership.pacing import Backoff
from yuccadale_router._internal.ownership.pinning import (
    effective_slot,
    update_pins,
)
from yuccadale_router._internal.ownership.rows import decode_row

TABLE_LEASE_INTERVAL_MS = 300
MAINTENANCE_INTERVAL_MS = 50
PLAN_INTERVAL_MS = 1000
GAP_WAIT_MS = 500
RETRY_AFTER_S = 0.2
# Heartbeats of an instance that handed over may arrive for this long.
LEAVING_MS = 3000
# Minimum age of a leadership before it is handed over for a bad server link, so
# that two instances do not hand the group to each other repeatedly.
LINK_HANDOVER_PAUSE_MS = 10_000

_Permitted = TypeVar('_Permitted')


class GroupLeader:
    """Leads a group under one token; implements ``GroupOwnership``."""

    def __init__(
        self, context: InstanceContext, group: GroupId, initial: InitialState
    ) -> None:
        self.state = LeaderState(context, group, initial)
        self._context = context
        self._backoff = Backoff(context.rng)

    async def run(self) -> None:
        """Runs the leader's tasks until the leadership ends."""
        state = self.state
        requests = self._context.requests_factory(state.group, self)
        state.requests = requests
        if state.initial.records:
            requests.import_records(state.initial.records)
        for server in state.row.server_by_name.values():
            requests.server_added(
                server, cold=state.initial.origin == Origin.created
            )
        self._begin()
        try:
            await state.ended.wait()
        finally:
            state.end('stopped')
            await state.tasks.stop()

    def effective_slot(self, slot: int, key: str) -> int:
        """Returns the slot of the key's pin, or ``slot`` when it has none."""
        return effective_slot(self.state.row, slot, key)

    def permit(self, slot: int) -> Result[SendPermit, Refusal]:
        """Checks whether a request for the slot may be sent now."""
        state = self.state
        if state.ended.is_set():
            return self._refuse(ResultCode.not_leader, state.end_reason)
        owner = state.row.owner_by_slot.get(slot)
        if owner is None:
            refusal = Refusal(
                ResultCode.slot_not_ours,
                state.where,
                f'slot {slot}',
                RETRY_AFTER_S,
                state.other_group_by_slot.get(slot),
            )
            return Result.Error(refusal)
        if slot in state.slot_tracker.target_by_slot:
            return self._refuse(ResultCode.slot_moving, f'slot {slot}')
        if slot in state.slot_tracker.undecided:
            return self._refuse(ResultCode.slot_not_ready, f'slot {slot}')
        if state.checks_grants:
            if not state.ledger.may_use(owner, slot):
                return self._refuse(
                    ResultCode.slot_not_ready, f'no grant at {owner}'
                )
        elif not state.lease.is_valid():
            return self._refuse(ResultCode.lease_ended, f'slot {slot}')
        return Result.Ok(
            SendPermit(state.row.server_by_name[owner], state.token)
        )

    def tenure(self, slot: int) -> Tenure:
        """Returns how far back the slot's idempotency records reach."""
        return self.state.slot_tracker.tenure(slot)

    async def replicate(
        self, server_name: str, changes: list[RecordChange]
    ) -> Result[None, Refusal]:
        """Replicates record changes to the standby.

        Without its acknowledgement, the server must have accepted a grant
        that marks the gap in the records.
        """
        state = self.state
        if state.ended.is_set():
            return self._refuse(ResultCode.not_leader, state.end_reason)
        if state.row.standby is None:
            # The next leader has no records and starts new tenures.
            return Result.Ok(None)
        if state.standby is not None and await recording.replicate_records(
            state, changes
        ):
            return Result.Ok(None)
        if not state.checks_grants:
            return self._refuse(
                ResultCode.lease_ended, 'the standby has no record'
            )
        state.ledger.mark_gap(server_name)
        state.trigger_grant(server_name)
        marked = await wait_until(
            lambda: state.ledger.gap_accepted(server_name), state, GAP_WAIT_MS
        )
        if marked:
            self._context.counters.count('ownership.gap_marked')
            return Result.Ok(None)
        return self._refuse(ResultCode.slot_not_ready, 'gap not accepted')

    def report_observation(
        self, server_name: str, observation: ServerObservation
    ) -> None:
        """Updates the server's state from the result of a request."""
        if server_name not in self.state.row.server_by_name:
            return
        if observation.reached:
            self.state.membership.answer_received(
                server_name, draining=observation.draining or None
            )
        if observation.token_refused:
            self.state.trigger_grant(server_name)

    def promise_received(self, incarnation: str, message: Promise) -> None:
        """Handles the standby's answer to a promise request."""
        state = self.state
        standby = state.row.standby
        if message.highest_token > state.token:
            state.end(f'the standby knows token {message.highest_token}')
        if standby is None or incarnation != standby.incarnation:
            return
        if message.token == state.token and message.granted:
            state.lease.promise_received(message.number)

    async def hand_over(self) -> bool:
        """Hands the group to the standby; true once the row names it leader."""
        state = self.state
        standby = state.row.standby
        if standby is None or state.is_provisional or state.handing_over:
            return False
        state.handing_over = True
        await state.dispatcher.drain()
        await wait_until(state.log.is_idle, state, STANDBY_TIMEOUT_MS)
        handed_over = False
        if state.log.is_idle() and not state.slot_tracker.target_by_slot:
            async with state.lock:
                handed_over = await self._write_handover()
        # A drained dispatcher cannot accept work again. If the handover
        # failed, the standby takes over when the lease has expired.
        state.end('handed over' if handed_over else 'handover failed')
        return handed_over

    async def _write_handover(self) -> bool:
        state = self.state
        standby = state.row.standby
        if standby is None or state.standby_change_unresolved():
            return False
        if state.version is None:
            return False
        next_standby = self._context.choose_standby(
            state.group,
            excluded=frozenset((standby.name, self._context.me.name)),
        )
        state.lease.stop_extending()
        row = with_standby(state.row, standby, next_standby, state.row.term + 1)
        state.highest_term = row.term
        written = await state.write_row(row)
        if written.is_error():
            return False
        self._context.peers.send(
            standby.name,
            Handover(state.group, row.token, written.ok.version),
        )
        return True

    def _begin(self) -> None:
        state = self.state
        for name, since in state.initial.silent_servers.items():
            state.membership.silent_since(name, since)
        for row in state.initial.other_rows:
            for slot, successor in row.successor_by_slot.items():
                state.other_successors.setdefault(slot, set()).add(successor)
        initialize_slots(state)
        resume_leaving(state)
        state.announce()
        state.tasks.start(recording.run_replication(state))
        state.tasks.start(self._renew_lease())
        state.tasks.start(self._run_server_tasks())
        state.tasks.start(self._maintain_servers())
        state.tasks.start(self._run_planned_changes())
        state.tasks.start(run_exchange(state))
        if state.is_provisional:
            state.tasks.start(self._commit_provisional_takeover())

    async def _renew_lease(self) -> None:
        """Requests promises, or writes the row when there is no standby."""
        state = self.state
        while not state.ended.is_set():
            if state.is_provisional:
                await asyncio.sleep(seconds(PROMISE_INTERVAL_MS))
            elif state.row.standby is None:
                await self._renew_by_table()
            else:
                await self._request_promise()

    async def _request_promise(self) -> None:
        state = self.state
        standby = state.row.standby
        if standby is None:
            return
        self._context.peers.send(
            standby.name,
            PromiseRequest(
                state.group, state.token, state.lease.begin_request()
            ),
        )
        await asyncio.sleep(seconds(PROMISE_INTERVAL_MS))
        silence_ms = self._context.clock() - state.lease.last_renewed_at
        # A new standby reads the row before its first promise. There is no
        # lease yet, so an early replacement gains nothing; on a loaded machine
        # it would repeat twice a second.
        limit_ms = STANDBY_TIMEOUT_MS if state.lease.began else LEASE_TERM_MS
        if silence_ms < limit_ms and not state.standby_resigned:
            return
        if state.handing_over:
            return
        excluded = self._leaving_instance_names() | {standby.name}
        replacement = self._context.choose_standby(
            state.group, excluded=excluded
        )
        if replacement is None:
            # A restarted process has the same name and another incarnation.
            replacement = self._restarted_peer(standby.name)
        state.tasks.start(self._replace_standby(replacement))
        await asyncio.sleep(self._backoff.next_delay_s())

    def _leaving_instance_names(self) -> frozenset[str]:
        """Returns the name of the instance that just handed over the group.

        It is about to end, but its heartbeats may still show it as live.
        """
        initial = self.state.initial
        age_ms = self._context.clock() - self.state.started_at
        if initial.origin != Origin.handed_over or initial.predecessor is None:
            return frozenset()
        if age_ms >= LEAVING_MS:
            return frozenset()
        return frozenset((initial.predecessor.name,))

    def _restarted_peer(self, name: str) -> InstanceRef | None:
        standby = self.state.row.standby
        for peer in self._context.local_peers():
            if peer.name == name and peer != standby:
                return peer
        return None

    async def _replace_standby(self, replacement: InstanceRef | None) -> None:
        if await recording.change_standby(self.state, replacement):
            self._backoff.reset()

    async def _renew_by_table(self) -> None:
        state = self.state
        replacement = self._context.choose_standby(
            state.group, excluded=self._leaving_instance_names()
        )
        if replacement is not None or state.standby_change_unresolved():
            done = await recording.change_standby(state, replacement)
        else:
            done = await recording.renew_by_table(state)
        if done:
            self._backoff.reset()
            await asyncio.sleep(seconds(TABLE_LEASE_INTERVAL_MS))
        else:
            await asyncio.sleep(self._backoff.next_delay_s())

    async def _run_server_tasks(self) -> None:
        """Runs one grant task for each server of the row."""
        state = self.state
        running: dict[str, asyncio.Task[None]] = {}
        while not state.ended.is_set():
            for name in state.row.server_by_name:
                if name not in running or running[name].done():
                    running[name] = state.tasks.start(run_server(state, name))
            state.members_changed.clear()
            await state.members_changed.wait()

    async def _maintain_servers(self) -> None:
        """Detects lost servers and moves their slots."""
        state = self.state
        if state.initial.origin == Origin.unknown:
            # The previous leader may have renewed its lease until just now.
            await wait_duration(state, LEASE_TERM_WITH_MARGIN_MS)
        while not state.ended.is_set():
            moving.request_probes(state)
            await moving.activate_decided_slots(state)
            await moving.move_lost_slots(state)
            await moving.finish_interrupted_moves(state)
            await self._hand_over_bad_link()
            await asyncio.sleep(seconds(MAINTENANCE_INTERVAL_MS))

    async def _hand_over_bad_link(self) -> None:
        """Hands over when the standby reaches a server that this leader cannot.

        Then the server's slots need not move.
        """
        state = self.state
        age_ms = self._context.clock() - state.started_at
        if age_ms < LINK_HANDOVER_PAUSE_MS or not state.may_move():
            return
        if any(
            state.membership.reached_only_by_standby(name)
            for name in state.row.server_by_name
        ):
            self._context.counters.count('ownership.link_handover')
            await self.hand_over()

    async def _run_planned_changes(self) -> None:
        """Updates members, successors and pins, and starts planned moves."""
        state = self.state
        while not state.ended.is_set():
            delay_ms = PLAN_INTERVAL_MS * self._context.rng.uniform(0.5, 1)
            await asyncio.sleep(seconds(delay_ms))
            if not await recording.write_pending_row(state):
                await asyncio.sleep(self._backoff.next_delay_s())
                continue
            await moving.update_members(state)
            await moving.update_successors(state)
            await update_pins(state)
            for proposal in moving.planned_moves(state):
                state.moving.add(proposal.slot)
                state.tasks.start(self._move(proposal))

    async def _move(self, proposal: MoveProposal) -> None:
        try:
            await moving.move_planned(self.state, proposal)
        finally:
            self.state.moving.discard(proposal.slot)

    async def _commit_provisional_takeover(self) -> None:
        """Writes the row once the table is available again."""
        state = self.state
        while state.is_provisional and not state.ended.is_set():
            await asyncio.sleep(self._backoff.next_delay_s())
            read = await self._context.table.read(state.group.row_name)
            if read.is_error() or read.ok is None:
                continue
            row = decode_row(read.ok.text)
            mine = row.leader == self._context.me
            if not mine and row.term != state.row.term:
                state.end('another instance wrote the row')
                return
            standby = self._context.choose_standby(
                state.group, excluded=frozenset((row.leader.name,))
            )
            await recording.commit_provisional_takeover(
                state,
                with_standby(
                    state.row, self._context.me, standby, row.term + 1
                ),
                read.ok.version,
            )
        self._backoff.reset()

    def _refuse(
        self, code: ResultCode, detail: str
    ) -> Result[_Permitted, Refusal]:
        return Result.Error(
            Refusal(code, self.state.where, detail, RETRY_AFTER_S)
        )
