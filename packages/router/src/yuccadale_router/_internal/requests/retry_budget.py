"""Decides whether and when a refused request is retried."""

from collections.abc import Callable

from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_core.refusals import Refusal

# One retry per ten first attempts; more would amplify an overload.
_RETRIES_PER_REQUEST = 0.1
# Lets an instance with little traffic retry its first failures.
_INITIAL_ALLOWANCE = 20.0
_MAX_ALLOWANCE = 200.0
_BASE_DELAY_MS = 10.0
_MAX_DELAY_MS = 200.0
_MAX_DOUBLINGS = 5

# Refusals by load (queue_full and others) are not retried: the retries would
# add to the same overload.
_RETRIED_NOT_RUN = frozenset(
    (
        ResultCode.instance_draining,
        ResultCode.lease_ended,
        ResultCode.leader_unknown,
        ResultCode.not_leader,
        ResultCode.owner_unreachable,
        ResultCode.peer_queue_full,
        ResultCode.server_draining,
        ResultCode.server_refused_token,
        ResultCode.server_shedding,
        ResultCode.server_unreachable,
        ResultCode.slot_moving,
        ResultCode.slot_not_ours,
        ResultCode.slot_not_ready,
    )
)
_RETRIED_IF_REPEATABLE = frozenset(
    (
        ResultCode.answer_lost,
        ResultCode.answer_malformed,
        ResultCode.link_lost,
    )
)


def may_retry(refusal: Refusal, *, repeatable: bool) -> bool:
    """Returns whether a retry is safe and may succeed."""
    if refusal.outcome == Outcome.not_run:
        return refusal.code in _RETRIED_NOT_RUN
    return repeatable and refusal.code in _RETRIED_IF_REPEATABLE


def retry_delay_ms(attempt: int, random_unit: Callable[[], float]) -> float:
    """Returns a full-jitter delay; ``attempt`` counts from 0."""
    doubled = _BASE_DELAY_MS * (1 << min(attempt, _MAX_DOUBLINGS))
    return random_unit() * min(doubled, _MAX_DELAY_MS)


class RetryBudget:
    """Limits retries to a tenth of the first attempts."""

    def __init__(self) -> None:
        self._allowance = _INITIAL_ALLOWANCE

    def count_first_attempt(self) -> None:
        """Adds the allowance of one first attempt."""
        self._allowance = min(
            self._allowance + _RETRIES_PER_REQUEST, _MAX_ALLOWANCE
        )

    def try_spend(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
