"""Decides which server of a group owns each slot."""

from yuccadale_router._internal.placement.demand import (
    RegionDemand,
    RemoteSlot,
    SlotDemand,
    rank_remote_slots,
)
from yuccadale_router._internal.placement.group import GroupPlacement
from yuccadale_router._internal.placement.policy import PlacementPolicy
from yuccadale_router._internal.placement.sketch import HotKey, HotKeySketch

__all__ = (
    'GroupPlacement',
    'HotKey',
    'HotKeySketch',
    'PlacementPolicy',
    'RegionDemand',
    'RemoteSlot',
    'SlotDemand',
    'rank_remote_slots',
)
