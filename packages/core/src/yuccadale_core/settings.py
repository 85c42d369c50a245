"""Settings of the daemon: an INI file, validated when it is loaded."""

from yuccadale_core._internal.settings import (
    InstanceSettings,
    KeySettings,
    LimitSettings,
    PlatformSettings,
    Settings,
    SettingsError,
    StatsdSettings,
    load_settings,
    split_address,
)

__all__ = [
    'InstanceSettings',
    'KeySettings',
    'LimitSettings',
    'PlatformSettings',
    'Settings',
    'SettingsError',
    'StatsdSettings',
    'load_settings',
    'split_address',
]
