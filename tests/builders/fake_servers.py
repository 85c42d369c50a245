"""Servers in memory that count what they ran."""

import asyncio
from collections import Counter, deque
from typing import Any

from expression import Result

from tests.builders.virtual_time import virtual_ms
from yuccadale_core.targets import (
    OutcomeAnswer,
    ServerOutcome,
    TargetAnswer,
    TargetFailure,
    TargetFailureKind,
    TargetRequest,
)


class FakeServer:
    """A server that checks tokens and slots, with injected failures.

    Attributes:
        failures: failures of the next requests, in order; with ``lost`` and
            ``malformed`` the work runs first.
        late_ms: delays after which the next requests are read; their
            connections are lost at once.
        runs: number of completed runs by body, or by id without a body.
        gap: whether the current grant says that records may be missing.
        slots: slots of its grant, None for all.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.delay_ms = 1.0
        self.failures: deque[TargetFailureKind] = deque()
        self.late_ms: deque[float] = deque()
        self.gap = False
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.max_running = 0
        self.highest_token = 0
        self.slots: set[int] | None = None
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.cancelled: set[str] = set()
        self.outcome_answers = True
        self._outcome_by_id: dict[str, OutcomeAnswer] = {}
        self._work: set[asyncio.Task[object]] = set()

    async def run(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        """Runs a request; its work continues after a lost connection."""
        failure = self.failures.popleft() if self.failures else None
        if failure is not None and failure not in {
            TargetFailureKind.lost,
            TargetFailureKind.malformed,
        }:
            return _failed(failure)
        if not request.permitted():
            return _failed(TargetFailureKind.not_sent)
        late_ms = self.late_ms.popleft() if self.late_ms else 0
        work = asyncio.create_task(self._serve(request, late_ms))
        self._work.add(work)
        work.add_done_callback(self._work.discard)
        if late_ms:
            return _failed(TargetFailureKind.lost)
        answer = await asyncio.shield(work)
        if failure is not None and answer.is_ok():
            return _failed(failure)
        return answer

    async def cancel(self, request_id: str) -> None:
        await self.thawed.wait()
        if request_id in self._outcome_by_id:
            self.cancelled.add(request_id)

    async def outcome(
        self, request_id: str
    ) -> Result[OutcomeAnswer, TargetFailure]:
        await self.thawed.wait()
        if not self.outcome_answers:
            return _failed(TargetFailureKind.lost)
        not_offered = OutcomeAnswer(
            ServerOutcome.not_offered, remembered_ms=virtual_ms() + 10_000
        )
        return Result.Ok(self._outcome_by_id.get(request_id, not_offered))

    async def _serve(
        self, request: TargetRequest, late_ms: float
    ) -> Result[TargetAnswer, TargetFailure]:
        await asyncio.sleep(late_ms / 1000)
        await self.thawed.wait()
        request_id = request.request_id
        if self._refuses(request):
            return self._refused(request)
        deadline_ms = virtual_ms() + request.remaining_ms
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._outcome_by_id[request_id] = OutcomeAnswer(ServerOutcome.running)
        await asyncio.sleep(self.delay_ms / 1000)
        await self.thawed.wait()
        self.running -= 1
        if self._refuses(request) or virtual_ms() > deadline_ms:
            return self._refused(request)
        self.runs[request.body.decode() or request_id] += 1
        body = request.body or request.key.encode()
        answer = TargetAnswer(200, {'server': self.name}, body)
        self._outcome_by_id[request_id] = OutcomeAnswer(
            ServerOutcome.done, answer
        )
        return Result.Ok(answer)

    def _refuses(self, request: TargetRequest) -> bool:
        self.highest_token = max(self.highest_token, request.token)
        outside = self.slots is not None and request.slot not in self.slots
        given_up = request.request_id in self.cancelled
        return outside or given_up or request.token < self.highest_token

    def _refused(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        known = self._outcome_by_id.get(request.request_id)
        if known is None or known.outcome != ServerOutcome.done:
            self._outcome_by_id[request.request_id] = OutcomeAnswer(
                ServerOutcome.not_run
            )
        return Result.Error(
            TargetFailure(
                TargetFailureKind.refused, 'refused', self.highest_token
            )
        )


def _failed(kind: TargetFailureKind) -> Result[Any, TargetFailure]:
    return Result.Error(TargetFailure(kind, kind.value))
