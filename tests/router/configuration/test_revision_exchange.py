"""Instances get the highest revision from the table or from peers."""

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
from yuccadale_router._internal.configuration.in_force import RevisionsInForce
from yuccadale_router._internal.configuration.service import ConfigurationState
from yuccadale_router._internal.configuration.store_reader import (
    StoreReader,
    is_chosen_reader,
)


@pytest.fixture
async def cluster(tmp_path: Path) -> Cluster:
    """Returns three instances; the first has committed two revisions."""
    new_cluster = Cluster(tmp_path / 'operators', ['ana'])
    for name in ('entry-1', 'entry-2', 'entry-3'):
        new_cluster.start(name)
    for base in (0, 1):
        signed = new_cluster.sign(
            submission(
                'intent', intent_text(base), base=base, write_id=f'w{base}'
            )
        )
        answer = await new_cluster.service_by_name['entry-1'].submit(signed)
        assert answer.is_ok()
    return new_cluster


async def test_peer_that_is_behind_asks(cluster: Cluster) -> None:
    """Guards against an instance that gets revisions only from the table."""
    cluster.platform.disconnected = {'entry-2', 'entry-3'}
    cluster.send_heartbeat('entry-1', 'entry-2')
    cluster.network.deliver_all()
    cluster.send_heartbeat('entry-2', 'entry-3')
    cluster.network.deliver_all()
    service = cluster.service_by_name['entry-3']
    assert service.revision_by_scope() == {'intent': 2}
    assert service.declaration.weights.churn == 1


async def test_older_revision_is_refused(cluster: Cluster) -> None:
    """Guards against a stale peer that restores an old declaration."""
    service = cluster.service_by_name['entry-1']
    old = await service.revision('intent', 1)
    peers = cluster.network.peers_by_name['entry-2']
    peers.send('entry-1', RevisionsAnswer([old.ok]))
    cluster.network.deliver_all()
    assert service.revision_by_scope() == {'intent': 2}
    assert len(cluster.changes_by_name['entry-1']) == 2


async def test_start_uses_the_higher_revision_of_peers_and_table(
    cluster: Cluster,
) -> None:
    """Guards against an older revision after a restart."""
    cluster.platform.disconnected = {'entry-2'}
    restarted = cluster.start('entry-2')
    await restarted.start()
    assert restarted.status().state == ConfigurationState.cut_off
    cluster.send_heartbeat('entry-1', 'entry-2')
    cluster.network.deliver_all()
    assert restarted.revision_by_scope() == {'intent': 2}
    from_table = cluster.start('entry-3')
    await from_table.start()
    assert from_table.revision_by_scope() == {'intent': 2}
    assert from_table.status().state == ConfigurationState.current
    for service in cluster.service_by_name.values():
        await service.stop()


async def test_instance_reports_that_it_is_behind(cluster: Cluster) -> None:
    """Guards against an old declaration that is reported as the newest."""
    service = cluster.service_by_name['entry-2']
    cluster.send_heartbeat('entry-1', 'entry-2')
    # The heartbeat arrives; the request that it causes stays undelivered.
    cluster.network.deliver(cluster.network.envelopes.pop())
    assert service.status().state == ConfigurationState.behind
    assert service.status().scopes_behind == ['intent']


async def test_heartbeats_confirm_the_declaration(cluster: Cluster) -> None:
    """Guards against an undetected loss of the connection to the platform."""
    await cluster.service_by_name['entry-1'].start()
    for _ in range(2):
        cluster.send_heartbeat('entry-1', 'entry-2')
        cluster.network.deliver_all()
    service = cluster.service_by_name['entry-2']
    assert service.status().state == ConfigurationState.current
    cluster.platform.disconnected = {'entry-1'}
    for _ in range(20):
        cluster.send_heartbeat('entry-1', 'entry-2')
        cluster.network.deliver_all()
    assert service.status().state == ConfigurationState.cut_off
    await cluster.service_by_name['entry-1'].stop()


async def test_service_may_arrive_after_a_scope_that_names_it(
    cluster: Cluster,
) -> None:
    """Guards against a result that depends on the order of arrival."""
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
    # In 10 s: a read each 500 ms, or a backoff of 500, 1000, then 2000 ms.
    [(True, 20), (False, 6)],
)
async def test_reads_of_the_table_are_bounded(
    cluster: Cluster, *, reachable: bool, reads: int
) -> None:
    """Guards against a reader that overloads a failing store."""
    name = 'entry-2'
    cluster.platform.disconnected = set() if reachable else {name}
    in_force = RevisionsInForce(Counters())
    reader = StoreReader(
        PlatformTable(cluster.platform, name),
        in_force,
        in_force.apply,
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


async def test_reader_gets_a_new_revision_through_the_hint(
    cluster: Cluster,
) -> None:
    """Guards against a new revision that waits for the read of all rows."""
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
    """Guards against a data centre with too many or no readers."""
    live = [
        InstanceRef(f'entry-{number}', 'i', centre, 'rack-0', '')
        for centre in ('lodz-a', 'lodz-b')
        for number in range(40)
    ]
    readers = [me.data_centre for me in live if is_chosen_reader(me, live)]
    assert readers.count('lodz-a') == readers.count('lodz-b') == 3
    alone = InstanceRef('entry-1', 'i', 'krakow-a', 'rack-0', '')
    assert is_chosen_reader(alone, [])
