"""HTTP adapter to servers.

A server that refuses a request states the reason in ``Yuccadale-Refused``;
that header guarantees that the request had no effect. Every other complete
answer is the result of the request.
"""

import asyncio
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from types import MappingProxyType
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
import yarl
from expression import Result

from yuccadale_core._internal.http_attempts import (
    SEND_PERMISSION,
    Attempt,
    AttemptLostError,
    NotPermittedError,
    single_attempt_session,
)
from yuccadale_core._internal.instances import ServerRef
from yuccadale_core._internal.refusing_connections import (
    REFUSED_HEADER,
    REQUEST_ID_HEADER,
    RefusalCheckedRequest,
    RefusalNotingResponse,
    RefusedHereError,
)
from yuccadale_core._internal.targets import (
    Grant,
    GrantAnswer,
    LoadReport,
    OutcomeAnswer,
    ServerOutcome,
    TargetAnswer,
    TargetFailure,
    TargetFailureKind,
    TargetRequest,
)
from yuccadale_core._internal.timing import (
    LINK_TIMEOUT_MS,
    milliseconds,
    seconds,
)

HIGHEST_TOKEN_HEADER = 'Yuccadale-Highest-Token'
TOKEN_HEADER = 'Yuccadale-Token'
SLOT_HEADER = 'Yuccadale-Slot'
KEY_HEADER = 'Yuccadale-Key'
DEADLINE_HEADER = 'Yuccadale-Deadline-Ms'

_OK = 200
_NOT_FOUND = 404
# Shorter than the keep-alive of servers, so that a request is rarely sent on
# a connection that the server is closing.
_KEEP_ALIVE_S = 5.0
_CONTROL_BODY_LIMIT_BYTES = 1 << 20
# Two control calls fit into the time after which a server is suspected, so
# that a single failed connection does not make the server suspect.
_CONTROL_TIMEOUT_MS = 250
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_YUCCADALE_HEADERS = frozenset(
    name.lower()
    for name in (
        TOKEN_HEADER,
        SLOT_HEADER,
        KEY_HEADER,
        REQUEST_ID_HEADER,
        DEADLINE_HEADER,
    )
)
_NO_AUTOMATIC_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_KIND_BY_REASON: Mapping[str, TargetFailureKind] = MappingProxyType(
    {
        'shedding': TargetFailureKind.shedding,
        'draining': TargetFailureKind.draining,
    }
)
_CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, ValueError)
_LOST_ERRORS = (
    AttemptLostError,
    aiohttp.ClientPayloadError,
    aiohttp.ClientConnectionError,
    asyncio.TimeoutError,
)

_Decoded = TypeVar('_Decoded')


class _MalformedAnswerError(ValueError):
    """The answer's length or content violates the protocol."""


class _PendingRequest:
    """A request that waits for its answer.

    Attributes:
        check_at_ms: monotonic time of the next outcome query.
        result: result from an outcome query, None while there is none.
    """

    def __init__(self, request_id: str, timeout: asyncio.Timeout) -> None:
        self.request_id = request_id
        self.check_at_ms = _now_ms() + LINK_TIMEOUT_MS
        self.result: Result[TargetAnswer, TargetFailure] | None = None
        self._timeout = timeout

    def finish(self, result: Result[TargetAnswer, TargetFailure]) -> None:
        """Stops waiting for the answer; the request gets this result."""
        if self.result is None:
            self.result = result
            self._timeout.reschedule(asyncio.get_running_loop().time())


class _ConnectionPool:
    """Connections to one server that are used and replaced as a unit.

    Attributes:
        peak_calls: most calls at the same time. It bounds the number of open
            connections: one is opened only when all others are in use.
        active_calls: calls in progress.
    """

    def __init__(self, limit: int) -> None:
        self.session = single_attempt_session(
            aiohttp.TCPConnector(limit=limit, keepalive_timeout=_KEEP_ALIVE_S),
            request_class=RefusalCheckedRequest,
            response_class=RefusalNotingResponse,
        )
        self.peak_calls = 0
        self.active_calls = 0

    @contextmanager
    def count_call(self) -> Iterator[aiohttp.ClientSession]:
        """Counts the call as active until the block ends."""
        self.active_calls += 1
        self.peak_calls = max(self.peak_calls, self.active_calls)
        try:
            yield self.session
        finally:
            self.active_calls -= 1


class HttpTarget:
    """One server over HTTP/1.1; each call is sent at most once.

    Open connections may stop delivering data while new ones work. After a
    control call that timed out, all later calls use new connections. The old
    ones stay open until their calls end, unless the limit of connections or a
    further timeout requires closing them. A request that has waited for
    ``LINK_TIMEOUT_MS`` is looked up at the server by its id: the server
    returns its earlier answer, reports the request as running, or reports it
    as never received. In the last case the request ends as ``lost``.
    """

    def __init__(
        self,
        server: ServerRef,
        *,
        connections: int,
        body_limit_bytes: int,
        control_timeout_ms: float,
    ) -> None:
        self._server = server
        self._connections = connections
        self._body_limit_bytes = body_limit_bytes
        self._control_timeout_ms = control_timeout_ms
        self._pool: _ConnectionPool | None = None
        self._suspect_pool: _ConnectionPool | None = None
        self._pending_requests: set[_PendingRequest] = set()
        self._is_checking_pending = False
        self._closed = False

    async def hello(self) -> Result[GrantAnswer, TargetFailure]:
        """Requests a ticket and the server's last grant."""
        return _decode(await self._control_call('GET', '/hello'), GrantAnswer)

    async def grant(self, grant: Grant) -> Result[GrantAnswer, TargetFailure]:
        """Offers a grant."""
        body = msgspec.json.encode(grant)
        return _decode(
            await self._control_call('POST', '/grant', body), GrantAnswer
        )

    async def run(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        """Sends a request once and waits for its complete answer."""
        token = SEND_PERMISSION.set(request.permitted)
        try:
            called = await self._send_and_track(request)
        finally:
            SEND_PERMISSION.reset(token)
        if called.is_error():
            return called
        return _check_answer(request, called.ok)

    async def cancel(self, request_id: str) -> None:
        """Asks the server to cancel a request; a failure is not reported."""
        await self._control_call(
            'DELETE', f'/requests/{quote(request_id, safe="")}'
        )

    async def outcome(
        self, request_id: str
    ) -> Result[OutcomeAnswer, TargetFailure]:
        """Requests the server's record of a request id."""
        called = await self._control_call(
            'GET', f'/outcome/{quote(request_id, safe="")}'
        )
        if called.is_ok() and called.ok.status == _NOT_FOUND:
            return Result.Ok(OutcomeAnswer(ServerOutcome.not_offered))
        return _decode(called, OutcomeAnswer)

    async def load(self) -> Result[LoadReport, TargetFailure]:
        """Reads the server's load report."""
        return _decode(await self._control_call('GET', '/load'), LoadReport)

    async def close(self) -> None:
        """Closes all connections; calls in progress end as lost."""
        self._closed = True
        for pool in (self._suspect_pool, self._pool):
            if pool is not None:
                await pool.session.close()

    async def _send_and_track(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        pending = None
        try:
            async with asyncio.timeout(None) as timeout:
                pending = _PendingRequest(request.request_id, timeout)
                self._pending_requests.add(pending)
                return await self._send_request(request)
        except TimeoutError:
            # Raised here by ``pending.finish`` only: there is no time limit.
            if pending is None or pending.result is None:
                raise
            return pending.result
        finally:
            if pending is not None:
                self._pending_requests.discard(pending)

    async def _send_request(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        """Sends a request on a connection that has not refused it."""
        deadline_ms = _now_ms() + request.remaining_ms
        while True:
            # Closed in this case, so that the next connection is another.
            with suppress(RefusedHereError):
                return await self._call(
                    self._current_pool(),
                    Attempt(),
                    request.method,
                    f'/run/{request.path.lstrip("/")}',
                    headers=_request_headers(request),
                    body=request.body,
                    timeout_ms=deadline_ms - _now_ms(),
                    body_limit_bytes=self._body_limit_bytes,
                )

    async def _control_call(
        self, method: str, path: str, body: bytes = b''
    ) -> Result[TargetAnswer, TargetFailure]:
        pool = self._current_pool()
        attempt = Attempt()
        called = await self._call(
            pool,
            attempt,
            method,
            path,
            headers={'Content-Type': 'application/json'},
            body=body,
            timeout_ms=self._control_timeout_ms,
            body_limit_bytes=_CONTROL_BODY_LIMIT_BYTES,
        )
        if pool is self._pool:
            if called.is_ok():
                await self._close_idle_suspect()
                await self._check_pending_requests()
            elif attempt.timed_out:
                await self._replace_pool(pool)
        return called

    async def _check_pending_requests(self) -> None:
        """Queries the outcome of requests that have waited too long."""
        if self._is_checking_pending:
            return
        self._is_checking_pending = True
        try:
            for pending in tuple(self._pending_requests):
                if pending.check_at_ms <= _now_ms():
                    pending.check_at_ms = _now_ms() + LINK_TIMEOUT_MS
                    await self._check_pending(pending)
        finally:
            self._is_checking_pending = False

    async def _check_pending(self, pending: _PendingRequest) -> None:
        queried = await self.outcome(pending.request_id)
        if queried.is_error():
            return
        report = queried.ok
        if report.outcome == ServerOutcome.done and report.answer is not None:
            pending.finish(Result.Ok(report.answer))
        elif _was_never_received(report):
            pending.finish(
                Result.Error(
                    TargetFailure(
                        TargetFailureKind.lost,
                        'the server has not seen the request',
                    )
                )
            )

    async def _close_idle_suspect(self) -> None:
        suspect_pool = self._suspect_pool
        if suspect_pool is not None and not suspect_pool.active_calls:
            self._suspect_pool = None
            await suspect_pool.session.close()

    async def _replace_pool(self, pool: _ConnectionPool) -> None:
        """Makes later calls use new connections, within the declared limit."""
        self._pool = None
        earlier = self._suspect_pool
        self._suspect_pool = pool
        if earlier is not None:
            await earlier.session.close()
        if pool.peak_calls * 2 > self._connections:
            # With the old connections open, the limit would leave fewer new
            # connections than were in use.
            self._suspect_pool = None
            await pool.session.close()

    async def _call(
        self,
        pool: _ConnectionPool,
        attempt: Attempt,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str],
        body: bytes,
        timeout_ms: float,
        body_limit_bytes: int,
    ) -> Result[TargetAnswer, TargetFailure]:
        if timeout_ms <= 0 or self._closed:
            return Result.Error(
                TargetFailure(
                    TargetFailureKind.not_sent,
                    'no time left, or closed',
                )
            )
        try:
            with pool.count_call() as session:
                async with session.request(
                    method,
                    yarl.URL(
                        f'http://{self._server.address}{path}', encoded=True
                    ),
                    data=body or None,
                    headers=headers,
                    skip_auto_headers=_NO_AUTOMATIC_HEADERS,
                    timeout=aiohttp.ClientTimeout(total=seconds(timeout_ms)),
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                ) as response:
                    answer = await _read_answer(response, body_limit_bytes)
        except RefusedHereError:
            raise
        except _CALL_ERRORS as error:
            return Result.Error(_call_failure(attempt, error))
        return Result.Ok(answer)

    def _current_pool(self) -> _ConnectionPool:
        if self._pool is None:
            suspect_pool = self._suspect_pool
            reserved = 0 if suspect_pool is None else suspect_pool.peak_calls
            self._pool = _ConnectionPool(self._connections - reserved)
        return self._pool


def target_factory(
    *,
    connections: int,
    body_limit_bytes: int,
    control_timeout_ms: float = _CONTROL_TIMEOUT_MS,
) -> Callable[[ServerRef], HttpTarget]:
    """Returns a factory of targets for the servers of one service.

    Args:
        connections: limit of open connections to one server.
        body_limit_bytes: limit of the size of an answer's body.
        control_timeout_ms: time limit of every call except ``run``.
    """

    def make_target(server: ServerRef) -> HttpTarget:
        return HttpTarget(
            server,
            connections=connections,
            body_limit_bytes=body_limit_bytes,
            control_timeout_ms=control_timeout_ms,
        )

    return make_target


def _now_ms() -> float:
    return milliseconds(time.monotonic())


def _was_never_received(report: OutcomeAnswer) -> bool:
    """Returns whether a server that records ids has no record of this one."""
    return (
        report.outcome == ServerOutcome.not_offered
        and report.remembered_ms is not None
    )


def _request_headers(request: TargetRequest) -> dict[str, str]:
    headers = {
        name: header
        for name, header in request.headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and name.lower() not in _YUCCADALE_HEADERS
    }
    headers[TOKEN_HEADER] = str(request.token)
    headers[SLOT_HEADER] = str(request.slot)
    headers[KEY_HEADER] = request.key
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(int(request.remaining_ms))
    return headers


async def _read_answer(
    response: aiohttp.ClientResponse, body_limit_bytes: int
) -> TargetAnswer:
    if _has_no_length(response):
        # A truncated body could not be detected.
        raise _MalformedAnswerError('the answer states no length')
    pieces = []
    size = 0
    async for piece in response.content.iter_any():
        size += len(piece)
        if size > body_limit_bytes:
            raise _MalformedAnswerError(f'body above {body_limit_bytes} bytes')
        pieces.append(piece)
    return TargetAnswer(
        response.status, _end_to_end_headers(response), b''.join(pieces)
    )


def _end_to_end_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, header in response.headers.items():
        if name.lower() not in _HOP_BY_HOP_HEADERS:
            known = headers.get(name)
            headers[name] = header if known is None else f'{known}, {header}'
    return headers


def _has_no_length(response: aiohttp.ClientResponse) -> bool:
    if response.method == 'HEAD' or response.status in {204, 304}:
        return False
    chunked = 'chunked' in response.headers.get('Transfer-Encoding', '')
    return response.content_length is None and not chunked


def _call_failure(attempt: Attempt, error: Exception) -> TargetFailure:
    detail = str(error) or type(error).__name__
    attempt.timed_out = attempt.connected and isinstance(
        error, asyncio.TimeoutError
    )
    if isinstance(error, NotPermittedError) or not attempt.connected:
        return TargetFailure(TargetFailureKind.not_sent, detail)
    if isinstance(error, _LOST_ERRORS):
        return TargetFailure(TargetFailureKind.lost, detail)
    return TargetFailure(TargetFailureKind.malformed, detail)


def _check_answer(
    request: TargetRequest, answer: TargetAnswer
) -> Result[TargetAnswer, TargetFailure]:
    answered_id = _header(answer, REQUEST_ID_HEADER)
    if answered_id is not None and answered_id != request.request_id:
        return Result.Error(
            TargetFailure(
                TargetFailureKind.malformed,
                'the answer has another id',
            )
        )
    reason = _header(answer, REFUSED_HEADER)
    if reason is not None:
        return Result.Error(_refusal_failure(reason, answer))
    return Result.Ok(answer)


def _header(answer: TargetAnswer, name: str) -> str | None:
    for given_name, header in answer.headers.items():
        if given_name.lower() == name.lower():
            return header
    return None


def _refusal_failure(reason: str, answer: TargetAnswer) -> TargetFailure:
    token = _header(answer, HIGHEST_TOKEN_HEADER) or ''
    retry_after = _header(answer, 'Retry-After') or ''
    return TargetFailure(
        _KIND_BY_REASON.get(reason, TargetFailureKind.refused),
        reason,
        highest_token=int(token) if token.isdecimal() else None,
        retry_after_s=float(retry_after) if retry_after.isdecimal() else None,
    )


def _decode(
    called: Result[TargetAnswer, TargetFailure], body_type: type[_Decoded]
) -> Result[_Decoded, TargetFailure]:
    if called.is_error():
        return Result.Error(called.error)
    answer = called.ok
    if answer.status != _OK:
        return Result.Error(
            TargetFailure(
                TargetFailureKind.malformed, f'status {answer.status}'
            )
        )
    try:
        return Result.Ok(msgspec.json.decode(answer.body, type=body_type))
    except msgspec.DecodeError as error:
        return Result.Error(
            TargetFailure(TargetFailureKind.malformed, str(error))
        )
