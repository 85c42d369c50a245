"""HTTP towards callers: ``/<service>/<path>`` on a Sanic application."""

import asyncio
from collections.abc import Callable

from sanic import Request, Sanic
from sanic.response import HTTPResponse
from sanic.response import json as json_response
from sanic.response import raw

from yuccadale_core.counters import Counters
from yuccadale_core.refusals import Refusal, problem_document

from yuccadale_router._internal.requests.entry import RequestEntry
from yuccadale_router._internal.requests.messages import CallerAnswer
from yuccadale_router._internal.requests.parsing import parse_caller_request
from yuccadale_router._internal.requests.server_timing import (
    format_server_timing,
)

_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'PATCH')
_PROBLEM_TYPE = 'application/problem+json'
_POLL_S = 0.02


class InFlight:
    """Counts the callers that wait for an answer."""

    def __init__(self) -> None:
        self.count = 0

    async def wait_until_none(self) -> None:
        """Returns when every caller has its answer."""
        while self.count:
            await asyncio.sleep(_POLL_S)
