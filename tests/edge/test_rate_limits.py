"""What an instance keeps of the limits that servers name, without a network."""

from math import inf

import pytest
from structlog.testing import capture_logs

from yuccadale_edge._internal.membership.limit_exchange import _decode, _encode
from yuccadale_edge._internal.model import Server, ServerState
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.rate_limits import RateLimits

HOLDER = Holder('s', 1)
SERVER = Server(
    's', 'ledger', ('127.0.0.1', 1), 'a', 2, ServerState.ready, 1, 0
)
# Between an answer and the next request.
_PAUSE_S = 0.01


class _Instance:
    """The limits that one instance knows, on a clock of its own."""

    def __init__(self, started_s: float = 0) -> None:
        self.now_s = started_s
        self.metrics = Metrics()
        self.limits = RateLimits(self.metrics, lambda: self.now_s)

    def answer(self, per_s: float | None, *, after_s: float = 0.1) -> None:
        """Observes the answer to a request that is sent now."""
        sent_s = self.now_s + _PAUSE_S
        self.now_s = sent_s + after_s
        self.limits.observe(SERVER, per_s, sent_s)


def test_keys_move_for_a_lasting_limit_and_do_not_come_straight_back() -> None:
    """Guards against moves for a moment's limit, and moves to and fro."""
    instance = _Instance()
    instance.answer(6)
    assert not instance.limits.planning_rate_by_holder()
    instance.now_s += 1.5
    assert instance.limits.planning_rate_by_holder() == {HOLDER: 6}
    instance.answer(None)
    instance.now_s += 9
    instance.limits.keep_only({HOLDER})
    assert instance.limits.planning_rate_by_holder() == {HOLDER: 6}
    instance.now_s += 2
    instance.limits.keep_only({HOLDER})
    assert not instance.limits.planning_rate_by_holder()


def test_an_answer_to_an_earlier_request_does_not_end_a_limit() -> None:
    """Guards against answers that overtake each other."""
    instance = _Instance()
    sent_s = instance.now_s
    instance.answer(6)
    instance.limits.observe(SERVER, None, sent_s)
    assert instance.limits.per_s(HOLDER) == 6
    instance.answer(None)
    assert instance.limits.per_s(HOLDER) is None


def test_the_rate_rises_gradually_after_a_limit_ended() -> None:
    """Guards against a burst at a server that has just recovered."""
    instance = _Instance()
    instance.answer(10)
    instance.answer(None)
    rates = []
    for _ in range(8):
        rates.append(instance.limits.sending_rate(HOLDER, 1))
        instance.now_s += 0.25
    assert rates == pytest.approx([10 * 2**step for step in range(7)] + [inf])


def test_a_limit_ends_with_its_server() -> None:
    """Guards against a limit that the next owner of an id inherits."""
    instance = _Instance()
    instance.answer(6)
    instance.limits.keep_only({Holder('s', 2)})
    assert instance.limits.per_s(HOLDER) is None
    assert instance.limits.sending_rate(Holder('s', 2), 1) == inf
    assert 'server_limit_per_s' not in instance.metrics.text()


def test_an_older_message_changes_nothing() -> None:
    """Guards against a peer's old value that replaces a newer one."""
    old, new = _Instance(), _Instance(100)
    old.answer(40)
    notices = old.limits.take_notices(repeat=False)
    new.answer(6)
    new.now_s += 0.5
    aged = [(*HOLDER, notice.per_s, 1.0) for notice in notices]
    new.limits.apply(_decode(_encode(aged)))
    assert new.limits.per_s(HOLDER) == 6


def test_a_change_is_told_once_and_repeated_by_its_observer() -> None:
    """Guards against messages for each answer, and lost ones for good."""
    observer, other = _Instance(), _Instance(50)
    for _ in range(20):
        observer.answer(6)
    notices = observer.limits.take_notices(repeat=False)
    assert [notice.per_s for notice in notices] == [6]
    observer.answer(6)
    assert not observer.limits.take_notices(repeat=False)
    other.limits.apply(observer.limits.take_notices(repeat=True))
    assert other.limits.per_s(HOLDER) == 6
    assert not other.limits.take_notices(repeat=True)


@pytest.mark.parametrize('count', [1, 5])
def test_bad_values_are_logged_once_and_counted(count: int) -> None:
    """Guards against a log that a faulty server fills."""
    instance = _Instance()
    instance.answer(6)
    with capture_logs() as lines:
        for _ in range(count):
            instance.limits.count_invalid(SERVER, 'many')
    assert [line['event'] for line in lines] == ['invalid server limit ignored']
    counted = f'invalid_server_limits_total{{service="ledger"}} {count}'
    assert counted in instance.metrics.text()
    assert instance.limits.per_s(HOLDER) == 6
