"""Keyed MACs for batches between instances."""

from yuccadale_core._internal.peer_keys import (
    PeerKeys,
)

__all__ = [
    'PeerKeys',
]
