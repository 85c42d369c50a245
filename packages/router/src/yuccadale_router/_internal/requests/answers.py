"""Answers and refusals that are returned to the caller."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from yuccadale_core.codes import CODE_TABLE, Outcome, ResultCode
from yuccadale_core.messages import Hop
from yuccadale_core.refusals import Refusal

_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class DispatchAnswer:
    """A server's answer, or a refusal in place of it.

    Attributes:
        status: HTTP status; 0 when there is a refusal.
        headers: headers of the server's answer.
        hops: time spent at each hop, the one nearest to the server first.
        refusal: reason why there is no server's answer, else None.
    """

    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    hops: tuple[Hop, ...] = ()
    refusal: Refusal | None = None


# The entry instance returns the leader's answer with its own hops added.
CallerAnswer = DispatchAnswer


def refuse(
    code: ResultCode,
    where: str,
    detail: str = '',
    retry_after_s: float | None = None,
) -> Refusal:
    """Creates a refusal; adds a Retry-After if the request can be retried."""
    entry = CODE_TABLE[code]
    if retry_after_s is None and entry.outcome == Outcome.not_run:
        if entry.status in {429, 503}:
            retry_after_s = _RETRY_AFTER_S
    return Refusal(code, where, detail, retry_after_s)


def refused_answer(
    code: ResultCode, where: str, detail: str = ''
) -> DispatchAnswer:
    """Creates an answer with a refusal."""
    return DispatchAnswer(refusal=refuse(code, where, detail))
