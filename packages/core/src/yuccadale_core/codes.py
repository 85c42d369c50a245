"""Numbered result codes: the single table behind answers, counters and docs."""

from yuccadale_core._internal.codes import (
    CODE_TABLE,
    CodeEntry,
    Outcome,
    ResultCode,
)

__all__ = [
    'CODE_TABLE',
    'CodeEntry',
    'Outcome',
    'ResultCode',
]
