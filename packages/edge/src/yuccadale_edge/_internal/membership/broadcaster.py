"""Broadcasts to the other instances, with one message per other region."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

from yuccadale_edge._internal.membership.links import PeerLinks
from yuccadale_edge._internal.membership.messages import (
    LEADER_UPDATE_TOPIC,
    RELAY_TOPIC,
)
from yuccadale_edge._internal.model import Settings
from yuccadale_edge._internal.system_view import (
    Instance,
    SystemView,
    most_capable_first,
)

_log = structlog.get_logger()


class Broadcaster:
    """Sends messages to groups of instances."""

    def __init__(
        self, settings: Settings, system_view: SystemView, links: PeerLinks
    ) -> None:
        self._name = settings.instance
        self._place = settings.place
        self._system_view = system_view
        self._links = links
        self._tasks: set[asyncio.Task[None]] = set()

    def peers(self) -> list[Instance]:
        """Returns all instances except this one."""
        return [
            one
            for one in self._system_view.instance_by_name.values()
            if one.name != self._name
        ]

    def region_peers(self) -> list[Instance]:
        """Returns the other instances of this instance's region."""
        return [
            one
            for one in self.peers()
            if self._place.distance(one.data_centre) <= 1
        ]

    def broadcast(
        self,
        body: bytes,
        topic: str = LEADER_UPDATE_TOPIC,
        relay_topic: str = RELAY_TOPIC,
    ) -> int:
        """Sends a message to all other instances.

        To save traffic between regions, one instance of each other region
        receives the message and relays it to the rest of its region.

        Args:
            body: the message.
            topic: its topic.
            relay_topic: its topic for an instance that relays it.

        Returns:
            To how many instances this one sends it by itself.
        """
        receivers = 0
        members_by_region: dict[str, list[Instance]] = {}
        region_of = self._place.region_by_data_centre
        for instance in self.peers():
            region = region_of.get(instance.data_centre, '')
            if region == self._place.region:
                receivers += 1
                self.start_task(self._send(instance, topic, body))
            else:
                members_by_region.setdefault(region, []).append(instance)
        for members in members_by_region.values():
            self.start_task(
                self._send_to_region(members, body, topic, relay_topic)
            )
        return receivers + len(members_by_region)

    def broadcast_in_region(self, topic: str, body: bytes) -> None:
        """Sends a message to the other instances of this region."""
        for instance in self.region_peers():
            self.start_task(self._send(instance, topic, body))

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    def choose_relay(members: list[Instance]) -> Instance:
        """Returns the instance that relays updates to its region."""
        return min(members, key=most_capable_first)

    async def _send_to_region(
        self,
        members: list[Instance],
        body: bytes,
        topic: str,
        relay_topic: str,
    ) -> None:
        relay = self.choose_relay(members)
        if await self._links.notify(relay.address, relay_topic, body):
            return
        _log.info(
            'relay not reached, sending to each instance of its region',
            peer=relay.name,
            members=len(members),
        )
        for instance in members:
            if instance != relay:
                await self._send(instance, topic, body)

    async def _send(self, instance: Instance, topic: str, body: bytes) -> None:
        await self._links.notify(instance.address, topic, body)
