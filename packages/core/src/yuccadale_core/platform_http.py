"""HTTP adapter to the platform; its parts share one session."""

from yuccadale_core._internal.platform_http import (
    DATA_CENTRE_HEADER,
    HttpInstanceList,
    HttpObjects,
    HttpPlatform,
    HttpTable,
    open_platform,
)

__all__ = [
    'DATA_CENTRE_HEADER',
    'HttpInstanceList',
    'HttpObjects',
    'HttpPlatform',
    'HttpTable',
    'open_platform',
]
