"""Command line of ``yuccadaled``."""

import sys

from cleo.application import Application

from yuccadale_router._internal.commands import make_commands

_VERSION = '0.1.0'


def main() -> int:
    """Runs the command line and returns the exit status."""
    application = Application('yuccadaled', _VERSION)
    application.auto_exits(False)
    for command in make_commands():
        application.add(command)
    return application.run() if len(sys.argv) > 1 else _show_help(application)


def _show_help(application: Application) -> int:
    application.find('list').run(application.create_io())
    return 0
