"""Sends requests to the servers that this instance sends to.

One instance sends to a server at a time as far as instances agree, so that
its line knows all that the server is at. Safety does not depend on it: the
servers check who owns a key.
"""

import asyncio
from collections.abc import Callable

import structlog

from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Place, Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    Served,
    RoutedRequest,
)
from yuccadale_edge._internal.routing.retry_budget import RetryBudget
from yuccadale_edge._internal.routing.server_queue import (
    LineFullError,
    ServerLine,
    ServiceTimes,
)
from yuccadale_edge._internal.routing.codec import RequestCodec
from yuccadale_edge._internal.transport.client_connection import (
    AnswerLostError,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import ClientPool

_log = structlog.get_logger()

_CONNECT_TIMEOUT_S = 0.4
# How long a server that could not be reached gets nothing new.
_UNREACHABLE_S = 1.0
# Requests in excess of the slots cover the way of an answer and the next one.
_AHEAD_OF_SLOTS = 0
_FIRST_SERVER_ERROR = 500
_MS = 1000.0
# Weight of a new measurement in a server's slowness.
_NEW_SHARE = 0.05
# Extra cost of a server in another data centre or region, in requests.
_DISTANCE_COST = (0, 0.15, 1.5)

BudgetOf = Callable[[str], RetryBudget]
TimeSample = tuple[str, str, float]


class Dispatcher:
    """Lines in front of servers, and the sending itself."""

    def __init__(
        self,
        system_view: SystemView,
        pool: ClientPool,
        wire: RequestCodec,
        metrics: Metrics,
        place: Place,
        budget_of: BudgetOf,
    ) -> None:
        self.times = ServiceTimes()
        self.service_time_samples: list[TimeSample] = []
        self._system_view = system_view
        self._pool = pool
        self._wire = wire
        self._metrics = metrics
        self._place = place
        self._budget_of = budget_of
        self._line_by_holder: dict[Holder, ServerLine] = {}
        self._probes: set[asyncio.Task[None]] = set()

    async def serve(self, work: RoutedRequest) -> Result:
        """Serves a request at its owner, or at a server with room."""
        deadline_s = elapsed_s() + work.remaining_ms / _MS
        if work.server_id is None:
            return await self._serve_anywhere(work, deadline_s)
        server = self._system_view.servers.server_by_id.get(work.server_id)
        if server is None or server.incarnation != work.incarnation:
            return Refused(
                ResultCode.slot_moving,
                'the owner is not a known server',
                server_id=work.server_id,
            )
        return await self._serve_at(server, work, deadline_s)

    def drop_lines(self) -> None:
        """Forgets the lines of servers that are gone."""
        known = {
            Holder(server.server_id, server.incarnation)
            for server in self._system_view.servers.server_by_id.values()
        }
        for holder in list(self._line_by_holder):
            line = self._line_by_holder[holder]
            if holder not in known and not line.running:
                line.close()
                self._line_by_holder.pop(holder)

    async def _serve_anywhere(
        self, work: RoutedRequest, deadline_s: float
    ) -> Result:
        last: Result = Refused(
            ResultCode.owner_unreachable,
            'no server of the service is usable',
            _UNREACHABLE_S,
        )
        tried: set[str] = set()
        arrivals = 0
        while True:
            server = self._choose(work, tried)
            if server is None:
                last.arrivals = arrivals
                return last
            tried.add(server.server_id)
            result = await self._serve_at(server, work, deadline_s)
            result.arrivals += arrivals
            arrivals = result.arrivals
            last = _better(last, result)
            if isinstance(result, Served):
                again = self._worth_another(result, work, deadline_s)
            else:
                again = _may_go_elsewhere(result, work)
            if not again:
                return last
            if arrivals and not self._may_send_again(work, arrivals):
                return last

    def _worth_another(
        self, served: Served, work: RoutedRequest, deadline_s: float
    ) -> bool:
        """Whether a server's own failure is tried at another server."""
        left_s = deadline_s - elapsed_s()
        return (
            work.repeatable
            and served.status >= _FIRST_SERVER_ERROR
            and left_s > self.times.mean_s(work.route) * 2
        )

    def _may_send_again(self, work: RoutedRequest, arrivals: int) -> bool:
        if arrivals >= work.max_attempts:
            return False
        allowed = self._budget_of(work.service).take()
        outcome = 'allowed' if allowed else 'budget spent'
        self._metrics.count('retry', service=work.service, outcome=outcome)
        return allowed

    def _choose(self, work: RoutedRequest, tried: set[str]) -> Server | None:
        best: Server | None = None
        best_cost = float('inf')
        for server in self._system_view.servers.of(work.service):
            if server.server_id in tried or not self._system_view.usable(
                server
            ):
                continue
            line = self._line(server)
            mean_s = self.times.mean_s(work.route)
            rank = line.rank(
                priority=work.priority,
                returned=work.returned,
                expected_s=mean_s,
                patience_s=self._patience_s(work),
            )
            wait_s = line.room_in_s(rank)
            cost = wait_s / mean_s + line.slowness * (
                1.0 + line.running / line.limit / 2
            )
            distance = self._place.distance(server.data_centre)
            cost += _DISTANCE_COST[distance]
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    async def _serve_at(
        self, server: Server, work: RoutedRequest, deadline_s: float
    ) -> Result:
        line = self._line(server)
        asked_s = elapsed_s()
        try:
            async with line.turn(
                priority=work.priority,
                returned=work.returned,
                expected_s=self.times.mean_s(work.route),
                remaining_s=deadline_s - asked_s,
                patience_s=self._patience_s(work),
            ):
                waited_ms = (elapsed_s() - asked_s) * _MS
                return await self._send(
                    server, line, work, deadline_s, waited_ms
                )
        except LineFullError as full:
            return Refused(
                full.code,
                f'{line.running} at work, {line.waiting} wait',
                max(full.room_in_s, self.times.mean_s(work.route) / 2),
                server.server_id,
            )

    def _patience_s(self, work: RoutedRequest) -> float:
        return max(0, work.expected_ms / _MS)

    async def _send(
        self,
        server: Server,
        line: ServerLine,
        work: RoutedRequest,
        deadline_s: float,
        waited_ms: float,
    ) -> Result:
        sent_s = elapsed_s()
        try:
            async with self._pool.acquire(
                server.address, _CONNECT_TIMEOUT_S
            ) as link:
                left_s = deadline_s - elapsed_s()
                request = self._wire.encode_request(work, server, left_s * _MS)
                async with asyncio.timeout(max(0, left_s)):
                    answer = await link.exchange(
                        request, self._wire.answer_matcher(work.request_id)
                    )
        except NotSentError as error:
            self._mark_unreachable(server, str(error))
            return Refused(
                ResultCode.server_unreachable,
                str(error),
                _UNREACHABLE_S / 2,
                server.server_id,
            )
        except AnswerLostError as error:
            self._metrics.count('answer_lost', service=work.service)
            return Refused(
                ResultCode.answer_lost,
                str(error),
                None,
                server.server_id,
                arrivals=1,
            )
        except TimeoutError:
            self._probe(server)
            return Refused(
                ResultCode.answer_lost,
                'the time is over',
                None,
                server.server_id,
                arrivals=1,
            )
        worked_s = elapsed_s() - sent_s
        if self._wire.not_executed(answer):
            return self._not_executed(server, line, work, answer)
        self._note_time(server, line, work, worked_s)
        return Served(
            answer.status,
            answer.headers,
            answer.body,
            server.server_id,
            1,
            waited_ms,
            worked_s * _MS,
        )

    def _not_executed(
        self,
        server: Server,
        line: ServerLine,
        work: RoutedRequest,
        answer: object,
    ) -> Refused:
        moved = self._wire.is_misdirected(answer)  # type: ignore[arg-type]
        code = ResultCode.server_shedding
        if moved:
            code = ResultCode.server_refused_token
        self._metrics.count(
            'server_refusal', service=work.service, code=code.name
        )
        return Refused(
            code,
            'the server did not run it',
            max(line.room_in_s(), self.times.mean_s(work.route)),
            server.server_id,
            arrivals=1,
        )

    def _note_time(
        self,
        server: Server,
        line: ServerLine,
        work: RoutedRequest,
        worked_s: float,
    ) -> None:
        mean_s = self.times.mean_s(work.route)
        ratio = worked_s / mean_s
        line.slowness += (min(ratio, 10.0) - line.slowness) * _NEW_SHARE
        self.times.note(work.route, worked_s)
        self.service_time_samples.append(
            (server.server_id, work.route, worked_s)
        )

    def _line(self, server: Server) -> ServerLine:
        holder = Holder(server.server_id, server.incarnation)
        line = self._line_by_holder.get(holder)
        if line is None:
            line = ServerLine(server.slots + _AHEAD_OF_SLOTS, elapsed_s)
            self._line_by_holder[holder] = line
        return line

    def _mark_unreachable(self, server: Server, reason: str) -> None:
        until = self._system_view.unreachable_until_by_server
        now_s = elapsed_s()
        if until.get(server.server_id, 0) < now_s:
            _log.warning(
                'server unreachable',
                server=server.server_id,
                service=server.service,
                reason=reason,
                for_s=_UNREACHABLE_S,
            )
        until[server.server_id] = now_s + _UNREACHABLE_S
        self._pool.close_idle(server.address)

    def _probe(self, server: Server) -> None:
        task = asyncio.create_task(self._connect_once(server))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _connect_once(self, server: Server) -> None:
        try:
            async with self._pool.acquire(
                server.address, _CONNECT_TIMEOUT_S, fresh=True
            ):
                """Only the connection counts."""
        except NotSentError as error:
            self._mark_unreachable(server, str(error))


def _better(earlier: Result, later: Result) -> Result:
    """Returns the result that tells the caller more.

    A server's own failure is an answer; a refusal that came after the work
    may have run at another server does not say "not run".
    """
    if isinstance(later, Served):
        return later
    if isinstance(earlier, Served):
        earlier.arrivals = later.arrivals
        return earlier
    if earlier.outcome == Outcome.unknown:
        earlier.arrivals = later.arrivals
        return earlier
    return later


def _may_go_elsewhere(refused: Refused, work: RoutedRequest) -> bool:
    if refused.code == ResultCode.answer_lost:
        return work.repeatable
    return refused.code in {
        ResultCode.server_shedding,
        ResultCode.server_refused_token,
        ResultCode.server_unreachable,
    }
