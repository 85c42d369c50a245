"""Requests promises and votes from electors, and responds as an elector."""

import asyncio
from collections import Counter
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Mapping,
)
from types import MappingProxyType

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import (
    PROMISE_TOPIC,
    RECORD_COPY_TOPIC,
    VOTE_TOPIC,
    Elector,
    RecordCopy,
)
from yuccadale_edge._internal.membership.promises import Promises, is_majority
from yuccadale_edge._internal.membership.record_copies import RecordCopies
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.store_versions import number_of, version_text
from yuccadale_edge._internal.system_view import Instance, most_capable_first
from yuccadale_edge._internal.transport.client_pool import Address

_log = structlog.get_logger()

# A majority remains when a third of the instances fails with the leader, and
# a request to all electors stays cheap.
MAX_ELECTORS = 9
# Covers an elector's own probe of the store and the round trip.
_RESPONSE_TIMEOUT_S = 0.9
# Keys that are to move wait for this; well above a round trip.
_COPY_TIMEOUT_S = 0.25
# Further votes are awaited for this long, as some may come without copies.
_COPIES_WAIT_S = 0.15

_encode = msgspec.msgpack.Encoder().encode


class PromiseRequest(msgspec.Struct, array_like=True):
    """A leader that cannot reach the store requests a promise.

    Attributes:
        epoch: epoch of the leader.
        version: version of the row that the leader wrote last.
    """

    epoch: int
    version: int


class VoteRequest(msgspec.Struct, array_like=True):
    """A candidate requests a vote to replace the leader.

    Attributes:
        instance: name of the candidate.
        version: version of the row that the candidate wants to replace.
        wants_copies: whether the answer is a ``Vote`` with copies.
    """

    instance: str
    version: int
    wants_copies: bool = False


class Vote(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a candidate that wants copies.

    Attributes:
        given: whether the elector votes for it.
        copies: the copies of records that the elector keeps.
    """

    given: bool
    copies: list[RecordCopy] = []


class CopyRequest(msgspec.Struct, array_like=True):
    """A leader requests that a copy of a record is kept.

    Attributes:
        epoch: epoch of the leader.
        version: version of the row that the leader wrote last.
        copy: the copy.
    """

    epoch: int
    version: int
    copy: RecordCopy


_decode_promise = msgspec.msgpack.Decoder(PromiseRequest).decode
_decode_vote = msgspec.msgpack.Decoder(VoteRequest).decode
_decode_copy = msgspec.msgpack.Decoder(CopyRequest).decode
_decode_vote_answer = msgspec.msgpack.Decoder(bool | Vote).decode
_Answers = Mapping[Elector, Vote]
_Request = asyncio.Task[tuple[Elector, Vote]]
_NO_ANSWERS: _Answers = MappingProxyType({})


def _no_distance(_data_centre: str) -> int:
    return 0


def _decode_answer(response: bytes) -> Vote:
    # An instance that does not know the topic responds with no bytes.
    answer = bool(response) and _decode_vote_answer(response)
    return answer if isinstance(answer, Vote) else Vote(answer)


def choose_electors(peers: Iterable[Instance]) -> tuple[Elector, ...]:
    """Chooses electors among a leader's peers, across all data centres.

    Their number is odd: an even number needs a larger majority but tolerates
    no more failures.
    """
    counts: Counter[str] = Counter()
    ranked: list[tuple[int, Elector]] = []
    for peer in sorted(peers, key=most_capable_first):
        counts[peer.data_centre] += 1
        elector = Elector(*peer.address, peer.data_centre)
        ranked.append((counts[peer.data_centre], elector))
    ranked.sort()
    count = min(len(ranked), MAX_ELECTORS)
    count -= 1 - count % 2
    return tuple(elector for _, elector in ranked[: max(0, count)])


class Electorate:
    """Requests to the electors, and responses of this instance as elector.

    Attributes:
        copies_of_voters: copies of records from each elector that voted for
            this instance last, if it was elected.
    """

    def __init__(
        self,
        links: PeerLinks,
        own_address: Address,
        name: str,
        store_answers: Callable[[], Awaitable[bool]],
        known_epoch: Callable[[], int],
        metrics: Metrics,
        distance: Callable[[str], int] = _no_distance,
    ) -> None:
        """Creates the electorate of one instance.

        Args:
            links: links to the other instances.
            own_address: address at which peers reach this instance.
            name: name of this instance.
            store_answers: tells whether the store answers this instance, by
                a probe when there is no recent result.
            known_epoch: returns the epoch of the known leader.
            metrics: counts promises, votes and copies of records.
            distance: returns the distance of a data centre.
        """
        self.copies_of_voters: list[list[RecordCopy]] = []
        self._links = links
        self._own_address = own_address
        self._name = name
        self._store_answers = store_answers
        self._known_epoch = known_epoch
        self._metrics = metrics
        self._distance = distance
        self._promises = Promises(elapsed_s)
        self._copies = RecordCopies()
        # Electors that have kept a copy for this instance.
        self._keeping: frozenset[Elector] = frozenset()
        # Those that did not answer the last request in time.
        self._silent: frozenset[Elector] = frozenset()

    async def request_promises(
        self,
        elector_sets: Collection[Collection[Elector]],
        epoch: int,
        version: int,
    ) -> bool:
        """Requests promises for this instance as leader.

        Args:
            elector_sets: every set that the row may name; a majority of each
                is needed.
            epoch: epoch of the leader.
            version: version of the row that the leader wrote last.

        Returns:
            Whether a majority of each set promised.
        """
        body = _encode(PromiseRequest(epoch, version))
        answers = await self._request(
            frozenset().union(*elector_sets), elector_sets, PROMISE_TOPIC, body
        )
        return _has_majorities(answers, elector_sets)

    async def request_votes(
        self, electors: Collection[Elector], version: int
    ) -> bool:
        """Requests votes to replace the leader that wrote a row version.

        Returns:
            Whether a majority voted for it.
        """
        lost = number_of(version) == 0
        body = _encode(VoteRequest(self._name, version, lost))
        answers = await self._request(
            electors,
            (electors,),
            VOTE_TOPIC,
            body,
            wait_on_s=_COPIES_WAIT_S if lost else 0,
        )
        elected = _has_majorities(answers, (electors,))
        self.copies_of_voters = []
        if elected:
            self.copies_of_voters = [vote.copies for vote in answers.values()]
        return elected

    async def request_copies(
        self,
        elector_sets: Collection[Collection[Elector]],
        epoch: int,
        version: int,
        copy: RecordCopy,
    ) -> frozenset[Elector]:
        """Requests that electors keep a copy of this leader's record.

        The nearest majorities are asked first, as copies are sent often. An
        elector without any copy is asked with them.

        Args:
            elector_sets: sets of which a majority each is needed.
            epoch: epoch of the leader.
            version: version of the row that the leader wrote last.
            copy: the copy.

        Returns:
            The electors that keep it.
        """
        body = _encode(CopyRequest(epoch, version, copy))
        electors = sorted(
            frozenset().union(*elector_sets),
            key=lambda one: (
                one in self._silent,
                self._distance(one.data_centre),
                one,
            ),
        )
        first = self._first_asked(electors, elector_sets)
        answers: dict[Elector, Vote] = {}
        for asked in (first, frozenset(electors) - first):
            if _has_majorities(answers, elector_sets):
                break
            answers |= await self._request(
                asked,
                elector_sets,
                RECORD_COPY_TOPIC,
                body,
                _COPY_TIMEOUT_S,
                answers,
            )
        keeping = frozenset(answers)
        self._keeping |= keeping
        kept = _has_majorities(answers, elector_sets)
        self._silent = first - keeping if not kept else self._silent - keeping
        self._metrics.count('record_copies', kept=str(kept))
        return keeping

    async def handle_promise_request(self, body: bytes) -> bytes:
        """Handles a leader's request for a promise.

        The promise is refused while the store answers this instance: then
        only the leader has lost the store and should be replaced.
        """
        request = _decode_promise(body)
        given = (
            request.epoch >= self._known_epoch()
            and not await self._store_answers()
            and self._promises.promise(request.version)
        )
        self._metrics.count('promises', given=str(given))
        _log.info(
            'promise given to the leader'
            if given
            else 'promise to the leader refused',
            epoch=request.epoch,
            row_version=version_text(request.version),
            known_epoch=self._known_epoch(),
        )
        return _encode(given)

    def handle_vote_request(self, body: bytes) -> bytes:
        """Handles a candidate's request for a vote."""
        request = _decode_vote(body)
        given = self._promises.vote(request.version)
        copies = self._copies.all() if given else []
        self._metrics.count('replacements', agreed=str(given))
        _log.info(
            'vote given to replace the leader'
            if given
            else 'vote to replace the leader refused',
            candidate=request.instance,
            row_version=version_text(request.version),
        )
        return _encode(Vote(given, copies) if request.wants_copies else given)

    def handle_copy_request(self, body: bytes) -> bytes:
        """Handles a leader's request to keep a copy of a record."""
        request = _decode_copy(body)
        given = (
            request.epoch >= self._known_epoch()
            and self._promises.may_keep(request.version)
        )
        if given:
            self._copies.keep(request.copy)
        return _encode(given)

    def _first_asked(
        self,
        electors: Iterable[Elector],
        elector_sets: Collection[Collection[Elector]],
    ) -> frozenset[Elector]:
        """Returns the first electors with majorities, and those without copy.

        Args:
            electors: all electors of the sets, in order.
            elector_sets: the sets.
        """
        asked: set[Elector] = set()
        for elector in electors:
            if all(is_majority(asked, one) for one in elector_sets):
                break
            asked.add(elector)
        new = frozenset().union(*elector_sets) - self._keeping
        return new | asked

    async def _request(
        self,
        asked: Iterable[Elector],
        elector_sets: Collection[Collection[Elector]],
        topic: str,
        body: bytes,
        timeout_s: float = _RESPONSE_TIMEOUT_S,
        known: _Answers = _NO_ANSWERS,
        wait_on_s: float = 0,
    ) -> _Answers:
        """Sends a request to some electors of the sets in parallel.

        Args:
            asked: the electors that get the request.
            elector_sets: sets of which a majority each is needed. Responses
                that are still missing then are not awaited.
            topic: of the request.
            body: the request.
            timeout_s: longest wait for each response.
            known: earlier answers to the same request.
            wait_on_s: longest wait for further responses after that.

        Returns:
            The answers of the electors that accepted.
        """
        tasks = [
            asyncio.create_task(
                self._request_elector(elector, topic, body, timeout_s)
            )
            for elector in sorted(asked)
        ]
        try:
            await _wait_for_majorities(tasks, elector_sets, known)
            if tasks and wait_on_s:
                await asyncio.wait(tasks, timeout=wait_on_s)
            return _accepted(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _request_elector(
        self, elector: Elector, topic: str, body: bytes, timeout_s: float
    ) -> tuple[Elector, Vote]:
        """Returns the elector and its answer."""
        if elector.address == self._own_address:
            answer = _decode_answer(await self._handle_locally(topic, body))
        else:
            try:
                answer = await self._links.request(
                    elector.address,
                    topic,
                    body,
                    timeout_s,
                    _decode_answer,
                )
            except (PeerUnreachableError, LinkLostError) as error:
                _log.info(
                    'elector not reached, counted as a refusal',
                    elector=elector.address,
                    reason=str(error),
                )
                return elector, Vote(given=False)
        return elector, answer

    async def _handle_locally(self, topic: str, body: bytes) -> bytes:
        if topic == PROMISE_TOPIC:
            return await self.handle_promise_request(body)
        if topic == RECORD_COPY_TOPIC:
            return self.handle_copy_request(body)
        return self.handle_vote_request(body)


async def _wait_for_majorities(
    tasks: Collection[_Request],
    elector_sets: Collection[Collection[Elector]],
    known: _Answers,
) -> None:
    """Waits until all requests have ended, or majorities have accepted."""
    for completed in asyncio.as_completed(tasks):
        await completed
        if _has_majorities({**known, **_accepted(tasks)}, elector_sets):
            return


def _accepted(tasks: Iterable[_Request]) -> _Answers:
    """Returns the answers of the electors that have accepted."""
    answers = [task.result() for task in tasks if task.done()]
    return {elector: answer for elector, answer in answers if answer.given}


def _has_majorities(
    answers: Collection[Elector],
    elector_sets: Collection[Collection[Elector]],
) -> bool:
    """Whether a majority of each set has accepted; false without sets."""
    return bool(elector_sets) and all(
        is_majority(answers, one) for one in elector_sets
    )
