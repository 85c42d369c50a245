"""Reads the loads that servers report, and asks for those that are missing.

A server that counts as slow gets no requests, so no answer would show that it
has recovered. Its health path answers at once with its load.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Configuration, Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.codec import (
    InvalidLoadError,
    RequestCodec,
)
from yuccadale_edge._internal.routing.load_choice import (
    Candidate,
    LoadChoice,
)
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.routing.server_load import (
    InFlight,
    ServerLoads,
)
from yuccadale_edge._internal.routing.server_queue import ServerQueue
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    AnswerLostError,
    NotSentError,
)
from yuccadale_edge._internal.transport.client_pool import ClientPool

_log = structlog.get_logger()

# Least time between probes of a server.
PROBE_INTERVAL_S = 0.5
_CONNECT_TIMEOUT_S = 0.4
_ANSWER_TIMEOUT_S = 0.4


class LoadReports:
    """Observations of the servers that this instance sends to."""

    def __init__(
        self,
        loads: ServerLoads,
        choice: LoadChoice,
        pool: ClientPool,
        codec: RequestCodec,
        metrics: Metrics,
    ) -> None:
        """Creates the observations of one instance.

        Args:
            loads: keeps what servers report.
            choice: applies it.
            pool: connections to servers.
            codec: decodes reports and encodes probes.
            metrics: counts probes and unreadable reports.
        """
        self._loads = loads
        self._choice = choice
        self._pool = pool
        self._codec = codec
        self._metrics = metrics
        self._probed_s_by_holder: dict[Holder, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight_by_request: dict[int, InFlight] = {}

    @contextmanager
    def in_flight(
        self, server: Server, request: RoutedRequest, queue: ServerQueue
    ) -> Iterator[InFlight]:
        """Counts a request as in flight during the block."""
        if request.key is not None:
            yield InFlight(0)
            return
        holder = Holder(server.server_id, server.incarnation)
        try:
            with self._loads.in_flight(
                holder, request.route, server.slots
            ) as in_flight:
                self._in_flight_by_request[id(request)] = in_flight
                yield in_flight
        finally:
            self._in_flight_by_request.pop(id(request), None)
            self._apply(server, request, queue)

    def expected_end_s(
        self, server: Server, request: RoutedRequest
    ) -> float | None:
        """Returns when a request is expected to be complete.

        Returns:
            None if it has not been sent to a server.
        """
        in_flight = self._in_flight_by_request.get(id(request))
        if in_flight is None or in_flight.sent is None:
            return None
        holder = Holder(server.server_id, server.incarnation)
        return self._loads.expected_end_s(holder, in_flight.sent)

    def observe(self, server: Server, answer: Answer, ended: int = 0) -> None:
        """Records the load that a server reports in an answer.

        Args:
            server: that was asked.
            answer: of the server.
            ended: requests in flight that it answers.
        """
        if self._codec.is_misdirected(answer):
            # It is the load of another server at the address.
            return
        try:
            load = self._codec.reported_load(answer)
        except InvalidLoadError as error:
            self._metrics.count('invalid_server_loads', service=server.service)
            _log.info(
                'invalid load of a server ignored',
                server=server.server_id,
                reason=str(error),
            )
            return
        if load is not None:
            holder = Holder(server.server_id, server.incarnation)
            self._loads.observe(holder, load, ended=ended)
            self._choice.add_service(server.service)
            self._choice.touch(holder)

    def probe_due(
        self,
        configuration: Configuration | None,
        sends_for: Callable[[str], bool],
        may_probe: Callable[[Server], bool],
    ) -> None:
        """Asks servers whose load is not known.

        Args:
            configuration: names the health path.
            sends_for: whether this instance is the sender of a service.
            may_probe: whether a server may be asked.
        """
        if configuration is None:
            return
        due = {
            one.holder: one
            for one in self._choice.in_use()
            if self._is_due(one) and may_probe(one.server)
        }.values()
        services = {one.server.service for one in due}
        sent_services = set(filter(sends_for, services))
        for candidate in due:
            server = candidate.server
            service = configuration.service_by_name.get(server.service)
            if service is not None and server.service in sent_services:
                self._probed_s_by_holder[candidate.holder] = elapsed_s()
                task = asyncio.create_task(
                    self._probe(server, service.health_path)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def keep_only(self, holders: set[Holder]) -> None:
        """Forgets servers that are gone."""
        for holder in self._probed_s_by_holder.keys() - holders:
            self._probed_s_by_holder.pop(holder)

    def _is_due(self, candidate: Candidate) -> bool:
        holder = candidate.holder
        probed_s = self._probed_s_by_holder.get(holder, 0)
        return elapsed_s() - probed_s >= PROBE_INTERVAL_S and (
            self._loads.is_silent(holder)
            or (
                self._choice.is_slow(holder)
                and self._loads.report_age_s(holder) >= PROBE_INTERVAL_S
            )
        )

    def _apply(
        self, server: Server, request: RoutedRequest, queue: ServerQueue
    ) -> None:
        if self._choice.governs(request):
            self._choice.apply(server, queue)
        self._choice.touch(Holder(server.server_id, server.incarnation))

    async def _probe(self, server: Server, health_path: str) -> None:
        outcome = 'unanswered'
        try:
            async with (
                self._pool.acquire(
                    server.address, _CONNECT_TIMEOUT_S, request_id=''
                ) as connection,
                asyncio.timeout(_ANSWER_TIMEOUT_S),
            ):
                answer = await connection.exchange(
                    self._codec.encode_health_request(server, health_path),
                    self._is_health_answer,
                    _ANSWER_TIMEOUT_S,
                )
                outcome = 'answered'
        except (NotSentError, AnswerLostError, TimeoutError):
            return
        finally:
            self._metrics.count(
                'load_probes', service=server.service, outcome=outcome
            )
        self.observe(server, answer)

    def _is_health_answer(self, answer: Answer) -> bool:
        """Whether it is no additional answer to an earlier request."""
        return self._codec.named_request(answer) is None
