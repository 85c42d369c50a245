"""Finds peers: the platform's list, seeds from the settings, other peers."""

import asyncio
import random

import structlog

from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.platform import InstanceList, ListedInstance

from yuccadale_router._internal.network.peer_links import PeerLinks, pair_rank

_log = structlog.get_logger()
_READ_INTERVAL_S = 5.0
# Spreads the readers after an outage of the platform.
_JITTER_SHARE = 0.5
_RETRY_INTERVAL_S = 1.0
# Links to this many instances of the own data centre and of others stay open;
# at 17,000 instances a link to each would cost each more than all its work.
_NEAR_LINKS = 32
_FAR_LINKS = 8


def listed_reference(listed: ListedInstance) -> InstanceRef:
    """Makes a reference whose incarnation the first heartbeat will tell."""
    return InstanceRef(
        name=listed.name,
        incarnation='',
        data_centre=listed.data_centre,
        rack=listed.rack,
        peer_address=listed.address,
    )


def seed_reference(address: str) -> InstanceRef:
    """Makes a reference to an instance of which only the address is known."""
    return InstanceRef(
        name=address,
        incarnation='',
        data_centre='',
        rack='',
        peer_address=address,
    )


async def follow_instance_list(
    instance_list: InstanceList,
    links: PeerLinks,
    counters: Counters,
    seed_addresses: list[str],
) -> None:
    """Opens links to listed entry instances until cancelled."""
    for address in seed_addresses:
        links.learn(seed_reference(address))
    while True:
        interval_s = await _read_once(instance_list, links, counters)
        await asyncio.sleep(interval_s * random.uniform(1, 1 + _JITTER_SHARE))


async def _read_once(
    instance_list: InstanceList, links: PeerLinks, counters: Counters
) -> float:
    """Reads the list and returns the seconds until the next read."""
    fetched = await instance_list.fetch()
    if fetched.is_error():
        counters.count('platform.list_failed')
        return _RETRY_INTERVAL_S
    for reference in _chosen(fetched.ok, links.me):
        links.learn(reference)
    return _READ_INTERVAL_S


def _chosen(listed: list[ListedInstance], me: InstanceRef) -> list[InstanceRef]:
    """Chooses the peers to open links to before any work needs them."""
    live = [
        listed_reference(instance)
        for instance in listed
        if instance.kind == 'entry' and instance.state == 'live'
    ]
    live.sort(key=lambda reference: pair_rank(me.name, reference.name))
    near = [one for one in live if one.data_centre == me.data_centre]
    far = [one for one in live if one.data_centre != me.data_centre]
    return near[:_NEAR_LINKS] + far[:_FAR_LINKS]
