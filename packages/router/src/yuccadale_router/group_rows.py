"""Group rows and their encoding, for the bench commands."""

from yuccadale_router._internal.ownership.rows import (
    GroupRow,
    decode_row,
    encode_row,
)

__all__ = ('GroupRow', 'decode_row', 'encode_row')
