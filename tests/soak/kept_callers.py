"""Callers that keep their connections until the instance closes them."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tests.builders.platform_system import HOST
from tests.soak.processes import SoakInstance
from tests.soak.routes import PATHS, request_body

_KEY_COUNT = 65536
LIMIT_MS = 2000
# The limit, and what an answer may take beyond it.
_ANSWER_TIMEOUT_S = 4.0
_RECONNECT_S = 0.05
_BODY_BYTES = (0, 100, 5000, 200_000)

# Answers of an instance that promise nothing of the request.
_UNKNOWN_STATUSES = frozenset((500, 502, 504))

RecordAnswer = Callable[[str, str, int, str], int]


@dataclass(frozen=True)
class UnknownOutcome:
    """A request that an instance gave up on, by times of a monotonic clock."""

    instance: SoakInstance
    sent_s: float
    answered_s: float

    @property
    def took_s(self) -> float:
        """Time until the answer."""
        return self.answered_s - self.sent_s


@dataclass
class CallersView:
    """What callers saw of requests that were not served.

    Attributes:
        unanswered: instance, and what happened, by the id of each request
            whose connection ended, or stayed silent, without its whole answer.
        unknown_by_id: requests that an instance gave up on.
    """

    unanswered: dict[str, str] = field(default_factory=dict)
    unknown_by_id: dict[str, UnknownOutcome] = field(default_factory=dict)

    def note_status(
        self,
        request_id: str,
        status: int,
        instance: SoakInstance,
        sent_s: float,
    ) -> None:
        """Keeps a request whose outcome the answer leaves open."""
        if status in _UNKNOWN_STATUSES:
            self.unknown_by_id[request_id] = UnknownOutcome(
                instance, sent_s, time.monotonic()
            )


def _encode(request_id: str, path: str, key: int, body: bytes) -> bytes:
    return (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: {LIMIT_MS}\r\n'
        f'X-Shard-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n'
    ).encode() + body


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, str, bool]:
    """Returns status, body and whether the connection goes on."""
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    length = 0
    for line in head.split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    body = await reader.readexactly(length)
    goes_on = b'connection: close' not in head
    return int(head.split()[1]), body.decode(errors='replace'), goes_on


async def call_on_kept_connections(
    instances: list[SoakInstance],
    random_source: random.Random,
    request_ids: Iterator[str],
    record: RecordAnswer,
    view: CallersView,
) -> None:
    """Sends requests, some behind each other, until it is cancelled."""
    while True:
        instance = random_source.choice(instances)
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', instance.ports['callers']
            )
        except OSError:
            await asyncio.sleep(_RECONNECT_S)
            continue
        goes_on = True
        try:
            while goes_on:
                goes_on = await _send_group(
                    (reader, writer),
                    instance,
                    random_source,
                    request_ids,
                    record,
                    view,
                )
                await asyncio.sleep(random_source.random() / 20)
        finally:
            writer.transport.abort()


async def _send_group(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    instance: SoakInstance,
    random_source: random.Random,
    request_ids: Iterator[str],
    record: RecordAnswer,
    view: CallersView,
) -> bool:
    """Sends up to three requests at once; returns whether it may go on."""
    reader, writer = connection
    path_by_id: dict[str, str] = {}
    for _ in range(random_source.choice((1, 1, 1, 2, 3))):
        request_id = next(request_ids)
        path = random_source.choice(PATHS)
        path_by_id[request_id] = path
        key = random_source.randrange(_KEY_COUNT)
        # The servers of the soak repeat the body.
        body = request_body(path, request_id, random_source.choice(_BODY_BYTES))
        writer.write(_encode(request_id, path, key, body))
    goes_on = True
    reason = 'closed behind an answer'
    waiting = list(path_by_id)
    sent_s = time.monotonic()
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            while waiting and goes_on:
                status, text, goes_on = await _read_answer(reader)
                request_id = waiting.pop(0)
                path = path_by_id[request_id]
                record(request_id, path, status, text.rstrip(' '))
                view.note_status(request_id, status, instance, sent_s)
    except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
        goes_on = False
        reason = repr(error)
    view.unanswered.update(dict.fromkeys(waiting, f'{instance.name}: {reason}'))
    return goes_on and not waiting
