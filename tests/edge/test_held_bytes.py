"""The account of bytes that a process holds for others."""

from contextlib import ExitStack

from hypothesis import given, settings
from hypothesis import strategies as st

from yuccadale_edge._internal.transport.held_bytes import (
    SMALL_BYTES,
    AnswerRoom,
    BodyShare,
    HeldBytes,
    Holding,
)

_KB = 1000
_MAX = 1000 * _KB


def _ignore() -> None:
    """Does nothing."""


def _held(stack: ExitStack, account: HeldBytes, size: int) -> Holding:
    holding = stack.enter_context(account.holding(_ignore))
    holding.resize(size)
    return holding


def test_the_largest_part_without_a_known_end_is_given_up() -> None:
    """Guards against small answers that are lost for one without an end."""
    account = HeldBytes(_MAX)
    with ExitStack() as stack:
        small = [_held(stack, account, 90 * _KB) for _ in range(5)]
        reserved = _held(stack, account, 0)
        assert reserved.reserve(400 * _KB, _ignore)
        endless = _held(stack, account, 100 * _KB)
        assert account.given_up == 0
        endless.grow_to(200 * _KB)
        assert account.given_up == 1
        assert endless.size == 0
        assert all(one.size == 90 * _KB for one in small)
        assert reserved.size == 400 * _KB
    assert account.size == 0


def test_a_body_of_known_length_waits_for_room() -> None:
    """Guards against sound answers that are given up for their size."""
    account = HeldBytes(_MAX)
    granted: list[str] = []
    with ExitStack() as stack:
        second = _held(stack, account, 0)
        third = _held(stack, account, 0)
        with account.holding(_ignore) as first:
            assert first.reserve(_MAX * 2, _ignore)
            with account.holding(_ignore) as ended:
                ended.reserve(_MAX, lambda: granted.append('ended'))
            second.reserve(600 * _KB, lambda: granted.append('second'))
            third.reserve(600 * _KB, lambda: granted.append('third'))
            assert not granted
        assert granted == ['second']
        second.resize(0)
        assert granted == ['second', 'third']
    assert account.size == 0


def test_an_answer_without_a_known_end_gives_way_to_others() -> None:
    """Guards against a faulty server that delays the answers of the store."""
    account = HeldBytes(_MAX)
    with ExitStack() as stack:
        endless = _held(stack, account, 900 * _KB)
        store = _held(stack, account, 0)
        assert store.reserve(300 * _KB, _ignore)
        assert endless.size == 0
        assert not account.make_room(800 * _KB)
        assert account.make_room(700 * _KB)


def test_a_small_body_never_waits() -> None:
    """Guards against servers that block the answers of others."""
    account = HeldBytes(_MAX)
    with account.holding(_ignore) as large:
        assert large.reserve(_MAX * 2, _ignore)
        with account.holding(_ignore) as small:
            assert small.reserve(SMALL_BYTES, _ignore)


def test_an_answer_behind_one_of_known_length_may_be_given_up() -> None:
    """Guards against a short answer that protects one without an end."""
    account = HeldBytes(_MAX)
    with account.holding(_ignore) as holding:
        assert holding.reserve(_KB, _ignore)
        holding.restart()
        holding.grow_to(_MAX * 2)
        assert account.given_up == 1
    assert account.size == 0


def test_an_answer_passes_others_that_wait_for_its_instance() -> None:
    """Guards against two instances that wait for each other's room.

    The account is full of answers that leave once another instance has room.
    """
    account = HeldBytes(_MAX)
    granted: list[str] = []
    with ExitStack() as stack:
        outgoing = _held(stack, account, 0)
        assert outgoing.reserve(_MAX, _ignore)
        local = _held(stack, account, 0)
        assert not local.reserve(_MAX, lambda: granted.append('local'))
        first, second = [
            stack.enter_context(account.holding(_ignore, for_caller=True))
            for _ in range(2)
        ]
        assert first.reserve(400 * _KB, _ignore)
        assert not second.reserve(400 * _KB, lambda: granted.append('second'))
        first.resize(0)
        assert granted == ['second']


def test_the_only_answer_to_a_caller_is_kept() -> None:
    """Guards against an answer that is accepted alone and then given up."""
    account = HeldBytes(_MAX)
    with ExitStack() as stack:
        outgoing = _held(stack, account, 0)
        assert outgoing.reserve(_MAX, _ignore)
        first, second = [
            stack.enter_context(account.holding(_ignore, for_caller=True))
            for _ in range(2)
        ]
        first.grow_to(400 * _KB)
        assert account.given_up == 0
        second.grow_to(300 * _KB)
        assert account.given_up == 1
        assert (first.size, second.size) == (0, 300 * _KB)


def test_room_is_kept_for_the_next_holder_of_an_answer() -> None:
    """Guards against replies that are given up as their room was reused.

    An answer left the account of its connection and was counted as a reply
    some time later. Others were accepted in between: one that waited for room,
    and one as the only answer to a caller.
    """
    account = HeldBytes(_MAX)
    room = AnswerRoom(account, for_caller=True)
    granted: list[str] = []
    with ExitStack() as stack:
        waiting = _held(stack, account, 0)
        only = stack.enter_context(account.holding(_ignore, for_caller=True))
        with room.collecting(), account.holding(_ignore) as answer:
            assert answer.reserve(700 * _KB, _ignore)
            waiting.reserve(700 * _KB, lambda: granted.append('waiting'))
        assert not only.reserve(700 * _KB, lambda: granted.append('only'))
        assert not granted
        assert not account.has_room(700 * _KB)
        reply = stack.enter_context(account.holding(_ignore, for_caller=True))
        with room.handed_over():
            reply.resize(700 * _KB)
        assert not granted
        assert account.given_up == 0
        reply.resize(0)
        assert granted == ['only']
        only.resize(0)
        assert granted == ['only', 'waiting']
    assert account.size == 0


def test_the_only_answer_to_a_caller_ends_no_other_reply() -> None:
    """Guards against replies that are given up for one beyond the bound.

    The answer of a server was read with room for it, and became a reply after
    the only answer to a caller had been accepted without room.
    """
    account = HeldBytes(_MAX)
    room = AnswerRoom(account, for_caller=True)
    with ExitStack() as stack:
        outgoing = _held(stack, account, 0)
        assert outgoing.reserve(300 * _KB, _ignore)
        with room.collecting(), account.holding(_ignore) as answer:
            assert answer.reserve(700 * _KB, _ignore)
            only = stack.enter_context(
                account.holding(_ignore, for_caller=True)
            )
            assert only.reserve(700 * _KB, _ignore)
        with room.handed_over():
            reply = stack.enter_context(
                account.holding(_ignore, for_caller=True)
            )
            reply.resize(700 * _KB)
        assert account.given_up == 0
        assert account.size == 1700 * _KB


def test_room_of_an_answer_that_was_not_used_is_released() -> None:
    """Guards against room that is lost with a request that was cancelled."""
    account = HeldBytes(_MAX)
    room = AnswerRoom(account)
    for size in (400 * _KB, 300 * _KB):
        with room.collecting(), account.holding(_ignore) as answer:
            assert answer.reserve(size, _ignore)
        assert account.size == size
    with room.handed_over():
        assert account.size == 0
    with room.collecting(), account.holding(_ignore) as late:
        assert late.reserve(400 * _KB, _ignore)
    assert account.size == 0
    with account.answer_room(), account.holding(_ignore) as unused:
        assert unused.reserve(400 * _KB, _ignore)
    assert account.size == 0


def test_an_answer_waits_for_replies_that_are_being_read() -> None:
    """Guards against replies that are cut off to make room for others."""
    account = HeldBytes(_MAX)
    granted: list[str] = []
    with ExitStack() as stack:
        replies = [
            stack.enter_context(account.holding(_ignore, for_caller=True))
            for _ in range(2)
        ]
        for reply in replies:
            reply.resize(400 * _KB)
        waiting = _held(stack, account, 0)
        assert not waiting.reserve(500 * _KB, lambda: granted.append('waiting'))
        share = BodyShare(_MAX, account)
        assert not share.hold(500 * _KB)
        assert account.given_up == 0
        replies[0].mark_stalled(stalled=True)
        assert granted == ['waiting']
        assert [reply.size for reply in replies] == [0, 400 * _KB]


def test_a_share_is_bounded_beside_the_account() -> None:
    """Guards against one kind of bodies that takes the room of all."""
    account = HeldBytes(_MAX)
    share = BodyShare(300 * _KB, account)
    other = BodyShare(300 * _KB, account)
    assert share.hold(500 * _KB)
    assert not share.hold(1)
    assert other.hold(200 * _KB)
    assert share.refused == 1
    assert account.size == 700 * _KB
    share.release(500 * _KB)
    other.release(200 * _KB)
    assert account.size == 0


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 400 * _KB)), max_size=60
    )
)
def test_the_account_stays_within_its_bound(
    changes: list[tuple[int, int]],
) -> None:
    """Guards against bytes that are counted twice, or never released."""
    account = HeldBytes(_MAX)
    with ExitStack() as stack:
        holdings = [_held(stack, account, 0) for _ in range(10)]
        for number, size in changes:
            holdings[number].grow_to(size)
            assert account.size == sum(one.size for one in holdings)
            assert account.size <= _MAX
    assert account.size == 0
