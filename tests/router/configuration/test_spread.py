"""Instances take the highest revision from the table or from peers."""

import asyncio
from pathlib import Path

import pytest

from tests.builders.configuration import (
    Cluster,
    PlatformTable,
    submission,
)
from tests.builders.declarations import intent_text, service_text
from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import RevisionsAnswer
from yuccadale_core.timing import milliseconds
from yuccadale_router._internal.configuration.in_force import InForce
from yuccadale_router._internal.configuration.service import Standing
from yuccadale_router._internal.configuration.store_reader import (
    StoreReader,
    is_chosen_reader,
)


@pytest.fixture
async def cluster(tmp_path: Path) -> Cluster:
    """Returns three instances; one has submitted two revisions."""
    made = Cluster(tmp_path / 'operators', ['ana'])
    for name in ('entry-1', 'entry-2', 'entry-3'):
        made.start(name)
    for base in (0, 1):
        signed = made.sign(
            submission(
                'intent', intent_text(base), base=base, write_id=f'w{base}'
            )
        )
        answer = await made.service_by_name['entry-1'].submit(signed)
        assert answer.is_ok()
    return made


async def test_peer_that_is_behind_asks(cluster: Cluster) -> None:
    """Guards against an instance that learns only from the table."""
    cluster.platform.disconnected = {'entry-2', 'entry-3'}
    cluster.beat('entry-1', 'entry-2')
    cluster.network.deliver_all()
    cluster.beat('entry-2', 'entry-3')
    cluster.network.deliver_all()
    service = cluster.service_by_name['entry-3']
    assert service.revision_by_scope() == {'intent': 2}
    assert service.declaration.weights.churn == 1


async def test_older_revision_is_refused(cluster: Cluster) -> None:
    """Guards against a stale peer that brings an old declaration back."""
    service = cluster.service_by_name['entry-1']
    old = await service.revision('intent', 1)
    peers = cluster.network.peers_by_name['entry-2']
    peers.send('entry-1', RevisionsAnswer([old.ok]))
    cluster.network.deliver_all()
    assert service.revision_by_scope() == {'intent': 2}
    assert len(cluster.changes_by_name['entry-1']) == 2


async def test_start_takes_the_higher_of_peers_and_table(
    cluster: Cluster,
) -> None:
    """Guards against a restart that goes back, whoever answers first."""
    cluster.platform.disconnected = {'entry-2'}
    restarted = cluster.start('entry-2')
    await restarted.start()
    assert restarted.status().standing == Standing.cut_off
    cluster.beat('entry-1', 'entry-2')
    cluster.network.deliver_all()
    assert restarted.revision_by_scope() == {'intent': 2}
    from_table = cluster.start('entry-3')
    await from_table.start()
    assert from_table.revision_by_scope() == {'intent': 2}
    assert from_table.status().standing == Standing.current
    for service in cluster.service_by_name.values():
        await service.stop()


async def test_instance_says_that_it_is_behind(cluster: Cluster) -> None:
    """Guards against an old declaration that is shown as the newest."""
    service = cluster.service_by_name['entry-2']
    cluster.beat('entry-1', 'entry-2')
    # The heartbeat arrives; the answer to the question it causes does not.
    cluster.network.deliver(cluster.network.envelopes.pop())
    assert service.status().standing == Standing.behind
    assert service.status().scopes_behind == ['intent']


async def test_confirmation_travels_with_heartbeats(cluster: Cluster) -> None:
    """Guards against a data centre that does not notice that it is cut off."""
    await cluster.service_by_name['entry-1'].start()
    for _ in range(2):
        cluster.beat('entry-1', 'entry-2')
        cluster.network.deliver_all()
    service = cluster.service_by_name['entry-2']
    assert service.status().standing == Standing.current
    cluster.platform.disconnected = {'entry-1'}
    for _ in range(20):
        cluster.beat('entry-1', 'entry-2')
        cluster.network.deliver_all()
    assert service.status().standing == Standing.cut_off
    await cluster.service_by_name['entry-1'].stop()


async def test_services_may_arrive_after_what_names_them(
    cluster: Cluster,
) -> None:
    """Guards against a declaration that depends on the order of arrival."""
    signed = cluster.sign(
        submission('service.ledger', service_text(), write_id='w9')
    )
    await cluster.service_by_name['entry-2'].submit(signed)
    cluster.exchange_heartbeats()
    declarations = [
        service.declaration for service in cluster.service_by_name.values()
    ]
    assert all(known == declarations[0] for known in declarations)
    assert list(declarations[0].service_by_name) == ['ledger']


@pytest.mark.parametrize(
    ('reachable', 'reads'),
    # Ten seconds at one read in 500 ms; backoff 500, 1000, then 2000 ms.
    [(True, 20), (False, 6)],
)
async def test_reads_of_the_table_are_bounded(
    cluster: Cluster, *, reachable: bool, reads: int
) -> None:
    """Guards against a reader that loads a store in trouble even more."""
    name = 'entry-2'
    cluster.platform.disconnected = set() if reachable else {name}
    in_force = InForce(Counters())
    reader = StoreReader(
        PlatformTable(cluster.platform, name),
        in_force,
        in_force.take,
        counters=Counters(),
        clock=lambda: cluster.now_ms,
    )

    async def sleep(duration_s: float) -> None:
        cluster.now_ms += milliseconds(duration_s)
        if cluster.now_ms > 10_000:
            raise asyncio.CancelledError

    with pytest.raises(asyncio.CancelledError):
        await reader.run(lambda: True, sleep, lambda: 1)
    assert reader.reads == reads
    assert in_force.revision_by_scope() == ({'intent': 2} if reachable else {})


async def test_hint_leads_to_the_new_revision(cluster: Cluster) -> None:
    """Guards against a reader that waits for the read of all rows."""
    reader = cluster.service_by_name['entry-2']._reader
    await reader.read_next()
    signed = cluster.sign(
        submission('intent', intent_text(7), base=2, write_id='w7')
    )
    await cluster.service_by_name['entry-1'].submit(signed)
    await asyncio.sleep(0)
    await reader.read_next()
    revisions = cluster.service_by_name['entry-2'].revision_by_scope()
    assert revisions == {'intent': 3}


def test_few_instances_of_a_data_centre_read_the_table() -> None:
    """Guards against thousands of readers, and against none."""
    live = [
        InstanceRef(f'entry-{number}', 'i', centre, 'rack-0', '')
        for centre in ('lodz-a', 'lodz-b')
        for number in range(40)
    ]
    readers = [me.data_centre for me in live if is_chosen_reader(me, live)]
    assert readers.count('lodz-a') == readers.count('lodz-b') == 3
    alone = InstanceRef('entry-1', 'i', 'krakow-a', 'rack-0', '')
    assert is_chosen_reader(alone, [])
