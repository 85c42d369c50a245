"""``yuccadale check``: checks files offline."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale._internal.command import OfflineCommand, Report


class CheckCommand(OfflineCommand):
    """Checks declaration files and the references between them."""

    name = 'check'
    arguments: ClassVar[list[Argument]] = [
        argument('files', 'Declaration files (INI).', multiple=True)
    ]
    examples: ClassVar[list[str]] = [
        'check examples/klatka/*.ini',
        'check --json places.ini',
    ]

    def report(self) -> Report:
        """Reads the files; checks references if a service file is given."""
        from yuccadale._internal.declarations import check_files, read_files

        names = self.argument('files')
        files = read_files({name: self.read_file(name) for name in names})
        if any(local.scope.startswith('service.') for local in files):
            check_files(files, [])
        return Report(
            {'errors': [], 'scopes': [local.scope for local in files]},
            [f'{local.name}: {local.scope} is valid' for local in files],
        )


COMMAND = CheckCommand
