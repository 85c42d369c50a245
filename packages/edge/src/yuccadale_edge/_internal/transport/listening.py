"""Opens listeners, also where another program uses the address at first."""

import asyncio
import errno
from collections.abc import Awaitable, Callable

import structlog

_log = structlog.get_logger()

_RETRY_S = 0.1


async def listen_when_free(
    listen: Callable[[], Awaitable[asyncio.Server]], address: tuple[str, int]
) -> asyncio.Server:
    """Opens a listener; waits while its address is in use.

    It may be in use by a process that ends, or by an outgoing connection of
    another program.

    Args:
        listen: opens the listener.
        address: its host and port, for the log.

    Raises:
        OSError: the address cannot be used for another reason.
    """
    waits = False
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            if not waits:
                waits = True
                _log.error(
                    'address in use, waiting until it is free',
                    address=address,
                    reason=str(error),
                )
        await asyncio.sleep(_RETRY_S)
