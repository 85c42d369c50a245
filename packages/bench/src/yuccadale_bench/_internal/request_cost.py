"""Measures the cost of a request in the dispatcher and the entry.

Run with ``python -m yuccadale_bench._internal.request_cost``; prints JSON.
Servers answer in memory, without a network: the figures contain only the cost
of queueing, idempotency records and state of the router.
"""

import asyncio
import random
import sys
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any, cast

import msgspec
import uvloop
from expression import Result

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import DataCentre, Declaration, Service
from yuccadale_core.instances import (
    GroupId,
    InstanceRef,
    Leadership,
    ServerRef,
)
from yuccadale_core.messages import Forward, RecordChange
from yuccadale_core.refusals import Refusal
from yuccadale_core.targets import (
    Target,
    TargetAnswer,
    TargetFailure,
    TargetRequest,
)

from yuccadale_router._internal.clock import monotonic_ms
from yuccadale_router._internal.contracts import (
    LeadershipTable,
    LoadSample,
    Peers,
    SendPermit,
    ServerObservation,
    Tenure,
)
from yuccadale_router._internal.requests.delivery import DispatcherParts
from yuccadale_router._internal.requests.dispatcher import GroupDispatcher
from yuccadale_router._internal.requests.dispatchers import Dispatchers
from yuccadale_router._internal.requests.entry import RequestEntry
from yuccadale_router._internal.requests.idempotency import RecordStore
from yuccadale_router._internal.requests.parsing import CallerRequest

_GROUP = GroupId('ledger', 'lodz-a', 0)
_SLOTS = 384
_SERVERS = 12
_CONCURRENT = 24
_REQUESTS = 30_000
_MEMORY_ITEMS = 5_000
_BODY = b'x' * 200


class _Server:
    """Answers each request after one pass of the event loop."""

    async def run(
        self, _request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        """Answers at once."""
        await asyncio.sleep(0)
        return Result.Ok(TargetAnswer(200, {}, _BODY))


class _StuckServer(_Server):
    """Never answers, so that requests stay queued."""

    async def run(
        self, _request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        """Blocks until cancelled."""
        await asyncio.Event().wait()
        return Result.Ok(TargetAnswer(200, {}, b''))

    async def cancel(self, _request_id: str) -> None:
        """Accepts the cancellation."""


class _Ownership:
    """Grants everything and replicates at once."""

    def __init__(self) -> None:
        self._permits = [
            Result[SendPermit, Refusal].Ok(
                SendPermit(ServerRef(f's{number}', f's{number}', 'rack'), 2)
            )
            for number in range(_SERVERS)
        ]
        self._tenure = Tenure(complete=True, age_ms=1)

    def effective_slot(self, slot: int, _key: str) -> int:
        """Returns the slot."""
        return slot

    def permit(self, slot: int) -> Result[SendPermit, Refusal]:
        """Returns the slot's server."""
        return self._permits[slot % _SERVERS]

    def tenure(self, _slot: int) -> Tenure:
        """Returns a complete tenure."""
        return self._tenure

    async def replicate(
        self, _server_name: str, _changes: list[RecordChange]
    ) -> Result[None, Refusal]:
        """Acknowledges after one pass of the event loop."""
        await asyncio.sleep(0)
        return Result.Ok(None)

    def report_observation(
        self, _server_name: str, _observation: ServerObservation
    ) -> None:
        """Discards the observation."""


class _Observer:
    """Discards load samples."""

    def observe(self, _sample: LoadSample) -> None:
        """Discards a sample."""


class _NoPeers:
    """Peer links without peers."""

    def handle(self, _message_type: type, _handler: object) -> None:
        """Registers nothing."""

    def live_peers(self) -> list[InstanceRef]:
        """Returns no peer."""
        return []


def _service(queue_limit: int) -> Service:
    return Service(
        _GROUP.service,
        slot_count=_SLOTS,
        concurrency=2,
        connections=120,
        queue_limit=queue_limit,
    )


def _parts(server: _Server) -> DispatcherParts:
    return DispatcherParts(
        where='leader bench',
        clock=monotonic_ms,
        counters=Counters(),
        targets=lambda _server: cast(Target, server),
        random_unit=random.random,
    )


def _dispatcher(server: _Server, queue_limit: int = 200) -> GroupDispatcher:
    return GroupDispatcher(
        _GROUP, _Ownership(), _service(queue_limit), _parts(server), _Observer()
    )


def _forward(number: int, *, repeatable: bool) -> Forward:
    return Forward(
        forward_id=number,
        group=_GROUP,
        service=_GROUP.service,
        key=f'stage-{number}',
        slot=number % _SLOTS,
        request_id=f'b3c1f0a2-{number:012d}',
        kind='',
        repeatable=repeatable,
        priority=3 if repeatable else 1,
        method='POST',
        path='/book',
        headers={},
        body=_BODY,
        remaining_ms=60_000,
        first_sent_ago_ms=0,
    )


async def _per_second(work: Callable[[int], Awaitable[object]]) -> float:
    """Returns requests per second of CPU time, with a few in flight."""

    async def repeat(first: int) -> None:
        for number in range(first, _REQUESTS, _CONCURRENT):
            await work(number)

    started_s = time.process_time()
    await asyncio.gather(*(repeat(first) for first in range(_CONCURRENT)))
    return _REQUESTS / (time.process_time() - started_s)


async def _dispatch_rate(*, repeatable: bool) -> float:
    dispatcher = _dispatcher(_Server())
    forwards = [
        _forward(number, repeatable=repeatable) for number in range(_REQUESTS)
    ]
    return await _per_second(
        lambda number: dispatcher.dispatch(forwards[number])
    )


async def _entry_rate() -> float:
    local_instance = InstanceRef('a', 'a-1', _GROUP.data_centre, 'rack', 'peer')
    leaderships = LeadershipTable()
    dispatchers = Dispatchers(_parts(_Server()), lambda _group: _Observer())
    entry = RequestEntry(
        local_instance,
        leaderships,
        cast(Peers, _NoPeers()),
        Counters(),
        monotonic_ms,
        dispatchers=dispatchers,
        random_unit=random.random,
    )
    centre = DataCentre(
        _GROUP.data_centre, 'region', 'live', {_GROUP.service: 1}
    )
    entry.declaration_changed(
        Declaration(
            service_by_name={_GROUP.service: _service(200)},
            data_centre_by_name={centre.name: centre},
        )
    )
    dispatchers(_GROUP, _Ownership())
    leaderships.learn(Leadership(_GROUP, 2, local_instance, None))
    requests = [
        CallerRequest(_GROUP.service, 'GET', '/book', f'stage-{number}')
        for number in range(_REQUESTS)
    ]
    return await _per_second(lambda number: entry.handle(requests[number]))


def _record_bytes(body: bytes) -> float:
    store = RecordStore(
        monotonic_ms, 600, record_limit=1 << 30, body_limit_bytes=1 << 30
    )
    tracemalloc.start()
    for number in range(_MEMORY_ITEMS):
        request_id = f'b3c1f0a2-{number:012d}'
        record = store.start((number % _SLOTS, request_id), number << 40)
        record.server = 's1'
        # Each answer has a separate copy of the body, as from a network.
        own_body = bytes(bytearray(body))
        store.finish(record, TargetAnswer(200, {'a': 'b'}, own_body))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _MEMORY_ITEMS


async def _queued_bytes() -> float:
    dispatcher = _dispatcher(_StuckServer(), queue_limit=_MEMORY_ITEMS)
    forwards = [
        _forward(number, repeatable=True) for number in range(_MEMORY_ITEMS)
    ]
    tracemalloc.start()
    tasks = [
        asyncio.create_task(dispatcher.dispatch(forward))
        for forward in forwards
    ]
    await asyncio.sleep(0.5)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return used / _MEMORY_ITEMS


async def _measure() -> dict[str, Any]:
    return {
        'dispatches_per_cpu_s_repeatable': round(
            await _dispatch_rate(repeatable=True)
        ),
        'dispatches_per_cpu_s_non_repeatable': round(
            await _dispatch_rate(repeatable=False)
        ),
        'entries_with_dispatch_per_cpu_s': round(await _entry_rate()),
        'record_bytes_empty_answer': round(_record_bytes(b'')),
        'record_bytes_200_byte_answer': round(_record_bytes(_BODY)),
        'queued_request_bytes': round(await _queued_bytes()),
    }


def main() -> None:
    """Measures and prints JSON."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        measured = runner.run(_measure())
    sys.stdout.write(f'{msgspec.json.encode(measured).decode()}\n')


if __name__ == '__main__':
    main()
