"""One attempt per request on an aiohttp session.

aiohttp sends GET, PUT, DELETE and some other methods a second time when a
kept-alive connection is lost before the answer, although the server may have
read the first copy. It repeats only after ``ClientOSError`` and
``ServerDisconnectedError``, so a client middleware turns both into
``AttemptLostError``, which the library hands to its caller.
"""

from collections.abc import Callable
from contextvars import ContextVar
from types import SimpleNamespace

import aiohttp
from aiohttp.connector import Connection

# Asked by the request that the current task sends, directly before it writes.
PERMISSION: ContextVar[Callable[[], bool] | None] = ContextVar(
    'permission to send', default=None
)


class AttemptLostError(aiohttp.ClientError):
    """The connection was lost after the request may have been sent."""


class NotPermittedError(aiohttp.ClientError):
    """The right to send ended while a connection was made; nothing was sent."""


class _PermittedRequest(aiohttp.ClientRequest):
    """Asks for permission once a connection is there.

    Waiting for a connection can take longer than the right to send lasts.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Writes the request, unless the right to send has ended."""
        permission = PERMISSION.get()
        if permission is not None and not permission():
            raise NotPermittedError('the right to send has ended')
        return await super().send(conn)


class Attempt:
    """What is known about one request on its way out.

    Attributes:
        connected: whether a connection was handed to the request, so that
            bytes of it may have left the process.
        silent: whether the connection stayed open without an answer.
    """

    def __init__(self) -> None:
        self.connected = False
        self.silent = False


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # No connection was made; aiohttp does not repeat these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AttemptLostError(str(error) or type(error).__name__) from error


async def _mark_connected(
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _params: object,
) -> None:
    attempt = context.trace_request_ctx
    if attempt is not None:
        attempt.connected = True


def single_attempt_session(
    connector: aiohttp.BaseConnector, *, timeout_s: float | None = None
) -> aiohttp.ClientSession:
    """Returns a session that never sends a request twice.

    Args:
        timeout_s: time limit of a whole call that states none itself.

    Pass an ``Attempt`` as ``trace_request_ctx`` to learn whether a failed
    request may have left the process.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_connected)
    trace.on_connection_reuseconn.append(_mark_connected)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=timeout_s),
        middlewares=(_send_once,),
        trace_configs=[trace],
        request_class=_PermittedRequest,
    )
