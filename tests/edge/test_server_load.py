"""Which server gets a request, by what servers report of their load."""

import asyncio
import random
from contextlib import ExitStack
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.loaded_servers import (
    QUEUE_PLACES,
    SLOTS,
    TARGET_S,
    TIMEOUT_S,
    LoadedServer,
    Sender,
    capacity_per_s,
    loaded_servers,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.codec import (
    InvalidLoadError,
    ServerLoad,
)
from yuccadale_edge._internal.routing.load_choice import LoadChoice
from yuccadale_edge._internal.routing.load_reports import PROBE_INTERVAL_S
from yuccadale_edge._internal.routing.requests import Refused, Result, Served
from yuccadale_edge._internal.routing.second_attempts import first_result
from yuccadale_edge._internal.routing.server_load import ServerLoads
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_platform._internal.requests import PlatformCodec

HOLDER = Holder('s', 1)
ROUTE = 'read'
MEAN_S = 0.2
SPEEDS = (0.6, 1.0, 1.4)
WARM_UP_S = 4.0
MOST = 0.99


class _Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def _known_loads(clock: _Clock) -> ServerLoads:
    """Returns loads that know the mean time of the route."""
    loads = ServerLoads(clock)
    for _ in range(20):
        _serve(loads, clock, MEAN_S)
    return loads


def _serve(loads: ServerLoads, clock: _Clock, took_s: float) -> None:
    with loads.in_flight(HOLDER, ROUTE, SLOTS) as in_flight:
        clock.now_s += took_s
        in_flight.answered = True


def test_the_slots_that_others_use_are_left_to_them() -> None:
    """Guards against two senders that together fill a server twice."""
    loads = ServerLoads(_Clock())
    assert loads.concurrency(HOLDER, SLOTS, 2) == SLOTS
    loads.observe(HOLDER, ServerLoad(1, 0, SLOTS))
    assert loads.concurrency(HOLDER, SLOTS, 2) == 3


def test_own_requests_do_not_count_as_those_of_others() -> None:
    """Guards against a sender that leaves the slots it uses itself free."""
    loads = ServerLoads(_Clock())
    with (
        loads.in_flight(HOLDER, ROUTE, SLOTS),
        loads.in_flight(HOLDER, ROUTE, SLOTS),
    ):
        loads.observe(HOLDER, ServerLoad(1, 0, SLOTS), ended=1)
        assert loads.concurrency(HOLDER, SLOTS, 2) == SLOTS


def test_a_sender_keeps_its_part_of_a_full_server() -> None:
    """Guards against a sender that the other one keeps from all slots."""
    loads = ServerLoads(_Clock())
    loads.observe(HOLDER, ServerLoad(4, 4, SLOTS))
    assert loads.concurrency(HOLDER, SLOTS, 2) == 2
    assert loads.concurrency(HOLDER, SLOTS, 9) == 1


def test_an_old_report_is_not_believed() -> None:
    """Guards against a full or slow server that is avoided for ever."""
    clock = _Clock()
    loads = ServerLoads(clock)
    loads.observe(HOLDER, ServerLoad(4, 4, 2, 2.0))
    # Seven requests before it have two slots.
    assert loads.expected_s(HOLDER, MEAN_S, SLOTS, 0) == pytest.approx(
        (2 * MEAN_S * 7 / 2, 2 * MEAN_S)
    )
    clock.now_s += 1.01
    assert loads.expected_s(HOLDER, MEAN_S, SLOTS, 0) == (0, MEAN_S)
    assert loads.concurrency(HOLDER, SLOTS, 2) == SLOTS


def test_an_overdue_request_counts_before_its_answer() -> None:
    """Guards against a slow server that gets requests until it answers."""
    clock = _Clock()
    loads = _known_loads(clock)
    with loads.in_flight(HOLDER, ROUTE, SLOTS):
        clock.now_s += MEAN_S * 2
        assert loads.slowness(HOLDER) == pytest.approx(1)
        clock.now_s += MEAN_S * 4
        assert loads.slowness(HOLDER) == pytest.approx(6)
        assert loads.concurrency(HOLDER, SLOTS) == 1
        clock.now_s += MEAN_S * 6
        assert loads.slowness(HOLDER) == pytest.approx(12)
        loads.observe(HOLDER, ServerLoad(1, 0, SLOTS, 12.0))
        # The pace explains the age.
        assert loads.slowness(HOLDER) == pytest.approx(12)


def test_the_wait_for_a_slot_is_expected() -> None:
    """Guards against a server that looks slow since others have filled it."""
    clock = _Clock()
    loads = _known_loads(clock)
    loads.observe(HOLDER, ServerLoad(SLOTS, 7, SLOTS))
    with loads.in_flight(HOLDER, ROUTE, SLOTS):
        clock.now_s += MEAN_S * 4
        assert not loads.is_delayed(HOLDER)
        clock.now_s += MEAN_S * 6
        assert loads.is_delayed(HOLDER)


def test_one_long_request_does_not_make_a_server_slow() -> None:
    """Guards against a server that is avoided for the tail of one request."""
    clock = _Clock()
    loads = _known_loads(clock)
    with loads.in_flight(HOLDER, ROUTE, SLOTS):
        clock.now_s += MEAN_S
        for _ in range(5):
            _serve(loads, clock, MEAN_S)
        assert loads.slowness(HOLDER) == pytest.approx(1)


def test_work_that_takes_three_times_as_long_is_no_incident() -> None:
    """Guards against usable servers that get one request at a time."""
    loads = ServerLoads(_Clock())
    loads.observe(HOLDER, ServerLoad(1, 0, SLOTS, 3.0))
    assert not loads.is_slow(HOLDER)
    assert loads.concurrency(HOLDER, SLOTS) == 3
    loads.observe(HOLDER, ServerLoad(1, 0, SLOTS, 12.0))
    assert loads.is_slow(HOLDER)


def test_a_server_that_was_slow_is_tried_with_one_request() -> None:
    """Guards against a server that fills again before it has recovered."""
    clock = _Clock()
    loads = _known_loads(clock)
    _serve(loads, clock, MEAN_S * 12)
    assert loads.slowness(HOLDER) == pytest.approx(12)
    clock.now_s += 2.01
    assert loads.slowness(HOLDER) == pytest.approx(1)
    assert loads.concurrency(HOLDER, SLOTS) == 1
    _serve(loads, clock, MEAN_S)
    assert loads.concurrency(HOLDER, SLOTS) == SLOTS


def test_times_under_a_slow_pace_do_not_change_the_mean() -> None:
    """Guards against all servers that look slow after some were slow."""
    clock = _Clock()
    loads = _known_loads(clock)
    for _ in range(50):
        loads.observe(HOLDER, ServerLoad(1, 0, SLOTS, 2.0))
        _serve(loads, clock, MEAN_S * 2)
        loads.observe(HOLDER, ServerLoad(1, 0, SLOTS, 2.0))
    assert loads.mean_s(ROUTE, 0) == pytest.approx(MEAN_S)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 1000),
            st.integers(0, 9),
            st.integers(0, 16),
            st.floats(0.01, 100),
        ),
        min_size=1,
        unique_by=lambda one: one[0],
    ),
    st.randoms(),
)
def test_the_latest_report_holds_in_any_order(
    reports: list[tuple[int, int, int, float]], shuffler: random.Random
) -> None:
    """Guards against a late report that replaces a newer one."""
    clock = _Clock()
    in_order, shuffled = ServerLoads(clock), ServerLoads(clock)
    for at_ms, running, waiting, pace in sorted(reports):
        load = ServerLoad(running, waiting, SLOTS, pace)
        in_order.observe(HOLDER, load, 100 + at_ms / 1000)
    shuffler.shuffle(reports)
    for at_ms, running, waiting, pace in reports:
        load = ServerLoad(running, waiting, SLOTS, pace)
        shuffled.observe(HOLDER, load, 100 + at_ms / 1000)
    clock.now_s += 1
    assert in_order.state(HOLDER) == shuffled.state(HOLDER)
    assert 1 <= shuffled.concurrency(HOLDER, SLOTS, 2) <= SLOTS


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        (b'3,0,4', ServerLoad(3, 0, 4, 1.0)),
        (b' 4, 16, 4, 1200 ', ServerLoad(4, 16, 4, 12.0)),
        (b'0,0,4,50', ServerLoad(0, 0, 4, 0.5)),
    ],
)
def test_a_load_is_read(text: bytes, load: ServerLoad) -> None:
    """Guards against reports that are not understood."""
    answer = Answer(200, [(b'x-server-load', text)])
    assert PlatformCodec().reported_load(answer) == load


@pytest.mark.parametrize(
    'texts',
    [
        (b'',),
        (b'3,0',),
        (b'3,0,0',),
        (b'3,0,4,0',),
        (b'-1,0,4',),
        (b'1,0,4,1e3',),
        (b'1,0,4,100,5',),
        (b'%b,0,4' % (b'9' * 400),),
        (b'1,0,4', b'2,0,4'),
    ],
)
def test_an_unreadable_load_is_rejected(texts: tuple[bytes, ...]) -> None:
    """Guards against a malformed report that keeps requests from a server."""
    answer = Answer(200, [(b'x-server-load', text) for text in texts])
    with pytest.raises(InvalidLoadError):
        PlatformCodec().reported_load(answer)


@pytest.fixture
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)
    random.seed(1)


async def _two_senders(
    server_by_id: dict[str, LoadedServer], warm_up_load: float = 0.5
) -> tuple[Sender, Sender]:
    """Returns senders that know the servers and the times of the route."""
    # At the time 0 no server counts as reachable.
    await asyncio.sleep(1)
    senders = Sender(server_by_id, 'a'), Sender(server_by_id, 'b')
    await _load(senders, capacity_per_s(server_by_id) * warm_up_load, WARM_UP_S)
    for sender in senders:
        sender.results.clear()
    for server in server_by_id.values():
        server.queued = 0
        server.received.clear()
    return senders


async def _load(
    senders: tuple[Sender, ...], per_s: float, for_s: float
) -> None:
    await asyncio.gather(
        *(sender.load(per_s / len(senders), for_s) for sender in senders)
    )


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_requests_of_two_senders_hardly_wait_at_servers() -> None:
    """Guards against 4 slots that get 4 requests from each sender."""
    servers = loaded_servers(20, speeds=SPEEDS)
    senders = await _two_senders(servers)
    await _load(senders, capacity_per_s(servers) * 0.7, 5)
    received = sum(len(server.received) for server in servers.values())
    queued = sum(server.queued for server in servers.values())
    assert queued < received / 10
    in_target = [sender.in_target() for sender in senders]
    assert min(in_target) > MOST


@pytest.mark.usefixtures('_virtual_clock')
@pytest.mark.parametrize(
    ('reports', 'least_in_target'), [('bare', 0.95), ('pace', 0.99)]
)
@in_virtual_time
async def test_slow_servers_get_few_requests(
    reports: str, least_in_target: float
) -> None:
    """Guards against 40% of the servers, 12 times slower for 9 s."""
    servers = loaded_servers(20, reports=reports, speeds=SPEEDS)
    senders = await _two_senders(servers)
    slow = [
        server
        for number, server in enumerate(servers.values())
        if number % 5 < 2
    ]
    for server in slow:
        server.pace = 12
    per_s = capacity_per_s(servers) * 0.4
    noticed_s = elapsed_s() + 2
    await _load(senders, per_s, 9)
    in_target = [one.in_target(noticed_s) for one in senders]
    assert min(in_target) > least_in_target
    assert all(one.probed for one in slow)
    for server in slow:
        server.pace = 1
        server.received.clear()
    await _load(senders, per_s, 3)
    received = sum(len(one.received) for one in slow)
    # At least half of an even share.
    assert received > per_s * 3 * len(slow) / len(servers) / 2


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_a_server_is_asked_at_most_twice_a_second() -> None:
    """Guards against probes that add to the load of a slow server."""
    servers = loaded_servers(4)
    await asyncio.sleep(1)
    sender = Sender(servers, 'a')
    await sender.load(30, WARM_UP_S)
    servers['s000'].pace = 12
    # Its answers do not show when it was asked last.
    servers['s000'].reports = 'none'
    servers['s000'].probed.clear()
    await sender.load(30, 6)
    probed_s = servers['s000'].probed
    assert len(probed_s) > 4
    assert all(
        later_s - earlier_s >= PROBE_INTERVAL_S
        for earlier_s, later_s in zip(probed_s, probed_s[1:], strict=False)
    )


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_a_burst_is_refused_early_and_served_in_time() -> None:
    """Guards against 2.6 times the capacity that is served after its target."""
    servers = loaded_servers(20, speeds=SPEEDS)
    senders = await _two_senders(servers)
    capacity = capacity_per_s(servers)
    await _load(senders, capacity * 2.6, 4)
    requests = sum(len(sender.results) for sender in senders)
    in_time = sum(
        sender.in_target() * len(sender.results) for sender in senders
    )
    # Most of the capacity is used for answers in time.
    assert in_time > requests / 2.6 * 0.75
    assert not any(server.waiting for server in servers.values())


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_a_request_that_no_server_completes_is_refused_at_once() -> None:
    """Guards against requests held that cannot be answered in time."""
    servers = loaded_servers(4)
    senders = await _two_senders(servers)
    for server in servers.values():
        server.pace = 50
    await _load(senders, 20, 3)
    for sender in senders:
        sender.results.clear()
        await asyncio.gather(
            *(sender.request(number) for number in range(20, 40))
        )
        refusals = sender.refusals()
        assert len(refusals) == 20
        assert {one.code for one, _ in refusals} == {
            ResultCode.deadline_too_short
        }
        assert max(took_s for _, took_s in refusals) < TARGET_S / 8
        returns = [one.retry_after_s or 0 for one, _ in refusals]
        # The returns are spread over what the servers can do.
        assert max(returns) > min(returns) + 1


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_queues_of_other_senders_count_for_the_refusal() -> None:
    """Guards against requests for servers that others have filled."""
    servers = loaded_servers(4)
    sender, _ = await _two_senders(servers)
    for server_id in servers:
        load = ServerLoad(SLOTS, QUEUE_PLACES, SLOTS, 3.0)
        sender.dispatcher.loads.observe(Holder(server_id, 1), load)
    await asyncio.sleep(0.2)
    result = await sender.request(0)
    assert isinstance(result, Refused)
    assert result.code == ResultCode.deadline_too_short
    assert not any(server.received for server in servers.values())


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_requests_leave_the_queue_of_a_server_that_became_slow() -> None:
    """Guards against requests held for a server that will not run them."""
    servers = loaded_servers(4)
    await asyncio.sleep(1)
    sender = Sender(servers, 'a')
    load = asyncio.create_task(sender.load(capacity_per_s(servers) * 1.2, 6))
    await asyncio.sleep(WARM_UP_S)
    servers['s000'].pace = 12
    await load
    assert sender.metrics.value(
        'requests_moved_from_slow_servers', service='open'
    )


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_reports_that_do_not_count_change_nothing() -> None:
    """Guards against the load of another server, or one that is unreadable."""
    sender = Sender(loaded_servers(1), 'a')
    reports = sender.dispatcher._load_reports
    server = Mock(server_id='s000', incarnation=1, service='open')
    reports.observe(server, Answer(421, [(b'x-server-load', b'1,0,4')]))
    reports.observe(server, Answer(200, [(b'x-server-load', b'many')]))
    reports.observe(server, Answer(200, []))
    assert not sender.dispatcher.loads.reports(Holder('s000', 1))
    assert sender.metrics.value('invalid_server_loads', service='open') == 1
    reports.observe(server, Answer(200, [(b'x-server-load', b'1,0,4')]))
    assert sender.dispatcher.loads.reports(Holder('s000', 1))


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_a_limited_server_is_not_asked() -> None:
    """Guards against probes beyond the limit of a server."""
    await asyncio.sleep(1)
    dispatcher = Sender(loaded_servers(1), 'a').dispatcher
    server = dispatcher._system_view.servers.server_by_id['s000']
    assert dispatcher._may_probe(server)
    dispatcher.rate_limits.observe(server, 5, elapsed_s())
    assert not dispatcher._may_probe(server)


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_short_requests_do_not_make_a_full_server_look_free() -> None:
    """Guards against times of different routes that are compared."""
    await asyncio.sleep(1)
    dispatcher = Sender(loaded_servers(4), 'a').dispatcher
    choice = dispatcher._load_choice
    choice.add_service('open')
    full, near, far = (Holder(f's00{number}', 1) for number in (0, 2, 1))
    dispatcher.loads.observe(full, ServerLoad(SLOTS, 4, SLOTS))
    request = Mock(key=None, service='open', regions=())

    def chosen_for(mean_s: float, *tried: Holder) -> Holder:
        candidate = choice.choose(
            request,
            mean_s,
            tried,
            lambda: dispatcher._candidates(request),
            lambda *_: 0,
        )
        assert candidate is not None
        return candidate.holder

    assert chosen_for(0.4) == near
    choice.touch(full)
    assert chosen_for(0.02, near) == far


@pytest.mark.usefixtures('_virtual_clock')
@in_virtual_time
async def test_a_stop_of_the_sender_makes_no_server_slow() -> None:
    """Guards against all servers that get one request after a stop."""
    servers = loaded_servers(6)
    sender, _ = await _two_senders(servers)
    loads = sender.dispatcher.loads
    holders = [Holder(server_id, 1) for server_id in servers]
    with ExitStack() as requests:
        for holder in holders:
            requests.enter_context(loads.in_flight(holder, 'read', SLOTS))
        await asyncio.sleep(TIMEOUT_S)
    assert all(map(loads.is_delayed, holders))
    await sender.request(0)
    assert not any(map(loads.is_slow, holders))
    assert sender.metrics.value('own_delays') == 1


async def _one_request(sender: Sender, *, repeatable: bool) -> Result:
    """Sends a request to a server that becomes slow with it."""
    servers = sender.server_by_id.values()
    for server in servers:
        server.received.clear()
        server.pace = 12
    task = asyncio.create_task(sender.request(0, repeatable=repeatable))
    await asyncio.sleep(0.01)
    for server in servers:
        server.pace = 1
    return await task


@pytest.mark.usefixtures('_virtual_clock')
@pytest.mark.parametrize(
    ('repeatable', 'may_retry', 'arrivals'),
    [(True, True, 2), (True, False, 1), (False, True, 1)],
)
@in_virtual_time
async def test_an_overdue_request_gets_a_second_server(
    *, repeatable: bool, may_retry: bool, arrivals: int
) -> None:
    """Guards against requests that wait for a server known to be slow.

    Also against one that must run once, or is over the budget, sent twice.
    """
    servers = loaded_servers(4)
    await asyncio.sleep(1)
    sender = Sender(servers, 'a', may_retry=may_retry)
    await sender.load(30, WARM_UP_S)
    sender.closed = 0
    began_s = elapsed_s()
    result = await _one_request(sender, repeatable=repeatable)
    is_in_time = elapsed_s() - began_s <= TARGET_S
    received = sum(len(server.received) for server in servers.values())
    assert received == arrivals
    assert result.attempts == arrivals
    assert is_in_time == (arrivals == 2)
    # The connection of the other attempt, or after the deadline.
    assert sender.closed == 1


@in_virtual_time
async def test_an_answer_does_not_wait_for_the_allowance() -> None:
    """Guards against an answer held until another instance has replied."""
    served = Served(200, [], b'', 's', 1, 0, 0)

    async def first() -> Result:
        await asyncio.sleep(1)
        return served

    async def ask_entry(_server: object) -> None:
        await asyncio.sleep(5)

    loop = asyncio.get_running_loop()
    began_s = loop.time()
    assert await first_result(first(), 0.5, Mock, ask_entry) is served
    assert loop.time() < began_s + 2


def _fail(*_args: object, **_options: object) -> None:
    raise AssertionError('a service without reports is served by them')


@pytest.mark.usefixtures('_virtual_clock')
def test_services_without_reports_are_served_as_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against other decisions for servers that report no load."""
    for method in ('choose', 'apply'):
        monkeypatch.setattr(LoadChoice, method, _fail)
    in_virtual_time(_serve_without_reports)()


async def _serve_without_reports() -> None:
    servers = loaded_servers(4, reports='none')
    senders = await _two_senders(servers)
    await _load(senders, 40, 2)
    assert all(sender.results for sender in senders)
    assert not any(server.probed for server in servers.values())
