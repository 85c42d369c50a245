"""Generated pages must be what the code says."""

from pathlib import Path

import pytest

from yuccadale_bench._internal.docs import PAGE_BY_NAME

_OPERATORS = Path(__file__).parents[2] / 'docs' / 'operators'


@pytest.mark.parametrize('name', sorted(PAGE_BY_NAME))
def test_committed_page_is_current(name: str) -> None:
    """Guards against a reference page that describes an earlier version."""
    committed = (_OPERATORS / name).read_text(encoding='utf-8')
    assert committed == PAGE_BY_NAME[name](), (
        'run python -m yuccadale_bench docs and commit the page'
    )
