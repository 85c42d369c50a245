"""The leader of one group: its tasks, and what its dispatcher asks of it."""

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
    ServerSight,
    Tenure,
)
from yuccadale_router._internal.ownership import moving, recording
from yuccadale_router._internal.ownership.activation import begin_slots
from yuccadale_router._internal.ownership.context import InstanceContext
from yuccadale_router._internal.ownership.granting import run_server
from yuccadale_router._internal.ownership.exchange import (
    resume_leaving,
    run_exchange,
)
from yuccadale_router._internal.ownership.leader_state import (
    Inheritance,
    LeaderState,
    Origin,
    wait_out,
    wait_until,
    with_standby,
)
from yuccadale_router._internal.ownership.lease import FOREIGN_TERM_MS
from yuccadale_router._internal.ownership.pacing import Backoff
from yuccadale_router._internal.ownership.pinning import (
    effective_slot,
    renew_pins,
)
from yuccadale_router._internal.ownership.rows import decode_row

TABLE_LEASE_INTERVAL_MS = 300
TEND_INTERVAL_MS = 50
PLAN_INTERVAL_MS = 1000
GAP_WAIT_MS = 500
RETRY_AFTER_S = 0.2
# How long an instance that handed over may still look alive.
LEAVING_MS = 3000
# Leadership goes to the standby at most this often for a bad server link.
LINK_HANDOVER_PAUSE_MS = 10_000

_Permitted = TypeVar('_Permitted')


class GroupLeader:
    """Runs one leadership; implements ``GroupOwnership``."""

    def __init__(
        self, context: InstanceContext, group: GroupId, start: Inheritance
    ) -> None:
        self.state = LeaderState(context, group, start)
        self._context = context
        self._backoff = Backoff(context.chooser)

    async def run(self) -> None:
        """Leads until the leadership ends."""
        state = self.state
        requests = self._context.requests_factory(state.group, self)
        state.requests = requests
        if state.start.records:
            requests.import_records(state.start.records)
        for server in state.row.server_by_name.values():
            requests.server_added(
                server, cold=state.start.origin == Origin.created
            )
        self._begin()
        try:
            await state.ended.wait()
        finally:
            state.end('stopped')
            await state.tasks.stop()

    def effective_slot(self, slot: int, key: str) -> int:
        """Returns the slot, or the slot of the key's own pin."""
        return effective_slot(self.state.row, slot, key)

    def permit(self, slot: int) -> Result[SendPermit, Refusal]:
        """Checks the right to send now."""
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
        if slot in state.book.target_by_slot:
            return self._refuse(ResultCode.slot_moving, f'slot {slot}')
        if slot in state.book.waiting:
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
        """Returns what the idempotency records cover for the slot."""
        return self.state.book.tenure(slot)

    async def replicate(
        self, server_name: str, changes: list[RecordChange]
    ) -> Result[None, Refusal]:
        """Returns once the standby has the changes, or a gap is marked."""
        state = self.state
        if state.ended.is_set():
            return self._refuse(ResultCode.not_leader, state.end_reason)
        if state.row.standby is None:
            # Whoever takes over has no records and starts new tenures.
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
        state.poke(server_name)
        marked = await wait_until(
            lambda: state.ledger.gap_accepted(server_name), state, GAP_WAIT_MS
        )
        if marked:
            self._context.counters.count('ownership.gap_marked')
            return Result.Ok(None)
        return self._refuse(ResultCode.slot_not_ready, 'gap not accepted')

    def report_sight(self, server_name: str, sight: ServerSight) -> None:
        """Takes what a request met at a server."""
        if server_name not in self.state.row.server_by_name:
            return
        if sight.reached:
            self.state.membership.heard(
                server_name, draining=sight.draining or None
            )
        if sight.token_refused:
            self.state.poke(server_name)

    def promise_received(self, incarnation: str, message: Promise) -> None:
        """Takes the standby's answer to a promise request."""
        state = self.state
        standby = state.row.standby
        if message.highest_token > state.token:
            state.end(f'the standby knows token {message.highest_token}')
        if standby is None or incarnation != standby.incarnation:
            return
        if message.token == state.token and message.granted:
            state.lease.promise_received(message.number)

    async def hand_over(self) -> bool:
        """Gives the group to the standby; true once the row says so."""
        state = self.state
        standby = state.row.standby
        if standby is None or state.is_odd or state.handing_over:
            return False
        state.handing_over = True
        await state.dispatcher.drain()
        await wait_until(state.log.is_idle, state, STANDBY_TIMEOUT_MS)
        handed_over = False
        if state.log.is_idle() and not state.book.target_by_slot:
            async with state.lock:
                handed_over = await self._write_handover()
        # The dispatcher refuses new work for good; without the handover the
        # standby takes over after the lease.
        state.end('handed over' if handed_over else 'handover failed')
        return handed_over

    async def _write_handover(self) -> bool:
        state = self.state
        standby = state.row.standby
        if standby is None or state.standby_change_in_doubt():
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
        for name, since in state.start.silent_servers.items():
            state.membership.silent_since(name, since)
        for row in state.start.other_rows:
            for slot, successor in row.successor_by_slot.items():
                state.other_successors.setdefault(slot, set()).add(successor)
        begin_slots(state)
        resume_leaving(state)
        state.announce()
        state.tasks.start(recording.run_replication(state))
        state.tasks.start(self._keep_lease())
        state.tasks.start(self._keep_servers())
        state.tasks.start(self._tend())
        state.tasks.start(self._plan())
        state.tasks.start(run_exchange(state))
        if state.is_odd:
            state.tasks.start(self._commit_odd_takeover())

    async def _keep_lease(self) -> None:
        """Asks for promises, or writes the row when there is no standby."""
        state = self.state
        while not state.ended.is_set():
            if state.is_odd:
                await asyncio.sleep(seconds(PROMISE_INTERVAL_MS))
            elif state.row.standby is None:
                await self._renew_by_table()
            else:
                await self._ask_for_promise()

    async def _ask_for_promise(self) -> None:
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
        # A new standby first reads the row. Nothing is won by replacing it
        # early, since there is no lease before its first promise; on a loaded
        # machine standbys were replaced twice a second.
        limit_ms = STANDBY_TIMEOUT_MS if state.lease.began else LEASE_TERM_MS
        if silence_ms < limit_ms and not state.standby_resigned:
            return
        if state.handing_over:
            return
        excluded = self._leaving_names() | {standby.name}
        replacement = self._context.choose_standby(
            state.group, excluded=excluded
        )
        if replacement is None:
            # The same name with a new incarnation is another process.
            replacement = self._restarted_peer(standby.name)
        state.tasks.start(self._replace_standby(replacement))
        await asyncio.sleep(self._backoff.next_delay_s())

    def _leaving_names(self) -> frozenset[str]:
        """Returns the instance that just handed the group over.

        Its heartbeats may still make it look like a standby.
        """
        start = self.state.start
        age_ms = self._context.clock() - self.state.started_at
        if start.origin != Origin.handed_over or start.predecessor is None:
            return frozenset()
        if age_ms >= LEAVING_MS:
            return frozenset()
        return frozenset((start.predecessor.name,))

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
            state.group, excluded=self._leaving_names()
        )
        if replacement is not None or state.standby_change_in_doubt():
            done = await recording.change_standby(state, replacement)
        else:
            done = await recording.renew_by_table(state)
        if done:
            self._backoff.reset()
            await asyncio.sleep(seconds(TABLE_LEASE_INTERVAL_MS))
        else:
            await asyncio.sleep(self._backoff.next_delay_s())

    async def _keep_servers(self) -> None:
        """Runs one task for each server of the row."""
        state = self.state
        running: dict[str, asyncio.Task[None]] = {}
        while not state.ended.is_set():
            for name in state.row.server_by_name:
                if name not in running or running[name].done():
                    running[name] = state.tasks.start(run_server(state, name))
            state.members_changed.clear()
            await state.members_changed.wait()

    async def _tend(self) -> None:
        """Watches servers and moves the slots of lost ones."""
        state = self.state
        if state.start.origin == Origin.unknown:
            # The earlier leader's lease may have been renewed until now.
            await wait_out(state, FOREIGN_TERM_MS)
        while not state.ended.is_set():
            moving.ask_for_probes(state)
            await moving.settle_waiting_slots(state)
            await moving.move_lost_slots(state)
            await moving.finish_interrupted_moves(state)
            await self._hand_over_bad_link()
            await asyncio.sleep(seconds(TEND_INTERVAL_MS))

    async def _hand_over_bad_link(self) -> None:
        """Moves the leadership, not the keys, when only our link is bad."""
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

    async def _plan(self) -> None:
        """Makes the changes that are not urgent."""
        state = self.state
        while not state.ended.is_set():
            delay_ms = PLAN_INTERVAL_MS * self._context.chooser.uniform(0.5, 1)
            await asyncio.sleep(seconds(delay_ms))
            if not await recording.write_pending_row(state):
                await asyncio.sleep(self._backoff.next_delay_s())
                continue
            await moving.renew_members(state)
            await moving.renew_successors(state)
            await renew_pins(state)
            for proposal in moving.planned_moves(state):
                state.moving.add(proposal.slot)
                state.tasks.start(self._move(proposal))

    async def _move(self, proposal: MoveProposal) -> None:
        try:
            await moving.move_planned(self.state, proposal)
        finally:
            self.state.moving.discard(proposal.slot)

    async def _commit_odd_takeover(self) -> None:
        """Writes the row as soon as the table is back."""
        state = self.state
        while state.is_odd and not state.ended.is_set():
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
            await recording.commit_odd_takeover(
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
