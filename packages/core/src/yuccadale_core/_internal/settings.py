"""Settings of the daemon: an INI file, validated when it is loaded."""

import configparser
from pathlib import Path

import pydantic


class SettingsError(Exception):
    """An invalid settings file; the message names file, section and key."""


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class InstanceSettings(_Section):
    """Section ``[instance]``: name, location, addresses (``host:port``)."""

    name: str = pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]*$')
    data_centre: str = pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]*$')
    rack: str = 'rack-0'
    caller_address: str
    peer_address: str
    operator_address: str
    # Bind address of the peer listener if it differs from ``peer_address``.
    peer_listen_address: str = ''
    # Peers to contact if the platform's list cannot be read at the start.
    seed_peers: str = ''

    @property
    def seed_addresses(self) -> list[str]:
        """The comma-separated addresses of ``seed_peers``."""
        addresses = self.seed_peers.split(',')
        return [address.strip() for address in addresses if address.strip()]

    @pydantic.field_validator(
        'caller_address',
        'peer_address',
        'operator_address',
        'peer_listen_address',
    )
    @classmethod
    def has_host_and_port(cls, address: str) -> str:
        """Checks that the address has the form ``host:port``."""
        host, _, port = address.rpartition(':')
        if not host or not port.isdigit():
            raise ValueError('must be host:port')
        return address


class PlatformSettings(_Section):
    """Section ``[platform]``: URL of the platform's service."""

    url: str = pydantic.Field(pattern='^https?://')


class StatsdSettings(_Section):
    """Section ``[statsd]``: statsd server; counters stay local without it."""

    host: str = '127.0.0.1'
    port: int = pydantic.Field(default=8125, ge=1, le=65535)


class KeySettings(_Section):
    """Section ``[keys]``: key files, reloaded when they change."""

    peer_keys: Path
    operator_keys: Path


class LimitSettings(_Section):
    """Section ``[limits]``: limits of one process."""

    drain_s: float = pydantic.Field(default=30, gt=0)
    peer_queue_messages: int = pydantic.Field(default=10_000, gt=0)
    peer_queue_bytes: int = pydantic.Field(default=32 << 20, gt=0)
    slow_records: int = pydantic.Field(default=50, gt=0)


class Settings(_Section):
    """All sections of the settings file."""

    instance: InstanceSettings
    platform: PlatformSettings
    keys: KeySettings
    statsd: StatsdSettings | None = None
    limits: LimitSettings = LimitSettings()


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def load_settings(path: Path) -> Settings:
    """Reads a settings file; raises ``SettingsError`` with one line."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding='utf-8') as settings_file:
            parser.read_file(settings_file)
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except (configparser.Error, UnicodeDecodeError) as error:
        first_line = str(error).splitlines()[0]
        raise SettingsError(f'{path}: {first_line}') from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Settings.model_validate(sections)
    except pydantic.ValidationError as error:
        raise SettingsError(_first_problem(path, error)) from error


def _first_problem(path: Path, error: pydantic.ValidationError) -> str:
    problem = error.errors()[0]
    location = [str(part) for part in problem['loc']]
    section = location[0]
    key = f', key {location[1]}' if len(location) > 1 else ''
    return f'{path}: section [{section}]{key}: {problem["msg"]}'
