"""``yuccadale diff``: compares files with the revisions in force."""

from dataclasses import asdict
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale._internal import exit_status
from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.network import Instances


class DiffCommand(InstanceCommand):
    """Shows what files would change; exits with 1 if they differ."""

    name = 'diff'
    arguments: ClassVar[list[Argument]] = [
        argument('files', 'Declaration files (INI).', multiple=True)
    ]
    examples: ClassVar[list[str]] = ['diff -i 127.0.0.1:7300 intent.ini']

    async def report_from(self, instances: Instances) -> Report:
        """Compares each file with its scope in force."""
        from yuccadale._internal.declarations import (
            change_lines,
            fetch_in_force,
            read_files,
        )

        names = self.argument('files')
        files = read_files({name: self.read_file(name) for name in names})
        in_force = await fetch_in_force(instances)
        document = {}
        lines = []
        for local in files:
            changes = in_force.changes(local)
            revision = in_force.revision_by_scope.get(local.scope, 0)
            document[local.scope] = {
                'revision': revision,
                'changes': [asdict(change) for change in changes],
            }
            lines.append(f'{local.scope}, revision {revision} in force:')
            lines.extend(change_lines(changes) or ['  no difference'])
        differs = any(scope['changes'] for scope in document.values())
        status = exit_status.DIFFERENT if differs else exit_status.OK
        return Report(document, lines, status)


COMMAND = DiffCommand
