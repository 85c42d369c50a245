"""The leader's work on one service's keys: plan, record, grant, release."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
import structlog

from yuccadale_edge._internal.beliefs import Beliefs, OwnedRange
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Server, ServerState
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.balance import (
    Balancer,
    KeyLoad,
    Move,
    Span,
)
from yuccadale_edge._internal.ownership.segments import (
    CallKind,
    Holder,
    Lease,
    OwnershipCall,
    Segment,
    SegmentTable,
)
from yuccadale_edge._internal.ownership.speeds import ServerSpeeds
from yuccadale_edge._internal.store import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from yuccadale_edge._internal.transport.client_connection import (
    AnswerLostError,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import (
    Address,
    PortClosedError,
)

_log = structlog.get_logger()

# Four renewals in a lease; a lost one does not matter.
RENEW_S = 2.0
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
_CALLS_PER_SERVER = 4
# A first refusal of a connection may come from a cut; a second one later is
# taken as proof that the process has ended.
_REFUSED_TWICE_AFTER_S = 0.3
_COLD_CAPACITY = 0.5
_UNREACHABLE_S = 1.5
# Pause after a write that the store did not take.
_RECORD_PAUSE_S = 0.4

KEYS_PREFIX = 'keys/'


class HolderRecord(msgspec.Struct, array_like=True):
    """A server that may hold some keys, as it is recorded."""

    server_id: str
    incarnation: int
    host: str
    port: int
    fence: int


class SegmentRecord(msgspec.Struct, array_like=True):
    """A range, its wanted owner first among those that may hold it."""

    first: int
    last: int
    holders: list[HolderRecord]


class KeysRecord(msgspec.Struct, array_like=True):
    """What the store keeps of one service's keys."""

    epoch: int
    segments: list[SegmentRecord]


encode_record = msgspec.json.Encoder().encode
decode_record = msgspec.json.Decoder(KeysRecord).decode


class GrantRefusedError(Exception):
    """The server has seen a higher fencing token."""


class OtherServerError(Exception):
    """Another server has the address: the named one has ended."""


class ServerCalls(Protocol):
    """Calls about keys to servers."""

    async def grant(
        self, address: Address, call: OwnershipCall, lease_s: float
    ) -> None:
        """Grants or renews.

        Raises:
            GrantRefusedError, OtherServerError, NotSentError,
            AnswerLostError: as their descriptions say.
        """

    async def release(
        self, address: Address, call: OwnershipCall
    ) -> str | None:
        """Takes keys back; returns what the next owner is to be given.

        Raises:
            OtherServerError, NotSentError, AnswerLostError.
        """


Write = Callable[[dict[str, bytes]], Awaitable[bool]]


class KeyKeeper:
    """Keeps one service's keys owned and spread by load."""

    def __init__(
        self,
        service: str,
        epoch: int,
        beliefs: Beliefs,
        calls: ServerCalls,
        may_act: Callable[[], bool],
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
        self._beliefs = beliefs
        self._calls = calls
        self._may_act = may_act
        self._write = write
        self._publish = publish
        self._metrics = metrics
        self._address_by_holder: dict[Holder, Address] = {}
        self._limit_by_holder: dict[Holder, asyncio.Semaphore] = {}
        self._refused_by_holder: dict[Holder, float] = {}
        self._moved_s_by_range: dict[tuple[int, int], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._planned_s = 0.0
        self._record_again_s = 0.0

    def take_over(self, record: KeysRecord | None) -> None:
        """Starts from what an earlier leader recorded.

        Every recorded server may have been granted its keys until the moment
        of the takeover.
        """
        if record is None:
            return
        end_s = elapsed_s() + self.table.lease_s * 1.02 + 1.0
        segments = []
        for one in record.segments:
            segment = Segment(one.first, one.last, recorded=True)
            for held in one.holders:
                holder = Holder(held.server_id, held.incarnation)
                self._address_by_holder[holder] = (held.host, held.port)
                if held.fence:
                    segment.lease_by_holder[holder] = Lease(
                        held.fence, until_s=end_s, accepted=True
                    )
            if one.holders:
                first = one.holders[0]
                holder = Holder(first.server_id, first.incarnation)
                if len(segment.lease_by_holder) == 1 and first.fence:
                    segment.owner = holder
                else:
                    segment.target = holder
            segments.append(segment)
        self.table.load(segments)
        self.table.changed = [(0, self.table.segments[-1].last)]

    async def run(self) -> None:
        """Works until cancelled."""
        try:
            while True:
                await self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._tasks:
                task.cancel()

    async def _tick(self) -> None:
        self._end_replaced()
        now_s = elapsed_s()
        if self._may_act() and now_s - self._planned_s >= PLAN_S:
            self._planned_s = now_s
            self._plan(now_s)
        elif self._may_act() and self._needs_plan():
            self._plan(now_s)
        may_write = self._may_act() and now_s >= self._record_again_s
        if self.table.unrecorded and may_write:
            await self._record()
        if self._may_act():
            for call in self.table.calls_due(elapsed_s()):
                self._start(call)
        self._publish_changes()

    def _publish_changes(self) -> None:
        changes = self.table.take_changes()
        if not changes:
            return
        now_s = elapsed_s()
        ranges = []
        for first, last in changes:
            for segment in self.table.in_range(first, last):
                ranges.append(self._owned_range(segment, now_s))
        self._publish(self.service, ranges)

    def _owned_range(self, segment: Segment, now_s: float) -> OwnedRange:
        if segment.owner is not None:
            return OwnedRange(
                segment.first,
                segment.last,
                segment.owner.server_id,
                segment.owner.incarnation,
                0.0,
            )
        waits = self._unreachable_holders(segment)
        free_in_s = self.table.waiting_s(segment, now_s) if waits else 0.0
        return OwnedRange(segment.first, segment.last, None, 0, free_in_s)

    def _unreachable_holders(self, segment: Segment) -> bool:
        return any(
            lease.released or not self._reachable(holder)
            for holder, lease in segment.lease_by_holder.items()
            if holder != segment.target
        )

    def _reachable(self, holder: Holder) -> bool:
        until = self._beliefs.unreachable_until_by_server
        return until.get(holder.server_id, 0.0) < elapsed_s()

    def _end_replaced(self) -> None:
        for holder in self.table.holders():
            server = self._beliefs.servers.server_by_id.get(holder.server_id)
            if server is None:
                continue
            if server.incarnation > holder.incarnation:
                self._end(holder, 'the server started again')

    def _end(self, holder: Holder, reason: str) -> None:
        _log.info(
            'server incarnation ended',
            server=holder.server_id,
            incarnation=holder.incarnation,
            service=self.service,
            reason=reason,
        )
        self.table.end_holder(holder)
        self._address_by_holder.pop(holder, None)

    def _usable(self) -> dict[Holder, Server]:
        return {
            Holder(server.server_id, server.incarnation): server
            for server in self._beliefs.servers.of(self.service)
            if server.state == ServerState.ready
            and self._reachable(Holder(server.server_id, server.incarnation))
        }

    def _needs_plan(self) -> bool:
        servers = self._beliefs.servers.server_by_id
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
            self._address_by_holder[holder] = server.address
        self.table.join_settled()
        self.load.fade(now_s)
        self._forget_moves(now_s)
        spans = [self._span(segment, usable, now_s) for segment in self.table.segments]
        balancer = Balancer(spans, capacity, self.load.profile())
        moves = balancer.place_unowned()
        moving = sum(
            1 for segment in self.table.segments if segment.target is not None
        )
        if moving < _MOST_MOVING:
            moves.extend(
                balancer.relieve(_MOST_MOVES, _TOLERANCE, _LEAST_SHARE)
            )
        for move in moves:
            self._apply(move, now_s)

    def _capacity(self, server: Server) -> float:
        return server.slots * self.speeds.speed(server.server_id)

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
        recent = self._moved_s_by_range.get((segment.first, segment.last), 0.0)
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
        content = encode_record(self.record())
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

    def record(self) -> KeysRecord:
        """Returns what the store has to know before the next grants."""
        segments: list[SegmentRecord] = []
        for segment in self.table.segments:
            wanted = segment.wanted
            holders = sorted(
                segment.lease_by_holder, key=lambda held: held != wanted
            )
            if wanted is not None and wanted not in segment.lease_by_holder:
                holders.insert(0, wanted)
            records = [
                self._holder_record(holder, segment) for holder in holders
            ]
            segments.append(
                SegmentRecord(segment.first, segment.last, records)
            )
        return KeysRecord(self._epoch, segments)

    def _holder_record(self, holder: Holder, segment: Segment) -> HolderRecord:
        host, port = self._address_by_holder.get(holder, ('', 0))
        fence = segment.reserved_fence
        if fence is None or holder != segment.wanted:
            fence = segment.lease_by_holder[holder].fence
        return HolderRecord(
            holder.server_id, holder.incarnation, host, port, fence
        )

    def _start(self, call: OwnershipCall) -> None:
        task = asyncio.create_task(self._call(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, call: OwnershipCall) -> None:
        limit = self._limit_by_holder.setdefault(
            call.holder, asyncio.Semaphore(_CALLS_PER_SERVER)
        )
        async with limit:
            address = self._address_by_holder.get(call.holder)
            try:
                if address is None or not self._may_act():
                    raise NotSentError('not allowed or no address known')
                await self._perform(address, call)
            except PortClosedError as error:
                self._not_sent(call)
                self._refused(call.holder, str(error))
            except NotSentError as error:
                self._not_sent(call)
                if address is not None and self._may_act():
                    self._unreachable(call.holder, str(error))
            except AnswerLostError as error:
                self._unanswered(call, str(error))
            except TimeoutError:
                self._unanswered(call, 'no answer in time')
                self._unreachable(call.holder, 'no answer to a call')
            except OtherServerError:
                self._not_sent(call)
                self._end(call.holder, 'another server has its address')
            except GrantRefusedError:
                self.table.grant_answered(
                    call, accepted=False, now_s=elapsed_s()
                )
                _log.warning(
                    'grant refused by a higher fence',
                    server=call.holder.server_id,
                    first=call.first,
                    last=call.last,
                    fence=call.fence,
                )
            else:
                self._refused_by_holder.pop(call.holder, None)
        self._publish_changes()

    async def _perform(self, address: Address, call: OwnershipCall) -> None:
        began_s = elapsed_s()
        if call.kind == CallKind.grant:
            await self._calls.grant(address, call, self.table.lease_s)
            self.table.grant_answered(call, accepted=True, now_s=elapsed_s())
            return
        handover = await self._calls.release(address, call)
        self.table.release_answered(call, handover, elapsed_s())
        self._metrics.observe_ms('release', (elapsed_s() - began_s) * 1000)
        _log.info(
            'keys released',
            service=self.service,
            server=call.holder.server_id,
            first=call.first,
            last=call.last,
            fence=call.fence,
            took_ms=round((elapsed_s() - began_s) * 1000, 1),
        )
        for due in self.table.calls_due(elapsed_s()):
            self._start(due)

    def _not_sent(self, call: OwnershipCall) -> None:
        if call.kind == CallKind.grant:
            self.table.grant_not_sent(call)
        else:
            self.table.release_failed(call)

    def _unanswered(self, call: OwnershipCall, reason: str) -> None:
        self._metrics.count('calls_unanswered', kind=call.kind)
        _log.warning(
            'ownership call unanswered',
            kind=call.kind,
            server=call.holder.server_id,
            first=call.first,
            last=call.last,
            fence=call.fence,
            reason=reason,
        )
        if call.kind == CallKind.grant:
            self.table.grant_unanswered(call, elapsed_s())
        else:
            self.table.release_failed(call)

    def _refused(self, holder: Holder, reason: str) -> None:
        now_s = elapsed_s()
        first_s = self._refused_by_holder.setdefault(holder, now_s)
        self._unreachable(holder, reason)
        if now_s - first_s >= _REFUSED_TWICE_AFTER_S:
            self._refused_by_holder.pop(holder)
            self._end(holder, 'its address refused two connections')

    def _unreachable(self, holder: Holder, reason: str) -> None:
        until = self._beliefs.unreachable_until_by_server
        now_s = elapsed_s()
        if until.get(holder.server_id, 0.0) < now_s:
            _log.warning(
                'server unreachable for ownership calls',
                server=holder.server_id,
                reason=reason,
            )
        until[holder.server_id] = now_s + _UNREACHABLE_S
