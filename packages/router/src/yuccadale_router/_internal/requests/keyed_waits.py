"""Lets requests wait for a slot or for the leader of a group."""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from yuccadale_core.timing import seconds
from yuccadale_router._internal.clock import Clock

_Key = TypeVar('_Key', bound=Hashable)
_Waiter = asyncio.Future[None]

# No event reports that a slot is ready or a link has recovered, so each key is
# polled. 50 polls a second cost little, and their interval is short compared to
# a takeover of up to 2 s.
_POLL_INTERVAL_MS = 20


class KeyedWaits(Generic[_Key]):
    """Waiters by key; all waiters of a key are woken together."""

    def __init__(self, clock: Clock, ready: Callable[[_Key], bool]) -> None:
        self.count = 0
        self._clock = clock
        self._ready = ready
        self._held: set[_Key] = set()
        # Inner dictionaries are sets that keep the order of arrival.
        self._waiters_by_key: dict[_Key, dict[_Waiter, None]] = {}
        self._poll_timer: asyncio.TimerHandle | None = None

    def hold(self, key: _Key) -> None:
        """Blocks the key's waiters until the key is released."""
        self._held.add(key)

    def release(self, key: _Key) -> None:
        """Unblocks the key and wakes its waiters."""
        self._held.discard(key)
        self._wake(key)

    def held(self, key: _Key) -> bool:
        """Returns whether the key is held."""
        return key in self._held

    async def wait(self, key: _Key, deadline_ms: float) -> None:
        """Returns when the key may be ready, or at the deadline."""
        left_ms = deadline_ms - self._clock()
        if left_ms <= 0:
            return
        loop = asyncio.get_running_loop()
        waiter: _Waiter = loop.create_future()
        self._waiters_by_key.setdefault(key, {})[waiter] = None
        self.count += 1
        timer = loop.call_later(seconds(left_ms), _resolve, waiter)
        if self._poll_timer is None:
            self._poll_timer = loop.call_later(
                seconds(_POLL_INTERVAL_MS), self._poll
            )
        try:
            await waiter
        finally:
            timer.cancel()
            self._remove_waiter(key, waiter)

    def _remove_waiter(self, key: _Key, waiter: _Waiter) -> None:
        self.count -= 1
        waiters = self._waiters_by_key.get(key)
        if waiters is None:
            return
        waiters.pop(waiter, None)
        if not waiters:
            self._waiters_by_key.pop(key)

    def _poll(self) -> None:
        self._poll_timer = None
        for key in list(self._waiters_by_key):
            if key not in self._held and self._ready(key):
                self._wake(key)
        if self._waiters_by_key:
            self._poll_timer = asyncio.get_running_loop().call_later(
                seconds(_POLL_INTERVAL_MS), self._poll
            )

    def _wake(self, key: _Key) -> None:
        for waiter in self._waiters_by_key.pop(key, ()):
            _resolve(waiter)


def _resolve(waiter: _Waiter) -> None:
    if not waiter.done():
        waiter.set_result(None)
