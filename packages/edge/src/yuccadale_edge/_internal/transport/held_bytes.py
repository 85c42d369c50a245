"""Account of the bytes that a process holds for others.

Bytes are charged where they are read and released where they leave. When the
account is full, the largest part is given up that is an answer whose end is
unknown, or the replies to a caller that has stopped reading. When there is
none, new bodies are refused, and answers of a known length wait unread. Bytes
that can neither be refused nor wait may also end replies that are being read.
An answer on
its way to a caller of this instance is accepted when it is the only one, also
if the account is full of answers for other instances: they leave when the
others have room, which must not depend on room here. It doesn't count against
the bound until it has left.

An answer passes through several holdings, such as that of the connection to
its server and that of the connection of its caller. Between them its room
belongs to the request (``AnswerRoom``).
"""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from math import inf

import structlog

_log = structlog.get_logger()

Notification = Callable[[], None]

# Bodies up to this size are always accepted. Their number is bounded by the
# connections, and a few large bodies never block them.
SMALL_BYTES = 64 * 1024

# The room of the request that runs in this context.
_answer_room: ContextVar['AnswerRoom | None'] = ContextVar(
    'answer_room', default=None
)


class Holding:
    """Bytes that are held for one request or connection.

    Attributes:
        size: the bytes charged.
        without_room: how many of them were accepted without room.
        give_up: discards the bytes; None if they must be kept.
        for_caller: whether they are an answer on its way to a caller.
        stalled: whether that caller has stopped reading.
    """

    def __init__(
        self,
        account: 'HeldBytes',
        give_up: Notification,
        *,
        for_caller: bool = False,
    ) -> None:
        self.size = 0
        self.without_room = 0
        self.for_caller = for_caller
        self.stalled = False
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
        self.without_room += self._account.take_without_room(added)
        self.without_room = min(self.without_room, size)
        self._account.charge(added)

    def mark_stalled(self, *, stalled: bool) -> None:
        """Notes whether the caller has stopped reading."""
        self.stalled = stalled
        if stalled:
            self._account.make_room_for_waiting()

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
        added = size - self.size
        if size <= SMALL_BYTES or self._account.make_room(added):
            self.grow_to(size)
            return True
        if self._account.is_only_answer(self):
            self.without_room = added
            self.grow_to(size)
            return True
        self._account.wait_for_room(self, size, granted)
        return False


class AnswerRoom:
    """Room of the answer to one request between its holdings.

    It lasts until it is handed over.

    Attributes:
        size: the bytes charged.
        without_room: see ``Holding``.
        for_caller: see ``Holding``.
    """

    def __init__(
        self, account: 'HeldBytes', *, for_caller: bool = False
    ) -> None:
        self.size = 0
        self.without_room = 0
        self.for_caller = for_caller
        self._account = account
        self._closed = False

    @contextmanager
    def collecting(self) -> Iterator[None]:
        """Keeps the room of the large answers that are read in the block."""
        token = _answer_room.set(self)
        try:
            yield
        finally:
            _answer_room.reset(token)

    @contextmanager
    def handed_over(self) -> Iterator[None]:
        """Gives the room to what is charged in the block, and closes it."""
        with self._account.handing_over(self.without_room):
            self.keep(0, 0)
            self._closed = True
            yield

    def keep(self, size: int, without_room: int) -> None:
        """Keeps room in place of that of an earlier answer, unless closed."""
        if self._closed:
            return
        added = size - self.size
        self.size = size
        self.without_room = without_room
        self._account.note_room(self)
        self._account.charge(added)


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
        """Creates an empty account.

        Args:
            max_bytes: bound of all bytes together.
        """
        self.max_bytes = max_bytes
        self.size = 0
        self.given_up = 0
        self._grants_room = True
        self._handed_over = 0
        self._holdings: set[Holding] = set()
        self._rooms: set[AnswerRoom] = set()
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

    @contextmanager
    def answer_room(self) -> Iterator[AnswerRoom]:
        """Provides the room of the answer to a request of another instance."""
        room = AnswerRoom(self)
        try:
            with room.collecting():
                yield room
        finally:
            with room.handed_over():
                """Whoever takes the answer has charged it."""

    @contextmanager
    def handing_over(self, without_room: int = 0) -> Iterator[None]:
        """Grants the room that is released in the block after the block.

        Args:
            without_room: bytes accepted without room that the next holding
                takes over.
        """
        granted_before = self._grants_room
        handed_over_before = self._handed_over
        self._grants_room = False
        self._handed_over = without_room
        try:
            yield
        finally:
            self._resume_granting(granted_before, handed_over_before)

    def take_without_room(self, added: int) -> int:
        """Returns how many of added bytes were accepted without room before."""
        taken = max(0, min(added, self._handed_over))
        self._handed_over -= taken
        return taken

    def note_room(self, room: AnswerRoom) -> None:
        """Remembers the rooms that are in use."""
        if room.size:
            self._rooms.add(room)
        else:
            self._rooms.discard(room)

    def has_room(self, size: int) -> bool:
        """Whether bytes can be added within the bound."""
        return not self.size or self.size + size <= self.max_bytes

    def make_room(self, size: int) -> bool:
        """Whether bytes can be added, after others were given up for them."""
        while not self.has_room(size):
            if not self._give_up_largest(_not_being_read):
                return False
        return True

    def make_room_for_waiting(self) -> None:
        """Gives up what may be for the answers that wait."""
        for waiting in (self._waiting_for_callers, self._waiting):
            if waiting:
                holding, size, _ = waiting[0]
                self.make_room(size - holding.size)
        self._grant_room()

    def is_only_answer(self, holding: Holding) -> bool:
        """Whether no other large answer is on its way to a caller."""
        return holding.for_caller and not any(
            one is not holding for one in self._large_answers()
        )

    def charge(self, added: int) -> None:
        """Counts bytes; a negative number releases them."""
        self.size += added
        if added < 0:
            self._grant_room()
        while self._exceeds_bound():
            if not self._give_up_largest(_any_holding):
                break

    def wait_for_room(
        self, holding: Holding, size: int, granted: Notification
    ) -> None:
        """Reserves room for a holding as soon as there is enough."""
        waiting = self._waiting
        if holding.for_caller:
            waiting = self._waiting_for_callers
        waiting.append((holding, size, granted))

    def _resume_granting(self, grants_room: bool, handed_over: int) -> None:
        self._grants_room = grants_room
        self._handed_over = handed_over
        self._grant_room()

    def _exceeds_bound(self) -> bool:
        """Whether the bytes accepted with room are too many."""
        if self.size <= self.max_bytes:
            return False
        without_room = sum(one.without_room for one in self._parts())
        return self.size - without_room > self.max_bytes

    def _give_up_largest(self, may_end: Callable[[Holding], bool]) -> bool:
        """Gives up the largest part that may be; False if there is none."""
        answers = self._large_answers()
        kept = answers if len(answers) == 1 else []
        candidates = [
            one
            for one in self._holdings
            if one.give_up and (one.stalled or one not in kept) and may_end(one)
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
        """Releases a holding; the request keeps the room of a large answer."""
        size = holding.size
        room = _answer_room.get()
        if size <= SMALL_BYTES or room is None:
            holding.resize(0)
            return
        without_room = holding.without_room
        with self.handing_over():
            holding.resize(0)
            room.keep(size, without_room)

    def _large_answers(self) -> list[Holding | AnswerRoom]:
        """Returns the large answers on their way to callers."""
        return [
            one
            for one in self._parts()
            if one.for_caller and one.size > SMALL_BYTES
        ]

    def _parts(self) -> list[Holding | AnswerRoom]:
        return [*self._holdings, *self._rooms]

    def _grant_room(self) -> None:
        if not self._grants_room:
            return
        self._grant_room_to(self._waiting_for_callers)
        self._grant_room_to(self._waiting)

    def _grant_room_to(self, waiting: deque[_WaitingHolding]) -> None:
        while waiting:
            holding, size, granted = waiting[0]
            if holding not in self._holdings:
                waiting.popleft()
                continue
            added = size - holding.size
            has_room = self.has_room(added)
            if not has_room and not self.is_only_answer(holding):
                return
            waiting.popleft()
            if not has_room:
                holding.without_room = added
            holding.grow_to(size)
            granted()


def _any_holding(_holding: Holding) -> bool:
    return True


def _not_being_read(holding: Holding) -> bool:
    return holding.stalled or not holding.for_caller


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
