"""``yuccadale explain``: the meaning of result codes."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale_core.codes import CODE_TABLE, ResultCode

from yuccadale._internal import exit_status
from yuccadale._internal.command import OfflineCommand, Report
from yuccadale._internal.failures import CommandFailure
from yuccadale._internal.tables import table


class ExplainCommand(OfflineCommand):
    """Explains a code by its number or name; lists all without one."""

    name = 'explain'
    arguments: ClassVar[list[Argument]] = [
        argument('code', 'Number or name.', optional=True)
    ]
    examples: ClassVar[list[str]] = ['explain 5002', 'explain queue_full']

    def report(self) -> Report:
        """Looks the code up in the table of this version."""
        wanted = self.argument('code')
        if not wanted:
            return _all_codes()
        for code in CODE_TABLE:
            if wanted in {str(int(code)), code.name}:
                return _one_code(code)
        raise CommandFailure(
            exit_status.NOT_FOUND, [f'There is no code {wanted}.']
        )


def _all_codes() -> Report:
    rows = [
        [int(code), code.name, entry.outcome.value, entry.meaning]
        for code, entry in CODE_TABLE.items()
    ]
    return Report(
        {str(row[0]): row[1] for row in rows},
        table(('code', 'name', 'outcome', 'meaning'), rows),
    )


def _one_code(code: ResultCode) -> Report:
    entry = CODE_TABLE[code]
    document = {
        'code': int(code),
        'name': code.name,
        'status': entry.status,
        'outcome': entry.outcome.value,
        'meaning': entry.meaning,
        'advice': entry.advice,
    }
    lines = [
        f'{int(code)} {code.name} (HTTP {entry.status})',
        f'  Outcome: {entry.outcome.value}',
        f'  {entry.meaning}',
        f'  {entry.advice}',
    ]
    return Report(document, lines)


COMMAND = ExplainCommand
