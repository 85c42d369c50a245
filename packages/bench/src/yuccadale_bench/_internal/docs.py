"""The command ``docs``: writes the pages that are generated from code."""

import argparse
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType

from yuccadale_bench._internal.docs_codes import codes_page
from yuccadale_bench._internal.docs_declarations import declarations_page

_DIRECTORY = Path('docs/operators')

PAGE_BY_NAME: Mapping[str, Callable[[], str]] = MappingProxyType(
    {'codes.md': codes_page, 'declarations.md': declarations_page}
)


def run_command(arguments: Sequence[str]) -> int:
    """Writes all generated pages to the directory."""
    parser = argparse.ArgumentParser(prog='yuccadale_bench docs')
    parser.add_argument('--directory', type=Path, default=_DIRECTORY)
    directory = parser.parse_args(arguments).directory
    directory.mkdir(parents=True, exist_ok=True)
    for name, make_page in PAGE_BY_NAME.items():
        path = directory / name
        path.write_text(make_page(), encoding='utf-8')
        print(f'wrote {path}')
    return 0
