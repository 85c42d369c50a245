"""Refusals: error values of ``expression.Result`` with a result code."""

from dataclasses import dataclass

from yuccadale_core._internal.codes import CODE_TABLE, Outcome, ResultCode
from yuccadale_core._internal.instances import GroupId


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request or operation that was refused.

    Attributes:
        code: result code.
        where: the hop that refused, such as ``entry lodz-a-1``.
        detail: one sentence about this case; empty for the code's meaning.
        retry_after_s: seconds to wait before a retry, None if a retry does
            not help.
        other_group: the group to send the request to, if it is known.
    """

    code: ResultCode
    where: str
    detail: str = ''
    retry_after_s: float | None = None
    other_group: GroupId | None = None

    @property
    def outcome(self) -> Outcome:
        """Whether the refused request was run."""
        return CODE_TABLE[self.code].outcome

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return CODE_TABLE[self.code].status


def problem_document(refusal: Refusal) -> dict[str, object]:
    """Returns the RFC 9457 problem body of a refusal."""
    entry = CODE_TABLE[refusal.code]
    return {
        'type': f'urn:yuccadale:code:{int(refusal.code)}',
        'title': entry.meaning,
        'status': entry.status,
        'detail': refusal.detail or entry.meaning,
        'code': int(refusal.code),
        'name': refusal.code.name,
        'outcome': entry.outcome.value,
        'where': refusal.where,
        'advice': entry.advice,
    }
