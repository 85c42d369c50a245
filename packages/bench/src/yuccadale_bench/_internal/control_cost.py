"""The command ``control-cost``: CPU time, bytes and memory of ownership.

A leader and its standby run the ownership service in this process, against
in-memory stand-ins, for a few seconds. The CPU time includes both instances
and the stand-ins, but not HTTP, TCP and the peer links. A slope is the
difference between two sizes, for each added server, slot or group.
"""

import argparse
import asyncio
import json
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, cast

import msgspec
from expression import Result

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import DataCentre, Declaration, Service
from yuccadale_core.instances import GroupId, InstanceRef, ServerRef
from yuccadale_core.messages import PeerMessage
from yuccadale_core.platform import (
    ListedInstance,
    Row,
    TableFailure,
    TableFailureKind,
)
from yuccadale_core.targets import (
    Grant,
    GrantAnswer,
    LastGrant,
    Target,
    TargetFailure,
    Ticket,
)
from yuccadale_router._internal.clock import monotonic_ms
from yuccadale_router._internal.contracts import (
    GroupRequests,
    GroupRequestsFactory,
    LeadershipTable,
    Peers,
)
from yuccadale_router._internal.ownership.service import OwnershipService
from yuccadale_router._internal.placement.group import GroupPlacement

_CENTRE = 'bench'
_STARTUP_S = 2.5
_SECONDS = 4


@dataclass(frozen=True)
class Size:
    """What one leader controls; each service has one group."""

    groups: int
    servers: int
    slots: int


@dataclass(frozen=True)
class Cost:
    """CPU time and bytes per second of control, and its peak memory."""

    core_percent: float
    bytes_per_s: float
    memory_bytes: int


_BASE = Size(groups=1, servers=8, slots=256)
_MORE_SERVERS = Size(groups=1, servers=16, slots=256)
_MORE_SLOTS = Size(groups=1, servers=8, slots=2048)
_MORE_GROUPS = Size(groups=4, servers=8, slots=256)


class _Traffic:
    """Counts the encoded bytes of peer messages and grants."""

    def __init__(self) -> None:
        self.bytes_by_kind: Counter[str] = Counter()
        self._encoder = msgspec.msgpack.Encoder()

    def peer_message(self, message: object) -> None:
        """Counts a message between instances as it is encoded in a batch."""
        self.bytes_by_kind['peer'] += len(self._encoder.encode(message))

    def server_call(self, content: object) -> None:
        """Counts the body of a grant or its answer."""
        self.bytes_by_kind['server'] += len(msgspec.json.encode(content))


class _Table:
    def __init__(self) -> None:
        self._row_by_name: dict[str, Row] = {}

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        return Result.Ok(self._row_by_name.get(name))

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        return Result.Ok(
            [
                row
                for name, row in self._row_by_name.items()
                if name.startswith(prefix)
            ]
        )

    async def write(
        self, name: str, text: str, *, expected_version: int, write_id: str
    ) -> Result[Row, TableFailure]:
        row = self._row_by_name.get(name)
        version = row.version if row else 0
        if version != expected_version:
            return Result.Error(
                TableFailure(TableFailureKind.conflict, 'version', row)
            )
        written = Row(name, version + 1, text, write_id)
        self._row_by_name[name] = written
        return Result.Ok(written)


class _InstanceList:
    def __init__(self, listed: list[ListedInstance]) -> None:
        self._listed = listed

    async def fetch(self) -> Result[list[ListedInstance], TableFailure]:
        return Result.Ok(self._listed)


class _Server:
    """Accepts every grant."""

    def __init__(self, traffic: _Traffic) -> None:
        self._traffic = traffic
        self._grant: Grant | None = None

    async def hello(self) -> Result[GrantAnswer, TargetFailure]:
        return self._answer(accepted=False)

    async def grant(self, grant: Grant) -> Result[GrantAnswer, TargetFailure]:
        self._traffic.server_call(grant)
        answer = self._answer(accepted=True, token=grant.token)
        self._grant = grant
        return answer

    def _answer(
        self, *, accepted: bool, token: int = 0
    ) -> Result[GrantAnswer, TargetFailure]:
        grant = self._grant
        last_grant = None
        if grant is not None:
            last_grant = LastGrant(
                grant.holder,
                grant.token,
                grant.sequence,
                grant.slots,
                live=True,
                gap=grant.gap,
            )
        answer = GrantAnswer(
            accepted, Ticket('1', monotonic_ms()), token, 0, last_grant
        )
        self._traffic.server_call(answer)
        return Result.Ok(answer)


class _MemoryPeers:
    def __init__(
        self,
        ref: InstanceRef,
        peers_by_name: dict[str, '_MemoryPeers'],
        traffic: _Traffic,
    ) -> None:
        self.ref = ref
        self._peers_by_name = peers_by_name
        self._traffic = traffic
        self._handlers: dict[type, Callable[..., None]] = {}

    def send(self, peer_name: str, message: PeerMessage) -> bool:
        self._traffic.peer_message(message)
        receiver = self._peers_by_name[peer_name]
        asyncio.get_running_loop().call_soon(
            receiver.receive, self.ref, message
        )
        return True

    def receive(self, sender: InstanceRef, message: PeerMessage) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def handle(
        self, message_type: type[PeerMessage], handler: Callable[..., None]
    ) -> None:
        self._handlers[message_type] = handler

    def silence_ms(self, peer_name: str) -> float:
        return 0

    def live_peers(self) -> Sequence[InstanceRef]:
        return [
            peers.ref
            for peers in self._peers_by_name.values()
            if peers is not self
        ]


class _NoRequests:
    """A request dispatcher that has no requests."""

    def release_slot(self, slot: int) -> None:
        """Does nothing; no request is queued."""

    def server_added(self, server: ServerRef, *, cold: bool) -> None:
        """Does nothing; there is no state for each server."""

    def export_records(self) -> list[Any]:
        """Returns no records."""
        return []


def _create_no_requests(group: GroupId, ownership: object) -> GroupRequests:
    return cast(GroupRequests, _NoRequests())


def measure(size: Size, seconds: float) -> Cost:
    """Runs a leader and a standby of the given size; returns their cost."""
    tracemalloc.start()
    asyncio.run(_run(size, _Traffic(), 0))
    memory_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    traffic = _Traffic()
    core_share = asyncio.run(_run(size, traffic, seconds))
    return Cost(
        core_percent=core_share * 100,
        bytes_per_s=sum(traffic.bytes_by_kind.values()) / seconds,
        memory_bytes=memory_bytes,
    )


async def _run(size: Size, traffic: _Traffic, seconds: float) -> float:
    """Returns the share of a core that was used; 0 without seconds."""
    services = _make_services(size, traffic)
    tasks = [asyncio.create_task(service.run()) for service in services]
    await asyncio.sleep(_STARTUP_S)
    traffic.bytes_by_kind.clear()
    began_at = time.process_time()
    await asyncio.sleep(seconds)
    used_s = time.process_time() - began_at
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return used_s / seconds if seconds else 0


def _make_services(size: Size, traffic: _Traffic) -> list[OwnershipService]:
    names = [f's{number}' for number in range(size.groups)]
    declaration = Declaration(
        service_by_name={
            name: Service(name, size.slots, 2, 120) for name in names
        },
        data_centre_by_name={
            _CENTRE: DataCentre(
                _CENTRE,
                'bench',
                capacity_by_service=dict.fromkeys(names, float(1)),
            )
        },
    )
    listed = [
        _list_entry(f'{name}-{number}', name)
        for name in names
        for number in range(size.servers)
    ]
    listed.extend(_list_entry(name, '') for name in ('i0', 'i1'))
    servers = {entry.address: _Server(traffic) for entry in listed}
    peers_by_name: dict[str, _MemoryPeers] = {}
    for name in ('i0', 'i1'):
        ref = InstanceRef(name, name, _CENTRE, name, name)
        peers_by_name[name] = _MemoryPeers(ref, peers_by_name, traffic)
    table = _Table()
    return [
        _make_service(peers, declaration, table, listed, servers)
        for peers in peers_by_name.values()
    ]


def _make_service(
    peers: _MemoryPeers,
    declaration: Declaration,
    table: _Table,
    listed: list[ListedInstance],
    servers: Mapping[str, _Server],
) -> OwnershipService:
    def placement(group: GroupId) -> GroupPlacement:
        return GroupPlacement(declaration.weights, clock=monotonic_ms)

    service = OwnershipService(
        peers.ref,
        table,
        _InstanceList(listed),
        cast(Peers, peers),
        lambda server: cast(Target, servers[server.address]),
        cast(GroupRequestsFactory, _create_no_requests),
        placement,
        LeadershipTable(),
        Counters(),
        monotonic_ms,
    )
    service.declaration_changed(declaration)
    return service


def _list_entry(name: str, service: str) -> ListedInstance:
    kind = 'server' if service else 'entry'
    return ListedInstance(name, kind, _CENTRE, name, service, name, 'live')


def slopes(seconds: float) -> dict[str, float]:
    """Returns the cost of the base size and of one more of each kind."""
    base = measure(_BASE, seconds)
    report = _report_entries('base', base)
    for kind, size, added in (
        ('server', _MORE_SERVERS, _MORE_SERVERS.servers - _BASE.servers),
        ('slot', _MORE_SLOTS, _MORE_SLOTS.slots - _BASE.slots),
        ('group', _MORE_GROUPS, _MORE_GROUPS.groups - _BASE.groups),
    ):
        larger = measure(size, seconds)
        report.update(
            _report_entries(
                f'per_{kind}',
                Cost(
                    (larger.core_percent - base.core_percent) / added,
                    (larger.bytes_per_s - base.bytes_per_s) / added,
                    round((larger.memory_bytes - base.memory_bytes) / added),
                ),
            )
        )
    return report


def _report_entries(prefix: str, cost: Cost) -> dict[str, float]:
    return {
        f'{prefix}_core_percent': round(cost.core_percent, 5),
        f'{prefix}_bytes_per_s': round(cost.bytes_per_s, 2),
        f'{prefix}_memory_bytes': cost.memory_bytes,
    }


def run_command(arguments: Sequence[str]) -> int:
    """Prints the slopes as JSON."""
    parser = argparse.ArgumentParser(prog='yuccadale_bench control-cost')
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    options = parser.parse_args(arguments)
    print(json.dumps(slopes(options.seconds), indent=2))
    return 0
