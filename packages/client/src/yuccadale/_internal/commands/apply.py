"""``yuccadale apply``: submits declaration files."""

import os
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from yuccadale._internal import exit_status
from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.failures import CommandFailure
from yuccadale._internal.network import Instances

if TYPE_CHECKING:
    from yuccadale_core.authority import OperatorKey

    from yuccadale._internal.declarations import DeclarationsInForce, LocalFile

_LOST_WARNING = (
    'Declaring something lost asserts that its processes are stopped.',
    'If it is only partitioned, its keys get a second owner.',
    'If you are sure, repeat with --confirm-lost.',
)


class ApplyCommand(InstanceCommand):
    """Submits each file as a whole: services, then places, then intent."""

    name = 'apply'
    arguments: ClassVar[list[Argument]] = [
        argument('files', 'Declaration files (INI).', multiple=True)
    ]
    options: ClassVar[list[Option]] = [
        *InstanceCommand.options,
        option(
            'key',
            'k',
            'Private key file. Default: YUCCADALE_KEY.',
            flag=False,
        ),
        option('wait', 'w', 'Wait until in force on all instances.'),
        option(
            'wait-timeout',
            None,
            'Maximum number of seconds to wait.',
            flag=False,
            default='30',
        ),
        option(
            'confirm-lost',
            None,
            'Confirm that everything declared lost is stopped.',
        ),
        option(
            'base',
            None,
            'Revision that the file is based on. Default: the newest.',
            flag=False,
        ),
        option(
            'submission-id',
            None,
            'Retry a submission whose outcome is unknown; requires --base.',
            flag=False,
        ),
    ]
    examples: ClassVar[list[str]] = [
        'apply --key ana.key examples/klatka/*.ini --wait',
        'apply --key ana.key --base 3 intent.ini',
        'apply --key ana.key --base 3 --submission-id 0f3a... intent.ini',
    ]

    async def report_from(self, instances: Instances) -> Report:
        """Checks all files, then submits them in order."""
        from yuccadale._internal.declarations import (
            check_files,
            fetch_in_force,
            read_files,
        )

        key = self._load_key()
        names = self.argument('files')
        files = read_files({name: self.read_file(name) for name in names})
        self._check_options(files)
        in_force = await fetch_in_force(instances)
        check_files(files, in_force.declaration_by_scope.values())
        self._check_lost(files, in_force)
        committed: list[dict[str, Any]] = []
        for local in files:
            try:
                answer = await self._apply(instances, key, local, in_force)
            except CommandFailure as failure:
                failure.add_committed(committed)
                raise
            if answer:
                committed.append(answer)
        document: dict[str, Any] = {'committed': committed}
        if not self.option('wait'):
            return Report(document, [])
        revision_by_scope = {
            answer['scope']: answer['revision'] for answer in committed
        }
        return await self._wait(instances, revision_by_scope, document)

    async def _apply(
        self,
        instances: Instances,
        key: 'OperatorKey',
        local: 'LocalFile',
        in_force: 'DeclarationsInForce',
    ) -> dict[str, Any] | None:
        from yuccadale_core.authority import Submission

        from yuccadale._internal.declarations import change_lines
        from yuccadale._internal.submitting import submit

        changes = in_force.changes(local)
        base = self._base(local, in_force)
        self.progress(f'{local.name}: {local.scope} on base revision {base}')
        if not changes and not self.option('submission-id'):
            self.progress('  no difference; nothing submitted')
            return None
        for line in change_lines(changes):
            self.progress(line)
        submission = Submission(
            scope=local.scope,
            base_revision=base,
            write_id=self.option('submission-id') or uuid.uuid4().hex,
            operator=key.name,
            text=local.text,
            lost_confirmed=self.option('confirm-lost'),
        )
        answer = await submit(instances, key.sign(submission))
        self.progress(f'  committed as revision {answer["revision"]}')
        return answer

    async def _wait(
        self,
        instances: Instances,
        revision_by_scope: dict[str, int],
        document: dict[str, Any],
    ) -> Report:
        from yuccadale._internal.waiting import wait_in_force

        result = await wait_in_force(
            instances, revision_by_scope, float(self.option('wait-timeout'))
        )
        document['behind'] = result.reason_by_address
        if result.reason_by_address:
            lines = [
                f'{address} is behind: {reason}'
                for address, reason in result.reason_by_address.items()
            ]
            lines.append(
                'Committed; these instances follow once they are reachable.'
            )
            return Report(document, lines, exit_status.NOT_EVERYWHERE)
        line = (
            f'In force on all {result.instance_count} instances'
            f' after {result.waited_s:.1f} s.'
        )
        return Report(document, [line])

    def _load_key(self) -> 'OperatorKey':
        from yuccadale_core.authority import KeyFileError, load_operator_key

        key_file = self.option('key') or os.environ.get('YUCCADALE_KEY')
        if not key_file:
            raise CommandFailure(
                exit_status.USAGE,
                ['No private key: give --key FILE or set YUCCADALE_KEY.'],
            )
        try:
            return load_operator_key(Path(key_file).expanduser())
        except KeyFileError as error:
            raise CommandFailure(exit_status.USAGE, [str(error)]) from error

    def _check_options(self, files: list['LocalFile']) -> None:
        base = self.option('base')
        if self.option('submission-id') and not base:
            raise CommandFailure(
                exit_status.USAGE,
                ['--submission-id requires the --base of that submission.'],
            )
        if base and (len(files) > 1 or not base.isdecimal()):
            raise CommandFailure(
                exit_status.USAGE,
                ['--base must be a revision number and allows only one file.'],
            )

    def _check_lost(
        self, files: list['LocalFile'], in_force: 'DeclarationsInForce'
    ) -> None:
        from yuccadale_core.declaration_ini import newly_lost

        lost: list[str] = []
        for local in files:
            before = in_force.declaration_by_scope.get(local.scope)
            lost += newly_lost(local.scope_file.declaration, before)
        if lost and not self.option('confirm-lost'):
            names = ', '.join(lost)
            raise CommandFailure(
                exit_status.NEEDS_CONFIRMATION,
                [f'Newly declared lost: {names}.', *_LOST_WARNING],
            )

    def _base(self, local: 'LocalFile', in_force: 'DeclarationsInForce') -> int:
        if self.option('base'):
            return int(self.option('base'))
        return in_force.revision_by_scope.get(local.scope, 0)


COMMAND = ApplyCommand
