"""Records of simulated servers, and checks over several servers."""

from yuccadale_standins._internal.records import (
    DoubleOwnership,
    GrantRecord,
    Record,
    RunRecord,
    ServerRecords,
    double_ownership,
    read_records,
    repeated_runs,
)

__all__ = [
    'DoubleOwnership',
    'GrantRecord',
    'Record',
    'RunRecord',
    'ServerRecords',
    'double_ownership',
    'read_records',
    'repeated_runs',
]
