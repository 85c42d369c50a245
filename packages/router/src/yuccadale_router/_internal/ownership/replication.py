"""Replication of records, moves and the row from a leader to its standby.

A full copy is a run of messages; only its last one carries the row, so a
standby that has a row has everything before it as well.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from yuccadale_core.instances import GroupId
from yuccadale_core.messages import RecordChange, Replicate, SlotMove
from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.ownership.rows import GroupRow, decode_row

BATCH_LIMIT = 2000


@dataclass(frozen=True, slots=True)
class OutgoingBatch:
    """What one message carries.

    Attributes:
        serial: everything queued up to this serial is at the standby once
            the message is acknowledged.
        ends_copy: whether it is the last message of a full copy.
    """

    serial: int
    message: Replicate
    ends_copy: bool


class ReplicationLog:
    """The leader's side: one message under way, the rest waits.

    Attributes:
        unsettled: slots that wait for reports; sent with the row.
        incomplete: returns slots with missing records; sent with the row.
        queued: serial of the newest change that was queued.
        acknowledged: serial up to which the standby has everything.
        synced: whether a full copy was acknowledged and none is due.
    """

    def __init__(self, group: GroupId, token: int, row_text: str) -> None:
        self._group = group
        self._token = token
        self._number = 0
        self._records: list[RecordChange] = []
        self._moves: list[SlotMove] = []
        self._row_text = row_text
        self._row_committed = True
        self._row_changed = False
        self._copying = False
        self._under_way: OutgoingBatch | None = None
        self.unconfirmed: set[int] = set()
        self.incomplete: Callable[[], list[int]] = list
        self.queued = 0
        self.acknowledged = 0
        self.synced = False

    def queue_records(self, changes: list[RecordChange]) -> int:
        """Queues changes; returns the serial to wait for."""
        self._records.extend(changes)
        return self._next_serial()

    def queue_row(
        self, row_text: str, moves: list[SlotMove], *, committed: bool
    ) -> int:
        """Queues the row, whole, with the moves that led to it."""
        self._row_text = row_text
        self._row_committed = committed
        self._row_changed = True
        self._moves.extend(moves)
        return self._next_serial()

    def next_message(
        self, export_records: Callable[[], list[RecordChange]]
    ) -> Replicate | None:
        """Returns the message to send now: the one under way, or a new one.

        ``export_records`` is called when a full copy begins.
        """
        if self._under_way is None:
            self._under_way = self._batch(export_records)
        return self._under_way.message if self._under_way else None

    def acknowledge(self, token: int, number: int, *, accepted: bool) -> None:
        """Takes an answer to the message under way."""
        batch = self._under_way
        if batch is None or token != self._token:
            return
        if number != batch.message.number:
            return
        self._under_way = None
        if not accepted:
            self.synced = False
            self._copying = False
            return
        self.acknowledged = batch.serial
        if batch.ends_copy:
            self.synced = True
            self._copying = False

    def waiting_number(self) -> int | None:
        """Returns the number of the message under way."""
        return self._under_way.message.number if self._under_way else None

    def synced_or_copying(self) -> bool:
        """Says whether the standby accepted the newest message."""
        return self.synced or self._copying

    def is_idle(self) -> bool:
        """Says whether the standby is known to have everything."""
        return self.synced and self.acknowledged == self.queued

    def _next_serial(self) -> int:
        self.queued += 1
        return self.queued

    def _batch(
        self, export_records: Callable[[], list[RecordChange]]
    ) -> OutgoingBatch | None:
        begins_copy = not (self.synced or self._copying)
        if begins_copy:
            self._records = export_records() + self._records
            self._copying = True
        elif self.synced and self.acknowledged == self.queued:
            return None
        return self._next_batch(begins_copy)

    def _next_batch(self, begins_copy: bool) -> OutgoingBatch:
        records = self._records[:BATCH_LIMIT]
        self._records = self._records[BATCH_LIMIT:]
        is_last = not self._records
        sends_row = is_last and (self._copying or self._row_changed)
        self._number += 1
        message = Replicate(
            group=self._group,
            token=self._token,
            number=self._number,
            full_copy=begins_copy,
            records=records,
            moves=self._moves if is_last else [],
            row_text=self._row_text if sends_row else '',
            row_committed=self._row_committed,
            unconfirmed=sorted(self.unconfirmed) if sends_row else [],
            incomplete=self.incomplete() if sends_row else [],
        )
        if is_last:
            self._moves = []
            self._row_changed = False
        serial = self.queued if is_last else self.acknowledged
        return OutgoingBatch(serial, message, is_last and self._copying)


@dataclass(slots=True)
class StandbyReplica:
    """The standby's copy of the state of one leader's token.

    Attributes:
        in_sequence: whether every message since a full copy began arrived.
        row: the newest row of the leader, written or about to be.
        unsettled: slots of the row whose owners the leader did not know.
        incomplete: slots whose earlier records the leader did not have.
        other_rows: earlier rows that the table may still hold; their
            successors bind as well.
    """

    clock: Clock
    token: int
    retry_window_ms: float
    number: int = 0
    in_sequence: bool = False
    row: GroupRow | None = None
    row_committed: bool = False
    unconfirmed: frozenset[int] = frozenset()
    incomplete: frozenset[int] = frozenset()
    other_rows: list[GroupRow] = field(default_factory=list)
    moves: list[SlotMove] = field(default_factory=list)
    record_by_id: dict[str, tuple[RecordChange, float]] = field(
        default_factory=dict
    )

    @property
    def complete(self) -> bool:
        """Whether a full copy and every later message arrived."""
        return self.in_sequence and self.row is not None

    def apply(self, message: Replicate) -> bool:
        """Applies a message; false when an earlier one is missing."""
        if message.number <= self.number:
            return True
        if not message.full_copy and not self._follows(message):
            self.in_sequence = False
            return False
        if message.full_copy:
            self._begin_copy()
        self.number = message.number
        self._take_row(message)
        self.moves.extend(message.moves)
        now = self.clock()
        for change in message.records:
            self.record_by_id.pop(change.request_id, None)
            self.record_by_id[change.request_id] = (change, now)
        self._drop_old(now)
        return True

    def export_records(self) -> list[RecordChange]:
        """Returns the records with their present age."""
        now = self.clock()
        return [
            msgspec.structs.replace(
                change, age_ms=change.age_ms + now - received_at
            )
            for change, received_at in self.record_by_id.values()
        ]

    def _begin_copy(self) -> None:
        self.record_by_id.clear()
        self.moves.clear()
        if self.row is not None:
            self.other_rows.append(self.row)
        self.row = None
        self.in_sequence = True

    def _follows(self, message: Replicate) -> bool:
        return self.in_sequence and message.number == self.number + 1

    def _take_row(self, message: Replicate) -> None:
        if not message.row_text:
            return
        if self.row is not None:
            self.other_rows.append(self.row)
        self.row = decode_row(message.row_text)
        self.row_committed = message.row_committed
        self.unconfirmed = frozenset(message.unconfirmed)
        self.incomplete = frozenset(message.incomplete)
        if message.row_committed:
            self.other_rows.clear()

    def _drop_old(self, now: float) -> None:
        """Drops records past the retry window; they are in order of arrival."""
        while self.record_by_id:
            request_id, (change, received_at) = next(
                iter(self.record_by_id.items())
            )
            if change.age_ms + now - received_at <= self.retry_window_ms:
                return
            self.record_by_id.pop(request_id)
