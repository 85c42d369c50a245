"""What proves to a caller that its request has not run.

The replies of some statuses promise that, and callers repeat work that must not
run twice only after such a promise. All replies get their status here, so that
none promises what is not known. The reasons for each kind of route are in
docs/design/refusals-of-servers.md.
"""

from http import HTTPStatus

from yuccadale_core.codes import CODE_TABLE, Outcome, ResultCode
from yuccadale_edge._internal.routing.codec import RequestCodec
from yuccadale_edge._internal.routing.requests import Refused, Result

# A reply with such a status says that the request has not run and never will.
PROMISING_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def provable_result(
    result: Result, codec: RequestCodec, *, repeatable: bool
) -> Result:
    """Replaces an answer whose status promises more than its server states.

    Args:
        result: of a request, here or at another instance.
        codec: reads what the server states.
        repeatable: whether the request may run more than once. Then nothing
            depends on the promise, and the answer is kept.

    Returns:
        The result, or a refusal with an unknown outcome in its place.
    """
    if repeatable or isinstance(result, Refused):
        return result
    if result.status not in PROMISING_STATUSES:
        return result
    if codec.not_executed(result.answer):
        return result
    return Refused(
        ResultCode.server_failed,
        f'status {result.status} without a statement that it did not run',
        None,
        result.server_id,
        result.attempts,
        result.waited_ms,
    )


def refusal_status(code: ResultCode) -> int:
    """Returns the status of a reply to a refused request.

    A server error promises that the request has not run if, and only if, that
    is known.
    """
    entry = CODE_TABLE[code]
    if entry.outcome == Outcome.not_run:
        if entry.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return HTTPStatus.SERVICE_UNAVAILABLE
    elif entry.status in PROMISING_STATUSES:
        return HTTPStatus.BAD_GATEWAY
    return entry.status
