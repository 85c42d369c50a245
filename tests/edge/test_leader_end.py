"""What a leader still sends to servers when its term ends.

Guards against a key with two holders: the next leader assumes that the calls of
the one before it have ended, except those that it knows of.
"""

import asyncio
from math import inf
from types import SimpleNamespace
from unittest.mock import Mock

import msgspec
import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_edge._internal.membership.leader import Leader
from yuccadale_edge._internal.membership.messages import UnconfirmedGrants
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.manager import OwnershipManager
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge.instance import Machine, OwnershipCall
from yuccadale_edge.ownership import KEY_COUNT, Holder

HOLDER = Holder('s', 1)
LEASE_S = 4.5
# More calls to one server than are sent at the same time.
_RANGES = 16
_ANSWER_S = 0.7
_TERM_S = 0.3


class _SlowServer:
    """Answers each grant after a while.

    Attributes:
        sent_s: when each grant was sent.
    """

    def __init__(self) -> None:
        self.sent_s: list[float] = []

    async def grant(
        self, _address: object, _call: OwnershipCall, _lease_s: float, may_send
    ) -> None:
        """Sends the grant and waits for its answer."""
        assert may_send()
        self.sent_s.append(_now_s())
        await asyncio.sleep(_ANSWER_S)

    async def release(self, *_call: object) -> None:
        """Is not used."""


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _system_view() -> SystemView:
    return SystemView(
        lambda _: None,  # type: ignore[arg-type, return-value]
        lambda *_: None,  # type: ignore[arg-type, return-value]
        max_source_age_s=2.0,
    )


def _manager(calls: _SlowServer) -> OwnershipManager:
    """Returns a manager with a grant of each range due, which may act."""
    manager = OwnershipManager(
        'ledger',
        1,
        _system_view(),
        calls,
        lambda: True,
        Mock(return_value=False),
        lambda: inf,
        Mock(),
        Mock(),
        Metrics(),
        LEASE_S,
        Mock(),
    )
    size = KEY_COUNT // _RANGES
    for first in range(0, KEY_COUNT, size):
        manager.table.plan(first, first + size - 1, HOLDER)
    manager.table.mark_recorded(manager.table.reserve_fences())
    manager._runner.address_by_holder[HOLDER] = ('127.0.0.1', 1)
    return manager


@in_virtual_time
async def test_no_waiting_call_is_sent_after_a_leader_resigned() -> None:
    """Guards against grants that are sent while a resignation is stored.

    Calls that waited for others to the same server were still sent then,
    although the next leader may lead already.
    """
    calls = _SlowServer()
    manager = _manager(calls)
    running = asyncio.create_task(manager.run())
    await asyncio.sleep(_TERM_S)
    ended_s = _now_s()
    await manager.finish_calls()
    await asyncio.sleep(LEASE_S)
    running.cancel()
    assert calls.sent_s and max(calls.sent_s) <= ended_s


@in_virtual_time
async def test_no_waiting_call_is_sent_in_a_later_term() -> None:
    """Guards against calls of an earlier term by a leader that leads again.

    Their fences are of that term, and the keys may have gone elsewhere since.
    """
    calls = _SlowServer()
    manager = _manager(calls)
    leader = _leader(manager)
    await leader.lead()
    ended_s = _now_s()
    await asyncio.sleep(LEASE_S)
    assert calls.sent_s and max(calls.sent_s) <= ended_s


@in_virtual_time
async def test_a_term_that_ends_with_an_error_is_not_continued() -> None:
    """Guards against fences that are used twice.

    The managers of a term know what was sent in it. New ones in the same term
    would begin with an old record and the first fence.
    """
    leader = _leader(_manager(_SlowServer()))
    leader._update_roster = Mock(  # type: ignore[method-assign]
        side_effect=ZeroDivisionError
    )
    with pytest.raises(ZeroDivisionError):
        await leader.lead()
    assert leader._leadership.deposed


@in_virtual_time
async def test_a_report_that_arrives_before_the_keys_are_loaded_counts() -> (
    None
):
    """Guards against keys that move for a lease after each new leader.

    The previous leader reports its unconfirmed grants when it hears of the new
    one, which has read no record of keys then.
    """
    manager = _manager(_SlowServer())
    replaced = Mock()
    manager.replace_assumed_grants = replaced  # type: ignore[method-assign]
    leader = _leader(manager)
    report = UnconfirmedGrants(0, 'ledger', [])
    leader.handle_unconfirmed_grants(msgspec.msgpack.encode(report))
    await leader.lead()
    replaced.assert_called_once_with(0, [])


def _leader(manager: OwnershipManager) -> Leader:
    """Returns a leader for a short term, which seems to lead again after it."""

    async def end_term() -> None:
        await asyncio.sleep(_TERM_S)

    leadership = SimpleNamespace(
        epoch=1,
        version=1,
        leader=Mock(),
        deposed=False,
        leading=lambda: True,
        may_plan=Mock(return_value=False),
        keep_renewing=end_term,
        extend_by_promises=end_term,
    )
    system_view = _system_view()
    leader = Leader(
        Mock(instance='i0', machine=Machine()),
        system_view,
        leadership,  # type: ignore[arg-type]
        *(Mock() for _ in range(5)),
        Metrics(),
        Mock(),
    )
    leader.draining = True
    leader._maintain_roster = end_term  # type: ignore[method-assign]
    leader._update_roster = Mock()  # type: ignore[method-assign]
    system_view.keyed_services = Mock(  # type: ignore[method-assign]
        return_value=['ledger']
    )
    leader._create_manager = lambda _: manager  # type: ignore[method-assign]
    return leader
