"""Requests whose sender is lost before it reports its attempts."""

import asyncio
from functools import partial

import pytest

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import (
    PlatformSystem,
    configuration,
    platform_system,
    route,
)
from yuccadale_edge.instance import Bounds, Instance

_SERVERS = 6
# A request is still at work when its sender has been killed.
_WORK_S = 0.2
_WARM_UP_REQUESTS = 12


class Losses:
    """Loses answers, and then the sender, by the number of the arrival.

    Attributes:
        servers: the servers that the request reached, in order.
    """

    def __init__(
        self, system: PlatformSystem, sender: str, sender_lost_at: int
    ) -> None:
        """Begins to watch the servers.

        Args:
            system: the instances and servers.
            sender: the instance to kill.
            sender_lost_at: it is killed when the request arrives as often;
                answers to earlier arrivals are lost.
        """
        self.servers: list[str] = []
        self._system = system
        self._sender = sender
        self._sender_lost_at = sender_lost_at
        self._kill: asyncio.Task[None] | None = None
        for server in system.server_by_id.values():
            server.work_s = _WORK_S
            server.when_asked = partial(self._arrive, server)

    def _arrive(self, server: PlatformServer) -> None:
        self.servers.append(server.server_id)
        server.drop_answers = len(self.servers) < self._sender_lost_at
        if len(self.servers) == self._sender_lost_at:
            self._kill = asyncio.create_task(self._system.kill(self._sender))


def _sender(name: str, instance: Instance) -> str:
    """Returns the instance through which an instance sends requests."""
    sender = instance._router._forwarder.reachable_sender('stage@north', 'a')
    return name if sender is None else sender.name


async def _find_sender(system: PlatformSystem) -> tuple[str, str]:
    """Returns an instance, and the one through which it sends requests."""
    senders: dict[str, str] = {}

    async def all_agree() -> bool:
        instances = system.instance_by_name
        senders.update(
            {name: _sender(name, one) for name, one in instances.items()}
        )
        return len(set(senders.values())) == 1 and all(
            len(one._system_view.instance_by_name) == len(instances)
            for one in instances.values()
        )

    await system.wait_until(all_agree)
    return next(
        (name, sender) for name, sender in senders.items() if name != sender
    )


async def _lose_sender(
    instances: int,
    max_attempts: int,
    sender_lost_at: int,
    *,
    limit_text: str | None = None,
    bounds: Bounds | None = None,
) -> tuple[int, list[str]]:
    """Sends a request whose sender is lost.

    Returns:
        Its status and the servers that it reached.
    """
    async with platform_system(keyed=0, unkeyed=_SERVERS) as system:
        safe = route(
            prefix='/open/',
            service='stage',
            kind='safe',
            max_attempts=max_attempts,
        )
        system.store.state.put('op', 'config', configuration(2, open=safe))
        for _ in range(instances):
            await system.add_instance(bounds=bounds or Bounds(grace_s=1.5))
        entry, sender = await _find_sender(system)
        for server in system.server_by_id.values():
            server.limit_text = limit_text
        for number in range(_WARM_UP_REQUESTS):
            await _send(system, entry, f'warm-up-{number}')
        losses = Losses(system, sender, sender_lost_at)
        status = await _send(system, entry, 'lost')
        return status, losses.servers


async def _send(system: PlatformSystem, entry: str, request_id: str) -> int:
    status, _, _ = await system.send_request(
        entry, '/open/x', request_id=request_id, method='GET'
    )
    return status


@pytest.mark.parametrize('instances', [2, 3])
@pytest.mark.parametrize('limit_text', [None, '1000'])
async def test_unreported_attempts_count_against_the_route(
    instances: int, limit_text: str | None
) -> None:
    """Guards against a request sent more often than its route allows."""
    status, servers = await _lose_sender(
        instances, 2, sender_lost_at=2, limit_text=limit_text
    )
    assert len(servers) == 2
    assert status == 502


@pytest.mark.parametrize('instances', [2, 3])
@pytest.mark.parametrize(
    ('max_attempts', 'sender_lost_at'), [(2, 1), (3, 1), (3, 2)]
)
async def test_attempts_that_are_left_are_used_after_a_loss(
    instances: int, max_attempts: int, sender_lost_at: int
) -> None:
    """Guards against a failure although the route allows another attempt."""
    status, servers = await _lose_sender(
        instances, max_attempts, sender_lost_at
    )
    assert status == 200
    assert len(servers) == sender_lost_at + 1


async def test_unreported_retries_count_against_the_budget() -> None:
    """Guards against retries that the budget forgets with their sender."""
    one_retry = Bounds(grace_s=1.5, retry_ratio=0, min_retries=6)
    status, servers = await _lose_sender(
        3, 4, sender_lost_at=2, bounds=one_retry
    )
    assert len(servers) == 2
    assert status == 502
