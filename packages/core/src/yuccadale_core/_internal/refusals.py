"""Refusals: the error side of every ``expression.Result`` in the system."""

from dataclasses import dataclass

from yuccadale_core._internal.codes import CODE_TABLE, Outcome, ResultCode
from yuccadale_core._internal.instances import GroupId


@dataclass(frozen=True, slots=True)
class Refusal:
    """Says that something was not done, where, and why.

    Attributes:
        code: number in the table of result codes.
        where: the hop that refused, such as ``entry lodz-a-1``.
        detail: one sentence about this case.
        retry_after_s: seconds to wait before another attempt, if it helps.
        other_group: the group to ask instead, where the refuser knows it.
    """

    code: ResultCode
    where: str
    detail: str = ''
    retry_after_s: float | None = None
    other_group: GroupId | None = None

    @property
    def outcome(self) -> Outcome:
        """Whether the refused work ran."""
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
