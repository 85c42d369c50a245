"""The line in front of one server: who is sent now, who waits, who is refused.

Answers the pattern of a server that gets more than it can do: work that would
end after its time is refused at once with the time at which there is room.
Of what waits, the request goes first that has to start first to meet its
target; more urgent ones, and those that came back after a refusal, count as
due sooner. Those that can no longer meet their target go last: after all
callers came back at once, a line in the order of arrival serves only these.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from math import inf

from yuccadale_core.codes import ResultCode

# Weight of a new service time in the moving average.
_NEW_SHARE = 0.1
# Assumed until a first answer was seen; a tenth of a second is a usual page.
_FIRST_GUESS_S = 0.08
# A request counts as due so much later for each rank of its priority: about
# as long as usual work, so that it decides where targets are alike.
_PRIORITY_STEP_S = 0.1
# And so much sooner if its caller was refused before: half a rank.
_RETURNED_STEP_S = 0.05
# Part of a running request that is still to come, on average.
_REMAINING_SHARE = 0.5


class LineFullError(Exception):
    """The request would be answered too late."""

    def __init__(self, code: ResultCode, room_in_s: float) -> None:
        super().__init__(f'room in {room_in_s:.3f} s')
        self.code = code
        self.room_in_s = room_in_s


class ServiceTimes:
    """Mean time that a server works on a request, by route."""

    def __init__(self) -> None:
        self._mean_s_by_route: dict[str, float] = {}

    def mean_s(self, route: str) -> float:
        """Returns the expected time in seconds."""
        return self._mean_s_by_route.get(route, _FIRST_GUESS_S)

    def note(self, route: str, took_s: float) -> None:
        """Adds a measured time."""
        known = self._mean_s_by_route.get(route)
        if known is None:
            self._mean_s_by_route[route] = took_s
        else:
            self._mean_s_by_route[route] = known + (took_s - known) * _NEW_SHARE


@dataclass(eq=False, slots=True)
class _Waiting:
    """A request that waits.

    Attributes:
        rank: when it counts as due, and its number.
        start_by_s: when it has to start to meet its target.
        latest_start_s: when nobody would wait for its answer any more.
    """

    rank: tuple[float, int]
    start_by_s: float
    expected_s: float
    latest_start_s: float
    turn: asyncio.Future[None]


class ServerLine:
    """Admits, orders and counts the requests for one server."""

    def __init__(self, limit: int, now: Callable[[], float]) -> None:
        self.limit = max(1, limit)
        self.running = 0
        self.slowness = 1.0
        self.closed = False
        self._now = now
        self._waiting: list[_Waiting] = []
        self._running_s: dict[int, float] = {}
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def rank(
        self,
        *,
        priority: int,
        returned: bool,
        expected_s: float,
        patience_s: float,
    ) -> float:
        """Returns when a request counts as due; see ``turn``."""
        step_s = priority * _PRIORITY_STEP_S - returned * _RETURNED_STEP_S
        start_in_s = patience_s - expected_s * self.slowness
        return self._now() + start_in_s + step_s

    def room_in_s(self, rank: float = inf) -> float:
        """Returns the expected time until a request of a rank is sent."""
        if self.running < self.limit and not self._waiting:
            return 0
        now_s = self._now()
        ahead = sum(
            one.expected_s
            for one in self._waiting
            if one.rank[0] <= rank and one.start_by_s >= now_s
        )
        ahead += sum(self._running_s.values()) * _REMAINING_SHARE
        return ahead / self.limit

    @asynccontextmanager
    async def turn(
        self,
        *,
        priority: int,
        returned: bool,
        expected_s: float,
        remaining_s: float,
        patience_s: float,
    ) -> AsyncIterator[None]:
        """Waits for a turn at the server and holds it for the block.

        Args:
            priority: 0 is the most urgent.
            returned: whether the caller came back after a refusal.
            expected_s: the expected work.
            remaining_s: time until nobody waits for the answer.
            patience_s: the longest wait after which serving still pays.

        Raises:
            LineFullError: the answer would come too late.
        """
        rank = self.rank(
            priority=priority,
            returned=returned,
            expected_s=expected_s,
            patience_s=patience_s,
        )
        expected_s *= self.slowness
        room_in_s = self.room_in_s(rank)
        if room_in_s + expected_s > remaining_s:
            raise LineFullError(ResultCode.deadline_too_short, room_in_s)
        if room_in_s > patience_s:
            raise LineFullError(ResultCode.queue_full, room_in_s)
        self._sequence += 1
        number = self._sequence
        if self.running >= self.limit or self._waiting:
            latest = self._now() + remaining_s - expected_s
            start_by_s = self._now() + patience_s - expected_s
            await self._wait((rank, number), start_by_s, expected_s, latest)
        else:
            self.running += 1
        self._running_s[number] = expected_s
        try:
            yield
        finally:
            self._end(number)

    def close(self) -> None:
        """Refuses all that wait; the server can no longer be sent to."""
        self.closed = True
        for waiting in self._waiting:
            if not waiting.turn.done():
                waiting.turn.set_exception(
                    LineFullError(ResultCode.slot_moving, 0)
                )
        self._waiting.clear()

    def _end(self, number: int) -> None:
        self.running -= 1
        self._running_s.pop(number)
        self._next()

    async def _wait(
        self,
        rank: tuple[float, int],
        start_by_s: float,
        expected_s: float,
        latest_s: float,
    ) -> None:
        turn = asyncio.get_running_loop().create_future()
        waiting = _Waiting(rank, start_by_s, expected_s, latest_s, turn)
        self._waiting.append(waiting)
        try:
            async with asyncio.timeout(max(0, latest_s - self._now())):
                await turn
        except TimeoutError as error:
            self._leave(waiting)
            raise LineFullError(
                ResultCode.deadline_too_short, self.room_in_s()
            ) from error
        except asyncio.CancelledError:
            self._leave(waiting)
            raise

    def _leave(self, waiting: _Waiting) -> None:
        turn = waiting.turn
        if turn.done() and not turn.cancelled() and turn.exception() is None:
            # The turn came at the same moment: pass it on.
            self.running -= 1
            self._next()
            return
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def _next(self) -> None:
        while self._waiting and self.running < self.limit:
            waiting = self._first()
            self._waiting.remove(waiting)
            if waiting.turn.done():
                continue
            self.running += 1
            waiting.turn.set_result(None)

    def _first(self) -> _Waiting:
        now_s = self._now()

        def turn_order(one: _Waiting) -> tuple[bool, tuple[float, int]]:
            return one.start_by_s < now_s, one.rank

        return min(self._waiting, key=turn_order)
