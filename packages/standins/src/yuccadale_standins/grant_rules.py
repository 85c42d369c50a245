"""The rules by which a checking server accepts grants and work."""

from yuccadale_standins._internal.grant_rules import (
    WAITING_MS,
    GrantRules,
    WorkPermit,
    WorkRefusal,
)

__all__ = [
    'WAITING_MS',
    'GrantRules',
    'WorkPermit',
    'WorkRefusal',
]
