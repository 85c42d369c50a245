"""When requests on links between instances are worked on after delays.

The sender of a forwarded request waits for its deadline, and then answers that
the outcome is unknown. What arrives later must not be sent to a server, with a
deadline that counts from its late arrival.
"""

import asyncio
import itertools
import signal
import time
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from socket import socket

import pytest

from tests.builders.link_sender import FIRST_BODY, link_sender, send_request
from tests.builders.ports import free_port
from tests.builders.silent_path import accept_packets, drop_packets
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import PeerServer, peer_listener
from yuccadale_edge._internal.observability.metrics import Metrics

_SENDERS = ('alive', 'killed', 'stopped')
# The link is given up 1.35 s after a request without a response.
_WAITS_S = (0.5, 1.0, 6.0)
_SILENCES_S = (0.7, 1.1, 2.5)
_SENT_S = 0.1
_AFTER_S = 3.0
# A request is worked on at most this long after its sender has given it up.
_TOLERANCE_S = 0.15
_LINK_GIVEN_UP_S = 1.35
# With the time for packets on their way.
_KERNEL_GIVES_UP_S = 1.5 + 0.4
_PAUSES_S = (0.9, 2.0)


@dataclass
class _Receiver:
    """A peer that works on a request while its time is not over.

    Attributes:
        begun_s: when it began to work on each request but the first.
        sockets: those whose packets can be dropped.
    """

    address: tuple[str, int]
    begun_s: list[float] = field(default_factory=list)
    sockets: list[socket] = field(default_factory=list)

    async def handle(self, _topic: str, body: bytes, due_s: float) -> bytes:
        """Records the begin of the work that takes some time."""
        if body != FIRST_BODY and elapsed_s() < due_s + float(body):
            self.begun_s.append(time.monotonic())
            await asyncio.sleep(_AFTER_S)
        return b''

    def silence(self) -> None:
        """Drops all packets from now on."""
        for sock in self.sockets:
            drop_packets(sock)

    def heal(self) -> None:
        """Lets packets through again."""
        for sock in self.sockets:
            accept_packets(sock)


@asynccontextmanager
async def _receiver() -> AsyncIterator[_Receiver]:
    receiver = _Receiver(('127.0.0.1', free_port()))
    server = PeerServer(receiver.handle, lambda *_: None, Metrics())
    serve = server.serve

    async def serve_recorded(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info('socket')
        receiver.sockets.append(sock)
        try:
            await serve(reader, writer)
        finally:
            receiver.sockets.remove(sock)

    server.serve = serve_recorded  # type: ignore[method-assign]
    async with peer_listener(receiver.address, server):
        yield receiver


async def _end_sender(process: Process, fate: str) -> None:
    if fate == 'stopped':
        process.send_signal(signal.SIGSTOP)
    elif fate == 'killed':
        process.kill()
        await process.wait()


async def _late_after_silence(
    fate: str, wait_s: float, silent_s: float
) -> list[str]:
    """Returns the work that is begun after the sender has given it up."""
    async with (
        _receiver() as receiver,
        link_sender(receiver.address) as process,
    ):
        receiver.silence()
        sent_s = await send_request(process, wait_s)
        await asyncio.sleep(_SENT_S)
        await _end_sender(process, fate)
        ended_s = time.monotonic()
        await asyncio.sleep(silent_s - _SENT_S)
        receiver.heal()
        await asyncio.sleep(_AFTER_S)
        given_up_s = sent_s + min(wait_s, _LINK_GIVEN_UP_S)
        if fate == 'killed':
            given_up_s = ended_s
        elif fate == 'stopped':
            given_up_s = sent_s + min(wait_s, _KERNEL_GIVES_UP_S)
        return [
            f'{fate}, wait of {wait_s} s, {silent_s} s of silence: begun '
            f'{begun_s - sent_s:.2f} s after it was sent'
            for begun_s in receiver.begun_s
            if begun_s > given_up_s + _TOLERANCE_S
        ]


async def _late_after_silences() -> list[str]:
    cases = itertools.product(_SENDERS, _WAITS_S, _SILENCES_S)
    late = await asyncio.gather(*(_late_after_silence(*case) for case in cases))
    return [text for texts in late for text in texts]


async def _late_after_pause(pause_s: float, wait_s: float) -> list[str]:
    """Returns the work that a paused receiver begins too late."""
    async with (
        _receiver() as receiver,
        link_sender(receiver.address) as process,
    ):
        sent_s = await send_request(process, wait_s)
        # The whole process stands still, as one that is suspended.
        time.sleep(pause_s)
        await asyncio.sleep(_AFTER_S)
        given_up_s = sent_s + min(wait_s, _LINK_GIVEN_UP_S)
        return [
            f'wait of {wait_s} s, receiver paused for {pause_s} s: begun '
            f'{begun_s - sent_s:.2f} s after it was sent'
            for begun_s in receiver.begun_s
            if begun_s > given_up_s + _TOLERANCE_S
        ]


def test_no_request_is_begun_after_its_sender_gave_it_up() -> None:
    """Guards against forwarded requests that run after a path healed.

    The kernel went on sending them for links that were closed and for processes
    that were killed or stopped, and their time counted from the arrival.
    """
    assert not asyncio.run(_late_after_silences())


def test_a_peer_that_was_suspended_does_not_begin_old_requests() -> None:
    """Guards against forwarded requests that run when a peer is thawed.

    Its kernel accepts bytes, and connections, while it is suspended.
    """
    late: list[str] = []
    for pause_s, wait_s in itertools.product(_PAUSES_S, _WAITS_S):
        late.extend(asyncio.run(_late_after_pause(pause_s, wait_s)))
    assert not late


async def _late_after_pause_before_begin(pause_s: float) -> list[str]:
    """Returns the work of a receiver that was paused after it had read."""
    async with (
        _receiver() as receiver,
        link_sender(receiver.address) as process,
    ):
        start = PeerServer._start_request

        def start_and_pause(*arguments: object) -> None:
            start(*arguments)  # type: ignore[arg-type]
            time.sleep(pause_s)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(PeerServer, '_start_request', start_and_pause)
            await send_request(process, max(_WAITS_S))
            await asyncio.sleep(_AFTER_S)
        return [f'begun at {begun_s}' for begun_s in receiver.begun_s]


def test_a_peer_that_was_suspended_after_reading_does_not_begin() -> None:
    """Guards against old requests that run, as they were read in time."""
    pause_s = max(_PAUSES_S)
    assert not asyncio.run(_late_after_pause_before_begin(pause_s))
