"""Which unfinished requests give way when clients fill their shares."""

from yuccadale_edge._internal.transport.held_bytes import HeldBytes
from yuccadale_edge._internal.transport.received_requests import (
    SMALL_REQUEST_BYTES,
    ReceivedRequests,
    UnfinishedRequest,
)

_MAX = 10 * SMALL_REQUEST_BYTES
_LARGE = _MAX // 2
_FAST_BYTES_PER_S = 1_000_000


class _Clients:
    """Requests of clients on a clock of their own."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.given_up: list[str] = []
        self.requests = ReceivedRequests(
            _MAX, HeldBytes(4 * _MAX), lambda: self.now_s
        )

    def begin(self, name: str) -> UnfinishedRequest:
        """Begins a request."""

        def give_up() -> None:
            self.given_up.append(name)

        request = UnfinishedRequest(self.requests, give_up)
        request.begin(self.now_s)
        return request


def test_large_requests_keep_no_small_one_out() -> None:
    """Guards against a few clients that keep all others from being served."""
    clients = _Clients()
    for name in ('first', 'second'):
        assert clients.begin(name).grow_to(_LARGE)
    assert not clients.begin('large').grow_to(_LARGE)
    assert clients.begin('small').grow_to(SMALL_REQUEST_BYTES)
    assert clients.requests.refused == 1


def test_only_the_request_of_a_slow_client_gives_way() -> None:
    """Guards against uploads that a newer request displaces."""
    clients = _Clients()
    fast, slow, handled = map(clients.begin, ('fast', 'slow', 'handled'))
    assert fast.grow_to(_LARGE)
    assert handled.grow_to(SMALL_REQUEST_BYTES + 1)
    assert slow.grow_to(_LARGE - SMALL_REQUEST_BYTES - 1)
    handled_bytes = handled.finish()
    fast.receive(_FAST_BYTES_PER_S, clients.now_s)
    assert not clients.begin('early').grow_to(_LARGE - SMALL_REQUEST_BYTES - 1)
    clients.now_s += 1
    assert clients.begin('new').grow_to(_LARGE - SMALL_REQUEST_BYTES - 1)
    assert clients.given_up == ['slow']
    assert not clients.begin('one more').grow_to(_LARGE)
    assert clients.given_up == ['slow']
    clients.requests.release(handled_bytes)
    assert clients.requests.size == 2 * _LARGE - SMALL_REQUEST_BYTES - 1


def test_a_request_above_the_share_is_accepted_beside_small_ones() -> None:
    """Guards against a permitted body that a small machine never accepts."""
    clients = _Clients()
    small = clients.begin('small')
    assert small.grow_to(SMALL_REQUEST_BYTES)
    assert clients.begin('above').grow_to(5 * _MAX)
    assert not clients.begin('other').grow_to(2 * SMALL_REQUEST_BYTES)
    assert clients.begin('another small').grow_to(SMALL_REQUEST_BYTES)
    small.drop()
    assert clients.requests.size == 5 * _MAX + SMALL_REQUEST_BYTES


def test_small_requests_share_a_bound() -> None:
    """Guards against many small requests that fill the memory."""
    clients = _Clients()
    accepted = 0
    while clients.begin(str(accepted)).grow_to(SMALL_REQUEST_BYTES):
        accepted += 1
        assert accepted * SMALL_REQUEST_BYTES <= _MAX
    assert not clients.requests.has_room_ahead()
    clients.now_s += 1
    assert clients.begin('later').grow_to(SMALL_REQUEST_BYTES)
    assert clients.requests.given_up == 1
