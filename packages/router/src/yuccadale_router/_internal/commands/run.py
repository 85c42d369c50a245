"""``yuccadaled run``: runs an entry instance until SIGTERM."""

import os
from pathlib import Path
from typing import ClassVar

import pynng
import structlog
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale_core.settings import SettingsError, load_settings

from yuccadale_router._internal.cli import exit_status
from yuccadale_router._internal.log_lines import configure_logging


class RunCommand(Command):
    """Runs an entry instance."""

    name = 'run'
    description = 'Run an entry instance until SIGTERM.'
    arguments: ClassVar[list[Argument]] = [
        argument('settings', 'Path of the settings file (INI).')
    ]

    def handle(self) -> int:
        """Runs the daemon; invalid settings print one line and end it."""
        try:
            settings = load_settings(Path(self.argument('settings')))
        except SettingsError as error:
            self.line_error(str(error))
            return exit_status.BAD_SETTINGS
        configure_logging()
        # Must be set before uvloop is imported, or it opens an io_uring ring.
        os.environ['UV_USE_IO_URING'] = '0'
        import uvloop

        from yuccadale_router._internal.daemon import run_daemon

        try:
            uvloop.run(run_daemon(settings))
        except OSError as error:
            self.line_error(f'cannot start: {error}')
            return exit_status.CANNOT_LISTEN
        except ExceptionGroup as failures:
            return self._report(failures)
        return exit_status.OK

    def _report(self, failures: ExceptionGroup[Exception]) -> int:
        """Reports failed tasks; a failure to listen is one line each."""
        not_listening, others = failures.split((OSError, pynng.NNGException))
        if not_listening is not None:
            for failure in not_listening.exceptions:
                self.line_error(f'cannot start: {failure}')
        if others is None:
            return exit_status.CANNOT_LISTEN
        structlog.get_logger().error('daemon task failed', exc_info=others)
        return exit_status.SOFTWARE
