"""Which of many instances that start at once read the source tables.

Guards against a link between regions that fills up when all instances restart
at once: 37 instances read a large configuration over it, timed out and
started again.
"""

import asyncio
from types import MappingProxyType

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.elector_sets import KnownElectors
from yuccadale_edge._internal.membership.links import PeerUnreachableError
from yuccadale_edge._internal.membership.member import Member
from yuccadale_edge._internal.membership.messages import Elector, LeaderInfo
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge.instance import Place, Settings

ME = ('10.0.0.2', 1)
_REGION_BY_DATA_CENTRE = MappingProxyType({'a': 'north', 'b': 'south'})


class _LostLeadership:
    """A leader's row that a new instance read; its leader is lost."""

    def __init__(self, *electors: Elector) -> None:
        self.leader = LeaderInfo(3, 'lost', '10.0.0.9', 1, 7)
        self.row_electors = electors
        self.known_electors = KnownElectors(elapsed_s)
        self.epoch = 3
        self.row_by_key: dict[str, object] = {}

    def leading(self) -> bool:
        """Returns false: another instance leads."""
        return False

    async def refresh(self) -> None:
        """Does nothing: the row has not changed."""

    async def replaceable_version(self) -> None:
        """Returns None: the leader may not be replaced yet."""


class _UnreachableLinks:
    """Links to unreachable peers; records the addresses of requests."""

    def __init__(self) -> None:
        self.requested_addresses: list[tuple[str, int]] = []

    async def request(
        self, address: tuple[str, int], *_request: object
    ) -> bytes:
        """Fails like a connection to a closed port."""
        self.requested_addresses.append(address)
        raise PeerUnreachableError('refused')


def _member(leadership: _LostLeadership, links: _UnreachableLinks) -> Member:
    place = Place('a', 'north', _REGION_BY_DATA_CENTRE)
    settings = Settings('new', place, ME, ME, ME, ME, (), ME)
    system_view = SystemView(
        lambda _: None,  # type: ignore[arg-type, return-value]
        lambda *_: None,  # type: ignore[arg-type, return-value]
        max_source_age_s=2.0,
    )
    dispatcher = type('Dispatcher', (), {'service_time_samples': []})
    return Member(
        settings,
        system_view,
        leadership,  # type: ignore[arg-type]
        links,  # type: ignore[arg-type]
        Broadcaster(settings, system_view, links),  # type: ignore[arg-type]
        Reporter(lambda: None, system_view, dispatcher),  # type: ignore
        Metrics(),
    )


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


@in_virtual_time
async def test_new_elector_reads_for_its_region_at_once() -> None:
    """Guards against a region in which no instance reads the tables."""
    member = _member(_LostLeadership(Elector(*ME, 'a')), _UnreachableLinks())
    assert not member.should_read_sources()
    await member.follow()
    await asyncio.sleep(0.2)
    assert member.should_read_sources()


@in_virtual_time
async def test_new_instance_asks_electors_of_its_region_first() -> None:
    """Guards against each instance reading the same rows over the link."""
    same_region, other_region = (
        Elector('10.0.0.3', 1, 'a'),
        Elector('10.0.0.4', 1, 'b'),
    )
    links = _UnreachableLinks()
    member = _member(_LostLeadership(same_region, other_region), links)
    await member.follow()
    assert not member.should_read_sources()
    assert same_region.address in links.requested_addresses
    assert other_region.address not in links.requested_addresses
    # Without a response this instance reads the tables itself.
    await asyncio.sleep(3)
    assert member.should_read_sources()
