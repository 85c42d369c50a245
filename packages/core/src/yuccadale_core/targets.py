"""Interface to servers: fenced grants, requests, cancellation, load."""

from yuccadale_core._internal.targets import (
    Grant,
    GrantAnswer,
    LastGrant,
    LoadReport,
    OutcomeAnswer,
    ServerOutcome,
    Target,
    TargetAnswer,
    TargetFailure,
    TargetFailureKind,
    TargetRequest,
    Ticket,
)

__all__ = [
    'Grant',
    'GrantAnswer',
    'LastGrant',
    'LoadReport',
    'OutcomeAnswer',
    'ServerOutcome',
    'Target',
    'TargetAnswer',
    'TargetFailure',
    'TargetFailureKind',
    'TargetRequest',
    'Ticket',
]
