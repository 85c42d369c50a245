"""Asks electors for promises and agreements, and answers as one of them."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterable

import msgspec
import structlog

from yuccadale_edge._internal.system_view import Instance
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import (
    AGREE_TOPIC,
    PROMISE_TOPIC,
    Elector,
)
from yuccadale_edge._internal.membership.promises import Promises, is_majority
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.transport.client_pool import Address

_log = structlog.get_logger()

# Enough that a third of the instances can be away with the leader, and few
# enough that a question to all of them costs next to nothing.
MOST_ELECTORS = 9
# An elector's own look at the store and the way there and back.
_ANSWER_TIMEOUT_S = 0.9

_encode = msgspec.msgpack.Encoder().encode


class PromiseQuestion(msgspec.Struct, array_like=True):
    """A leader without the store asks for a promise."""

    epoch: int
    version: int


class AgreeQuestion(msgspec.Struct, array_like=True):
    """An instance asks to replace the leader that wrote a version."""

    instance: str
    version: int


_decode_promise = msgspec.msgpack.Decoder(PromiseQuestion).decode
_decode_agree = msgspec.msgpack.Decoder(AgreeQuestion).decode
_decode_flag = msgspec.msgpack.Decoder(bool).decode


def choose_electors(others: Iterable[Instance]) -> tuple[Elector, ...]:
    """Returns the electors among a leader's others, over all data centres.

    Their number is odd, so that a majority is as small as it can be.
    """
    counted: Counter[str] = Counter()
    ranked: list[tuple[int, Elector]] = []
    for _, address, data_centre in sorted(others):
        counted[data_centre] += 1
        ranked.append((counted[data_centre], Elector(*address, data_centre)))
    ranked.sort()
    count = min(len(ranked), MOST_ELECTORS)
    count -= 1 - count % 2
    return tuple(elector for _, elector in ranked[: max(0, count)])


class Electorate:
    """The electors as one instance asks them, and its own voice.

    Attributes:
        store_answers: whether the store answers this instance, which is
            tried when nothing recent is known.
        known_epoch: the epoch of the leader that this instance knows.
    """

    def __init__(
        self,
        links: PeerLinks,
        me: Address,
        name: str,
        store_answers: Callable[[], Awaitable[bool]],
        known_epoch: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._links = links
        self._me = me
        self._name = name
        self._store_answers = store_answers
        self._known_epoch = known_epoch
        self._metrics = metrics
        self._promises = Promises(elapsed_s)

    async def promised(
        self,
        elector_sets: Collection[Collection[Elector]],
        epoch: int,
        version: int,
    ) -> bool:
        """Asks for promises to a leader.

        Args:
            elector_sets: all that the row may name; each needs a majority.
            epoch: the leader's.
            version: that of the row which it wrote last.
        """
        body = _encode(PromiseQuestion(epoch, version))
        return await self._asked(elector_sets, PROMISE_TOPIC, body)

    async def agreed(self, electors: Collection[Elector], version: int) -> bool:
        """Asks for agreement to replace the leader that wrote a version."""
        body = _encode(AgreeQuestion(self._name, version))
        return await self._asked((electors,), AGREE_TOPIC, body)

    async def answer_promise(self, body: bytes) -> bytes:
        """Answers a leader; promises only while the store is away here too."""
        question = _decode_promise(body)
        given = (
            question.epoch >= self._known_epoch()
            and not await self._store_answers()
            and self._promises.promise(question.version)
        )
        self._metrics.count('promises', given=str(given))
        _log.info(
            'promise to the leader' if given else 'no promise to the leader',
            epoch=question.epoch,
            row_version=question.version,
            known_epoch=self._known_epoch(),
        )
        return _encode(given)

    def answer_agree(self, body: bytes) -> bytes:
        """Answers an instance that wants to lead."""
        question = _decode_agree(body)
        given = self._promises.agree(question.version)
        self._metrics.count('replacements', agreed=str(given))
        _log.info(
            'replacement agreed to' if given else 'replacement not agreed to',
            candidate=question.instance,
            row_version=question.version,
        )
        return _encode(given)

    async def _asked(
        self,
        elector_sets: Collection[Collection[Elector]],
        topic: str,
        body: bytes,
    ) -> bool:
        """Whether a majority of each set said yes; does not wait for more."""
        electors = sorted(set().union(*elector_sets))
        tasks = [
            asyncio.create_task(self._ask(elector, topic, body))
            for elector in electors
        ]
        yes: set[Elector] = set()
        try:
            for answered in asyncio.as_completed(tasks):
                elector = await answered
                if elector is not None:
                    yes.add(elector)
                if all(is_majority(yes, named) for named in elector_sets):
                    return bool(elector_sets)
        finally:
            for task in tasks:
                task.cancel()
        return False

    async def _ask(
        self, elector: Elector, topic: str, body: bytes
    ) -> Elector | None:
        """Returns the elector if it said yes."""
        if elector.address == self._me:
            answer = await self._answer_own(topic, body)
        else:
            try:
                answer = await self._links.request(
                    elector.address, topic, body, _ANSWER_TIMEOUT_S
                )
            except (PeerUnreachableError, LinkLostError) as error:
                _log.info(
                    'elector not reached',
                    elector=elector.address,
                    reason=str(error),
                )
                return None
        # An instance that does not know the question answers nothing.
        return elector if answer and _decode_flag(answer) else None

    async def _answer_own(self, topic: str, body: bytes) -> bytes:
        if topic == PROMISE_TOPIC:
            return await self.answer_promise(body)
        return self.answer_agree(body)
