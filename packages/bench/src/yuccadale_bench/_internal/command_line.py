"""Command line of the package; each command is one module."""

import os
from collections.abc import Callable, Mapping, Sequence
from importlib import import_module
from types import MappingProxyType

Command = Callable[[Sequence[str]], int]
Loader = Callable[[], Command]

_USAGE_STATUS = 2


def _module(name: str) -> Loader:
    """Returns a loader that imports only the module of the command."""

    def load() -> Command:
        return import_module(f'yuccadale_bench._internal.{name}').run_command

    return load


LOADER_BY_NAME: Mapping[str, Loader] = MappingProxyType(
    {
        'capacity': _module('capacity'),
        'configuration': _module('configuration'),
        'control-cost': _module('control_cost'),
        'demo': _module('demo'),
        'docs': _module('docs'),
        'failover': _module('failover'),
        'load': _module('load'),
        'path': _module('path'),
        'placement-cost': _module('placement_cost'),
        'relay': _module('relay'),
        'replay': _module('replay'),
        'replay-weights': _module('replay_weights'),
        'shares': _module('shares'),
        'silent-link': _module('silent_link'),
        'state-cost': _module('state_cost'),
    }
)


def main(arguments: Sequence[str]) -> int:
    """Runs the command named by the first argument; returns its status."""
    # Stops uvloop from opening an io_uring ring when it creates a loop.
    os.environ['UV_USE_IO_URING'] = '0'
    loader = LOADER_BY_NAME.get(arguments[0]) if arguments else None
    if loader is None:
        names = ', '.join(sorted(LOADER_BY_NAME))
        print(f'usage: yuccadale_bench COMMAND; one of {names}')
        return _USAGE_STATUS
    return loader()(arguments[1:])
