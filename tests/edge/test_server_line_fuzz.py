"""Random callers at one server's line, against what must hold at each moment.

Guards against places that are lost when a caller leaves, a turn passes and a
wait ends at the same moment, and against requests that wait beside room.
"""

import asyncio
import random
from collections import Counter

import pytest

from tests.builders.virtual_time import VirtualTimeLoop
from yuccadale_edge.routing import LineFullError, ServerLine

SEEDS = 150
CALLERS = 60
LIMIT = 3
# Moments coincide often, since all times are multiples of this.
STEP_S = 0.05
LEAVING_PERCENT = 40
# Rounds of the loop between a moment and a caller that leaves at it, so that
# it leaves before, while and after a turn is passed.
HOPS = 5


class LineWorld:
    """A line, its callers, and what became of each."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.line = ServerLine(LIMIT, asyncio.get_running_loop().time)
        self.ends: Counter[str] = Counter()
        self.problems: list[str] = []
        self._at_work = 0

    async def run(self) -> list[str]:
        """Plays all callers to their end."""
        callers = [asyncio.create_task(self._caller()) for _ in range(CALLERS)]
        watch = asyncio.create_task(self._watch())
        for caller in callers:
            if self.random.randrange(100) < LEAVING_PERCENT:
                asyncio.get_running_loop().call_later(
                    self._some_s(40),
                    _cancel_after,
                    caller,
                    self.random.randrange(HOPS),
                )
        await asyncio.gather(*callers, return_exceptions=True)
        watch.cancel()
        if self.line.running or self.line.waiting:
            self.problems.append('places are left behind')
        if sum(self.ends.values()) != CALLERS:
            self.problems.append(f'ends: {self.ends}')
        return self.problems

    async def _caller(self) -> None:
        try:
            await asyncio.sleep(self._some_s(40))
            await self._one()
        except LineFullError:
            self.ends['refused'] += 1
        except asyncio.CancelledError:
            self.ends['left'] += 1
        else:
            self.ends['served'] += 1

    async def _one(self) -> None:
        patience_s = self._some_s(20)
        async with self.line.turn(
            priority=self.random.randrange(3),
            returned=self.random.randrange(3) == 0,
            expected_s=self._some_s(6) + STEP_S,
            remaining_s=patience_s + self._some_s(20) + STEP_S,
            patience_s=patience_s,
        ):
            self._at_work += 1
            try:
                self._check()
                await asyncio.sleep(self._some_s(8))
            finally:
                self._at_work -= 1

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(STEP_S / 2)
            self._check()
            if self.line.waiting and self.line.running < LIMIT:
                self.problems.append('a request waits beside room')

    def _check(self) -> None:
        if self._at_work > LIMIT:
            self.problems.append(f'{self._at_work} at work')

    def _some_s(self, most_steps: int) -> float:
        return self.random.randrange(most_steps) * STEP_S


def _cancel_after(caller: asyncio.Task[None], hops: int) -> None:
    if hops:
        asyncio.get_running_loop().call_soon(_cancel_after, caller, hops - 1)
    else:
        caller.cancel()


async def _play(seed: int) -> tuple[list[str], Counter[str]]:
    world = LineWorld(seed)
    return await world.run(), world.ends


def _ends_of(seeds: range) -> Counter[str]:
    ends: Counter[str] = Counter()
    for seed in seeds:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            found, seen = runner.run(_play(seed))
        assert not found, f'seed {seed}: {found}'
        ends.update(seen)
    return ends


def test_no_history_loses_a_place() -> None:
    """All ends have to come up, or the histories show nothing."""
    ends = _ends_of(range(SEEDS))
    assert min(ends[one] for one in ('served', 'refused', 'left')) > SEEDS


def test_a_place_that_is_not_passed_on_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The rule that a leaving caller passes its turn on is needed."""

    def leave(line: ServerLine, waiting: object) -> None:
        if waiting in line._waiting:
            line._waiting.remove(waiting)  # type: ignore[arg-type]

    monkeypatch.setattr(ServerLine, '_leave', leave)
    with pytest.raises(AssertionError):
        _ends_of(range(SEEDS))
