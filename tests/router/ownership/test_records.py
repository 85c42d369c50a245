"""Idempotency records across takeovers, on simulated time."""

import pytest

from tests.builders.simulated_group import Cluster
from yuccadale_core.codes import ResultCode
from yuccadale_core.messages import RecordChange

CHANGE = RecordChange(0, 'booking-1', 'started', 7, 's0', 0)


@pytest.fixture
def cluster():
    made = Cluster()
    made.run_until(made.all_served, 5000)
    made.run(3000)
    yield made
    made.world.close()


def _replicate(cluster: Cluster, limit_ms: float = 2000):
    """Records a change at the leader as its dispatcher does."""
    leader = cluster.leader
    leader.dispatchers[-1].records[CHANGE.request_id] = CHANGE
    task = leader.start(leader.leader.replicate('s0', [CHANGE]))
    cluster.run_until(task.done, limit_ms)
    return task.result()


def _take_over(cluster: Cluster):
    standby = cluster.leader.leader.state.row.standby.name
    cluster.kill_instance(cluster.leader.ref.name)
    cluster.run_until(cluster.all_served, 2000)
    assert cluster.leader.ref.name == standby
    return cluster.leader


def test_standby_inherits_records_and_tenure(cluster):
    """Guards against running work twice after a takeover."""
    assert _replicate(cluster).is_ok()
    leader = _take_over(cluster)
    imported = leader.dispatchers[-1].imported
    assert [change.request_id for change in imported] == ['booking-1']
    assert leader.leader.tenure(0).complete


def test_gap_starts_a_new_tenure(cluster):
    """Guards against trust in records that the standby did not receive."""
    standby = cluster.leader.leader.state.row.standby.name
    leader = cluster.leader.ref.name
    cluster.network.cut_one_way.add((leader, standby))
    cluster.table.down = True
    assert _replicate(cluster).is_ok()
    assert cluster.server_by_name['s0'].grant.gap
    cluster.kill_instance(leader)
    cluster.network.cut_one_way.clear()
    cluster.run_until(cluster.all_served, 2500)
    assert not cluster.leader.leader.tenure(0).complete


def test_gap_is_cleared_after_a_full_copy(cluster):
    """Guards against a gap mark that is never removed."""
    standby = cluster.leader.leader.state.row.standby.name
    leader = cluster.leader.ref.name
    cluster.network.cut_one_way.add((leader, standby))
    cluster.table.down = True
    assert _replicate(cluster).is_ok()
    cluster.heal()
    cluster.run(4000)
    assert not cluster.server_by_name['s0'].grant.gap
    leader = _take_over(cluster)
    assert leader.leader.tenure(0).complete
    assert leader.dispatchers[-1].imported


def test_handover_keeps_records_and_tenure(cluster):
    """Guards against unknown outcomes after a graceful shutdown."""
    assert _replicate(cluster).is_ok()
    old = cluster.leader
    old.leaving = True
    old.start(old.service.hand_over())
    cluster.run_until(lambda: cluster.leader not in {None, old}, 1000)
    cluster.run_until(cluster.all_served, 1000)
    assert cluster.leader.leader.tenure(0).complete
    assert cluster.leader.dispatchers[-1].imported


@pytest.mark.parametrize('handover', [False, True])
def test_missing_records_are_inherited_too(cluster, handover):
    """Guards against a leader that treats an incomplete tenure as complete.

    The second leader lacks the records from before a gap. If the third one
    trusted its copy of them, work could run twice.
    """
    test_gap_starts_a_new_tenure(cluster)
    cluster.heal()
    cluster.run(4000)
    second = cluster.leader
    assert second.leader.state.row.standby is not None
    if handover:
        second.leaving = True
        second.start(second.service.hand_over())
        cluster.run_until(lambda: cluster.leader not in {None, second}, 1000)
        cluster.run_until(cluster.all_served, 1000)
    else:
        _take_over(cluster)
    assert cluster.leader is not second
    assert not cluster.leader.leader.tenure(0).complete


def test_server_without_report_starts_a_new_tenure(cluster):
    """Guards against a complete tenure for slots of a restarted server."""
    cluster.server_by_name['s0'].restart()
    cluster.kill_instance(cluster.leader.ref.name)
    cluster.run_until(cluster.all_served, 3000)
    assert not cluster.leader.leader.tenure(0).complete
    assert cluster.leader.leader.tenure(1).complete


def test_unchecked_servers_refuse_without_the_standby():
    """Guards against unmarked gaps at servers that get no grants."""
    cluster = Cluster(checks_grants=False)
    cluster.run_until(cluster.all_served, 5000)
    cluster.run(2000)
    standby = cluster.leader.leader.state.row.standby.name
    cluster.network.cut_one_way.add((cluster.leader.ref.name, standby))
    cluster.table.down = True
    refused = _replicate(cluster)
    assert refused.error.code == ResultCode.lease_ended
    cluster.world.close()


def test_pin_gets_its_own_slot_and_returns(cluster):
    """Guards against two owners of a pinned key, and pins that stay."""
    cluster.hot_keys = ['busy stage']
    cluster.run(4000)
    leader = cluster.leader.leader
    pin_slot = leader.effective_slot(0, 'busy stage')
    assert pin_slot >= 6
    assert leader.permit(pin_slot).is_ok()
    cluster.requested_moves[pin_slot] = 's2'
    cluster.run(3000)
    assert leader.permit(pin_slot).ok.server.name == 's2'
    cluster.hot_keys = []
    cluster.run(60_000)
    assert leader.effective_slot(0, 'busy stage') == 0
    assert cluster.all_served()


def test_status_and_history_show_a_move(cluster):
    """Guards against a status page without the reason of a move."""
    cluster.kill_server('s1')
    cluster.run_until(cluster.all_served, 2000)
    leader = cluster.leader
    status = leader.service.status()[0]
    assert status.role == 'leader'
    assert {server.name: server.state for server in status.servers}[
        's1'
    ] == 'lost'
    history = leader.service.slot_history(leader.leader.state.group, 1)
    assert history[-1].reason == 'server lost'
