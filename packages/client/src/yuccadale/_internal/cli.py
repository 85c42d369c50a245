"""The command line: names, summaries and loaders of all commands."""

import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from importlib import import_module
from types import MappingProxyType

from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

_VERSION = '0.1.0'


@dataclass(frozen=True, slots=True)
class CommandEntry:
    """A command: its summary and the module that implements it."""

    summary: str
    module: str

    def load(self) -> Command:
        """Imports the module and creates the command."""
        module = import_module(f'yuccadale._internal.commands.{self.module}')
        command: Command = module.COMMAND()
        command.description = self.summary
        return command


COMMANDS: Mapping[str, CommandEntry] = MappingProxyType(
    {
        'apply': CommandEntry(
            'Submit declaration files; returns after the commit.', 'apply'
        ),
        'check': CommandEntry(
            'Check declaration files without contacting an instance.', 'check'
        ),
        'counters': CommandEntry('Show the counters of instances.', 'counters'),
        'diff': CommandEntry(
            'Compare declaration files with the revisions in force.', 'diff'
        ),
        'explain': CommandEntry('Explain a result code.', 'explain'),
        'history': CommandEntry(
            'Show who submitted which revision, and when.', 'history'
        ),
        'keygen': CommandEntry("Generate an operator's key pair.", 'keygen'),
        'owners': CommandEntry('Show who owns a key of a service.', 'owners'),
        'show': CommandEntry('Print a scope of the declaration.', 'show'),
        'slow': CommandEntry(
            'Show the slowest recent requests of a service.', 'slow'
        ),
        'status': CommandEntry('Show the state of instances.', 'status'),
    }
)


def make_application() -> Application:
    """Creates the application; commands are imported when they are used."""
    application = Application('yuccadale', _VERSION)
    application.auto_exits(False)
    loaders: dict[str, Callable[[], Command]] = {
        name: entry.load for name, entry in COMMANDS.items()
    }
    application.set_command_loader(FactoryCommandLoader(loaders))
    return application


def main() -> None:
    """Runs the command line of this process and exits with its status."""
    sys.exit(make_application().run())
