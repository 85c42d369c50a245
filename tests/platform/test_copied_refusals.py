"""Servers that send a refusal a second time, after the request came again."""

import asyncio
import itertools
from dataclasses import dataclass

import pytest

from tests.builders.copied_refusals import CopiedRefusals
from tests.builders.platform_system import (
    PlatformSystem,
    configuration,
    platform_system,
    route,
)

_REQUESTS = 120
_REPEATED = 25
_GAP_S = 0.01
_WITHIN_WORK_S = 0.002
_PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclass
class Outcome:
    """What became of the requests of one run.

    Attributes:
        refused: ids of requests that ran, and whose caller was told that they
            did not.
        repeated: ids of requests that ran more than once.
        served: number of requests that were served.
    """

    refused: list[str]
    repeated: list[str]
    served: int


async def _send_all(
    system: PlatformSystem, names: list[str], path: str
) -> dict[str, int]:
    """Sends unsafe requests to all instances; returns statuses by id."""
    status_by_id: dict[str, int] = {}

    async def send(name: str, number: int) -> None:
        request_id = f'{name}-{number}'
        status, _, _ = await system.send_request(
            name, path, key=number, request_id=request_id
        )
        status_by_id[request_id] = status

    async with asyncio.TaskGroup() as group:
        turns = zip(itertools.cycle(names), range(_REQUESTS), strict=False)
        for name, number in turns:
            group.create_task(send(name, number))
            await asyncio.sleep(_GAP_S)
    return status_by_id


async def _play(copies: CopiedRefusals, attempts: int) -> Outcome:
    """Sends requests through two instances to a server that sends copies."""
    async with platform_system(keyed=1) as system:
        system.store.state.put(
            'op', 'config', configuration(2, keyed=route(max_attempts=attempts))
        )
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until_served(name, 0)
        server = system.server_by_id['k0']
        server.copied_refusals = copies
        status_by_id = await _send_all(system, names, '/keyed/x')
        executions = server.executions
    statuses = status_by_id.items()
    return Outcome(
        [one for one, status in statuses if _is_false(status, executions[one])],
        [one for one in status_by_id if executions[one] > 1],
        sum(status == 200 for status in status_by_id.values()),
    )


def _is_false(status: int, executions: int) -> bool:
    return status in _PROMISES_NOT_RUN and executions > 0


@pytest.mark.parametrize('status', [503, 429, 421, 400])
@pytest.mark.parametrize('attempts', [2, 3])
@pytest.mark.parametrize('after_s', [0, _WITHIN_WORK_S])
async def test_the_copy_of_a_refusal_does_not_answer_a_later_attempt(
    status: int, attempts: int, after_s: float
) -> None:
    """Guards against a refusal of a request that runs, or runs twice.

    The copy bears the request's id, also while the request is under way again.
    """
    copies = CopiedRefusals(status, each=3, after_s=after_s)
    outcome = await _play(copies, attempts)
    assert sum(copies.came_again.values()) > 5
    assert not outcome.refused
    assert not outcome.repeated


@pytest.mark.parametrize('status', [503, 421])
@pytest.mark.parametrize('after_s', [0, _WITHIN_WORK_S])
async def test_a_copy_does_not_answer_a_request_that_callers_send_again(
    status: int, after_s: float
) -> None:
    """Guards against a refusal of a request that runs.

    The caller sends the id again that was refused, three times at once and
    through two instances. Each time counts as a request.
    """
    copies = CopiedRefusals(status, each=1, after_s=after_s)
    async with platform_system(keyed=1) as system:
        system.store.state.put(
            'op', 'config', configuration(2, keyed=route(max_attempts=1))
        )
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until_served(name, 0)
        server = system.server_by_id['k0']
        server.copied_refusals = copies
        for number in range(_REPEATED):
            request_id = f'again-{number}'
            statuses = [await _send_again(system, names[0], number)]
            statuses += await asyncio.gather(
                *(
                    _send_again(system, entry, number)
                    for entry in (*names, names[0])
                )
            )
            assert statuses.count(200) == server.executions[request_id]
    assert sum(copies.came_again.values()) > _REPEATED


async def _send_again(system: PlatformSystem, name: str, number: int) -> int:
    status, _, _ = await system.send_request(
        name, '/keyed/x', key=number, request_id=f'again-{number}'
    )
    return status
