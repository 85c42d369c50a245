"""The tenure rule: whether a request id without a record may run."""

from yuccadale_core.codes import ResultCode
from yuccadale_core.timing import CLOCK_RATE_MARGIN, milliseconds
from yuccadale_router._internal.contracts import Tenure
from yuccadale_router._internal.requests.idempotency import (
    CALLER_ALLOWANCE_MS,
)


def tenure_refusal(
    tenure: Tenure,
    *,
    first_sent_ago_ms: float,
    since_receipt_ms: float,
    retry_window_s: float,
) -> ResultCode | None:
    """Returns the reason to refuse a request id without a record, if any.

    If the records are incomplete, an earlier leader may have run the id,
    unless the caller first sent it after the tenure began.

    Args:
        first_sent_ago_ms: age of the first attempt at receipt, as the caller
            gave it; negative when unknown.
    """
    window_ms = milliseconds(retry_window_s)
    if first_sent_ago_ms < 0:
        known_long_enough = tenure.complete or tenure.age_ms > window_ms
        return None if known_long_enough else ResultCode.tenure_too_short
    if first_sent_ago_ms > window_ms:
        return ResultCode.request_id_too_old
    sent_ago_ms = first_sent_ago_ms * CLOCK_RATE_MARGIN + since_receipt_ms
    if tenure.complete or sent_ago_ms + CALLER_ALLOWANCE_MS < tenure.age_ms:
        return None
    return ResultCode.tenure_too_short


def combined(first: Tenure, second: Tenure) -> Tenure:
    """Returns the tenure that covers both a slot and the slot of a pin."""
    if first.complete and second.complete:
        return Tenure(complete=True, age_ms=min(first.age_ms, second.age_ms))
    return Tenure(
        complete=False,
        age_ms=min(
            tenure.age_ms for tenure in (first, second) if not tenure.complete
        ),
    )
