"""What all commands share: options, output and failures."""

import asyncio
import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from yuccadale._internal import exit_status
from yuccadale._internal.failures import CommandFailure
from yuccadale._internal.network import Instances

_DEFAULT_TIMEOUT_S = '5'

JSON_OPTION = option('json', None, 'Print JSON for programs.')
INSTANCE_OPTIONS = (
    option(
        'instance',
        'i',
        'Operator address host:port of an instance; may be repeated.'
        ' Default: YUCCADALE_INSTANCES, separated by commas or spaces.',
        flag=False,
        multiple=True,
    ),
    option(
        'timeout',
        None,
        'Seconds to wait for an answer.',
        flag=False,
        default=_DEFAULT_TIMEOUT_S,
    ),
)


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command, for programs and for people."""

    document: Any
    lines: list[str]
    status: int = exit_status.OK


class OfflineCommand(Command):
    """A command that asks no instance."""

    options: ClassVar[list[Option]] = [JSON_OPTION]
    examples: ClassVar[list[str]] = []

    def configure(self) -> None:
        """Adds the examples to the help."""
        super().configure()
        if self.examples:
            lines = '\n'.join(f'  yuccadale {one}' for one in self.examples)
            self.help = f'Examples:\n{lines}'

    def handle(self) -> int:
        """Runs the command and prints its report or its failure."""
        try:
            report = self.report()
        except CommandFailure as failure:
            return self._print_failure(failure)
        self._print(report.document, report.lines)
        return report.status

    def report(self) -> Report:
        """Does the work; raises ``CommandFailure``."""
        raise NotImplementedError

    def read_file(self, name: str) -> str:
        """Reads a file that the operator named."""
        try:
            return Path(name).read_text(encoding='utf-8')
        except OSError as error:
            reason = error.strerror
        except UnicodeDecodeError:
            reason = 'not UTF-8 text'
        raise CommandFailure(exit_status.USAGE, [f'{name}: {reason}'])

    def progress(self, line: str) -> None:
        """Prints a line for people at once; nothing with ``--json``."""
        if not self.option('json'):
            self.io.write_line(_escaped(line))

    def _print(self, document: Any, lines: list[str]) -> None:
        if self.option('json'):
            self.io.write_line(_escaped(json.dumps(document)))
            return
        for line in lines:
            self.io.write_line(_escaped(line))

    def _print_failure(self, failure: CommandFailure) -> int:
        if self.option('json'):
            self.io.write_line(_escaped(json.dumps(failure.document)))
        for line in failure.lines:
            self.io.write_error_line(_escaped(line))
        return failure.status


class InstanceCommand(OfflineCommand):
    """A command that asks instances."""

    options: ClassVar[list[Option]] = [JSON_OPTION, *INSTANCE_OPTIONS]

    def report(self) -> Report:
        """Runs ``answer`` with the instances that the operator named."""
        return asyncio.run(self._ask())

    async def answer(self, instances: Instances) -> Report:
        """Does the work; raises ``CommandFailure``."""
        raise NotImplementedError

    async def _ask(self) -> Report:
        async with Instances(self._addresses(), self._timeout_s()) as instances:
            return await self.answer(instances)

    def _addresses(self) -> list[str]:
        named = self.option('instance')
        if not named:
            listed = os.environ.get('YUCCADALE_INSTANCES', '')
            named = listed.replace(',', ' ').split()
        if not named:
            raise CommandFailure(
                exit_status.USAGE,
                [
                    'No instance named.',
                    'Give --instance host:port or set YUCCADALE_INSTANCES.',
                ],
            )
        return list(named)

    def _timeout_s(self) -> float:
        try:
            return float(self.option('timeout'))
        except ValueError:
            raise CommandFailure(
                exit_status.USAGE, ['--timeout takes a number of seconds.']
            ) from None


def _escaped(line: str) -> str:
    """Keeps cleo from reading ``<name>`` as a style."""
    return line.replace('<', r'\<')
