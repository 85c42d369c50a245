"""The list of servers as an instance keeps it."""

from dataclasses import replace

import pytest

from yuccadale_edge._internal import system_view
from yuccadale_edge.instance import Server, ServerState, StoredRow

DRAIN_S = 2.0


def _decode(server_id: str, _content: bytes) -> Server:
    return Server(
        server_id, 'ledger', ('127.0.0.1', 1), 'a', 2, ServerState.ready, 1, 0
    )


def test_lapsed_entries_end_before_the_drain_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work for a server that left during an outage.

    klatka-gw-grown trouble-1: DRAIN 2, since only the leader took servers
    whose entries had lapsed as gone.
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


def test_an_older_row_never_replaces_a_newer_one() -> None:
    """Guards against a removal that an old row undoes."""
    servers = system_view.ServerList(_decode)
    servers.apply(StoredRow('s', b'{}', 5), removal_grace=False)
    servers.apply(StoredRow('s', b'', 6, removed=True), removal_grace=False)
    servers.apply(StoredRow('s', b'{}', 5), removal_grace=False)
    assert 's' not in servers.server_by_id


def test_the_count_down_of_a_slow_start_is_no_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waking all that wait at each heartbeat of a server.

    klatka-gw-grown: 26,545 lines of changed entries in 22 s, most of them
    this.
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
