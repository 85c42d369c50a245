"""Waits until revisions are in force on all instances."""

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass

from yuccadale._internal.network import Answers, Document, Instances
from yuccadale._internal.tables import age

_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class Waited:
    """How a wait ended.

    Attributes:
        instances: number of instances that were watched.
        waited_s: time that the wait took.
        reason_by_address: instances that are behind, and why.
    """

    instances: int
    waited_s: float
    reason_by_address: dict[str, str]


async def wait_in_force(
    instances: Instances,
    revision_by_scope: Mapping[str, int],
    timeout_s: float,
) -> Waited:
    """Polls the instances, and those that they know, until none is behind."""
    started = time.monotonic()
    while True:
        answers = await instances.get_all('/status')
        known = list(instances.addresses)
        _learn_addresses(instances, answers)
        reason_by_address = {
            address: f'cannot be reached: {reason}'
            for address, reason in answers.reason_by_address.items()
        } | _behind(answers, revision_by_scope)
        waited_s = time.monotonic() - started
        complete = known == instances.addresses and not reason_by_address
        if complete or waited_s >= timeout_s:
            return Waited(len(known), waited_s, reason_by_address)
        await asyncio.sleep(_POLL_S)


def _learn_addresses(instances: Instances, answers: Answers) -> None:
    """Adds the peers that instances name; a restart keeps its address."""
    for document in answers.document_by_address.values():
        addresses = [peer['operator_address'] for peer in document['peers']]
        instances.addresses.extend(
            sorted(set(addresses) - {'', *instances.addresses})
        )


def _behind(
    answers: Answers, revision_by_scope: Mapping[str, int]
) -> dict[str, str]:
    return {
        address: reason
        for address, document in answers.document_by_address.items()
        if (reason := _reason(document, revision_by_scope))
    }


def _reason(document: Document, revision_by_scope: Mapping[str, int]) -> str:
    revisions = document['revisions']
    behind = [
        f'{scope} {revisions.get(scope, 0)} of {revision}'
        for scope, revision in revision_by_scope.items()
        if revisions.get(scope, 0) < revision
    ]
    if not behind:
        return ''
    confirmed = age(document['confirmed_age_ms'])
    return (
        f'{document["state"]}; has {", ".join(behind)};'
        f' last confirmed against the table: {confirmed}'
    )
