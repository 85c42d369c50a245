"""Requests wait for an owner of their key only while one is expected in time.

Load pattern: requests for keys without an owner for 6 s after the leader
changed. They waited for half of their time, and returned after 0.25 s.
"""

import asyncio
from collections import Counter
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import VirtualTimeLoop, in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Place, Server, ServerState
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.owner_waits import (
    OwnerReturns,
    wait_limit_s,
)
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.routing.requests import Refused, RoutedRequest
from yuccadale_edge._internal.routing.server_queue import ServiceTimes
from yuccadale_edge._internal.system_view import (
    OwnedRange,
    SystemView,
    decode_owner,
)
from yuccadale_edge.ownership import KEY_COUNT

LAST_KEY = KEY_COUNT - 1
SERVICE = 'ledger'
TARGET_S = 1.0
TIMEOUT_S = 2.5
# How much later than estimated an owner may be known.
MARGIN_S = 0.5
SLOTS = 2
EPOCH = 3
# Callers return after this time at the earliest.
MIN_RETURN_S = 0.25

# Time since the one before, whether it names an owner, the estimate, and how
# many leaders have led since.
_Update = tuple[float, bool, float, int]


class _Instance:
    """An instance that has been told the owners of keys."""

    def __init__(self) -> None:
        self.view = SystemView(Mock(), Mock(), max_source_age_s=2.0)
        self.view.servers.server_by_id['s'] = Server(
            's', SERVICE, ('s', 1), 'a', SLOTS, ServerState.ready, 1, 0
        )
        self.view.membership_version = (EPOCH, 1)
        self.metrics = Metrics()
        self.router = RequestRouter(
            self.view,
            Mock(service_times=ServiceTimes()),
            Mock(),
            Mock(),
            self.metrics,
            Place('a', 'north', {'a': 'north'}),
            Mock(),
            Mock(),
            Mock(),
        )

    def learn(
        self,
        server_id: str | None,
        available_in_s: float = 0,
        epoch: int = EPOCH,
    ) -> None:
        """Applies an update of a leader."""
        owners = self.view.owners(SERVICE)
        told = OwnedRange(0, LAST_KEY, server_id, 1, available_in_s)
        owners.assign(0, LAST_KEY, decode_owner(told, elapsed_s()))
        owners.version = (epoch, owners.version[1] + 1)
        self.view.wake()

    async def find(self) -> tuple[Refused | None, float]:
        """Looks for the owner of a key; returns the result and the wait."""
        began_s = elapsed_s()
        routed = RoutedRequest(
            request_id='r',
            route='book',
            service=SERVICE,
            method=b'POST',
            target=b'/x',
            headers=[],
            body=b'',
            priority=0,
            repeatable=False,
            remaining_ms=TIMEOUT_S * 1000,
            until_target_ms=TARGET_S * 1000,
            allowed_attempts=1,
            key=7,
        )
        refused = await self.router._find_owner(
            routed, began_s + TIMEOUT_S, began_s + TARGET_S
        )
        if refused is None:
            assert routed.server_id == 's'
        return refused, elapsed_s() - began_s


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


async def _instance() -> _Instance:
    # At the time 0 no server counts as reachable.
    await asyncio.sleep(1)
    return _Instance()


@in_virtual_time
async def test_a_request_is_refused_at_once_if_an_owner_comes_too_late() -> (
    None
):
    """Guards against waits for keys that have no owner for seconds."""
    instance = await _instance()
    instance.learn(None, 3)
    refused, waited_s = await instance.find()
    assert refused is not None
    assert refused.code == ResultCode.slot_moving
    assert not waited_s
    assert refused.retry_after_s is not None
    assert 3 <= refused.retry_after_s <= 3 + TIMEOUT_S / 3 + 0.1


@in_virtual_time
async def test_a_waiting_request_is_refused_when_the_estimate_grows() -> None:
    """Guards against waits that go on after they are known to be in vain."""
    instance = await _instance()
    instance.learn(None, 0.5)
    waiting = asyncio.create_task(instance.find())
    await asyncio.sleep(0.3)
    instance.learn(None, 4)
    refused, waited_s = await waiting
    assert refused is not None
    assert waited_s == pytest.approx(0.3)


@in_virtual_time
async def test_a_request_waits_as_long_as_the_estimate_and_the_target() -> None:
    """Guards against waits for a leader that is silent after its estimate."""
    instance = await _instance()
    instance.learn(None, 0.2)
    refused, waited_s = await instance.find()
    assert refused is not None
    assert waited_s == pytest.approx(TARGET_S)
    instance.learn(None, 0.6)
    refused, waited_s = await instance.find()
    assert refused is not None
    assert waited_s == pytest.approx(0.6 + MARGIN_S)


@in_virtual_time
async def test_a_request_is_sent_as_soon_as_the_owner_is_known() -> None:
    """Guards against an estimate that keeps requests from a known owner."""
    instance = await _instance()
    instance.learn(None, 1)
    waiting = asyncio.create_task(instance.find())
    await asyncio.sleep(0.1)
    instance.learn('s')
    refused, waited_s = await waiting
    assert refused is None
    assert waited_s == pytest.approx(0.1)


@in_virtual_time
async def test_an_estimate_of_an_older_leader_refuses_nothing() -> None:
    """Guards against refusals after a new leader may have found an owner."""
    instance = await _instance()
    instance.learn(None, 5, epoch=EPOCH - 1)
    waiting = asyncio.create_task(instance.find())
    await asyncio.sleep(0.4)
    assert not waiting.done()
    instance.learn('s')
    refused, _ = await waiting
    assert refused is None


@in_virtual_time
async def test_without_an_estimate_requests_wait_for_half_of_their_time() -> (
    None
):
    """Guards against refusals of requests for keys that move as usual."""
    instance = await _instance()
    instance.learn(None)
    refused, waited_s = await instance.find()
    assert refused is not None
    assert waited_s == pytest.approx(TIMEOUT_S / 2)
    # Callers do not return at once to keys that had no owner for long.
    assert refused.retry_after_s == pytest.approx(1)


@in_virtual_time
async def test_metrics_say_how_long_refused_requests_were_held() -> None:
    """Guards against waits in vain that no metric shows."""
    instance = await _instance()
    request = Mock(key=7, request_id='r')
    request.message.arrived_s = elapsed_s() - 2
    refused = Refused(ResultCode.slot_moving, 'no owner', 0.04)
    instance.router._refuse(request, None, refused)
    text = instance.metrics.text()
    assert 'refusal_ms_sum{code="slot_moving"} 2000' in text
    assert 'retry_after_ms_sum{code="slot_moving"} 40' in text


@in_virtual_time
async def test_returns_to_keys_without_an_owner_are_spread() -> None:
    """Guards against callers that all return when the owner is expected.

    Load: 40 instances refuse a request for the same keys each, at times over
    2 s before an owner is expected.
    """
    expected_s = 3.0
    returns_s = []
    for _ in range(40):
        returns = OwnerReturns(elapsed_s)
        await asyncio.sleep(0.05)
        left_s = expected_s - elapsed_s()
        booked_s = returns.book_s(SERVICE, left_s, 0, 10, TIMEOUT_S)
        returns_s.append(elapsed_s() + booked_s)
    assert min(returns_s) >= expected_s
    assert max(returns_s) <= expected_s + TIMEOUT_S / 3 + 0.2
    by_tenth = Counter(int(one * 10) for one in returns_s)
    assert max(by_tenth.values()) <= 40 / 3


@in_virtual_time
async def test_returns_of_one_instance_follow_the_speed_of_the_owner() -> None:
    """Guards against returns that the owner cannot serve one by one.

    Load: one instance refuses 8 requests for the same keys at the same time.
    """
    returns = OwnerReturns(elapsed_s)
    booked_s = sorted(
        returns.book_s(SERVICE, 2, 0, 10, 2 * TIMEOUT_S) for _ in range(8)
    )
    steps_s = [
        later - earlier
        for earlier, later in zip(booked_s[:-1], booked_s[1:], strict=True)
    ]
    assert sorted(steps_s)[4] > 1 / (2 * 10)


@given(
    remaining_s=st.floats(0.1, 10),
    until_target_s=st.floats(-1, 5),
    available_in_s=st.floats(-5, 20),
)
def test_no_request_waits_for_more_than_half_of_its_time(
    remaining_s: float, until_target_s: float, available_in_s: float
) -> None:
    """Guards against waits that leave no time for the answer."""
    limit_s = wait_limit_s(
        started_s=100,
        remaining_s=remaining_s,
        until_target_s=until_target_s,
        available_at_s=100 + available_in_s,
    )
    assert 0 <= limit_s <= remaining_s / 2
    if available_in_s > remaining_s / 2:
        assert not limit_s


@given(
    updates=st.lists(
        st.tuples(
            st.floats(0, 0.5), st.booleans(), st.floats(0, 4), st.integers(0, 2)
        ),
        max_size=12,
    )
)
def test_any_order_of_updates_leads_to_the_owner_or_a_refusal(
    updates: list[_Update],
) -> None:
    """Guards against requests that are held by updates in any order."""

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(_play_updates(updates))


async def _play_updates(updates: list[_Update]) -> None:
    instance = await _instance()
    waiting = asyncio.create_task(instance.find())
    is_owned = False
    for after_s, is_known, available_in_s, age in updates:
        await asyncio.sleep(after_s)
        if is_owned or waiting.done():
            break
        is_owned = is_known
        instance.learn('s' if is_known else None, available_in_s, EPOCH - age)
    refused, waited_s = await waiting
    assert (refused is None) == is_owned
    assert round(waited_s, 6) <= TIMEOUT_S / 2
    if refused is not None:
        assert refused.retry_after_s is not None
        assert refused.retry_after_s >= MIN_RETURN_S
