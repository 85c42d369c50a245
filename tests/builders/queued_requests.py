"""One instance that sends to servers without keys, in virtual time.

Its dispatcher and its knowledge of the servers are those of the product;
connections and servers are simulated.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from unittest.mock import Mock

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import (
    CallerLimits,
    Configuration,
    Place,
    Server,
    ServerState,
    Service,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.store import Rows, StoredRow
from yuccadale_edge._internal.system_view import SERVER_TABLE, SystemView
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_edge._internal.transport.client_pool import Address
from yuccadale_platform._internal.requests import PlatformCodec

SERVICE = 'stage'
WORK_S = 4.0
DEADLINE_S = 30.0
_MAINTENANCE_S = 0.2


@dataclass
class SentRequest:
    """A request that was sent to a server."""

    server_id: str
    request_id: str
    sent_s: float


@dataclass
class SimulatedServers:
    """Servers with one slot each.

    Attributes:
        sent: the requests that they got.
        work_s: what they take for a request.
        connect_s: time to open a connection.
    """

    sent: list[SentRequest] = field(default_factory=list)
    work_s: float = WORK_S
    connect_s: float = 0

    @asynccontextmanager
    async def acquire(
        self, address: Address, *_: object, force_new: bool, request_id: str
    ) -> AsyncIterator[Mock]:
        """Provides a connection to a server."""

        assert not force_new
        await asyncio.sleep(self.connect_s)

        async def exchange(*_: object, head_only: bool, body: bytes) -> Answer:
            assert not head_only
            assert not body
            self.sent.append(SentRequest(address[0], request_id, elapsed_s()))
            await asyncio.sleep(self.work_s)
            return Answer(200, [(b'x-attempt-id', request_id.encode())])

        yield Mock(exchange=exchange)


class SendingInstance:
    """One instance.

    Attributes:
        dispatcher: of the product.
        metrics: its counters.
        servers: what it sends to.
        forwarder: makes it the sender of all servers.
    """

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.servers = SimulatedServers()
        self._view = SystemView(Mock(), _decode_server, 2.0)
        self._version = 0
        self.forwarder = Mock(
            limit_share=Mock(return_value=1.0),
            limit_sender=Mock(return_value=None),
            is_limit_sender=Mock(return_value=False),
        )
        place = Place('a', 'north', {'a': 'north'})
        self.dispatcher = Dispatcher(
            self._view,
            self.servers,  # type: ignore[arg-type]
            PlatformCodec(),
            self.metrics,
            place,
            self.forwarder,
            Mock(),
        )

    def limit_cold_servers(self, per_s: float) -> None:
        """Sets ``cold_per_s`` of the service."""
        service = Service(
            SERVICE, False, 0, '/health', 0, cold_per_s=per_s, slow_start_s=9
        )
        self._view.configuration = Configuration(
            1, {}, {SERVICE: service}, CallerLimits(1, 1, 1, 1)
        )

    def make_cold(self, server_id: str, for_s: float) -> None:
        """Applies an entry that says that a server is cold."""
        server = self._view.servers.server_by_id[server_id]
        self._view.cold_servers.observe_entry(
            replace(server, slow_start_s=for_s)
        )

    def apply_entry(
        self, server_id: str, state: ServerState, incarnation: int = 1
    ) -> None:
        """Applies an entry of a server."""
        content = f'{state.value} {incarnation}'.encode()
        self._apply(StoredRow(server_id, content, self._version + 1))

    def slow_down(self, server_id: str, slowdown: float) -> None:
        """Makes a server seem slower than the others."""
        server = self._view.servers.server_by_id[server_id]
        self.dispatcher._queue(server).slowdown = slowdown

    def apply_removal(self, server_id: str) -> None:
        """Applies the removal of a server's entry."""
        self._apply(StoredRow(server_id, b'', self._version + 1, removed=True))

    def start_request(
        self, request_id: str, server_id: str | None = None
    ) -> asyncio.Task:
        """Sends a request, to one server if it is named."""
        routed = RoutedRequest(
            request_id=request_id,
            route='book',
            service=SERVICE,
            method=b'POST',
            target=b'/x',
            headers=[(b'X-Attempt-Id', request_id.encode())],
            body=b'',
            priority=0,
            repeatable=False,
            remaining_ms=DEADLINE_S * 1000,
            until_target_ms=DEADLINE_S * 1000,
            allowed_attempts=1,
            server_id=server_id,
            incarnation=1,
        )
        return asyncio.create_task(self.dispatcher.serve(routed))

    def _apply(self, row: StoredRow) -> None:
        self._version = row.version
        self._view.apply_rows(
            SERVER_TABLE,
            Rows((row,), row.version),
            full_snapshot=False,
            removal_grace=False,
        )


@asynccontextmanager
async def sending_instance(
    *server_ids: str, is_maintained: bool = True
) -> AsyncIterator[SendingInstance]:
    """Provides an instance that knows some servers.

    Args:
        server_ids: of the servers.
        is_maintained: whether its housekeeping runs.
    """
    instance = SendingInstance()
    for server_id in server_ids:
        instance.apply_entry(server_id, ServerState.ready)
    # At the time 0 no server counts as reachable.
    await asyncio.sleep(1)
    if not is_maintained:
        yield instance
        return
    housekeeping = asyncio.create_task(_maintain(instance.dispatcher))
    try:
        yield instance
    finally:
        housekeeping.cancel()


async def _maintain(dispatcher: Dispatcher) -> None:
    while True:
        dispatcher.maintain_queues()
        await asyncio.sleep(_MAINTENANCE_S)


def _decode_server(server_id: str, content: bytes) -> Server:
    state, incarnation = content.decode().split()
    return Server(
        server_id,
        SERVICE,
        (server_id, 1),
        'a',
        1,
        ServerState(state),
        int(incarnation),
        0,
    )
