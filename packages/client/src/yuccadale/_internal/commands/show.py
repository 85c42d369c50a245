"""``yuccadale show``: the text of a scope."""

from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale._internal import exit_status
from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.failures import CommandFailure
from yuccadale._internal.network import Instances


class ShowCommand(InstanceCommand):
    """Prints a scope as it was submitted."""

    name = 'show'
    arguments: ClassVar[list[Argument]] = [
        argument('scope', 'service.<name>, places or intent.'),
        argument('revision', 'Default: the one in force.', optional=True),
    ]
    examples: ClassVar[list[str]] = [
        'show intent > intent.ini',
        'show service.ledger 3',
    ]

    async def report_from(self, instances: Instances) -> Report:
        """Gets the scope from the first instance that answers."""
        scope = self.argument('scope')
        if self.argument('revision'):
            number = quote(self.argument('revision'), safe='')
            path = f'/revisions/{quote(scope, safe="")}/{number}'
            _, revision = await instances.get_first(path)
            return _report(revision)
        _, document = await instances.get_first('/declarations')
        for revision in document['scopes']:
            if revision['scope'] == scope:
                return _report(revision)
        in_force = ', '.join(entry['scope'] for entry in document['scopes'])
        raise CommandFailure(
            exit_status.NOT_FOUND,
            [f'{scope} is not in force; in force: {in_force or "nothing"}'],
        )


def _report(revision: dict[str, str]) -> Report:
    return Report(revision, revision['text'].rstrip('\n').split('\n'))


COMMAND = ShowCommand
