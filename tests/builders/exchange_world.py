"""Leaders of three groups that transfer slots, with writes that fail.

The product's exchange runs on the product's rows; table, leader state and time
are simple fakes. Each step is complete before the next one begins.
"""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import numpy as np
from expression import Result

from yuccadale_core.counters import Counters
from yuccadale_core.declaration import DataCentre, Declaration, Service
from yuccadale_core.instances import GroupId, InstanceRef, ServerRef
from yuccadale_core.mapping import GroupMap
from yuccadale_core.platform import Row, TableFailure, TableFailureKind
from yuccadale_router._internal.contracts import Candidate, ServerState
from yuccadale_router._internal.ownership import exchange
from yuccadale_router._internal.ownership.rows import (
    GroupRow,
    decode_row,
    encode_row,
)
from yuccadale_router._internal.ownership.slots import SlotTracker
from yuccadale_router._internal.placement.group import GroupPlacement

SLOTS = 6
CENTRES = ('east', 'north', 'west')
SERVICE = Service('ledger', slot_count=SLOTS, concurrency=2, connections=9)
GROUPS = tuple(GroupId('ledger', centre, 0) for centre in CENTRES)
STEP_MS = 2500


class FaultyTable:
    """Conditional writes with outcomes that a test chooses."""

    def __init__(self) -> None:
        self.row_by_name: dict[str, Row] = {}
        self.outcomes: list[str] = []

    def is_down(self) -> bool:
        """The table is always up."""
        return False

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        """Returns the current rows with the prefix."""
        return Result.Ok(
            [
                row
                for name, row in sorted(self.row_by_name.items())
                if name.startswith(prefix)
            ]
        )

    async def write(
        self, name: str, text: str, version: int, write_id: str
    ) -> Result[Row, TableFailure]:
        """Writes, reports a conflict, or loses the request or its answer."""
        outcome = self.outcomes.pop(0) if self.outcomes else 'written'
        if outcome == 'not written':
            return _failed(TableFailureKind.unknown)
        known = self.row_by_name.get(name)
        if (known.version if known else 0) != version:
            return _failed(TableFailureKind.conflict, known)
        row = Row(name, version + 1, text, write_id)
        self.row_by_name[name] = row
        if outcome == 'answer lost':
            return _failed(TableFailureKind.unknown)
        return Result.Ok(row)


def _failed(
    kind: TableFailureKind, row: Row | None = None
) -> Result[Row, TableFailure]:
    return Result.Error(TableFailure(kind, 'chosen by the test', row))


class FakeLeader:
    """The part of ``LeaderState`` that the exchange uses, for one group."""

    def __init__(self, world: 'ExchangeWorld', group: GroupId) -> None:
        found = world.table.row_by_name[group.row_name]
        self.world = world
        self.group = group
        self.row: GroupRow = decode_row(found.text)
        self.version = found.version
        self.dirty = False
        self.token = self.row.token
        self.ended = asyncio.Event()
        self.lock = asyncio.Lock()
        self.slot_tracker = SlotTracker(lambda: world.now_ms)
        self.moving: set[int] = set()
        self.handing_over = False
        self.other_group_by_slot: dict[int, GroupId] = {}
        self.arrival_seen_at: dict[tuple[int, int], float] = {}
        self.placement = GroupPlacement()
        self.dispatcher = SimpleNamespace(
            hold_slot=_hold_nothing, release_slot=lambda slot: None
        )
        self.ledger = SimpleNamespace(of_server=_no_grants)
        self.group_map = world.group_map
        self.known_declaration = world.declaration
        self.context = SimpleNamespace(
            table=world.table,
            clock=lambda: world.now_ms,
            counters=Counters(),
            holder=f'{group}/{world.new_number()}',
            me=_instance(group.data_centre, world.new_number()),
            service=lambda _: SERVICE,
        )
        self._own_write_ids: set[str] = set()
        for slot in self.row.owner_by_slot:
            self.slot_tracker.begin_tenure(slot, complete=True)
        exchange.resume_leaving(cast(Any, self))

    def serving(self) -> set[int]:
        """Returns the slots that this leader's servers may be granted."""
        if self.ended.is_set():
            return set()
        return {
            slot
            for slot in self.row.owner_by_slot
            if not self.slot_tracker.is_held(slot)
        }

    def may_move(self) -> bool:
        """The lease is valid until the leadership ends."""
        return not self.ended.is_set()

    def standby_change_unresolved(self) -> bool:
        """No standby change is in progress."""
        return False

    def end(self, reason: str) -> None:
        """Ends the leadership."""
        self.ended.set()

    def trigger_grant(self, server_name: str) -> None:
        """Renews no grants here."""

    def trigger_all_grants(self) -> None:
        """Renews no grants here."""

    async def write_row(self, row: GroupRow) -> Result[Row, TableFailure]:
        """Writes if the table has the known version or an own write."""
        while True:
            write_id = f'{self.context.holder}/{self.world.new_number()}'
            self._own_write_ids.add(write_id)
            written = await self.world.table.write(
                self.group.row_name, encode_row(row), self.version, write_id
            )
            winner = written.error.row if written.is_error() else None
            if winner is None or winner.write_id not in self._own_write_ids:
                break
            self.version = winner.version
        if written.is_ok():
            self.version = written.ok.version
        return written


async def _hold_nothing(slot: int) -> None:
    """Returns at once: there is no work in progress."""


def _no_grants(server_name: str) -> Any:
    return SimpleNamespace(slot_expires_at=lambda slot: -float('inf'))


def _instance(centre: str, number: int) -> InstanceRef:
    return InstanceRef(f'{centre}-{number}', f'{number}', centre, 'r', 'a:1')


def _live_servers(leader: FakeLeader) -> list[Candidate]:
    return [
        Candidate(server.name, server.rack, ServerState.live)
        for server in leader.row.server_by_name.values()
    ]


async def _pass_time(leader: FakeLeader, duration_ms: float) -> None:
    leader.world.now_ms += duration_ms


@dataclass
class ExchangeWorld:
    """Rows, leaders and the newest declaration with its mapping."""

    table: FaultyTable = field(default_factory=FaultyTable)
    now_ms: float = 0
    declaration: Declaration = field(default_factory=Declaration)
    _number: int = 0

    def __post_init__(self) -> None:
        self.group_map = GroupMap(list(GROUPS), np.zeros(SLOTS, dtype=np.int64))
        self.lost: set[int] = set()
        for index, group in enumerate(GROUPS):
            self._create_row(group, range(SLOTS) if index == 0 else ())
        self.leaders = [FakeLeader(self, led_group) for led_group in GROUPS]

    def new_number(self) -> int:
        """Returns a number that was not used before."""
        self._number += 1
        return self._number

    def declare(self, seed: int) -> None:
        """Declares a new mapping of slots to the live data centres."""
        live = [index for index in range(3) if index not in self.lost]
        rng = random.Random(seed)
        chosen = np.array([rng.choice(live) for _ in range(SLOTS)])
        self.group_map = GroupMap(list(GROUPS), chosen)
        self.declaration = Declaration(
            data_centre_by_name={
                centre: DataCentre(
                    centre, 'r', 'lost' if index in self.lost else 'live'
                )
                for index, centre in enumerate(CENTRES)
            }
        )

    def learn(self, index: int) -> None:
        """Gives one leader the newest declaration."""
        self.leaders[index].group_map = self.group_map
        self.leaders[index].known_declaration = self.declaration

    def replace_leader(self, index: int) -> None:
        """Replaces a leader by one that knows only the row."""
        self.leaders[index].end('replaced')
        if index not in self.lost:
            self.leaders[index] = FakeLeader(self, GROUPS[index])

    def lose_centre(self, index: int, seed: int) -> None:
        """Stops a data centre and declares it lost, except the last one."""
        if len(self.lost) < 2:
            self.leaders[index].end('lost')
            self.lost.add(index)
            self.declare(seed)

    async def exchange(self, index: int, outcomes: Sequence[str]) -> None:
        """Runs one round of a leader, with these outcomes of its writes."""
        leader = self.leaders[index]
        self.now_ms += STEP_MS
        if leader.ended.is_set():
            return
        self.table.outcomes = list(outcomes)
        # A newer declaration can arrive while the round is in progress.
        leader.context.declaration = self.declaration
        with (
            mock.patch.object(exchange, 'candidates', _live_servers),
            mock.patch.object(exchange, 'wait_duration', _pass_time),
        ):
            await exchange.exchange_once(
                cast(Any, leader),
                exchange.DeclaredSlots(
                    leader.known_declaration, leader.group_map
                ),
            )
        self.table.outcomes = []

    async def rewrite(self, index: int, outcomes: Sequence[str]) -> None:
        """Makes a leader write its row outside of the exchange."""
        leader = self.leaders[index]
        if not leader.ended.is_set():
            self.table.outcomes = list(outcomes)
            written = await leader.write_row(leader.row)
            if written.is_error() and written.error.row is not None:
                leader.end('conflict')
            self.table.outcomes = []

    def served_by_two_groups(self) -> set[int]:
        """Returns the slots that two groups may serve now."""
        seen: set[int] = set()
        twice: set[int] = set()
        for leader in self.leaders:
            twice |= seen & leader.serving()
            seen |= leader.serving()
        return twice

    async def converge(self) -> None:
        """Runs rounds without faults; all leaders get the declaration."""
        for index in range(3):
            if self.leaders[index].ended.is_set():
                self.replace_leader(index)
        for round_number in range(60):
            turn = round_number % 3
            self.learn(turn)
            await self.exchange(turn, [])

    def _create_row(self, group: GroupId, slots: Sequence[int]) -> None:
        servers = {
            name: ServerRef(name, f'{name}:1', rack)
            for name, rack in (
                (f'{group.data_centre}-a', 'r1'),
                (f'{group.data_centre}-b', 'r2'),
            )
        }
        names = sorted(servers)
        row = GroupRow(
            term=1,
            leader=_instance(group.data_centre, 0),
            standby=None,
            server_by_name=servers,
            owner_by_slot=dict.fromkeys(slots, names[0]),
            successor_by_slot=dict.fromkeys(slots, names[1]),
        )
        self.table.row_by_name[group.row_name] = Row(
            group.row_name, 1, encode_row(row), 'created'
        )
