"""Takes callers' requests: finds the leader, sends, retries, answers."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration, Kind, Service
from yuccadale_core.instances import GroupId, InstanceRef, Leadership
from yuccadale_core.keys import slot_of_key
from yuccadale_core.mapping import GroupMap, build_group_map
from yuccadale_core.messages import BodyPiece, Forward, Hop, PeerMessage
from yuccadale_core.refusals import Refusal
from yuccadale_core.timing import SUSPICION_TIMEOUT_MS
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import LeadershipTable, Peers
from yuccadale_router._internal.requests import counter_names
from yuccadale_router._internal.requests.answers import (
    CallerAnswer,
    DispatchAnswer,
    refuse,
    refused_answer,
)
from yuccadale_router._internal.requests.dispatchers import Dispatchers
from yuccadale_router._internal.requests.errands import Errand
from yuccadale_router._internal.requests.forward_server import ForwardServer
from yuccadale_router._internal.requests.forwarding import Forwarder
from yuccadale_router._internal.requests.keyed_waits import KeyedWaits
from yuccadale_router._internal.requests.parsing import CallerRequest
from yuccadale_router._internal.requests.region_budget import RegionLinks
from yuccadale_router._internal.requests.retry_budget import (
    RetryBudget,
    may_retry,
    retry_delay_ms,
)
from yuccadale_router._internal.requests.slow_requests import (
    SlowRequest,
    SlowRequests,
)

# Requests that wait here for a leader; more are refused as not run.
_HELD_LIMIT = 10_000
_REPEATABLE_METHODS = frozenset(('GET', 'HEAD'))
_PRIORITY_NON_REPEATABLE = 1
_PRIORITY_BROWSING = 3


class RequestEntry:
    """The entry instance's side of every request."""

    def __init__(
        self,
        me: InstanceRef,
        leaderships: LeadershipTable,
        peers: Peers,
        counters: Counters,
        clock: Clock,
        *,
        dispatchers: Dispatchers,
        random_unit: Callable[[], float],
        slow_limit: int = 50,
    ) -> None:
        """Makes the entry and registers its message handlers.

        Args:
            dispatchers: the groups that this instance leads.
            random_unit: returns numbers from 0 to 1, for jitter.
            slow_limit: slow requests that are kept for each service.
        """
        self.slow_requests = SlowRequests(clock, slow_limit)
        self._me = me
        self._where = f'entry {me.name}'
        self._leaderships = leaderships
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._dispatchers = dispatchers
        self._random_unit = random_unit
        self._budget = RetryBudget()
        self._links = RegionLinks(me, peers, counters, clock)
        self._forwarder = Forwarder(me, peers, counters, clock, self._links)
        self._server = ForwardServer(
            peers, counters, self._links, self._dispatch
        )
        self._leader_waits = KeyedWaits[GroupId](clock, self._leader_ready)
        self._retry_waits = KeyedWaits[GroupId](clock, _never)
        self._declaration: Declaration | None = None
        self._map_by_service: dict[str, GroupMap] = {}
        self._made_ids = 0
        self._open = 0
        self._draining = False
        self._drained: list[asyncio.Future[None]] = []
        leaderships.listen(self._leadership_changed)
        peers.handle(BodyPiece, self._take_piece)

    def declaration_changed(self, declaration: Declaration) -> None:
        """Takes over a declaration; call it before ownership acts on it."""
        self._declaration = declaration
        self._map_by_service = {
            service.name: build_group_map(declaration, service)
            for service in declaration.service_by_name.values()
        }
        self._links.declaration_changed(declaration)
        self._dispatchers.declaration_changed(declaration)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answers a request, in the end with a server's answer or a refusal.

        Cancel the call when the caller goes away.
        """
        self._counters.count(counter_names.REQUESTS)
        received_ms = self._clock()
        looked_up = self._look_up(request, received_ms)
        if isinstance(looked_up, Refusal):
            return self._finished(
                request, received_ms, DispatchAnswer(refusal=looked_up)
            )
        self._open += 1
        try:
            answer = await self._attempts(looked_up)
        except asyncio.CancelledError:
            gone = counter_names.REFUSAL_BY_CODE[ResultCode.caller_gone]
            self._counters.count(gone)
            raise
        finally:
            self._open -= 1
            self._report_drained()
        return self._finished(request, received_ms, answer)

    async def drain(self) -> None:
        """Refuses new requests and waits for the ones under way."""
        self._draining = True
        drained: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._drained.append(drained)
        self._report_drained()
        await drained

    def link_replaced(self, peer_name: str) -> None:
        """Sends again, where it is allowed, what the old link may have lost."""
        self._forwarder.link_replaced(peer_name)

    def _report_drained(self) -> None:
        if not self._draining or self._open:
            return
        for drained in self._drained:
            if not drained.done():
                drained.set_result(None)
        self._drained.clear()

    def _look_up(
        self, request: CallerRequest, received_ms: float
    ) -> Errand | Refusal:
        # No Result here: making one costs 1.6 µs of about 30 for a request.
        if self._draining:
            return self._error(ResultCode.instance_draining)
        if self._declaration is None:
            return self._error(ResultCode.no_declaration)
        service = self._declaration.service_by_name.get(request.service)
        if service is None:
            return self._error(ResultCode.service_unknown)
        kind = service.kind_by_name.get(request.kind)
        code = _request_problem(request, service, kind)
        if code is not None:
            return self._error(code)
        group_map = self._map_by_service[service.name]
        if not group_map.groups:
            return self._error(ResultCode.leader_unknown)
        return self._errand(request, service, kind, group_map, received_ms)

    def _errand(
        self,
        request: CallerRequest,
        service: Service,
        kind: Kind | None,
        group_map: GroupMap,
        received_ms: float,
    ) -> Errand:
        slot = slot_of_key(request.key, service.slot_count)
        repeatable = _repeatable(request, kind)
        default_priority = (
            _PRIORITY_BROWSING if repeatable else _PRIORITY_NON_REPEATABLE
        )
        deadline_ms = request.deadline_ms
        if deadline_ms is None:
            deadline_ms = kind.deadline_ms if kind else service.deadline_ms
        return Errand(
            request=request,
            request_id=self._request_id(request, repeatable=repeatable),
            group=group_map.group_of_slot(slot),
            slot=slot,
            repeatable=repeatable,
            priority=kind.priority if kind else default_priority,
            received_ms=received_ms,
            deadline_ms=received_ms + deadline_ms,
            body_limit_bytes=service.body_limit_bytes,
        )

    def _request_id(self, request: CallerRequest, *, repeatable: bool) -> str:
        if not repeatable:
            return request.request_id
        # Two repeatable requests with one caller's id are separate work; a
        # cancellation at the server must not hit the other one.
        self._made_ids += 1
        return f'{self._me.incarnation}-{self._made_ids}'

    async def _attempts(self, errand: Errand) -> DispatchAnswer:
        """Sends the request, again where that is safe and may help."""
        self._budget.count_first_attempt()
        unknown: DispatchAnswer | None = None
        attempt = 0
        while True:
            answer = await self._attempt(errand)
            refusal = answer.refusal
            if refusal is None:
                return answer
            if refusal.outcome == Outcome.unknown:
                unknown = answer
            errand = self._redirected(errand, refusal)
            if not await self._pause_for_retry(errand, refusal, attempt):
                # A later "not run" does not undo an earlier "unknown".
                return unknown or answer
            attempt += 1

    def _redirected(self, errand: Errand, refusal: Refusal) -> Errand:
        """Turns to the group that still owns the slot, or owns it now."""
        if refusal.other_group in {None, errand.group}:
            return errand
        self._counters.count(counter_names.REDIRECTED)
        return replace(errand, group=refusal.other_group)

    async def _pause_for_retry(
        self, errand: Errand, refusal: Refusal, attempt: int
    ) -> bool:
        """Waits before the next attempt; false when there is none."""
        if not may_retry(refusal, repeatable=errand.repeatable):
            return False
        delay_ms = retry_delay_ms(attempt, self._random_unit)
        next_ms = self._clock() + delay_ms
        if next_ms >= errand.deadline_ms:
            return False
        # A redirect is not repeated work: nothing was asked to run before.
        if refusal.other_group is None and not self._budget.take():
            self._counters.count(counter_names.RETRY_DENIED)
            return False
        self._counters.count(counter_names.RETRY_BY_CODE[refusal.code])
        await self._retry_waits.wait(errand.group, next_ms)
        return True

    async def _attempt(self, errand: Errand) -> DispatchAnswer:
        """Makes one attempt at the leader, once there is one in reach."""
        found = await self._find_leader(errand)
        if isinstance(found, Refusal):
            return DispatchAnswer(refusal=found)
        leader = found
        asked_ms = self._clock()
        if self._is_me(leader):
            self._counters.count(counter_names.SERVED_LOCALLY)
            return await self._dispatch(errand.forward(0, asked_ms))
        answer = await self._forwarder.forward(leader, errand)
        passed_ms = self._clock() - asked_ms
        return replace(
            answer,
            hops=(*answer.hops, Hop('forward', leader.name, passed_ms)),
        )

    async def _find_leader(self, errand: Errand) -> InstanceRef | Refusal:
        """Returns the leader; waits while it is unknown or out of reach."""
        group = errand.group
        code = self._leader_obstacle(group)
        if code is not None:
            self._counters.count(counter_names.HELD)
        while code is not None:
            full = self._leader_waits.count >= _HELD_LIMIT
            if full or self._clock() >= errand.deadline_ms:
                return self._error(code)
            await self._leader_waits.wait(group, errand.deadline_ms)
            code = self._leader_obstacle(group)
        leadership = self._leaderships.leadership(group)
        if leadership is None:
            return self._error(ResultCode.leader_unknown)
        return leadership.leader

    def _leader_obstacle(self, group: GroupId) -> ResultCode | None:
        leadership = self._leaderships.leadership(group)
        if leadership is None:
            return ResultCode.leader_unknown
        leader = leadership.leader
        if self._is_me(leader):
            known = self._dispatchers.find(group)
            return ResultCode.not_leader if known is None else None
        if self._peers.silence_ms(leader.name) > SUSPICION_TIMEOUT_MS:
            return ResultCode.owner_unreachable
        return None

    def _leader_ready(self, group: GroupId) -> bool:
        return self._leader_obstacle(group) is None

    def _is_me(self, leader: InstanceRef) -> bool:
        return (
            leader.name == self._me.name
            and leader.incarnation == self._me.incarnation
        )

    async def _dispatch(self, forward: Forward) -> DispatchAnswer:
        dispatcher = self._dispatchers.find(forward.group)
        if dispatcher is None:
            return refused_answer(ResultCode.not_leader, self._where)
        return await dispatcher.dispatch(forward)

    def _leadership_changed(self, leadership: Leadership) -> None:
        self._forwarder.leadership_changed(leadership)
        self._leader_waits.release(leadership.group)
        self._retry_waits.release(leadership.group)

    def _take_piece(self, sender: InstanceRef, message: PeerMessage) -> None:
        if not isinstance(message, BodyPiece):
            return
        if message.of_answer:
            self._forwarder.take_piece(sender, message)
        else:
            self._server.take_piece(sender, message)

    def _finished(
        self,
        request: CallerRequest,
        received_ms: float,
        answer: DispatchAnswer,
    ) -> CallerAnswer:
        refusal = answer.refusal
        now_ms = self._clock()
        duration_ms = now_ms - received_ms
        hops = (*answer.hops, Hop('entry', self._me.name, duration_ms))
        if refusal is None:
            self._counters.count(counter_names.DONE)
        else:
            self._counters.count(counter_names.REFUSAL_BY_CODE[refusal.code])
        if self.slow_requests.worth_noting(request.service, duration_ms):
            self.slow_requests.note(
                SlowRequest(
                    service=request.service,
                    key=request.key,
                    request_id=request.request_id,
                    duration_ms=duration_ms,
                    finished_ms=now_ms,
                    code=0 if refusal is None else int(refusal.code),
                    hops=hops,
                )
            )
        return replace(answer, hops=hops)

    def _error(self, code: ResultCode) -> Refusal:
        return refuse(code, self._where)


def _repeatable(request: CallerRequest, kind: Kind | None) -> bool:
    if kind is not None:
        return kind.repeatable
    return request.method in _REPEATABLE_METHODS


def _request_problem(
    request: CallerRequest, service: Service, kind: Kind | None
) -> ResultCode | None:
    if request.kind and kind is None:
        return ResultCode.kind_unknown
    if len(request.body) > service.body_limit_bytes:
        return ResultCode.body_too_large
    if not request.request_id and not _repeatable(request, kind):
        return ResultCode.idempotency_key_missing
    return None


def _never(_group: GroupId) -> bool:
    return False
