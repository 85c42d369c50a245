"""Evacuated data centres, and requests that stay in their regions."""

import pytest

from tests.builders.server_rows import SERVER, decode_row
from yuccadale_edge._internal.model import (
    CallerLimits,
    Configuration,
    Place,
)
from yuccadale_edge._internal.store import Rows, StoredRow
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SystemView,
)

_EVACUATE_A = 'evacuate/a'
_PLACE = Place('a', 'north', {'a': 'north', 'b': 'north', 'c': 'south'})


def _data_centre(key: str) -> str | None:
    return key.removeprefix('evacuate/') if '/' in key else None


def _view() -> SystemView:
    return SystemView(
        lambda text: Configuration(int(text), {}, {}, CallerLimits(1, 1, 1, 1)),
        decode_row,
        2.0,
        _data_centre,
    )


def _apply(view: SystemView, *rows: StoredRow, whole: bool = False) -> None:
    version = max((row.version for row in rows), default=99)
    view.apply_rows(
        CONFIGURATION_TABLE,
        Rows(rows, version),
        full_snapshot=whole,
        removal_grace=False,
    )


def test_servers_of_an_evacuated_data_centre_get_nothing() -> None:
    """Guards against requests to servers whose data centre is evacuated."""
    view = _view()
    _apply(view, StoredRow(_EVACUATE_A, b'{}', 3))
    assert not view.usable(SERVER)
    _apply(view, StoredRow(_EVACUATE_A, b'', 5, removed=True))
    assert view.usable(SERVER)


def test_a_late_copy_does_not_evacuate_again() -> None:
    """Guards against a row that arrives after its removal."""
    view = _view()
    _apply(view, StoredRow(_EVACUATE_A, b'', 5, removed=True))
    _apply(view, StoredRow(_EVACUATE_A, b'{}', 3))
    assert view.usable(SERVER)


def test_a_removal_that_only_a_whole_table_shows_counts() -> None:
    """Guards against an evacuation that never ends after lost history."""
    view = _view()
    _apply(view, StoredRow(_EVACUATE_A, b'{}', 3))
    _apply(view, StoredRow('config', b'1', 4), whole=True)
    assert view.usable(SERVER)


def test_an_evacuation_is_sent_with_the_configuration() -> None:
    """Guards against members that learn only the configuration."""
    view = _view()
    _apply(view, StoredRow('config', b'1', 2), StoredRow(_EVACUATE_A, b'{}', 3))
    assert view.configuration_version() == 1
    assert {row.key for row in view.operator_rows()} == {'config', _EVACUATE_A}


@pytest.mark.parametrize(
    ('regions', 'allowed'),
    [((), 'abc'), (('north',), 'ab'), (('south',), 'c'), (('west',), '')],
)
def test_regions_of_a_route(regions: tuple[str, ...], allowed: str) -> None:
    """Guards against bodies in data centres that the route excludes."""
    places = [one for one in 'abc' if _PLACE.allows(one, regions)]
    assert places == list(allowed)
    entry = _PLACE.entry_data_centre(regions)
    assert entry in allowed or not allowed
