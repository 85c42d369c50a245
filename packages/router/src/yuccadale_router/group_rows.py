"""Group rows and their text form, used by measurement commands."""

from yuccadale_router._internal.ownership.rows import (
    GroupRow,
    decode_row,
    encode_row,
)

__all__ = ('GroupRow', 'decode_row', 'encode_row')
