"""Maps keys to slots; nothing is kept per key."""

from yuccadale_core._internal.keys import (
    slot_of_key,
)

__all__ = [
    'slot_of_key',
]
