"""pynng sockets for links between instances.

``Push0`` and ``Pull0`` never resend a message, unlike ``Req0``, which repeats
a request after a lost connection.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import pynng

# By default pynng starts about 30 threads on 10 cores. The minimum is enough,
# because a message costs far more time in Python than in these threads.
_THREADS_BY_PARAMETER = (
    ('NNG_INIT_NUM_TASK_THREADS', 2),
    ('NNG_INIT_MAX_TASK_THREADS', 2),
    ('NNG_INIT_NUM_EXPIRE_THREADS', 1),
    ('NNG_INIT_MAX_EXPIRE_THREADS', 1),
    ('NNG_INIT_NUM_POLLER_THREADS', 1),
    ('NNG_INIT_MAX_POLLER_THREADS', 1),
    ('NNG_INIT_NUM_RESOLVER_THREADS', 1),
)
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 500
_MAX_MESSAGE_BYTES = 4 << 20


def limit_threads() -> None:
    """Limits the threads of pynng; has no effect after the first socket."""
    for parameter, threads in _THREADS_BY_PARAMETER:
        pynng.lib.nng_init_set_parameter(getattr(pynng.lib, parameter), threads)


@contextmanager
def open_listener(address: str) -> Iterator[pynng.Pull0]:
    """Listens for batches of all peers on ``host:port``."""
    with pynng.Pull0(
        listen=f'tcp://{address}', recv_max_size=_MAX_MESSAGE_BYTES
    ) as listener:
        yield listener


@contextmanager
def open_dialer(address: str) -> Iterator[pynng.Push0]:
    """Connects to one peer in the background."""
    with pynng.Push0(
        reconnect_time_min=_RECONNECT_MIN_MS,
        reconnect_time_max=_RECONNECT_MAX_MS,
    ) as dialer:
        dialer.dial(f'tcp://{address}', block=False)
        yield dialer


async def receive(listener: pynng.Pull0) -> bytes:
    """Waits for the next batch of any peer."""
    sealed: bytes = await listener.arecv()
    _raise_if_cancelled()
    return sealed


async def send(dialer: pynng.Push0, sealed: bytes, timeout_s: float) -> None:
    """Sends a batch; raises ``TimeoutError`` if pynng does not accept it."""
    await asyncio.wait_for(dialer.asend(sealed), timeout_s)
    _raise_if_cancelled()


def _raise_if_cancelled() -> None:
    """Raises ``CancelledError`` if the task was cancelled.

    When an operation completes at the same time as its cancellation, pynng
    and ``asyncio.wait_for`` of Python 3.11 return the result and drop the
    cancellation. The task would go on, and a wait for its end would hang.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
