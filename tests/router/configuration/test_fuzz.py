"""Property tests of concurrent submissions, with and without the checks."""

import pytest

from tests.router.configuration.fuzz import (
    CI_SEQUENCES,
    REMOVED_RULES,
    find_removed_rule,
    run_sequences,
)


def test_racing_operators_get_true_answers() -> None:
    """Guards against lost, reverted or mixed revisions and false refusals."""
    assert run_sequences(CI_SEQUENCES) >= CI_SEQUENCES


@pytest.mark.parametrize(
    ('rule_name', 'violation'),
    [
        ('base revision', 'other base'),
        ('never go back', 'went back'),
        ('own outcome at base + 1', 'refused, but applied'),
        ('archive before replacing', 'refused, but applied'),
        ('unknown stays unknown', 'refused, but applied'),
    ],
)
def test_removed_rule_is_found(rule_name: str, violation: str) -> None:
    """Guards against sequences that do not detect a missing check."""
    assert rule_name in REMOVED_RULES
    found = find_removed_rule(rule_name, CI_SEQUENCES)
    assert found is not None
    assert violation in found[1]
