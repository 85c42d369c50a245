"""Grants whose answers may be copies of earlier ones, without servers.

Guards against two holders when a server applies a grant after its release: the
copy of an earlier answer had counted for the grant.
"""

from unittest import mock

import pytest

from tests.builders.unproven_grants import (
    LEASE_S,
    OTHER,
    OWNER,
    answer_grants,
    granted_holders,
    open_connection,
    plan,
    releases_due,
    renewed_table,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.answer_evidence import (
    Sending,
    record_answer,
)
from yuccadale_edge.instance import Answer, RoutedRequest
from yuccadale_edge.ownership import CLOCK_MARGIN, KEY_COUNT, SegmentTable
from yuccadale_platform._internal.requests import PlatformCodec

_ALL = (0, KEY_COUNT - 1)
_MIDDLE = KEY_COUNT // 2
_LEASE_END_S = LEASE_S * CLOCK_MARGIN


def _release_all(table: SegmentTable, now_s: float) -> None:
    releases = releases_due(table, now_s)
    assert releases
    for release in releases:
        table.release_answered(release, 'handover', now_s)


def test_the_first_answer_without_an_id_is_no_copy() -> None:
    """Guards against a wait for each grant on a connection of its own."""
    assert open_connection().note_delivery().proven


def test_a_later_answer_without_an_id_proves_nothing() -> None:
    """Guards against a copy that counts as the answer to a renewal."""
    connection = open_connection()
    earlier = connection.note_delivery()
    later = connection.note_delivery()
    assert earlier.proven
    assert not later.proven
    connection.prove_deliveries()
    assert later.proven
    assert not connection.note_delivery().proven


@pytest.mark.parametrize('status', [200, 503])
def test_the_answer_to_a_request_proves_the_grants_before_it(
    status: int,
) -> None:
    """Guards against a wait for grants that a later request has proven."""
    connection = open_connection()
    connection.note_delivery()
    renewal = connection.note_delivery()
    request = mock.Mock(spec=RoutedRequest, request_id='r', service='ledger')
    answer = Answer(status, [(b'x-attempt-id', b'r')])
    record_answer(
        Sending(request, mock.Mock(), connection),
        answer,
        PlatformCodec(),
        Metrics(),
    )
    assert renewal.proven


def test_an_answer_without_an_id_does_not_prove_the_grants_before_it() -> None:
    """Guards against proof by an answer that may be the copy of a refusal."""
    connection = open_connection()
    connection.note_delivery()
    renewal = connection.note_delivery()
    request = mock.Mock(spec=RoutedRequest, request_id='r', service='ledger')
    record_answer(
        Sending(request, mock.Mock(), connection),
        Answer(503, [(b'x-not-executed', b'1')]),
        PlatformCodec(),
        Metrics(),
    )
    assert not renewal.proven


def test_keys_wait_for_an_unproven_grant_after_their_release() -> None:
    """Guards against two holders by a renewal applied after the release."""
    connection = open_connection()
    table = renewed_table(connection)
    plan(table, *_ALL, OTHER)
    _release_all(table, 2.5)
    connection.close()
    assert not granted_holders(table, 2.6)
    assert not granted_holders(table, 2 + _LEASE_END_S - 0.1)
    assert granted_holders(table, 2 + _LEASE_END_S + 0.1) == [OTHER]


def test_keys_do_not_wait_for_a_proven_grant() -> None:
    """Guards against keys without an owner after a release that proves it."""
    connection = open_connection()
    table = renewed_table(connection)
    plan(table, *_ALL, OTHER)
    releases = releases_due(table, 2.5)
    assert [one.connection for one in releases[0].unproven] == [connection]
    connection.prove_deliveries()
    table.release_answered(releases[0], None, 2.5)
    assert granted_holders(table, 2.6) == [OTHER]


def test_grants_on_other_connections_are_proven_by_further_releases() -> None:
    """Guards against a wait for the lease while its connections are idle."""
    first, second = open_connection(), open_connection()
    table = renewed_table(first)
    second.note_delivery()
    answer_grants(table, second, 3.5)
    plan(table, *_ALL, OTHER)
    release = releases_due(table, 4)[0]
    assert [one.connection for one in release.unproven] == [first, second]
    second.prove_deliveries()
    second.close()
    table.release_answered(release, 'handover', 4)
    further = releases_due(table, 4.1)[0]
    assert [one.connection for one in further.unproven] == [first]
    first.prove_deliveries()
    first.close()
    table.release_answered(further, None, 4.1)
    assert granted_holders(table, 4.2) == [OTHER]


def test_no_release_is_repeated_when_the_connection_is_lost() -> None:
    """Guards against a new connection for each tick that can prove nothing."""
    connection = open_connection()
    table = renewed_table(connection)
    plan(table, *_ALL, OTHER)
    connection.close()
    _release_all(table, 2.5)
    assert not table.calls_due(2.6)


def test_the_release_of_a_part_does_not_prove_grants_of_the_rest() -> None:
    """Guards against parts of a range that forget an unproven grant."""
    connection = open_connection()
    table = renewed_table(connection)
    plan(table, 0, _MIDDLE - 1, OTHER)
    connection.close()
    _release_all(table, 2.5)
    plan(table, _MIDDLE, KEY_COUNT - 1, OTHER)
    _release_all(table, 2.6)
    assert not granted_holders(table, 2.7)


def test_merged_ranges_keep_the_unproven_grants_of_both() -> None:
    """Guards against a merge that forgets the grants of the upper range."""
    lower, upper = open_connection(), open_connection()
    table = renewed_table(lower)
    lower.prove_deliveries()
    upper.note_delivery()
    table.split(_MIDDLE)
    for call in table.calls_due(4):
        connection = upper if call.first else lower
        table.grant_answered(
            call,
            accepted=True,
            now_s=4,
            delivery=connection.note_delivery(),
        )
    lower.prove_deliveries()
    table.merge_adjacent()
    assert len(table.segments) == 1
    plan(table, *_ALL, OTHER)
    upper.close()
    _release_all(table, 4.5)
    assert not granted_holders(table, 4.6)


def test_a_higher_fence_keeps_the_unproven_grants() -> None:
    """Guards against a move that was taken back and planned again."""
    connection = open_connection()
    table = renewed_table(connection)
    plan(table, *_ALL, OTHER)
    _release_all(table, 2.5)
    connection.close()
    plan(table, *_ALL, OWNER)
    fresh = open_connection()
    answer_grants(table, fresh, 2.6)
    assert table.at(0).owner == OWNER
    plan(table, *_ALL, OTHER)
    fresh.close()
    _release_all(table, 2.7)
    assert not granted_holders(table, 2.8)


def test_the_next_leader_learns_of_unproven_grants() -> None:
    """Guards against two holders after a change of the leader.

    The next leader has no connection that could prove them.
    """
    connection = open_connection()
    table = renewed_table(connection)
    assert not table.all_calls_answered(3)
    left = table.unconfirmed_grants(3)
    assert [grant.holder for grant in left] == [OWNER]
    assert left[0].remaining_s == pytest.approx(2 + _LEASE_END_S - 3)
    connection.prove_deliveries()
    assert table.all_calls_answered(3)
    assert not table.unconfirmed_grants(3)


def test_an_unproven_grant_does_not_keep_keys_from_moving() -> None:
    """Guards against keys that stay at a server that gets no requests."""
    table = renewed_table(open_connection())
    lease = table.at(0).lease_by_holder[OWNER]
    assert lease.unanswered_until_s <= 2
    assert lease.late_until_s > 2
