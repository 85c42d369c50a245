"""What counts as a reason to send no requests to a server, and for how long."""

from dataclasses import replace

from yuccadale_edge._internal.model import Server, ServerState
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.server_availability import (
    LeavingNotice,
    ServerAvailability,
)

_SERVER = Server('s', 'ledger', ('server', 1), 'a', 4, ServerState.ready, 1, 0)
_HOLDER = Holder('s', 1)
_RETENTION_S = 120


class _Clock:
    def __init__(self) -> None:
        self.now_s: float = 1000

    def __call__(self) -> float:
        return self.now_s


def _leaving(clock: _Clock) -> ServerAvailability:
    availability = ServerAvailability(clock, {'s': _SERVER})
    assert availability.mark_leaving(_HOLDER)
    return availability


def test_a_ready_entry_does_not_end_a_statement() -> None:
    """Guards against an entry that comes back ready and is believed."""
    availability = _leaving(_Clock())
    availability.forget_ended({_HOLDER})
    assert not availability.accepts_requests(_SERVER)


def test_a_statement_outlasts_a_missing_entry() -> None:
    """Guards against a server that is used again when its entry returns."""
    clock = _Clock()
    availability = _leaving(clock)
    availability.forget_ended({_HOLDER})
    clock.now_s += _RETENTION_S
    availability.forget_ended(set())
    assert not availability.accepts_requests(_SERVER)


def test_ended_servers_are_forgotten() -> None:
    """Guards against memory that grows with each server that left."""
    clock = _Clock()
    availability = _leaving(clock)
    clock.now_s += _RETENTION_S + 1
    availability.forget_ended(set())
    assert not availability.take_leaving(repeat=True, all_known=True)


def test_others_inherit_nothing() -> None:
    """Guards against a statement that counts for an address or an id."""
    availability = _leaving(_Clock())
    availability.mark_paused(_HOLDER, 4)
    next_process = replace(_SERVER, incarnation=2)
    same_address = replace(_SERVER, server_id='t')
    for server in (next_process, same_address):
        assert availability.accepts_requests(server)
        holder = Holder(server.server_id, server.incarnation)
        assert not availability.pause_left_s(holder)


def test_an_entry_that_leaves_needs_no_answer() -> None:
    """Guards against answers that replace what the entry says."""
    availability = ServerAvailability(_Clock(), {'s': _SERVER})
    assert availability.is_leaving(replace(_SERVER, state=ServerState.leaving))


def test_only_the_leader_repeats_what_others_told() -> None:
    """Guards against messages that grow with the square of the instances."""
    availability = ServerAvailability(_Clock(), {'s': _SERVER})
    notice = LeavingNotice('s', 1)
    assert availability.apply_leaving([notice])
    assert not availability.apply_leaving([notice])
    assert not availability.take_leaving(repeat=True, all_known=False)
    assert availability.take_leaving(repeat=True, all_known=True) == [notice]


def test_a_change_is_told_once_before_it_is_repeated() -> None:
    """Guards against a message for each answer."""
    availability = _leaving(_Clock())
    assert not availability.mark_leaving(_HOLDER)
    assert len(availability.take_leaving(repeat=False, all_known=False)) == 1
    assert not availability.take_leaving(repeat=False, all_known=False)


def test_a_pause_ends_by_itself() -> None:
    """Guards against a pause that is never over."""
    clock = _Clock()
    availability = ServerAvailability(clock, {'s': _SERVER})
    assert availability.mark_paused(_HOLDER, 4)
    assert not availability.mark_paused(_HOLDER, 1)
    assert availability.pause_left_s(_HOLDER) == 4
    clock.now_s += 4
    assert not availability.pause_left_s(_HOLDER)
