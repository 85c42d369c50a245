"""Checks the records of all servers for violated guarantees."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from yuccadale_standins.records import (
    GrantRecord,
    RunRecord,
    double_ownership,
    read_records,
    repeated_runs,
)


@dataclass(frozen=True, slots=True)
class SafetyReport:
    """Result of the checks; all fields but ``runs`` must be empty.

    Attributes:
        runs: number of recorded effects of non-repeatable work.
        repeated: executions by id, of non-repeatable work that took effect
            more than once.
        lost: ids that were answered as done without an effect.
        double_owned: periods in which two servers owned one slot.
    """

    runs: int
    repeated: dict[str, int]
    lost: list[str]
    double_owned: list[str]

    @property
    def clean(self) -> bool:
        """Whether no guarantee was violated."""
        return not (self.repeated or self.lost or self.double_owned)

    def summary(self) -> dict[str, object]:
        """Returns the report as JSON types."""
        return {
            'non_repeatable_effects': self.runs,
            'run_twice': self.repeated,
            'acknowledged_without_effect': self.lost,
            'double_ownership': self.double_owned,
        }


def check_records(
    directory: Path, once_prefix: str, done_ids: list[str]
) -> SafetyReport:
    """Checks the ``*.records`` files in a cluster's directory.

    Args:
        once_prefix: prefix of the ids of non-repeatable work.
        done_ids: ids of non-repeatable work that was answered as done.
    """
    records = [
        record
        for path in sorted(directory.glob('*.records'))
        for record in read_records(path)
    ]
    runs = [
        record
        for record in records
        if isinstance(record, RunRecord)
        and record.request_id.startswith(once_prefix)
        and record.method != 'GET'
    ]
    grants = [record for record in records if isinstance(record, GrantRecord)]
    effects = Counter(run.request_id for run in runs if run.effect)
    return SafetyReport(
        runs=effects.total(),
        repeated=repeated_runs(runs, lambda _run: True),
        lost=[done_id for done_id in done_ids if not effects[done_id]],
        double_owned=[str(double) for double in double_ownership(grants)],
    )
