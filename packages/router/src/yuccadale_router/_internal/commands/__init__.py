"""Commands of ``yuccadaled``, one per module."""

from cleo.commands.command import Command

from yuccadale_router._internal.commands.check import CheckCommand
from yuccadale_router._internal.commands.run import RunCommand


def make_commands() -> list[Command]:
    """Returns one object for each command."""
    return [RunCommand(), CheckCommand()]
