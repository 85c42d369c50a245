"""The committed capacity page."""

from pathlib import Path

from yuccadale_bench._internal.capacity import (
    SLOPES_PATH,
    capacity_page,
    read_slopes,
)


def test_committed_page_equals_what_the_slopes_give():
    """Guards against a page that no longer follows from measurements."""
    page = Path('docs/CAPACITY.md').read_text(encoding='utf-8')
    assert capacity_page(read_slopes(SLOPES_PATH)) == page


def test_missing_measurements_are_named():
    """Guards against a page that is silent about what nobody measured."""
    slopes = read_slopes(SLOPES_PATH)
    slopes.pop('request_cost', None)
    assert 'requests per core and hop are not measured' in capacity_page(slopes)


def test_measured_throughput_is_turned_into_cores():
    """Guards against a rate for one hop that is read as one for the path."""
    slopes = read_slopes(SLOPES_PATH)
    slopes['request_cost'] = {'requests_per_core_per_hop': 2820}
    assert 'takes 10.0 cores' in capacity_page(slopes)
