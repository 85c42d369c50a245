"""The leader's control loop for one service's keys.

Plans moves, records the plan in the store, then grants and releases keys.
"""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
    Hashable,
    Iterable,
    Mapping,
)
from functools import partial

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import KEY_COUNT, Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.balance import Move, Span
from yuccadale_edge._internal.ownership.call_runner import (
    CallRunner,
    ServerCalls,
)
from yuccadale_edge._internal.ownership.owner_estimates import OwnerEstimates
from yuccadale_edge._internal.ownership.planning import (
    MovePlanner,
    max_parallel_moves,
)
from yuccadale_edge._internal.ownership.records import (
    KEYS_PREFIX,
    KeysRecord,
    encode_record,
    record_of,
    segments_of,
)
from yuccadale_edge._internal.ownership.segments import (
    CLOCK_MARGIN,
    LATEST_ARRIVAL_S,
    Holder,
    Segment,
    SegmentTable,
    UnconfirmedGrant,
)
from yuccadale_edge._internal.ownership.speeds import ServerSpeeds
from yuccadale_edge._internal.store import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from yuccadale_edge._internal.supervision import supervise
from yuccadale_edge._internal.system_view import OwnedRange, SystemView

_log = structlog.get_logger()

# Three renewals fit in a lease, so that one may be lost.
RENEW_S = 1.4
TICK_INTERVAL_S = 0.05
PLAN_INTERVAL_S = 0.4
# No more ranges are moved while those of this many plans are moving.
_MOVING_PER_PLAN = 2
# A range is not moved again within this time, so that the effect of the last
# move is measured first.
_MOVE_COOLDOWN_S = 1.0
# When the leader's own lease ends within this time, grants older than this are
# renewed a last time, so that they outlast the change of the leader.
_FINAL_RENEWAL_S = 0.9
# Longest wait for the calls in flight when this instance no longer leads.
_CALL_END_S = 1.0
# Speed of a server while it fills its caches after a start, relative to the
# usual one.
_COLD_SPEED = 0.5
# Delay before a failed write of the plan is retried.
_RECORD_RETRY_S = 0.4

PlanningRates = Callable[[], Mapping[Holder, float]]
# Stores the record of a service.
Write = Callable[[str, bytes], Awaitable[bool]]


class RecordNotKeptError(Exception):
    """Too few instances keep a copy of a record to use it."""


def _no_era() -> int:
    return 0


def _no_keepers() -> Hashable:
    return None


class OwnershipManager:
    """Assigns the keys of one service to servers and balances their load."""

    def __init__(
        self,
        service: str,
        epoch: int,
        system_view: SystemView,
        calls: ServerCalls,
        may_act: Callable[[], bool],
        may_plan: Callable[[], bool],
        lease_left_s: Callable[[], float],
        write: Write,
        publish: Callable[[str, list[OwnedRange]], None],
        metrics: Metrics,
        lease_s: float,
        planning_rate_by_holder: PlanningRates,
        era: Callable[[], int] = _no_era,
        keepers: Callable[[], Hashable] = _no_keepers,
    ) -> None:
        self.service = service
        self.planner = MovePlanner()
        self.speeds = ServerSpeeds()
        self.table = SegmentTable(epoch, lease_s, RENEW_S)
        self._epoch = epoch
        self._system_view = system_view
        self._may_act = may_act
        self._may_plan = may_plan
        self._lease_left_s = lease_left_s
        self._write = write
        self._publish = publish
        self._metrics = metrics
        self._planning_rate_by_holder = planning_rate_by_holder
        self._era = era
        self._keepers = keepers
        self._recorded_for = (era(), keepers())
        self._runner = CallRunner(
            self.table,
            calls,
            system_view,
            # Also asked for calls that waited for others.
            self._may_call,
            self._publish_changes,
            metrics,
        )
        self._moved_s_by_range: dict[tuple[int, int], float] = {}
        self._planned_s: float = 0
        self._record_retry_s: float = 0
        self._unwritten_since_s: float | None = None
        self._estimates = OwnerEstimates(self._reachable, self._blocked_s)
        self._recorded = True
        self._ending = False

    @property
    def keys_moving(self) -> bool:
        """Whether keys are to get another owner."""
        return any(
            segment.target is not None for segment in self.table.segments
        )

    def take_over(self, record: KeysRecord) -> None:
        """Starts from the record of an earlier leader.

        That leader may have renewed the leases of all recorded servers until
        the takeover.
        """
        latest_end_s = self._latest_lease_end_s()
        for segment in record.segments:
            for held in segment.holders:
                self._runner.address_by_holder[held.holder] = (
                    held.host,
                    held.port,
                )
        self.speeds.assume(record.speed_by_server)
        self.table.load(segments_of(record, latest_end_s))
        # The record may be a copy, and few instances may have one.
        self.table.require_record()
        if record.all_calls_answered:
            # The stored record must no longer say so once a call is sent.
            self._recorded = False
        self.table.changed = [(0, KEY_COUNT - 1)]

    def rebuild(self, ranges: Iterable[OwnedRange]) -> None:
        """Starts without the record of an earlier leader.

        Any server may hold any key until the leases of that leader have
        expired. Until then requests go to the owners that are known here, and
        these get the keys again.

        Args:
            ranges: the owners as far as this instance knows them.
        """
        owner_by_range = {
            (known.first, known.last): Holder(
                known.server_id, known.incarnation
            )
            for known in ranges
            if known.server_id is not None
        }
        self.table.load_owners(owner_by_range, self._latest_lease_end_s())
        self.table.changed = [(0, KEY_COUNT - 1)]
        self._recorded = False

    async def run(self) -> None:
        """Plans moves and runs calls until cancelled.

        Each goes on when the other fails, so that leases are renewed.
        """
        async with asyncio.TaskGroup() as group:
            for name, tick in (
                ('plans', self._plan_and_record),
                ('calls', self._run_calls),
            ):
                task = f'{name} for {self.service}'
                run = partial(self._repeat, tick)
                group.create_task(supervise(task, run, self._metrics))

    def withdraw_calls(self) -> None:
        """Stops sending calls, and gives up those in flight."""
        self.stop_calls()
        self._runner.withdraw()

    async def unconfirmed_grants(self) -> list[UnconfirmedGrant]:
        """Stops sending calls; returns grants that servers may still apply."""
        self.stop_calls()
        await self._runner.finish(_CALL_END_S)
        return self.table.unconfirmed_grants(elapsed_s())

    def replace_assumed_grants(
        self, epoch: int, unconfirmed_grants: list[UnconfirmedGrant]
    ) -> None:
        """Applies the previous leader's report on its unanswered grants."""
        replaced = self.table.replace_assumed_grants(
            epoch, unconfirmed_grants, elapsed_s()
        )
        _log.info(
            'previous leader reported its unconfirmed grants'
            if replaced
            else 'report of unconfirmed grants ignored, others led since',
            service=self.service,
            epoch=epoch,
            left=len(unconfirmed_grants),
        )

    def stop_calls(self) -> None:
        """Sends no more calls, nor those that wait for others to end."""
        self._ending = True

    def resume_calls(self) -> None:
        """Sends calls again after ``finish_calls``."""
        self._ending = False

    async def finish_calls(self) -> tuple[str, bytes]:
        """Stops sending calls; returns key and content of the row to store."""
        self.stop_calls()
        await self._runner.finish(_CALL_END_S)
        self.table.reserve_fences()
        record = record_of(
            self._epoch,
            self.table,
            self._runner.address_by_holder,
            all_calls_answered=self.table.all_calls_answered(elapsed_s()),
            speed_by_server=self._known_speeds(),
            era=self._era(),
        )
        return KEYS_PREFIX + self.service, encode_record(record)

    async def _repeat(self, tick: Callable[[], Awaitable[None]]) -> None:
        while True:
            if not self._ending:
                await tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _plan_and_record(self) -> None:
        if self._may_plan():
            # Released keys are granted to the next server only after the
            # store has recorded the plan.
            self._plan_if_due(elapsed_s())
        required_for = (self._era(), self._keepers())
        if required_for != self._recorded_for:
            # A restored store lacks the latest record, and so do instances
            # that are to keep copies from now on.
            self._recorded_for = required_for
            self.table.require_record()
        if self.table.unrecorded and self._unwritten_since_s is None:
            self._unwritten_since_s = elapsed_s()
        if self._may_record():
            await self._record()

    async def _run_calls(self) -> None:
        self._end_restarted()
        if self._may_call():
            lease_ending = self._lease_left_s() < _FINAL_RENEWAL_S
            self._runner.start_due(_FINAL_RENEWAL_S if lease_ending else None)
        if not self._may_act():
            # A suspended process wakes up with calls that it sent before.
            self._runner.withdraw()
        self._publish_changes()

    def _latest_lease_end_s(self) -> float:
        """Returns when the last lease by an earlier leader has expired.

        That leader may have sent a grant just before its own lease ended.
        """
        lease_s = self.table.lease_s * CLOCK_MARGIN
        return elapsed_s() + lease_s + LATEST_ARRIVAL_S

    def _plan_if_due(self, now_s: float) -> None:
        if now_s - self._planned_s >= PLAN_INTERVAL_S:
            self._planned_s = now_s
            self._plan(now_s)
        elif self._needs_plan():
            self._plan(now_s)

    def _may_record(self) -> bool:
        waited = elapsed_s() >= self._record_retry_s
        return self.table.unrecorded and waited and self._may_plan()

    def _may_call(self) -> bool:
        return self._recorded and self._may_act() and not self._ending

    def _publish_changes(self) -> None:
        now_s = elapsed_s()
        changes = self.table.pop_changes()
        if self._may_act():
            # An instance that no longer leads has a later leader's estimates.
            outdated = self._estimates.outdated(self.table.segments, now_s)
            changes += outdated
            if outdated:
                self._metrics.count(
                    'owner_estimates_changed',
                    len(outdated),
                    service=self.service,
                )
        if not changes:
            return
        ranges = [
            self._owned_range(segment, now_s)
            for first, last in changes
            for segment in self.table.in_range(first, last)
        ]
        self._publish(self.service, ranges)

    def _owned_range(self, segment: Segment, now_s: float) -> OwnedRange:
        if segment.owner is not None:
            return OwnedRange(
                segment.first,
                segment.last,
                segment.owner.server_id,
                segment.owner.incarnation,
                0,
            )
        available_in_s = self._estimates.publish_in_s(segment, now_s)
        return OwnedRange(segment.first, segment.last, None, 0, available_in_s)

    def _blocked_s(self, segment: Segment) -> float:
        """Returns how long already a record for a grant was not written."""
        recorded = segment.recorded and self._recorded
        if recorded or self._unwritten_since_s is None:
            return 0
        return elapsed_s() - self._unwritten_since_s

    def _reachable(self, holder: Holder) -> bool:
        return self._system_view.availability.is_reachable(holder.server_id)

    def _end_restarted(self) -> None:
        for holder in self.table.holders():
            server = self._system_view.servers.server_by_id.get(
                holder.server_id
            )
            if server is None:
                continue
            if server.incarnation > holder.incarnation:
                self._runner.mark_restarted(holder, server)

    def _usable(self) -> dict[Holder, Server]:
        usable = {
            Holder(server.server_id, server.incarnation): server
            for server in self._system_view.servers.of(self.service)
            if self._system_view.usable(server)
        }
        return {
            holder: server
            for holder, server in usable.items()
            if holder not in self._runner.ended
        }

    def _needs_plan(self) -> bool:
        servers = self._system_view.servers.server_by_id
        availability = self._system_view.availability
        for segment in self.table.segments:
            intended_owner = segment.intended_owner
            if intended_owner is None:
                return bool(servers)
            server = servers.get(intended_owner.server_id)
            if server is None or availability.is_leaving(server):
                return True
        return False

    def _plan(self, now_s: float) -> None:
        usable = self._usable()
        if not usable:
            return
        capacity = {
            holder: self._capacity(server) for holder, server in usable.items()
        }
        for holder, server in usable.items():
            self._runner.address_by_holder[holder] = server.address
        self.table.merge_adjacent()
        self._remove_old_moves(now_s)
        spans = [
            self._span(segment, usable, now_s)
            for segment in self.table.segments
        ]
        moving = sum(
            1 for segment in self.table.segments if segment.target is not None
        )
        max_moving = max_parallel_moves(len(usable)) * _MOVING_PER_PLAN
        moves = self.planner.plan(
            spans,
            capacity,
            now_s,
            rebalance=moving < max_moving,
            limit_by_holder=self._planning_rate_by_holder(),
        )
        for move in moves:
            self._apply_move(move, now_s)

    def _known_speeds(self) -> dict[str, float]:
        """Returns the estimated speeds of the servers, for the record."""
        return {
            server.server_id: round(self.speeds.speed(server.server_id), 2)
            for server in self._usable().values()
        }

    def _capacity(self, server: Server) -> float:
        speed = self.speeds.speed(server.server_id)
        if self._is_cold(server):
            speed *= _COLD_SPEED
        return server.slots * speed

    def _is_cold(self, server: Server) -> bool:
        return self._system_view.cold_per_s(
            server
        ) is not None or self._system_view.servers.cold(server)

    def _span(
        self, segment: Segment, usable: dict[Holder, Server], now_s: float
    ) -> Span:
        intended_owner = segment.intended_owner
        holder = intended_owner if intended_owner in usable else None
        stable = segment.target is None and segment.owner is not None
        unconfirmed = any(
            lease.unanswered_until_s > now_s
            for lease in segment.lease_by_holder.values()
        )
        moved_s = self._moved_s_by_range.get((segment.first, segment.last), 0)
        movable = (
            stable and not unconfirmed and now_s - moved_s > _MOVE_COOLDOWN_S
        )
        return Span(segment.first, segment.last, holder, movable)

    def _apply_move(self, move: Move, now_s: float) -> None:
        self.table.plan(move.first, move.last, move.target)
        for segment in self.table.in_range(move.first, move.last):
            self._moved_s_by_range[segment.first, segment.last] = now_s
        self._metrics.count('moves_planned', service=self.service)
        _log.info(
            'move planned',
            service=self.service,
            first=move.first,
            last=move.last,
            to=move.target.server_id,
            source=None if move.source is None else move.source.server_id,
            source_load=round(move.source_load, 2),
            weight=round(move.weight, 3),
            epoch=self._epoch,
        )

    def _remove_old_moves(self, now_s: float) -> None:
        self._moved_s_by_range = {
            keys: moved_s
            for keys, moved_s in self._moved_s_by_range.items()
            if now_s - moved_s <= _MOVE_COOLDOWN_S
        }

    async def _record(self) -> None:
        plan_version = self.table.reserve_fences()
        content = encode_record(
            record_of(
                self._epoch,
                self.table,
                self._runner.address_by_holder,
                speed_by_server=self._known_speeds(),
                era=self._era(),
            )
        )
        self._metrics.gauge(
            'keys_record_bytes', len(content), service=self.service
        )
        try:
            written = await self._write(self.service, content)
        except (
            StoreUnavailableError,
            StoreOutcomeUnknownError,
            RecordNotKeptError,
        ) as error:
            self._record_retry_s = elapsed_s() + _RECORD_RETRY_S
            _log.warning(
                'plan not recorded; will retry',
                service=self.service,
                reason=str(error),
            )
            return
        if written:
            self._unwritten_since_s = None
            self.table.mark_recorded(plan_version)
            self._recorded = True
