"""Event loops on simulated time, one for each simulated process.

The product's coroutines run on them unchanged. While a process is paused, its
loop does not run and its clock continues.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Any

_EPSILON_MS = 1e-6
_UNWINDING_STEPS = 100
_STEP_LIMIT = 50_000


class _NoSelector:
    def select(self, timeout: float | None) -> list[Any]:
        """Returns at once: there are no sockets."""
        return []

    def close(self) -> None:
        """Does nothing: there are no sockets."""


class _SteppedLoop(asyncio.BaseEventLoop):
    def __init__(self, read_time_s: Callable[[], float]) -> None:
        super().__init__()
        self._selector = _NoSelector()
        self._clock_resolution = 1e-8
        self._read_time_s = read_time_s

    def time(self) -> float:
        return self._read_time_s()

    def next_due_s(self) -> float | None:
        """Returns the process's time of the next callback, None without any."""
        while self._scheduled and self._scheduled[0]._cancelled:
            heapq.heappop(self._scheduled)._scheduled = False
            self._timer_cancelled_count = max(
                0, self._timer_cancelled_count - 1
            )
        if self._ready:
            return self.time()
        return self._scheduled[0]._when if self._scheduled else None

    def step(self) -> None:
        """Runs the callbacks that are due, once."""
        previous = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            self._run_once()
        finally:
            asyncio._set_running_loop(previous)

    def _process_events(self, event_list: list[Any]) -> None:
        """Does nothing: there are no sockets."""


class SimulatedProcess:
    """A process with its own clock rate, loop and pauses."""

    def __init__(self, world: 'World', name: str, rate: float) -> None:
        self.name = name
        self.world = world
        self.rate = rate
        self.offset_ms = 1000.0 * (hash_number(name) % 1000)
        self.paused_until = 0
        self.alive = True
        self.is_stepping = False
        self.pause_inside_ms = 0
        self.pause_next_reading_ms = 0
        self.loop = _SteppedLoop(lambda: self.local_ms() / 1000)
        self.failures: list[Any] = []
        self.loop.set_exception_handler(
            lambda _loop, details: self.failures.append(details)
        )

    def local_ms(self) -> float:
        """Reads the clock, including pauses inside the current step."""
        passed_ms = self.world.now_ms + self.pause_inside_ms
        return self.offset_ms + passed_ms * self.rate

    def clock(self) -> float:
        """Reads the clock for the product.

        A requested pause begins right after this reading, so that the product
        acts on a time that has passed.
        """
        reading = self.local_ms()
        if self.pause_next_reading_ms and self.is_stepping:
            self.pause_inside_ms += self.pause_next_reading_ms
            self.pause_next_reading_ms = 0
        return reading

    def next_due_ms(self) -> float | None:
        """Returns the world time of the next step, None without any."""
        if not self.alive:
            return None
        due_s = self.loop.next_due_s()
        if due_s is None:
            return None
        due_ms = (due_s * 1000 - self.offset_ms) / self.rate + _EPSILON_MS
        return max(due_ms, self.paused_until, self.world.now_ms)

    def step(self) -> None:
        """Runs due callbacks, then applies a pause that began among them."""
        self.is_stepping = True
        self.loop.step()
        self.is_stepping = False
        if self.pause_inside_ms:
            self.paused_until = self.world.now_ms + self.pause_inside_ms
            self.pause_inside_ms = 0

    def kill(self) -> None:
        """Ends the process; its loop does not run again."""
        self.alive = False

    def dispose(self) -> None:
        """Cancels all tasks, so that none is pending at garbage collection."""
        self.kill()
        for _ in range(_UNWINDING_STEPS):
            pending = asyncio.all_tasks(self.loop)
            if not pending:
                break
            for task in pending:
                task.cancel()
            self.loop.step()
        self.loop.close()


_Event = tuple[float, int, Callable[[], None]]


class World:
    """Simulated time with all processes and deliveries in one event order."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.processes: list[SimulatedProcess] = []
        self.ended_processes: list[SimulatedProcess] = []
        self._events: list[_Event] = []
        self._order = itertools.count()
        self.step_count = 0

    def at(self, moment_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action at a world time."""
        heapq.heappush(
            self._events,
            (max(moment_ms, self.now_ms), next(self._order), action),
        )

    def run_until(self, moment_ms: float) -> None:
        """Runs all events up to a world time."""
        due_ms, process = self._next()
        steps_at_start = self.step_count
        while due_ms is not None and due_ms <= moment_ms:
            self.now_ms = max(self.now_ms, due_ms)
            self.step_count += 1
            if self.step_count - steps_at_start > _STEP_LIMIT:
                raise AssertionError(f'no progress at {self.now_ms} ms')
            if process is None:
                heapq.heappop(self._events)[2]()
            else:
                process.step()
            due_ms, process = self._next()
        self.now_ms = max(self.now_ms, moment_ms)

    def close(self) -> None:
        """Ends all processes without running them further."""
        for process in (*self.processes, *self.ended_processes):
            process.dispose()
        self._events.clear()

    def _next(self) -> tuple[float | None, SimulatedProcess | None]:
        due_ms = self._events[0][0] if self._events else None
        chosen = None
        for process in self.processes:
            process_due_ms = process.next_due_ms()
            if process_due_ms is None:
                continue
            if due_ms is None or process_due_ms < due_ms:
                due_ms = process_due_ms
                chosen = process
        return due_ms, chosen


def hash_number(text: str) -> int:
    """Returns a number that is the same in every run."""
    return sum(ord(letter) * (index + 7) for index, letter in enumerate(text))
