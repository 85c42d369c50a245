"""The leader's work on one service's keys: plan, record, grant, release."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from yuccadale_edge._internal.system_view import SystemView, OwnedRange
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import KEY_COUNT, Server, ServerState
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.balance import (
    Balancer,
    KeyLoad,
    Move,
    Span,
)
from yuccadale_edge._internal.ownership.call_runner import (
    CallRunner,
    ServerCalls,
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
    UnconfirmedGrant,
    Holder,
    Segment,
    SegmentTable,
)
from yuccadale_edge._internal.ownership.speeds import (
    ServerSpeeds,
    fair_loads,
)
from yuccadale_edge._internal.store import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

_log = structlog.get_logger()

# Three renewals in a lease; a lost one does not matter.
RENEW_S = 1.4
TICK_S = 0.05
PLAN_S = 0.4
# Room that a plan leaves to chance: below this factor of the mean load a
# server keeps its keys.
_TOLERANCE = 1.25
_LEAST_SHARE = 0.12
_MOST_MOVES = 6
_MOST_MOVING = 12
# Keys stay this long after a move, so that its effect is seen first.
_STAY_S = 1.0
# Grants of this age are renewed once more when the own lease runs out in
# this time without a renewal.
_LAST_RENEWAL_S = 0.9
# The last call of the leader before has ended after this.
_LAST_CALL_S = 1.0
# A server that has just started fills its caches; it does about half of the
# work meanwhile.
_COLD_SPEED = 0.5
# Pause after a write that the store did not take.
_RECORD_PAUSE_S = 0.4

Write = Callable[[dict[str, bytes]], Awaitable[bool]]


class OwnershipManager:
    """Keeps one service's keys owned and spread by load."""

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
    ) -> None:
        self.service = service
        self.load = KeyLoad()
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
        self._runner = CallRunner(
            self.table,
            calls,
            system_view,
            may_act,
            self._publish_changes,
            metrics,
        )
        self._moved_s_by_range: dict[tuple[int, int], float] = {}
        self._planned_s: float = 0
        self._record_again_s: float = 0
        self._recorded = True
        self._ending = False
        # The last leader's calls, and until when they are doubted.
        self._earlier_epoch = 0
        self._assumed_until_s: float = 0

    def take_over(self, record: KeysRecord | None) -> None:
        """Starts from what an earlier leader recorded.

        Every recorded server may have been granted its keys until the moment
        of the takeover.
        """
        if record is None:
            return
        latest_end_s = elapsed_s() + self.table.lease_s * CLOCK_MARGIN
        latest_end_s += _LAST_CALL_S
        for segment in record.segments:
            for held in segment.holders:
                self._runner.address_by_holder[held.holder] = (
                    held.host,
                    held.port,
                )
        self._earlier_epoch = record.epoch
        self._assumed_until_s = latest_end_s
        self.table.load(segments_of(record, latest_end_s))
        if record.settled:
            # From the first call on, that is no longer true.
            self.table.require_record()
            self._recorded = False
        self.table.changed = [(0, KEY_COUNT - 1)]

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            await self._tick()
            await asyncio.sleep(TICK_S)

    async def unconfirmed_grants(self) -> list[UnconfirmedGrant]:
        """Ends the calls; returns what is still doubted afterwards."""
        self._ending = True
        await self._runner.finish(_LAST_CALL_S)
        return self.table.unconfirmed_grants(elapsed_s())

    def replace_assumed_grants(
        self, epoch: int, unconfirmed_grants: list[UnconfirmedGrant]
    ) -> None:
        """Takes the word of the last leader on which calls may be late."""
        if epoch != self._earlier_epoch:
            return
        self.table.replace_assumed_grants(
            self._assumed_until_s, unconfirmed_grants, elapsed_s()
        )
        _log.info(
            'doubts settled by the last leader',
            service=self.service,
            epoch=epoch,
            left=len(unconfirmed_grants),
        )

    async def finish_calls(self) -> tuple[str, bytes]:
        """Ends the calls; returns the row for the next leader."""
        self._ending = True
        await self._runner.finish(_LAST_CALL_S)
        self.table.reserve_fences()
        record = record_of(
            self._epoch,
            self.table,
            self._runner.address_by_holder,
            settled=self.table.settled(elapsed_s()),
        )
        return KEYS_PREFIX + self.service, encode_record(record)

    async def _tick(self) -> None:
        if self._ending:
            return
        self._end_replaced()
        if self._may_plan():
            # Keys that are taken from a server go to the next one only after
            # the store has recorded it.
            self._plan_if_due(elapsed_s())
        if self._may_record():
            await self._record()
        if self._may_call():
            # A leader that may lose its lease leaves full ones behind.
            ending = self._lease_left_s() < _LAST_RENEWAL_S
            self._runner.start_due(_LAST_RENEWAL_S if ending else None)
        self._publish_changes()

    def _plan_if_due(self, now_s: float) -> None:
        if now_s - self._planned_s >= PLAN_S:
            self._planned_s = now_s
            self._plan(now_s)
        elif self._needs_plan():
            self._plan(now_s)

    def _may_record(self) -> bool:
        waited = elapsed_s() >= self._record_again_s
        return self.table.unrecorded and waited and self._may_plan()

    def _may_call(self) -> bool:
        return self._recorded and self._may_act() and not self._ending

    def _publish_changes(self) -> None:
        changes = self.table.take_changes()
        if not changes:
            return
        now_s = elapsed_s()
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
        waits = self._unreachable_holders(segment)
        available_in_s = self.table.waiting_s(segment, now_s) if waits else 0
        return OwnedRange(segment.first, segment.last, None, 0, available_in_s)

    def _unreachable_holders(self, segment: Segment) -> bool:
        return any(
            lease.released or not self._reachable(holder)
            for holder, lease in segment.lease_by_holder.items()
            if holder != segment.target
        )

    def _reachable(self, holder: Holder) -> bool:
        until = self._system_view.unreachable_until_by_server
        return until.get(holder.server_id, 0) < elapsed_s()

    def _end_replaced(self) -> None:
        for holder in self.table.holders():
            server = self._system_view.servers.server_by_id.get(
                holder.server_id
            )
            if server is None:
                continue
            if server.incarnation > holder.incarnation:
                self._runner.end(holder, 'the server started again')

    def _usable(self) -> dict[Holder, Server]:
        ready = {
            Holder(server.server_id, server.incarnation): server
            for server in self._system_view.servers.of(self.service)
            if server.state == ServerState.ready
        }
        return {
            holder: server
            for holder, server in ready.items()
            if self._reachable(holder) and holder not in self._runner.ended
        }

    def _needs_plan(self) -> bool:
        servers = self._system_view.servers.server_by_id
        for segment in self.table.segments:
            wanted = segment.wanted
            if wanted is None:
                return bool(servers)
            server = servers.get(wanted.server_id)
            if server is None or server.state != ServerState.ready:
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
        self.table.join_settled()
        self.load.fade(now_s)
        self._forget_moves(now_s)
        spans = [
            self._span(segment, usable, now_s)
            for segment in self.table.segments
        ]
        profile = self.load.profile()
        fair = fair_loads(capacity, profile.weight(0, KEY_COUNT - 1))
        balancer = Balancer(spans, fair, profile)
        moves = balancer.place_unowned()
        moving = sum(
            1 for segment in self.table.segments if segment.target is not None
        )
        if moving < _MOST_MOVING:
            moves.extend(balancer.place_hot_keys(capacity))
            moves.extend(
                balancer.relieve(_MOST_MOVES, _TOLERANCE, _LEAST_SHARE)
            )
        for move in moves:
            self._apply(move, now_s)

    def _capacity(self, server: Server) -> float:
        speed = self.speeds.speed(server.server_id)
        if self._system_view.servers.cold(server):
            speed *= _COLD_SPEED
        return server.slots * speed

    def _span(
        self, segment: Segment, usable: dict[Holder, Server], now_s: float
    ) -> Span:
        wanted = segment.wanted
        holder = wanted if wanted in usable else None
        settled = segment.target is None and segment.owner is not None
        doubtful = any(
            lease.doubt_until_s > now_s
            for lease in segment.lease_by_holder.values()
        )
        recent = self._moved_s_by_range.get((segment.first, segment.last), 0)
        movable = settled and not doubtful and now_s - recent > _STAY_S
        return Span(segment.first, segment.last, holder, movable)

    def _apply(self, move: Move, now_s: float) -> None:
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

    def _forget_moves(self, now_s: float) -> None:
        self._moved_s_by_range = {
            keys: moved_s
            for keys, moved_s in self._moved_s_by_range.items()
            if now_s - moved_s <= _STAY_S
        }

    async def _record(self) -> None:
        plan_version = self.table.reserve_fences()
        content = encode_record(
            record_of(self._epoch, self.table, self._runner.address_by_holder)
        )
        try:
            written = await self._write({KEYS_PREFIX + self.service: content})
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._record_again_s = elapsed_s() + _RECORD_PAUSE_S
            _log.warning(
                'plan not recorded', service=self.service, reason=str(error)
            )
            return
        if written:
            self.table.mark_recorded(plan_version)
            self._recorded = True
