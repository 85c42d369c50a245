"""Maps keys to slots by hashing."""

from yuccadale_core._internal.keys import (
    slot_of_key,
)

__all__ = [
    'slot_of_key',
]
