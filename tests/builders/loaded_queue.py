"""The queue of one server under a load of several routes, in virtual time."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from yuccadale_edge.routing import AdmissionError, ServerQueue

SLOTS = 2
WORK_S = 0.2
# Requests a second that the server completes.
SPEED_PER_S = SLOTS / WORK_S


@dataclass(frozen=True, slots=True)
class QueuedRoute:
    """What a route declares, and how many of its requests arrive."""

    per_s: float
    target_s: float = 1.0
    timeout_s: float = 2.5
    priority: int = 1


@dataclass(slots=True)
class Outcomes:
    """What became of the requests.

    Attributes:
        arrived: number of requests by priority.
        in_time: answered before the target, by priority.
        late: answered after it, by priority.
        refusals: the errors, with the time of each.
        held_s: how long refused requests waited.
    """

    arrived: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(default_factory=Counter)
    refusals: list[tuple[float, AdmissionError]] = field(default_factory=list)
    held_s: list[float] = field(default_factory=list)


class LoadedQueue:
    """Sends requests to a queue at random times.

    Attributes:
        outcomes: what became of them.
        stretch: time that the server takes for its work, 1 is the usual time.
    """

    def __init__(self, seed: int) -> None:
        self.outcomes = Outcomes()
        self.stretch = 1.0
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self.queue = ServerQueue(SLOTS, self._loop.time)

    async def load(self, for_s: float, *routes: QueuedRoute) -> None:
        """Sends the requests of some routes and waits for their end."""
        async with asyncio.TaskGroup() as group:
            for route in routes:
                group.create_task(self._arrivals(group, route, for_s))

    async def request(self, route: QueuedRoute) -> None:
        """Sends one request and records its outcome."""
        asked_s = self._loop.time()
        self.outcomes.arrived[route.priority] += 1
        try:
            async with self.queue.admit(
                priority=route.priority,
                caller_retry=False,
                expected_service_s=WORK_S,
                remaining_s=route.timeout_s,
                until_target_s=route.target_s,
            ):
                work_s = WORK_S * self._random.uniform(0.5, 1.5)
                await asyncio.sleep(work_s * self.stretch)
        except AdmissionError as refusal:
            self.outcomes.refusals.append((self._loop.time(), refusal))
            self.outcomes.held_s.append(self._loop.time() - asked_s)
            return
        took_s = self._loop.time() - asked_s
        answered = self.outcomes.in_time
        if took_s > route.target_s:
            answered = self.outcomes.late
        answered[route.priority] += 1

    async def _arrivals(
        self, group: asyncio.TaskGroup, route: QueuedRoute, for_s: float
    ) -> None:
        end_s = self._loop.time() + for_s
        while True:
            await asyncio.sleep(self._random.expovariate(route.per_s))
            if self._loop.time() >= end_s:
                return
            group.create_task(self.request(route))
