"""Dispatches a group's requests; nothing else sends to its servers."""

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
from yuccadale_router._internal.requests.at_most_once import AtMostOnce
from yuccadale_router._internal.requests.delivery import (
    BackgroundTasks,
    DispatcherParts,
)
from yuccadale_router._internal.requests.jobs import Job


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
        self._tasks = BackgroundTasks(self._notify_drained)
        self._at_most_once = AtMostOnce(
            ownership, service, parts, observer, self._tasks
        )
        self._delivery = self._at_most_once.delivery
        self._open_request_count = 0
        self._draining = False
        self._drain_waiters: list[asyncio.Future[None]] = []

    def apply_service(self, service: Service) -> None:
        """Applies a changed declaration of the service."""
        self._at_most_once.apply_service(service)

    async def dispatch(self, forward: Forward) -> DispatchAnswer:
        """Sends a request to its server and returns the answer or a refusal.

        Cancelling the call cancels the request, unless it is not repeatable
        and already written; then it continues and its outcome is recorded.
        """
        if self._draining:
            return refused_answer(
                ResultCode.instance_draining, self._parts.where
            )
        job = Job(forward, self._parts.clock())
        self._open_request_count += 1
        try:
            if forward.repeatable:
                return await self._delivery.send(job)
            return await self._at_most_once.dispatch(job)
        finally:
            self._open_request_count -= 1
            self._notify_drained()

    async def hold_slot(self, slot: int) -> None:
        """Holds new requests for the slot and waits for those in flight."""
        self._delivery.slot_waits.hold(slot)
        self._delivery.reroute_slot(slot)
        await self._delivery.in_flight_requests.wait_until_idle(slot)

    def release_slot(self, slot: int) -> None:
        """Sends the held requests; the permit now names the new owner."""
        self._delivery.slot_waits.release(slot)
        self._delivery.reroute_slot(slot)

    def server_added(self, server: ServerRef, *, cold: bool) -> None:
        """Adds a server; a cold one starts at a reduced rate."""
        queue = self._delivery.queue(server)
        queue.draining = False
        if cold:
            queue.pacer.start_cold()
        queue.reroute_all()

    def server_lost(self, server_name: str) -> None:
        """Ends the requests at a server: they are unknown or sent again."""
        self._delivery.handle_server_lost(server_name)

    def export_records(self) -> list[RecordChange]:
        """Returns all live idempotency records, for a full copy."""
        return list(self._at_most_once.records.export())

    def import_records(self, changes: list[RecordChange]) -> None:
        """Imports records; ``started`` ones become ``unknown``."""
        self._at_most_once.records.import_changes(changes)

    async def drain(self) -> None:
        """Refuses new requests and waits until the running ones have ended."""
        self._draining = True
        drained: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._drain_waiters.append(drained)
        self._notify_drained()
        await drained

    def _notify_drained(self) -> None:
        if (
            not self._draining
            or self._open_request_count
            or not self._tasks.idle
        ):
            return
        for drained in self._drain_waiters:
            if not drained.done():
                drained.set_result(None)
        self._drain_waiters.clear()
