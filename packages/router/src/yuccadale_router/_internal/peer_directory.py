"""Discovers peers from the platform's instance list and configured seeds."""

import asyncio
import random

import structlog

from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.platform import InstanceList, ListedInstance

from yuccadale_router._internal.network.peer_links import PeerLinks, pair_rank

_log = structlog.get_logger()
_READ_INTERVAL_S = 5.0
# Spreads reads after an outage of the platform: up to this share is added to
# an interval.
_JITTER_SHARE = 0.5
_RETRY_INTERVAL_S = 1.0
# Links are kept open to this many instances of the own data centre and of
# others. At 17,000 instances, links to all would cost an instance more than all
# its other work.
_LOCAL_LINKS = 32
_REMOTE_LINKS = 8


def listed_reference(listed: ListedInstance) -> InstanceRef:
    """Makes a reference; the first heartbeat supplies the incarnation."""
    return InstanceRef(
        name=listed.name,
        incarnation='',
        data_centre=listed.data_centre,
        rack=listed.rack,
        peer_address=listed.address,
    )


def seed_reference(address: str) -> InstanceRef:
    """Makes a reference to an instance with only its address known."""
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
        links.add_peer(seed_reference(address))
    while True:
        interval_s = await _read_once(instance_list, links, counters)
        await asyncio.sleep(interval_s * random.uniform(1, 1 + _JITTER_SHARE))


async def _read_once(
    instance_list: InstanceList, links: PeerLinks, counters: Counters
) -> float:
    """Adds listed peers; returns the seconds until the next read."""
    fetched = await instance_list.fetch()
    if fetched.is_error():
        counters.count('platform.list_failed')
        return _RETRY_INTERVAL_S
    for reference in _select_peers(fetched.ok, links.me):
        links.add_peer(reference)
    return _READ_INTERVAL_S


def _select_peers(
    listed: list[ListedInstance], me: InstanceRef
) -> list[InstanceRef]:
    """Selects the peers whose links are opened in advance."""
    live = [
        listed_reference(instance)
        for instance in listed
        if instance.kind == 'entry' and instance.state == 'live'
    ]
    live.sort(key=lambda reference: pair_rank(me.name, reference.name))
    local = [peer for peer in live if peer.data_centre == me.data_centre]
    remote = [peer for peer in live if peer.data_centre != me.data_centre]
    return local[:_LOCAL_LINKS] + remote[:_REMOTE_LINKS]
