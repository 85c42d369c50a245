"""The list of known failures covers the tests that it names and no others."""

import sys
from pathlib import Path
from subprocess import run

import pytest

from tests import conftest

_SUITE = """
import pytest

@pytest.mark.parametrize('seed', (1, 2))
def test_seed(seed):
    assert seed == 0
"""


@pytest.mark.parametrize(
    ('entry', 'status', 'printed'),
    [
        ('test_suite.py::test_seed[1]', 1, '1 failed, 1 xfailed'),
        ('test_suite.py::test_seed', 4, 'names no test'),
        ('test_suite.py::test_other[1]', 4, 'names no test'),
    ],
)
def test_only_the_named_case_is_passed_over(
    tmp_path: Path, entry: str, status: int, printed: str
) -> None:
    """Guards against an entry that hides other failures, or nothing."""
    tests = tmp_path / 'tests'
    tests.mkdir()
    source = Path(conftest.__file__).read_text()
    (tests / 'conftest.py').write_text(source)
    (tests / 'test_suite.py').write_text(_SUITE)
    (tmp_path / 'KNOWN-RED.txt').write_text(
        f'tests/{entry}\n  seen: a::b is no test\n'
    )
    finished = run(
        (sys.executable, '-m', 'pytest', '-p', 'no:cacheprovider', 'tests'),
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    output = finished.stdout + finished.stderr
    assert finished.returncode == status, output
    assert printed in output
