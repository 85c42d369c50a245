"""Runs non-repeatable work at most once for each id."""

import asyncio

from expression import Result

from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_core.declaration import Service
from yuccadale_core.messages import Hop
from yuccadale_core.refusals import Refusal
from yuccadale_core.targets import TargetAnswer
from yuccadale_core.timing import seconds
from yuccadale_router._internal.contracts import (
    GroupOwnership,
    LoadObserver,
    Tenure,
)
from yuccadale_router._internal.requests import counter_names
from yuccadale_router._internal.requests.answers import (
    DispatchAnswer,
    refused_answer,
)
from yuccadale_router._internal.requests.delivery import (
    BackgroundTasks,
    Delivery,
    DispatcherParts,
    RecordHooks,
)
from yuccadale_router._internal.requests.idempotency import (
    Record,
    RecordId,
    RecordState,
    RecordStore,
    fingerprint_of,
)
from yuccadale_router._internal.requests.jobs import Job
from yuccadale_router._internal.requests.outcomes import (
    OutcomeQuery,
    OutcomeQueryResult,
)
from yuccadale_router._internal.requests.replication import Replication
from yuccadale_router._internal.requests.tenure import (
    combined,
    tenure_refusal,
)

_OUTCOME_POLL_INTERVAL_MS = 20


class AtMostOnce:
    """Deduplicates the non-repeatable requests of a group by their id."""

    def __init__(
        self,
        ownership: GroupOwnership,
        service: Service,
        parts: DispatcherParts,
        observer: LoadObserver,
        tasks: BackgroundTasks,
    ) -> None:
        self.records = RecordStore(
            parts.clock,
            service.retry_window_s,
            record_limit=parts.record_limit,
            body_limit_bytes=parts.record_body_limit_bytes,
        )
        self.delivery = Delivery(
            ownership,
            service,
            parts,
            observer,
            tasks,
            RecordHooks(
                self._replicate_started, self._tenure_code, self._finish
            ),
        )
        self._ownership = ownership
        self._service = service
        self._parts = parts
        self._clock = parts.clock
        self._tasks = tasks
        self._replication = Replication(ownership.replicate)
        self._outcome_query = OutcomeQuery(parts.clock, parts.counters)

    def apply_service(self, service: Service) -> None:
        """Applies a changed declaration of the service."""
        self._service = service
        self.records.set_retry_window(service.retry_window_s)
        self.delivery.apply_service(service)

    async def dispatch(self, job: Job) -> DispatchAnswer:
        """Runs the work, or answers from the record of its id."""
        forward = job.forward
        record_id = (forward.slot, forward.request_id)
        fingerprint = fingerprint_of(forward)
        while True:
            record = self.records.find(record_id)
            if record is None:
                return await self._start_work(job, record_id, fingerprint)
            if record.fingerprint != fingerprint:
                return self._refused(ResultCode.request_id_reused)
            answer = await self._answer_from_record(job, record)
            if answer is not None:
                return answer

    async def _answer_from_record(
        self, job: Job, record: Record
    ) -> DispatchAnswer | None:
        """Answers from the record of the id; None if it may have changed."""
        if record.state == RecordState.done and record.answer is not None:
            self._parts.counters.count(counter_names.REPLAYED)
            return _replayed(record.answer, self._parts.where)
        if self._clock() >= job.deadline_ms:
            return self._refused(
                ResultCode.answer_lost, 'The outcome of the id is not known.'
            )
        if record.state == RecordState.started:
            self._parts.counters.count(counter_names.WAITED_FOR_SAME_ID)
            await self._wait_for_outcome(record, job.deadline_ms)
            return None
        return await self._query_server(job, record)

    async def _wait_for_outcome(
        self, record: Record, deadline_ms: float
    ) -> None:
        if record.outcome_known is None:
            record.outcome_known = asyncio.get_running_loop().create_future()
        left_ms = deadline_ms - self._clock()
        await asyncio.wait((record.outcome_known,), timeout=seconds(left_ms))

    async def _query_server(
        self, job: Job, record: Record
    ) -> DispatchAnswer | None:
        """Queries the outcome of an id; None if the record may have changed."""
        target = self.delivery.target(record.server)
        result = OutcomeQueryResult.unknown
        if target is not None:
            result = await self._outcome_query.query(
                target,
                self.records,
                record,
                deadline_ms=job.deadline_ms,
                fenced=self._fenced(job, record),
            )
        if result == OutcomeQueryResult.settled:
            self._replicate(record)
            return None
        if result == OutcomeQueryResult.overtaken:
            return None
        if result == OutcomeQueryResult.running:
            await asyncio.sleep(seconds(_OUTCOME_POLL_INTERVAL_MS))
            return None
        ran = record.state == RecordState.done
        return self._refused(
            ResultCode.answer_lost,
            'The work ran, but its answer is not kept any more.'
            if ran
            else f'Server {record.server} did not say whether the work ran.',
        )

    def _fenced(self, job: Job, record: Record) -> bool:
        """Returns whether an earlier copy of the request can no longer run.

        That is so if the record's server has accepted a higher token than
        the one the request was written with: it refuses a late copy.
        """
        if not self._service.checks_grants:
            return False
        permitted = self._ownership.permit(self.delivery.effective_slot(job))
        if permitted.is_error():
            return False
        permit = permitted.ok
        return (
            permit.server.name == record.server and permit.token > record.token
        )

    async def _start_work(
        self, job: Job, record_id: RecordId, fingerprint: int
    ) -> DispatchAnswer:
        code = self._tenure_code(job)
        if code is not None:
            return self._refused(code)
        if self.records.is_full():
            return self._refused(
                ResultCode.queue_full, 'The memory for request ids is full.'
            )
        record = self.records.start(record_id, fingerprint)
        job.record = record
        task = self._tasks.spawn(self._run_and_record(job, record))
        try:
            answer = await asyncio.shield(task)
        except asyncio.CancelledError:
            job.caller_gone = True
            if not job.written:
                task.cancel()
            raise
        return await self._resolve_unknown(job, record, answer)

    async def _run_and_record(self, job: Job, record: Record) -> DispatchAnswer:
        """Runs the work in its own task and records the outcome.

        Written work continues after the caller's cancellation, and its
        outcome is recorded for the caller's next attempt.
        """
        outcome = Outcome.unknown
        try:
            answer = await self.delivery.send(job)
            if answer.refusal is not None:
                outcome = answer.refusal.outcome
        finally:
            if not job.written:
                outcome = Outcome.not_run
            self._record_outcome(job, record, outcome)
        return answer

    def _record_outcome(
        self, job: Job, record: Record, outcome: Outcome
    ) -> None:
        if record.state != RecordState.started:
            return
        if outcome != Outcome.not_run:
            self.records.mark_unknown(record)
            return
        self.records.drop(record)
        if job.replicated_for_server:
            self._replicate(record)

    async def _resolve_unknown(
        self, job: Job, record: Record, answer: DispatchAnswer
    ) -> DispatchAnswer:
        """Queries the server's outcome while the record's state is unknown."""
        while (
            record.state == RecordState.unknown
            and self.records.find(record.record_id) is record
        ):
            answer_from_record = await self._answer_from_record(job, record)
            if answer_from_record is not None:
                return answer
        refusal = answer.refusal
        if refusal is None or refusal.outcome == Outcome.not_run:
            return answer
        if record.state == RecordState.done and record.answer is not None:
            return _replayed(record.answer, self._parts.where)
        if record.state == RecordState.not_run:
            return self._refused(
                ResultCode.server_unreachable,
                'The connection was lost; the server did not run the work.',
            )
        return answer

    def _finish(self, job: Job, answer: TargetAnswer) -> None:
        if job.record is not None:
            self.records.finish(job.record, answer)
            self._replicate(job.record)

    async def _replicate_started(
        self, job: Job, server_name: str
    ) -> Result[None, Refusal]:
        record = job.record
        if record is None:
            return Result.Ok(None)
        record.server = server_name
        replicated = await asyncio.shield(self._replicate(record))
        if replicated.is_ok():
            job.replicated_for_server = server_name
        return replicated

    def _replicate(
        self, record: Record
    ) -> 'asyncio.Future[Result[None, Refusal]]':
        return self._replication.add(
            record.server, record.change(self._clock())
        )

    def _tenure_code(self, job: Job) -> ResultCode | None:
        return tenure_refusal(
            self._tenure(job),
            first_sent_ago_ms=job.forward.first_sent_ago_ms,
            since_receipt_ms=self._clock() - job.received_ms,
            retry_window_s=self._service.retry_window_s,
        )

    def _tenure(self, job: Job) -> Tenure:
        slot = job.forward.slot
        tenure = self._ownership.tenure(slot)
        pinned_slot = self.delivery.effective_slot(job)
        if pinned_slot == slot:
            return tenure
        return combined(tenure, self._ownership.tenure(pinned_slot))

    def _refused(self, code: ResultCode, detail: str = '') -> DispatchAnswer:
        return refused_answer(code, self._parts.where, detail)


def _replayed(answer: TargetAnswer, where: str) -> DispatchAnswer:
    return DispatchAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        hops=(Hop('record', where, 0),),
    )
