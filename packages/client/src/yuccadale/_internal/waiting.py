"""Waits until revisions are in force on all instances."""

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass

from yuccadale._internal.network import Answers, Document, Instances
from yuccadale._internal.tables import format_age

_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class WaitResult:
    """Result of waiting for revisions to be in force.

    Attributes:
        instance_count: number of instances that were polled.
        waited_s: duration of the wait.
        reason_by_address: why each late instance is behind.
    """

    instance_count: int
    waited_s: float
    reason_by_address: dict[str, str]


async def wait_in_force(
    instances: Instances,
    revision_by_scope: Mapping[str, int],
    timeout_s: float,
) -> WaitResult:
    """Polls the instances and their peers until none is behind."""
    started = time.monotonic()
    while True:
        answers = await instances.get_all('/status')
        polled_addresses = list(instances.addresses)
        _add_peer_addresses(instances, answers)
        reason_by_address = {
            address: f'cannot be reached: {reason}'
            for address, reason in answers.reason_by_address.items()
        } | _reasons_behind(answers, revision_by_scope)
        waited_s = time.monotonic() - started
        complete = (
            polled_addresses == instances.addresses and not reason_by_address
        )
        if complete or waited_s >= timeout_s:
            return WaitResult(
                len(polled_addresses), waited_s, reason_by_address
            )
        await asyncio.sleep(_POLL_INTERVAL_S)


def _add_peer_addresses(instances: Instances, answers: Answers) -> None:
    """Adds the peers that instances list.

    A restarted instance keeps its address, so it is polled only once.
    """
    for document in answers.document_by_address.values():
        addresses = [peer['operator_address'] for peer in document['peers']]
        instances.addresses.extend(
            sorted(set(addresses) - {'', *instances.addresses})
        )


def _reasons_behind(
    answers: Answers, revision_by_scope: Mapping[str, int]
) -> dict[str, str]:
    return {
        address: reason
        for address, document in answers.document_by_address.items()
        if (reason := _reason_behind(document, revision_by_scope))
    }


def _reason_behind(
    document: Document, revision_by_scope: Mapping[str, int]
) -> str:
    revisions = document['revisions']
    behind = [
        f'{scope} {revisions.get(scope, 0)} of {revision}'
        for scope, revision in revision_by_scope.items()
        if revisions.get(scope, 0) < revision
    ]
    if not behind:
        return ''
    confirmed = format_age(document['confirmed_age_ms'])
    return (
        f'{document["state"]}; has {", ".join(behind)};'
        f' last confirmed against the store: {confirmed}'
    )
