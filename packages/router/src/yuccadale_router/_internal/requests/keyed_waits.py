"""Requests that wait for a slot, or for the leader of a group."""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from yuccadale_core.timing import seconds
from yuccadale_router._internal.clock import Clock

_Key = TypeVar('_Key', bound=Hashable)
_Wait = asyncio.Future[None]

# Nobody announces when a slot becomes ready or a link recovers; asking 50
# times a second for each key is cheap beside the up to 2 s of a failover.
_LOOK_AGAIN_MS = 20


class KeyedWaits(Generic[_Key]):
    """Keeps requests by what they wait for and wakes them together."""

    def __init__(self, clock: Clock, ready: Callable[[_Key], bool]) -> None:
        self.count = 0
        self._clock = clock
        self._ready = ready
        self._held: set[_Key] = set()
        # Inner dictionaries are sets that keep the order of arrival.
        self._waits_by_key: dict[_Key, dict[_Wait, None]] = {}
        self._ticker: asyncio.TimerHandle | None = None

    def hold(self, key: _Key) -> None:
        """Lets nothing pass until the key is released."""
        self._held.add(key)

    def release(self, key: _Key) -> None:
        """Wakes what waits for the key."""
        self._held.discard(key)
        self._wake(key)

    def held(self, key: _Key) -> bool:
        """Says whether the key is held."""
        return key in self._held

    async def wait(self, key: _Key, deadline_ms: float) -> None:
        """Returns when the key may be ready, or at the deadline."""
        left_ms = deadline_ms - self._clock()
        if left_ms <= 0:
            return
        loop = asyncio.get_running_loop()
        woken: _Wait = loop.create_future()
        self._waits_by_key.setdefault(key, {})[woken] = None
        self.count += 1
        timer = loop.call_later(seconds(left_ms), _finish, woken)
        if self._ticker is None:
            self._ticker = loop.call_later(seconds(_LOOK_AGAIN_MS), self._tick)
        try:
            await woken
        finally:
            timer.cancel()
            self._forget(key, woken)

    def _forget(self, key: _Key, woken: _Wait) -> None:
        self.count -= 1
        waits = self._waits_by_key.get(key)
        if waits is None:
            return
        waits.pop(woken, None)
        if not waits:
            self._waits_by_key.pop(key)

    def _tick(self) -> None:
        self._ticker = None
        for key in list(self._waits_by_key):
            if key not in self._held and self._ready(key):
                self._wake(key)
        if self._waits_by_key:
            self._ticker = asyncio.get_running_loop().call_later(
                seconds(_LOOK_AGAIN_MS), self._tick
            )

    def _wake(self, key: _Key) -> None:
        for woken in self._waits_by_key.pop(key, ()):
            _finish(woken)


def _finish(woken: _Wait) -> None:
    if not woken.done():
        woken.set_result(None)
