"""Refusals: the error side of every ``expression.Result`` in the system."""

from yuccadale_core._internal.refusals import (
    Refusal,
    problem_document,
)

__all__ = [
    'Refusal',
    'problem_document',
]
