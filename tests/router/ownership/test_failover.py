"""Failover of a group on simulated time, one kind of loss in each test.

Guards against losses that leave slots unserved for longer than 2 s.
"""

import pytest

from tests.builders.simulated_group import Cluster

SERVED_AGAIN_MS = 2000


@pytest.fixture
def cluster():
    made = Cluster()
    made.run_until(made.all_served, 5000)
    made.run(3000)
    yield made
    made.world.close()


def _standby(cluster: Cluster) -> str:
    return cluster.leader.leader.state.row.standby.name


def test_leader_is_elected_and_all_slots_are_served(cluster):
    """Guards against a group that does not start."""
    assert cluster.all_served()
    assert cluster.leader.leader.state.row.standby is not None


def test_standby_replaces_lost_leader(cluster):
    """Guards against a group without a leader after it was lost."""
    standby = _standby(cluster)
    cluster.kill_instance(cluster.leader.ref.name)
    cluster.run_until(cluster.all_served, SERVED_AGAIN_MS)
    assert cluster.leader.ref.name == standby


def test_slots_of_lost_server_go_to_successors(cluster):
    """Guards against slots that stay with a lost server."""
    row = cluster.leader.leader.state.row
    cluster.kill_server('s1')
    cluster.run_until(cluster.all_served, SERVED_AGAIN_MS)
    for slot in row.slots_of('s1'):
        assert cluster.owners()[slot] == row.successor_by_slot[slot]


def test_leader_and_server_lost_together(cluster):
    """Guards against a new leader that waits again for the server's answer."""
    cluster.kill_instance(cluster.leader.ref.name)
    cluster.kill_server('s1')
    cluster.run_until(cluster.all_served, SERVED_AGAIN_MS)
