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
        try:
            return await instances.post(address, '/declarations', body)
        except Unreachable as error:
            reasons.append(str(error))
        except CommandFailure as failure:
            _raise_unless_unknown(failure)
            reasons.extend(failure.lines[:2])
    raise _unknown(signed, reasons)


def _raise_unless_unknown(failure: CommandFailure) -> None:
    if failure.status != exit_status.OUTCOME_UNKNOWN:
        raise failure


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
