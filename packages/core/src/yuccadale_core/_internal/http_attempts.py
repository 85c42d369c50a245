"""aiohttp sessions that send each request at most once.

aiohttp retries GET, PUT, DELETE and some other methods when a kept-alive
connection is lost before the answer, although the server may have processed
the first copy. It retries only after ``ClientOSError`` and
``ServerDisconnectedError``, so a client middleware converts both into
``AttemptLostError``, which aiohttp passes on to the caller.
"""

from collections.abc import Callable
from contextvars import ContextVar
from types import SimpleNamespace

import aiohttp
from aiohttp.connector import Connection

# Checked directly before the current task's request is written.
SEND_PERMISSION: ContextVar[Callable[[], bool] | None] = ContextVar(
    'permission to send', default=None
)


class AttemptLostError(aiohttp.ClientError):
    """The connection was lost after the request may have been sent."""


class NotPermittedError(aiohttp.ClientError):
    """The permission to send ended before the request was written."""


class PermissionCheckedRequest(aiohttp.ClientRequest):
    """Checks the permission to send after the connection is established.

    Waiting for a connection can take longer than the permission is valid.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Writes the request; raises ``NotPermittedError`` if not permitted."""
        permission = SEND_PERMISSION.get()
        if permission is not None and not permission():
            raise NotPermittedError('the right to send has ended')
        return await super().send(conn)


class Attempt:
    """State of one attempt to send a request.

    Attributes:
        connected: whether the request got a connection, so that some of its
            bytes may have been sent.
        timed_out: whether the time limit passed on an open connection.
    """

    def __init__(self) -> None:
        self.connected = False
        self.timed_out = False


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # No connection was established; aiohttp does not retry these.
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
    connector: aiohttp.BaseConnector,
    *,
    timeout_s: float | None = None,
    request_class: type[aiohttp.ClientRequest] = PermissionCheckedRequest,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
) -> aiohttp.ClientSession:
    """Returns a session that never sends a request twice.

    Args:
        connector: opens and keeps its connections.
        timeout_s: default time limit of a whole call.
        request_class: of its requests.
        response_class: of its answers.

    Pass an ``Attempt`` as ``trace_request_ctx`` to find out whether a failed
    request may have been sent.
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
        request_class=request_class,
        response_class=response_class,
    )
