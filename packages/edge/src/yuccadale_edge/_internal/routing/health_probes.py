"""Asks servers for how long they are cold, where that is unclear."""

import asyncio

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.codec import (
    InvalidWarmUpError,
    RequestCodec,
)
from yuccadale_edge._internal.routing.forwarding import Forwarder
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.transport.client_connection import (
    UNACKNOWLEDGED_S,
    Answer,
    AnswerLostError,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import ClientPool

_CONNECT_TIMEOUT_S = 0.4
# A health response comes at once, also from a busy server.
_TIMEOUT_S = 1.0

_log = structlog.get_logger()


class HealthProbes:
    """The health requests of one instance that are under way."""

    def __init__(
        self,
        system_view: SystemView,
        pool: ClientPool,
        codec: RequestCodec,
        metrics: Metrics,
        forwarder: Forwarder,
    ) -> None:
        """Creates the state of one instance.

        Args:
            system_view: keeps the responses.
            pool: connections to servers.
            codec: encodes requests, decodes responses.
            metrics: counts them.
            forwarder: tells for which servers this instance is the sender.
        """
        self._system_view = system_view
        self._pool = pool
        self._codec = codec
        self._metrics = metrics
        self._forwarder = forwarder
        self._tasks: set[asyncio.Task[None]] = set()

    def start_due(self) -> None:
        """Sends the health requests that are due."""
        for server, path in self._system_view.servers_to_probe():
            if self._forwarder.is_limit_sender(server):
                self._system_view.cold_servers.note_probe(_holder(server))
                task = asyncio.create_task(self._probe(server, path))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _probe(self, server: Server, path: str) -> None:
        sent_s = elapsed_s()
        try:
            warm_up_s = await self._ask(server, path)
        except (NotSentError, AnswerLostError, TimeoutError) as error:
            self._metrics.count('health_requests', outcome='failed')
            _log.info(
                'health request failed',
                server=server.server_id,
                reason=repr(error),
            )
        except InvalidWarmUpError as error:
            self._metrics.count('health_requests', outcome='invalid')
            _log.warning(
                'invalid health response ignored',
                server=server.server_id,
                reason=str(error),
            )
        else:
            self._metrics.count('health_requests', outcome='answered')
            if warm_up_s is not None:
                self._system_view.cold_servers.observe_health(
                    _holder(server), warm_up_s, sent_s
                )

    async def _ask(self, server: Server, path: str) -> float | None:
        async with (
            asyncio.timeout(_TIMEOUT_S),
            # Responses have no id: only the first one of a connection is sure
            # to belong to the request.
            self._pool.acquire(
                server.address, _CONNECT_TIMEOUT_S, force_new=True
            ) as connection,
        ):
            try:
                response = await connection.exchange(
                    self._codec.encode_health_request(server, path),
                    _is_any,
                    UNACKNOWLEDGED_S,
                )
            finally:
                connection.close()
        return self._codec.remaining_warm_up_s(response)


def _is_any(_answer: Answer) -> bool:
    return True


def _holder(server: Server) -> Holder:
    return Holder(server.server_id, server.incarnation)
