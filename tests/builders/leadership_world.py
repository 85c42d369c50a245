"""Simulated instances that compete for the leader's row, in virtual time.

The check asks each running instance whether it may act; it uses no knowledge
of rows, promises or electors.
"""

import asyncio
import random
import zlib
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import pytest

from yuccadale_edge._internal import clock
from yuccadale_edge._internal.system_view import Instance
from yuccadale_edge._internal.membership.electorate import (
    Electorate,
    choose_electors,
)
from yuccadale_edge._internal.membership.leadership import (
    OWN_TABLE,
    Leadership,
)
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerUnreachableError,
)
from yuccadale_edge._internal.membership.messages import (
    PROMISE_TOPIC,
    RECORD_COPY_TOPIC,
    Elector,
    LeaderInfo,
)
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.manager import RecordNotKeptError
from yuccadale_edge._internal.store import (
    Rows,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
)
from yuccadale_edge._internal.store_versions import (
    FIRST_ERA,
    era_of,
    number_of,
    store_version,
)
from yuccadale_edge._internal.transport.client_pool import Address

_READ_INTERVAL_S = 0.25
_WATCH_INTERVAL_S = 0.02
_STORE_TIMEOUT_S = 0.8
_DELAYS_S = (0.001, 0.004, 0.03, 0.2)
# Longest delay until a write without an answer is applied.
_MAX_WRITE_DELAY_S = 6.0
_LOST_ANSWER_SHARE = 0.2
# Messages that arrive within a longer time.
_LATE_MESSAGE_SHARE = 0.2
_MAX_MESSAGE_DELAY_S = 6.0
_FREEZE_CHECK_S = 0.01
_LOOKS_PER_REPORT = 2
RECORDED_SERVICE = 'ledger'
_RECORD_PAUSES_S = (0.05, 0.4, 1.0)


def use_virtual_clock(patch: pytest.MonkeyPatch) -> None:
    """Replaces the clock of the product by the time of the running loop."""
    patch.setattr(
        clock,
        'time',
        SimpleNamespace(
            CLOCK_BOOTTIME=0,
            clock_gettime=lambda _: asyncio.get_running_loop().time(),
        ),
    )


@dataclass
class StoredRows:
    """The rows of the simulated store, with their versions.

    Attributes:
        era: rises with each restore; versions are given out again.
    """

    row_by_key: dict[str, StoredRow] = field(default_factory=dict)
    version: int = 0
    era: int = 0

    def write(
        self, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes if the expected versions hold.

        The store compares the numbers of versions; it knows no earlier eras.
        """
        for key, version in expected.items():
            known = self.row_by_key.get(key)
            number = 0 if known is None else number_of(known.version)
            if number != number_of(version):
                return self.conflict()
        self.version += 1
        for key, content in puts.items():
            self.row_by_key[key] = StoredRow(key, content, self.version)
        return self.version

    def conflict(self) -> WriteConflict:
        """Returns the conflict of a condition that does not hold."""
        return WriteConflict(dict(self.row_by_key), self.version)

    def copy(self) -> 'StoredRows':
        """Returns a copy."""
        return replace(self, row_by_key=dict(self.row_by_key))

    def restore(self, copy: 'StoredRows') -> None:
        """Loses all writes since a copy."""
        self.era = max(self.era, FIRST_ERA) + 1
        self.version = store_version(self.era, number_of(copy.version))
        self.row_by_key = {
            key: replace(
                row, version=store_version(self.era, number_of(row.version))
            )
            for key, row in copy.row_by_key.items()
        }


class SimulatedStore:
    """The store as one instance reaches it."""

    def __init__(self, world: 'LeadershipWorld', name: str) -> None:
        self._world = world
        self._name = name
        self._era = 0

    async def read(self, _table: str, _wait_s: float = 0) -> Rows:
        """Reads all rows."""
        await self._reach_store()
        rows = self._world.rows
        self._era = rows.era
        return Rows(tuple(rows.row_by_key.values()), rows.version)

    async def changes(self, table: str, after: int, wait_s: float) -> Rows:
        """Fails: the code under test reads no changes."""
        raise NotImplementedError(f'{table} after {after}, {wait_s}')

    async def write(
        self, table: str, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes; the answer may be lost, and the write applied later."""
        assert table == OWN_TABLE
        await self._reach_store()
        world = self._world
        if any(
            number_of(version) and era_of(version) < self._era
            for version in expected.values()
        ):
            return world.rows.conflict()
        if world.loses_answers and world.random.random() < _LOST_ANSWER_SHARE:
            delay_s = world.random.random() * _MAX_WRITE_DELAY_S
            asyncio.get_running_loop().call_later(
                delay_s, world.rows.write, puts, expected
            )
            await asyncio.sleep(_STORE_TIMEOUT_S)
            raise StoreOutcomeUnknownError('no answer')
        written = world.rows.write(puts, expected)
        era = world.rows.era
        await asyncio.sleep(world.random.choice(_DELAYS_S))
        await world.thawed(self._name)
        if era < self._era:
            raise StoreOutcomeUnknownError('the store was restored')
        self._era = era
        if not world.reaches_store(self._name):
            raise StoreOutcomeUnknownError('disconnected before the answer')
        return written

    async def _reach_store(self) -> None:
        await asyncio.sleep(self._world.random.choice(_DELAYS_S))
        await self._world.thawed(self._name)
        if not self._world.reaches_store(self._name):
            await asyncio.sleep(self._world.random.choice(_DELAYS_S))
            raise StoreUnavailableError('the store is not reachable')


class SimulatedLinks:
    """The links of one instance to its peers."""

    def __init__(self, world: 'LeadershipWorld', name: str) -> None:
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
        world = self._world
        peer = world.peer_at(address)
        if peer is None or world.is_partitioned(self._name, peer.name):
            raise PeerUnreachableError('peer is not reachable')
        if world.delays_messages:
            return decode(
                await self._request_late(peer, topic, body, timeout_s)
            )
        await asyncio.sleep(world.random.choice(_DELAYS_S))
        async with asyncio.timeout(timeout_s):
            answer = await peer.handle_request(topic, body)
        await asyncio.sleep(world.random.choice(_DELAYS_S))
        if world.is_partitioned(self._name, peer.name):
            raise LinkLostError('network partition before the response')
        return decode(answer)

    async def _request_late(
        self,
        peer: 'SimulatedInstance',
        topic: str,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        """Sends a request that is handled even if its sender gave it up."""
        world = self._world
        handling = world.start_task(self._handle_late(peer, topic, body))
        try:
            async with asyncio.timeout(timeout_s):
                response = await asyncio.shield(handling)
        except TimeoutError as error:
            raise LinkLostError('no response in time') from error
        await world.thawed(self._name)
        return response

    async def _handle_late(
        self, peer: 'SimulatedInstance', topic: str, body: bytes
    ) -> bytes:
        world = self._world
        late = world.random.random() < _LATE_MESSAGE_SHARE
        longest_s = _MAX_MESSAGE_DELAY_S if late else max(_DELAYS_S)
        await asyncio.sleep(world.random.random() * longest_s)
        await world.thawed(peer.name)
        if world.peer_by_name.get(peer.name) is not peer:
            raise LinkLostError('the peer was restarted')
        response = await peer.handle_request(topic, body)
        await asyncio.sleep(world.random.choice(_DELAYS_S))
        return response


class SimulatedInstance:
    """One incarnation of an instance."""

    def __init__(
        self, world: 'LeadershipWorld', name: str, incarnation: int
    ) -> None:
        self.name = name
        self.address = world.address_by_name[name]
        self._world = world
        contact = StoreContact()
        self.electorate = Electorate(
            SimulatedLinks(world, name),  # type: ignore[arg-type]
            self.address,
            name,
            self._store_answers,
            self._known_epoch,
            Metrics(),
        )
        self.leadership = Leadership(
            SimulatedStore(world, name),
            LeaderInfo(0, name, *self.address, incarnation),
            contact,
            self.electorate,
            self._electors,
        )
        # Epoch and number of the last record that may be used.
        self.used_record = (0, 0)
        self.task = asyncio.create_task(self._run())

    async def handle_request(self, topic: str, body: bytes) -> bytes:
        """Handles a request of a peer."""
        if topic == PROMISE_TOPIC:
            return await self.electorate.handle_promise_request(body)
        if topic == RECORD_COPY_TOPIC:
            return self.electorate.handle_copy_request(body)
        return self.electorate.handle_vote_request(body)

    async def _run(self) -> None:
        while True:
            if self.leadership.leading():
                await self._lead()
            try:
                await self._follow()
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                """The next round tries again."""
            await asyncio.sleep(_READ_INTERVAL_S)

    async def _lead(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.leadership.keep_renewing())
            group.create_task(self.leadership.extend_by_promises())
            if self._world.writes_records:
                group.create_task(self._keep_recording())

    async def _keep_recording(self) -> None:
        """Writes records, each of which may be used once it is written."""
        while self.leadership.leading():
            number = self._world.next_record()
            epoch = self.leadership.epoch
            with suppress(
                StoreUnavailableError,
                StoreOutcomeUnknownError,
                RecordNotKeptError,
            ):
                content = str(number).encode()
                if await self.leadership.record(RECORDED_SERVICE, content):
                    self.used_record = (epoch, number)
            await asyncio.sleep(self._world.random.choice(_RECORD_PAUSES_S))

    async def _follow(self) -> None:
        leader = self._world.leader_reachable_from(self)
        if leader is not None:
            # The leader's updates carry the version of its row.
            self.leadership.observe_version(leader.leadership.version)
            await self._report_to(leader)
        await self.leadership.refresh()
        if self.leadership.leading():
            return
        version = await self.leadership.replaceable_version()
        if version is not None and await self.leadership.claim(version):
            self._world.check_copy(self)

    async def _report_to(self, leader: 'SimulatedInstance') -> None:
        """Gets the electors from the leader, as with each report."""
        known = self.leadership.known_electors
        requested_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self._world.random.choice(_DELAYS_S))
        confirmed = leader.leadership.confirmed_electors(known.since)
        await asyncio.sleep(self._world.random.choice(_DELAYS_S))
        if confirmed is not None and not self._world.is_partitioned(
            self.name, leader.name
        ):
            known.confirm(confirmed, requested_s)

    async def _store_answers(self) -> bool:
        return await self.leadership.store_answers()

    def _known_epoch(self) -> int:
        return self.leadership.epoch

    def _electors(self) -> tuple[Elector, ...]:
        """Chooses among the peers reachable now, which change over time."""
        world = self._world
        return choose_electors(
            Instance(name, address, name)
            for name, address in world.address_by_name.items()
            if name != self.name and not world.is_partitioned(self.name, name)
        )


class LeadershipWorld:
    """Instances, a store and links, with faults.

    Attributes:
        loses_answers: whether some writes get no answer and are delayed.
        without_store: names of the instances that do not reach the store.
        partitions: sets of instances that reach only one another.
        problems: times at which two instances could act.
        equal_incarnations: whether all instances get the same incarnation.
        delays_messages: whether some messages arrive after their senders gave
            them up.
        frozen: names of the instances that stand still.
        writes_records: whether leaders write records of keys.
        recoveries: how many leaders went on from copies of records.
    """

    def __init__(self, seed: int, instances: int = 5) -> None:
        self.random = random.Random(seed)
        self.rows = StoredRows()
        self.loses_answers = False
        self.address_by_name = {
            f'i{number}': ('10.0.0.1', number) for number in range(instances)
        }
        self.without_store: set[str] = set()
        self.partitions: list[set[str]] = []
        self.peer_by_name: dict[str, SimulatedInstance] = {}
        self.problems: list[str] = []
        self.equal_incarnations = False
        self.delays_messages = False
        self.frozen: set[str] = set()
        self.writes_records = False
        self.recoveries = 0
        self._records = 0
        # Epoch and number of the last record by which a leader acted.
        self._used_record = (0, 0)
        self._tasks: set[asyncio.Task[bytes]] = set()
        self._incarnations = 0
        self._copies: list[StoredRows] = []
        self._leader_by_epoch: dict[int, tuple[str, int]] = {}

    async def run(
        self, steps: int, *, restores: bool = False, freezes: bool = False
    ) -> list[str]:
        """Runs random faults; returns the problems found.

        Args:
            steps: number of faults.
            restores: whether the store is also restored from older copies.
            freezes: whether instances also stand still, and messages are late.
        """
        self.delays_messages = freezes
        await self.start_all()
        watch = asyncio.create_task(self.watch())
        await asyncio.sleep(self.random.choice((3.0, 12.0)))
        actions: tuple[Callable[[], None], ...] = (
            self._disconnect_store_from_all,
            self._disconnect_store_from_some,
            self._reconnect_store,
            self._partition_network,
            self._heal_network,
            self._restart_some,
            self._lose_answers,
        )
        if restores:
            actions += (
                self._copy_store,
                self._restore_store,
                self._isolate_some,
            )
        if freezes:
            actions += (self._freeze_leader, self._freeze_some, self._thaw)
        for _ in range(steps):
            self.random.choice(actions)()
            await asyncio.sleep(self.random.choice((0.2, 0.7, 1.5, 4.0)))
            if self.problems:
                break
        await self.stop(watch)
        return self.problems

    async def start_all(self) -> None:
        """Starts all instances."""
        for name in self.address_by_name:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts an instance, in place of its earlier incarnation."""
        self.kill(name)
        self._incarnations += not self.equal_incarnations
        self.peer_by_name[name] = SimulatedInstance(
            self, name, self._incarnations
        )

    def kill(self, name: str) -> None:
        """Kills an instance."""
        peer = self.peer_by_name.pop(name, None)
        if peer is not None:
            peer.task.cancel()

    async def stop(self, watch: asyncio.Task[None]) -> None:
        """Stops all instances and the check."""
        tasks = [peer.task for peer in self.peer_by_name.values()]
        for task in (watch, *tasks):
            task.cancel()
        await asyncio.gather(watch, *tasks, return_exceptions=True)

    async def watch(self) -> None:
        """Records when two instances may act, until cancelled."""
        while True:
            acting = [
                name
                for name, peer in self.peer_by_name.items()
                if peer.leadership.may_act()
            ]
            now_s = asyncio.get_running_loop().time()
            if len(acting) > 1:
                self.problems.append(f'{now_s:.2f} s: {acting} may act')
            for name in acting:
                self._used_record = max(
                    self._used_record, self.peer_by_name[name].used_record
                )
                leader = self.peer_by_name[name].leadership.leader
                assert leader is not None
                first = self._leader_by_epoch.setdefault(
                    leader.epoch, leader.identity
                )
                if first != leader.identity:
                    self.problems.append(
                        f'{now_s:.2f} s: {first} and {leader.identity} have '
                        f'the epoch {leader.epoch}'
                    )
            await asyncio.sleep(_WATCH_INTERVAL_S)

    def next_record(self) -> int:
        """Returns the number of the next record."""
        self._records += 1
        return self._records

    def check_copy(self, leader: SimulatedInstance) -> None:
        """Checks the copy of a record that a new leader goes on from."""
        copy = leader.leadership.record_copies.get(RECORDED_SERVICE)
        if copy is None:
            return
        self.recoveries += 1
        found = (copy.epoch, int(zlib.decompress(copy.content)))
        if found < self._used_record:
            self.problems.append(
                f'{leader.name} goes on from {found}, '
                f'{self._used_record} was used'
            )

    async def thawed(self, name: str) -> None:
        """Waits while an instance stands still."""
        while name in self.frozen:
            await asyncio.sleep(_FREEZE_CHECK_S)

    def start_task(
        self, coroutine: Coroutine[Any, Any, bytes]
    ) -> asyncio.Task[bytes]:
        """Handles a message whatever becomes of its sender."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def acting(self) -> str | None:
        """Returns the instance that may act now."""
        for name, peer in self.peer_by_name.items():
            if peer.leadership.may_act():
                return name
        return None

    def reaches_store(self, name: str) -> bool:
        """Whether an instance reaches the store."""
        return name not in self.without_store

    def is_partitioned(self, one: str, other: str) -> bool:
        """Whether a partition separates two instances."""
        return any(
            (one in partition) != (other in partition)
            for partition in self.partitions
        )

    def peer_at(self, address: Address) -> SimulatedInstance | None:
        """Returns the running instance at an address."""
        for peer in self.peer_by_name.values():
            if peer.address == address:
                return peer
        return None

    def leader_reachable_from(
        self, member: SimulatedInstance
    ) -> SimulatedInstance | None:
        """Returns a leading instance that can send updates to a member."""
        for peer in self.peer_by_name.values():
            leads = peer is not member and peer.leadership.leading()
            if leads and not self.is_partitioned(peer.name, member.name):
                return peer
        return None

    def _end_task(self, task: asyncio.Task[bytes]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # The sender may not wait for it any more.
            task.exception()

    def _disconnect_store_from_all(self) -> None:
        self.without_store = set(self.address_by_name)

    def _disconnect_store_from_some(self) -> None:
        names = sorted(self.address_by_name)
        self.without_store = set(
            self.random.sample(names, self.random.randint(1, len(names) - 1))
        )

    def _reconnect_store(self) -> None:
        self.without_store = set()
        self.loses_answers = False

    def _partition_network(self) -> None:
        names = sorted(self.address_by_name)
        self.partitions = [
            set(self.random.sample(names, self.random.randint(1, 3)))
        ]

    def _isolate_some(self) -> None:
        """Cuts some instances off from the others and from the store."""
        self._partition_network()
        self.without_store = set(self.partitions[0])

    def _freeze_leader(self) -> None:
        leader = self.acting()
        if leader is not None:
            self.frozen.add(leader)

    def _freeze_some(self) -> None:
        names = sorted(self.address_by_name)
        self.frozen.update(self.random.sample(names, self.random.randint(1, 2)))

    def _thaw(self) -> None:
        self.frozen.clear()

    def _heal_network(self) -> None:
        self.partitions = []

    def _restart_some(self) -> None:
        names = sorted(self.address_by_name)
        for name in self.random.sample(names, self.random.randint(1, 3)):
            self.start(name)

    def _copy_store(self) -> None:
        self._copies.append(self.rows.copy())

    def _restore_store(self) -> None:
        """Restores one of the last copies; the store may have been empty."""
        copies = [StoredRows(), *self._copies[-2:]]
        self.rows.restore(self.random.choice(copies))

    def _lose_answers(self) -> None:
        self.loses_answers = True
