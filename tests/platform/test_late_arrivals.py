"""When calls about keys arrive at a server whose path was silent for a while.

The leader's table relies on it that a call arrives within a known time or
never, whatever becomes of its sender.
"""

import asyncio
import itertools
import signal
from asyncio.subprocess import Process
from types import MappingProxyType

from tests.builders.call_sender import LEASE_S, call_sender, request_call
from tests.builders.silent_path import (
    Arrival,
    SilentPathServer,
    silent_path_server,
)
from yuccadale_edge.ownership import LATEST_ARRIVAL_S

# A grant on a new connection, a renewal on the one of the first grant, and a
# release.
_KIND_BY_CALL = MappingProxyType(
    {'grant': 'grant', 'renewal': 'grant', 'release': 'release'}
)
_SENDERS = ('alive', 'killed', 'stopped', 'restarted')
_FIRST_FENCE = 7
_FENCE = 8
_NEXT_FENCE = 9
_SENT_S = 0.2
# Shorter and longer than a lease. A kernel retransmits after about 0.2, 0.6,
# 1.4 and 3 s.
_SILENCES_S = (1.1, 2.5, LEASE_S + 1)
_AFTER_S = 1.5


async def _end_sender(process: Process, fate: str) -> None:
    if fate == 'stopped':
        process.send_signal(signal.SIGSTOP)
    elif fate in {'killed', 'restarted'}:
        process.kill()
        await process.wait()


async def _late_arrivals(call: str, fate: str, silent_s: float) -> list[str]:
    """Returns the arrivals of a call later than the table assumes."""
    async with silent_path_server() as server:
        sent_s = await _play(server, call, fate, silent_s)
        return [
            f'{call}, sender {fate}, {silent_s} s of silence: {arrival.path} '
            f'after {arrival.at_s - sent_s:.1f} s'
            for arrival in server.arrivals
            if _is_late(arrival, sent_s)
        ]


async def _play(
    server: SilentPathServer, call: str, fate: str, silent_s: float
) -> float:
    """Plays one silence; returns when the call was sent."""
    async with call_sender(server.address, _FIRST_FENCE) as process:
        if call == 'grant':
            server.close_connections()
            await asyncio.sleep(_SENT_S)
        server.silence()
        sent_s = await request_call(process, _KIND_BY_CALL[call], _FENCE)
        await asyncio.sleep(_SENT_S)
        await _end_sender(process, fate)
        await asyncio.sleep(silent_s)
        server.heal()
        # Retransmissions are at most as far apart as the silence was long.
        after_s = silent_s + _AFTER_S
        if fate == 'restarted':
            async with call_sender(server.address, _NEXT_FENCE):
                await asyncio.sleep(after_s)
        else:
            await asyncio.sleep(after_s)
    return sent_s


def _is_late(arrival: Arrival, sent_s: float) -> bool:
    return arrival.fence == _FENCE and arrival.at_s - sent_s > LATEST_ARRIVAL_S


async def _all_late_arrivals() -> list[str]:
    cases = itertools.product(_KIND_BY_CALL, _SENDERS, _SILENCES_S)
    late = await asyncio.gather(*(_late_arrivals(*case) for case in cases))
    return [text for texts in late for text in texts]


def test_no_call_arrives_after_its_path_was_silent() -> None:
    """Guards against keys with two holders once a path to a server heals.

    The kernel went on sending for connections that were closed, and for
    processes that were killed or stopped.
    """
    # The senders are processes, so the loop here makes no difference.
    assert not asyncio.run(_all_late_arrivals())
