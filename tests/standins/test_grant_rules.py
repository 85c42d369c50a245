"""The simulated server enforces the rules in section 3.3 of the design page."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders.requests_to_servers import build_grant
from yuccadale_core.targets import Grant, GrantAnswer
from yuccadale_standins.grant_rules import (
    GRANT_EXPIRY_WAIT_MS,
    GrantRules,
    WorkPermit,
    WorkRefusal,
)


class Server:
    """Grant rules with a clock that the test sets.

    The process started long enough ago to serve new slots at once.
    """

    def __init__(self) -> None:
        self.now_ms: float = 0
        self.rules = GrantRules(lambda: self.now_ms, 'incarnation-1')
        self.now_ms = 100_000

    def grant(self, **fields: object) -> Grant:
        """Returns a grant with a new ticket."""
        return build_grant(self.rules.hello().ticket, **fields)

    def offer(self, **fields: object) -> GrantAnswer:
        """Offers a grant with a new ticket."""
        return self.rules.offer(self.grant(**fields))

    def may_start(self, slot: int = 7, token: int = 2) -> bool:
        """Returns whether a request may start."""
        return isinstance(self.rules.start(slot, token), WorkPermit)


@pytest.fixture
def server() -> Server:
    """A server without any grant."""
    return Server()


def test_lifetime_counts_from_the_ticket(server: Server) -> None:
    """Guards against a lifetime extended by the time before processing."""
    delayed = server.grant(ttl_ms=1000)
    server.now_ms += 999
    assert server.rules.offer(delayed).accepted
    assert server.may_start()
    server.now_ms += 1
    assert server.rules.start(7, 2) == WorkRefusal.grant_ended


def test_grant_processed_after_its_end_serves_nothing(server: Server) -> None:
    """Guards against a frozen server that resumes with an expired grant."""
    delayed = server.grant(ttl_ms=1000)
    server.now_ms += 1000
    server.rules.offer(delayed)
    assert server.rules.start(7, 2) == WorkRefusal.grant_ended


def test_grant_without_lifetime_keeps_the_slots(server: Server) -> None:
    """Guards against a waiting time for slots that the server already owns.

    After a takeover, the new leader first offers its token with a grant that
    has no lifetime.
    """
    server.offer(slots=(7,))
    permit = server.rules.start(7, 2)
    server.offer(slots=(7,), token=4, holder='leader-b', ttl_ms=0)
    assert server.rules.start(7, 4) == WorkRefusal.grant_ended
    server.now_ms += 50
    server.offer(slots=(7,), token=4, holder='leader-b', sequence=2)
    assert server.may_start(slot=7, token=4)
    assert not server.rules.may_take_effect(permit)


@pytest.mark.parametrize(
    'change',
    [
        {'sequence': 5},
        {'sequence': 4},
        {'token': 1, 'sequence': 9},
        {'holder': 'leader-b', 'sequence': 9},
    ],
    ids=['same sequence', 'lower sequence', 'lower token', 'other holder'],
)
def test_outdated_grant_changes_nothing(
    server: Server, change: dict[str, object]
) -> None:
    """Guards against a delayed grant that restores a revoked slot."""
    assert server.offer(slots=(7,), sequence=5).accepted
    answer = server.offer(**({'slots': (8,)} | change))
    assert not answer.accepted
    assert answer.last_grant.slots == (7,)
    assert not server.may_start(slot=8)


def test_ticket_of_another_process_is_refused(server: Server) -> None:
    """Guards against accepting a grant for the process before a restart."""
    grant = server.grant()
    foreign = replace(
        grant, ticket=replace(grant.ticket, incarnation='incarnation-0')
    )
    assert not server.rules.offer(foreign).accepted


def test_start_delays_slots_like_an_earlier_answer() -> None:
    """Guards against ignoring an earlier process's answer to a leader."""
    server = Server()
    server.now_ms = 500
    assert server.offer().ready_in_ms == GRANT_EXPIRY_WAIT_MS - 500
    assert server.rules.start(7, 2) == WorkRefusal.slot_not_ready


def test_higher_token_delays_only_new_slots(server: Server) -> None:
    """Guards against serving a slot before its old owner's grant expires."""
    server.offer(slots=(7,), holder='leader-a')
    server.now_ms += 100
    answer = server.offer(slots=(7, 8), token=4, holder='leader-b')
    assert answer.ready_in_ms == GRANT_EXPIRY_WAIT_MS - 100
    assert server.may_start(slot=7, token=4)
    assert server.rules.start(8, 4) == WorkRefusal.slot_not_ready
    server.now_ms += 500
    server.offer(slots=(7, 8), token=4, sequence=2, holder='leader-b')
    server.now_ms += GRANT_EXPIRY_WAIT_MS - 600
    assert server.may_start(slot=8, token=4)


def test_refused_grant_of_the_current_holder_counts_as_an_answer(
    server: Server,
) -> None:
    """Guards against a server that ignores its answer to a refused grant.

    By rule R3 (b) the leader may rely on that answer.
    """
    server.offer(sequence=5)
    server.now_ms += 600
    assert not server.offer(sequence=5).accepted
    answer = server.offer(slots=(8,), token=4, holder='leader-b')
    assert answer.ready_in_ms == GRANT_EXPIRY_WAIT_MS


def test_expired_grant_keeps_no_slot(server: Server) -> None:
    """Guards against serving a slot at once that another server may own."""
    server.offer(slots=(7,), ttl_ms=200)
    server.now_ms += 300
    server.offer(slots=(7,), token=4, holder='leader-b')
    assert server.rules.start(7, 4) == WorkRefusal.slot_not_ready


def test_lower_token_is_refused_after_a_takeover(server: Server) -> None:
    """Guards against running requests of a leader that was replaced."""
    server.offer()
    server.offer(token=3, holder='leader-b')
    assert server.rules.start(7, 2) == WorkRefusal.token_too_low
    assert not server.offer(token=2, sequence=9).accepted


@pytest.mark.parametrize('regranted', [False, True])
def test_work_of_a_revoked_slot_has_no_effect(
    server: Server, *, regranted: bool
) -> None:
    """Guards against an effect after the slot was revoked in between."""
    server.offer(sequence=1)
    permit = server.rules.start(7, 2)
    server.offer(slots=(), sequence=2)
    if regranted:
        server.offer(sequence=3)
    assert not server.rules.may_take_effect(permit)


def test_work_continues_when_the_slot_gets_a_new_leader(
    server: Server,
) -> None:
    """Guards against aborting a request although its server keeps the slot."""
    server.offer()
    permit = server.rules.start(7, 2)
    server.offer(token=4, holder='leader-b')
    assert server.rules.may_take_effect(permit)


Offer = tuple[int, str, int, int, set[int], int]

_OFFERS = st.lists(
    st.tuples(
        st.integers(0, 700),
        st.sampled_from(('leader-a', 'leader-b', 'leader-c')),
        st.integers(1, 6),
        st.integers(1, 9),
        st.sets(st.integers(0, 2)),
        st.integers(1, 3000),
    ),
    max_size=40,
)


@given(offers=_OFFERS)
def test_any_order_of_offers_keeps_the_rules(
    offers: list[Offer],
) -> None:
    """Guards against an order of offers that shortens a waiting time."""
    server = Server()
    ticket = server.rules.hello().ticket
    answered_ms: dict[str, float] = {}
    for delay_ms, holder, token, sequence, slots, ttl_ms in offers:
        server.now_ms += delay_ms
        before = server.rules.highest_token
        served = {slot for slot in range(3) if server.may_start(slot, before)}
        answer = server.rules.offer(
            build_grant(
                ticket,
                holder=holder,
                token=token,
                sequence=sequence,
                slots=tuple(slots),
                ttl_ms=ttl_ms,
            )
        )
        after = server.rules.highest_token
        assert after >= before
        if after > before:
            others = [
                at_ms for name, at_ms in answered_ms.items() if name != holder
            ]
            waiting = (
                max(others, default=0) + GRANT_EXPIRY_WAIT_MS > server.now_ms
            )
            now_served = {
                slot for slot in range(3) if server.may_start(slot, after)
            }
            assert not waiting or now_served <= served
        if token == after:
            answered_ms[holder] = server.now_ms
        ticket = answer.ticket if delay_ms % 2 else ticket
