"""Refusals: error values of ``expression.Result`` with a result code."""

from yuccadale_core._internal.refusals import (
    Refusal,
    problem_document,
)

__all__ = [
    'Refusal',
    'problem_document',
]
