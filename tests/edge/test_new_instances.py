"""Which of the instances that start together read the store.

Guards against a link between regions that fills up after all instances lost
power: seed 465990891219 of klatka-gw-grown trouble-1 (RECOVER), where 37
instances read a large configuration over it, gave up and began anew.
"""

import asyncio
from types import MappingProxyType

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.membership.links import PeerUnreachableError
from yuccadale_edge._internal.membership.member import Member
from yuccadale_edge._internal.membership.messages import Elector, LeaderInfo
from yuccadale_edge._internal.membership.reports import Reporter
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge.instance import Place, Settings

ME = ('10.0.0.2', 1)
_REGION_BY_ZONE = MappingProxyType({'a': 'north', 'b': 'south'})


class _RowOfLostLeader:
    """The row that a new instance read; its leader does not answer."""

    def __init__(self, *electors: Elector) -> None:
        self.leader = LeaderInfo(3, 'lost', '10.0.0.9', 1, 7)
        self.row_electors = electors
        self.epoch = 3
        self.row_by_key: dict[str, object] = {}

    def leading(self) -> bool:
        """It follows."""
        return False

    async def look(self) -> None:
        """Reads the same row."""

    async def replaceable(self) -> None:
        """Nobody may lead yet."""


class _NoLinks:
    """Nobody is there; notes who was asked."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, int]] = []

    async def request(
        self, address: tuple[str, int], *_question: object
    ) -> bytes:
        """Fails as a closed port does."""
        self.asked.append(address)
        raise PeerUnreachableError('refused')


def _member(row: _RowOfLostLeader, links: _NoLinks) -> Member:
    place = Place('a', 'north', _REGION_BY_ZONE)
    settings = Settings('new', place, ME, ME, ME, ME, (), ME)
    system_view = SystemView(lambda _: None, lambda *_: None)  # type: ignore
    dispatcher = type('Dispatcher', (), {'service_time_samples': []})
    return Member(
        settings,
        system_view,
        row,  # type: ignore[arg-type]
        links,  # type: ignore[arg-type]
        Broadcaster(settings, system_view, links),  # type: ignore[arg-type]
        Reporter(lambda: None, system_view, dispatcher),  # type: ignore
    )


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


@in_virtual_time
async def test_an_elector_reads_for_its_region_at_once() -> None:
    """Guards against a region in which nobody reads."""
    member = _member(_RowOfLostLeader(Elector(*ME, 'a')), _NoLinks())
    assert not member.should_read_sources()
    await member.follow()
    await asyncio.sleep(0.2)
    assert member.should_read_sources()


@in_virtual_time
async def test_others_ask_the_electors_near_them_first() -> None:
    """Guards against the same rows read over the link by each instance."""
    near, far = Elector('10.0.0.3', 1, 'a'), Elector('10.0.0.4', 1, 'b')
    links = _NoLinks()
    member = _member(_RowOfLostLeader(near, far), links)
    await member.follow()
    assert not member.should_read_sources()
    assert near.address in links.asked
    assert far.address not in links.asked
    # Nobody answers: this instance does not wait for ever.
    await asyncio.sleep(3)
    assert member.should_read_sources()
