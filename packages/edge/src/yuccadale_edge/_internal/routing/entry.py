"""The entry of a caller's request: route, owner, sender, answer."""

import asyncio
import random
from collections.abc import Callable

import msgspec
import structlog

from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_edge._internal.system_view import SystemView, Instance
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.model import (
    Configuration,
    WeightedService,
    Place,
    Route,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.dispatch import BudgetOf, Dispatcher
from yuccadale_edge._internal.routing.requests import (
    CallerRequest,
    Refused,
    Result,
    Served,
    RoutedRequest,
)
from yuccadale_edge._internal.routing.senders import choose_sender
from yuccadale_edge._internal.routing.codec import RequestCodec
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    Reply,
)

_log = structlog.get_logger()

_MS = 1000.0
# An answer that another instance has ready is worth waiting a little longer
# than the deadline that it was told.
_LINK_GRACE_S = 0.2
# How long an instance that could not be reached is passed over.
_SUSPECT_S = 1.0
# A caller that has less than this part of its usual time came back.
_RETURNED_SHARE = 0.95
# Retry-After where nothing is known of when it could be served.
_UNKNOWN_RETRY_S = 0.5
# Keys that move are usually served again within this time.
_USUAL_MOVE_S = 0.25
# Part of the remaining time that a request waits for its keys to settle.
_MOVE_WAIT_SHARE = 0.5
_MAX_ROUNDS = 6
# A server that did not run a request, though it holds the key, is asked again
# after this: one that is full has room after some ms, and one that sheds a
# part of its requests may take the next one.
_SHED_PAUSE_S = 0.03

FORWARD_TOPIC = 'forward'

encode_message = msgspec.msgpack.Encoder().encode
_decode_work = msgspec.msgpack.Decoder(RoutedRequest).decode
_decode_result = msgspec.msgpack.Decoder(Result).decode


class WeightedTurns:
    """Divides a route's requests among its services, exactly over time."""

    def __init__(self) -> None:
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Returns the service that is next by weight."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._credit_by_route.get(route.name)
        names = {part.service for part in route.weighted_services}
        if credits is None or credits.keys() != names:
            credits = _random_start(route.weighted_services)
            self._credit_by_route[route.name] = credits
        total = sum(part.weight for part in route.weighted_services)
        for part in route.weighted_services:
            credits[part.service] += part.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen


def _random_start(
    weighted_services: tuple[WeightedService, ...],
) -> dict[str, float]:
    # Instances that begin alike would all send to the same service first.
    return {
        part.service: random.random() * part.weight
        for part in weighted_services
    }


class Entry:
    """Handles callers' requests on one instance."""

    def __init__(
        self,
        system_view: SystemView,
        dispatcher: Dispatcher,
        links: PeerLinks,
        wire: RequestCodec,
        metrics: Metrics,
        place: Place,
        instance: str,
        budget_of: BudgetOf,
        record_key_work: Callable[[str, int, float], None],
    ) -> None:
        self._system_view = system_view
        self._dispatcher = dispatcher
        self._links = links
        self._wire = wire
        self._metrics = metrics
        self._place = place
        self._instance = instance
        self._budget_of = budget_of
        self._record_key_work = record_key_work
        self._turns = WeightedTurns()
        self._usual_s_by_route: dict[str, float] = {}
        self._suspect_until_by_name: dict[str, float] = {}

    async def handle(self, message: CallerMessage) -> Reply:
        """Answers one caller request."""
        request = self._wire.read_request(message)
        configuration = self._system_view.configuration
        if configuration is None:
            return self._refuse(
                request,
                None,
                Refused(ResultCode.no_declaration, 'no configuration yet', 1.0),
            )
        route = configuration.route_for(request.host, request.path)
        if route is None:
            return self._refuse(
                request,
                None,
                Refused(ResultCode.service_unknown, 'no route matches'),
            )
        service = self._turns.pick(route)
        try:
            result = await self._route(request, route, configuration, service)
        except asyncio.CancelledError:
            self._metrics.count('caller_gone', route=route.name)
            _log.info(
                'caller left',
                request=request.request_id,
                route=route.name,
                after_ms=_since_ms(message.arrived_s),
            )
            raise
        if isinstance(result, Refused):
            return self._refuse(request, route, result, service)
        took_ms = _since_ms(message.arrived_s)
        self._metrics.observe_ms('answer', took_ms, route=route.name)
        self._metrics.observe_ms('line_wait', result.waited_ms)
        self._metrics.observe_ms('server_work', result.worked_ms)
        self._metrics.count(
            'answers', route=route.name, status=str(result.status)
        )
        if took_ms > route.target_latency_s * _MS or result.arrivals > 1:
            _log.info(
                'slow or repeated answer',
                request=request.request_id,
                route=route.name,
                server=result.server_id,
                status=result.status,
                arrivals=result.arrivals,
                took_ms=took_ms,
                waited_ms=round(result.waited_ms, 1),
                worked_ms=round(result.worked_ms, 1),
            )
        return self._wire.reply(result.answer)

    async def answer_peer(self, body: bytes) -> bytes:
        """Serves a request that another instance forwarded."""
        return encode_message(await self._dispatcher.serve(_decode_work(body)))

    async def _route(
        self,
        request: CallerRequest,
        route: Route,
        configuration: Configuration,
        service_name: str,
    ) -> Result:
        arrived_s = request.message.arrived_s
        end_s = arrived_s + route.timeout_s
        if request.deadline_s is not None:
            end_s = min(end_s, request.deadline_s)
        service = configuration.service_by_name.get(service_name)
        if service is None:
            return Refused(ResultCode.service_unknown, 'service not declared')
        work = self._work(request, route, service.name, arrived_s)
        if not service.keyed:
            work.key = None
            return await self._rounds(work, end_s, arrived_s, route)
        if work.key is None:
            return Refused(ResultCode.key_missing, 'the request names no key')
        self._record_key_work(
            service.name, work.key, self._dispatcher.times.mean_s(route.name)
        )
        return await self._rounds(work, end_s, arrived_s, route)

    async def _rounds(
        self, work: RoutedRequest, end_s: float, arrived_s: float, route: Route
    ) -> Result:
        """Sends until there is an answer or no further send is allowed."""
        arrivals = 0
        self._budget_of(work.service).count_first()
        last: Refused | None = None
        for _ in range(_MAX_ROUNDS):
            result = await self._round(work, end_s, arrived_s, route)
            arrivals += result.arrivals
            result.arrivals = arrivals
            if isinstance(result, Served):
                return result
            result = _less_certain(last, result)
            last = result
            if not self._another_round(work, result, end_s):
                return result
            if not self._may_send_again(work, arrivals):
                return result
            if result.code == ResultCode.server_shedding:
                work.server_id = None
                await asyncio.sleep(_SHED_PAUSE_S)
            self._metrics.count(
                'retry',
                service=work.service,
                outcome=ResultCode(result.code).name,
            )
            _log.info(
                'request is sent again',
                request=work.request_id,
                route=work.route,
                service=work.service,
                key=work.key,
                owners_version=self._system_view.owners_version(work.service),
                server=result.server_id,
                code=result.code,
                reason=result.detail,
                arrivals=arrivals,
            )
        return result

    def _may_send_again(self, work: RoutedRequest, arrivals: int) -> bool:
        if not arrivals or self._budget_of(work.service).take():
            return True
        self._metrics.count(
            'retry', service=work.service, outcome='budget spent'
        )
        return False

    async def _round(
        self, work: RoutedRequest, end_s: float, arrived_s: float, route: Route
    ) -> Result:
        if work.key is not None:
            refused = await self._find_owner(work, end_s)
            if refused is not None:
                return refused
        now_s = elapsed_s()
        work.remaining_ms = (end_s - now_s) * _MS
        work.expected_ms = (arrived_s + route.target_latency_s - now_s) * _MS
        if work.remaining_ms <= 0:
            return Refused(ResultCode.deadline_passed, 'the time is over')
        return await self._send(work)

    async def _find_owner(
        self, work: RoutedRequest, end_s: float
    ) -> Refused | None:
        """Fills the owner in; waits for keys that are about to settle."""
        assert work.key is not None
        owners = self._system_view.owners(work.service)
        began_s = elapsed_s()
        patience_s = (end_s - began_s) * _MOVE_WAIT_SHARE
        while True:
            owner = owners.owner(work.key)
            now_s = elapsed_s()
            waited_s = now_s - began_s
            if owner.holder is not None and self._may_send_to(
                owner.holder.server_id, work.server_id, waited_s
            ):
                work.server_id = owner.holder.server_id
                work.incarnation = owner.holder.incarnation
                return None
            available_in_s = max(owner.available_at_s - now_s, 0)
            if waited_s + available_in_s > patience_s:
                return Refused(
                    ResultCode.slot_moving,
                    'the keys have no owner at present',
                    max(available_in_s, _USUAL_MOVE_S),
                )
            await self._system_view.wait_for_change(patience_s - waited_s)

    def _may_send_to(
        self, server_id: str, refused_by: str | None, waited_s: float
    ) -> bool:
        server = self._system_view.servers.server_by_id.get(server_id)
        if server is None or not self._system_view.usable(server):
            return False
        # A server that has just said that it does not own the key is asked
        # again only after the news of the new owner had time to arrive.
        return server_id != refused_by or waited_s > _USUAL_MOVE_S

    async def _send(self, work: RoutedRequest) -> Result:
        subject, data_centre = self._subject(work)
        while True:
            sender = choose_sender(
                subject,
                data_centre,
                self._system_view.instance_by_name.values(),
                self._place,
                self._suspected,
            )
            if sender is None or sender.name == self._instance:
                return await self._dispatcher.serve(work)
            try:
                answer = await self._links.request(
                    sender.address,
                    FORWARD_TOPIC,
                    encode_message(work),
                    work.remaining_ms / _MS + _LINK_GRACE_S,
                )
            except PeerUnreachableError as error:
                self._suspect(sender, str(error))
            except LinkLostError as error:
                self._suspect(sender, str(error))
                return Refused(
                    ResultCode.link_lost, f'{sender.name}: {error}', arrivals=1
                )
            else:
                return _decode_result(answer)

    def _subject(self, work: RoutedRequest) -> tuple[str, str]:
        if work.server_id is not None:
            server = self._system_view.servers.server_by_id[work.server_id]
            return server.server_id, server.data_centre
        # Servers without keys are sent to by one instance in each region.
        region = self._place.region
        return f'{work.service}@{region}', self._place.data_centre

    def _another_round(
        self, work: RoutedRequest, refused: Refused, end_s: float
    ) -> bool:
        if elapsed_s() >= end_s or refused.arrivals >= work.max_attempts:
            return False
        code = refused.code
        if code in {ResultCode.answer_lost, ResultCode.link_lost}:
            return work.repeatable
        if work.key is None:
            return code == ResultCode.server_unreachable
        return code in {
            ResultCode.server_refused_token,
            ResultCode.server_shedding,
            ResultCode.server_unreachable,
        }

    def _work(
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
            headers=self._wire.forwarded_headers(message),
            body=message.body,
            priority=route.priority,
            repeatable=route.repeatable,
            remaining_ms=0,
            expected_ms=0,
            max_attempts=route.max_attempts,
            key=request.key,
            returned=self._came_back(request, route, arrived_s),
        )

    def _came_back(
        self, request: CallerRequest, route: Route, arrived_s: float
    ) -> bool:
        if request.deadline_s is None:
            return False
        given_s = request.deadline_s - arrived_s
        usual_s = max(given_s, self._usual_s_by_route.get(route.name, 0))
        self._usual_s_by_route[route.name] = usual_s
        return given_s < usual_s * _RETURNED_SHARE

    def _suspected(self, instance: Instance) -> bool:
        if instance.name == self._instance:
            return False
        until = self._suspect_until_by_name.get(instance.name, 0)
        return elapsed_s() < until

    def _suspect(self, instance: Instance, reason: str) -> None:
        self._suspect_until_by_name[instance.name] = elapsed_s() + _SUSPECT_S
        self._metrics.count('peer_suspected')
        _log.warning(
            'instance suspected',
            peer=instance.name,
            reason=reason,
            for_s=_SUSPECT_S,
        )

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
            retry_after_s = _UNKNOWN_RETRY_S
        self._metrics.count('refusals', route=name, code=code.name)
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
            arrivals=refused.arrivals,
            retry_after_s=retry_after_s,
            after_ms=_since_ms(request.message.arrived_s),
            configuration=configuration.version if configuration else None,
        )
        return self._wire.refusal(request.request_id, code, retry_after_s)


def _less_certain(earlier: Refused | None, later: Refused) -> Refused:
    """Keeps that the work may have run when a later send did not run."""
    if earlier is None or earlier.outcome != Outcome.unknown:
        return later
    if later.outcome == Outcome.not_run:
        earlier.arrivals = later.arrivals
        return earlier
    return later


def _since_ms(moment_s: float) -> float:
    return round((elapsed_s() - moment_s) * _MS, 1)
