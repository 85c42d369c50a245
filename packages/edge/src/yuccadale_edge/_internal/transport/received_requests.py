"""Account of the requests that clients send, until they are answered.

A request is charged from its first byte: what its head occupies, and its body,
a large one by its announced size. Small and large requests have a share each,
so that large ones never keep small ones out. When a share is full, the
unfinished request whose client sends the least is given up; when all clients
send well, the new one is refused. A request that is being handled is never
given up.
"""

from collections.abc import Callable

import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.transport.held_bytes import (
    SMALL_BYTES,
    HeldBytes,
    Notification,
)

_log = structlog.get_logger()

# A small request with its head and all that is charged for it. A body of up to
# 64 KiB belongs to one.
SMALL_REQUEST_BYTES = 2 * SMALL_BYTES
# Share of small requests, relative to that of large ones.
_SMALL_SHARE = 0.5
# Share of small requests that may arrive ahead of the answers before them.
_AHEAD_SHARE = 0.125
# Share of the account that others may use while one request larger than its
# share is accepted.
_OTHERS_SHARE = 0.125
# Time over which the rate of a client is measured.
_RATE_S = 1.0
# A client that sends less may lose its place to another one. A body of 64 MiB
# would take over an hour.
_MIN_BYTES_PER_S = 16 * 1024


class UnfinishedRequest:
    """The request of one connection that is being received.

    Attributes:
        size: the bytes charged; 0 while none is being received.
        give_up: refuses the request; it must drop it.
    """

    def __init__(
        self, requests: 'ReceivedRequests', give_up: Notification
    ) -> None:
        self.size = 0
        self.give_up = give_up
        self._requests = requests
        self._received = 0
        self._measured_s: float = 0
        self._bytes_per_s: float | None = None

    def begin(self, now_s: float) -> None:
        """Begins the measurement of the rate of a request."""
        self._measured_s = now_s
        self._received = 0
        self._bytes_per_s = None

    def receive(self, size: int, now_s: float) -> None:
        """Counts bytes that the client has sent."""
        took_s = now_s - self._measured_s
        if took_s >= _RATE_S:
            self._bytes_per_s = self._received / took_s
            self._measured_s = now_s
            self._received = 0
        self._received += size

    def bytes_per_s(self, now_s: float) -> float | None:
        """Returns the last rate of the client; None in its first second."""
        took_s = now_s - self._measured_s
        if took_s >= _RATE_S:
            return self._received / took_s
        return self._bytes_per_s

    def grow_to(self, size: int) -> bool:
        """Charges bytes up to a size; False if there is no room for them."""
        return size <= self.size or self._requests.grow(self, size)

    def finish(self) -> int:
        """Hands the charge over to whoever handles the request.

        Returns:
            The bytes to release after the answer.
        """
        size = self.size
        self._requests.forget(self)
        self.size = 0
        return size

    def drop(self) -> None:
        """Releases a request that will not be handled."""
        self._requests.release(self.finish())


class ReceivedRequests:
    """The requests of all clients of one listener.

    Attributes:
        size: all bytes charged.
        refused: number of requests that found no room.
        given_up: number of unfinished requests that others displaced.
    """

    def __init__(
        self,
        max_bytes: float,
        account: HeldBytes,
        now: Callable[[], float] = elapsed_s,
    ) -> None:
        """Creates an empty account.

        Args:
            max_bytes: bound of the large requests together. One that is larger
                is accepted when there is no other.
            account: everything that the process holds for others.
            now: the time in seconds.
        """
        self.size = 0
        self.refused = 0
        self.given_up = 0
        self._max_bytes = max_bytes
        self._account = account
        self._now = now
        self._small_size = 0
        self._unfinished: set[UnfinishedRequest] = set()

    def has_room_ahead(self) -> bool:
        """Whether a connection may send requests ahead of their answers."""
        bound = self._max_bytes * _SMALL_SHARE * _AHEAD_SHARE
        return self._small_size <= bound

    def grow(self, request: UnfinishedRequest, size: int) -> bool:
        """Charges bytes of a request; False if there is no room for them."""
        while not self._has_room(request, size):
            if not self._give_up_slowest(request, size):
                self.refused += 1
                _log.warning(
                    'request body refused', size=size, held_bytes=self.size
                )
                return False
        added = size - request.size
        self._count(request.size, -1)
        self._count(size, 1)
        request.size = size
        self._unfinished.add(request)
        self._account.charge(added)
        return True

    def forget(self, request: UnfinishedRequest) -> None:
        """Forgets a request that is complete or dropped."""
        self._unfinished.discard(request)

    def release(self, size: int) -> None:
        """Releases a request of a size."""
        self._count(size, -1)
        self._account.charge(-size)

    def _count(self, size: int, sign: int) -> None:
        self.size += sign * size
        if size <= SMALL_REQUEST_BYTES:
            self._small_size += sign * size

    def _has_room(self, request: UnfinishedRequest, size: int) -> bool:
        if size <= SMALL_REQUEST_BYTES:
            added = size - request.size
            bound = self._max_bytes * _SMALL_SHARE
            return self._small_size + added <= bound
        own_size = request.size if request.size > SMALL_REQUEST_BYTES else 0
        others_size = self.size - self._small_size - own_size
        if others_size and others_size + size > self._max_bytes:
            return False
        added = size - request.size
        return self._account.make_room(added) or self._is_alone(request, size)

    def _is_alone(self, request: UnfinishedRequest, size: int) -> bool:
        """Whether a request that exceeds the account may be accepted."""
        others_size = self._account.size - request.size
        return others_size <= self._account.max_bytes * _OTHERS_SHARE

    def _give_up_slowest(self, request: UnfinishedRequest, size: int) -> bool:
        """Gives up an unfinished request; False if all clients send well."""
        now_s = self._now()
        small = size <= SMALL_REQUEST_BYTES
        rate_by_request = {
            one: one.bytes_per_s(now_s)
            for one in self._unfinished
            if one is not request and (one.size <= SMALL_REQUEST_BYTES) == small
        }
        slow = {
            one: rate
            for one, rate in rate_by_request.items()
            if rate is not None and rate < _MIN_BYTES_PER_S
        }
        if not slow:
            return False
        slowest = min(slow, key=lambda one: (slow[one], -one.size))
        self.given_up += 1
        _log.warning(
            'unfinished request given up',
            size=slowest.size,
            bytes_per_s=round(slow[slowest]),
            held_bytes=self.size,
        )
        slowest.give_up()
        slowest.drop()
        return True
