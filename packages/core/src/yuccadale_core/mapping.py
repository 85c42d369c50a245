"""The declared mapping from slots to groups."""

from yuccadale_core._internal.mapping import (
    GroupMap,
    build_group_map,
    rendezvous,
)

__all__ = [
    'GroupMap',
    'build_group_map',
    'rendezvous',
]
