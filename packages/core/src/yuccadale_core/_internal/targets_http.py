"""HTTP adapter to servers.

A server that refuses a request names the reason in ``Yuccadale-Refused``;
that header is its statement that the request had no effect. Every other
complete answer is the answer of the work itself.
"""

import asyncio
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
import yarl
from expression import Result

from yuccadale_core._internal.http_attempts import (
    PERMISSION,
    Attempt,
    AttemptLostError,
    NotPermittedError,
    single_attempt_session,
)
from yuccadale_core._internal.instances import ServerRef
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

REFUSED_HEADER = 'Yuccadale-Refused'
HIGHEST_TOKEN_HEADER = 'Yuccadale-Highest-Token'
TOKEN_HEADER = 'Yuccadale-Token'
SLOT_HEADER = 'Yuccadale-Slot'
KEY_HEADER = 'Yuccadale-Key'
REQUEST_ID_HEADER = 'Yuccadale-Request-Id'
DEADLINE_HEADER = 'Yuccadale-Deadline-Ms'

_OK = 200
_NOT_FOUND = 404
# Idle connections are closed here well before a server closes them, so that
# requests rarely meet a connection that the server is closing.
_KEEP_ALIVE_S = 5.0
_CONTROL_BODY_LIMIT_BYTES = 1 << 20
# Two control calls fit into the time after which a server is suspected, so
# that one dead connection alone raises no suspicion.
_CONTROL_TIMEOUT_MS = 250
_HOP_HEADERS = frozenset(
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
_OWN_HEADERS = frozenset(
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
    """The answer's length or content breaks the protocol."""


class _Flight:
    """A request whose answer is awaited.

    Attributes:
        check_at_ms: when the server is asked about it next.
        found: its result when that was found out in another way.
    """

    def __init__(self, request_id: str, scope: asyncio.Timeout) -> None:
        self.request_id = request_id
        self.check_at_ms = _now_ms() + LINK_TIMEOUT_MS
        self.found: Result[TargetAnswer, TargetFailure] | None = None
        self._scope = scope

    def end(self, found: Result[TargetAnswer, TargetFailure]) -> None:
        """Ends the waiting for the answer with this result."""
        if self.found is None:
            self.found = found
            self._scope.reschedule(asyncio.get_running_loop().time())


class _Pool:
    """Connections to one server that are trusted or suspected together.

    Attributes:
        most_calls: most calls at once; no more connections can be open,
            because one is opened only when all others are in use.
        calls: calls under way.
    """

    def __init__(self, limit: int) -> None:
        self.session = single_attempt_session(
            aiohttp.TCPConnector(limit=limit, keepalive_timeout=_KEEP_ALIVE_S)
        )
        self.most_calls = 0
        self.calls = 0

    @contextmanager
    def calling(self) -> Iterator[aiohttp.ClientSession]:
        """Counts a call while the block runs."""
        self.calls += 1
        self.most_calls = max(self.most_calls, self.calls)
        try:
            yield self.session
        finally:
            self.calls -= 1


class HttpTarget:
    """One server over HTTP/1.1; each call is sent at most once.

    Open connections may stop delivering data while new ones work. After a
    control call without an answer, all later calls use new connections; the
    old ones stay until their calls end. A request that waits for
    ``LINK_TIMEOUT_MS`` is asked for by its id: the server returns the answer
    that it has given, says that the request runs, or says that it has not
    seen it, and then the request ends as ``lost``.
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
        self._pool: _Pool | None = None
        self._suspect: _Pool | None = None
        self._flights: set[_Flight] = set()
        self._checking = False
        self._closed = False

    async def hello(self) -> Result[GrantAnswer, TargetFailure]:
        """Asks for a ticket and the server's last grant."""
        return _decoded(await self._control('GET', '/hello'), GrantAnswer)

    async def grant(self, grant: Grant) -> Result[GrantAnswer, TargetFailure]:
        """Offers a grant."""
        body = msgspec.json.encode(grant)
        return _decoded(
            await self._control('POST', '/grant', body), GrantAnswer
        )

    async def run(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        """Sends a request once and waits for its complete answer."""
        token = PERMISSION.set(request.permitted)
        try:
            called = await self._fly(request)
        finally:
            PERMISSION.reset(token)
        if called.is_error():
            return called
        return _checked(request, called.ok)

    async def cancel(self, request_id: str) -> None:
        """Asks the server to give a request up; a failure is not reported."""
        await self._control('DELETE', f'/requests/{quote(request_id, safe="")}')

    async def outcome(
        self, request_id: str
    ) -> Result[OutcomeAnswer, TargetFailure]:
        """Asks what became of a request id."""
        called = await self._control(
            'GET', f'/outcome/{quote(request_id, safe="")}'
        )
        if called.is_ok() and called.ok.status == _NOT_FOUND:
            return Result.Ok(OutcomeAnswer(ServerOutcome.not_offered))
        return _decoded(called, OutcomeAnswer)

    async def load(self) -> Result[LoadReport, TargetFailure]:
        """Reads the server's load report."""
        return _decoded(await self._control('GET', '/load'), LoadReport)

    async def close(self) -> None:
        """Closes all connections; calls under way end as lost."""
        self._closed = True
        for pool in (self._suspect, self._pool):
            if pool is not None:
                await pool.session.close()

    async def _fly(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        flight = None
        try:
            async with asyncio.timeout(None) as scope:
                flight = _Flight(request.request_id, scope)
                self._flights.add(flight)
                return await self._call(
                    self._opened_pool(),
                    Attempt(),
                    request.method,
                    f'/run/{request.path.lstrip("/")}',
                    headers=_request_headers(request),
                    body=request.body,
                    timeout_ms=request.remaining_ms,
                    body_limit_bytes=self._body_limit_bytes,
                )
        except TimeoutError:
            # Only ``flight.end`` lets the scope run out.
            if flight is None or flight.found is None:
                raise
            return flight.found
        finally:
            if flight is not None:
                self._flights.discard(flight)

    async def _control(
        self, method: str, path: str, body: bytes = b''
    ) -> Result[TargetAnswer, TargetFailure]:
        pool = self._opened_pool()
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
                await self._check_flights()
            elif attempt.silent:
                await self._replace_pool(pool)
        return called

    async def _check_flights(self) -> None:
        """Asks the server about requests that have waited for long."""
        if self._checking:
            return
        self._checking = True
        try:
            for flight in tuple(self._flights):
                if flight.check_at_ms <= _now_ms():
                    flight.check_at_ms = _now_ms() + LINK_TIMEOUT_MS
                    await self._check(flight)
        finally:
            self._checking = False

    async def _check(self, flight: _Flight) -> None:
        asked = await self.outcome(flight.request_id)
        if asked.is_error():
            return
        report = asked.ok
        if report.outcome == ServerOutcome.done and report.answer is not None:
            flight.end(Result.Ok(report.answer))
        elif _has_not_seen(report):
            flight.end(
                Result.Error(
                    TargetFailure(
                        TargetFailureKind.lost,
                        'the server has not seen the request',
                    )
                )
            )

    async def _close_idle_suspect(self) -> None:
        suspect = self._suspect
        if suspect is not None and not suspect.calls:
            self._suspect = None
            await suspect.session.close()

    async def _replace_pool(self, pool: _Pool) -> None:
        """Uses new connections from now on, within the declared number."""
        self._pool = None
        earlier = self._suspect
        self._suspect = pool
        if earlier is not None:
            await earlier.session.close()
        if pool.most_calls * 2 > self._connections:
            # Too few would be left for new connections beside the old ones.
            self._suspect = None
            await pool.session.close()

    async def _call(
        self,
        pool: _Pool,
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
                    TargetFailureKind.not_sent, 'no time left, or closed'
                )
            )
        try:
            with pool.calling() as session:
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
                    answer = await _complete_answer(response, body_limit_bytes)
        except _CALL_ERRORS as error:
            return Result.Error(_failure(attempt, error))
        return Result.Ok(answer)

    def _opened_pool(self) -> _Pool:
        if self._pool is None:
            suspect = self._suspect
            taken = 0 if suspect is None else suspect.most_calls
            self._pool = _Pool(self._connections - taken)
        return self._pool


def target_factory(
    *,
    connections: int,
    body_limit_bytes: int,
    control_timeout_ms: float = _CONTROL_TIMEOUT_MS,
) -> Callable[[ServerRef], HttpTarget]:
    """Returns a factory of targets for the servers of one service.

    Args:
        connections: most connections open to one server at a time.
        body_limit_bytes: largest body of an answer.
        control_timeout_ms: time limit of every call but ``run``.
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


def _has_not_seen(report: OutcomeAnswer) -> bool:
    """Says whether a server that records ids knows nothing of this one."""
    return (
        report.outcome == ServerOutcome.not_offered
        and report.remembered_ms is not None
    )


def _request_headers(request: TargetRequest) -> dict[str, str]:
    headers = {
        name: header
        for name, header in request.headers.items()
        if name.lower() not in _HOP_HEADERS and name.lower() not in _OWN_HEADERS
    }
    headers[TOKEN_HEADER] = str(request.token)
    headers[SLOT_HEADER] = str(request.slot)
    headers[KEY_HEADER] = request.key
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(int(request.remaining_ms))
    return headers


async def _complete_answer(
    response: aiohttp.ClientResponse, body_limit_bytes: int
) -> TargetAnswer:
    if _is_unbounded(response):
        # Nothing tells a complete body from one that was cut short.
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
        if name.lower() not in _HOP_HEADERS:
            known = headers.get(name)
            headers[name] = header if known is None else f'{known}, {header}'
    return headers


def _is_unbounded(response: aiohttp.ClientResponse) -> bool:
    if response.method == 'HEAD' or response.status in {204, 304}:
        return False
    chunked = 'chunked' in response.headers.get('Transfer-Encoding', '')
    return response.content_length is None and not chunked


def _failure(attempt: Attempt, error: Exception) -> TargetFailure:
    detail = str(error) or type(error).__name__
    attempt.silent = attempt.connected and isinstance(
        error, asyncio.TimeoutError
    )
    if isinstance(error, NotPermittedError) or not attempt.connected:
        return TargetFailure(TargetFailureKind.not_sent, detail)
    if isinstance(error, _LOST_ERRORS):
        return TargetFailure(TargetFailureKind.lost, detail)
    return TargetFailure(TargetFailureKind.malformed, detail)


def _checked(
    request: TargetRequest, answer: TargetAnswer
) -> Result[TargetAnswer, TargetFailure]:
    answered_id = _header(answer, REQUEST_ID_HEADER)
    if answered_id is not None and answered_id != request.request_id:
        return Result.Error(
            TargetFailure(
                TargetFailureKind.malformed, 'the answer has another id'
            )
        )
    reason = _header(answer, REFUSED_HEADER)
    if reason is not None:
        return Result.Error(_refusal(reason, answer))
    return Result.Ok(answer)


def _header(answer: TargetAnswer, name: str) -> str | None:
    for given_name, header in answer.headers.items():
        if given_name.lower() == name.lower():
            return header
    return None


def _refusal(reason: str, answer: TargetAnswer) -> TargetFailure:
    token = _header(answer, HIGHEST_TOKEN_HEADER) or ''
    retry_after = _header(answer, 'Retry-After') or ''
    return TargetFailure(
        _KIND_BY_REASON.get(reason, TargetFailureKind.refused),
        reason,
        highest_token=int(token) if token.isdecimal() else None,
        retry_after_s=float(retry_after) if retry_after.isdecimal() else None,
    )


def _decoded(
    called: Result[TargetAnswer, TargetFailure], shape: type[_Decoded]
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
        return Result.Ok(msgspec.json.decode(answer.body, type=shape))
    except msgspec.DecodeError as error:
        return Result.Error(
            TargetFailure(TargetFailureKind.malformed, str(error))
        )
