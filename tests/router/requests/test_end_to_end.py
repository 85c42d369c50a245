"""Each request reaches its server once, and its answer the right caller."""

import asyncio

from tests.builders.request_world import (
    World,
    calendar,
    deposit,
    make_service,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import Outcome, ResultCode


@in_virtual_time
async def test_leader_serves_its_own_callers() -> None:
    """Guards against a local request that never reaches a server."""
    world = World()
    node = world.node('a')
    node.lead(2)
    answer = await node.ask(calendar('stage-7'))
    assert answer.body == b'stage-7'
    assert [hop.name for hop in answer.hops] == ['server', 'queue', 'entry']


@in_virtual_time
async def test_forwarded_answer_comes_back() -> None:
    """Guards against lost or mixed up answers to forwarded requests."""
    world = World()
    entry, leader = world.node('a'), world.node('b')
    leader.lead(2, announce_to=[entry])
    keys = [f'stage-{number}' for number in range(30)]
    answers = await asyncio.gather(*(entry.ask(calendar(key)) for key in keys))
    assert [answer.body.decode() for answer in answers] == keys
    assert entry.counters.snapshot()['forward.sent'] == len(keys)


@in_virtual_time
async def test_concurrency_is_never_exceeded() -> None:
    """Guards against more requests at a server than its concurrency."""
    world = World(make_service(concurrency=3), servers=1)
    entry, leader = world.node('a'), world.node('b')
    leader.lead(2, announce_to=[entry])
    await asyncio.gather(
        *(entry.ask(calendar(f'k{number}')) for number in range(40)),
        *(leader.ask(deposit(f'd{number}')) for number in range(40)),
    )
    assert world.server_by_name['s0'].max_running == 3


@in_virtual_time
async def test_repeated_id_gets_the_first_answer() -> None:
    """Guards against a second run of non-repeatable work."""
    world = World()
    entry, leader = world.node('a'), world.node('b')
    ownership = leader.lead(2, announce_to=[entry])
    answers = await asyncio.gather(
        entry.ask(deposit('id-1')), leader.ask(deposit('id-1'))
    )
    answers.append(await entry.ask(deposit('id-1')))
    assert {answer.status for answer in answers} == {200}
    runs = sum(s.runs['id-1'] for s in world.server_by_name.values())
    assert runs == 1
    states = [change.state for change in ownership.replicated]
    assert states[0] == 'started'
    other = await entry.ask(deposit('id-1', body=b'other work'))
    assert other.refusal
    assert other.refusal.code == ResultCode.request_id_reused


@in_virtual_time
async def test_nothing_is_written_before_replication() -> None:
    """Guards against work that runs without a record at the standby."""
    world = World()
    node = world.node('a')
    ownership = node.lead(2)
    ownership.replicate_refusal = ResultCode.lease_ended
    answer = await node.ask(deposit('id-1', deadline_ms=50))
    assert answer.refusal
    assert answer.refusal.outcome == Outcome.not_run
    assert not any(s.runs for s in world.server_by_name.values())


@in_virtual_time
async def test_repeatable_work_survives_a_replaced_link() -> None:
    """Guards against repeatable requests that are lost with their link."""
    world = World()
    entry, leader = world.node('a'), world.node('b')
    leader.lead(2, announce_to=[entry])
    world.cut_ms_by_link[('a', 'b')] = 0
    lost = [
        asyncio.create_task(entry.ask(request))
        for request in (calendar('stage-7'), deposit('id-1'))
    ]
    await asyncio.sleep(0.05)
    world.restore_link('a', 'b')
    entry.entry.link_replaced('b')
    repeatable, once = await asyncio.gather(*lost)
    assert repeatable.body == b'stage-7'
    assert once.refusal.code == ResultCode.link_lost
