"""Base classes of the commands: options, output and failures."""

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

JSON_OPTION = option('json', None, 'Print JSON.')
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
        'Seconds to wait for each response.',
        flag=False,
        default=_DEFAULT_TIMEOUT_S,
    ),
)


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    Attributes:
        document: what ``--json`` prints.
        lines: what is printed without ``--json``.
        status: exit status.
    """

    document: Any
    lines: list[str]
    status: int = exit_status.OK


class OfflineCommand(Command):
    """A command that contacts no instance."""

    options: ClassVar[list[Option]] = [JSON_OPTION]
    examples: ClassVar[list[str]] = []

    def configure(self) -> None:
        """Adds the examples to the help."""
        super().configure()
        if self.examples:
            lines = '\n'.join(
                f'  yuccadale {example}' for example in self.examples
            )
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
        """Runs the command; raises ``CommandFailure``."""
        raise NotImplementedError

    def read_file(self, name: str) -> str:
        """Reads a file given on the command line."""
        try:
            return Path(name).read_text(encoding='utf-8')
        except OSError as error:
            reason = error.strerror
        except UnicodeDecodeError:
            reason = 'not UTF-8 text'
        raise CommandFailure(exit_status.USAGE, [f'{name}: {reason}'])

    def progress(self, line: str) -> None:
        """Prints a line at once; nothing with ``--json``."""
        if not self.option('json'):
            self.io.write_line(_escape(line))

    def _print(self, document: Any, lines: list[str]) -> None:
        if self.option('json'):
            self.io.write_line(_escape(json.dumps(document)))
            return
        for line in lines:
            self.io.write_line(_escape(line))

    def _print_failure(self, failure: CommandFailure) -> int:
        if self.option('json'):
            self.io.write_line(_escape(json.dumps(failure.document)))
        for line in failure.lines:
            self.io.write_error_line(_escape(line))
        return failure.status


class InstanceCommand(OfflineCommand):
    """A command that sends requests to instances."""

    options: ClassVar[list[Option]] = [JSON_OPTION, *INSTANCE_OPTIONS]

    def report(self) -> Report:
        """Runs ``report_from`` with the instances of the options."""
        return asyncio.run(self._run_with_instances())

    async def report_from(self, instances: Instances) -> Report:
        """Runs the command; raises ``CommandFailure``."""
        raise NotImplementedError

    async def _run_with_instances(self) -> Report:
        async with Instances(self._addresses(), self._timeout_s()) as instances:
            return await self.report_from(instances)

    def _addresses(self) -> list[str]:
        addresses = self.option('instance')
        if not addresses:
            default = os.environ.get('YUCCADALE_INSTANCES', '')
            addresses = default.replace(',', ' ').split()
        if not addresses:
            raise CommandFailure(
                exit_status.USAGE,
                [
                    'No instance given.',
                    'Give --instance host:port or set YUCCADALE_INSTANCES.',
                ],
            )
        return list(addresses)

    def _timeout_s(self) -> float:
        try:
            return float(self.option('timeout'))
        except ValueError:
            raise CommandFailure(
                exit_status.USAGE, ['--timeout must be a number of seconds.']
            ) from None


def _escape(line: str) -> str:
    """Escapes ``<`` so that cleo does not read ``<name>`` as a style."""
    return line.replace('<', r'\<')
