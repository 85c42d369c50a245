"""``yuccadale status``: the state of instances."""

from collections.abc import Mapping
from typing import Any, ClassVar

from yuccadale._internal import exit_status
from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.network import Instances, none_reachable
from yuccadale._internal.tables import age, table, table_of_documents

_HEADER = (
    'instance',
    'data centre',
    'state',
    'confirmed',
    'store',
    'peers',
    'groups',
    'revisions',
)


class StatusCommand(InstanceCommand):
    """Shows the instances that were named, also those without an answer."""

    name = 'status'
    examples: ClassVar[list[str]] = [
        'status -i 127.0.0.1:7300 -i 127.0.0.1:7301',
        'status --json',
    ]

    async def answer(self, instances: Instances) -> Report:
        """Asks all instances at once."""
        answers = await instances.get_all('/status')
        reached = answers.document_by_address
        silent = answers.reason_by_address
        if not reached:
            raise none_reachable(list(silent.values()))
        lines = table(_HEADER, [_row(answer) for answer in reached.values()])
        lines.extend(answers.silent_lines())
        groups = [
            group for answer in reached.values() for group in answer['groups']
        ]
        if groups:
            lines.extend(['', *table_of_documents(groups)])
        return Report(
            {'instances': reached, 'unreachable': silent},
            lines,
            exit_status.UNREACHABLE if silent else exit_status.OK,
        )


def _row(answer: Mapping[str, Any]) -> list[object]:
    reachable = answer['store_reachable']
    store = 'not asked' if reachable is None else 'down'
    return [
        answer['instance']['name'],
        answer['instance']['data_centre'],
        answer['state'],
        age(answer['confirmed_age_ms']),
        'reachable' if reachable else store,
        len(answer['peers']),
        len(answer['groups']),
        answer['revisions'],
    ]


COMMAND = StatusCommand
