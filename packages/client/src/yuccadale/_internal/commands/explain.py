"""``yuccadale explain``: explains result codes and logged requests."""

import sys
from collections.abc import Iterator
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from yuccadale_core.codes import CODE_TABLE, ResultCode

from yuccadale._internal import exit_status
from yuccadale._internal.command import JSON_OPTION, OfflineCommand, Report
from yuccadale._internal.failures import CommandFailure
from yuccadale._internal.request_log import describe, read_lines, trace_request
from yuccadale._internal.tables import table


class ExplainCommand(OfflineCommand):
    """Explains a result code, or a request from the log lines about it."""

    name = 'explain'
    arguments: ClassVar[list[Argument]] = [
        argument(
            'subject',
            'Number or name of a code; with --log the id of a request.',
            optional=True,
        )
    ]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option(
            'log',
            None,
            'Log lines of all instances: a file, or - for standard input.',
            flag=False,
        ),
    ]
    examples: ClassVar[list[str]] = [
        'explain 5002',
        'explain queue_full',
        'explain 9c41d07be2a35f68 --log=- < instances.log',
    ]

    def report(self) -> Report:
        """Looks up the code in this version, or the request in the log."""
        subject = self.argument('subject')
        if self.option('log'):
            return self._explain_request(subject or '')
        if not subject:
            return _all_codes()
        for code in CODE_TABLE:
            if subject in {str(int(code)), code.name}:
                return _one_code(code)
        raise CommandFailure(
            exit_status.NOT_FOUND, [f'Unknown result code {subject}.']
        )

    def _explain_request(self, request: str) -> Report:
        trace = trace_request(read_lines(self._log_lines()), request)
        if not trace.steps:
            raise CommandFailure(
                exit_status.NOT_FOUND,
                [f'No log line names request {request!r}.'],
            )
        lines = [f'request {request}']
        lines.extend(f'  {describe(step)}' for step in trace.steps)
        codes = dict.fromkeys(
            step['code'] for step in trace.steps if 'code' in step
        )
        for code in codes:
            lines.extend(_one_code(ResultCode(code)).lines)
        lines.append('related state changes of the instances:')
        lines.extend(f'  {describe(line)}' for line in trace.context)
        if trace.omitted_count_by_event:
            lines.append(
                'omitted from the log in the same period:'
                f' {trace.omitted_count_by_event}'
            )
        document = {
            'request': request,
            'steps': trace.steps,
            'context': trace.context,
            'left_out': trace.omitted_count_by_event,
        }
        return Report(document, lines)

    def _log_lines(self) -> Iterator[str]:
        path = self.option('log')
        if path == '-':
            yield from sys.stdin
        else:
            yield from self.read_file(path).splitlines()


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
