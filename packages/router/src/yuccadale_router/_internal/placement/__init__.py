"""Decides which server of a group owns each slot."""

from yuccadale_router._internal.placement.group import GroupPlacement

__all__ = ('GroupPlacement',)
