"""Instances of one region that forward bodies over a shared link."""

import asyncio
import random
from dataclasses import dataclass, field
from unittest.mock import Mock

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerUnreachableError,
)
from yuccadale_edge._internal.model import Place
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.forwarding import (
    Forwarder,
    decode_request,
)
from yuccadale_edge._internal.routing.region_links import RegionLinks
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
    Served,
)

_ONE_WAY_S = 0.008
PLACE = Place('a', 'north', {'a': 'north', 'b': 'north', 'c': 'south'})


def now_s() -> float:
    """Returns the virtual time."""
    return asyncio.get_running_loop().time()


def upload(
    size: int = 60_000, priority: int = 2, regions: tuple[str, ...] = ()
) -> RoutedRequest:
    """Returns a request for a key whose owner is in the other region."""
    return RoutedRequest(
        'r',
        'upload',
        'x',
        b'POST',
        b'/',
        [],
        b'x' * size,
        priority,
        False,
        6000,
        3000,
        1,
        1,
        'owner',
        1,
        regions=regions,
    )


@dataclass(slots=True)
class SharedLink:
    """One direction of the link: everything leaves in order of arrival.

    Attributes:
        bits_per_s: its capacity.
        refuse: whether the queue of the owner is full.
        reachable: whether connections can be made.
        lost: whether links are lost after a request was sent.
        worked_s: time of a request at its server.
        waited_s: time of a request in the queue of the owner.
        connect_s: time until the link is open.
        remaining_ms: of the requests that were sent.
        crossed: large bodies by the second in which they were sent.
        delays_s: of small requests.
    """

    bits_per_s: float = 30e6
    refuse: bool = False
    reachable: bool = True
    lost: bool = False
    worked_s: float = 0.26
    waited_s: float = 0
    connect_s: float = 0
    remaining_ms: list[float] = field(default_factory=list)
    crossed: list[float] = field(default_factory=list)
    delays_s: list[float] = field(default_factory=list)
    _free_s: float = 0

    async def transfer(self, size: int) -> float:
        """Waits until bytes have arrived; returns the time taken."""
        sent_s = now_s()
        self._free_s = max(self._free_s, sent_s) + size * 8 / self.bits_per_s
        await asyncio.sleep(self._free_s - sent_s + _ONE_WAY_S)
        return now_s() - sent_s

    async def connect(self, _address: object) -> None:
        """Replaces ``PeerLinks.connect``."""
        await asyncio.sleep(self.connect_s)

    async def request(
        self, _address: object, _topic: str, body: bytes, *_: object
    ) -> Result:
        """Replaces ``PeerLinks.request``."""
        self.remaining_ms.append(decode_request(body).remaining_ms)
        if self.lost:
            raise LinkLostError('closed')
        if not self.reachable:
            await asyncio.sleep(0.4)
            raise PeerUnreachableError('no connection within 0.4 s')
        if len(decode_request(body).body) > 16 * 1024:
            self.crossed.append(now_s())
        took_s = await self.transfer(len(body))
        if len(body) < 16 * 1024:
            self.delays_s.append(took_s)
        if self.refuse:
            await asyncio.sleep(_ONE_WAY_S)
            return Refused(ResultCode.queue_full, '', 0.8, waited_ms=0)
        await asyncio.sleep(self.waited_s + self.worked_s + _ONE_WAY_S)
        return Served(
            200, [], b'', 'owner', 1, self.waited_s * 1000, self.worked_s * 1000
        )


class ForwardingInstance:
    """An instance with the product's forwarder.

    Attributes:
        links: limits its large bodies.
        metrics: its counters.
    """

    def __init__(
        self, link: SharedLink, chance: random.Random | None = None
    ) -> None:
        self.metrics = Metrics()
        self._forwarder = Forwarder(
            Mock(), link, self.metrics, PLACE, 'i', Mock()
        )
        chance = chance or random.Random(1)
        self.links = RegionLinks(PLACE, self.metrics, now_s, chance.random)
        self._forwarder.region_links = self.links

    async def forward(
        self, request: RoutedRequest, data_centre: str = 'c'
    ) -> Result | None:
        """Forwards a request to an instance in a data centre."""
        peer = Mock(address=('peer', 1), data_centre=data_centre)
        peer.name = 'peer'
        return await self._forwarder.forward(peer, request)
