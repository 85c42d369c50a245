"""Authentication of operators: Ed25519 signatures over submissions."""

from yuccadale_core._internal.authority import (
    KeyFileError,
    OperatorKey,
    OperatorKeys,
    SignedSubmission,
    Submission,
    generate_operator_key,
    load_operator_key,
    save_operator_key,
)

__all__ = [
    'KeyFileError',
    'OperatorKey',
    'OperatorKeys',
    'SignedSubmission',
    'Submission',
    'generate_operator_key',
    'load_operator_key',
    'save_operator_key',
]
