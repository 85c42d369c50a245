"""The dispatcher of a group: the only sender to the group's servers."""

import asyncio

from yuccadale_core.codes import ResultCode
from yuccadale_core.declaration import Service
from yuccadale_core.instances import GroupId, ServerRef
from yuccadale_core.messages import Forward, RecordChange
from yuccadale_router._internal.contracts import GroupOwnership, LoadObserver
from yuccadale_router._internal.requests.answers import (
    DispatchAnswer,
    refused_answer,
)
from yuccadale_router._internal.requests.delivery import (
    DispatcherParts,
    Tasks,
)
from yuccadale_router._internal.requests.jobs import Job
from yuccadale_router._internal.requests.once import AtMostOnce


class GroupDispatcher:
    """Implements ``GroupRequests`` for the group's leader."""

    def __init__(
        self,
        group: GroupId,
        ownership: GroupOwnership,
        service: Service,
        parts: DispatcherParts,
        observer: LoadObserver,
    ) -> None:
        self.group = group
        self._parts = parts
        self._tasks = Tasks(self._report_drained)
        self._once = AtMostOnce(
            ownership, service, parts, observer, self._tasks
        )
        self._delivery = self._once.delivery
        self._open = 0
        self._draining = False
        self._drained: list[asyncio.Future[None]] = []

    def apply_service(self, service: Service) -> None:
        """Takes over a changed declaration of the service."""
        self._once.apply_service(service)

    async def dispatch(self, forward: Forward) -> DispatchAnswer:
        """Sends a request to its server and returns the answer or a refusal.

        Cancelling the call gives the request up, unless it may not be
        repeated and has been written; then its outcome is still recorded.
        """
        if self._draining:
            return refused_answer(
                ResultCode.instance_draining, self._parts.where
            )
        job = Job(forward, self._parts.clock())
        self._open += 1
        try:
            if forward.repeatable:
                return await self._delivery.carry(job)
            return await self._once.dispatch(job)
        finally:
            self._open -= 1
            self._report_drained()

    async def hold_slot(self, slot: int) -> None:
        """Queues new work for the slot and waits for the work under way."""
        self._delivery.waits.hold(slot)
        self._delivery.wake_slot(slot)
        await self._delivery.flights.wait_until_idle(slot)

    def release_slot(self, slot: int) -> None:
        """Sends what waited; the permit now names the new owner."""
        self._delivery.waits.release(slot)
        self._delivery.wake_slot(slot)

    def server_added(self, server: ServerRef, *, cold: bool) -> None:
        """Makes a server known; a cold one gets a slow start."""
        queue = self._delivery.queue(server)
        queue.draining = False
        if cold:
            queue.pacer.start_cold()
        queue.wake_all()

    def server_lost(self, server_name: str) -> None:
        """Ends what is under way at a server: unknown, or sent again."""
        self._delivery.forget_server(server_name)

    def export_records(self) -> list[RecordChange]:
        """Returns all live idempotency records, for a full copy."""
        return list(self._once.records.export())

    def import_records(self, changes: list[RecordChange]) -> None:
        """Takes over records; a ``started`` one becomes ``unknown``."""
        self._once.records.take_over(changes)

    async def drain(self) -> None:
        """Refuses new work and waits for the work under way."""
        self._draining = True
        drained: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._drained.append(drained)
        self._report_drained()
        await drained

    def _report_drained(self) -> None:
        if not self._draining or self._open or not self._tasks.idle:
            return
        for drained in self._drained:
            if not drained.done():
                drained.set_result(None)
        self._drained.clear()
