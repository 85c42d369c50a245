"""HTTP API of callers: ``/<service>/<path>`` on a Sanic application."""

import asyncio
from collections.abc import Awaitable, Callable

from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw
from sanic.response import json as json_response

from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.refusals import Refusal, problem_document

from yuccadale_router._internal.requests.answers import CallerAnswer, refuse
from yuccadale_router._internal.requests.parsing import (
    CallerRequest,
    parse_caller_request,
)
from yuccadale_router._internal.requests.server_timing import (
    format_server_timing,
)

AnswerCaller = Callable[[CallerRequest], Awaitable[CallerAnswer]]

_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'PATCH')
_PROBLEM_CONTENT_TYPE = 'application/problem+json'
_POLL_S = 0.02
_HOP_BY_HOP_HEADERS = frozenset(
    ('connection', 'content-length', 'keep-alive', 'transfer-encoding')
)


class CallerApi:
    """Handles the requests of callers and counts the pending ones.

    Attributes:
        accepting: whether new requests are accepted; false once a shutdown
            refuses them.
        pending: number of requests without a response yet.
    """

    def __init__(
        self, where: str, answer_caller: AnswerCaller, counters: Counters
    ) -> None:
        self.accepting = True
        self.pending = 0
        self._where = where
        self._answer_caller = answer_caller
        self._counters = counters

    def register(self, app: Sanic) -> None:
        """Adds the routes to an application."""
        app.add_route(
            self._handle, '/<target:path>', methods=_METHODS, name='caller'
        )

    async def wait_until_answered(self) -> None:
        """Waits until no request is pending."""
        while self.pending:
            await asyncio.sleep(_POLL_S)

    async def _handle(self, request: Request, target: str) -> HTTPResponse:
        self.pending += 1
        try:
            return await self._answer(request)
        except asyncio.CancelledError:
            self._counters.count('caller.gone')
            raise
        finally:
            self.pending -= 1

    async def _answer(self, request: Request) -> HTTPResponse:
        if not self.accepting:
            refusal = refuse(ResultCode.instance_draining, self._where)
            self._counters.count(f'refusal.{refusal.code.name}')
            return _refused(CallerAnswer(refusal=refusal), refusal)
        parsed = parse_caller_request(
            request.method,
            _raw_target(request),
            {name.lower(): text for name, text in request.headers.items()},
            request.body,
            self._where,
        )
        if parsed.is_error():
            self._counters.count(f'refusal.{parsed.error.code.name}')
            return _refused(CallerAnswer(refusal=parsed.error), parsed.error)
        answer = await self._answer_caller(parsed.ok)
        if answer.refusal is not None:
            return _refused(answer, answer.refusal)
        return _served(answer)


def _raw_target(request: Request) -> str:
    """Returns path and query as received, without decoding."""
    return request.raw_url.decode('ascii', errors='replace')


def _served(answer: CallerAnswer) -> HTTPResponse:
    headers = {
        name: text
        for name, text in answer.headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    }
    headers['Server-Timing'] = format_server_timing(answer.hops)
    headers['Yuccadale-Outcome'] = 'done'
    return raw(answer.body, status=answer.status, headers=headers)


def _refused(answer: CallerAnswer, refusal: Refusal) -> HTTPResponse:
    headers = {
        'Yuccadale-Outcome': refusal.outcome.value,
        'Yuccadale-Code': str(int(refusal.code)),
    }
    if answer.hops:
        headers['Server-Timing'] = format_server_timing(answer.hops)
    if refusal.retry_after_s is not None:
        # Retry-After allows only whole seconds.
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_s)))
    return json_response(
        problem_document(refusal),
        status=refusal.status,
        headers=headers,
        content_type=_PROBLEM_CONTENT_TYPE,
    )
