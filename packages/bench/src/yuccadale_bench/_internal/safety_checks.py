"""Checks the records of all server processes after a measurement."""

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
    """What must be empty after every measurement.

    Attributes:
        runs: effects of non-repeatable work that were recorded.
        repeated: ids of non-repeatable work that took effect twice or more.
        lost: ids that were answered as done and took no effect.
        double_owned: times in which two servers served one slot.
    """

    runs: int
    repeated: dict[str, int]
    lost: list[str]
    double_owned: list[str]

    @property
    def clean(self) -> bool:
        """Whether nothing was violated."""
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
    """Checks all records files of a cluster's directory.

    Args:
        once_prefix: ids of non-repeatable work start with it.
        done_ids: non-repeatable work that callers saw as done.
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
