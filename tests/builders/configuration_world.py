"""Simulated instances that follow the operators' configuration.

Instances, links and the store run in virtual time. The check asks each instance
how it routes a request; it uses no knowledge of ages, leaders or the versions
of the store.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field
from math import inf
from types import MappingProxyType, SimpleNamespace
from typing import Any

import msgspec

from tests.builders.leadership_world import StoredRows
from tests.builders.server_rows import decode_row
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.broadcaster import Broadcaster
from yuccadale_edge._internal.membership.cluster import Cluster
from yuccadale_edge._internal.membership.electorate import (
    Electorate,
    choose_electors,
)
from yuccadale_edge._internal.membership.leadership import Leadership
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import LeaderInfo
from yuccadale_edge._internal.membership.source_reader import (
    SourceReader,
    StoreContact,
)
from yuccadale_edge._internal.model import (
    Bounds,
    CallerLimits,
    Configuration,
    Place,
    Route,
    Settings,
    WeightedService,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.rate_limits import RateLimits
from yuccadale_edge._internal.routing.request_router import find_route
from yuccadale_edge._internal.routing.requests import Refused
from yuccadale_edge._internal.store import (
    Rows,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
)
from yuccadale_edge._internal.system_view import (
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    SOURCE_TABLES,
    InvalidRowError,
    SystemView,
)
from yuccadale_edge._internal.transport.client_pool import Address

HOST = 'shop.example'
_REGION_BY_DATA_CENTRE = MappingProxyType(
    {'a': 'north', 'b': 'north', 'c': 'south'}
)
_NEIGHBOUR_DELAY_S = 0.002
_REGION_DELAY_S = 0.012
_STORE_DELAY_S = 0.004
_READ_TIMEOUT_S = 0.9
_STORE_PAGE_ROWS = 50
_PEER_TIMEOUT_S = 1.0
_WATCH_INTERVAL_S = 0.02
# Instances are in touch when nothing was done to them for this long.
_CONTACT_S = 3.0
# A write without an answer may be applied up to this much later.
_MAX_WRITE_DELAY_S = 4.0
_LATE_WRITE_SHARE = 0.3
# Fields of an entry besides those that the decoder of the tests reads.
_ENTRY = MappingProxyType(
    {
        'address': '10.4.65.210:8665',
        'info': {'service': 'ledger', 'zone': 'a', 'slots': 3},
        'status': {'state': 'ready', 'slow_start_time': '3s', 'load': 0.25},
        'labels': {'release': 'r-2026-12', 'pool': 'general', 'class': 'm'},
    }
)
# Configurations that no instance may take.
_INVALID_CONTENTS = (b'', b'12x', b'\xff')


def _decode_configuration(content: bytes) -> Configuration:
    if not content.isdigit():
        raise InvalidRowError('the configuration is no number')
    version = int(content)
    routes = tuple(
        Route(
            f'r{number}',
            HOST,
            f'/{number}/',
            # The service shows the configuration by which it was chosen.
            (WeightedService(f'service-{version}', 1.0),),
            repeatable=True,
            timeout_s=1.0,
            target_latency_s=1.0,
            max_attempts=1,
            priority=1,
        )
        for number in range(version + 1)
    )
    limits = CallerLimits(1000, 1000, 1.0, 1.0)
    return Configuration(version, {HOST: routes}, {}, limits)


# The problems that the check finds.
OUTDATED = 'routes by an old configuration'
GOES_BACK = 'goes back to an older configuration'
DENIES = 'denies a route'
DOES_NOT_SERVE = 'does not serve an added route'
# Allowed while the store or the other instances are not reached.
_ALLOWED_OUT_OF_TOUCH = frozenset((OUTDATED, DOES_NOT_SERVE))


@dataclass
class SimulatedTables:
    """The tables of the store."""

    rows_by_table: dict[str, StoredRows] = field(default_factory=dict)
    version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def table(self, name: str) -> StoredRows:
        """Returns the rows of a table."""
        return self.rows_by_table.setdefault(name, StoredRows())

    def write(
        self, name: str, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes if the expected versions hold; wakes the waiting reads."""
        table = self.table(name)
        table.version = self.version
        written = table.write(puts, expected)
        self.version = table.version
        self.changed.set()
        self.changed = asyncio.Event()
        return written

    def after(self, name: str, version: int) -> tuple[StoredRow, ...]:
        """Returns the rows of a table after a version."""
        return tuple(
            row
            for row in self.table(name).row_by_key.values()
            if row.version > version
        )


@dataclass
class SimulatedLinks:
    """The network links of the instances, each way on its own.

    What an instance sends, to whomever, leaves in order, and so does what it
    receives arrive.

    Attributes:
        bytes_per_s_by_name: the rates; links that are not named are fast.
        sent_bytes_by_name: what each instance has sent to the others.
    """

    bytes_per_s_by_name: dict[str, float] = field(default_factory=dict)
    sent_bytes_by_name: Counter[str] = field(default_factory=Counter)
    _free_s_by_way: dict[tuple[str, str], float] = field(default_factory=dict)

    async def send(self, name: str, size: int) -> None:
        """Waits until bytes have left an instance."""
        await self._pass(('out', name), name, size)

    async def receive(self, name: str, size: int) -> None:
        """Waits until bytes have reached an instance."""
        await self._pass(('in', name), name, size)

    async def _pass(self, way: tuple[str, str], name: str, size: int) -> None:
        rate = self.bytes_per_s_by_name.get(name, inf)
        if rate == inf:
            return
        now_s = elapsed_s()
        free_s = max(self._free_s_by_way.get(way, 0), now_s) + size / rate
        self._free_s_by_way[way] = free_s
        await asyncio.sleep(free_s - now_s)


class _Store:
    """The store as one instance reaches it."""

    def __init__(self, world: 'ConfigurationWorld', name: str) -> None:
        self._world = world
        self._name = name

    async def read(
        self, table: str, timeout_s: float = _READ_TIMEOUT_S
    ) -> Rows:
        """Reads a table."""
        await self._reach_store()
        tables = self._world.tables
        rows = Rows(tables.after(table, -1), tables.version)
        await self._reach_store()
        return await self._receive(rows, timeout_s)

    async def changes(self, table: str, after: int, wait_s: float) -> Rows:
        """Waits for changes."""
        await self._reach_store()
        if self._name in self._world.stalled_reads:
            await asyncio.sleep(wait_s + _READ_TIMEOUT_S)
            raise StoreUnavailableError('no answer')
        tables = self._world.tables
        end_s = elapsed_s() + wait_s
        while not tables.after(table, after) and elapsed_s() < end_s:
            try:
                async with asyncio.timeout(end_s - elapsed_s()):
                    await tables.changed.wait()
            except TimeoutError:
                break
        rows = Rows(tables.after(table, after), tables.version)
        await self._reach_store()
        return await self._receive(rows, _READ_TIMEOUT_S)

    async def write(
        self, table: str, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes rows."""
        world = self._world
        if self._name in world.silent_store:
            if world.random.random() < _LATE_WRITE_SHARE:
                asyncio.get_running_loop().call_later(
                    world.random.random() * _MAX_WRITE_DELAY_S,
                    world.tables.write,
                    table,
                    puts,
                    expected,
                )
            await asyncio.sleep(_READ_TIMEOUT_S)
            raise StoreOutcomeUnknownError('no answer')
        await self._reach_store()
        return world.tables.write(table, puts, expected)

    async def _receive(self, rows: Rows, timeout_s: float) -> Rows:
        for begin in range(0, len(rows.rows), _STORE_PAGE_ROWS):
            page = rows.rows[begin : begin + _STORE_PAGE_ROWS]
            # The store sends the content of rows as base64.
            size = sum(len(row.content) * 4 // 3 for row in page)
            try:
                async with asyncio.timeout(timeout_s):
                    await self._world.links.receive(self._name, size)
            except TimeoutError as error:
                raise StoreUnavailableError('the answer is late') from error
        return rows

    async def _reach_store(self) -> None:
        world = self._world
        await asyncio.sleep(
            _STORE_DELAY_S + world.store_delay_s * world.random.random()
        )
        if self._name in world.silent_store:
            await asyncio.sleep(_READ_TIMEOUT_S)
            raise StoreUnavailableError('no answer')
        if self._name in world.without_store:
            await asyncio.sleep(_STORE_DELAY_S)
            raise StoreUnavailableError('the store is not reachable')


class _Links:
    """The links of one instance to its peers."""

    def __init__(self, world: 'ConfigurationWorld', name: str) -> None:
        self._world = world
        self._name = name

    async def request(
        self,
        address: Address,
        topic: str,
        body: bytes,
        timeout_s: float,
        decode: Callable[[bytes], Any],
    ) -> Any:
        """Sends a request to a peer."""
        peer = await self._reach_peer(address)
        try:
            async with asyncio.timeout(timeout_s):
                await self._world.transfer(self._name, peer.name, len(body))
                answer = await peer.cluster.handle_request(topic, body)
                await self._world.transfer(peer.name, self._name, len(answer))
        except TimeoutError as error:
            raise LinkLostError('no response') from error
        if peer is not await self._reach_peer(address):
            raise LinkLostError('the peer was restarted')
        return decode(answer)

    async def notify(self, address: Address, topic: str, body: bytes) -> bool:
        """Sends a message that gets no response."""
        world = self._world
        try:
            peer = await self._reach_peer(address)
        except PeerUnreachableError:
            return False
        if world.random.random() < world.late_share:
            await asyncio.sleep(world.random.random())
        await world.transfer(self._name, peer.name, len(body))
        peer.cluster.handle_message(topic, body)
        return True

    async def _reach_peer(self, address: Address) -> 'FollowingInstance':
        world = self._world
        await asyncio.sleep(world.delay_s(self._name, address))
        for name, peer in world.instance_by_name.items():
            if peer.settings.contact_address == address:
                if world.cut_off.isdisjoint({name, self._name}):
                    return peer
                await asyncio.sleep(_PEER_TIMEOUT_S)
        raise PeerUnreachableError('not reached')


class FollowingInstance:
    """One incarnation of an instance."""

    def __init__(self, world: 'ConfigurationWorld', name: str) -> None:
        self.name = name
        self.settings = world.settings_by_name[name]
        self.started_s = elapsed_s()
        self.latest_version = 0
        links: object = _Links(world, name)
        contact = StoreContact()
        store = _Store(world, name)
        self.system_view = SystemView(
            _decode_configuration,
            decode_row,
            self.settings.bounds.max_source_age_s,
        )
        metrics = Metrics()
        broadcaster = Broadcaster(
            self.settings,
            self.system_view,
            links,  # type: ignore[arg-type]
        )
        electorate = Electorate(
            links,  # type: ignore[arg-type]
            self.settings.contact_address,
            name,
            self._store_answers,
            lambda: self.leadership.epoch,
            metrics,
        )
        self.leadership = Leadership(
            store,
            LeaderInfo(
                0, name, *self.settings.contact_address, world.next_number()
            ),
            contact,
            electorate,
            lambda: choose_electors(broadcaster.peers()),
        )
        self.cluster = Cluster(
            self.settings,
            self.system_view,
            self.leadership,
            electorate,
            contact,
            links,  # type: ignore[arg-type]
            broadcaster,
            SimpleNamespace(  # type: ignore[arg-type]
                service_time_samples=[],
                rate_limits=RateLimits(metrics, elapsed_s),
            ),
            None,  # type: ignore[arg-type]
            metrics,
        )
        readers = [
            SourceReader(
                table,
                store,
                self.system_view,
                contact,
                metrics,
                self.cluster.read_wait_s,
                self.cluster.publish_rows,
            )
            for table in SOURCE_TABLES
        ]
        self.tasks = [
            asyncio.create_task(task)
            for task in (
                self.cluster.run(),
                self.cluster.fetch_rows(),
                *(one.run() for one in readers),
            )
        ]

    def problems(self, required_version: int) -> Iterator[str]:
        """Yields what is wrong with the routes of a required configuration."""
        added = find_route(self.system_view, HOST, f'/{required_version}/')
        if isinstance(added, Refused):
            denied = added.code == ResultCode.service_unknown
            yield DENIES if denied else DOES_NOT_SERVE
        first = find_route(self.system_view, HOST, '/0/')
        if isinstance(first, Refused):
            return
        version = first[0].version
        if version < required_version:
            yield OUTDATED
        if version < self.latest_version:
            yield GOES_BACK
        self.latest_version = version

    async def _store_answers(self) -> bool:
        return await self.leadership.store_answers()


class ConfigurationWorld:
    """Instances, links, the store and a storm of configuration changes.

    Attributes:
        without_store: names of the instances that do not reach the store.
        stalled_reads: names of the instances whose reads of changes get no
            answer, while their other calls do.
        silent_store: names of the instances whose calls to the store get no
            answer; their writes may be applied later.
        store_delay_s: longest additional delay of each way to the store.
        late_share: share of the messages that arrive up to 1 s late.
        cut_off: names of the instances that reach neither the store nor
            another instance.
        links: the links of the instances.
        problems: what the check found.
    """

    def __init__(self, seed: int, names: Collection[str]) -> None:
        self.random = random.Random(seed)
        self.tables = SimulatedTables()
        self.without_store: set[str] = set()
        self.stalled_reads: set[str] = set()
        self.silent_store: set[str] = set()
        self.store_delay_s: float = 0
        self.cut_off: set[str] = set()
        self.late_share: float = 0
        self.links = SimulatedLinks()
        self.instance_by_name: dict[str, FollowingInstance] = {}
        self.problems: list[str] = []
        self.settings_by_name = {
            name: _settings(name, number) for number, name in enumerate(names)
        }
        self._acknowledged: list[tuple[float, int]] = []
        self._store_lost_s_by_name: dict[str, float] = {}
        self._last_number = 0

    def next_number(self) -> int:
        """Returns a number that was not returned before."""
        self._last_number += 1
        return self._last_number

    def start(self, *names: str) -> None:
        """Starts instances, in place of their earlier incarnations."""
        for name in names:
            self.kill(name)
            self.instance_by_name[name] = FollowingInstance(self, name)

    def kill(self, *names: str) -> None:
        """Kills instances."""
        for name in names:
            instance = self.instance_by_name.pop(name, None)
            if instance is not None:
                for task in instance.tasks:
                    task.cancel()

    def leader(self) -> str:
        """Returns the leading instance, or any if there is none."""
        for name, instance in self.instance_by_name.items():
            if instance.leadership.may_act():
                return name
        return min(self.settings_by_name)

    def delay_s(self, name: str, address: Address) -> float:
        """Returns the delay from an instance to an address."""
        own = self.settings_by_name[name].place
        for settings in self.settings_by_name.values():
            if settings.contact_address == address:
                if own.distance(settings.place.data_centre) > 1:
                    return _REGION_DELAY_S
        return _NEIGHBOUR_DELAY_S * (1 + self.random.random())

    async def transfer(self, sender: str, receiver: str, size: int) -> None:
        """Waits until a message between two instances has arrived."""
        self.links.sent_bytes_by_name[sender] += size
        await self.links.send(sender, size)
        await self.links.receive(receiver, size)

    def write_servers(self, first: int, last: int) -> None:
        """Registers servers, each with an entry of the usual size."""
        for number in range(first, last):
            entry = {'incarnation': 1_700_000_000_000 + number, **_ENTRY}
            content = msgspec.json.encode(entry)
            self.tables.write(SERVER_TABLE, {f'i-{number:010x}': content}, {})

    def write_configuration(self) -> None:
        """Writes the next configuration, as an operator does."""
        version = len(self._acknowledged)
        self.tables.write(
            CONFIGURATION_TABLE, {'config': str(version).encode()}, {}
        )
        self._acknowledged.append((elapsed_s(), version))

    async def storm(self, changes: int, interval_s: float) -> None:
        """Changes the configuration in quick succession."""
        for _ in range(changes):
            self.write_configuration()
            await asyncio.sleep(interval_s)

    def write_invalid_configuration(self) -> None:
        """Writes a configuration that no instance may take."""
        self.tables.write(
            CONFIGURATION_TABLE,
            {'config': self.random.choice(_INVALID_CONTENTS)},
            {},
        )

    async def watch(self) -> None:
        """Checks all instances until cancelled."""
        while True:
            now_s = elapsed_s()
            disturbed = {*self.without_store, *self.silent_store, *self.cut_off}
            if self.store_delay_s:
                disturbed.update(self.settings_by_name)
            for name in disturbed:
                self._store_lost_s_by_name[name] = now_s
            for name, instance in self.instance_by_name.items():
                self._check(name, instance, now_s)
            await asyncio.sleep(_WATCH_INTERVAL_S)

    def stop(self) -> None:
        """Stops all instances."""
        self.kill(*list(self.instance_by_name))

    def _check(
        self, name: str, instance: FollowingInstance, now_s: float
    ) -> None:
        bound_s = instance.settings.bounds.configuration_s
        required = [
            version
            for acknowledged_s, version in self._acknowledged
            if now_s - acknowledged_s > bound_s
        ]
        problems = instance.problems(max(required, default=0))
        disturbed_s = max(
            instance.started_s, self._store_lost_s_by_name.get(name, 0)
        )
        in_touch = now_s - disturbed_s > _CONTACT_S
        for problem in problems:
            allowed = problem in _ALLOWED_OUT_OF_TOUCH and not in_touch
            if required and not allowed:
                self.problems.append(f'{now_s:.2f} s: {name} {problem}')


def _settings(name: str, number: int) -> Settings:
    data_centre = sorted(_REGION_BY_DATA_CENTRE)[number % 3]
    place = Place(
        data_centre,
        _REGION_BY_DATA_CENTRE[data_centre],
        _REGION_BY_DATA_CENTRE,
    )
    address = ('10.0.0.1', number)
    return Settings(
        name,
        place,
        address,
        address,
        address,
        address,
        seeds=(('10.0.0.1', 0), ('10.0.0.1', 1)),
        store_address=address,
        bounds=Bounds(),
    )
