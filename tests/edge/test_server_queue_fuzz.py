"""Random requests to one server's queue, with invariants that always hold.

Guards against places that are lost when a cancellation, an admission and the
end of a wait coincide, and against requests that wait while a place is free.
"""

import asyncio
import random
from collections import Counter

import pytest

from tests.builders.virtual_time import VirtualTimeLoop
from yuccadale_edge.routing import AdmissionError, ServerQueue

SEEDS = 150
CALLERS = 60
LIMIT = 3
# All times are multiples of this, so that events often coincide.
STEP_S = 0.05
CANCELLED_PERCENT = 40
# Upper bound of the loop iterations by which a cancellation is delayed, so that
# it comes before, during and after an admission at the same time.
MAX_ITERATIONS = 5


class QueueScenario:
    """A queue, its callers and the outcome of each request."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.queue = ServerQueue(LIMIT, asyncio.get_running_loop().time)
        self.outcomes: Counter[str] = Counter()
        self.violations: list[str] = []
        self._running = 0

    async def run(self) -> list[str]:
        """Runs all callers and returns the violated invariants."""
        callers = [asyncio.create_task(self._caller()) for _ in range(CALLERS)]
        watch = asyncio.create_task(self._watch())
        for caller in callers:
            if self.random.randrange(100) < CANCELLED_PERCENT:
                asyncio.get_running_loop().call_later(
                    self._some_s(40),
                    _cancel_after,
                    caller,
                    self.random.randrange(MAX_ITERATIONS),
                )
        await asyncio.gather(*callers, return_exceptions=True)
        watch.cancel()
        if self.queue.running or self.queue.waiting:
            self.violations.append('places are still taken at the end')
        if sum(self.outcomes.values()) != CALLERS:
            self.violations.append(f'outcomes: {self.outcomes}')
        return self.violations

    async def _caller(self) -> None:
        try:
            await asyncio.sleep(self._some_s(40))
            await self._request()
        except AdmissionError:
            self.outcomes['refused'] += 1
        except asyncio.CancelledError:
            self.outcomes['cancelled'] += 1
        else:
            self.outcomes['served'] += 1

    async def _request(self) -> None:
        until_target_s = self._some_s(20)
        async with self.queue.admit(
            priority=self.random.randrange(3),
            caller_retry=self.random.randrange(3) == 0,
            expected_service_s=self._some_s(6) + STEP_S,
            remaining_s=until_target_s + self._some_s(20) + STEP_S,
            until_target_s=until_target_s,
        ):
            self._running += 1
            try:
                self._check()
                await asyncio.sleep(self._some_s(8))
            finally:
                self._running -= 1

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(STEP_S / 2)
            self._check()
            if self.queue.waiting and self.queue.running < LIMIT:
                self.violations.append('a request waits while a place is free')

    def _check(self) -> None:
        if self._running > LIMIT:
            self.violations.append(f'{self._running} running')

    def _some_s(self, max_steps: int) -> float:
        return self.random.randrange(max_steps) * STEP_S


def _cancel_after(caller: asyncio.Task[None], iterations: int) -> None:
    if iterations:
        asyncio.get_running_loop().call_soon(
            _cancel_after, caller, iterations - 1
        )
    else:
        caller.cancel()


async def _run_scenario(seed: int) -> tuple[list[str], Counter[str]]:
    scenario = QueueScenario(seed)
    return await scenario.run(), scenario.outcomes


def _outcomes(seeds: range) -> Counter[str]:
    outcomes: Counter[str] = Counter()
    for seed in seeds:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            violations, seen = runner.run(_run_scenario(seed))
        assert not violations, f'seed {seed}: {violations}'
        outcomes.update(seen)
    return outcomes


def test_no_place_is_lost() -> None:
    """All outcomes have to occur, or the scenarios cover too little."""
    outcomes = _outcomes(range(SEEDS))
    assert (
        min(outcomes[one] for one in ('served', 'refused', 'cancelled')) > SEEDS
    )


def test_a_place_lost_on_cancellation_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The scenarios fail if a request cancelled on admission keeps a place."""

    def cancel_wait(queue: ServerQueue, queued: object) -> None:
        if queued in queue._waiting:
            queue._waiting.remove(queued)  # type: ignore[arg-type]

    monkeypatch.setattr(ServerQueue, '_cancel_wait', cancel_wait)
    with pytest.raises(AssertionError):
        _outcomes(range(SEEDS))
