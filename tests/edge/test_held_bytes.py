"""The account of bytes that a process holds for others."""

from contextlib import ExitStack

from hypothesis import given, settings
from hypothesis import strategies as st

from yuccadale_edge._internal.transport.held_bytes import (
    SMALL_BYTES,
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
