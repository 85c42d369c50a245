"""Settings of the daemon, read from INI and validated at the border."""

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
