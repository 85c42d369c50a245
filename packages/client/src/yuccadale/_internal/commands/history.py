"""``yuccadale history``: the submitted revisions."""

from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.network import Instances
from yuccadale._internal.tables import table

_COLUMNS = ('scope', 'revision', 'submitted_by', 'submitted_at', 'write_id')


class HistoryCommand(InstanceCommand):
    """Shows the newest revisions first."""

    name = 'history'
    arguments: ClassVar[list[Argument]] = [
        argument('scope', 'Show only this scope.', optional=True)
    ]
    options: ClassVar[list[Option]] = [
        *InstanceCommand.options,
        option(
            'limit',
            None,
            'Maximum number of revisions of each scope.',
            flag=False,
            default='20',
        ),
    ]
    examples: ClassVar[list[str]] = ['history service.ledger --limit 5']

    async def report_from(self, instances: Instances) -> Report:
        """Gets the history from the first instance that answers."""
        path = f'/history?limit={quote(self.option("limit"), safe="")}'
        if self.argument('scope'):
            path = f'{path}&scope={quote(self.argument("scope"), safe="")}'
        _, document = await instances.get_first(path)
        rows = [
            [revision[column] for column in _COLUMNS]
            for revision in document['revisions']
        ]
        return Report(document, table(_COLUMNS, rows))


COMMAND = HistoryCommand
