"""Routes callers' requests: service, key owner, sending instance, retries."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import structlog

from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import (
    Configuration,
    Place,
    Route,
    WeightedService,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.attempts import Attempts
from yuccadale_edge._internal.routing.codec import RequestCodec
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.forwarding import (
    Forwarder,
    decode_request,
    encode_message,
)
from yuccadale_edge._internal.routing.outcome_proofs import provable_result
from yuccadale_edge._internal.routing.owner_waits import (
    TYPICAL_MOVE_S,
    OwnerReturns,
    wait_limit_s,
)
from yuccadale_edge._internal.routing.requests import (
    CallerRequest,
    Refused,
    Result,
    RoutedRequest,
    Served,
)
from yuccadale_edge._internal.routing.server_queue import ServiceTimes
from yuccadale_edge._internal.routing.stop_guard import (
    StopGuard,
    estimate_s,
)
from yuccadale_edge._internal.supervision import contained
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    Instance,
    Owner,
    SystemView,
)
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    Reply,
)

_log = structlog.get_logger()

_MS_PER_S = 1000.0
# A request whose deadline is shorter than this share of the longest one seen on
# the route counts as a retry by the caller.
_CALLER_RETRY_SHARE = 0.95
# Retry-After of a refused request when no better estimate exists.
_DEFAULT_RETRY_AFTER_S = 0.5
# An outdated configuration is usually confirmed within this time.
_CONFIRMATION_RETRY_S = 0.3
_MAX_TRIES = 6
# An instance usually has the configuration this long after its start.
_START_S = 1.5
# Share of the time that a caller gives for which its request waits for it.
_START_WAIT_SHARE = 0.25
# Return of a caller when all servers of a service leave.
_NEXT_SERVER_S = 1.0
# Delay before a request is sent again after load shedding: a full server has
# capacity after some ms, and one that sheds a share of its requests may accept
# the next one.
_SHED_RETRY_DELAY_S = 0.03
# A request with a larger body is sent straight to its server.
_MAX_FORWARDED_BODY_BYTES = 1024 * 1024


class _Credits(NamedTuple):
    """The credits of a route's services.

    Attributes:
        earned_by: the weights by which they were earned.
        by_service: the credits.
    """

    earned_by: tuple[WeightedService, ...]
    by_service: dict[str, float]


class WeightedRoundRobin:
    """Smooth weighted round-robin over the services of each route."""

    def __init__(self) -> None:
        self._credits_by_route: dict[str, _Credits] = {}

    def pick(self, route: Route) -> str:
        """Returns the service that gets the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._credits_by_route.get(route.name)
        if credits is None or credits.earned_by != route.weighted_services:
            credits = _random_credits(route.weighted_services)
            self._credits_by_route[route.name] = credits
        by_service = credits.by_service
        total = sum(weighted.weight for weighted in route.weighted_services)
        for weighted in route.weighted_services:
            by_service[weighted.service] += weighted.weight
        chosen = max(by_service, key=by_service.__getitem__)
        by_service[chosen] -= total
        return chosen


def _random_credits(weighted_services: tuple[WeightedService, ...]) -> _Credits:
    # With equal credits all instances would start with the same service.
    by_service = {
        weighted.service: random.random() * weighted.weight
        for weighted in weighted_services
    }
    return _Credits(weighted_services, by_service)


def _refuse_outdated(reason: str) -> Refused:
    """Refuses a request that a later configuration may route otherwise."""
    return Refused(
        ResultCode.declaration_outdated, reason, _CONFIRMATION_RETRY_S
    )


def find_route(
    system_view: SystemView, host: str, path: str
) -> tuple[Configuration, Route] | Refused:
    """Returns the configuration in force and the route of a request.

    An unknown route is refused as such only while the configuration is known
    to be the newest; a newer one may have the route. Known routes are used in
    an outage of the store, but not if another instance has a later
    configuration that should be in force here.
    """
    configuration = system_view.configuration
    if configuration is None:
        return Refused(
            ResultCode.no_declaration, 'no configuration loaded yet', 1.0
        )
    if system_view.misses_configuration():
        return _refuse_outdated('another instance has a later configuration')
    route = configuration.route_for(host, path)
    if route is not None:
        return configuration, route
    if system_view.is_outdated(CONFIGURATION_TABLE):
        return _refuse_outdated(
            'no route matches, and the configuration may be outdated'
        )
    return Refused(ResultCode.service_unknown, 'no route matches')


class RequestRouter:
    """Routes callers' requests on one instance."""

    def __init__(
        self,
        system_view: SystemView,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        codec: RequestCodec,
        metrics: Metrics,
        place: Place,
        attempts: Attempts,
        record_key_work: Callable[[str, int, float], None],
        stop_guard: StopGuard,
    ) -> None:
        self._system_view = system_view
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._codec = codec
        self._metrics = metrics
        self._place = place
        self._attempts = attempts
        self._record_key_work = record_key_work
        self._stop_guard = stop_guard
        self._answer_times = ServiceTimes()
        self._owner_returns = OwnerReturns(elapsed_s)
        self._round_robin = WeightedRoundRobin()
        self._longest_s_by_route: dict[str, float] = {}
        self._created_s = elapsed_s()

    async def handle(self, message: CallerMessage) -> Reply:
        """Answers one caller request."""
        request = self._codec.read_request(message)
        with contained('request of a caller', self._metrics):
            return await self._answer(request)
        return self._refuse(
            request,
            None,
            Refused(ResultCode.instance_failed, 'unexpected error'),
        )

    def handle_forwarded(self, body: bytes, due_s: float) -> Awaitable[bytes]:
        """Serves a request that another instance forwarded.

        Args:
            body: the encoded request, which is not kept.
            due_s: when it was due to arrive; its times count from then.
        """
        return self._serve_forwarded(decode_request(body), due_s)

    async def _serve_forwarded(
        self, routed: RoutedRequest, due_s: float
    ) -> bytes:
        now_s = elapsed_s()
        asked_until_s = due_s + routed.remaining_ms / _MS_PER_S
        if asked_until_s <= now_s:
            return encode_message(
                Refused(
                    ResultCode.deadline_passed,
                    'the deadline passed before the request arrived',
                )
            )
        outdated = self._check_configuration(routed)
        if outdated is not None:
            return encode_message(outdated)
        routed.until_target_ms -= (now_s - due_s) * _MS_PER_S
        deadline_s = self._stop_guard.bounded_deadline_s(asked_until_s)
        if isinstance(deadline_s, Refused):
            return encode_message(deadline_s)
        routed.remaining_ms = (deadline_s - now_s) * _MS_PER_S
        return encode_message(await self._dispatcher.serve(routed))

    def _check_configuration(self, routed: RoutedRequest) -> Refused | None:
        """Refuses a request that a later configuration does not allow."""
        configuration = self._system_view.configuration
        if configuration is None or not routed.configuration:
            return None
        if configuration.version < routed.configuration:
            self._system_view.announce_configuration()
        if configuration.version <= routed.configuration:
            return None
        if configuration.allows(routed.route, routed.service):
            return None
        self._metrics.count('outdated_forwards')
        return _refuse_outdated(
            f'routed by version {routed.configuration}, version '
            f'{configuration.version} does not allow that'
        )

    async def _answer(self, request: CallerRequest) -> Reply:
        await self._wait_for_configuration(request)
        found = find_route(self._system_view, request.host, request.path)
        if isinstance(found, Refused):
            return self._refuse(request, None, found)
        reply = await self._answer_on_route(request, *found, may_wait=True)
        if reply is not None:
            return reply
        # Another instance has a later configuration.
        found = await self._find_later_route(request, found[0])
        if isinstance(found, Refused):
            return self._refuse(request, None, found)
        reply = await self._answer_on_route(request, *found, may_wait=False)
        assert reply is not None
        return reply

    async def _find_later_route(
        self, request: CallerRequest, known: Configuration
    ) -> tuple[Configuration, Route] | Refused:
        """Waits for a later configuration for a short time."""
        self._system_view.announce_configuration()
        until_s = elapsed_s() + _CONFIRMATION_RETRY_S
        while self._system_view.configuration is known:
            left_s = until_s - elapsed_s()
            if left_s <= 0:
                return _refuse_outdated(
                    'another instance has a later configuration'
                )
            await self._system_view.wait_for_change(left_s)
        return find_route(self._system_view, request.host, request.path)

    async def _answer_on_route(
        self,
        request: CallerRequest,
        configuration: Configuration,
        route: Route,
        *,
        may_wait: bool,
    ) -> Reply | None:
        """Answers a request by a configuration.

        Returns:
            None if a later configuration is required and may be waited for;
            the request was not sent to a server.
        """
        message = request.message
        service = self._round_robin.pick(route)
        try:
            result = await self._route_until_end(
                request, route, configuration, service
            )
        except asyncio.CancelledError:
            self._metrics.count('caller_gone', route=route.name)
            _log.info(
                'caller disconnected',
                request=request.request_id,
                route=route.name,
                after_ms=_since_ms(message.arrived_s),
            )
            raise
        result = provable_result(
            result, self._codec, repeatable=route.repeatable
        )
        if isinstance(result, Refused):
            if may_wait and _requires_later_configuration(result):
                return None
            return self._refuse(request, route, result, service)
        took_ms = _since_ms(message.arrived_s)
        self._answer_times.record(route.name, took_ms / _MS_PER_S)
        self._metrics.observe_ms('answer', took_ms, route=route.name)
        self._metrics.observe_ms('line_wait', result.waited_ms)
        self._metrics.observe_ms('server_work', result.service_ms)
        self._metrics.count(
            'answers', route=route.name, status=str(result.status)
        )
        if took_ms > route.target_latency_s * _MS_PER_S or result.attempts > 1:
            _log.info(
                'slow or retried answer',
                request=request.request_id,
                route=route.name,
                server=result.server_id,
                status=result.status,
                arrivals=result.attempts,
                took_ms=took_ms,
                waited_ms=round(result.waited_ms, 1),
                worked_ms=round(result.service_ms, 1),
            )
        return self._codec.reply(result.answer)

    async def _wait_for_configuration(self, request: CallerRequest) -> None:
        """Waits for the configuration and servers while the instance starts.

        Callers return after a refusal once or twice only. After a loss of all
        instances they would use that up before the configuration is read.
        """
        start_end_s = self._created_s + _START_S
        if request.deadline_s is not None:
            left_s = request.deadline_s - request.message.arrived_s
            latest_s = request.message.arrived_s + left_s * _START_WAIT_SHARE
            start_end_s = min(start_end_s, latest_s)
        while not self._system_view.is_loaded:
            left_s = start_end_s - elapsed_s()
            if left_s <= 0:
                return
            await self._system_view.wait_for_change(left_s)

    async def _route_until_end(
        self,
        request: CallerRequest,
        route: Route,
        configuration: Configuration,
        service: str,
    ) -> Result:
        try:
            async with self._stop_guard.until_end():
                return await self._route(request, route, configuration, service)
        except TimeoutError:
            return Refused(
                ResultCode.answer_lost, 'the instance ended', attempts=1
            )

    async def _route(
        self,
        request: CallerRequest,
        route: Route,
        configuration: Configuration,
        service_name: str,
    ) -> Result:
        arrived_s = request.message.arrived_s
        deadline_s = arrived_s + route.timeout_s
        if request.deadline_s is not None:
            deadline_s = min(deadline_s, request.deadline_s)
        bounded_s = self._stop_guard.bounded_deadline_s(
            deadline_s, estimate_s(self._answer_times, route.name)
        )
        if isinstance(bounded_s, Refused):
            return bounded_s
        deadline_s = bounded_s
        service = configuration.service_by_name.get(service_name)
        if service is None:
            return Refused(
                ResultCode.service_unknown, 'the service is not declared'
            )
        routed = self._routed_request(request, route, service.name, arrived_s)
        routed.configuration = configuration.version
        if not service.keyed:
            routed.key = None
            return await self._send_with_retries(
                routed, deadline_s, arrived_s, route
            )
        if routed.key is None:
            return Refused(
                ResultCode.key_missing, 'the request has no valid key'
            )
        self._record_key_work(
            service.name,
            routed.key,
            self._dispatcher.service_times.mean_s(route.name),
        )
        return await self._send_with_retries(
            routed, deadline_s, arrived_s, route
        )

    async def _send_with_retries(
        self,
        routed: RoutedRequest,
        deadline_s: float,
        arrived_s: float,
        route: Route,
    ) -> Result:
        """Sends a request and retries it while its route and budget allow."""
        attempts = 0
        self._attempts.count_request(routed.service)
        last: Refused | None = None
        for _ in range(_MAX_TRIES):
            result = await self._try_send(
                routed, deadline_s, arrived_s, route, attempts
            )
            attempts += result.attempts
            result.attempts = attempts
            if isinstance(result, Served):
                return result
            result = _keep_unknown_outcome(last, result)
            last = result
            if not self._may_retry(routed, route, result, deadline_s):
                return result
            if result.code == ResultCode.server_shedding:
                routed.server_id = None
                await asyncio.sleep(_SHED_RETRY_DELAY_S)
            self._metrics.count(
                'retry',
                service=routed.service,
                outcome=ResultCode(result.code).name,
            )
            _log.info(
                'request retried',
                request=routed.request_id,
                route=routed.route,
                service=routed.service,
                key=routed.key,
                owners_version=self._system_view.owners_version(routed.service),
                server=result.server_id,
                code=result.code,
                reason=result.detail,
                arrivals=attempts,
            )
        return result

    def _may_retry(
        self,
        routed: RoutedRequest,
        route: Route,
        refused: Refused,
        deadline_s: float,
    ) -> bool:
        """Whether a request may be sent again; spends the retry budget."""
        if refused.attempts >= route.max_attempts:
            return False
        if not self._is_retryable(routed, refused, deadline_s):
            return False
        return not refused.attempts or self._attempts.spend_retry(
            routed.service
        )

    async def _try_send(
        self,
        routed: RoutedRequest,
        deadline_s: float,
        arrived_s: float,
        route: Route,
        attempts: int,
    ) -> Result:
        if routed.key is not None:
            refused = await self._find_owner(
                routed, deadline_s, arrived_s + route.target_latency_s
            )
            if refused is not None:
                return refused
        now_s = elapsed_s()
        routed.remaining_ms = (deadline_s - now_s) * _MS_PER_S
        routed.until_target_ms = (
            arrived_s + route.target_latency_s - now_s
        ) * _MS_PER_S
        if routed.remaining_ms <= 0:
            return Refused(
                ResultCode.deadline_passed, 'the deadline has passed'
            )
        with self._attempts.allowance(
            routed, route.max_attempts - attempts
        ) as allowance:
            result = await self._send(routed)
            if _is_link_lost(result):
                # The sender may have made all attempts that it was allowed.
                result.attempts = allowance.allowed
            return result

    async def _find_owner(
        self, routed: RoutedRequest, deadline_s: float, target_s: float
    ) -> Refused | None:
        """Sets the owner of the key; waits while it is expected in time."""
        assert routed.key is not None
        owners = self._system_view.owners(routed.service)
        started_s = elapsed_s()
        while True:
            owner = owners.owner(routed.key)
            waited_s = elapsed_s() - started_s
            if owner.holder is not None and self._can_send_to(
                owner.holder.server_id, routed.server_id, waited_s
            ):
                routed.server_id = owner.holder.server_id
                routed.incarnation = owner.holder.incarnation
                return None
            if self._system_view.all_leave(routed.service):
                return Refused(
                    ResultCode.server_draining,
                    'all servers of the service leave',
                    _NEXT_SERVER_S,
                )
            available_at_s = self._available_at_s(routed.service, owner)
            limit_s = wait_limit_s(
                started_s=started_s,
                remaining_s=deadline_s - started_s,
                until_target_s=target_s - started_s,
                available_at_s=available_at_s,
            )
            if waited_s >= limit_s:
                return self._refuse_without_owner(
                    routed, available_at_s, waited_s, deadline_s
                )
            await self._system_view.wait_for_change(limit_s - waited_s)

    def _available_at_s(self, service: str, owner: Owner) -> float:
        """Returns when a key is expected to have an owner, 0 if unknown."""
        epoch, _ = self._system_view.owners(service).version
        if owner.holder is not None:
            # The server is not usable, or has refused the request.
            return 0
        if epoch < self._system_view.membership_version[0]:
            # A later leader has not said anything about the keys yet.
            return 0
        return owner.available_at_s

    def _refuse_without_owner(
        self,
        routed: RoutedRequest,
        available_at_s: float,
        waited_s: float,
        deadline_s: float,
    ) -> Refused:
        now_s = elapsed_s()
        servers = self._system_view.servers.of(routed.service)
        slots = max((server.slots for server in servers), default=1)
        mean_s = self._dispatcher.service_times.mean_s(routed.route)
        available_in_s = max(available_at_s - now_s, 0)
        return Refused(
            ResultCode.slot_moving,
            f'the key has no owner for {available_in_s:.1f} s'
            if available_in_s
            else 'the key has no owner at present',
            self._owner_returns.book_s(
                routed.service,
                available_in_s,
                waited_s,
                slots / mean_s,
                deadline_s - now_s,
            ),
        )

    def _can_send_to(
        self, server_id: str, refused_by: str | None, waited_s: float
    ) -> bool:
        server = self._system_view.servers.server_by_id.get(server_id)
        if server is None or not self._system_view.usable(server):
            return False
        # A server that has just answered that it does not own the key gets the
        # request again only after an ownership update had time to arrive.
        return server_id != refused_by or waited_s > TYPICAL_MOVE_S

    async def _send(self, routed: RoutedRequest) -> Result:
        routed.forwards = 0
        while True:
            sender = self._reachable_sender(routed)
            if sender is None:
                return await self._dispatcher.serve(routed)
            result = await self._forwarder.forward(sender, routed)
            if _found_no_room(result):
                return await self._dispatcher.serve(routed)
            if result is not None:
                self._dispatcher.statements.observe_forwarded(result)
                return result

    def _reachable_sender(self, routed: RoutedRequest) -> Instance | None:
        """Returns the instance to forward to; None if this one serves it.

        The queue of the sender knows the load of a server. For a large body
        that is worth less than a second transfer and a second copy of it.
        """
        if len(routed.body) > _MAX_FORWARDED_BODY_BYTES:
            return None
        if routed.server_id is None:
            # One instance per region sends the requests to a service without
            # keys.
            data_centre = self._place.entry_data_centre(routed.regions)
            region = self._place.region_by_data_centre.get(data_centre)
            return self._forwarder.reachable_sender(
                f'{routed.service}@{region}', data_centre, routed.regions
            )
        server = self._system_view.servers.server_by_id.get(routed.server_id)
        if server is None:
            # It was removed while a forward to its sender was tried.
            return None
        if not self._place.allows(server.data_centre, routed.regions):
            # Refused here: its sender may not get the body either.
            return None
        return self._forwarder.reachable_sender(
            server.server_id, server.data_centre, routed.regions
        )

    def _is_retryable(
        self, routed: RoutedRequest, refused: Refused, deadline_s: float
    ) -> bool:
        if elapsed_s() >= deadline_s:
            return False
        code = refused.code
        if code in {ResultCode.answer_lost, ResultCode.link_lost}:
            return routed.repeatable
        if routed.key is None:
            return code == ResultCode.server_unreachable
        return code in {
            ResultCode.server_refused_token,
            ResultCode.server_shedding,
            ResultCode.server_unreachable,
            ResultCode.server_draining,
        }

    def _routed_request(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        arrived_s: float,
    ) -> RoutedRequest:
        message = request.message
        return RoutedRequest(
            request_id=request.request_id,
            route=route.name,
            service=service,
            method=message.method,
            target=message.target,
            headers=self._codec.forwarded_headers(message),
            body=message.body,
            priority=route.priority,
            repeatable=route.repeatable,
            remaining_ms=0,
            until_target_ms=0,
            allowed_attempts=1,
            key=request.key,
            caller_retry=self._is_caller_retry(request, route, arrived_s),
            regions=route.regions,
        )

    def _is_caller_retry(
        self, request: CallerRequest, route: Route, arrived_s: float
    ) -> bool:
        if request.deadline_s is None:
            return False
        given_s = request.deadline_s - arrived_s
        longest_s = max(given_s, self._longest_s_by_route.get(route.name, 0))
        self._longest_s_by_route[route.name] = longest_s
        return given_s < longest_s * _CALLER_RETRY_SHARE

    def _refuse(
        self,
        request: CallerRequest,
        route: Route | None,
        refused: Refused,
        service: str = '',
    ) -> Reply:
        code = ResultCode(refused.code)
        name = '' if route is None else route.name
        retry_after_s = refused.retry_after_s
        if refused.outcome == Outcome.not_run and retry_after_s is None:
            retry_after_s = _DEFAULT_RETRY_AFTER_S
        after_ms = _since_ms(request.message.arrived_s)
        self._metrics.count('refusals', route=name, code=code.name)
        self._metrics.observe_ms('refusal', after_ms, code=code.name)
        if retry_after_s is not None:
            self._metrics.observe_ms(
                'retry_after', retry_after_s * _MS_PER_S, code=code.name
            )
        configuration = self._system_view.configuration
        _log.info(
            'request refused',
            request=request.request_id,
            route=name,
            code=int(code),
            reason=refused.detail,
            outcome=refused.outcome,
            server=refused.server_id,
            service=service,
            key=request.key,
            owners_version=self._system_view.owners_version(service),
            arrivals=refused.attempts,
            retry_after_s=retry_after_s,
            after_ms=after_ms,
            configuration=configuration.version if configuration else None,
        )
        return self._codec.refusal(request.request_id, code, retry_after_s)


def _keep_unknown_outcome(earlier: Refused | None, later: Refused) -> Refused:
    """Keeps an unknown outcome when a later attempt was not run."""
    if earlier is None or earlier.outcome != Outcome.unknown:
        return later
    if later.outcome == Outcome.not_run:
        earlier.attempts = later.attempts
        return earlier
    return later


def _requires_later_configuration(refused: Refused) -> bool:
    return (
        refused.code == ResultCode.declaration_outdated and not refused.attempts
    )


def _is_link_lost(result: Result) -> bool:
    return isinstance(result, Refused) and result.code == ResultCode.link_lost


def _found_no_room(result: Result | None) -> bool:
    return isinstance(result, Refused) and result.code == ResultCode.bodies_full


def _since_ms(moment_s: float) -> float:
    return round((elapsed_s() - moment_s) * _MS_PER_S, 1)
