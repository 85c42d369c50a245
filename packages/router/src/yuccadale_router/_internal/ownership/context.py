"""Dependencies and helpers shared by all of ownership on one instance."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import xxhash

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import Declaration, Service
from yuccadale_core.instances import GroupId, InstanceRef, ServerRef
from yuccadale_core.platform import ListedInstance
from yuccadale_core.timing import seconds
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import (
    GroupRequestsFactory,
    LeadershipTable,
    Peers,
    Placement,
    TargetFactory,
)
from yuccadale_router._internal.ownership.pacing import PacedTable

PlacementFactory = Callable[[GroupId], Placement]


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server of a group in the platform's list."""

    ref: ServerRef
    leaving: bool


@dataclass(slots=True)
class InstanceContext:
    """Dependencies of ownership, and the platform's newest state.

    Attributes:
        listed: the platform's newest instance list by name; None until one
            was read.
    """

    me: InstanceRef
    table: PacedTable
    peers: Peers
    target_factory: TargetFactory
    requests_factory: GroupRequestsFactory
    placement_factory: PlacementFactory
    leaderships: LeadershipTable
    counters: Counters
    clock: Clock
    rng: random.Random
    declaration: Declaration = field(default_factory=Declaration)
    listed: dict[str, ListedInstance] | None = None

    @property
    def holder(self) -> str:
        """Name and incarnation, as in grants."""
        return f'{self.me.name}/{self.me.incarnation}'

    def service(self, group: GroupId) -> Service | None:
        """Returns the declared service of the group."""
        return self.declaration.service_by_name.get(group.service)

    def checks_grants(self, group: GroupId) -> bool:
        """Says whether the group's servers accept work only under a grant.

        This is assumed for a service that the declaration dropped.
        """
        service = self.service(group)
        return service is None or service.checks_grants

    def listed_servers(self, group: GroupId) -> dict[str, ListedServer]:
        """Returns the servers that the list assigns to the group."""
        service = self.service(group)
        if service is None or self.listed is None:
            return {}
        return {
            instance.name: ListedServer(
                ServerRef(
                    instance.name,
                    instance.address,
                    instance.rack,
                    instance.service,
                ),
                leaving=instance.state == 'leaving',
            )
            for instance in self.listed.values()
            if instance.kind == 'server'
            and instance.service == group.service
            and instance.data_centre == group.data_centre
            and group_number(instance.name, service.groups_per_data_centre)
            == group.number
        }

    def has_ended(self, instance: InstanceRef) -> bool:
        """Says whether a process is known to have ended.

        The platform's list dropped it, an operator declared it lost, or a
        peer of the same name runs with another incarnation.
        """
        if instance.name in self.declaration.lost_instances:
            return True
        if instance.name == self.me.name:
            return instance.incarnation != self.me.incarnation
        centre = self.declaration.data_centre_by_name.get(instance.data_centre)
        if centre is not None and centre.state == 'lost':
            return True
        if self.listed is not None and instance.name not in self.listed:
            return True
        return any(
            peer.name == instance.name
            and peer.incarnation != instance.incarnation
            for peer in self.peers.live_peers()
        )

    def local_peers(self) -> list[InstanceRef]:
        """Returns the live peers of the own data centre."""
        return [
            peer
            for peer in self.peers.live_peers()
            if peer.data_centre == self.me.data_centre
            and peer.name != self.me.name
            and peer.name not in self.declaration.lost_instances
        ]

    def choose_standby(
        self, group: GroupId, *, excluded: frozenset[str]
    ) -> InstanceRef | None:
        """Returns a live instance, preferably in another rack."""
        return min(
            (peer for peer in self.local_peers() if peer.name not in excluded),
            key=lambda peer: (
                peer.rack == self.me.rack,
                rank(group, peer.name),
            ),
            default=None,
        )


def rank(group: GroupId, name: str) -> int:
    """Returns a number that orders instances differently for each group."""
    return xxhash.xxh3_64_intdigest(f'{group}#{name}'.encode())


def group_number(server_name: str, group_count: int) -> int:
    """Returns the group of a server, by rendezvous hashing of its name."""
    return max(
        range(group_count),
        key=lambda number: xxhash.xxh3_64_intdigest(
            f'{number}#{server_name}'.encode()
        ),
    )


class Signal:
    """Wakes every task that waits for the next notification."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all present waiters."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, limit_ms: float) -> None:
        """Returns at the next notification or after the limit."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._event.wait(), seconds(limit_ms))


class TaskSet:
    """Background tasks that are cancelled together."""

    def __init__(self, on_failure: Callable[[], None] | None = None) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_failure = on_failure

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine; a failure is passed to the loop's handler."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    async def stop(self) -> None:
        """Cancels all tasks and waits for their end."""
        tasks = [task for task in self._tasks if not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            if self._on_failure is not None:
                self._on_failure()
            asyncio.get_running_loop().call_exception_handler(
                {
                    'message': 'ownership task failed',
                    'exception': task.exception(),
                    'task': task,
                }
            )
