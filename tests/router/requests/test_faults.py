"""Outcomes that callers get when a caller, a peer or a server fails."""

import asyncio
from pathlib import Path
from types import MappingProxyType

import pytest

from tests.builders.request_world import (
    GROUP,
    Node,
    World,
    calendar,
    deposit,
    make_instance,
    make_service,
)
from tests.builders.virtual_time import in_virtual_time, virtual_ms
from yuccadale_core.codes import Outcome, ResultCode
from yuccadale_core.messages import Cancel, ForwardAnswer, RecordChange
from yuccadale_core.targets import TargetFailureKind
from yuccadale_router._internal.contracts import Tenure
from yuccadale_router._internal.requests import counter_names
from yuccadale_router._internal.requests.parsing import (
    CallerRequest,
    parse_caller_request,
)
from yuccadale_router._internal.requests.replay_window import ReplayWindow

_KEY = MappingProxyType({'yuccadale-key': 'k'})


@pytest.mark.parametrize(
    ('headers', 'code'),
    [
        ({}, ResultCode.key_missing),
        ({'yuccadale-key': 'k' * 2000}, ResultCode.header_invalid),
        ({**_KEY, 'yuccadale-deadline-ms': 'soon'}, ResultCode.header_invalid),
        ({**_KEY, 'yuccadale-deadline-ms': '-1'}, ResultCode.header_invalid),
        ({**_KEY, 'yuccadale-deadline-ms': '1e9'}, ResultCode.header_invalid),
        ({**_KEY, 'yuccadale-deadline-ms': 'nan'}, ResultCode.header_invalid),
        (
            {**_KEY, 'yuccadale-first-sent-ago-ms': 'inf'},
            ResultCode.header_invalid,
        ),
        ({**_KEY, 'idempotency-key': 'a\x00b'}, ResultCode.header_invalid),
        ({**_KEY, 'idempotency-key': 'i' * 300}, ResultCode.header_invalid),
    ],
)
def test_bad_header_is_refused(
    headers: dict[str, str], code: ResultCode
) -> None:
    """Guards against header values that are accepted and misread later."""
    parsed = parse_caller_request('GET', '/ledger/a', headers, b'', 'entry')
    assert parsed.is_error()
    assert parsed.error.code == code


def test_path_keeps_its_encoding() -> None:
    """Guards against a path that is decoded before it is sent."""
    parsed = parse_caller_request(
        'get', '/ledger/a%2Fb?c=%20', {**_KEY, 'cookie': 'x'}, b'', 'entry'
    )
    request = parsed.ok
    assert (request.service, request.path) == ('ledger', '/a%2Fb?c=%20')
    assert (request.method, request.headers) == ('GET', {})


@pytest.mark.parametrize(
    ('caller_request', 'code'),
    [
        (CallerRequest('no', 'GET', '/', 'k'), ResultCode.service_unknown),
        (
            CallerRequest('ledger', 'GET', '/', 'k', kind='no'),
            ResultCode.kind_unknown,
        ),
        (
            CallerRequest('ledger', 'POST', '/', 'k'),
            ResultCode.idempotency_key_missing,
        ),
        (calendar(body=b'x' * (1 << 21)), ResultCode.body_too_large),
        (calendar(deadline_ms=0), ResultCode.deadline_passed),
        (deposit('i', deadline_ms=0), ResultCode.deadline_passed),
    ],
)
@in_virtual_time
async def test_invalid_request_is_refused(
    caller_request: CallerRequest, code: ResultCode
) -> None:
    """Guards against work that starts although its request is invalid."""
    world = World()
    node = world.node('a')
    node.lead(2)
    answer = await node.ask(caller_request)
    assert answer.refusal
    # The estimate may refuse a passed deadline first.
    code_seen = answer.refusal.code
    assert code_seen in {code, ResultCode.deadline_too_short}
    assert not _runs(world)


@pytest.mark.parametrize(
    ('kind', 'repeatable', 'outcome', 'most_runs'),
    [
        (TargetFailureKind.not_sent, True, 'done', 1),
        (TargetFailureKind.not_sent, False, 'done', 1),
        (TargetFailureKind.refused, True, 'done', 1),
        (TargetFailureKind.refused, False, 'done', 1),
        (TargetFailureKind.shedding, True, 'done', 1),
        (TargetFailureKind.shedding, False, 'done', 1),
        (TargetFailureKind.draining, True, 'not run', 0),
        (TargetFailureKind.draining, False, 'not run', 0),
        (TargetFailureKind.lost, True, 'done', 2),
        (TargetFailureKind.lost, False, 'done', 1),
        (TargetFailureKind.malformed, True, 'done', 2),
        (TargetFailureKind.malformed, False, 'done', 1),
    ],
)
@pytest.mark.parametrize('local', [True, False])
@in_virtual_time
async def test_server_failure(
    kind: TargetFailureKind,
    repeatable: bool,
    outcome: str,
    most_runs: int,
    local: bool,
) -> None:
    """Guards the outcome that follows from each kind of server failure."""
    world = World(servers=1)
    entry, leader = world.node('a'), world.node('b')
    leader.lead(2, announce_to=[entry])
    world.server_by_name['s0'].failures.append(kind)
    request = calendar(body=b'w') if repeatable else deposit('w')
    answer = await (leader if local else entry).ask(request)
    seen = answer.refusal.outcome.value if answer.refusal else 'done'
    assert seen == outcome
    assert _runs(world) == most_runs


@in_virtual_time
async def test_silent_server_makes_the_outcome_unknown() -> None:
    """Guards against a reported outcome that no server has confirmed."""
    world = World(servers=1)
    node = world.node('a')
    node.lead(2)
    server = world.server_by_name['s0']
    server.outcome_answers = False
    server.failures.append(TargetFailureKind.lost)
    for _ in range(2):
        answer = await node.ask(deposit('w'))
        assert answer.refusal
        assert answer.refusal.outcome == Outcome.unknown
    assert _runs(world) == 1


@in_virtual_time
async def test_late_copy_after_a_refused_one_runs_once() -> None:
    """Guards against a "not run" report that refers to an earlier copy.

    The server reports the refused first copy as not run, although it has not
    read the second one so far.
    """
    world = World(servers=1)
    node = world.node('a')
    node.lead(2)
    server = world.server_by_name['s0']
    server.slots = set()
    await node.ask(deposit('w', deadline_ms=20))
    server.slots = None
    server.late_ms.append(200)
    await node.ask(deposit('w', deadline_ms=100))
    await node.ask(deposit('w', deadline_ms=100))
    await asyncio.sleep(1)
    assert _runs(world) == 1


@pytest.mark.parametrize(
    ('complete', 'age_ms', 'first_sent_ago_ms', 'code'),
    [
        (True, 10, -1, None),
        (True, 10, 500, None),
        (True, 10, 700_000, ResultCode.request_id_too_old),
        (False, 100_000, -1, ResultCode.tenure_too_short),
        (False, 600_001, -1, None),
        (False, 3_000, 500, None),
        (False, 2_500, 500, ResultCode.tenure_too_short),
        (False, 700_000, 650_000, ResultCode.request_id_too_old),
    ],
)
@in_virtual_time
async def test_tenure_rule(
    complete: bool,
    age_ms: float,
    first_sent_ago_ms: float,
    code: ResultCode | None,
) -> None:
    """Guards against a second run of an id after a change of leader."""
    world = World()
    node = world.node('a')
    node.lead(2).tenure_value = Tenure(complete, age_ms)
    answer = await node.ask(deposit('w', first_sent_ago_ms=first_sent_ago_ms))
    assert (answer.refusal and answer.refusal.code) == code


@pytest.mark.parametrize(
    ('state', 'runs', 'code'),
    [
        ('done', 0, None),
        ('started', 0, ResultCode.answer_lost),
        ('not run', 1, None),
    ],
)
@in_virtual_time
async def test_inherited_record(
    state: str, runs: int, code: ResultCode | None
) -> None:
    """Guards against a second run of an id with an imported record."""
    world = World(servers=1)
    first = world.node('a')
    ownership = first.lead(2)
    await first.ask(deposit('w'))
    # The outcome is replicated after the answer.
    await asyncio.sleep(0.01)
    change = ownership.replicated[-1]
    for server in world.server_by_name.values():
        server.runs.clear()
        server.outcome_answers = False
    second = world.node('b')
    second.lead(4)
    dispatcher = second.dispatchers.find(GROUP)
    assert dispatcher
    inherited = RecordChange(
        change.slot,
        change.request_id,
        state,
        change.fingerprint,
        change.server,
        age_ms=5,
        status=change.status,
        headers=change.headers,
        body=change.body,
    )
    dispatcher.import_records([inherited])
    answer = await second.ask(deposit('w'))
    assert (answer.refusal and answer.refusal.code) == code
    assert _runs(world) == runs


@pytest.mark.parametrize(
    ('fault', 'repeatable', 'code'),
    [
        ('full', True, ResultCode.peer_queue_full),
        ('full', False, ResultCode.peer_queue_full),
        ('cut before', True, ResultCode.owner_unreachable),
        ('cut before', False, ResultCode.owner_unreachable),
        ('cut after', True, ResultCode.link_lost),
        ('cut after', False, ResultCode.link_lost),
        ('wrong length', False, ResultCode.answer_malformed),
        ('wrong peer', False, None),
        ('wrong incarnation', False, None),
    ],
)
@in_virtual_time
async def test_peer_fault(
    fault: str,
    repeatable: bool,
    code: ResultCode | None,
) -> None:
    """Guards the outcome of work when the link to the leader fails."""
    world = World(servers=1)
    entry, leader = world.node('a'), world.node('b')
    leader.lead(2, announce_to=[entry])
    world.server_by_name['s0'].delay_ms = 20
    if fault == 'cut before':
        world.cut('a', 'b')
        await asyncio.sleep(0.7)
    entry.peers.full = fault == 'full'
    request = calendar() if repeatable else deposit('w')
    pending = asyncio.create_task(entry.ask(request))
    await asyncio.sleep(0.005)
    if fault == 'cut after':
        world.cut('a', 'b')
    elif fault.startswith('wrong'):
        _send_wrong_answer(entry, leader, fault)
    answer = await pending
    assert (answer.refusal and answer.refusal.code) == code
    if answer.refusal is None:
        assert answer.body == b'stage-1'


@in_virtual_time
async def test_held_requests_are_sent_to_a_new_leader() -> None:
    """Guards against requests that keep waiting after a leader change."""
    world = World()
    entry, old, new = (world.node(name) for name in 'abc')
    old.lead(2, announce_to=[entry])
    world.cut('a', 'b')
    await asyncio.sleep(0.7)
    pending = [
        asyncio.create_task(entry.ask(deposit(f'w{number}')))
        for number in range(20)
    ]
    await asyncio.sleep(0.3)
    new.lead(4, announce_to=[entry])
    announced_ms = virtual_ms()
    answers = await asyncio.gather(*pending)
    assert not any(answer.refusal for answer in answers)
    # 10 rounds at 2 servers of concurrency 2, plus the link delays.
    assert virtual_ms() - announced_ms < 30


@pytest.mark.parametrize('written', [True, False])
@in_virtual_time
async def test_caller_disconnects(written: bool) -> None:
    """Guards against unwritten work that runs, and against a lost record."""
    world = World(make_service(concurrency=1), servers=1)
    entry, leader = world.node('a'), world.node('b')
    leader.lead(2, announce_to=[entry])
    world.server_by_name['s0'].delay_ms = 30
    if not written:
        asyncio.create_task(leader.ask(calendar()))
        await asyncio.sleep(0.001)
    pending = asyncio.create_task(entry.ask(deposit('w', key='stage-2')))
    await asyncio.sleep(0.01)
    pending.cancel()
    await asyncio.sleep(0.1)
    assert world.server_by_name['s0'].runs['w'] == int(written)
    again = await entry.ask(deposit('w', key='stage-2'))
    assert again.status == 200
    assert world.server_by_name['s0'].runs['w'] == 1


@in_virtual_time
async def test_large_bodies_pass_in_pieces() -> None:
    """Guards against bodies over 64 KiB that arrive truncated or mixed up."""
    world = World()
    entry, leader = world.node('a'), world.node('b')
    leader.lead(2, announce_to=[entry])
    bodies = [bytes([number]) * (200_000 + number) for number in (65, 66)]
    answers = await asyncio.gather(
        *(entry.ask(deposit(f'w{body[0]}', body=body)) for body in bodies)
    )
    assert [answer.body for answer in answers] == bodies


@in_virtual_time
async def test_held_slot_sends_to_its_new_owner() -> None:
    """Guards against requests to the old owner after a planned move."""
    world = World()
    node = world.node('a')
    node.lead(2)
    dispatcher = node.dispatchers.find(GROUP)
    assert dispatcher
    first = await node.ask(calendar())
    old = first.headers['server']
    pending = [asyncio.create_task(node.ask(calendar())) for _ in range(9)]
    await asyncio.sleep(0)
    slots = [s for s, owner in world.owner_by_slot.items() if owner == old]
    for slot in slots:
        await dispatcher.hold_slot(slot)
        assert not world.server_by_name[old].running
    before = world.server_by_name[old].runs.total()
    for slot in slots:
        world.owner_by_slot[slot] = 's0' if old == 's1' else 's1'
        dispatcher.release_slot(slot)
    answers = await asyncio.gather(*pending)
    assert not any(answer.refusal for answer in answers)
    assert world.server_by_name[old].runs.total() == before


@in_virtual_time
async def test_drain_finishes_accepted_requests() -> None:
    """Guards against accepted requests that a shutdown interrupts."""
    world = World()
    node = world.node('a')
    node.lead(2)
    pending = [asyncio.create_task(node.ask(calendar())) for _ in range(20)]
    await asyncio.sleep(0)
    await node.entry.drain()
    assert all(task.done() and not task.result().refusal for task in pending)
    late = await node.ask(calendar())
    assert late.refusal
    assert late.refusal.code == ResultCode.instance_draining


def _runs(world: World) -> int:
    return sum(server.runs.total() for server in world.server_by_name.values())


def _send_wrong_answer(entry: Node, leader: Node, fault: str) -> None:
    sender = make_instance('x') if fault == 'wrong peer' else leader.me
    incarnation = entry.me.incarnation
    if fault == 'wrong incarnation':
        incarnation = 'earlier'
    answer = ForwardAnswer(
        1, incarnation, 0, '', '', -1, 200, {}, b'wrong', 6, []
    )
    entry.peers.handler_by_type[ForwardAnswer](sender, answer)
    leader.peers.handler_by_type[Cancel](sender, Cancel(99))


def test_every_counter_is_documented() -> None:
    """Guards against a counter that operators cannot look up."""
    root = Path(__file__).parents[3]
    page = (root / 'docs/operators/slow-requests.md').read_text('utf-8')
    for name, meaning in counter_names.MEANING_BY_NAME.items():
        assert f'| `{name}` | {meaning} |' in page


def test_duplicate_forward_is_served_once() -> None:
    """Guards against a refused request that runs through a duplicate."""
    window = ReplayWindow()
    assert [window.is_new(number) for number in (5, 5, 4, 4, 2000, 5)] == [
        True,
        False,
        True,
        False,
        True,
        False,
    ]


@in_virtual_time
async def test_adapter_exception_ends_the_running_request() -> None:
    """Guards against a server that gets no work after an exception.

    The failed request must stop counting against the concurrency.
    """
    world = World(make_service(concurrency=1), servers=1)
    node = world.node('a')
    node.lead(2)
    # The fake server raises for an invalid kind of failure.
    failures = world.server_by_name['s0'].failures
    failures.append('none')  # type: ignore[arg-type]
    with pytest.raises(AttributeError):
        await node.ask(calendar())
    answer = await node.ask(calendar())
    assert answer.refusal is None
