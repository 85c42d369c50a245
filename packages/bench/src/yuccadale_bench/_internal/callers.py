"""Closed-loop callers for demonstrations that check every answer."""

import asyncio
import itertools
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import xxhash

ONCE_PREFIX = 'once-'
_REPEATABLE_PREFIX = 'again-'
_PAUSE_S = 0.02
_RETRY_LIMIT_S = 8.0
_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class CallerKind:
    """One kind of request.

    Attributes:
        service: first part of the path.
        kind: kind of request in the declaration.
        repeatable: whether the request may run more than once.
    """

    service: str
    kind: str
    repeatable: bool


@dataclass(slots=True)
class CallerReport:
    """Results as the callers see them.

    Attributes:
        answered: requests that a server answered.
        refused_by_code: refusals by result code, or by HTTP status.
        retried: attempts that failed and may be repeated.
        unknown: requests whose last outcome before the limit was unknown.
        unreachable: attempts that failed in the connection.
        wrong: answers that belong to another request; must stay 0.
        latencies_ms: time of each answered attempt.
        longest_gap_by_key_s: longest time from the first attempt to the
            answer.
        done_ids: non-repeatable requests that were answered as done.
    """

    answered: int = 0
    refused_by_code: Counter[str] = field(default_factory=Counter)
    retried: int = 0
    unknown: int = 0
    unreachable: int = 0
    wrong: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    longest_gap_by_key_s: dict[str, float] = field(default_factory=dict)
    done_ids: list[str] = field(default_factory=list)

    def record_gap(self, key: str, gap_s: float) -> None:
        """Keeps the longest time until a request of a key was answered."""
        previous_s = self.longest_gap_by_key_s.get(key, 0)
        self.longest_gap_by_key_s[key] = max(previous_s, gap_s)


class Balancer:
    """Round robin over addresses, in place of the platform's balancer."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = itertools.cycle(addresses)

    def next_address(self) -> str:
        """Returns the address of the next entry instance."""
        return next(self._addresses)


class Callers:
    """Concurrent callers that each send one request at a time.

    Args:
        seconds: time in which new requests start; started ones complete.
    """

    def __init__(
        self,
        balancer: Balancer,
        kinds: list[CallerKind],
        *,
        callers: int,
        seconds: float,
        seed: int,
    ) -> None:
        self.report = CallerReport()
        self._balancer = balancer
        self._kinds = kinds
        self._callers = callers
        self._ends_at = time.monotonic() + seconds
        self._random = random.Random(seed)
        self._ids = itertools.count()

    async def run(self) -> CallerReport:
        """Sends requests until the time is over and returns the report."""
        connector = aiohttp.TCPConnector(limit=self._callers * 2)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(
                *(self._call_repeatedly(session) for _ in range(self._callers))
            )
        return self.report

    async def _call_repeatedly(self, session: aiohttp.ClientSession) -> None:
        while time.monotonic() < self._ends_at:
            kind = self._random.choice(self._kinds)
            key = f'key-{self._random.randrange(2000)}'
            prefix = _REPEATABLE_PREFIX if kind.repeatable else ONCE_PREFIX
            request_id = f'{prefix}{next(self._ids)}'
            await self._send_until_done(session, kind, key, request_id)
            await asyncio.sleep(_PAUSE_S)

    async def _send_until_done(
        self,
        session: aiohttp.ClientSession,
        kind: CallerKind,
        key: str,
        request_id: str,
    ) -> None:
        """Retries one request until it is answered or the limit is reached."""
        first_sent = time.monotonic()
        outcome = 'none'
        while time.monotonic() - first_sent < _RETRY_LIMIT_S:
            outcome = await self._attempt(
                session, kind, key, request_id, time.monotonic() - first_sent
            )
            if outcome == 'done':
                gap_s = time.monotonic() - first_sent
                self.report.record_gap(f'{kind.service}/{key}', gap_s)
                if not kind.repeatable:
                    self.report.done_ids.append(request_id)
                return
            self.report.retried += 1
            await asyncio.sleep(_PAUSE_S * self._random.uniform(1, 5))
        if outcome == 'unknown':
            self.report.unknown += 1

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        kind: CallerKind,
        key: str,
        request_id: str,
        age_s: float,
    ) -> str:
        address = self._balancer.next_address()
        headers = {
            'Yuccadale-Key': key,
            'Yuccadale-Kind': kind.kind,
            'Idempotency-Key': request_id,
            'Yuccadale-First-Sent-Ago-Ms': str(round(age_s * 1000)),
        }
        sent = time.monotonic()
        try:
            async with session.post(
                f'http://{address}/{kind.service}/work',
                data=request_id.encode(),
                headers=headers,
            ) as answer:
                body = await answer.read()
                return self._record_answer(answer, body, request_id, sent)
        except aiohttp.ClientConnectorError:
            self.report.unreachable += 1
            return 'not run'
        except aiohttp.ClientError:
            self.report.unreachable += 1
            return 'unknown'

    def _record_answer(
        self,
        answer: aiohttp.ClientResponse,
        body: bytes,
        request_id: str,
        sent: float,
    ) -> str:
        outcome = answer.headers.get('Yuccadale-Outcome', 'none')
        if outcome == 'done' and answer.status < _SERVER_ERROR:
            self.report.answered += 1
            self.report.latencies_ms.append((time.monotonic() - sent) * 1000)
            self.report.wrong += not _echoes_request(body, request_id)
        else:
            code = answer.headers.get('Yuccadale-Code', str(answer.status))
            self.report.refused_by_code[code] += 1
        return outcome


def _echoes_request(body: bytes, request_id: str) -> bool:
    """Says whether the server echoes this request, by the hash of its body.

    The body of a request is its id.
    """
    echoed_hash = xxhash.xxh3_64_hexdigest(request_id.encode())
    return echoed_hash.encode() in body
