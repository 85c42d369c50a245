"""Owners of keys and rows of servers that are sent in parts."""

import random
from unittest.mock import Mock

import msgspec
import pytest

from tests.builders.server_rows import decode_row, server_row
from yuccadale_edge._internal.membership.messages import (
    RowsRequest,
    RowsResponse,
)
from yuccadale_edge._internal.membership.source_pages import SourcePages
from yuccadale_edge._internal.membership.update_budget import UpdateBudget
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.store import Rows, StoredRow
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    Owner,
    OwnerMap,
    SystemView,
    decode_owner,
)
from yuccadale_edge.ownership import KEY_COUNT

_SEEDS = range(60)
_CHANGES = 60
_ROWS = 300


def _owners(owner_map: OwnerMap) -> list[Owner]:
    return [owner_map.owner(key) for key in range(0, KEY_COUNT, 97)]


def _change(chance: random.Random, owner_map: OwnerMap, sequence: int) -> None:
    first = chance.randrange(KEY_COUNT)
    last = min(first + chance.choice((0, 300, 20_000)), KEY_COUNT - 1)
    holder = Holder(f's{chance.randrange(9)}', sequence)
    owner_map.assign(first, last, Owner(holder, 0), sequence)


# Guards against keys whose owner an instance never learns, as changes of the
# same keys were merged or sent in parts.
@pytest.mark.parametrize('seed', _SEEDS)
def test_changes_in_parts_lead_to_the_owners_of_the_leader(seed: int) -> None:
    """The leader goes on to change owners between the parts."""
    chance = random.Random(seed)
    leader, member = OwnerMap(), OwnerMap()
    known = 0
    for sequence in range(1, _CHANGES):
        _change(chance, leader, sequence)
        if chance.randrange(3) == 0:
            known = _send_part(leader, member, known, chance.randrange(1, 6))
    while known < _CHANGES - 1:
        known = _send_part(leader, member, known, chance.randrange(1, 6))
    assert _owners(member) == _owners(leader)


def _send_part(
    leader: OwnerMap, member: OwnerMap, known: int, max_ranges: int
) -> int:
    ranges, sequence = leader.changed_after(known, max_ranges, 0)
    for changed in ranges:
        member.assign(changed.first, changed.last, decode_owner(changed, 0))
    return sequence


def _view() -> SystemView:
    return SystemView(
        lambda _: None,  # type: ignore[arg-type, return-value]
        decode_row,
        max_source_age_s=2.0,
    )


def _apply(view: SystemView, rows: Rows) -> None:
    view.apply_rows(
        SERVER_TABLE, rows, full_snapshot=False, removal_grace=False
    )


@pytest.mark.parametrize('seed', _SEEDS)
def test_pages_bring_all_servers(seed: int) -> None:
    """Guards against rows that are lost between two pages."""
    chance = random.Random(seed)
    sender, receiver = _view(), _view()
    version = 0
    for number in range(_ROWS):
        version += chance.choice((0, 1, 1, 5))
        server_id = f's{chance.randrange(_ROWS // 2)}'
        row = server_row(server_id, version + 1, incarnation=number + 2)
        _apply(sender, Rows((row,), version + 1))
    pages = SourcePages(sender)
    status = receiver.status_by_table[SERVER_TABLE]
    while status.version < sender.status_by_table[SERVER_TABLE].version:
        page = pages.page(SERVER_TABLE, status.version, 500)
        rows = tuple(row.decode() for row in page.rows)
        _apply(receiver, Rows(rows, page.version))
    assert receiver.servers.server_by_id == sender.servers.server_by_id


def test_a_peer_gives_a_configuration_that_it_got_after_a_gap() -> None:
    """Guards against an instance that nobody can bring up to date."""
    sender, receiver = _view(), _view()
    row = StoredRow('config', b'', 7)
    sender.configuration_row = row
    request = msgspec.msgpack.encode(RowsRequest(CONFIGURATION_TABLE, 0))
    answer = SourcePages(sender).answer(request)
    response = msgspec.msgpack.decode(answer, type=RowsResponse)
    assert response.source is not None
    assert [one.decode() for one in response.source.rows] == [row]
    receiver.announce_configuration()
    configuration = Mock(version=3, routes_by_host={})
    receiver._decode_configuration = lambda _: configuration
    receiver.apply_rows(
        CONFIGURATION_TABLE,
        Rows((row,), response.source.version),
        full_snapshot=False,
        removal_grace=False,
    )
    assert receiver.configuration is configuration
    assert not receiver.status_by_table[CONFIGURATION_TABLE].is_behind


def test_broadcasts_stay_within_their_share_of_the_link() -> None:
    """Guards against broadcasts that fill the link of the leader."""
    now_s: float = 0
    budget = UpdateBudget(8, lambda: now_s)
    sent = 0
    for _ in range(1000):
        now_s += 0.01
        if not budget.exhausted:
            budget.spend(20_000)
            sent += 20_000
    assert sent == pytest.approx(10 * 400_000, rel=0.1)


def test_a_large_message_delays_others_for_a_bounded_time() -> None:
    """Guards against owners that wait for seconds after a configuration."""
    now_s: float = 0
    budget = UpdateBudget(8, lambda: now_s)
    budget.spend(100_000_000)
    assert budget.exhausted
    now_s = 0.3
    assert not budget.exhausted
