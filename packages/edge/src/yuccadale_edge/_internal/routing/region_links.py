"""Limits the large bodies that are on their way to another region.

All traffic between two regions shares one link whose capacity is not known
here. Each instance limits its own large bodies by the delay that they see, so
that small requests, updates and connections still pass.
"""

import asyncio
import random
from bisect import insort
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from math import inf

import structlog

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Place
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.pacing import ReturnTimes
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
    Served,
)

_log = structlog.get_logger()

# Smaller bodies are never held back: 16 KiB take 4 ms of 30 Mbit/s.
MAX_CROSSING_BYTES = 16 * 1024

_MS_PER_S = 1000.0
# With 3, small requests took up to 0.54 s at the start of a burst of 98 uploads
# of 60 kB a second from 31 instances over 30 Mbit/s, with 2 up to 0.39 s.
_START_BODIES = 2.0
_MAX_BODIES = 16.0
# Part of the window that stays after a long delay.
_DECREASE = 0.5
# A delay is long if it exceeds the least recent one by this time and the time
# of the body at this rate. Connections time out after 0.4 s; a request and its
# response wait for the link both ways.
_QUEUEING_S = 0.08
_SLOW_BYTES_PER_S = 10e6 / 8
# The least delay is taken over one to two of these periods, and counts up to
# this much: a link that is full from the start shows only long delays.
_LEAST_PERIOD_S = 10.0
_MAX_LEAST_S = 0.15
# With one body of each of 31 instances of a region, 60 kB each, a link of
# 30 Mbit/s has a delay of 0.5 s. Below that, bodies are spaced by a pause.
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0
# Part of the pause that stays after a short delay. With a half, 56 of 91
# uploads passed in the first 3 s after a lost link, at half of its capacity.
_PAUSE_DECREASE = 0.25
_START_HELD_S = 0.4
_HELD_WEIGHT = 0.2
_MAX_WAIT_S = 0.5
_MIN_RETURN_S = 0.2
# Part of the remaining time over which refused callers return.
_RETURN_SHARE = 0.5
# Longest time for which a refusal by an owner speaks for the next bodies.
_MAX_OWNER_S = 1.0
# Returns a second to an owner after its refusal: servers complete 10 to 20.
_OWNER_RETURNS_PER_S = 10.0
_OWNER_CODES = frozenset(
    (
        ResultCode.queue_full,
        ResultCode.deadline_too_short,
    )
)


def needs_room(place: Place, request: RoutedRequest, data_centre: str) -> bool:
    """Whether a request has a large body that leaves the region."""
    if len(request.body) <= MAX_CROSSING_BYTES:
        return False
    return place.region_by_data_centre.get(data_centre) != place.region


@dataclass(frozen=True, slots=True)
class _Body:
    """A large body on its way.

    Attributes:
        filled: whether it took the last room of the window.
    """

    size: int
    begun_s: float
    filled: bool


class LeastDelay:
    """The least delay of the last one to two periods."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._period_s = now()
        self._previous_s = inf
        self._least_s = inf

    @property
    def value_s(self) -> float:
        """The least delay, ``inf`` without one."""
        return min(self._previous_s, self._least_s)

    def observe(self, delay_s: float) -> None:
        """Adds a delay that was measured now."""
        now_s = self._now()
        if now_s - self._period_s > _LEAST_PERIOD_S:
            self._previous_s = self._least_s
            self._least_s = inf
            self._period_s = now_s
        self._least_s = min(self._least_s, delay_s)


class RegionWindow:
    """How many large bodies may be on their way to one region.

    A body counts until its result, since nothing says earlier that it arrived.
    """

    def __init__(
        self, now: Callable[[], float], chance: Callable[[], float]
    ) -> None:
        """Starts with a few bodies.

        Args:
            now: returns the time in seconds.
            chance: returns a number from 0 to 1, which spreads the pauses of
                different instances.
        """
        self.bodies = _START_BODIES
        self.pause_s: float = 0
        self._now = now
        self._chance = chance
        self._least = LeastDelay(now)
        self._body_by_id: dict[int, _Body] = {}
        self._last_id = 0
        self._reduced_s = -inf
        self._paused_until_s = -inf
        self._held_s = _START_HELD_S

    @property
    def on_way(self) -> int:
        """Number of bodies that have begun and not ended."""
        return len(self._body_by_id)

    @property
    def held_s(self) -> float:
        """Expected time from the begin of a body to its end."""
        return self._held_s

    @property
    def per_s(self) -> float:
        """Bodies a second that find room."""
        return int(self.bodies) / (self._held_s + self.pause_s)

    def room_in_s(self) -> float:
        """Returns when there is room, ``inf`` if only after an end."""
        if self.on_way >= int(self.bodies):
            return inf
        return max(0, self._paused_until_s - self._now())

    def begin(self, size: int) -> int:
        """Takes room for a body; returns the id with which it ends."""
        self._last_id += 1
        filled = self.on_way + 1 >= int(self.bodies)
        self._body_by_id[self._last_id] = _Body(size, self._now(), filled)
        return self._last_id

    def end(self, body_id: int, delay_s: float | None = None) -> None:
        """Gives back the room of a body; a second call has no effect.

        Args:
            body_id: returned by ``begin``.
            delay_s: of its transfer; ``inf`` if the link or the response was
                lost, None if unknown.
        """
        body = self._body_by_id.pop(body_id, None)
        if body is None or delay_s is None:
            return
        now_s = self._now()
        if delay_s < inf:
            held_s = now_s - body.begun_s
            self._held_s += (held_s - self._held_s) * _HELD_WEIGHT
        if not self.observe(body.begun_s, body.size, delay_s):
            self._raise(body)
        if self.pause_s:
            pause_s = self.pause_s * (0.5 + self._chance())
            self._paused_until_s = now_s + pause_s

    def observe(self, begun_s: float, size: int, delay_s: float) -> bool:
        """Takes a delay to the region, also of a small request.

        Returns:
            Whether it was long.
        """
        least_s = min(self._least.value_s, _MAX_LEAST_S)
        is_long = delay_s > least_s + _QUEUEING_S + size / _SLOW_BYTES_PER_S
        if is_long:
            self._reduce(begun_s)
        if delay_s < inf:
            self._least.observe(delay_s)
        return is_long

    def _reduce(self, begun_s: float) -> None:
        """Reduces the window once for all requests that were on their way."""
        if begun_s < self._reduced_s:
            return
        self._reduced_s = self._now()
        if int(self.bodies) == 1:
            pause_s = max(self.pause_s * 2, _MIN_PAUSE_S)
            self.pause_s = min(pause_s, _MAX_PAUSE_S)
        self.bodies = max(1.0, self.bodies * _DECREASE)

    def _raise(self, body: _Body) -> None:
        """Raises a window that was in full use by one body for each round."""
        if self.pause_s:
            shorter_s = self.pause_s * _PAUSE_DECREASE
            self.pause_s = shorter_s if shorter_s >= _MIN_PAUSE_S else 0
        elif body.filled:
            self.bodies = min(_MAX_BODIES, self.bodies + 1 / self.bodies)


@dataclass(frozen=True, slots=True)
class _OwnerRefusal:
    code: int
    until_s: float


class OwnerRefusals:
    """Owners whose queue has just refused a large body."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._refusal_by_owner: dict[tuple[Holder, int], _OwnerRefusal] = {}
        self._returns_by_holder: dict[Holder, ReturnTimes] = {}

    def observe(self, holder: Holder, priority: int, result: Result) -> None:
        """Notes a refusal; it speaks for the same and less urgent requests."""
        if isinstance(result, Served) or result.code not in _OWNER_CODES:
            return
        now_s = self._now()
        self._forget(now_s)
        for_s = min(result.retry_after_s or 0, _MAX_OWNER_S)
        self._refusal_by_owner[holder, priority] = _OwnerRefusal(
            result.code, now_s + for_s
        )

    def refusal(self, holder: Holder, priority: int) -> Refused | None:
        """Returns the refusal of a body that its owner would refuse."""
        now_s = self._now()
        for (known, urgency), refusal in self._refusal_by_owner.items():
            if known != holder or urgency > priority:
                continue
            left_s = refusal.until_s - now_s
            if left_s > 0:
                returns = self._returns_by_holder.setdefault(
                    holder, ReturnTimes(self._now)
                )
                return Refused(
                    refusal.code,
                    'the queue of the owner has just refused another one',
                    returns.book_s(_OWNER_RETURNS_PER_S, left_s, _MAX_OWNER_S),
                    holder.server_id,
                )
        return None

    def _forget(self, now_s: float) -> None:
        refusals = self._refusal_by_owner
        for owner in list(refusals):
            if refusals[owner].until_s <= now_s:
                refusals.pop(owner)
        holders = {holder for holder, _ in refusals}
        for holder in self._returns_by_holder.keys() - holders:
            self._returns_by_holder.pop(holder)


@dataclass(order=True, slots=True)
class _Waiting:
    priority: int
    number: int
    size: int = field(compare=False)
    begun: asyncio.Future[int] = field(compare=False)


class _Link:
    """The window of one region and the bodies that wait for room in it."""

    def __init__(
        self, now: Callable[[], float], chance: Callable[[], float]
    ) -> None:
        self.window = RegionWindow(now, chance)
        self.returns = ReturnTimes(now)
        self._waiting: list[_Waiting] = []
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None

    async def begin(
        self, size: int, priority: int, until_target_s: float
    ) -> int | None:
        """Returns the id of a body that has begun, None if it is refused."""
        ahead = sum(one.priority <= priority for one in self._waiting)
        if not ahead and not self.window.room_in_s():
            return self.window.begin(size)
        held_s = self.window.held_s
        limit_s = min(_MAX_WAIT_S, until_target_s - held_s)
        if limit_s <= 0 or (ahead + 1) / self.window.per_s > limit_s:
            return None
        self._last_number += 1
        waiting = _Waiting(
            priority,
            self._last_number,
            size,
            asyncio.get_running_loop().create_future(),
        )
        insort(self._waiting, waiting)
        self.admit()
        return await self._wait(waiting, limit_s)

    def end(self, body_id: int, delay_s: float | None) -> None:
        """Gives back room, and admits those that wait for it."""
        self.window.end(body_id, delay_s)
        self.admit()

    def admit(self) -> None:
        """Begins waiting bodies, the most urgent first, while there is room."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._waiting:
            room_in_s = self.window.room_in_s()
            if room_in_s == inf:
                return
            if room_in_s > 0:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(room_in_s, self.admit)
                return
            waiting = self._waiting.pop(0)
            if waiting.begun.cancelled():
                # Its task has not run yet since it was cancelled.
                continue
            waiting.begun.set_result(self.window.begin(waiting.size))

    async def _wait(self, waiting: _Waiting, limit_s: float) -> int | None:
        try:
            async with asyncio.timeout(limit_s):
                return await waiting.begun
        except TimeoutError:
            self._leave(waiting)
            return None
        except asyncio.CancelledError:
            self._leave(waiting)
            raise

    def _leave(self, waiting: _Waiting) -> None:
        """Gives back room that was given in the moment of the cancellation."""
        if waiting.begun.done() and not waiting.begun.cancelled():
            self.end(waiting.begun.result(), None)
        elif waiting in self._waiting:
            self._waiting.remove(waiting)


class Crossing:
    """One large body on its way, or its refusal."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.refused: Refused | None = None
        self.delay_s: float | None = None
        self._now = now
        self._begun_s = now()

    def observe_forwarded(self, result: Result) -> None:
        """Takes the delay from the response of another instance."""
        self.delay_s = _delay_s(self._now() - self._begun_s, result)

    def observe_sent(self, result: Result) -> None:
        """Learns from a server in the region only that a body was lost.

        The time of its work contains the transfer.
        """
        if isinstance(result, Refused) and result.code in {
            ResultCode.answer_lost,
            ResultCode.server_unreachable,
        }:
            self.lose()

    def lose(self) -> None:
        """Notes that the link or the response was lost."""
        self.delay_s = inf


class RegionLinks:
    """Limits the large bodies of this instance to each other region."""

    def __init__(
        self,
        place: Place,
        metrics: Metrics,
        now: Callable[[], float],
        chance: Callable[[], float] = random.random,
    ) -> None:
        """Creates the limits of one instance.

        Args:
            place: where this instance runs.
            metrics: shows the windows, delays and refusals.
            now: returns the time in seconds.
            chance: see ``RegionWindow``.
        """
        self._place = place
        self._metrics = metrics
        self._now = now
        self._chance = chance
        self._owners = OwnerRefusals(now)
        self._link_by_region: dict[str, _Link] = {}

    @asynccontextmanager
    async def crossing(
        self, request: RoutedRequest, data_centre: str
    ) -> AsyncIterator[Crossing]:
        """Holds room for a large body, which may be refused.

        The times of the request are reduced by the wait.
        """
        region = self._place.region_by_data_centre.get(data_centre, '')
        link = self._link_by_region.setdefault(
            region, _Link(self._now, self._chance)
        )
        arrived_s = self._now()
        body_id = await link.begin(
            len(request.body),
            request.priority,
            request.until_target_ms / _MS_PER_S,
        )
        waited_ms = (self._now() - arrived_s) * _MS_PER_S
        request.remaining_ms -= waited_ms
        request.until_target_ms -= waited_ms
        crossing = Crossing(self._now)
        if body_id is None:
            crossing.refused = self._refuse(link, region, request)
            yield crossing
            return
        self._metrics.observe_ms('region_wait', waited_ms, region=region)
        bodies = int(link.window.bodies)
        try:
            yield crossing
        finally:
            link.end(body_id, crossing.delay_s)
            self._report(region, link.window, bodies, crossing.delay_s)

    def observe_small(
        self, data_centre: str, took_s: float, result: Result
    ) -> None:
        """Takes the delay of a small request from its result.

        They are more frequent than large bodies and show sooner that the link
        is full. They matter only where large bodies have been sent.
        """
        region = self._place.region_by_data_centre.get(data_centre, '')
        link = self._link_by_region.get(region)
        delay_s = _delay_s(took_s, result)
        if link is not None and delay_s is not None:
            link.window.observe(self._now() - took_s, 0, delay_s)

    def owner_refusal(self, request: RoutedRequest) -> Refused | None:
        """Returns the refusal of a body that its owner would refuse."""
        if request.server_id is None:
            return None
        holder = Holder(request.server_id, request.incarnation)
        refused = self._owners.refusal(holder, request.priority)
        if refused is not None:
            self._metrics.count(
                'region_bodies_refused', code=ResultCode(refused.code).name
            )
        return refused

    def observe_owner(self, request: RoutedRequest, result: Result) -> None:
        """Notes whether the queue of an owner refused a large body."""
        if request.server_id is not None:
            holder = Holder(request.server_id, request.incarnation)
            self._owners.observe(holder, request.priority, result)

    def _refuse(
        self, link: _Link, region: str, request: RoutedRequest
    ) -> Refused:
        code = ResultCode.region_budget_spent
        self._metrics.count('region_bodies_refused', code=code.name)
        return_s = link.returns.book_s(
            link.window.per_s,
            horizon_s=request.remaining_ms / _MS_PER_S * _RETURN_SHARE,
        )
        return Refused(
            code,
            f'{link.window.on_way} large bodies are on their way to {region}',
            max(return_s, _MIN_RETURN_S),
        )

    def _report(
        self,
        region: str,
        window: RegionWindow,
        bodies: int,
        delay_s: float | None,
    ) -> None:
        if delay_s is None:
            return
        if delay_s < inf:
            delay_ms = delay_s * _MS_PER_S
            self._metrics.observe_ms('region_transfer', delay_ms, region=region)
        self._metrics.gauge('region_window', window.bodies, region=region)
        if int(window.bodies) < bodies:
            _log.info(
                'large bodies to a region reduced',
                region=region,
                bodies=int(window.bodies),
                delay_ms=None if delay_s == inf else round(delay_s * _MS_PER_S),
            )


def _delay_s(took_s: float, result: Result) -> float | None:
    """Returns the delay of a forwarded request, None if it is not known.

    The time of earlier attempts there, or of an unknown wait, is not known: the
    delay is then at most the whole time.
    """
    if _arrived_too_late(result):
        return inf
    known_ms: float | None = result.waited_ms
    if isinstance(result, Served):
        known_ms = result.waited_ms + result.service_ms
        if result.attempts > 1:
            known_ms = None
    if known_ms is not None:
        return max(0, took_s - known_ms / _MS_PER_S)
    return took_s if took_s < _QUEUEING_S else None


def _arrived_too_late(result: Result) -> bool:
    """Whether the deadline passed on the way, before any queue."""
    return (
        isinstance(result, Refused)
        and result.code == ResultCode.deadline_passed
        and result.waited_ms is None
    )
