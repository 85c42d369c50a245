"""Which servers are cold, without a network.

Load: servers of the roster deployment start, become cold again, or return with
their data centre during full traffic. They crash well above ``cold_per_s``.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from tests.builders.server_rows import SERVER
from yuccadale_edge._internal import system_view
from yuccadale_edge._internal.model import (
    CallerLimits,
    Configuration,
    Server,
    Service,
)
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.cold_servers import (
    PROBE_INTERVAL_S,
    ColdServers,
    planning_rates,
)
from yuccadale_edge._internal.store import Rows, StoredRow

# When a message arrives, its number and its effect.
_Message = tuple[float, int, Callable[[], None]]
# Begin and end of a cold period, and when a message first showed it.
_Period = tuple[float, float, float]
HOLDER = Holder('s', 1)
SERVICE = Service(
    'ledger', False, 0, '/h', 0, cold_per_s=5, slow_start_s=8
)  # fmt: skip


class _World:
    """The cold servers of one instance, on a clock of its own."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.confirmed_s: float = 0
        self.cold_servers = ColdServers(
            lambda: self.now_s, lambda: self.confirmed_s
        )

    @property
    def cold(self) -> bool:
        """Whether the server is limited for the next request."""
        self.cold_servers.check_pause()
        return self.cold_servers.per_s(HOLDER, SERVICE) == 5

    def entry(self, left_s: float) -> None:
        """Applies the next entry."""
        self.cold_servers.observe_entry(replace(SERVER, slow_start_s=left_s))

    def health(self, left_s: float, *, age_s: float = 0) -> None:
        """Applies a response to a health request sent some time ago."""
        self.cold_servers.observe_health(HOLDER, left_s, self.now_s - age_s)

    def return_from_evacuation(self) -> None:
        """Ends the evacuation of the server's data centre."""
        self.cold_servers.observe_evacuation_end([HOLDER])


def test_a_server_is_cold_by_its_first_entry_until_its_time_is_over() -> None:
    """Guards against a new server that gets its full share at once."""
    world = _World()
    world.entry(3)
    world.now_s += 2.9
    assert world.cold
    world.now_s += 0.2
    assert not world.cold


def test_a_server_becomes_cold_again_without_another_incarnation() -> None:
    """Guards against counting only the first entry of an incarnation."""
    world = _World()
    world.entry(3)
    world.now_s += 4
    world.entry(0)
    world.entry(6)
    assert world.cold


def test_a_newer_entry_that_says_warm_ends_it_at_once() -> None:
    """Guards against a warm server that is limited for longer than needed."""
    world = _World()
    world.entry(60)
    world.now_s += 1
    world.entry(0)
    assert not world.cold


def test_an_entry_from_before_does_not_end_what_a_response_showed() -> None:
    """Guards against an entry that was written before the server was cold."""
    world = _World()
    world.health(9)
    world.now_s += 1
    # The first one is from an earlier cold period.
    world.entry(4)
    world.entry(0)
    assert world.cold
    assert world.cold_servers.needs_probe(HOLDER, SERVICE)
    world.now_s += 1.1
    world.entry(0)
    assert not world.cold


def test_a_response_from_before_does_not_end_it() -> None:
    """Guards against a response that an entry has overtaken."""
    world = _World()
    world.entry(5)
    world.health(0, age_s=0.3)
    assert world.cold
    world.now_s += 0.1
    world.health(0)
    assert not world.cold


def test_an_earlier_end_does_not_shorten_a_later_one() -> None:
    """Guards against late messages."""
    world = _World()
    world.entry(10)
    world.health(2)
    world.now_s += 5
    assert world.cold


def test_a_returned_server_is_cold_until_a_response_says_otherwise() -> None:
    """Guards against full traffic to servers that became cold meanwhile."""
    world = _World()
    world.return_from_evacuation()
    world.now_s += 1
    world.entry(0)
    assert world.cold
    world.health(0)
    assert not world.cold


def test_a_response_to_an_earlier_request_says_nothing_of_a_return() -> None:
    """Guards against a response from before the server became cold."""
    world = _World()
    world.return_from_evacuation()
    world.health(0, age_s=0.1)
    assert world.cold


def test_a_returned_server_that_never_responds_is_warm_in_the_end() -> None:
    """Guards against a server that is limited for ever."""
    world = _World()
    world.return_from_evacuation()
    world.now_s += SERVICE.slow_start_s + 0.1
    assert not world.cold


def test_a_server_is_asked_at_most_once_in_the_interval() -> None:
    """Guards against health requests that add to the load of cold servers."""
    world = _World()
    assert not world.cold_servers.needs_probe(HOLDER, SERVICE)
    world.return_from_evacuation()
    asked = 0
    for _ in range(40):
        if world.cold_servers.needs_probe(HOLDER, SERVICE):
            world.cold_servers.note_probe(HOLDER)
            asked += 1
        world.now_s += PROBE_INTERVAL_S / 10
    assert asked == 4
    world.now_s += PROBE_INTERVAL_S
    world.health(1)
    assert world.cold
    assert not world.cold_servers.needs_probe(HOLDER, SERVICE)


def test_a_server_is_asked_when_messages_disagree() -> None:
    """Guards against a warm server that a stale later end keeps limited."""
    world = _World()
    world.entry(10)
    world.health(2)
    assert not world.cold_servers.needs_probe(HOLDER, SERVICE)
    world.now_s += 2.1
    assert world.cold_servers.needs_probe(HOLDER, SERVICE)
    world.health(0)
    assert not world.cold


def test_services_without_the_limit_are_served_as_before() -> None:
    """Guards against a changed rate of deployments without ``cold_per_s``."""
    world = _World()
    world.entry(10)
    world.return_from_evacuation()
    plain = replace(SERVICE, cold_per_s=None)
    assert world.cold_servers.is_cold(HOLDER, plain)
    assert world.cold_servers.per_s(HOLDER, plain) is None
    assert not world.cold_servers.needs_probe(HOLDER, plain)
    with capture_logs() as events:
        world.cold_servers.review([SERVER], {'ledger': plain})
    assert not events


def test_a_process_that_was_stopped_treats_all_servers_as_cold() -> None:
    """Guards against traffic to servers that became cold meanwhile.

    The queues of a process that resumes are full of requests.
    """
    world = _World()
    services = {'ledger': SERVICE}
    for _ in range(9):
        world.cold_servers.review([SERVER], services)
        world.now_s += 0.2
        assert not world.cold
    world.now_s += 3
    assert world.cold
    assert not world.cold_servers.needs_probe(HOLDER, SERVICE)
    world.cold_servers.review([SERVER], services)
    world.now_s += 0.2
    assert world.cold
    world.confirmed_s = world.now_s
    assert not world.cold
    world.confirmed_s = 0
    for _ in range(6):
        world.cold_servers.review([SERVER], services)
        world.now_s += 0.2
    # Entries cannot be confirmed during an outage of the store.
    assert not world.cold


def test_warm_responses_pass_to_the_other_instances() -> None:
    """Guards against instances that limit a warm server for long.

    The other one learned of the return later, and its clock differs.
    """
    world, other = _World(), _World()
    other.now_s = 7000
    world.return_from_evacuation()
    world.health(0)
    for instance in (world, other):
        instance.now_s += 0.5
    other.return_from_evacuation()
    assert other.cold
    notices = world.cold_servers.take_notices(repeat=False)
    other.cold_servers.apply_notices(notices)
    assert not other.cold
    assert not world.cold_servers.take_notices(repeat=False)
    assert world.cold_servers.take_notices(repeat=True)
    assert not other.cold_servers.take_notices(repeat=True)
    world.now_s += 20
    assert not world.cold_servers.take_notices(repeat=True)


def test_a_late_notice_does_not_end_a_later_cold_period() -> None:
    """Guards against a message that was on its way for almost a second."""
    world, other = _World(), _World()
    world.health(0)
    notices = world.cold_servers.take_notices(repeat=False)
    other.now_s += 0.1
    other.entry(5)
    other.now_s += 0.8
    other.cold_servers.apply_notices(notices)
    assert other.cold


def test_the_time_that_is_left_passes_to_the_other_instances() -> None:
    """Guards against a server that becomes cold and only its sender knows."""
    world, other = _World(), _World()
    world.health(5)
    world.now_s += 1
    other.cold_servers.apply_notices(
        world.cold_servers.take_notices(repeat=False)
    )
    other.now_s += 3.9
    assert other.cold
    other.now_s += 0.2
    assert not other.cold


def test_changes_are_logged_once() -> None:
    """Guards against a log line for each entry of a cold server."""
    world = _World()
    services = {'ledger': SERVICE}
    with capture_logs() as events:
        for left_s in (3, 2, 1, 0, 0):
            world.entry(left_s)
            world.cold_servers.review([SERVER], services)
            world.now_s += 1
    assert [one['event'] for one in events] == ['server cold', 'server warm']


def test_a_missing_entry_does_not_end_it() -> None:
    """Guards against full traffic when an entry returns after an outage."""
    world = _World()
    world.entry(8)
    world.cold_servers.review([], {'ledger': SERVICE})
    assert world.cold
    world.return_from_evacuation()
    world.now_s += 7
    world.cold_servers.review([], {'ledger': SERVICE})
    assert world.cold
    world.now_s += 100
    world.cold_servers.review([], {'ledger': SERVICE})
    assert not world.cold_servers._period_by_holder


def test_keys_are_planned_by_the_smaller_limit() -> None:
    """Guards against keys that pile up on a cold server."""
    other = Holder('t', 1)
    rates = planning_rates(
        lambda: {HOLDER: 2, other: 9}, lambda: [(HOLDER, 5), (other, 5)]
    )
    assert rates() == {HOLDER: 2, other: 5}


@dataclass(frozen=True)
class _Change:
    """A change of the server, and its messages.

    Attributes:
        left_s: of the cold period that begins, 0 for its end.
        entry_delay_s: delay of the next entry.
        health_delay_s: delay of a health response.
        pause_s: time until the next change.
    """

    left_s: float
    entry_delay_s: float
    health_delay_s: float
    pause_s: float


_CHANGES = st.lists(
    st.builds(
        _Change,
        st.sampled_from((0, 0.5, 4)),
        st.floats(0, 1.5),
        st.floats(0, 0.9),
        st.floats(0.01, 4),
    ),
    max_size=12,
)


@given(_CHANGES)
def test_late_messages_never_end_a_cold_period_that_was_shown(
    changes: list[_Change],
) -> None:
    """Guards against an order of late messages that ends a cold period.

    Entries arrive late, but in order; health responses in any order.
    """
    world = _World()
    messages: list[_Message] = []
    written_s = world.now_s
    entry_s = written_s
    periods: list[_Period] = []
    for change in changes:
        entry_s = max(entry_s, written_s + change.entry_delay_s)
        health_s = written_s + change.health_delay_s
        messages.extend((
            (entry_s, len(messages), partial(world.entry, change.left_s)),
            (health_s, len(messages) + 1, partial(
                world.cold_servers.observe_health,
                HOLDER, change.left_s, written_s,
            )),
        ))  # fmt: skip
        end_s = written_s + min(change.left_s, change.pause_s)
        periods.append((written_s, end_s, min(entry_s, health_s)))
        written_s += change.pause_s
    for arrived_s, _, apply in sorted(messages):
        world.now_s = arrived_s
        apply()
        assert world.cold or not _is_shown(periods, arrived_s)


def _is_shown(periods: list[_Period], moment_s: float) -> bool:
    """Whether a server is cold, and a message has shown that before."""
    return any(
        max(begin_s, shown_s) < moment_s < end_s
        for begin_s, end_s, shown_s in periods
    )


def _view(left_s: list[float]) -> system_view.SystemView:
    """Returns a view of which each entry says what is left in the list."""

    def decode(server_id: str, _content: bytes) -> Server:
        return replace(SERVER, server_id=server_id, slow_start_s=left_s[0])

    view = system_view.SystemView(
        lambda _: Configuration(
            1, {}, {'ledger': SERVICE}, CallerLimits(1, 1, 1, 1)
        ),
        decode,
        2.0,
        lambda key: key.removeprefix('evacuate/') if '/' in key else None,
    )
    _apply(view, 'configuration', StoredRow('config', b'1', 1))
    return view


def _apply(view: system_view.SystemView, table: str, row: StoredRow) -> None:
    view.apply_rows(
        table,
        Rows((row,), row.version),
        full_snapshot=False,
        removal_grace=False,
    )


def test_an_entry_that_differs_in_its_slow_start_only_counts() -> None:
    """Guards against entries that are dropped since the server is the same."""
    left_s: list[float] = [0]
    view = _view(left_s)
    _apply(view, 'servers', StoredRow('s', b'{}', 2))
    server = view.servers.server_by_id['s']
    assert view.cold_per_s(server) is None
    left_s[0] = 5
    _apply(view, 'servers', StoredRow('s', b'{}', 2))
    assert view.cold_per_s(server) is None
    _apply(view, 'servers', StoredRow('s', b'{}', 3))
    assert view.cold_per_s(server) == 5
    assert list(view.cold_limits()) == [(HOLDER, 5)]


@pytest.mark.parametrize('begin_known', [True, False])
def test_the_end_of_an_evacuation_makes_servers_cold(
    *, begin_known: bool
) -> None:
    """Guards against an instance that learns only the end."""
    view = _view([0])
    _apply(view, 'servers', StoredRow('s', b'{}', 2))
    server = view.servers.server_by_id['s']
    if begin_known:
        _apply(view, 'configuration', StoredRow('evacuate/a', b'', 3))
        assert not list(view.servers_to_probe())
    _apply(view, 'configuration', StoredRow('evacuate/a', b'', 4, removed=True))
    assert view.cold_per_s(server) == 5
    assert list(view.servers_to_probe()) == [(server, '/h')]
    # Its data centre was never evacuated.
    _apply(view, 'configuration', StoredRow('evacuate/b', b'', 5, removed=True))
    assert list(view.servers_to_probe()) == [(server, '/h')]
