"""``yuccadaled check``: checks a settings file and starts nothing."""

from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale_core.settings import SettingsError, load_settings

from yuccadale_router._internal.cli import exit_status


class CheckCommand(Command):
    """Checks a settings file."""

    name = 'check'
    description = 'Check a settings file and start nothing.'
    arguments: ClassVar[list[Argument]] = [
        argument('settings', 'Path of the settings file (INI).')
    ]

    def handle(self) -> int:
        """Prints the settings error, or that the settings are valid."""
        try:
            load_settings(Path(self.argument('settings')))
        except SettingsError as error:
            self.line_error(str(error))
            return exit_status.BAD_SETTINGS
        self.line('The settings are valid.')
        return exit_status.OK
