"""``yuccadale status``: the state of instances."""

from collections.abc import Mapping
from typing import Any, ClassVar

from yuccadale._internal import exit_status
from yuccadale._internal.command import InstanceCommand, Report
from yuccadale._internal.network import Instances, none_reachable
from yuccadale._internal.tables import format_age, table, table_of_documents

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
    """Shows the given instances, including those that do not answer."""

    name = 'status'
    examples: ClassVar[list[str]] = [
        'status -i 127.0.0.1:7300 -i 127.0.0.1:7301',
        'status --json',
    ]

    async def report_from(self, instances: Instances) -> Report:
        """Gets the status of all instances."""
        answers = await instances.get_all('/status')
        document_by_address = answers.document_by_address
        reason_by_address = answers.reason_by_address
        if not document_by_address:
            raise none_reachable(list(reason_by_address.values()))
        lines = table(
            _HEADER, [_row(answer) for answer in document_by_address.values()]
        )
        lines.extend(answers.unreachable_lines())
        groups = [
            group
            for answer in document_by_address.values()
            for group in answer['groups']
        ]
        if groups:
            lines.extend(['', *table_of_documents(groups)])
        return Report(
            {
                'instances': document_by_address,
                'unreachable': reason_by_address,
            },
            lines,
            exit_status.UNREACHABLE if reason_by_address else exit_status.OK,
        )


def _row(answer: Mapping[str, Any]) -> list[object]:
    reachable = answer['store_reachable']
    store = 'not queried' if reachable is None else 'down'
    return [
        answer['instance']['name'],
        answer['instance']['data_centre'],
        answer['state'],
        format_age(answer['confirmed_age_ms']),
        'reachable' if reachable else store,
        len(answer['peers']),
        len(answer['groups']),
        answer['revisions'],
    ]


COMMAND = StatusCommand
