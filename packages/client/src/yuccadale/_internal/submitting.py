"""Submits a declaration, with the same id in each attempt."""

import asyncio

import msgspec

from yuccadale_core.authority import SignedSubmission

from yuccadale._internal import exit_status
from yuccadale._internal.failures import CommandFailure
from yuccadale._internal.network import Document, Instances, Unreachable

_MAX_ROUNDS = 3
_RETRY_DELAY_S = 0.5


async def submit(instances: Instances, signed: SignedSubmission) -> Document:
    """Returns the commit; raises ``CommandFailure`` if refused or unknown.

    An attempt without a certain outcome is retried at the next instance.
    Submissions are idempotent by their id, so retries are safe.
    """
    body = msgspec.json.encode(signed)
    reasons: list[str] = []
    for attempt, address in enumerate(instances.addresses * _MAX_ROUNDS):
        if attempt >= len(instances.addresses):
            await asyncio.sleep(_RETRY_DELAY_S)
        answer = await _post(instances, address, body)
        if not isinstance(answer, CommandFailure):
            return answer
        if _is_final(answer, earlier_outcome_unknown=bool(reasons)):
            raise answer
        reasons.extend(answer.lines[:2])
    raise _outcome_unknown(signed, reasons)


async def _post(
    instances: Instances, address: str, body: bytes
) -> Document | CommandFailure:
    try:
        return await instances.post(address, '/declarations', body)
    except Unreachable as error:
        return CommandFailure(exit_status.OUTCOME_UNKNOWN, [str(error)])
    except CommandFailure as failure:
        return failure


def _is_final(
    failure: CommandFailure, *, earlier_outcome_unknown: bool
) -> bool:
    """Returns whether no further attempt is needed.

    An earlier attempt whose outcome is unknown may still be committed,
    unless another submission was committed on the same base revision.
    """
    if failure.status == exit_status.OUTCOME_UNKNOWN:
        return False
    return not earlier_outcome_unknown or failure.status == exit_status.OUTDATED


def _outcome_unknown(
    signed: SignedSubmission, reasons: list[str]
) -> CommandFailure:
    submission = signed.submission
    return CommandFailure(
        exit_status.OUTCOME_UNKNOWN,
        [
            f'It is unknown whether {submission.scope} was committed:',
            *(f'  {reason}' for reason in reasons),
            f'Retry with --base {submission.base_revision}'
            f' --submission-id {submission.write_id} and the same file.',
        ],
        {
            'outcome': 'unknown',
            'submission_id': submission.write_id,
            'base_revision': submission.base_revision,
        },
    )
