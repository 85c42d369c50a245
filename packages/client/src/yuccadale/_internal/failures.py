"""Failures that end a command, with their messages and exit status."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from yuccadale_core.codes import ResultCode

from yuccadale._internal import exit_status

_STATUS_BY_CODE: Mapping[int, int] = MappingProxyType(
    {
        ResultCode.declaration_invalid: exit_status.INVALID_DECLARATION,
        ResultCode.base_revision_outdated: exit_status.OUTDATED,
        ResultCode.revision_unknown: exit_status.NOT_FOUND,
        ResultCode.service_unknown: exit_status.NOT_FOUND,
        ResultCode.submission_outcome_unknown: exit_status.OUTCOME_UNKNOWN,
        ResultCode.platform_unavailable: exit_status.PLATFORM_DOWN,
        ResultCode.not_authorised: exit_status.NOT_AUTHORISED,
    }
)


class CommandFailure(Exception):
    """Ends a command.

    Attributes:
        status: exit status.
        lines: what is printed on standard error.
        document: what ``--json`` prints on standard output.
    """

    def __init__(
        self,
        status: int,
        lines: list[str],
        document: Mapping[str, Any] | None = None,
    ) -> None:
        super().__init__('\n'.join(lines))
        self.status = status
        self.lines = lines
        self.document = document or {'error': lines[0]}

    def add_committed(self, committed: list[dict[str, Any]]) -> None:
        """Adds the files that the same command has committed already."""
        self.document = {**self.document, 'committed': committed}
        self.lines.extend(
            f'Committed before: {answer["scope"]} revision {answer["revision"]}'
            for answer in committed
        )


def failure_from_problem(
    address: str, problem: Mapping[str, Any]
) -> CommandFailure:
    """Returns the failure for a problem document of an instance."""
    code = int(problem.get('code', -1))
    lines = [
        f'{address} refused the request ({code} {problem.get("name", "")}):'
        f' {problem.get("title", "no reason given")}',
        f'  {problem.get("detail", "")}',
    ]
    lines.extend(
        f'  {_error_line(error)}' for error in problem.get('errors', ())
    )
    changes = problem.get('changes', ())
    if changes:
        lines.append('  Changed since the base revision:')
        lines.extend(f'    {change_line(change)}' for change in changes)
    if problem.get('advice'):
        lines.append(f'  {problem["advice"]}')
    status = _STATUS_BY_CODE.get(code, exit_status.REFUSED)
    return CommandFailure(status, lines, problem)


def change_line(change: Mapping[str, str]) -> str:
    """Returns a line that describes a changed key or section."""
    location = f'[{change["section"]}]'
    if change['key']:
        location = f'{location} {change["key"]}'
    old = change['old'] or '(none)'
    new = change['new'] or '(none)'
    return f'{location}: {old} -> {new}'


def _error_line(error: Mapping[str, Any]) -> str:
    location = f'{error["file"]}:{error["line"]}: [{error["section"]}]'
    found = ascii(error['found']) if error['found'] else 'nothing'
    return (
        f'{location} {error["key"]} found {found}, allowed: {error["allowed"]}'
    )
