"""Large bodies on their way to another region."""

import asyncio
import random
from functools import partial
from math import inf
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders.shared_link import (
    PLACE,
    ForwardingInstance,
    SharedLink,
    now_s,
    upload,
)
from tests.builders.virtual_time import VirtualTimeLoop, in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Server, ServerState
from yuccadale_edge._internal.routing import forwarding
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.region_links import (
    Crossing,
    OwnerRefusals,
    RegionWindow,
)
from yuccadale_edge._internal.routing.requests import Refused, Served

_INSTANCES = 31
_SMALL_BYTES = 1200
_CONNECT_TIMEOUT_S = 0.4


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarding, 'elapsed_s', now_s)


async def _load(
    instances: list[ForwardingInstance], per_s: float, for_s: float
) -> list[Refused | Served]:
    """Sends uploads, and small requests beside them; returns the uploads."""
    chance = random.Random(1)
    uploads: list[asyncio.Task] = []
    others: list[asyncio.Task] = []

    async def send(tasks: list[asyncio.Task], rate: float, size: int) -> None:
        end_s = now_s() + for_s
        while now_s() < end_s:
            await asyncio.sleep(chance.expovariate(rate))
            request = upload(size, 2 if size > _SMALL_BYTES else 1)
            forward = chance.choice(instances).forward(request)
            tasks.append(asyncio.create_task(forward))

    await asyncio.gather(
        send(uploads, per_s, 60_000), send(others, 250, _SMALL_BYTES)
    )
    results = await asyncio.gather(*uploads)
    served = await asyncio.gather(*others)
    assert all(isinstance(one, Served) for one in served)
    return results


def _group(link: SharedLink) -> list[ForwardingInstance]:
    chance = random.Random(2)
    return [ForwardingInstance(link, chance) for _ in range(_INSTANCES)]


@in_virtual_time
async def test_a_burst_of_uploads_leaves_room_for_small_requests() -> None:
    """Guards against uploads that fill the link between regions.

    Load: 195 uploads of 60 kB a second for 6 s cross, half of them each way,
    over 30 Mbit/s. Without a window, small requests took up to 3.9 s and
    connections timed out after 0.4 s.
    """
    link = SharedLink()
    results = await _load(_group(link), 98, 6)
    assert max(link.delays_s) < _CONNECT_TIMEOUT_S
    codes = {one.code for one in results if isinstance(one, Refused)}
    assert codes == {ResultCode.region_budget_spent}
    # Over half of what the link carries in 6 s.
    assert sum(isinstance(one, Served) for one in results) > 375 / 2
    returns_s = [
        one.retry_after_s for one in results if isinstance(one, Refused)
    ]
    assert len({round(one, 1) for one in returns_s}) > 5


@in_virtual_time
async def test_a_burst_in_one_direction_is_under_control_in_a_second() -> None:
    """Guards against windows that only together are too large.

    Load: all 195 uploads a second cross in one direction. One body of each of
    31 instances keeps the link full for 0.5 s, so that a pause is needed.
    """
    link = SharedLink()
    group = _group(link)
    await _load(group, 195, 1)
    link.delays_s.clear()
    await _load(group, 195, 5)
    assert max(link.delays_s) < _CONNECT_TIMEOUT_S


@in_virtual_time
async def test_usual_uploads_are_not_refused() -> None:
    """Guards against uploads refused while the link has room.

    Load: 30 uploads of 60 kB a second in one direction, half of the link.
    """
    results = await _load(_group(SharedLink()), 30, 6)
    served = sum(isinstance(one, Served) for one in results)
    assert served > 0.97 * len(results)


@in_virtual_time
async def test_a_link_that_recovers_is_used_again() -> None:
    """Guards against a window that stays small after a lost link.

    Load: connections time out for 4 s while uploads arrive; then the link is
    free. Of 30 uploads a second, most pass in the first 3 s and nearly all
    after that.
    """
    link = SharedLink(reachable=False)
    instances = _group(link)
    for _ in range(40):
        for instance in instances:
            asyncio.create_task(instance.forward(upload()))
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    link.reachable = True
    first = await _load(instances, 30, 3)
    results = await _load(instances, 30, 3)
    for part, uploads in ((0.7, first), (0.95, results)):
        served = sum(isinstance(one, Served) for one in uploads)
        assert served > part * len(uploads)


@in_virtual_time
async def test_repeats_at_once_do_not_cross_to_an_owner_that_refuses() -> None:
    """Guards against refused uploads that clients send again at once.

    Load: one client repeats its upload of 60 kB every 10 ms for 0.7 s; the
    queue of the owner is full and names 0.8 s.
    """
    link = SharedLink(refuse=True)
    instance = ForwardingInstance(link)
    results = []
    for _ in range(70):
        results.append(await instance.forward(upload()))
        await asyncio.sleep(0.01)
    assert len(link.crossed) == 1
    assert {one.code for one in results} == {ResultCode.queue_full}
    assert all((one.retry_after_s or 0) > 0 for one in results)
    assert len({round(one.retry_after_s, 2) for one in results}) > 5
    link.refuse = False
    await asyncio.sleep(0.3)
    assert isinstance(await instance.forward(upload()), Served)


@in_virtual_time
async def test_a_refusal_speaks_for_no_more_urgent_body() -> None:
    """Guards against urgent bodies refused for the queue of others."""
    link = SharedLink(refuse=True)
    instance = ForwardingInstance(link)
    await instance.forward(upload(priority=2))
    await instance.forward(upload(priority=1))
    assert len(link.crossed) == 2
    await instance.forward(upload(priority=1))
    assert len(link.crossed) == 2


@in_virtual_time
async def test_an_owner_is_asked_again_after_a_second() -> None:
    """Guards against a long Retry-After of one caller that counts for all."""
    refusals = OwnerRefusals(now_s)
    holder = Mock()
    refused = Refused(ResultCode.deadline_too_short, '', 30.0)
    refusals.observe(holder, 2, refused)
    await asyncio.sleep(0.9)
    again = refusals.refusal(holder, 2)
    assert again is not None
    assert again.code == ResultCode.deadline_too_short
    await asyncio.sleep(0.2)
    assert refusals.refusal(holder, 2) is None


@in_virtual_time
async def test_waiting_bodies_leave_in_order_of_urgency() -> None:
    """Guards against uploads that go before more urgent large bodies.

    Load: a full window, then a body of priority 2 and one of priority 0.
    """
    link = SharedLink()
    instance = ForwardingInstance(link)
    begun = []

    async def cross(priority: int) -> None:
        crossing = instance.links.crossing(upload(priority=priority), 'c')
        async with crossing as room:
            begun.append((priority, room.refused))
            await asyncio.sleep(0.1)

    await asyncio.gather(cross(1), cross(1), cross(2), cross(0))
    assert begun == [(1, None), (1, None), (0, None), (2, None)]


@in_virtual_time
async def test_a_body_waits_only_as_long_as_it_meets_its_target() -> None:
    """Guards against bodies that wait for room and are then late."""
    instance = ForwardingInstance(SharedLink())
    async with instance.links.crossing(upload(), 'c'):
        async with instance.links.crossing(upload(), 'c'):
            request = upload()
            request.until_target_ms = 100
            async with instance.links.crossing(request, 'c') as late:
                assert now_s() < _CONNECT_TIMEOUT_S
                assert late.refused is not None
            request = upload()
            async with instance.links.crossing(request, 'c') as waited:
                assert now_s() == pytest.approx(0.5)
                assert waited.refused is not None
                assert request.remaining_ms == pytest.approx(5500)
                assert request.until_target_ms == pytest.approx(2500)


@pytest.mark.parametrize('regions', [(), ('south',)])
def test_only_large_bodies_to_another_region_are_held_back(
    regions: tuple[str, ...],
) -> None:
    """Guards against small or local requests refused for a full window.

    Routes that allow one region only are no exception.
    """

    async def scenario() -> None:
        instance = ForwardingInstance(SharedLink())
        async with instance.links.crossing(upload(), 'c'):
            async with instance.links.crossing(upload(), 'c'):
                held = await instance.forward(upload(regions=regions))
                assert isinstance(held, Refused)
                assert held.code == ResultCode.region_budget_spent
                small = upload(16 * 1024, regions=regions)
                assert isinstance(await instance.forward(small), Served)
                near = await instance.forward(upload(), 'b')
                assert isinstance(near, Served)
                assert 'north' not in instance.metrics.text()

    in_virtual_time(scenario)()


@pytest.mark.parametrize(
    ('size', 'data_centre', 'held'),
    [(60_000, 'c', True), (100, 'c', False), (60_000, 'b', False)],
)
def test_own_bodies_to_servers_of_another_region_need_room(
    size: int, data_centre: str, held: bool
) -> None:
    """Guards against bodies that cross without a sender in that region."""

    async def scenario() -> None:
        instance = ForwardingInstance(SharedLink())
        dispatcher = Dispatcher(
            Mock(cold_per_s=lambda _: None),
            Mock(),
            Mock(),
            Mock(),
            PLACE,
            Mock(region_links=instance.links),
            Mock(),
        )
        served = Served(200, [], b'', 'owner', 1, 0, 0)
        dispatcher._queue_and_send = Mock(  # type: ignore[method-assign]
            side_effect=lambda *_: asyncio.sleep(0, served)
        )
        server = Server(
            'owner', 'x', ('h', 1), data_centre, 1, ServerState.ready, 1, 0
        )
        serve = partial(dispatcher._serve_at, server, upload(size), inf)
        assert await serve() is served
        async with instance.links.crossing(upload(), 'c'):
            async with instance.links.crossing(upload(), 'c'):
                result = await serve()
        assert (result is not served) == held

    in_virtual_time(scenario)()


@in_virtual_time
async def test_the_wait_and_the_work_are_no_delay_of_the_link() -> None:
    """Guards against a window that shrinks since servers are slow.

    Load: an owner with a queue of 2 s whose requests work for 1 s.
    """
    link = SharedLink(waited_s=2, worked_s=1)
    instance = ForwardingInstance(link)
    for _ in range(3):
        await asyncio.gather(*(instance.forward(upload()) for _ in range(2)))
    text = instance.metrics.text()
    assert 'yuccadale_region_window{region="south"} 3' in text


@in_virtual_time
async def test_the_delay_of_a_result_is_known_or_not_counted() -> None:
    """Guards against the time of earlier attempts taken for the link's."""
    cases = [
        (Served(200, [], b'', 's', 1, 100, 200), pytest.approx(0.7)),
        (Served(200, [], b'', 's', 2, 100, 200), None),
        (Refused(ResultCode.queue_full, '', waited_ms=300), pytest.approx(0.7)),
        (Refused(ResultCode.server_draining, ''), None),
        (Refused(ResultCode.deadline_passed, ''), inf),
    ]
    for result, delay_s in cases:
        crossing = Crossing(now_s)
        await asyncio.sleep(1)
        crossing.observe_forwarded(result)
        assert crossing.delay_s == delay_s


@pytest.mark.parametrize('failure', ['unreachable', 'lost'])
def test_a_lost_link_counts_as_a_long_delay(failure: str) -> None:
    """Guards against a full link that is not noticed, as nothing returns."""

    async def scenario() -> None:
        link = SharedLink(
            reachable=failure != 'unreachable', lost=failure == 'lost'
        )
        instance = ForwardingInstance(link)
        await instance.forward(upload())
        text = instance.metrics.text()
        assert 'yuccadale_region_window{region="south"} 1.0' in text

    in_virtual_time(scenario)()


def test_a_body_lost_on_its_way_to_a_server_counts_as_a_long_delay() -> None:
    """Guards against own sends that fill the link unnoticed."""
    for code, delay_s in (
        (ResultCode.answer_lost, inf),
        (ResultCode.server_unreachable, inf),
        (ResultCode.queue_full, None),
    ):
        crossing = Crossing(_Clock())
        crossing.observe_sent(Refused(code, ''))
        assert crossing.delay_s == delay_s


@in_virtual_time
async def test_a_caller_that_leaves_as_it_gets_room_gives_it_back() -> None:
    """Guards against room given to a task that is cancelled in that moment."""
    instance = ForwardingInstance(SharedLink())
    holds_room = asyncio.create_task(_cross(instance, 'ends', 9, 2))
    async with instance.links.crossing(upload(), 'c'):
        waits = asyncio.create_task(_cross(instance, 'ends', 9, 2))
        await asyncio.sleep(0.1)
    waits.cancel()
    await asyncio.gather(waits, return_exceptions=True)
    window = instance.links._link_by_region['south'].window
    assert window.on_way == 1
    holds_room.cancel()


class _Clock:
    """A clock that the test sets."""

    now_s: float = 0

    def __call__(self) -> float:
        return self.now_s


def test_requests_that_were_on_their_way_reduce_the_window_once() -> None:
    """Guards against one full moment that counts once for each body."""
    clock = _Clock()
    window = RegionWindow(clock, lambda: 0.5)
    window.bodies = 8
    bodies = [window.begin(60_000) for _ in range(8)]
    clock.now_s = 1
    for body in bodies:
        window.end(body, 1)
    assert window.bodies == 4


def test_a_window_that_is_not_used_does_not_grow() -> None:
    """Guards against a window that grew in quiet times and admits a burst."""
    clock = _Clock()
    window = RegionWindow(clock, lambda: 0.5)
    for _ in range(100):
        window.end(window.begin(60_000), 0.02)
    assert window.bodies == 2


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('begin', 'short', 'long', 'lost', 'cancelled')),
        st.integers(0, 9),
        st.floats(0, 2),
    ),
    max_size=60,
)


@given(events=_EVENTS)
@settings(deadline=None)
def test_each_order_of_events_leaves_the_window_free(
    events: list[tuple[str, int, float]],
) -> None:
    """Guards against room that stays taken after a request has ended.

    Load: any order of begins, ends, timeouts and cancellations, each end twice.
    """
    clock = _Clock()
    window = RegionWindow(clock, lambda: 0.5)
    open_ids: list[int] = []
    delay_by_kind = {'short': 0.01, 'long': 2, 'lost': inf, 'cancelled': None}
    for kind, place, after_s in events:
        clock.now_s += after_s
        if kind == 'begin':
            if not window.room_in_s():
                open_ids.append(window.begin(60_000))
        elif open_ids:
            body_id = open_ids.pop(place % len(open_ids))
            window.end(body_id, delay_by_kind[kind])
            window.end(body_id, delay_by_kind[kind])
        assert window.on_way == len(open_ids)
        assert 1 <= window.bodies <= 16
    for body_id in open_ids:
        window.end(body_id)
    assert window.room_in_s() < 2


async def _cross(
    instance: ForwardingInstance, kind: str, after_s: float, priority: int
) -> None:
    request = upload(priority=priority)
    async with instance.links.crossing(request, 'c') as crossing:
        if crossing.refused is None:
            await asyncio.sleep(after_s)
        if kind == 'fails':
            raise OSError


@given(
    ends=st.lists(
        st.tuples(
            st.sampled_from(('ends', 'fails', 'cancelled')),
            st.sampled_from((0, 0.1, 0.5, 0.6)),
            st.integers(0, 2),
        ),
        min_size=1,
        max_size=12,
    )
)
@settings(deadline=None)
def test_cancelled_requests_give_room_back(
    ends: list[tuple[str, float, int]],
) -> None:
    """Guards against callers that leave and whose bodies keep the window.

    Load: requests that end, fail or are cancelled on their way, while they wait
    or in the moment in which they get room.
    """

    async def scenario() -> None:
        instance = ForwardingInstance(SharedLink())
        tasks = []
        loop = asyncio.get_running_loop()
        for kind, after_s, priority in ends:
            task = asyncio.create_task(
                _cross(instance, kind, after_s, priority)
            )
            tasks.append(task)
            if kind == 'cancelled':
                loop.call_later(after_s, task.cancel)
        await asyncio.gather(*tasks, return_exceptions=True)
        link = instance.links._link_by_region.get('south')
        if link is not None:
            assert link.window.on_way == 0
            assert not link._waiting

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(scenario())
