"""Instances that compete for the leader's row, in virtual time.

The oracle asks each living instance whether it may act; it knows nothing of
rows, promises or electors.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import SimpleNamespace

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
    Elector,
    LeaderInfo,
)
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.store import (
    Rows,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
)
from yuccadale_edge._internal.transport.client_pool import Address

_LOOK_S = 0.25
_OBSERVE_S = 0.02
_STORE_TIMEOUT_S = 0.8
_DELAYS_S = (0.001, 0.004, 0.03, 0.2)
# Writes without an answer are applied this late at the most.
_LATEST_S = 6.0
_LOST_SHARE = 0.2
_LOOKS_PER_REPORT = 2


def use_virtual_clock(patch: pytest.MonkeyPatch) -> None:
    """Makes the product read the running loop's time."""
    patch.setattr(
        clock,
        'time',
        SimpleNamespace(
            CLOCK_BOOTTIME=0,
            clock_gettime=lambda _: asyncio.get_running_loop().time(),
        ),
    )


@dataclass
class SharedRow:
    """The store's rows with their versions."""

    row_by_key: dict[str, StoredRow] = field(default_factory=dict)
    version: int = 0

    def write(
        self, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes if the expected versions hold."""
        for key, version in expected.items():
            known = self.row_by_key.get(key)
            if version != (0 if known is None else known.version):
                return WriteConflict(dict(self.row_by_key))
        self.version += 1
        for key, content in puts.items():
            self.row_by_key[key] = StoredRow(key, content, self.version)
        return self.version


class DoorToStore:
    """One instance's way to the store."""

    def __init__(self, world: 'LeadershipWorld', name: str) -> None:
        self._world = world
        self._name = name

    async def read(self, _table: str, _wait_s: float = 0) -> Rows:
        """Reads all rows."""
        await self._pass()
        rows = self._world.rows
        return Rows(tuple(rows.row_by_key.values()), rows.version)

    async def changes(self, table: str, after: int, wait_s: float) -> Rows:
        """Is not used by what is under test."""
        raise NotImplementedError(f'{table} after {after}, {wait_s}')

    async def write(
        self, table: str, puts: Mapping[str, bytes], expected: Mapping[str, int]
    ) -> int | WriteConflict:
        """Writes; the answer may be lost and the write come late."""
        assert table == OWN_TABLE
        await self._pass()
        world = self._world
        if world.loses_answers and world.random.random() < _LOST_SHARE:
            late_s = world.random.random() * _LATEST_S
            asyncio.get_running_loop().call_later(
                late_s, world.rows.write, puts, expected
            )
            await asyncio.sleep(_STORE_TIMEOUT_S)
            raise StoreOutcomeUnknownError('no answer')
        written = world.rows.write(puts, expected)
        await asyncio.sleep(world.random.choice(_DELAYS_S))
        if not world.reaches_store(self._name):
            raise StoreOutcomeUnknownError('cut before the answer')
        return written

    async def _pass(self) -> None:
        await asyncio.sleep(self._world.random.choice(_DELAYS_S))
        if not self._world.reaches_store(self._name):
            await asyncio.sleep(self._world.random.choice(_DELAYS_S))
            raise StoreUnavailableError('the store is away')


class LinksOfWorld:
    """One instance's links to the others."""

    def __init__(self, world: 'LeadershipWorld', name: str) -> None:
        self._world = world
        self._name = name

    async def request(
        self, address: Address, topic: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Asks another instance."""
        world = self._world
        peer = world.peer_at(address)
        if peer is None or world.cut(self._name, peer.name):
            raise PeerUnreachableError('no way')
        await asyncio.sleep(world.random.choice(_DELAYS_S))
        async with asyncio.timeout(timeout_s):
            if topic == PROMISE_TOPIC:
                answer = await peer.electorate.answer_promise(body)
            else:
                answer = peer.electorate.answer_agree(body)
        await asyncio.sleep(world.random.choice(_DELAYS_S))
        if world.cut(self._name, peer.name):
            raise LinkLostError('cut before the answer')
        return answer


class Peer:
    """One life of an instance."""

    def __init__(self, world: 'LeadershipWorld', name: str, life: int) -> None:
        self.name = name
        self.address = world.address_by_name[name]
        self._world = world
        contact = StoreContact()
        self.electorate = Electorate(
            LinksOfWorld(world, name),  # type: ignore[arg-type]
            self.address,
            name,
            self._store_answers,
            self._known_epoch,
            Metrics(),
        )
        self.leadership = Leadership(
            DoorToStore(world, name),
            LeaderInfo(0, name, *self.address, life),
            contact,
            self.electorate,
            self._electors,
        )
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            if self.leadership.leading():
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.leadership.keep())
                    group.create_task(self.leadership.hold())
            try:
                await self._follow()
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                """The next round tries again."""
            await asyncio.sleep(_LOOK_S)

    async def _follow(self) -> None:
        leader = self._world.leader_heard_by(self)
        if leader is not None:
            # The leader's news tell the version of its row.
            self.leadership.note_version(leader.leadership.version)
        await self.leadership.look()
        if self.leadership.leading():
            return
        version = await self.leadership.replaceable()
        if version is not None:
            await self.leadership.take(version)

    async def _store_answers(self) -> bool:
        return await self.leadership.store_answers()

    def _known_epoch(self) -> int:
        return self.leadership.epoch

    def _electors(self) -> tuple[Elector, ...]:
        """Chosen among those that it hears now, which differ over time."""
        world = self._world
        return choose_electors(
            Instance(name, address, name)
            for name, address in world.address_by_name.items()
            if name != self.name and not world.cut(self.name, name)
        )


class LeadershipWorld:
    """Five instances, the store, and faults of both and of the links."""

    def __init__(self, seed: int, instances: int = 5) -> None:
        self.random = random.Random(seed)
        self.rows = SharedRow()
        self.loses_answers = False
        self.address_by_name = {
            f'i{number}': ('10.0.0.1', number) for number in range(instances)
        }
        self.away_from_store: set[str] = set()
        self.islands: list[set[str]] = []
        self.peer_by_name: dict[str, Peer] = {}
        self.problems: list[str] = []
        # Whether all instances start at the same moment.
        self.one_life = False
        self._lives = 0

    async def run(self, steps: int) -> list[str]:
        """Plays random faults; returns what went wrong."""
        await self.start_all()
        watch = asyncio.create_task(self.watch())
        await asyncio.sleep(self.random.choice((3.0, 12.0)))
        actions: tuple[Callable[[], None], ...] = (
            self._store_away_from_all,
            self._store_away_from_some,
            self._store_back,
            self._split,
            self._heal,
            self._restart_some,
            self._lose_answers,
        )
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
        """Starts an instance, in place of its earlier life."""
        self.kill(name)
        self._lives += not self.one_life
        self.peer_by_name[name] = Peer(self, name, self._lives)

    def kill(self, name: str) -> None:
        """Ends an instance's life."""
        peer = self.peer_by_name.pop(name, None)
        if peer is not None:
            peer.task.cancel()

    async def stop(self, watch: asyncio.Task[None]) -> None:
        """Ends everything."""
        tasks = [peer.task for peer in self.peer_by_name.values()]
        for task in (watch, *tasks):
            task.cancel()
        await asyncio.gather(watch, *tasks, return_exceptions=True)

    async def watch(self) -> None:
        """Looks who may act, until cancelled."""
        while True:
            acting = [
                name
                for name, peer in self.peer_by_name.items()
                if peer.leadership.may_act()
            ]
            if len(acting) > 1:
                now_s = asyncio.get_running_loop().time()
                self.problems.append(f'{now_s:.2f} s: {acting} may act')
            await asyncio.sleep(_OBSERVE_S)

    def acting(self) -> str | None:
        """Returns the instance that may act now."""
        for name, peer in self.peer_by_name.items():
            if peer.leadership.may_act():
                return name
        return None

    def reaches_store(self, name: str) -> bool:
        """Whether an instance reaches the store."""
        return name not in self.away_from_store

    def cut(self, one: str, other: str) -> bool:
        """Whether two instances cannot reach each other."""
        return any(
            (one in island) != (other in island) for island in self.islands
        )

    def peer_at(self, address: Address) -> Peer | None:
        """Returns the living instance at an address."""
        for peer in self.peer_by_name.values():
            if peer.address == address:
                return peer
        return None

    def leader_heard_by(self, listener: Peer) -> Peer | None:
        """Returns the leading instance, if the listener hears it."""
        for peer in self.peer_by_name.values():
            leads = peer is not listener and peer.leadership.leading()
            if leads and not self.cut(peer.name, listener.name):
                return peer
        return None

    def _store_away_from_all(self) -> None:
        self.away_from_store = set(self.address_by_name)

    def _store_away_from_some(self) -> None:
        names = sorted(self.address_by_name)
        self.away_from_store = set(
            self.random.sample(names, self.random.randint(1, len(names) - 1))
        )

    def _store_back(self) -> None:
        self.away_from_store = set()
        self.loses_answers = False

    def _split(self) -> None:
        names = sorted(self.address_by_name)
        self.islands = [
            set(self.random.sample(names, self.random.randint(1, 3)))
        ]

    def _heal(self) -> None:
        self.islands = []

    def _restart_some(self) -> None:
        names = sorted(self.address_by_name)
        for name in self.random.sample(names, self.random.randint(1, 3)):
            self.start(name)

    def _lose_answers(self) -> None:
        self.loses_answers = True
