"""HTTP towards callers: ``/<service>/<path>`` on a Sanic application."""

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
_PROBLEM_TYPE = 'application/problem+json'
_POLL_S = 0.02
_HEADERS_OF_ONE_HOP = frozenset(
    ('connection', 'content-length', 'keep-alive', 'transfer-encoding')
)


class CallerApi:
    """Answers callers and knows how many of them wait.

    Attributes:
        admitting: false once a shutdown refuses new requests.
        waiting: callers whose answer is not written yet.
    """

    def __init__(
        self, where: str, answer_caller: AnswerCaller, counters: Counters
    ) -> None:
        self.admitting = True
        self.waiting = 0
        self._where = where
        self._answer_caller = answer_caller
        self._counters = counters

    def register(self, app: Sanic) -> None:
        """Adds the routes to an application."""
        app.add_route(
            self._handle, '/<target:path>', methods=_METHODS, name='caller'
        )

    async def wait_until_answered(self) -> None:
        """Returns when every caller has its answer."""
        while self.waiting:
            await asyncio.sleep(_POLL_S)

    async def _handle(self, request: Request, target: str) -> HTTPResponse:
        self.waiting += 1
        try:
            return await self._answer(request)
        except asyncio.CancelledError:
            self._counters.count('caller.gone')
            raise
        finally:
            self.waiting -= 1

    async def _answer(self, request: Request) -> HTTPResponse:
        if not self.admitting:
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
    """Returns path and query as sent, without decoding them."""
    return request.raw_url.decode('ascii', errors='replace')


def _served(answer: CallerAnswer) -> HTTPResponse:
    headers = {
        name: text
        for name, text in answer.headers.items()
        if name.lower() not in _HEADERS_OF_ONE_HOP
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
        # Retry-After takes whole seconds only.
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_s)))
    return json_response(
        problem_document(refusal),
        status=refusal.status,
        headers=headers,
        content_type=_PROBLEM_TYPE,
    )
