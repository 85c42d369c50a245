"""Tests that the committed generated pages are current."""

from pathlib import Path

import pytest

from yuccadale_bench._internal.docs import PAGE_BY_NAME

_OPERATORS = Path(__file__).parents[2] / 'docs' / 'operators'


@pytest.mark.parametrize('name', sorted(PAGE_BY_NAME))
def test_committed_page_is_current(name: str) -> None:
    """Guards against a committed page that was not regenerated."""
    committed = (_OPERATORS / name).read_text(encoding='utf-8')
    assert committed == PAGE_BY_NAME[name](), (
        'run python -m yuccadale_bench docs and commit the page'
    )
