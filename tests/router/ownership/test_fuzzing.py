"""Seeded fault sequences that check the invariants of slot ownership.

Long runs: ``python -m tests.router.ownership.long_run``.
"""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.builders.fault_sequences import (
    FAULTS,
    INSTANCES,
    LONGEST_STEP_MS,
    SERVERS,
    FaultSequence,
    FaultStep,
    run_sequence,
)
from tests.builders.removed_rules import RULES
from tests.router.ownership.fuzzing import problems

SEQUENCES = 2000
GENERATED_SEQUENCES = 150
PROCESS_COUNT = len((*INSTANCES, *SERVERS))

_steps = st.builds(
    FaultStep,
    kind=st.integers(0, len(FAULTS) - 1),
    first=st.integers(0, 255),
    second=st.integers(0, 4095),
    wait_ms=st.integers(0, LONGEST_STEP_MS),
)
_sequences = st.builds(
    FaultSequence,
    seed=st.integers(0, 1000),
    rate_steps=st.lists(
        st.integers(-2, 2), min_size=PROCESS_COUNT, max_size=PROCESS_COUNT
    ).map(tuple),
    steps=st.lists(_steps, min_size=1, max_size=8).map(tuple),
    checks_grants=st.booleans(),
)


def test_seeded_sequences_keep_the_invariants():
    """Guards against two owners, lost moves and decreasing tokens."""
    assert list(problems(range(SEQUENCES))) == []


@settings(
    derandomize=True,
    max_examples=GENERATED_SEQUENCES,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(_sequences)
def test_generated_sequences_keep_the_invariants(sequence):
    """Guards against the same faults; a failing sequence is minimized."""
    run_sequence(sequence)


@pytest.mark.parametrize('rule', RULES)
def test_missing_rule_is_found(rule):
    """Guards against checks that do not detect a missing rule."""
    assert next(problems(range(SEQUENCES), rule), None) is not None
