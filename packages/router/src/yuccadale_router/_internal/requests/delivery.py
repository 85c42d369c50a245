"""Sends requests to the servers of a group within each server's limits."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeVar

from expression import Result

from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Service
from yuccadale_core.instances import ServerRef
from yuccadale_core.messages import Hop
from yuccadale_core.refusals import Refusal
from yuccadale_core.targets import (
    Target,
    TargetAnswer,
    TargetFailure,
    TargetFailureKind,
    TargetRequest,
)
from yuccadale_core.timing import seconds
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import (
    GroupOwnership,
    LoadObserver,
    LoadSample,
    SendPermit,
    ServerObservation,
    TargetFactory,
)
from yuccadale_router._internal.requests import counter_names
from yuccadale_router._internal.requests.answers import (
    DispatchAnswer,
    refuse,
    refused_answer,
)
from yuccadale_router._internal.requests.in_flight import (
    InFlightRequest,
    InFlightRequests,
)
from yuccadale_router._internal.requests.jobs import Job
from yuccadale_router._internal.requests.keyed_waits import KeyedWaits
from yuccadale_router._internal.requests.server_queue import (
    ADMITTED,
    REROUTE,
    ServerQueue,
)

# Time for a server to confirm a cancellation; after it, the request counts as
# running until its deadline.
_CANCEL_TIMEOUT_MS = 1000

# Refusals of a permit that end without a new leader; the request waits.
_TRANSIENT_CODES = frozenset(
    (ResultCode.slot_not_ready, ResultCode.slot_moving)
)
_DEADLINE_CODES = frozenset(
    (ResultCode.deadline_passed, ResultCode.deadline_too_short)
)
_CODE_BY_FAILURE = MappingProxyType(
    {
        TargetFailureKind.refused: ResultCode.server_refused_token,
        TargetFailureKind.shedding: ResultCode.server_shedding,
        TargetFailureKind.lost: ResultCode.answer_lost,
        TargetFailureKind.malformed: ResultCode.answer_malformed,
    }
)

_Value = TypeVar('_Value')


@dataclass(frozen=True, slots=True)
class DispatcherParts:
    """Dependencies and limits that all dispatchers of a process share.

    Attributes:
        where: name of this hop, such as ``leader lodz-a-1``.
        random_unit: returns numbers from 0 to 1, for jitter.
        record_limit: largest number of idempotency records of one group.
        record_body_limit_bytes: total size of the answer bodies kept by the
            records of one group.
    """

    where: str
    clock: Clock
    counters: Counters
    targets: TargetFactory
    random_unit: Callable[[], float]
    record_limit: int = 500_000
    record_body_limit_bytes: int = 32 << 20


class BackgroundTasks:
    """Background tasks of a dispatcher, referenced until they end."""

    def __init__(self, on_idle: Callable[[], None]) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._on_idle = on_idle

    @property
    def idle(self) -> bool:
        """Whether no task is running."""
        return not self._tasks

    def spawn(
        self, work: Coroutine[Any, Any, _Value]
    ) -> 'asyncio.Task[_Value]':
        """Starts a task and keeps a reference to it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.discard(task)
        if not self._tasks:
            self._on_idle()


# Called for work with a record; must succeed before the request is written.
Prepare = Callable[[Job, str], Awaitable[Result[None, Refusal]]]
# Called directly before the write; returns the reason to refuse it, if any.
CheckBeforeWrite = Callable[[Job], ResultCode | None]
# Called with the answer of work with a record.
Finish = Callable[[Job, TargetAnswer], None]


@dataclass(frozen=True, slots=True)
class RecordHooks:
    """Callbacks for work that has an idempotency record."""

    prepare: Prepare
    check_before_write: CheckBeforeWrite
    finish: Finish


class Delivery:
    """Queues and sends requests and classifies failures.

    It does not look at idempotency keys.
    """

    def __init__(
        self,
        ownership: GroupOwnership,
        service: Service,
        parts: DispatcherParts,
        observer: LoadObserver,
        tasks: BackgroundTasks,
        record_hooks: RecordHooks,
    ) -> None:
        self.slot_waits = KeyedWaits(parts.clock, self._slot_ready)
        self.in_flight_requests = InFlightRequests()
        self._ownership = ownership
        self._service = service
        self._parts = parts
        self._observer = observer
        self._clock = parts.clock
        self._tasks = tasks
        self._record_hooks = record_hooks
        self._queue_by_server: dict[str, ServerQueue] = {}
        self._target_by_server: dict[str, Target] = {}

    def apply_service(self, service: Service) -> None:
        """Applies changed limits."""
        self._service = service
        for queue in self._queue_by_server.values():
            queue.apply_service(service)

    def queue(self, server: ServerRef) -> ServerQueue:
        """Returns a server's queue; a changed address gets a new queue."""
        known = self._queue_by_server.get(server.name)
        if known is not None and known.server.address == server.address:
            return known
        queue = ServerQueue(
            server, self._service, self._clock, self._parts.random_unit
        )
        self._queue_by_server[server.name] = queue
        self._target_by_server[server.name] = self._parts.targets(server)
        if known is not None:
            known.reroute_all()
        return queue

    def target(self, server_name: str) -> Target | None:
        """Returns the client of a server; None if the server is unknown."""
        return self._target_by_server.get(server_name)

    def handle_server_lost(self, server_name: str) -> None:
        """Stops waiting for a lost server and reroutes its queue."""
        self.in_flight_requests.stop_waiting_for_server(
            server_name, fenced=self._service.checks_grants
        )
        # The queue stays: requests at the server count against its
        # concurrency until their cancellation is confirmed or timed out.
        queue = self._queue_by_server.get(server_name)
        if queue is not None:
            queue.reroute_all()

    def reroute_slot(self, slot: int) -> None:
        """Reroutes the queued requests of a slot."""
        for queue in self._queue_by_server.values():
            queue.reroute_slot(slot)

    def effective_slot(self, job: Job) -> int:
        """Returns the slot of the key, or the slot it is pinned to."""
        return self._ownership.effective_slot(job.forward.slot, job.forward.key)

    async def send(self, job: Job) -> DispatchAnswer:
        """Sends a request to the server that owns its slot."""
        while not job.caller_gone:
            job.slot = self.effective_slot(job)
            permitted = self._ownership.permit(job.slot)
            refusal = self._permit_refusal(job.slot, permitted)
            if refusal is not None:
                if self._must_refuse(job, refusal):
                    return DispatchAnswer(refusal=refusal)
                await self.slot_waits.wait(job.slot, job.deadline_ms)
                continue
            answer = await self._send_via_queue(
                job, self.queue(permitted.ok.server)
            )
            if answer is not None:
                return answer
            self._parts.counters.count(counter_names.REQUEUED)
        return self._refused(ResultCode.caller_gone)

    def _slot_ready(self, slot: int) -> bool:
        permitted = self._ownership.permit(slot)
        return permitted.is_ok() or permitted.error.code not in _TRANSIENT_CODES

    def _permit_refusal(
        self, slot: int, permitted: Result[SendPermit, Refusal]
    ) -> Refusal | None:
        if self.slot_waits.held(slot):
            return refuse(ResultCode.slot_moving, self._parts.where)
        return permitted.error if permitted.is_error() else None

    def _must_refuse(self, job: Job, refusal: Refusal) -> bool:
        if refusal.code not in _TRANSIENT_CODES:
            return True
        if self.slot_waits.count >= self._wait_limit():
            return True
        return self._clock() >= job.deadline_ms

    def _wait_limit(self) -> int:
        servers = max(1, len(self._queue_by_server))
        return servers * self._service.queue_limit

    async def _send_via_queue(
        self, job: Job, queue: ServerQueue
    ) -> DispatchAnswer | None:
        """Queues and sends the request; None if it must be rerouted."""
        forward = job.forward
        if (
            job.record is not None
            and job.replicated_for_server != queue.server.name
        ):
            code = queue.early_refusal(
                forward.key, forward.priority, job.deadline_ms
            )
            if code is not None:
                return self._refused(self._deadline_cause(job, code))
            prepared = await self._record_hooks.prepare(job, queue.server.name)
            if prepared.is_error():
                return DispatchAnswer(refusal=prepared.error)
        code = await queue.acquire(
            job.slot, forward.key, forward.priority, job.deadline_ms
        )
        if code == ADMITTED:
            return await self._send_admitted(job, queue)
        if code == REROUTE:
            return None
        return self._refused(self._deadline_cause(job, code))

    async def _send_admitted(
        self, job: Job, queue: ServerQueue
    ) -> DispatchAnswer | None:
        permit = self._current_permit(job, queue)
        if permit is None:
            queue.release(job.forward.key, 0)
            return None
        code = self._refusal_before_write(job)
        if code is not None:
            queue.release(job.forward.key, 0)
            return self._refused(code)
        return await self._write(job, queue, permit)

    def _current_permit(
        self, job: Job, queue: ServerQueue
    ) -> SendPermit | None:
        """Returns the permit if it still holds after the time in the queue."""
        if (
            self.slot_waits.held(job.slot)
            or self.effective_slot(job) != job.slot
        ):
            return None
        permitted = self._ownership.permit(job.slot)
        if permitted.is_error():
            return None
        permit = permitted.ok
        if permit.server != queue.server:
            return None
        if (
            job.record is not None
            and job.replicated_for_server != permit.server.name
        ):
            return None
        return permit

    def _refusal_before_write(self, job: Job) -> ResultCode | None:
        if self._clock() >= job.deadline_ms:
            return self._deadline_cause(job, ResultCode.deadline_passed)
        if job.record is None:
            return None
        return self._record_hooks.check_before_write(job)

    async def _write(
        self, job: Job, queue: ServerQueue, permit: SendPermit
    ) -> DispatchAnswer | None:
        """Writes the request; call it directly after the permit check."""
        sent_ms = self._clock()
        request = self._target_request(job, permit, sent_ms)
        if job.record is not None:
            job.record.token = permit.token
        job.written = True
        in_flight = self.in_flight_requests.start(
            job.slot, queue.server.name, job.deadline_ms
        )
        target = self._target_by_server[queue.server.name]
        answered: Result[TargetAnswer, TargetFailure] | None = None
        try:
            async with asyncio.timeout(
                seconds(request.remaining_ms)
            ) as answer_timeout:
                in_flight.answer_timeout = answer_timeout
                answered = await target.run(request)
        except TimeoutError:
            return self._no_answer(queue, in_flight)
        finally:
            # Also after the caller's cancellation or an exception of the
            # adapter, so that the request stops counting as running.
            if answered is None:
                self._cancel_in_background(job, queue, in_flight)
        service_ms = self._clock() - sent_ms
        self.in_flight_requests.end(in_flight)
        queue.release(job.forward.key, service_ms)
        if answered.is_error():
            return self._handle_failure(
                job, queue, permit, answered.error, service_ms
            )
        return self._handle_answer(job, queue, answered.ok, sent_ms, service_ms)

    def _target_request(
        self, job: Job, permit: SendPermit, now_ms: float
    ) -> TargetRequest:
        forward = job.forward
        ownership = self._ownership
        slot = job.slot

        def permitted() -> bool:
            now_permitted = ownership.permit(slot)
            return now_permitted.is_ok() and now_permitted.ok == permit

        return TargetRequest(
            request_id=forward.request_id,
            service=forward.service,
            key=forward.key,
            slot=slot,
            token=permit.token,
            method=forward.method,
            path=forward.path,
            remaining_ms=job.deadline_ms - now_ms,
            headers=forward.headers,
            body=forward.body,
            permitted=permitted,
        )

    def _handle_answer(
        self,
        job: Job,
        queue: ServerQueue,
        answer: TargetAnswer,
        sent_ms: float,
        service_ms: float,
    ) -> DispatchAnswer:
        server_name = queue.server.name
        waited_ms = sent_ms - job.received_ms
        queue.service_time.add(service_ms)
        queue.pacer.answered()
        self._ownership.report_observation(
            server_name, ServerObservation(reached=True)
        )
        self._observer.observe(
            LoadSample(
                slot=job.slot,
                key=job.forward.key,
                server_name=server_name,
                service_ms=service_ms,
                waited_ms=waited_ms,
                refused=False,
            )
        )
        if job.record is not None:
            self._record_hooks.finish(job, answer)
        return DispatchAnswer(
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            hops=(
                Hop('server', server_name, service_ms),
                Hop('queue', self._parts.where, waited_ms),
            ),
        )

    def _handle_failure(
        self,
        job: Job,
        queue: ServerQueue,
        permit: SendPermit,
        failure: TargetFailure,
        service_ms: float,
    ) -> DispatchAnswer | None:
        """Returns the refusal for a failure; None to requeue the request."""
        kind = failure.kind
        self._report_failure(queue.server.name, permit, failure)
        if kind == TargetFailureKind.not_sent:
            job.written = False
            job.last_failure_code = ResultCode.server_unreachable
            queue.pacer.connect_failed(self._clock())
            return None
        if kind == TargetFailureKind.draining:
            job.written = False
            job.last_failure_code = ResultCode.server_draining
            queue.draining = True
            return None
        if kind == TargetFailureKind.shedding:
            queue.pacer.shed(self._clock())
            self._observe_shedding(job, queue, service_ms)
        return DispatchAnswer(
            refusal=refuse(
                _CODE_BY_FAILURE[kind],
                f'server {queue.server.name}',
                failure.detail,
                failure.retry_after_s,
            )
        )

    def _report_failure(
        self, server_name: str, permit: SendPermit, failure: TargetFailure
    ) -> None:
        highest_token = failure.highest_token
        self._ownership.report_observation(
            server_name,
            ServerObservation(
                reached=failure.kind
                not in {TargetFailureKind.not_sent, TargetFailureKind.lost},
                token_refused=highest_token is not None
                and highest_token > permit.token,
                draining=failure.kind == TargetFailureKind.draining,
            ),
        )

    def _observe_shedding(
        self, job: Job, queue: ServerQueue, service_ms: float
    ) -> None:
        self._observer.observe(
            LoadSample(
                slot=job.slot,
                key=job.forward.key,
                server_name=queue.server.name,
                service_ms=service_ms,
                waited_ms=self._clock() - service_ms - job.received_ms,
                refused=True,
            )
        )

    def _no_answer(
        self, queue: ServerQueue, in_flight: InFlightRequest
    ) -> DispatchAnswer:
        server_name = queue.server.name
        self._ownership.report_observation(
            server_name, ServerObservation(reached=False)
        )
        reason = (
            'was lost' if in_flight.server_lost else 'did not answer in time'
        )
        return DispatchAnswer(
            refusal=refuse(
                ResultCode.answer_lost,
                f'server {server_name}',
                f'Server {server_name} {reason}.',
            )
        )

    def _cancel_in_background(
        self, job: Job, queue: ServerQueue, in_flight: InFlightRequest
    ) -> None:
        """Cancels a request at its server; it counts as running until then."""
        in_flight.answer_timeout = None
        self._tasks.spawn(self._cancel_at_server(job, queue, in_flight))

    async def _cancel_at_server(
        self, job: Job, queue: ServerQueue, in_flight: InFlightRequest
    ) -> None:
        target = self._target_by_server[queue.server.name]
        try:
            async with asyncio.timeout(seconds(_CANCEL_TIMEOUT_MS)):
                await target.cancel(job.forward.request_id)
        except TimeoutError:
            self._parts.counters.count(counter_names.CANCEL_UNCONFIRMED)
            left_ms = max(0, in_flight.deadline_ms - self._clock())
            await asyncio.sleep(seconds(left_ms))
        finally:
            self.in_flight_requests.end(in_flight)
            queue.release(job.forward.key, 0)

    def _deadline_cause(self, job: Job, code: ResultCode) -> ResultCode:
        """Replaces a deadline code by the failure that caused the delay."""
        if code in _DEADLINE_CODES and job.last_failure_code is not None:
            return job.last_failure_code
        return code

    def _refused(self, code: ResultCode) -> DispatchAnswer:
        return refused_answer(code, self._parts.where)
