"""Routers of instances that forward requests to each other."""

from collections.abc import Callable
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import (
    CallerLimits,
    Configuration,
    Place,
    Route,
    Service,
    WeightedService,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.attempts import Attempts
from yuccadale_edge._internal.routing.forwarding import encode_message
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
    Served,
)
from yuccadale_edge._internal.routing.stop_guard import StopGuard
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SystemView,
)

HOST = 'shop.example'
SERVED = Served(200, [], b'', 's', 1, 0, 0)
_LIMITS = CallerLimits(1000, 1000, 1.0, 1.0)


def configuration_of(version: int, *services: str) -> Configuration:
    """Returns a configuration whose only route sends to some services."""
    route = Route(
        'r',
        HOST,
        '/',
        tuple(WeightedService(service, 1.0) for service in services),
        repeatable=False,
        timeout_s=2.0,
        target_latency_s=1.0,
        max_attempts=2,
        priority=1,
    )
    service_by_name = {
        service: Service(
            service, keyed=False, connections=1, health_path='/', warm_up_s=0
        )
        for service in services
    }
    routes = (route,) if services else ()
    return Configuration(version, {HOST: routes}, service_by_name, _LIMITS)


def forwarded(service: str, configuration: int) -> bytes:
    """Returns a forwarded request as it arrives on a link."""
    request = RoutedRequest(
        'id', 'r', service, b'GET', b'/', [], b'', 1, False, 1000, 1000, 1
    )
    request.configuration = configuration
    return encode_message(request)


class RoutingInstance:
    """An instance with the product's router.

    Attributes:
        view: what it knows.
        forwards: requests that it forwarded, as ``(service, configuration)``.
        served: requests that it sent to servers, by service.
    """

    def __init__(
        self,
        configuration: Configuration,
        peer: Callable[[RoutedRequest], Result] | None = None,
    ) -> None:
        """Creates an instance.

        Args:
            configuration: in force there.
            peer: answers the requests that it forwards; without it, the
                instance sends requests to servers itself.
        """
        self.view = SystemView(Mock(), Mock(), max_source_age_s=3.0)
        self.view.configuration = configuration
        self.view.servers.server_by_id['s'] = Mock()
        self.forwards: list[tuple[str, int]] = []
        self.served: list[str] = []
        self._peer = peer
        metrics = Metrics()
        dispatcher = Mock(serve=AsyncMock(side_effect=self._serve))
        forwarder = Mock(
            reachable_sender=lambda *_: None if peer is None else Mock(),
            forward=AsyncMock(side_effect=self._forward),
        )
        codec = Mock(
            read_request=lambda message: message,
            forwarded_headers=lambda _: [],
            reply=lambda answer: answer.status,
            refusal=lambda _id, code, _retry_after_s: code,
        )
        place = Place('a', 'north', {'a': 'north'})
        self.router = RequestRouter(
            self.view,
            dispatcher,
            forwarder,
            codec,
            metrics,
            place,
            Attempts(self.view, Mock(), metrics, 'i', Mock()),
            Mock(),
            StopGuard(elapsed_s),
        )

    def learn(self, configuration: Configuration) -> None:
        """Applies a later configuration, the latest that was announced."""
        status = self.view.status_by_table[CONFIGURATION_TABLE]
        status.record_rows(
            status.announced_version, status.announced_version, elapsed_s()
        )
        self.view.configuration = configuration
        self.view.wake()

    async def handle(self) -> object:
        """Handles a request; returns the status, or the code of a refusal."""
        now_s = elapsed_s()
        request = SimpleNamespace(
            request_id='id',
            host=HOST,
            path='/',
            key=None,
            deadline_s=now_s + 2,
            message=SimpleNamespace(
                arrived_s=now_s, method=b'GET', target=b'/', body=b''
            ),
        )
        return await self.router.handle(request)  # type: ignore[arg-type]

    async def _serve(self, request: RoutedRequest) -> Result:
        self.served.append(request.service)
        return SERVED

    async def _forward(self, _peer: object, request: RoutedRequest) -> Result:
        self.forwards.append((request.service, request.configuration))
        assert self._peer is not None
        return self._peer(request)


def outdated(_request: RoutedRequest) -> Refused:
    """Refuses a request as an instance with a later configuration does."""
    return Refused(ResultCode.declaration_outdated, 'routed by version 1', 0.3)
