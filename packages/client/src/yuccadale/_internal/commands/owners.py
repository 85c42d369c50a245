"""``yuccadale owners``: the owner of a key."""

from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.network import Instances
from yuccadale._internal.tables import table


class OwnersCommand(InstanceCommand):
    """Shows slot, group, leader, standby and server of a key."""

    name = 'owners'
    arguments: ClassVar[list[Argument]] = [
        argument('service', 'Name of the service.'),
        argument('key', 'The key, as callers send it in Yuccadale-Key.'),
    ]
    examples: ClassVar[list[str]] = ['owners stagebook stage-7']

    async def report_from(self, instances: Instances) -> Report:
        """Gets the owner from the first instance that answers."""
        service = quote(self.argument('service'), safe='')
        key = quote(self.argument('key'), safe='')
        address, owner = await instances.get_first(f'/owners/{service}/{key}')
        rows = [[name, value] for name, value in owner.items()]
        return Report(owner, table(('answered by', address), rows))


COMMAND = OwnersCommand
