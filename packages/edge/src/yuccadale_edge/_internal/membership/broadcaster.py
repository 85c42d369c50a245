"""Sends news to the other instances, into another region only once."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

from yuccadale_edge._internal.system_view import SystemView, Instance
from yuccadale_edge._internal.membership.links import PeerLinks
from yuccadale_edge._internal.membership.messages import NEWS_TOPIC, RELAY_TOPIC
from yuccadale_edge._internal.model import Settings

_log = structlog.get_logger()


class Broadcaster:
    """The ways from this instance to all others."""

    def __init__(
        self, settings: Settings, system_view: SystemView, links: PeerLinks
    ) -> None:
        self._name = settings.instance
        self._place = settings.place
        self._system_view = system_view
        self._links = links
        self._tasks: set[asyncio.Task[None]] = set()

    def peers(self) -> list[Instance]:
        """Returns all instances but this one."""
        return [
            one
            for one in self._system_view.instance_by_name.values()
            if one.name != self._name
        ]

    def near(self) -> list[Instance]:
        """Returns all other instances of the own region."""
        return [
            one
            for one in self.peers()
            if self._place.distance(one.data_centre) <= 1
        ]

    def tell_all(self, body: bytes) -> None:
        """Sends news of the leader to all others."""
        far_by_region: dict[str, list[Instance]] = {}
        region_of = self._place.region_by_data_centre
        for instance in self.peers():
            region = region_of.get(instance.data_centre, '')
            if region == self._place.region:
                self.start(self._tell(instance, NEWS_TOPIC, body))
            else:
                far_by_region.setdefault(region, []).append(instance)
        for members in far_by_region.values():
            self.start(self._tell_far(members, body))

    def tell_near(self, topic: str, body: bytes) -> None:
        """Sends to all other instances of the own region."""
        for instance in self.near():
            self.start(self._tell(instance, topic, body))

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs something beside, until it ends by itself."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell_far(self, members: list[Instance], body: bytes) -> None:
        relay = min(members)
        if await self._links.tell(relay.address, RELAY_TOPIC, body):
            return
        _log.info('relay not reached', peer=relay.name, members=len(members))
        for instance in members:
            if instance != relay:
                await self._tell(instance, NEWS_TOPIC, body)

    async def _tell(self, instance: Instance, topic: str, body: bytes) -> None:
        await self._links.tell(instance.address, topic, body)
