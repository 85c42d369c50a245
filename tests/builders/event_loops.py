"""Event loops on which tests of code that depends on buffering run.

Production runs on uvloop. It buffers writes until the end of a loop iteration,
which the loop of asyncio does not, so such tests run on both.
"""

import asyncio
from collections.abc import Callable, Mapping

import uvloop

LoopFactory = Callable[[], asyncio.AbstractEventLoop]


def both_loop_factories() -> Mapping[str, LoopFactory]:
    """Returns a factory for each loop, by the name in the test's id."""
    return {
        'asyncio': asyncio.SelectorEventLoop,
        'uvloop': uvloop.new_event_loop,
    }
