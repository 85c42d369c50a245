"""Rules by which a server that checks grants accepts grants and requests."""

from yuccadale_standins._internal.grant_rules import (
    GRANT_EXPIRY_WAIT_MS,
    GrantRules,
    WorkPermit,
    WorkRefusal,
)

__all__ = [
    'GRANT_EXPIRY_WAIT_MS',
    'GrantRules',
    'WorkPermit',
    'WorkRefusal',
]
