"""Ownership of slots on one instance: leases, grants and takeovers."""

from yuccadale_router._internal.ownership.service import (
    GroupStatus,
    OwnershipService,
    ServerStatus,
)
from yuccadale_router._internal.ownership.slots import SlotEvent

__all__ = ('GroupStatus', 'OwnershipService', 'ServerStatus', 'SlotEvent')
