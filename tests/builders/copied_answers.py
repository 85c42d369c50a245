"""Answers that a stand-in of a server sends again where later ones are due."""

import asyncio
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from aiohttp import web

from tests.builders.copied_refusals import encode_answer, write_copy

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

GRANT_PATH = '/v1/grant'
_KEPT_ANSWERS = 4
# On the arrival of a request, or while the server is at work on it.
_DELAYS_S = (0, 0, 0.002, 0.02)
_COPIED_SHARE = 0.2
# Grants are few.
_COPIED_SHARE_OF_GRANTS = 0.5
_LATEST_S = 0.5


def _latest_answers() -> deque[bytes]:
    return deque(maxlen=_KEPT_ANSWERS)


@dataclass
class _SentAnswers:
    """Answers that a connection has had.

    Attributes:
        refusal_by_id: refusals by the id of the refused request.
        of_requests: the latest answers to requests.
        of_grants: the latest answers to grants, which bear no id.
    """

    refusal_by_id: dict[str, bytes] = field(default_factory=dict)
    of_requests: deque[bytes] = field(default_factory=_latest_answers)
    of_grants: deque[bytes] = field(default_factory=_latest_answers)


class CopiedAnswers:
    """Refuses new requests with their id, and copies answers at random moments.

    The refusal of a request is always copied when the request comes again on
    the connection on which it was refused. Other answers are copied when a
    later request or grant arrives, during the work, or some time after they
    were sent, whatever the connection carries then.

    Attributes:
        counts: refused requests, those of them that came again on any
            connection, and copies by what arrived or ``later``.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Creates the copies of one server, which sends none yet.

        Args:
            random_source: decides what is refused and copied, and when.
        """
        self.counts: Counter[str] = Counter()
        self._random = random_source
        self._active = False
        self._status = 503
        self._refused_share: float = 0
        self._known_ids: set[str] = set()
        self._refused_ids: set[str] = set()
        self._sent_by_connection: WeakKeyDictionary[
            asyncio.Transport, _SentAnswers
        ] = WeakKeyDictionary()

    @contextmanager
    def active(self, status: int, refused_share: float) -> Iterator[None]:
        """Refuses and copies during the block.

        Args:
            status: of the refusals.
            refused_share: of the requests that have not arrived before.
        """
        self._active = True
        self._status = status
        self._refused_share = refused_share
        try:
            yield
        finally:
            self._active = False

    def refuse(
        self, request_id: str, headers: dict[str, str]
    ) -> web.Response | None:
        """Returns the refusal of a request, if it is one to refuse."""
        if request_id in self._refused_ids:
            self.counts['came again'] += 1
        is_new = request_id not in self._known_ids
        self._known_ids.add(request_id)
        if not (self._active and is_new):
            return None
        if self._random.random() >= self._refused_share:
            return None
        self._refused_ids.add(request_id)
        self.counts['refused'] += 1
        return web.Response(status=self._status, headers=headers)

    def around(self, handler: Handler) -> Handler:
        """Returns a handler that sends copies before and after its answers."""

        async def handle(request: web.Request) -> web.StreamResponse:
            transport = request.transport
            if transport is None:
                return await handler(request)
            sent = self._sent_by_connection.setdefault(
                transport, _SentAnswers()
            )
            if self._active:
                self._copy_before(request, transport, sent)
            answer = await handler(request)
            if isinstance(answer, web.Response) and not transport.is_closing():
                encoded = encode_answer(answer)
                _note(request, answer, encoded, sent)
                if self._active:
                    self._copy_later(transport, encoded)
            return answer

        return handle

    def _copy_before(
        self,
        request: web.Request,
        transport: asyncio.Transport,
        sent: _SentAnswers,
    ) -> None:
        request_id = request.headers.get('X-Attempt-Id', '')
        delay_s = self._random.choice(_DELAYS_S)
        refusal = sent.refusal_by_id.get(request_id)
        if refusal is not None:
            self._copy('refused request', transport, refusal, delay_s)
            return
        is_grant = request.path == GRANT_PATH
        share = _COPIED_SHARE_OF_GRANTS if is_grant else _COPIED_SHARE
        if self._random.random() >= share:
            return
        if is_grant and sent.of_grants:
            # There is no work that it could be sent in the middle of.
            self._copy('grant', transport, sent.of_grants[-1], 0)
        elif sent.of_requests and not is_grant:
            copy = self._random.choice(sent.of_requests)
            self._copy('request', transport, copy, delay_s)

    def _copy_later(self, transport: asyncio.Transport, copy: bytes) -> None:
        if self._random.random() < _COPIED_SHARE:
            delay_s = self._random.uniform(0.001, _LATEST_S)
            self._copy('later', transport, copy, delay_s)

    def _copy(
        self,
        occasion: str,
        transport: asyncio.Transport,
        copy: bytes,
        delay_s: float,
    ) -> None:
        self.counts[occasion] += 1
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, write_copy, transport, copy)
        else:
            write_copy(transport, copy)


def _note(
    request: web.Request,
    answer: web.Response,
    encoded: bytes,
    sent: _SentAnswers,
) -> None:
    if request.path == GRANT_PATH:
        sent.of_grants.append(encoded)
        return
    sent.of_requests.append(encoded)
    request_id = answer.headers.get('X-Attempt-Id')
    if request_id is not None and 'X-Not-Executed' in answer.headers:
        sent.refusal_by_id[request_id] = encoded
