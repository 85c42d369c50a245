"""The commands by name; each is imported only when it runs."""

from collections.abc import Callable, Mapping, Sequence
from importlib import import_module
from types import MappingProxyType

Command = Callable[[Sequence[str]], int]


def _in_module(name: str) -> Callable[[], Command]:
    def load() -> Command:
        command: Command = import_module(
            f'yuccadale_bench._internal.{name}'
        ).main
        return command

    return load


LOADER_BY_COMMAND: Mapping[str, Callable[[], Command]] = MappingProxyType(
    {
        'replay': _in_module('replay'),
    }
)


def run_command(arguments: Sequence[str]) -> int:
    """Runs the command named first; returns its exit status."""
    name = arguments[0] if arguments else ''
    load = LOADER_BY_COMMAND.get(name)
    if load is None:
        print(f'usage: python -m yuccadale_bench {"|".join(LOADER_BY_COMMAND)}')
        return 2
    return load()(arguments[1:])
