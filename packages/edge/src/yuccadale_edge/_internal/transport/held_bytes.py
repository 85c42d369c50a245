"""Account of the bytes that a process holds for others.

Bytes are charged where they are read and released where they leave. When the
account is full, the largest part is given up that is an answer whose end is
unknown, or the replies to a caller that does not read them. When there is none,
new bodies are refused, and answers of a known length wait unread. An answer on
its way to a caller of this instance is accepted when it is the only one, also
if the account is full of answers for other instances: they leave when the
others have room, which must not depend on room here.
"""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from math import inf

import structlog

_log = structlog.get_logger()

Notification = Callable[[], None]
Later = Callable[[Notification], object]

# Bodies up to this size are always accepted. Their number is bounded by the
# connections, and a few large bodies never block them.
SMALL_BYTES = 64 * 1024


def _at_once(notification: Notification) -> None:
    notification()


class Holding:
    """Bytes that are held for one request or connection.

    Attributes:
        size: the bytes charged.
        give_up: discards the bytes; None if they must be kept.
        for_caller: whether they are an answer on its way to a caller.
    """

    def __init__(
        self,
        account: 'HeldBytes',
        give_up: Notification,
        *,
        for_caller: bool = False,
    ) -> None:
        self.size = 0
        self.for_caller = for_caller
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
        if size <= SMALL_BYTES or self._account.make_room_for(self, size):
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

    def __init__(self, max_bytes: float = inf, later: Later = _at_once) -> None:
        """Creates an empty account.

        Args:
            max_bytes: bound of all bytes together.
            later: calls a function once the next part of the process has
                charged bytes that another one has just released.
        """
        self.max_bytes = max_bytes
        self.size = 0
        self.given_up = 0
        self._later = later
        self._passed_on = 0
        self._holdings: set[Holding] = set()
        self._waiting: deque[_WaitingHolding] = deque()
        self._waiting_for_callers: deque[_WaitingHolding] = deque()

    @contextmanager
    def holding(
        self, give_up: Notification, *, for_caller: bool = False
    ) -> Iterator[Holding]:
        """Provides a holding for the block, and releases it after the block.

        Args:
            give_up: discards the bytes when the account is full. It must not
                raise; the block goes on until it notices.
            for_caller: see ``Holding``.
        """
        holding = Holding(self, give_up, for_caller=for_caller)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._holdings.discard(holding)
            self._pass_on(holding)

    def has_room(self, size: int) -> bool:
        """Whether bytes can be added within the bound."""
        held = self.size + self._passed_on
        return not held or held + size <= self.max_bytes

    def make_room(self, size: int) -> bool:
        """Whether bytes can be added, after others were given up for them."""
        while not self.has_room(size):
            if not self._give_up_largest():
                return False
        return True

    def make_room_for(self, holding: Holding, size: int) -> bool:
        """Whether a holding can grow, after others were given up for it."""
        added = size - holding.size
        return self.make_room(added) or self._is_only_answer(holding)

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
        waiting = self._waiting
        if holding.for_caller:
            waiting = self._waiting_for_callers
        waiting.append((holding, size, granted))

    def _give_up_largest(self) -> bool:
        """Gives up the largest part that may be; False if there is none."""
        answers = self._large_answers()
        kept = answers if len(answers) == 1 else []
        candidates = [
            one for one in self._holdings if one.give_up and one not in kept
        ]
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

    def _pass_on(self, holding: Holding) -> None:
        """Releases a holding; its room is kept for who gets the bytes."""
        size = holding.size
        if size <= SMALL_BYTES:
            holding.resize(0)
            return
        self._passed_on += size
        holding.resize(0)
        self._later(partial(self._reuse_room, size))

    def _reuse_room(self, size: int) -> None:
        self._passed_on -= size
        self._grant_room()

    def _is_only_answer(self, holding: Holding) -> bool:
        """Whether no other large answer is on its way to a caller."""
        return holding.for_caller and not any(
            one is not holding for one in self._large_answers()
        )

    def _large_answers(self) -> list[Holding]:
        """Returns the large answers on their way to callers."""
        return [
            one
            for one in self._holdings
            if one.for_caller and one.size > SMALL_BYTES
        ]

    def _grant_room(self) -> None:
        self._grant_room_to(self._waiting_for_callers)
        self._grant_room_to(self._waiting)

    def _grant_room_to(self, waiting: deque[_WaitingHolding]) -> None:
        while waiting:
            holding, size, granted = waiting[0]
            if holding not in self._holdings:
                waiting.popleft()
                continue
            has_room = self.has_room(size - holding.size)
            if not has_room and not self._is_only_answer(holding):
                return
            waiting.popleft()
            holding.grow_to(size)
            granted()


class BodyShare:
    """Bound of one kind of bodies, beside that of the account.

    Attributes:
        size: all bytes held.
        refused: number of bodies that found no room.
    """

    def __init__(
        self, max_bytes: float = inf, account: HeldBytes | None = None
    ) -> None:
        self.size = 0
        self.refused = 0
        self._max_bytes = max_bytes
        self._account = HeldBytes() if account is None else account

    def hold(self, size: int) -> bool:
        """Counts bytes of a body; False if there is no room for them.

        A body that is larger than the bound is accepted when it is alone.
        """
        if not self._has_room(size):
            self.refused += 1
            return False
        self.size += size
        self._account.charge(size)
        return True

    def release(self, size: int) -> None:
        """Counts bytes of a body that is no longer kept."""
        self.size -= size
        self._account.charge(-size)

    def _has_room(self, size: int) -> bool:
        if self.size and self.size + size > self._max_bytes:
            return False
        return size <= SMALL_BYTES or self._account.make_room(size)
