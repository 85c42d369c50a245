"""HTTP adapter to servers."""

from yuccadale_core._internal.targets_http import (
    DEADLINE_HEADER,
    HIGHEST_TOKEN_HEADER,
    KEY_HEADER,
    REFUSED_HEADER,
    REQUEST_ID_HEADER,
    SLOT_HEADER,
    TOKEN_HEADER,
    HttpTarget,
    target_factory,
)

__all__ = [
    'DEADLINE_HEADER',
    'HIGHEST_TOKEN_HEADER',
    'KEY_HEADER',
    'REFUSED_HEADER',
    'REQUEST_ID_HEADER',
    'SLOT_HEADER',
    'TOKEN_HEADER',
    'HttpTarget',
    'target_factory',
]
