"""Numbered result codes of answers, counters and the reference page."""

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
