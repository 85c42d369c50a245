"""Shares the turns of the event loop between the connections that parse.

A parser calls back for each header field and each piece of a body. How long it
takes depends on how its input is divided, more than on its size: bytes in
chunks of one byte take a hundred times as long as in one piece. So calls are
counted, for all connections together, and what exceeds the bound of a turn
waits for later turns. Connections that have parsed the least of their messages
go first.
"""

import asyncio
import heapq
from collections.abc import Callable
from itertools import count

# Calls of parsers in one turn of the event loop, which takes a few ms then.
MAX_CALLS_PER_TURN = 2048
# Parsing so many bytes takes as long as a call.
_BYTES_PER_CALL = 1024
# Bytes that a connection reads at once, before they are parsed.
_READ_BYTES = 64 * 1024

_Waiting = tuple[int, int, Callable[[], None]]


class ParseScheduler:
    """Bounds what all connections parse in one turn of the event loop.

    Attributes:
        deferrals: how often a connection waited for a later turn.
        buffer: where the bytes of any connection may be read; they are parsed,
            or copied, before the next connection is read.
    """

    def __init__(self, max_calls: int = MAX_CALLS_PER_TURN) -> None:
        """Creates a scheduler.

        Args:
            max_calls: calls of parsers in one turn. The last part that is
                parsed may exceed it.
        """
        self.deferrals = 0
        self.buffer = memoryview(bytearray(_READ_BYTES))
        self._max_calls = max_calls
        self._calls = 0
        self._awaits_turn = False
        self._order = count()
        self._waiting: list[_Waiting] = []

    def may_parse(self) -> bool:
        """Whether a connection may parse more in this turn."""
        return self._calls < self._max_calls

    def count(self, calls: int, size: int) -> None:
        """Counts what was parsed.

        Args:
            calls: how often the parser called back.
            size: the bytes that it was given.
        """
        self._calls += calls + size // _BYTES_PER_CALL + 1
        self._await_turn()

    def wait(self, parsed_calls: int, resume: Callable[[], None]) -> None:
        """Calls back in a later turn.

        Args:
            parsed_calls: what the connection has parsed of its message.
            resume: must go on as far as ``may_parse`` permits.
        """
        self.deferrals += 1
        heapq.heappush(self._waiting, (parsed_calls, next(self._order), resume))
        self._await_turn()

    def _await_turn(self) -> None:
        if not self._awaits_turn:
            self._awaits_turn = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._awaits_turn = False
        self._calls = 0
        while self._waiting and self.may_parse():
            _, _, resume = heapq.heappop(self._waiting)
            resume()
        if self._waiting:
            self._await_turn()
