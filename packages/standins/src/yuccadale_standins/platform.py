"""The simulated platform: table, objects, list of instances, faults."""

from yuccadale_standins._internal.platform_app import (
    RunningPlatform,
    platform_application,
    run_platform,
)
from yuccadale_standins._internal.platform_state import (
    ListChange,
    PlatformFaults,
    PlatformState,
)

__all__ = [
    'ListChange',
    'PlatformFaults',
    'PlatformState',
    'RunningPlatform',
    'platform_application',
    'run_platform',
]
