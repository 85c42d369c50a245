"""Queues requests for servers and sends them.

While instances agree on the sender, one instance sends all requests of a
server, so that its queue knows the server's whole load. Correctness does not
depend on that: servers check that they own the key of a request.
"""

import asyncio
from functools import partial
from math import inf

import msgspec
import structlog

from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Place, Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.answer_evidence import (
    Sending,
    answer_matcher,
    record_answer,
)
from yuccadale_edge._internal.routing.attempts import Attempts
from yuccadale_edge._internal.routing.codec import RequestCodec
from yuccadale_edge._internal.routing.forwarding import Forwarder
from yuccadale_edge._internal.routing.health_probes import HealthProbes
from yuccadale_edge._internal.routing.load_choice import (
    Candidate,
    LoadChoice,
)
from yuccadale_edge._internal.routing.load_reports import LoadReports
from yuccadale_edge._internal.routing.pacing import ReturnTimes
from yuccadale_edge._internal.routing.rate_limits import RateLimits
from yuccadale_edge._internal.routing.region_links import (
    MAX_CROSSING_BYTES,
    needs_room,
)
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
    Served,
)
from yuccadale_edge._internal.routing.second_attempts import (
    Attempt,
    first_result,
)
from yuccadale_edge._internal.routing.server_load import ServerLoads
from yuccadale_edge._internal.routing.server_queue import (
    AdmissionError,
    ServerQueue,
    ServiceTimes,
)
from yuccadale_edge._internal.routing.server_statements import ServerStatements
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.transport.client_connection import (
    UNACKNOWLEDGED_S,
    Answer,
    AnswerLostError,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import ClientPool

_log = structlog.get_logger()

_CONNECT_TIMEOUT_S = 0.4
# How long an unreachable server gets no requests.
_UNREACHABLE_S = 1.0
# Requests in flight beyond a server's slots, to keep the slots busy during the
# network round trip.
_EXTRA_IN_FLIGHT = 0
_FIRST_SERVER_ERROR = 500
_MS_PER_S = 1000.0
# Weight of a new measurement in a server's slowdown.
_EWMA_WEIGHT = 0.05
# Extra cost of a server in another data centre or region, in requests.
_DISTANCE_COST = (0, 0.15, 1.5)
# A server is not chosen for at most this time after its sender refused a
# request.
_LIMIT_USED_S = 0.25

# A second attempt is made when it would end so long before the target, unless
# the first server is known to be slow: times vary by about that much.
_SECOND_SPARE_S = 0.1

TimeSample = tuple[str, str, float]


class Dispatcher:
    """Chooses servers, queues requests for them and sends them."""

    def __init__(
        self,
        system_view: SystemView,
        pool: ClientPool,
        codec: RequestCodec,
        metrics: Metrics,
        place: Place,
        forwarder: Forwarder,
        attempts: Attempts,
    ) -> None:
        self.service_times = ServiceTimes()
        self.service_time_samples: list[TimeSample] = []
        self._system_view = system_view
        self._pool = pool
        self._codec = codec
        self._metrics = metrics
        self._place = place
        self._forwarder = forwarder
        self._attempts = attempts
        self.rate_limits = RateLimits(metrics, elapsed_s)
        self.statements = ServerStatements(
            system_view,
            codec,
            metrics,
            self.rate_limits,
            self.service_times,
            self._refuse_queued,
        )
        self.loads = ServerLoads(elapsed_s)
        self._load_choice = LoadChoice(self.loads, place, metrics, elapsed_s)
        self._load_reports = LoadReports(
            self.loads, self._load_choice, pool, codec, metrics
        )
        self._health_probes = HealthProbes(
            system_view, pool, codec, metrics, forwarder
        )
        self._queue_by_holder: dict[Holder, ServerQueue] = {}
        self._limit_used_until_s: dict[Holder, float] = {}
        self._returns_by_service: dict[str, ReturnTimes] = {}
        self._probes: set[asyncio.Task[None]] = set()

    async def serve(self, request: RoutedRequest) -> Result:
        """Sends a request to its owner, or to any server of the service."""
        deadline_s = elapsed_s() + request.remaining_ms / _MS_PER_S
        self._system_view.cold_servers.check_pause()
        if request.server_id is None:
            return await self._serve_at_any(request, deadline_s)
        server = self._system_view.servers.server_by_id.get(request.server_id)
        if server is None or server.incarnation != request.incarnation:
            # The instance that forwarded may not know yet that it has left.
            return Refused(
                ResultCode.server_draining,
                'the server is not registered',
                server_id=request.server_id,
            )
        if not self._place.allows(server.data_centre, request.regions):
            return Refused(
                ResultCode.region_not_allowed,
                'the owner of the key is in another region',
                server_id=request.server_id,
            )
        return await self._serve_at(server, request, deadline_s)

    def maintain_queues(self) -> None:
        """Forgets servers and services that are no longer registered.

        The queues of the others may send again after their limit changed.
        """
        servers = self._system_view.servers.server_by_id.values()
        known = set(map(_holder, servers))
        services = {server.service for server in servers}
        for service in self._returns_by_service.keys() - services:
            self._returns_by_service.pop(service)
        self.rate_limits.keep_only(known)
        self.statements.keep_only(known)
        self.loads.keep_only(known)
        self._load_choice.keep_only(known, services)
        self._load_reports.keep_only(known)
        self._refuse_queued()
        self._load_reports.probe_due(
            self._system_view.configuration,
            self._forwarder.sends_for,
            self._may_probe,
        )
        self._review_cold_servers()
        for holder in self._limit_used_until_s.keys() - known:
            self._limit_used_until_s.pop(holder)
        for holder in list(self._queue_by_holder):
            queue = self._queue_by_holder[holder]
            if holder not in known and not queue.running:
                queue.close()
                self._queue_by_holder.pop(holder)
            else:
                queue.admit_next()

    def _may_probe(self, server: Server) -> bool:
        """Whether the health path of a server may be asked.

        A request to a limited server would count against its limit.
        """
        holder = Holder(server.server_id, server.incarnation)
        return (
            not self._is_limited(server)
            and self._system_view.usable(server)
            and self.statements.refusal_code(holder) is None
        )

    async def _serve_at_any(
        self, request: RoutedRequest, deadline_s: float
    ) -> Result:
        tried: set[Holder] = set()
        request = self._keep_large_body_in_region(request)
        server = self._choose_server(request, tried, deadline_s)
        if server is None:
            return self._no_server(request)
        best: Result | None = None
        attempts = 0
        while server is not None:
            tried.add(_holder(server))
            result = await self._serve_once(
                server, request, deadline_s, tried, attempts
            )
            result.attempts += attempts
            attempts = result.attempts
            best = result if best is None else _more_informative(best, result)
            if not await self._may_try_elsewhere(result, request, deadline_s):
                return best
            server = self._choose_server(request, tried, deadline_s)
        assert best is not None
        best.attempts = attempts
        return best

    def _keep_large_body_in_region(
        self, request: RoutedRequest
    ) -> RoutedRequest:
        """Restricts a large body to the servers of this region, if it has any.

        All traffic between two regions shares one link, which bodies of 60 kB
        fill at some 60 requests a second.
        """
        if len(request.body) <= MAX_CROSSING_BYTES:
            return request
        regions = (self._place.region,)
        if not self._place.allows(self._place.data_centre, request.regions):
            return request
        kept = msgspec.structs.replace(request, regions=regions)
        servers = self._system_view.servers.of(request.service)
        if any(self._is_usable(server, kept) for server in servers):
            return kept
        return request

    async def _serve_once(
        self,
        server: Server,
        request: RoutedRequest,
        deadline_s: float,
        tried: set[Holder],
        earlier_attempts: int,
    ) -> Result:
        """Sends a request, to a second server if the first one is too slow."""
        first = self._serve_at(server, request, deadline_s)
        if not request.repeatable or not self._load_choice.governs(request):
            return await first
        target_s = elapsed_s() + self._until_target_s(request)

        async def send(chosen: Server) -> Attempt | None:
            if not await self._attempts.may_continue(
                request, earlier_attempts + 1
            ):
                return None
            tried.add(_holder(chosen))
            self._metrics.count('second_attempts', service=request.service)
            return self._serve_at(chosen, request, deadline_s)

        choose = partial(self._second_server, server, request, target_s, tried)
        return await first_result(first, self._mean_s(request), choose, send)

    def _second_server(
        self,
        server: Server,
        request: RoutedRequest,
        target_s: float,
        tried: set[Holder],
    ) -> Server | None:
        """Returns a server that answers in time if the present one will not.

        While the present server does not count as slow, it has until the last
        moment at which another one could answer in time.
        """
        end_s = self._load_reports.expected_end_s(server, request)
        if end_s is None or end_s <= target_s:
            return None
        chosen = self._choose_by_reports(request, tried)
        if chosen is None:
            return None
        spare_s = target_s - elapsed_s()
        spare_s -= chosen.completion_s(self._mean_s(request))
        may_wait = not self._load_choice.is_slow(
            Holder(server.server_id, server.incarnation)
        )
        if spare_s < 0 or (may_wait and spare_s > _SECOND_SPARE_S):
            return None
        return chosen.server

    async def _may_try_elsewhere(
        self, result: Result, request: RoutedRequest, deadline_s: float
    ) -> bool:
        """Whether another server may get a request."""
        if isinstance(result, Served):
            retry = self._should_retry_error(result, request, deadline_s)
        else:
            retry = _is_retryable_elsewhere(result, request)
        if not retry:
            return False
        return not result.attempts or await self._attempts.may_continue(
            request, result.attempts
        )

    def _no_server(self, request: RoutedRequest) -> Refused:
        """Returns the refusal for a service without a server to choose."""
        service = request.service
        if self._system_view.all_leave(service):
            return Refused(
                ResultCode.server_draining,
                'all servers of the service leave',
                _UNREACHABLE_S,
            )
        usable = [
            server
            for server in self._system_view.servers.of(service)
            if self._is_usable(server, request)
        ]
        paused = self.statements.first_return(usable, request)
        if paused is not None:
            return paused
        if usable and self._load_choice.best(request) is not None:
            return Refused(
                ResultCode.deadline_too_short,
                'no server is expected to complete the request in time',
                self._load_choice.book_return_s(request),
            )
        if usable:
            return Refused(
                ResultCode.server_limited,
                'the limits of all usable servers are used up',
                self._book_return_s(service, usable),
            )
        return Refused(
            ResultCode.owner_unreachable,
            'no server of the service is usable',
            _UNREACHABLE_S,
        )

    def _book_return_s(self, service: str, servers: list[Server]) -> float:
        """Returns when a caller may return whose request was not forwarded.

        One instance in each region sends for a service; all may use the same
        part of the limits.
        """
        limits = map(self._limit_per_s, servers)
        returns = self._returns_by_service.setdefault(
            service, ReturnTimes(elapsed_s)
        )
        total_per_s = sum(limit or 0 for limit in limits)
        per_s = total_per_s / self._count_regions()
        return max(_LIMIT_USED_S, returns.book_s(per_s))

    def _count_regions(self) -> int:
        """Returns the number of regions with instances, at least 1."""
        region_of = self._place.region_by_data_centre
        instances = self._system_view.instance_by_name.values()
        regions = {region_of.get(one.data_centre) for one in instances}
        return max(1, len(regions))

    def _should_retry_error(
        self, served: Served, request: RoutedRequest, deadline_s: float
    ) -> bool:
        """Whether a server error is retried at another server."""
        left_s = deadline_s - elapsed_s()
        return (
            request.repeatable
            and served.status >= _FIRST_SERVER_ERROR
            and left_s > self.service_times.mean_s(request.route) * 2
        )

    def _choose_server(
        self, request: RoutedRequest, tried: set[Holder], deadline_s: float
    ) -> Server | None:
        """Returns the server to send to; None if there is none in time."""
        if not self._load_choice.governs(request):
            return self._choose_by_own_load(request, tried)
        chosen = self._choose_by_reports(request, tried)
        if chosen is None:
            return None
        completion_s = chosen.completion_s(self._mean_s(request))
        return (
            None if elapsed_s() + completion_s > deadline_s else chosen.server
        )

    def _choose_by_reports(
        self, request: RoutedRequest, tried: set[Holder]
    ) -> Candidate | None:
        excluded = set(tried)
        while True:
            chosen = self._load_choice.choose(
                request,
                self._mean_s(request),
                excluded,
                partial(self._candidates, request),
                self._pacing_wait_s,
            )
            # What is kept of the servers may be older than an answer.
            if chosen is None or self._may_choose(
                chosen.server, request, excluded
            ):
                return chosen
            excluded.add(chosen.holder)

    def _candidates(
        self, request: RoutedRequest
    ) -> list[tuple[Server, ServerQueue]]:
        return [
            (server, self._queue(server))
            for server in self._system_view.servers.of(request.service)
            if self._may_choose(server, request, set())
        ]

    def _pacing_wait_s(self, server: Server, request: RoutedRequest) -> float:
        """Returns the wait for the limit of a server that is paced here."""
        if not self._is_limited(server):
            return 0
        if self._is_sent_by_another(server, request):
            return 0
        return self._queue(server).expected_wait_s()

    def _mean_s(self, request: RoutedRequest) -> float:
        """Returns the expected service time on an average server."""
        mean_s = self.service_times.mean_s(request.route)
        if self._load_choice.governs(request):
            return self.loads.mean_s(request.route, mean_s)
        return mean_s

    def _choose_by_own_load(
        self, request: RoutedRequest, tried: set[Holder]
    ) -> Server | None:
        best: Server | None = None
        best_cost = float('inf')
        for server in self._system_view.servers.of(request.service):
            if not self._may_choose(server, request, tried):
                continue
            queue = self._queue(server)
            mean_s = self.service_times.mean_s(request.route)
            rank = queue.rank(
                priority=request.priority,
                caller_retry=request.caller_retry,
                expected_service_s=mean_s,
                until_target_s=self._until_target_s(request),
            )
            wait_s: float = 0
            if not self._is_sent_by_another(server, request):
                wait_s = queue.expected_wait_s(rank, request.priority)
            cost = wait_s / mean_s + queue.slowdown * (
                1.0 + queue.running / queue.limit / 2
            )
            distance = self._place.distance(server.data_centre)
            cost += _DISTANCE_COST[distance]
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def _is_sent_by_another(
        self, server: Server, request: RoutedRequest
    ) -> bool:
        """Whether another instance sends, whose queue is not known here."""
        return (
            self._is_limited(server)
            and self._forwarder.limit_sender(server, request) is not None
        )

    def _limit_per_s(self, server: Server) -> float | None:
        """Returns the limit of a server that named one or is cold."""
        per_s = min(
            _or_inf(self.rate_limits.per_s(_holder(server))),
            _or_inf(self._system_view.cold_per_s(server)),
        )
        return None if per_s == inf else per_s

    def _is_limited(self, server: Server) -> bool:
        return self._limit_per_s(server) is not None

    def _is_cold(self, server: Server) -> bool:
        return self._system_view.cold_per_s(server) is not None

    def _is_usable(self, server: Server, request: RoutedRequest) -> bool:
        return self._system_view.usable(server) and self._place.allows(
            server.data_centre, request.regions
        )

    def _may_choose(
        self, server: Server, request: RoutedRequest, tried: set[Holder]
    ) -> bool:
        holder = _holder(server)
        return (
            holder not in tried
            and self._is_usable(server, request)
            and self._takes_requests(holder)
            and not self._is_cold_limit_used(server, request)
        )

    def _takes_requests(self, holder: Holder) -> bool:
        until_s = self._limit_used_until_s.get(holder, 0)
        return (
            until_s <= elapsed_s()
            and self.statements.refusal_code(holder) is None
        )

    def _is_cold_limit_used(
        self, server: Server, request: RoutedRequest
    ) -> bool:
        """Whether a request would wait here for a cold server.

        Requests without a key are served by other servers meanwhile.
        """
        return (
            request.key is None
            and self._is_cold(server)
            and not self._is_sent_by_another(server, request)
            and self._queue(server).delayed
        )

    async def _serve_at(
        self, server: Server, request: RoutedRequest, deadline_s: float
    ) -> Result:
        """Sends a request to a server, through the sender of a limited one."""
        if self._is_limited(server):
            self._space_choices(server, request)
            result = await self._serve_through_sender(
                server, request, deadline_s
            )
            if result is not None:
                self._record_limit_use(server, result)
                return result
        if not needs_room(self._place, request, server.data_centre):
            return await self._queue_and_send(server, request, deadline_s)
        async with self._forwarder.region_links.crossing(
            request, server.data_centre
        ) as crossing:
            if crossing.refused is not None:
                return crossing.refused
            result = await self._queue_and_send(server, request, deadline_s)
            crossing.observe_sent(result)
            return result

    async def _serve_through_sender(
        self, server: Server, request: RoutedRequest, deadline_s: float
    ) -> Result | None:
        """Forwards a request to the first sender that is reached, if any."""
        while True:
            sender = self._forwarder.limit_sender(server, request)
            if sender is None:
                return None
            forwarded = msgspec.structs.replace(
                request,
                server_id=server.server_id,
                incarnation=server.incarnation,
                remaining_ms=(deadline_s - elapsed_s()) * _MS_PER_S,
            )
            result = await self._forwarder.forward(sender, forwarded)
            if result is not None:
                self.statements.observe_forwarded(result)
                return result

    def _space_choices(self, server: Server, request: RoutedRequest) -> None:
        """Spaces the requests to a cold server that another instance sends.

        One instance in each region chooses servers for a service without keys.
        Their requests would be refused one after another by all cold servers
        before a warm one is chosen.
        """
        cold_per_s = self._system_view.cold_per_s(server)
        if cold_per_s is None or request.key is not None:
            return
        if self._is_sent_by_another(server, request):
            self._block_choice(server, self._count_regions() / cold_per_s)

    def _record_limit_use(self, server: Server, result: Result) -> None:
        """Chooses other servers while the limit of this one is used up."""
        if isinstance(result, Served):
            return
        if result.code == ResultCode.server_limited:
            self._block_choice(
                server, min(result.retry_after_s or 0, _LIMIT_USED_S)
            )

    def _block_choice(self, server: Server, for_s: float) -> None:
        holder = _holder(server)
        known_s = self._limit_used_until_s.get(holder, 0)
        self._limit_used_until_s[holder] = max(known_s, elapsed_s() + for_s)

    async def _queue_and_send(
        self, server: Server, request: RoutedRequest, deadline_s: float
    ) -> Result:
        refused = self.statements.refusal(server, request)
        if refused is not None:
            return refused
        queue = self._queue(server)
        if self._is_cold_limit_used(server, request):
            return _cold_limit_used(
                server, self._book_return_s(server.service, [server])
            )
        governed = self._load_choice.governs(request)
        if governed:
            self._load_choice.apply(server, queue)
        mean_s = self._mean_s(request)
        queued_s = elapsed_s()
        try:
            async with queue.admit(
                priority=request.priority,
                caller_retry=request.caller_retry,
                expected_service_s=mean_s,
                remaining_s=deadline_s - queued_s,
                until_target_s=self._until_target_s(request),
            ):
                waited_ms = (elapsed_s() - queued_s) * _MS_PER_S
                with self._load_reports.in_flight(
                    server, request, queue
                ) as in_flight:
                    result = await self._send(
                        server, queue, request, deadline_s, waited_ms
                    )
                    in_flight.answered = isinstance(result, Served)
                    return result
        except AdmissionError as refusal:
            return_s = max(refusal.expected_wait_s, mean_s / 2)
            if governed:
                return_s = self._load_choice.book_return_s(request)
            return self.statements.refusal(server, request) or Refused(
                refusal.code,
                f'{queue.running} running, {queue.waiting} queued',
                return_s,
                server.server_id,
                waited_ms=(elapsed_s() - queued_s) * _MS_PER_S,
            )

    def _refuse_queued(self) -> None:
        """Refuses queued requests that may no longer be sent."""
        for holder, queue in self._queue_by_holder.items():
            code = self.statements.refusal_code(holder)
            if code is None:
                continue
            refused = queue.refuse_waiting(code)
            if refused:
                self._metrics.count(
                    'requests_taken_from_queues', refused, code=code.name
                )
                _log.info(
                    'queued requests not sent to a server',
                    server=holder.server_id,
                    code=int(code),
                    requests=refused,
                )

    def _until_target_s(self, request: RoutedRequest) -> float:
        return max(0, request.until_target_ms / _MS_PER_S)

    async def _send(
        self,
        server: Server,
        queue: ServerQueue,
        request: RoutedRequest,
        deadline_s: float,
        waited_ms: float,
    ) -> Result:
        sent_s = elapsed_s()
        was_cold = self._is_cold(server)
        try:
            async with self._pool.acquire(
                server.address,
                _CONNECT_TIMEOUT_S,
                # Without an id only the first answer of a connection is sure
                # to be the one to the request.
                force_new=not request.request_id,
                request_id=request.request_id,
            ) as connection:
                refused = self._refusal_at_last(
                    server, request, was_cold=was_cold
                )
                if refused is not None:
                    return refused
                left_s = deadline_s - elapsed_s()
                head = self._codec.encode_head(
                    request, server, left_s * _MS_PER_S
                )
                self._count_sent(server)
                sending = Sending(request, server, connection)
                async with asyncio.timeout(max(0, left_s)):
                    answer = await connection.exchange(
                        head,
                        answer_matcher(sending, self._codec, self._metrics),
                        # No kernel sends it after its deadline, also if this
                        # process is stopped.
                        min(left_s, UNACKNOWLEDGED_S),
                        head_only=request.method == b'HEAD',
                        body=request.body,
                    )
                record_answer(sending, answer, self._codec, self._metrics)
        except NotSentError as error:
            self._mark_unreachable(server, str(error))
            return Refused(
                ResultCode.server_unreachable,
                str(error),
                _UNREACHABLE_S / 2,
                server.server_id,
            )
        except AnswerLostError as error:
            self._metrics.count('answer_lost', service=request.service)
            return Refused(
                ResultCode.answer_lost,
                str(error),
                None,
                server.server_id,
                attempts=1,
            )
        except TimeoutError:
            self._probe(server)
            return Refused(
                ResultCode.answer_lost,
                'the deadline has passed',
                None,
                server.server_id,
                attempts=1,
            )
        service_s = elapsed_s() - sent_s
        self.statements.observe(server, answer, sent_s)
        self._load_reports.observe(
            server, answer, ended=int(request.key is None)
        )
        if self._codec.not_executed(answer):
            return self._not_executed(server, queue, request, answer)
        self._record_service_time(server, queue, request, service_s)
        return Served(
            answer.status,
            answer.headers,
            answer.body,
            server.server_id,
            1,
            waited_ms,
            service_s * _MS_PER_S,
            server.incarnation,
        )

    def _refusal_at_last(
        self, server: Server, request: RoutedRequest, *, was_cold: bool
    ) -> Refused | None:
        """Returns why a request that was admitted is not sent, if so.

        Args:
            server: the server.
            request: the request, for which a connection is open.
            was_cold: whether it was paced for a cold server.
        """
        self._system_view.cold_servers.check_pause()
        cold_per_s = self._system_view.cold_per_s(server)
        if cold_per_s is not None and not was_cold:
            return _cold_limit_used(server, 1 / cold_per_s)
        return self.statements.refusal(server, request)

    def _count_sent(self, server: Server) -> None:
        self.rate_limits.count_sent(server)
        if self._is_cold(server):
            self._metrics.count('cold_sends', server=server.server_id)

    def _not_executed(
        self,
        server: Server,
        queue: ServerQueue,
        request: RoutedRequest,
        answer: Answer,
    ) -> Refused:
        wrong = self._codec.is_misdirected(answer)
        paused = self.statements.refusal(server, request)
        if paused is not None and not wrong:
            paused.attempts = 1
            return paused
        code = ResultCode.server_shedding
        if wrong:
            code = ResultCode.server_refused_token
        self._metrics.count(
            'server_refusal', service=request.service, code=code.name
        )
        return Refused(
            code,
            'the server did not run the request',
            max(
                queue.expected_wait_s(),
                self.service_times.mean_s(request.route),
            ),
            server.server_id,
            attempts=1,
        )

    def _record_service_time(
        self,
        server: Server,
        queue: ServerQueue,
        request: RoutedRequest,
        service_s: float,
    ) -> None:
        mean_s = self.service_times.mean_s(request.route)
        ratio = service_s / mean_s
        queue.slowdown += (min(ratio, 10.0) - queue.slowdown) * _EWMA_WEIGHT
        self.service_times.record(request.route, service_s)
        self.service_time_samples.append(
            (server.server_id, request.route, service_s)
        )

    def _queue(self, server: Server) -> ServerQueue:
        holder = _holder(server)
        queue = self._queue_by_holder.get(holder)
        if queue is None:
            queue = ServerQueue(
                server.slots + _EXTRA_IN_FLIGHT,
                elapsed_s,
                partial(self._sending_rate, server),
            )
            self._queue_by_holder[holder] = queue
        return queue

    def _sending_rate(self, server: Server) -> float:
        holder = _holder(server)
        cold_per_s = self._system_view.cold_per_s(server)
        if cold_per_s is None and not self.rate_limits.restricts(holder):
            return inf
        share = self._forwarder.limit_share(server)
        per_s = self.rate_limits.sending_rate(holder, share)
        return per_s if cold_per_s is None else min(per_s, cold_per_s * share)

    def _mark_unreachable(self, server: Server, reason: str) -> None:
        availability = self._system_view.availability
        if availability.mark_unreachable(server.server_id, _UNREACHABLE_S):
            _log.warning(
                'server unreachable',
                server=server.server_id,
                service=server.service,
                reason=reason,
                for_s=_UNREACHABLE_S,
            )
        self._pool.close_idle(server.address)

    def _review_cold_servers(self) -> None:
        """Applies changes of the cold servers, and asks where unclear."""
        view = self._system_view
        if view.configuration is None:
            return
        cold, added = view.cold_servers.review(
            view.servers.server_by_id.values(),
            view.configuration.service_by_name,
        )
        if cold or added:
            self._metrics.gauge('cold_servers', len(cold))
        else:
            self._metrics.remove_gauge('cold_servers')
        for holder in added & self._queue_by_holder.keys():
            # They were queued for a server without a limit.
            self._queue_by_holder[holder].refuse_waiting(
                ResultCode.server_limited
            )
        self._health_probes.start_due()

    def _probe(self, server: Server) -> None:
        if self.statements.refusal_code(_holder(server)) is not None:
            return
        task = asyncio.create_task(self._check_connection(server))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _check_connection(self, server: Server) -> None:
        try:
            async with self._pool.acquire(
                server.address, _CONNECT_TIMEOUT_S, force_new=True
            ):
                """Opening the connection is the whole check."""
        except NotSentError as error:
            self._mark_unreachable(server, str(error))


def _holder(server: Server) -> Holder:
    return Holder(server.server_id, server.incarnation)


def _cold_limit_used(server: Server, wait_s: float) -> Refused:
    return Refused(
        ResultCode.server_limited,
        'the server is cold, and its limit is used up',
        wait_s,
        server.server_id,
    )


def _or_inf(per_s: float | None) -> float:
    return inf if per_s is None else per_s


def _more_informative(earlier: Result, later: Result) -> Result:
    """Returns the result to report after two attempts.

    A server error is an answer and takes precedence over a refusal. A refusal
    does not replace an unknown outcome, since the request may have run at the
    other server.
    """
    if isinstance(later, Served):
        return later
    if isinstance(earlier, Served):
        earlier.attempts = later.attempts
        return earlier
    if earlier.outcome == Outcome.unknown:
        earlier.attempts = later.attempts
        return earlier
    return later


def _is_retryable_elsewhere(refused: Refused, request: RoutedRequest) -> bool:
    if refused.code == ResultCode.answer_lost:
        return request.repeatable
    return refused.code in {
        ResultCode.server_shedding,
        ResultCode.server_refused_token,
        ResultCode.server_unreachable,
        ResultCode.server_limited,
        ResultCode.server_draining,
        ResultCode.server_paused,
    }
