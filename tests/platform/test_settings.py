"""The settings file: what is read, and how wrong fields are named."""

import subprocess
import sys
from pathlib import Path

import pytest

from yuccadale_platform.parts import SettingsError, read_settings

EXIT_BAD_SETTINGS = 2
TEMPLATE = Path('deploy/settings.ini.in')
GOOD = """
[instance]
name = edge-a-1
data_centre = a
region = north
colour = green

[data_centres]
a = north
b = south

[addresses]
callers = 10.1.0.35:8144
readiness = 10.1.0.35:8140
peers = 10.1.0.35:8146
metrics = 10.1.0.35:7660
seeds = 10.1.0.35:8146,10.2.0.28:8146
store = 10.200.1.7:8142

[bounds]
grace = 6s
hold_max = 3000ms
retry_budget_ratio = 0.2
new_bound = 12
"""


def test_good_settings_are_read_and_unknown_fields_ignored() -> None:
    """Guards against a start that fails for a field that is new."""
    settings = read_settings(GOOD)
    assert settings.place.distance('b') == 2
    assert settings.bounds.grace_s == 6
    assert settings.bounds.lease_s == 3
    assert len(settings.seeds) == 2
    assert settings.contact_address == settings.peer_address


def test_an_advertised_address_is_where_others_reach_it() -> None:
    """Guards against an instance that listens where it cannot."""
    text = GOOD.replace('[bounds]', 'advertised = 192.0.2.1:9000\n\n[bounds]')
    settings = read_settings(text)
    assert settings.contact_address == ('192.0.2.1', 9000)
    assert settings.peer_address == ('10.1.0.35', 8146)


def test_each_wrong_field_is_named_at_once() -> None:
    """Guards against an operator who mends one field after the other."""
    text = (
        GOOD.replace('10.1.0.35:8144', 'nowhere')
        .replace('grace = 6s', 'grace = soon')
        .replace('name = edge-a-1', '')
        .replace('0.2', '-1')
    )
    with pytest.raises(SettingsError) as refused:
        read_settings(text)
    for field in (
        '[addresses] callers',
        '[bounds] grace',
        '[instance] name',
        '[bounds] retry_budget_ratio',
    ):
        assert field in str(refused.value)


@pytest.mark.parametrize(
    ('text', 'status'), [(GOOD, 0), ('[instance]\nname =\n', EXIT_BAD_SETTINGS)]
)
def test_the_check_ends_with_its_status(
    text: str, status: int, tmp_path: Path
) -> None:
    """Guards against a check that starts an instance or hides a fault."""
    path = tmp_path / 'settings.ini'
    path.write_text(text)
    ended = subprocess.run(
        [sys.executable, '-m', 'yuccadale_platform', '--check', str(path)],
        capture_output=True,
        check=False,
    )
    assert ended.returncode == status
    assert ended.stdout or ended.stderr


def test_the_template_fills_only_fields_that_are_read() -> None:
    """Guards against a template that outlives its fields."""
    names = {
        line.partition('=')[0].strip()
        for line in TEMPLATE.read_text().splitlines()
        if '=' in line and '{{#' not in line
    }
    source = Path('platform/src/yuccadale_platform/_internal/settings.py')
    for name in names:
        assert f"'{name}'" in source.read_text()
