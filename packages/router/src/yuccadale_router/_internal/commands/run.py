"""``yuccadaled run``: runs an entry instance until SIGTERM."""

import os
from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale_core.settings import SettingsError, load_settings

from yuccadale_router._internal.cli import exit_status


class RunCommand(Command):
    """Runs an entry instance."""

    name = 'run'
    description = 'Run an entry instance until SIGTERM.'
    arguments: ClassVar[list[Argument]] = [
        argument('settings', 'Path of the settings file (INI).')
    ]

    def handle(self) -> int:
        """Runs the daemon; bad settings end it with one clear line."""
        try:
            settings = load_settings(Path(self.argument('settings')))
        except SettingsError as error:
            self.line_error(str(error))
            return exit_status.BAD_SETTINGS
        # uvloop opens an io_uring ring unless this is set before it is loaded.
        os.environ['UV_USE_IO_URING'] = '0'
        import uvloop

        from yuccadale_router._internal.daemon import run_daemon

        try:
            uvloop.run(run_daemon(settings))
        except OSError as error:
            self.line_error(f'cannot start: {error}')
            return exit_status.CANNOT_LISTEN
        return exit_status.OK
