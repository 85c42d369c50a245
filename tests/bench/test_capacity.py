"""Tests of the generated capacity page."""

from pathlib import Path

from yuccadale_bench._internal.capacity import (
    SLOPES_PATH,
    capacity_page,
    read_slopes,
)


def test_committed_page_equals_what_the_slopes_give():
    """Guards against a page that differs from the measured slopes."""
    page = Path('docs/CAPACITY.md').read_text(encoding='utf-8')
    assert capacity_page(read_slopes(SLOPES_PATH)) == page


def test_missing_measurements_are_named():
    """Guards against a page that omits a missing measurement."""
    slopes = read_slopes(SLOPES_PATH)
    slopes.pop('request_cost', None)
    slopes.pop('control_cost', None)
    page = capacity_page(slopes)
    assert '(`request-cost`): not measured' in page
    assert '(`control-cost`): not measured' in page


def test_cost_without_network_is_not_taken_for_throughput():
    """Guards against presenting a rate without network as throughput."""
    slopes = read_slopes(SLOPES_PATH)
    slopes['request_cost'] = {'entries_with_dispatch_per_cpu_s': 28_200}
    page = capacity_page(slopes)
    assert 'take 0.50 of a core' in page
    assert 'not shown that a node carries them' in page
