"""``yuccadale counters``: the counters of instances."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.network import Instances
from yuccadale._internal.tables import table


class CountersCommand(InstanceCommand):
    """Shows counters side by side, one column for each instance."""

    name = 'counters'
    arguments: ClassVar[list[Argument]] = [
        argument(
            'prefix',
            'Show only names that start with this prefix.',
            optional=True,
        )
    ]
    examples: ClassVar[list[str]] = ['counters refusal.', 'counters --json']

    async def report_from(self, instances: Instances) -> Report:
        """Gets the counters of all instances."""
        answers = await instances.get_all('/counters')
        prefix = self.argument('prefix') or ''
        document = {
            address: {
                name: count
                for name, count in answer.items()
                if name.startswith(prefix)
            }
            for address, answer in answers.document_by_address.items()
        }
        names = sorted(
            {name for counts in document.values() for name in counts}
        )
        lines = table(
            ('counter', *document),
            [
                [name, *(counts.get(name, 0) for counts in document.values())]
                for name in names
            ],
        )
        return Report(document, lines + answers.unreachable_lines())


COMMAND = CountersCommand
