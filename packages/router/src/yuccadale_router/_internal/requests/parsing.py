"""Parses a caller's HTTP request into typed fields."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from expression import Result

from yuccadale_core.codes import ResultCode
from yuccadale_core.refusals import Refusal
from yuccadale_router._internal.requests.answers import refuse

# Every idempotency record holds an id; the limit bounds their memory.
_ID_LIMIT = 200
_KEY_LIMIT = 1000
_DEADLINE_LIMIT_MS = 600_000.0
_UNKNOWN_AGE_MS = -1.0

# Headers that are forwarded to the server. Connection headers apply to a single
# hop and are dropped.
_PASSED_HEADERS = frozenset(
    (
        'accept',
        'accept-language',
        'authorization',
        'content-encoding',
        'content-type',
        'if-match',
        'if-none-match',
        'traceparent',
        'tracestate',
    )
)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller; cancel its task when the caller disconnects.

    Attributes:
        path: path at the server, starting with ``/``, with the query.
        request_id: the Idempotency-Key, empty when there is none.
        kind: name of the declared kind, empty when there is none.
        deadline_ms: time allowed in milliseconds, None for the default.
        first_sent_ago_ms: age of the first attempt, negative when unknown.
        headers: headers for the server.
    """

    service: str
    method: str
    path: str
    key: str
    request_id: str = ''
    kind: str = ''
    deadline_ms: float | None = None
    first_sent_ago_ms: float = _UNKNOWN_AGE_MS
    headers: Mapping[str, str] | None = None
    body: bytes = b''


def parse_caller_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    where: str,
) -> Result[CallerRequest, Refusal]:
    """Parses ``/<service>/<path>`` and the headers.

    Args:
        target: path and query as sent, percent-encoded.
        headers: header values by name in lower case.
        where: name of the hop for refusals.
    """
    service, _, rest = target.lstrip('/').partition('/')
    problem = _header_problem(headers)
    if problem is not None:
        code, detail = problem
        return Result.Error(refuse(code, where, detail))
    deadline_ms = _milliseconds(headers, 'yuccadale-deadline-ms')
    age_ms = _milliseconds(headers, 'yuccadale-first-sent-ago-ms')
    return Result.Ok(
        CallerRequest(
            service=service.partition('?')[0],
            method=method.upper(),
            path=f'/{rest}',
            key=headers['yuccadale-key'],
            request_id=headers.get('idempotency-key', ''),
            kind=headers.get('yuccadale-kind', ''),
            deadline_ms=deadline_ms,
            first_sent_ago_ms=_UNKNOWN_AGE_MS if age_ms is None else age_ms,
            headers={
                name: text
                for name, text in headers.items()
                if name in _PASSED_HEADERS
            },
            body=body,
        )
    )


def _header_problem(
    headers: Mapping[str, str],
) -> tuple[ResultCode, str] | None:
    key = headers.get('yuccadale-key', '')
    if not key:
        return ResultCode.key_missing, ''
    if len(key) > _KEY_LIMIT:
        return (
            ResultCode.header_invalid,
            f'Yuccadale-Key is longer than {_KEY_LIMIT} characters.',
        )
    request_id = headers.get('idempotency-key', '')
    if len(request_id) > _ID_LIMIT or not request_id.isprintable():
        return (
            ResultCode.header_invalid,
            f'Idempotency-Key allows {_ID_LIMIT} printable characters.',
        )
    for name in ('yuccadale-deadline-ms', 'yuccadale-first-sent-ago-ms'):
        found = _milliseconds(headers, name)
        if found is not None and not 0 <= found < math.inf:
            return (
                ResultCode.header_invalid,
                f'{name} must be a number of milliseconds from 0 upwards.',
            )
    deadline_ms = _milliseconds(headers, 'yuccadale-deadline-ms') or 0
    if deadline_ms > _DEADLINE_LIMIT_MS:
        return (
            ResultCode.header_invalid,
            f'yuccadale-deadline-ms must be at most {_DEADLINE_LIMIT_MS:.0f}.',
        )
    return None


def _milliseconds(headers: Mapping[str, str], name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return math.nan
