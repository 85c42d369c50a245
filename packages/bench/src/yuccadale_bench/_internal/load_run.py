"""Sends requests, bounded in number and time, and checks every answer."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from yuccadale_bench._internal.work_items import (
    AttemptOutcome,
    AttemptResult,
    WorkItem,
    check_answer,
)
from yuccadale_core.http_attempts import Attempt, single_attempt_session

_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000
_MAX_LATENCY_US = 120_000_000
_PERCENTILES = (50, 90, 99, 99.9)

Destination = tuple[str, Mapping[str, str]]
Endpoint = Callable[[WorkItem, str, float, float], Destination]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load.

    Attributes:
        addresses: entry addresses, used round robin.
        workers: requests in flight (closed loop), or their maximum (open
            loop).
        rate: arrivals per second; 0 selects a closed loop.
        requests: maximum number of work items; the run ends at the first
            of the bounds.
        seconds: time in which work items start.
        once_share: share of non-repeatable work items, 0 to 1.
        deadline_ms: deadline sent with each attempt.
        item_limit_s: time after which an item is not retried.
        attempts: maximum number of attempts for each item.
        pause_s: mean pause before a retry with the same id.
    """

    addresses: tuple[str, ...]
    service: str
    workers: int = 20
    rate: float = 0
    requests: int = 100_000
    seconds: float = 10
    once_share: float = 0.5
    keys: int = 1000
    deadline_ms: float = 2000
    item_limit_s: float = 10
    pause_s: float = 0.05
    attempts: int = 1000
    seed: int = 1
    name: str = 'load'
    once_kind: str = ''
    repeatable_kind: str = ''
    body: bytes = b''


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY_US, 3)


def percentiles_ms(latency: HdrHistogram) -> dict[str, float]:
    """Returns percentiles in ms of a histogram in microseconds."""
    found = {
        f'p{percentile:g}': latency.get_value_at_percentile(percentile)
        for percentile in _PERCENTILES
    }
    found['max'] = latency.get_max_value()
    return {
        name: round(value_us / _MILLISECONDS, 3)
        for name, value_us in found.items()
    }


@dataclass(slots=True)
class LoadReport:
    """Results as the callers see them.

    Attributes:
        items_by_outcome: work items by final outcome.
        refusals_by_code: refused or failed attempts by code.
        not_started: arrivals of an open loop above the limit in flight.
        unknown_attempts: attempts whose outcome is unknown.
        unknown_ids: non-repeatable items whose final outcome is unknown.
        done_ids: non-repeatable items that were answered.
    """

    started_s: float = field(default_factory=time.monotonic)
    elapsed_s: float = 0
    attempts: int = 0
    not_started: int = 0
    items_by_outcome: Counter[str] = field(default_factory=Counter)
    refusals_by_code: Counter[str] = field(default_factory=Counter)
    unknown_attempts: int = 0
    unknown_ids: list[str] = field(default_factory=list)
    done_ids: list[str] = field(default_factory=list)
    latency: HdrHistogram = field(default_factory=_histogram)
    latency_by_kind: dict[str, HdrHistogram] = field(
        default_factory=lambda: {
            'repeatable': _histogram(),
            'once': _histogram(),
        }
    )

    def add(self, other: 'LoadReport') -> None:
        """Adds the results of another run of the same plan."""
        self.elapsed_s += other.elapsed_s
        self.attempts += other.attempts
        self.unknown_attempts += other.unknown_attempts
        self.not_started += other.not_started
        self.items_by_outcome.update(other.items_by_outcome)
        self.refusals_by_code.update(other.refusals_by_code)
        self.unknown_ids.extend(other.unknown_ids)
        self.done_ids.extend(other.done_ids)
        self.latency.add(other.latency)
        for kind, latency in other.latency_by_kind.items():
            self.latency_by_kind[kind].add(latency)

    def summary(self) -> dict[str, Any]:
        """Returns the report as JSON types; latencies in milliseconds."""
        done = self.items_by_outcome['done']
        return {
            'elapsed_s': round(self.elapsed_s, 3),
            'attempts': self.attempts,
            'not_started': self.not_started,
            'items': dict(self.items_by_outcome),
            'refusals': dict(self.refusals_by_code),
            'unknown': len(self.unknown_ids),
            'done_per_s': round(done / self.elapsed_s, 1),
            'latency_ms': percentiles_ms(self.latency),
            'latency_ms_by_kind': {
                kind: percentiles_ms(latency)
                for kind, latency in self.latency_by_kind.items()
            },
        }


def through_entry(
    item: WorkItem, address: str, first_sent_ago_ms: float, deadline_ms: float
) -> Destination:
    """Returns URL and headers of an attempt through an entry instance."""
    headers = item.headers(
        first_sent_ago_ms=first_sent_ago_ms, deadline_ms=deadline_ms
    )
    return f'http://{address}/{item.service}{item.path}', headers


def direct_to_server(
    item: WorkItem, address: str, _first_sent_ago_ms: float, deadline_ms: float
) -> Destination:
    """Returns URL and headers for a server that checks no grants."""
    headers = {
        'Yuccadale-Token': '0',
        'Yuccadale-Slot': '0',
        'Yuccadale-Key': item.key,
        'Yuccadale-Request-Id': item.request_id,
        'Yuccadale-Deadline-Ms': str(int(deadline_ms)),
    }
    return f'http://{address}/run{item.path}', headers


class _LoadRun:
    def __init__(
        self,
        plan: LoadPlan,
        endpoint: Endpoint,
        stopping: asyncio.Event,
    ) -> None:
        self.report = LoadReport()
        self._plan = plan
        self._endpoint = endpoint
        self._stopping = stopping
        self._random = random.Random(plan.seed)
        self._addresses = itertools.cycle(plan.addresses)
        self._numbers = iter(range(plan.requests))
        self._ends_at_s = self.report.started_s + plan.seconds

    async def run_closed(self, session: aiohttp.ClientSession) -> None:
        """Keeps a fixed number of requests in flight."""
        await asyncio.gather(
            *(self._run_worker(session) for _ in range(self._plan.workers))
        )

    async def run_open(self, session: aiohttp.ClientSession) -> None:
        """Starts items at a mean rate that does not depend on the answers."""
        tasks: set[asyncio.Task[None]] = set()
        async for due_s in self._arrivals():
            item = self._next_item()
            if item is None:
                break
            if len(tasks) >= self._plan.workers:
                self.report.not_started += 1
                continue
            task = asyncio.create_task(
                self._complete_item(session, item, due_s)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def _arrivals(self) -> AsyncIterator[float]:
        due_s = time.monotonic()
        while due_s < self._ends_at_s:
            delay_s = due_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            yield due_s
            due_s += self._random.expovariate(self._plan.rate)

    async def _run_worker(self, session: aiohttp.ClientSession) -> None:
        while time.monotonic() < self._ends_at_s:
            item = self._next_item()
            if item is None:
                return
            await self._complete_item(session, item, time.monotonic())

    def _next_item(self) -> WorkItem | None:
        number = next(self._numbers, None)
        if number is None or self._stopping.is_set():
            return None
        plan = self._plan
        repeatable = self._random.random() >= plan.once_share
        return WorkItem(
            number=number,
            request_id=f'{plan.name}-{number}',
            service=plan.service,
            key=f'key-{self._random.randrange(plan.keys)}',
            repeatable=repeatable,
            kind=plan.repeatable_kind if repeatable else plan.once_kind,
            body=b'' if repeatable else plan.body,
        )

    async def _complete_item(
        self, session: aiohttp.ClientSession, item: WorkItem, due_s: float
    ) -> None:
        """Retries an item until it is answered or a limit is reached."""
        outcome = AttemptOutcome.not_run
        item_deadline_s = due_s + self._plan.item_limit_s
        for _ in range(self._plan.attempts):
            if time.monotonic() >= item_deadline_s:
                break
            result = await self._attempt(session, item, due_s)
            outcome = result.outcome
            if outcome in {AttemptOutcome.done, AttemptOutcome.wrong}:
                break
            self.report.refusals_by_code[result.code] += 1
            if outcome == AttemptOutcome.unknown:
                self.report.unknown_attempts += 1
            pause_s = self._random.uniform(0, 2 * self._plan.pause_s)
            await asyncio.sleep(pause_s)
        self._record_outcome(item, outcome, due_s)

    def _record_outcome(
        self, item: WorkItem, outcome: AttemptOutcome, due_s: float
    ) -> None:
        report = self.report
        kind = 'repeatable' if item.repeatable else 'once'
        if outcome == AttemptOutcome.done:
            elapsed_us = int((time.monotonic() - due_s) * _MICROSECONDS)
            # A timer may fire slightly before the arrival is due.
            bounded_us = min(max(elapsed_us, 1), _MAX_LATENCY_US)
            report.latency.record_value(bounded_us)
            report.latency_by_kind[kind].record_value(bounded_us)
        report.items_by_outcome[outcome.value] += 1
        report.items_by_outcome[f'{kind} {outcome.value}'] += 1
        if item.repeatable:
            return
        if outcome == AttemptOutcome.done:
            report.done_ids.append(item.request_id)
        elif outcome == AttemptOutcome.unknown:
            report.unknown_ids.append(item.request_id)

    async def _attempt(
        self, session: aiohttp.ClientSession, item: WorkItem, due_s: float
    ) -> AttemptResult:
        self.report.attempts += 1
        url, headers = self._endpoint(
            item,
            next(self._addresses),
            # A timer may fire slightly before the arrival is due.
            max(time.monotonic() - due_s, 0) * _MILLISECONDS,
            self._plan.deadline_ms,
        )
        sent = Attempt()
        try:
            async with session.request(
                item.method,
                url,
                data=item.body or None,
                headers=headers,
                trace_request_ctx=sent,
            ) as response:
                body = await response.read()
                return check_answer(
                    item, response.status, response.headers, body
                )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            outcome = (
                AttemptOutcome.unknown
                if sent.connected
                else AttemptOutcome.not_run
            )
            return AttemptResult(outcome, type(error).__name__)


async def run_load(
    plan: LoadPlan,
    *,
    endpoint: Endpoint = through_entry,
    stopping: asyncio.Event | None = None,
) -> LoadReport:
    """Sends the load and returns its results.

    Args:
        stopping: ends the run early; started items are completed.
    """
    load = _LoadRun(plan, endpoint, stopping or asyncio.Event())
    connector = aiohttp.TCPConnector(limit=plan.workers)
    # One more second than the deadline, to receive the refusal.
    timeout_s = plan.deadline_ms / _MILLISECONDS + 1
    async with single_attempt_session(
        connector, timeout_s=timeout_s
    ) as session:
        if plan.rate:
            await load.run_open(session)
        else:
            await load.run_closed(session)
    load.report.elapsed_s = time.monotonic() - load.report.started_s
    return load.report
