"""Submits until the outcome is known, always with the same id."""

import asyncio

import msgspec

from yuccadale_core.authority import SignedSubmission

from yuccadale._internal import exit_status
from yuccadale._internal.failures import CommandFailure
from yuccadale._internal.network import Document, Instances, Unreachable

_ROUNDS = 3
_PAUSE_S = 0.5


async def submit(instances: Instances, signed: SignedSubmission) -> Document:
    """Returns the commit; raises the refusal, or that it is unknown.

    Another instance is asked when one gives no answer: repeating a
    submission with its id is harmless.
    """
    body = msgspec.json.encode(signed)
    reasons: list[str] = []
    for attempt, address in enumerate(instances.addresses * _ROUNDS):
        if attempt >= len(instances.addresses):
            await asyncio.sleep(_PAUSE_S)
        answer = await _post(instances, address, body)
        if not isinstance(answer, CommandFailure):
            return answer
        if _is_final(answer, uncertain=bool(reasons)):
            raise answer
        reasons.extend(answer.lines[:2])
    raise _unknown(signed, reasons)


async def _post(
    instances: Instances, address: str, body: bytes
) -> Document | CommandFailure:
    try:
        return await instances.post(address, '/declarations', body)
    except Unreachable as error:
        return CommandFailure(exit_status.OUTCOME_UNKNOWN, [str(error)])
    except CommandFailure as failure:
        return failure


def _is_final(failure: CommandFailure, *, uncertain: bool) -> bool:
    """Says whether a refusal settles the submission.

    After an attempt without a certain answer, that attempt may still be
    committed, unless another submission has taken its place.
    """
    if failure.status == exit_status.OUTCOME_UNKNOWN:
        return False
    return not uncertain or failure.status == exit_status.OUTDATED


def _unknown(signed: SignedSubmission, reasons: list[str]) -> CommandFailure:
    submission = signed.submission
    return CommandFailure(
        exit_status.OUTCOME_UNKNOWN,
        [
            f'Whether {submission.scope} was committed is unknown:',
            *(f'  {reason}' for reason in reasons),
            f'Repeat with --base {submission.base_revision}'
            f' --submission-id {submission.write_id} and the same file.',
        ],
        {
            'outcome': 'unknown',
            'submission_id': submission.write_id,
            'base_revision': submission.base_revision,
        },
    )
