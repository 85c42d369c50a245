"""State of one leadership of one group, shared by the leader's tasks.

A leadership is normal when the row in the table names its leader. It is
provisional when a standby took over while the table was unavailable: it then
acts under an odd token, one above that of the row, and may not move slots.
"""

import asyncio
import enum
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from expression import Result

from yuccadale_core.instances import GroupId, InstanceRef, Leadership
from yuccadale_core.messages import RecordChange, SlotMove
from yuccadale_core.platform import Row, TableFailure
from yuccadale_core.targets import (
    LastGrant,
    Target,
    TargetFailure,
    TargetFailureKind,
)
from yuccadale_core.timing import milliseconds, seconds
from yuccadale_router._internal.contracts import GroupRequests, Placement
from yuccadale_router._internal.ownership.context import (
    InstanceContext,
    ListedServer,
    Signal,
    TaskSet,
)
from yuccadale_router._internal.ownership.grants import GrantLedger
from yuccadale_router._internal.ownership.lease import LeaderLease
from yuccadale_router._internal.ownership.membership import ServerMembership
from yuccadale_router._internal.ownership.replication import ReplicationLog
from yuccadale_router._internal.ownership.rows import GroupRow, encode_row
from yuccadale_router._internal.ownership.slots import SlotTracker

# Leaves time for two more calls before a frozen server is suspected.
SERVER_CALL_TIMEOUT_MS = 300
WAIT_STEP_MS = 20

_Answer = TypeVar('_Answer')


class Origin(enum.Enum):
    """How the leadership began; determines what is known about the slots."""

    created = 'created'
    handed_over = 'handed over'
    replicated = 'taken over with replicated state'
    unknown = 'taken over without state'


@dataclass(frozen=True, slots=True)
class InitialState:
    """State that a leader starts with.

    Attributes:
        row: the row in use.
        version: version of the row in the table, None when provisional.
        token: the row's token, or its provisional token.
        predecessor: the previous leader, None for a new row.
        records: idempotency records of the previous leader.
        silent_servers: time since which servers did not answer this
            instance as standby.
        other_rows: rows that the table may hold instead of ``row``.
        moves: moves of the previous leader, for the history.
        unconfirmed: slots whose owners the previous leader did not know.
        incomplete: slots for which it lacked earlier records.
    """

    origin: Origin
    row: GroupRow
    version: int | None
    token: int
    predecessor: InstanceRef | None = None
    records: list[RecordChange] = field(default_factory=list)
    silent_servers: Mapping[str, float] = field(default_factory=dict)
    other_rows: tuple[GroupRow, ...] = ()
    moves: tuple[SlotMove, ...] = ()
    unconfirmed: frozenset[int] = frozenset()
    incomplete: frozenset[int] = frozenset()


class LeaderState:
    """State of one leadership.

    Attributes:
        version: version of the row in the table, None when not known.
        dirty: whether the newest row is not in the table yet.
        other_successors: servers that the table may name as successors
            besides the committed ones, while a change is in progress. They
            limit grants in the same way.
    """

    def __init__(
        self, context: InstanceContext, group: GroupId, initial: InitialState
    ) -> None:
        clock = context.clock
        self.context = context
        self.group = group
        self.initial = initial
        self.row = initial.row
        self.version = initial.version
        self.token = initial.token
        self.dirty = initial.version is None
        self.lease = LeaderLease(clock)
        self.ledger = GrantLedger(clock, context.holder, initial.token)
        self.membership = ServerMembership(clock)
        self.slot_tracker = SlotTracker(clock)
        self.placement: Placement = context.placement_factory(group)
        self.log = self._new_log()
        self.lock = asyncio.Lock()
        # A leader must not continue after one of its tasks failed.
        self.tasks = TaskSet(lambda: self.end('a task failed'))
        self.ended = asyncio.Event()
        self.end_reason = ''
        self.started_at = clock()
        self.standby_resigned = False
        # Time since which the platform's list lacks a server of the row.
        self.unlisted_since: dict[str, float] = {}
        self.other_successors: dict[int, set[str]] = {}
        self.replication_wanted = asyncio.Event()
        self.replication_acknowledged = Signal()
        # Above the row's term while the outcome of a standby change is unknown.
        self.highest_term = initial.row.term
        self.requests: GroupRequests | None = None
        self.handing_over = False
        # Grants of earlier leaders that servers reported at first contact.
        self.reports: dict[str, LastGrant | None] = {}
        self.usable_slots: set[int] = set()
        # Time of the last move of each slot, for servers that restart soon
        # afterwards.
        self.moved_at: dict[int, float] = {}
        self.lost_servers: set[str] = set()
        # Slots with a planned move, from the hold until it is recorded.
        self.moving: set[int] = set()
        # Slots whose forced move has begun and is not recorded yet.
        self.forced_slots: set[int] = set()
        self.idle_rounds_by_pin: dict[str, int] = {}
        # Slots declared for this group that another group still owns.
        self.other_group_by_slot: dict[int, GroupId] = {}
        # Time since which a released slot was seen in its next group's row,
        # by slot and transfer count.
        self.arrival_seen_at: dict[tuple[int, int], float] = {}
        # Pins to move back to the server of their base slot, and that server.
        self.returning_pins: dict[int, str] = {}
        self.members_changed = asyncio.Event()
        # Token of the row that an instance without replicated state replaced.
        self.row_token_before = (initial.row.term - 1) * 2
        self._indexed_row: GroupRow | None = None
        self._slots_by_server: dict[str, list[int]] = {}
        self._trigger_by_server: dict[str, asyncio.Event] = {}
        self._write_number = 0
        self._own_write_ids: set[str] = set()

    @property
    def is_provisional(self) -> bool:
        """Whether this is a takeover that the table does not record yet."""
        return self.token % 2 == 1

    @property
    def standby(self) -> InstanceRef | None:
        """The standby that gives promises.

        A provisional leader has none: the row names it as standby.
        """
        return None if self.is_provisional else self.row.standby

    @property
    def checks_grants(self) -> bool:
        """Whether the group's servers accept work only under a grant."""
        return self.context.checks_grants(self.group)

    @property
    def where(self) -> str:
        """Name of this leader in refusals."""
        return f'leader {self.context.me.name}'

    @property
    def dispatcher(self) -> GroupRequests:
        """The group's dispatcher."""
        if self.requests is None:
            raise RuntimeError('the dispatcher was not created yet')
        return self.requests

    def end(self, reason: str) -> None:
        """Ends the leadership; no request is permitted afterwards."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.context.counters.count('ownership.leader_ended')
            self.ended.set()

    def may_move(self) -> bool:
        """Whether slots may move: only under a lease and the row's token."""
        return (
            not self.ended.is_set()
            and not self.is_provisional
            and self.lease.is_valid()
        )

    def standby_change_unresolved(self) -> bool:
        """Whether the table may hold a later term than the one in use.

        Overwriting it with the current term would lower the fencing token.
        """
        return self.highest_term > self.row.term

    def begin_term(self, row: GroupRow) -> None:
        """Switches to a committed row with a new term, and to its token."""
        self.row = row
        self.highest_term = row.term
        self.token = row.token
        self.ledger.change_token(row.token)
        self.other_successors.clear()
        self.lease.end()
        self.log = self._new_log()
        self.standby_resigned = False
        self.announce()
        self.replication_wanted.set()
        self.replication_acknowledged.notify()
        self.trigger_all_grants()

    def announce(self) -> None:
        """Adds the leadership to the table that is broadcast to peers."""
        self.context.leaderships.learn(
            Leadership(
                self.group, self.token, self.context.me, self.row.standby
            )
        )

    def target(self, server_name: str) -> Target:
        """Returns the connection to a server of the row."""
        return self.context.target_factory(self.row.server_by_name[server_name])

    def listed_servers(self) -> dict[str, ListedServer]:
        """Returns the servers that the platform lists for the group."""
        return self.context.listed_servers(self.group)

    def trigger_grant(self, server_name: str) -> None:
        """Makes the server's grant loop send the next grant at once."""
        self.grant_trigger(server_name).set()

    def trigger_all_grants(self) -> None:
        """Makes all grant loops send their next grants at once."""
        for server_name in self.row.server_by_name:
            self.trigger_grant(server_name)

    def grant_trigger(self, server_name: str) -> asyncio.Event:
        """Returns the event that the server's grant loop waits on."""
        return self._trigger_by_server.setdefault(server_name, asyncio.Event())

    def slots_of(self, server_name: str) -> Sequence[int]:
        """Returns the slots that a server owns in the current row.

        The index is built once for each row: every grant needs it, and a scan
        of all slots takes time in proportion to the whole group.
        """
        if self._indexed_row is not self.row:
            self._indexed_row = self.row
            self._slots_by_server.clear()
            for slot, owner in self.row.owner_by_slot.items():
                self._slots_by_server.setdefault(owner, []).append(slot)
        return self._slots_by_server.get(server_name, ())

    def owner(self, slot: int) -> str:
        """Returns the owner of one of the group's slots."""
        return self.row.owner_by_slot[slot]

    def successors(self, slot: int) -> set[str]:
        """Returns all servers that may be the slot's committed successor."""
        names = set(self.other_successors.get(slot, ()))
        committed = self.row.successor_by_slot.get(slot)
        if committed is not None:
            names.add(committed)
        return names

    async def write_row(self, row: GroupRow) -> Result[Row, TableFailure]:
        """Writes the row over the known version or an earlier own write."""
        if self.version is None:
            raise RuntimeError('the version of the row is not known')
        while True:
            written = await self._write_once(row, self.version)
            winner = written.error.row if written.is_error() else None
            if winner is None or winner.write_id not in self._own_write_ids:
                break
            # An earlier write of this leader took effect; its answer was lost.
            self.version = winner.version
        if written.is_ok():
            self.version = written.ok.version
            self._own_write_ids.clear()
        return written

    async def _write_once(
        self, row: GroupRow, version: int
    ) -> Result[Row, TableFailure]:
        self._write_number += 1
        write_id = (
            f'{self.context.holder}/{self.token}/'
            f'{self._write_number}/{self.context.rng.getrandbits(32):x}'
        )
        self._own_write_ids.add(write_id)
        return await self.context.table.write(
            self.group.row_name, encode_row(row), version, write_id
        )

    def _incomplete_slots(self) -> list[int]:
        """Returns the slots whose records do not cover the retry window."""
        service = self.context.service(self.group)
        window_ms = milliseconds(service.retry_window_s) if service else 0
        tenures = {
            slot: self.slot_tracker.tenure(slot)
            for slot in self.row.owner_by_slot
        }
        return [
            slot
            for slot, tenure in tenures.items()
            if not tenure.complete and tenure.age_ms < window_ms
        ]

    def _new_log(self) -> ReplicationLog:
        log = ReplicationLog(self.group, self.token, encode_row(self.row))
        log.unconfirmed = self.slot_tracker.undecided
        log.incomplete = self._incomplete_slots
        return log


def with_standby(
    row: GroupRow,
    leader: InstanceRef,
    standby: InstanceRef | None,
    term: int,
) -> GroupRow:
    """Returns the row of a later term."""
    return replace(row, term=term, leader=leader, standby=standby)


async def call_server(
    call: Coroutine[Any, Any, Result[_Answer, TargetFailure]],
) -> Result[_Answer, TargetFailure]:
    """Calls a server with the control protocol's timeout."""
    try:
        return await asyncio.wait_for(call, seconds(SERVER_CALL_TIMEOUT_MS))
    except TimeoutError:
        return Result.Error(TargetFailure(TargetFailureKind.lost, 'timeout'))


async def wait_duration(state: LeaderState, duration_ms: float) -> None:
    """Waits until the leader's clock, not the loop's, has advanced so far."""
    ends_at = state.context.clock() + duration_ms
    await wait_until(
        lambda: state.context.clock() >= ends_at, state, duration_ms
    )


async def wait_until(
    condition: Callable[[], bool], state: LeaderState, limit_ms: float
) -> bool:
    """Polls a condition; false after a limit on the leader's clock.

    It also returns false when the leadership ends.
    """
    deadline = state.context.clock() + limit_ms
    while not condition():
        if state.ended.is_set() or state.context.clock() >= deadline:
            return False
        await asyncio.sleep(seconds(WAIT_STEP_MS))
    return True
