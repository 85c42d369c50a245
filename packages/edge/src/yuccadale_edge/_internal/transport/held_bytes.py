"""Account of the bytes that a process holds for others.

Bytes are charged where they are read and released where they leave. When the
account is full, the largest part is given up that is an answer whose end is
unknown, or the replies to a caller that does not read them. When there is none,
new bodies are refused, and answers of a known length wait unread.
"""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

import structlog

_log = structlog.get_logger()

Notification = Callable[[], None]

# Bodies up to this size are always accepted. Their number is bounded by the
# connections, and a few large bodies never block them.
SMALL_BYTES = 64 * 1024


class Holding:
    """Bytes that are held for one request or connection.

    Attributes:
        size: the bytes charged.
        give_up: discards the bytes; None if they must be kept.
    """

    def __init__(self, account: 'HeldBytes', give_up: Notification) -> None:
        self.size = 0
        self.give_up: Notification | None = give_up
        self._account = account
        self._give_up_initially = give_up

    def restart(self) -> None:
        """Releases the bytes; later ones may be given up again."""
        self.give_up = self._give_up_initially
        self.resize(0)

    def resize(self, size: int) -> None:
        """Charges or releases the difference to the present size."""
        added = size - self.size
        self.size = size
        self._account.charge(added)

    def grow_to(self, size: int) -> None:
        """Charges bytes beyond those that are charged already."""
        if size > self.size:
            self.resize(size)

    def reserve(self, size: int, granted: Notification) -> bool:
        """Reserves room for bytes, which are kept from then on.

        Args:
            size: all bytes of this holding.
            granted: called once there is room, if there is none now.

        Returns:
            Whether the room was reserved at once.
        """
        self.give_up = None
        if size <= SMALL_BYTES or self._account.make_room(size - self.size):
            self.grow_to(size)
            return True
        self._account.wait_for_room(self, size, granted)
        return False


_WaitingHolding = tuple[Holding, int, Notification]


class HeldBytes:
    """The account of one process.

    Attributes:
        max_bytes: bound of all bytes together. Something larger is accepted
            when it is alone.
        size: all bytes held.
        given_up: number of holdings that were given up.
    """

    def __init__(self, max_bytes: float = inf) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.given_up = 0
        self._holdings: set[Holding] = set()
        self._waiting: deque[_WaitingHolding] = deque()

    @contextmanager
    def holding(self, give_up: Notification) -> Iterator[Holding]:
        """Provides a holding for the block, and releases it after the block.

        Args:
            give_up: discards the bytes when the account is full. It must not
                raise; the block goes on until it notices.
        """
        holding = Holding(self, give_up)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._holdings.discard(holding)
            holding.resize(0)

    def has_room(self, size: int) -> bool:
        """Whether bytes can be added within the bound."""
        return not self.size or self.size + size <= self.max_bytes

    def make_room(self, size: int) -> bool:
        """Whether bytes can be added, after others were given up for them."""
        while not self.has_room(size):
            if not self._give_up_largest():
                return False
        return True

    def charge(self, added: int) -> None:
        """Counts bytes; a negative number releases them."""
        self.size += added
        if added < 0:
            self._grant_room()
        while self.size > self.max_bytes:
            if not self._give_up_largest():
                break

    def wait_for_room(
        self, holding: Holding, size: int, granted: Notification
    ) -> None:
        """Reserves room for a holding as soon as there is enough."""
        self._waiting.append((holding, size, granted))

    def _give_up_largest(self) -> bool:
        """Gives up the largest part that may be; False if there is none."""
        candidates = [one for one in self._holdings if one.give_up]
        largest = max(candidates, key=lambda one: one.size, default=None)
        if largest is None or largest.size <= SMALL_BYTES:
            return False
        self.given_up += 1
        _log.warning(
            'memory for others is used up, largest part given up',
            size=largest.size,
            held=self.size,
        )
        give_up = largest.give_up
        largest.give_up = None
        largest.resize(0)
        if give_up is not None:
            give_up()
        return True

    def _grant_room(self) -> None:
        while self._waiting:
            holding, size, granted = self._waiting[0]
            if holding not in self._holdings:
                self._waiting.popleft()
                continue
            if not self.has_room(size - holding.size):
                return
            self._waiting.popleft()
            holding.grow_to(size)
            granted()
