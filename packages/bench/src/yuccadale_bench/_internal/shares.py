"""The command ``shares``: shares of tests and of the router's core in lines."""

import argparse
import subprocess
from collections.abc import Sequence
from pathlib import Path

_ROUTER = 'packages/router/src/yuccadale_router/_internal'
# Routing, limits, retries, membership, state and recovery.
_CORE_DIRECTORIES = tuple(
    f'{_ROUTER}/{name}/'
    for name in ('ownership', 'requests', 'configuration', 'placement')
)
_TEST_LIMIT = 1 / 3
_CORE_MINIMUM = 1 / 4


def run_command(arguments: Sequence[str]) -> int:
    """Prints the shares; returns 1 when a share is out of its bound."""
    argparse.ArgumentParser(prog='yuccadale_bench shares').parse_args(arguments)
    paths = _tracked_paths()
    tests = sum(_lines(path) for path in paths if path.startswith('tests/'))
    code = sum(_lines(path) for path in paths if path.startswith('packages/'))
    core = sum(_lines(path) for path in paths if _is_core(path))
    test_share = tests / code
    core_share = core / code
    print(f'code   {code} lines that are not empty')
    print(f'tests  {tests} lines, {test_share:.0%} of the code (below 33%)')
    print(f'core   {core} lines, {core_share:.0%} of the code (25% or more)')
    return int(test_share >= _TEST_LIMIT or core_share < _CORE_MINIMUM)


def _is_core(path: str) -> bool:
    return path.startswith(_CORE_DIRECTORIES)


def _tracked_paths() -> list[str]:
    listed = subprocess.run(
        ['git', 'ls-files', '*.py'], capture_output=True, text=True, check=True
    )
    return listed.stdout.split()


def _lines(path: str) -> int:
    text = Path(path).read_text(encoding='utf-8')
    return sum(bool(line.strip()) for line in text.splitlines())
