"""An event loop in virtual time: it jumps to the next timer."""

import asyncio
import functools
import selectors
from collections.abc import Callable, Coroutine, Iterable
from typing import Any


_Problems = Coroutine[Any, Any, list[str]]


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the loop's time instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout=None):  # type: ignore[no-untyped-def]
        """Advances the time; raises if no timer is set."""
        if timeout is None:
            raise RuntimeError('deadlock: no task is ready and no timer set')
        self.now_s += max(timeout, 0)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks and timers in virtual time, in a deterministic order."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_s


def virtual_ms() -> float:
    """Returns the virtual time in milliseconds."""
    return asyncio.get_running_loop().time() * 1000


def in_virtual_time(
    scenario: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Turns a coroutine function into a test that runs in virtual time."""

    @functools.wraps(scenario)
    def run(*args: Any, **named: Any) -> None:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(scenario(*args, **named))

    return run


def first_problems(
    seeds: Iterable[int], scenario: Callable[[int], _Problems]
) -> list[str]:
    """Runs a scenario in virtual time until a seed finds problems.

    Returns:
        The seed and its problems; nothing if no seed finds any.
    """
    for seed in seeds:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            found = runner.run(scenario(seed))
        if found:
            return [f'seed {seed}', *found]
    return []
