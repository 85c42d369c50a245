"""Runs sequences of ``ConfigurationMachine``, also with a check removed.

``python -m tests.router.configuration.fuzz --sequences 5000 --seed 7`` runs
the unchanged code; ``--removed`` removes each check in turn and prints the
sequence that detects it.
"""

import argparse
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import ClassVar
from unittest import mock

from expression import Result
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test
from structlog.testing import capture_logs

from tests.router.configuration.machine import ConfigurationMachine
from yuccadale_core.authority import Submission
from yuccadale_core.codes import ResultCode
from yuccadale_core.messages import ScopeRevision
from yuccadale_core.platform import TableFailure
from yuccadale_router._internal.configuration.submissions import (
    Answer,
    Submissions,
)

CI_SEQUENCES = 300
_STEPS = 60
_MODULES = 'yuccadale_router._internal.configuration'

Replacement = Callable[..., object]


async def _refuse_as_outdated(
    submissions: Submissions, submission: Submission, head: ScopeRevision
) -> Answer:
    """Rejects every submission on an older base as outdated."""
    if head is None:
        return submissions._reject(ResultCode.revision_unknown, 'no head')
    return await submissions._reject_outdated(submission, head)


async def _skip_archive(*_: object) -> Result[None, TableFailure]:
    return Result.Ok(None)


def _report_not_run(submissions: Submissions, failure: TableFailure) -> Answer:
    return submissions._reject_unavailable(failure)


# For each rule: the function that implements it, and a replacement without it.
REMOVED_RULES: Mapping[str, tuple[str, Replacement]] = MappingProxyType(
    {
        'base revision': (
            f'{_MODULES}.submissions.replaceable_revision',
            lambda submission, newest_revision: newest_revision,
        ),
        'never go back': (
            f'{_MODULES}.in_force.is_newer',
            lambda offered, known: offered != known,
        ),
        'own outcome at base + 1': (
            f'{_MODULES}.submissions.Submissions._find_outcome',
            _refuse_as_outdated,
        ),
        'archive before replacing': (
            f'{_MODULES}.submissions.archive',
            _skip_archive,
        ),
        'unknown stays unknown': (
            f'{_MODULES}.submissions.Submissions._reject_unknown',
            _report_not_run,
        ),
    }
)


class CountedMachine(ConfigurationMachine):
    """Counts the sequences that were started."""

    begun: ClassVar[int] = 0

    def __init__(self) -> None:
        CountedMachine.begun += 1
        super().__init__()


def run_sequences(sequences: int, seed_number: int | None = None) -> int:
    """Runs sequences and returns how many were started.

    Raises ``AssertionError`` for a violation.

    Without a seed the sequences are the same on every run.
    """
    CountedMachine.begun = 0
    # Hypothesis stores the seed on the class, so each run uses a new one.
    machine = type('SeededMachine', (CountedMachine,), {})
    if seed_number is not None:
        machine = seed(seed_number)(machine)
    with capture_logs():
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=sequences,
                stateful_step_count=_STEPS,
                derandomize=seed_number is None,
                database=None,
                deadline=None,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )
    return CountedMachine.begun


def find_removed_rule(
    rule_name: str, sequences: int, seed_number: int | None = None
) -> tuple[int, str] | None:
    """Removes a rule; returns the number of the failing sequence and why."""
    function_name, replacement = REMOVED_RULES[rule_name]
    with mock.patch(function_name, replacement):
        try:
            run_sequences(sequences, seed_number)
        except AssertionError as violation:
            return CountedMachine.begun, str(violation)
    return None


def main() -> None:
    """Runs the sequences given by the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sequences', type=int, default=CI_SEQUENCES)
    parser.add_argument('--seed', type=int)
    parser.add_argument('--removed', action='store_true')
    options = parser.parse_args()
    if not options.removed:
        begun = run_sequences(options.sequences, options.seed)
        print(f'{begun} sequences, no violation')
        return
    for rule_name in REMOVED_RULES:
        found = find_removed_rule(rule_name, options.sequences, options.seed)
        shown_seed = 'none (CI)' if options.seed is None else options.seed
        number, violation = found or ('not found', '')
        print(f'| {rule_name} | {shown_seed} | {number} | {violation} |')


if __name__ == '__main__':
    main()
