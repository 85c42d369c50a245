"""``yuccadale slow``: the slowest recent requests."""

from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.network import Instances
from yuccadale._internal.tables import table_of_documents


class SlowCommand(InstanceCommand):
    """Shows the slowest recent requests of a service with their hops."""

    name = 'slow'
    arguments: ClassVar[list[Argument]] = [
        argument('service', 'Name of the service.')
    ]
    examples: ClassVar[list[str]] = ['slow ledger -i 127.0.0.1:7300']

    async def report_from(self, instances: Instances) -> Report:
        """Asks all instances; each lists the requests that it received."""
        service = quote(self.argument('service'), safe='')
        answers = await instances.get_all(f'/slow/{service}')
        document = {}
        lines = []
        for address, answer in answers.document_by_address.items():
            document[address] = answer['requests']
            lines.append(f'{address}:')
            lines.extend(table_of_documents(answer['requests']))
        return Report(document, lines + answers.unreachable_lines())


COMMAND = SlowCommand
