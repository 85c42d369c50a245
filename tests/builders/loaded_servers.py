"""Servers that report their load, shared by senders, in virtual time."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import MappingProxyType
from unittest.mock import AsyncMock, Mock

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Place, Server, ServerState
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
    Served,
)
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_edge._internal.transport.client_pool import Address
from yuccadale_platform._internal.requests import PlatformCodec

SERVICE = 'open'
SLOTS = 4
WORK_S = 0.22
TARGET_S = 0.8
TIMEOUT_S = 2.0
QUEUE_PLACES = 16
_REGIONS = MappingProxyType({'a': 'north', 'b': 'north'})
_MAINTENANCE_S = 0.2


@dataclass
class LoadedServer:
    """A server.

    Attributes:
        pace: how many times longer than usual work takes.
        reports: which form of the load it reports: none, without the pace, or
            with it.
        queued: the requests that found no free slot when they arrived.
        received: when requests arrived.
        probed: when its health path was asked.
    """

    speed: float = 1.0
    pace: float = 1.0
    reports: str = 'pace'
    running: int = 0
    waiting: int = 0
    queued: int = 0
    received: list[float] = field(default_factory=list)
    probed: list[float] = field(default_factory=list)
    slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(SLOTS)
    )

    async def answer(self, head: bytes, request_id: str) -> Answer:
        """Answers a request, or at once one to the health path."""
        if b'/healthz' in head:
            self.probed.append(elapsed_s())
            return Answer(200, self._headers())
        self.received.append(elapsed_s())
        self.queued += self.running >= SLOTS
        named = (b'x-attempt-id', request_id.encode())
        if self.waiting >= QUEUE_PLACES:
            shed = [named, (b'x-not-executed', b'1'), *self._headers()]
            return Answer(503, shed)
        # A server does not notice that its caller has left.
        await asyncio.shield(asyncio.create_task(self._work()))
        return Answer(200, [named, *self._headers()])

    async def _work(self) -> None:
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(_work_s() * self.pace / self.speed)
            self.running -= 1

    def _headers(self) -> list[tuple[bytes, bytes]]:
        if self.reports == 'none':
            return []
        load = b'%d,%d,%d' % (self.running, self.waiting, SLOTS)
        if self.reports == 'pace':
            load += b',%d' % (self.pace * 100)
        return [(b'x-server-load', load)]


def _work_s() -> float:
    return random.uniform(0.5, 1.5) * WORK_S


class Sender:
    """The instance that sends for one data centre."""

    def __init__(
        self,
        server_by_id: dict[str, LoadedServer],
        data_centre: str,
        *,
        may_retry: bool = False,
    ) -> None:
        self.metrics = Metrics()
        # Connections that were given up with a request in flight.
        self.closed = 0
        self.results: list[tuple[Result, float, float]] = []
        self.server_by_id = server_by_id
        view = SystemView(Mock(), Mock(), 2.0)
        for number, server_id in enumerate(server_by_id):
            view.servers.server_by_id[server_id] = Server(
                server_id,
                SERVICE,
                (server_id, 1),
                'ab'[number % 2],
                SLOTS,
                ServerState.ready,
                1,
                0,
            )
        service = Mock(health_path='/healthz', cold_per_s=None)
        view.configuration = Mock(service_by_name={SERVICE: service})
        self.dispatcher = Dispatcher(
            view,
            self,  # type: ignore[arg-type]
            PlatformCodec(),
            self.metrics,
            Place(data_centre, 'north', _REGIONS),
            Mock(),
            Mock(may_continue=AsyncMock(return_value=may_retry)),
        )

    @asynccontextmanager
    async def acquire(
        self,
        address: Address,
        *_: object,
        request_id: str = '',
        **_options: bool,
    ) -> AsyncIterator[Mock]:
        """Provides a connection to a server, as ``ClientPool`` does."""
        server = self.server_by_id[address[0]]

        async def exchange(
            head: bytes, *_args: object, **_options: object
        ) -> Answer:
            try:
                return await server.answer(head, request_id)
            except asyncio.CancelledError:
                self.closed += 1
                raise

        yield Mock(exchange=exchange)

    async def request(self, number: int, *, repeatable: bool = True) -> Result:
        """Sends a request; its result and time are kept."""
        request_id = f'{id(self)}-{number}'
        began_s = elapsed_s()
        routed = RoutedRequest(
            request_id=request_id,
            route='read',
            service=SERVICE,
            method=b'GET',
            target=b'/x',
            headers=[],
            body=b'',
            priority=0,
            repeatable=repeatable,
            remaining_ms=TIMEOUT_S * 1000,
            until_target_ms=TARGET_S * 1000,
            allowed_attempts=2,
        )
        result = await self.dispatcher.serve(routed)
        self.results.append((result, elapsed_s() - began_s, began_s))
        return result

    async def load(self, per_s: float, for_s: float) -> None:
        """Sends requests at random moments and waits for their results."""
        housekeeping = asyncio.create_task(self._maintain())
        end_s = elapsed_s() + for_s
        async with asyncio.TaskGroup() as tasks:
            while elapsed_s() < end_s:
                await asyncio.sleep(random.expovariate(per_s))
                tasks.create_task(self.request(len(self.results)))
        housekeeping.cancel()

    def in_target(self, since_s: float = 0) -> float:
        """Returns the share of requests answered in time.

        Args:
            since_s: requests that began before are left out.
        """
        results = [
            (result, took_s)
            for result, took_s, began_s in self.results
            if began_s >= since_s
        ]
        good = [
            result
            for result, took_s in results
            if isinstance(result, Served) and took_s <= TARGET_S
        ]
        return len(good) / len(results)

    def refusals(self) -> list[tuple[Refused, float]]:
        """Returns the refusals and their times."""
        return [
            (result, took_s)
            for result, took_s, _ in self.results
            if isinstance(result, Refused)
        ]

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_S)
            self.dispatcher.maintain_queues()


def capacity_per_s(server_by_id: dict[str, LoadedServer]) -> float:
    """Returns the requests a second that all servers complete."""
    return sum(SLOTS * one.speed / WORK_S for one in server_by_id.values())


def loaded_servers(
    count: int, *, reports: str = 'pace', speeds: tuple[float, ...] = (1.0,)
) -> dict[str, LoadedServer]:
    """Returns servers with their ids."""
    return {
        f's{number:03}': LoadedServer(
            speed=speeds[number // 2 % len(speeds)], reports=reports
        )
        for number in range(count)
    }
