"""The list of servers that an instance keeps."""

from dataclasses import replace

import pytest

from yuccadale_edge._internal import system_view
from yuccadale_edge.instance import Server, ServerState, StoredRow

DRAIN_S = 2.0


def _decode(server_id: str, _content: bytes) -> Server:
    return Server(
        server_id, 'ledger', ('127.0.0.1', 1), 'a', 2, ServerState.ready, 1, 0
    )


def test_removed_server_is_dropped_before_its_drain_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests to a server that left during a store outage.

    Every instance must drop such a server after the grace period, not only
    the leader.
    """
    now_s = 100.0
    monkeypatch.setattr(system_view, 'elapsed_s', lambda: now_s)
    servers = system_view.ServerList(_decode)
    servers.apply(StoredRow('s', b'{}', 1), removal_grace=False)
    removed = StoredRow('s', b'', 2, removed=True)
    servers.apply(removed, removal_grace=True)
    assert 's' in servers.server_by_id
    assert not servers.remove_after_grace()
    now_s += DRAIN_S - 0.3
    assert servers.remove_after_grace()
    assert 's' not in servers.server_by_id


def test_a_removal_that_is_read_again_does_not_end_the_grace_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a live server that is dropped after a restore.

    The leader's removal came with a grace period, and the whole table that this
    instance read then without one.
    """
    now_s = 100.0
    monkeypatch.setattr(system_view, 'elapsed_s', lambda: now_s)
    servers = system_view.ServerList(_decode)
    servers.apply(StoredRow('s', b'{}', 1), removal_grace=False)
    servers.apply(StoredRow('s', b'', 2, removed=True), removal_grace=True)
    now_s += 1
    servers.apply(StoredRow('s', b'', 3, removed=True), removal_grace=False)
    assert 's' in servers.server_by_id
    now_s += DRAIN_S - 1.3
    assert servers.remove_after_grace()


def test_older_row_does_not_replace_a_newer_one() -> None:
    """Guards against an old row that restores a removed server."""
    servers = system_view.ServerList(_decode)
    servers.apply(StoredRow('s', b'{}', 5), removal_grace=False)
    servers.apply(StoredRow('s', b'', 6, removed=True), removal_grace=False)
    servers.apply(StoredRow('s', b'{}', 5), removal_grace=False)
    assert 's' not in servers.server_by_id


def test_slow_start_countdown_is_not_a_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waking all waiting tasks at each heartbeat of a server.

    Entries of a starting server differ in their remaining slow start only;
    they filled the log with 26,545 changed entries in 22 s.
    """
    now_s = 100.0
    left_s = 3.0
    monkeypatch.setattr(system_view, 'elapsed_s', lambda: now_s)

    def decode(server_id: str, _content: bytes) -> Server:
        return replace(_decode(server_id, b''), slow_start_s=left_s)

    servers = system_view.ServerList(decode)
    assert servers.apply(StoredRow('s', b'{}', 1), removal_grace=False)
    now_s, left_s = 101.0, 2.0
    assert not servers.apply(StoredRow('s', b'{}', 2), removal_grace=False)
    assert servers.cold(servers.server_by_id['s'])
    now_s = 103.1
    assert not servers.cold(servers.server_by_id['s'])
