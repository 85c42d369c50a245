"""Which instance leads: one row of the store, held as a lease.

The leader may act for ``LEAD_S`` after it began a renewal that succeeded.
Another instance takes over when it has seen the row unchanged for longer
than that, and the calls that the last leader began have surely ended.
"""

import asyncio
from collections.abc import Mapping

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.news import LeaderInfo
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.store import (
    Store,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
)

_log = structlog.get_logger()

OWN_TABLE = 'yuccadale'
LEADER_KEY = 'leader'
# How long after the beginning of a renewal the leader may act.
LEAD_S = 2.2
# A call that the leader began in time ends within this.
CALL_TIMEOUT_S = 0.8
# Unchanged for this long means that no leader acts any more: the lease, the
# last call of the leader and two clocks that differ by a fiftieth.
TAKEOVER_S = 3.2
RENEW_S = 0.7


class LeaderRow(msgspec.Struct, array_like=True):
    """The content of the leader's row."""

    leader: LeaderInfo
    resigned: bool = False


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(LeaderRow).decode


class Leadership:
    """This instance's view of the leader's row, and its own lease."""

    def __init__(self, store: Store, me: LeaderInfo, contact: StoreContact):
        self.leader: LeaderInfo | None = None
        self.row_by_key: dict[str, StoredRow] = {}
        self._store = store
        self._me = me
        self._contact = contact
        self._lease_until_s: float = 0
        self._version = 0
        self._seen_s: float = 0
        self._resigned = False
        self._write_lock = asyncio.Lock()
        self._unanswered_s: float | None = None
        self.deposed = False

    @property
    def epoch(self) -> int:
        """The epoch of the known leader, 0 when none is known."""
        return 0 if self.leader is None else self.leader.epoch

    def leading(self) -> bool:
        """Whether this instance is the leader by what it knows."""
        return (
            self.leader is not None
            and self.leader.incarnation == self._me.incarnation
            and not self.deposed
        )

    def may_act(self) -> bool:
        """Whether a call about keys may begin now."""
        return self.leading() and elapsed_s() < self._lease_until_s

    def lease_left_s(self) -> float:
        """Returns how long calls about keys may still begin."""
        return self._lease_until_s - elapsed_s()

    def follow(self, leader: LeaderInfo) -> bool:
        """Takes a leader that another instance named, if it is newer."""
        if leader.epoch <= self.epoch:
            return False
        self.leader = leader
        self.deposed = leader.incarnation != self._me.incarnation
        _log.info('leader changed', leader=leader.instance, epoch=leader.epoch)
        return True

    async def look(self) -> None:
        """Reads the own table.

        Raises:
            StoreUnavailableError: nothing was read.
        """
        rows = await self._store.read(OWN_TABLE)
        self._contact.note()
        self.row_by_key = {row.key: row for row in rows.rows}
        row = self.row_by_key.get(LEADER_KEY)
        if row is None:
            return
        if row.version != self._version:
            self._version = row.version
            self._seen_s = elapsed_s()
        content = _decode(row.content)
        self._resigned = content.resigned
        self.follow(content.leader)

    def may_take(self) -> bool:
        """Whether the row says that no leader acts any more."""
        if self._version == 0 or self._resigned:
            return True
        if self._led_before_restart():
            return True
        return elapsed_s() - self._seen_s > TAKEOVER_S

    async def take(self) -> bool:
        """Tries to become the leader; the own table was read before.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreOutcomeUnknownError: the next look shows what happened.
        """
        began_s = elapsed_s()
        mine = msgspec.structs.replace(self._me, epoch=self.epoch + 1)
        written = await self._store.write(
            OWN_TABLE,
            {LEADER_KEY: _encode(LeaderRow(mine))},
            {LEADER_KEY: self._version},
        )
        self._contact.note()
        if isinstance(written, WriteConflict):
            return False
        self._version = written
        self._resigned = False
        self.leader = mine
        self.deposed = False
        self._lease_until_s = began_s + LEAD_S
        _log.info('leadership taken', epoch=mine.epoch, version=written)
        return True

    async def renew(
        self, puts: Mapping[str, bytes] | None = None, *, resign: bool = False
    ) -> bool:
        """Renews the lease, with other rows in the same transaction.

        Returns:
            Whether it was written; false when another instance leads or the
            row has to be written again.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreOutcomeUnknownError: it may be written, or later.
        """
        async with self._write_lock:
            if not self.leading() or self.leader is None:
                return False
            began_s = elapsed_s()
            rows = {LEADER_KEY: _encode(LeaderRow(self.leader, resign))}
            rows.update(puts or {})
            written = await self._store.write(
                OWN_TABLE, rows, {LEADER_KEY: self._version}
            )
            self._contact.note()
            if isinstance(written, WriteConflict):
                self._conflict(written)
                return False
            self._version = written
            self._lease_until_s = 0 if resign else began_s + LEAD_S
            return True

    async def keep(self) -> None:
        """Renews until this instance no longer leads."""
        while self.leading():
            try:
                await self.renew()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                _log.warning(
                    'leadership not renewed',
                    reason=str(error),
                    lease_left_s=round(self._lease_until_s - elapsed_s(), 2),
                )
                await asyncio.sleep(RENEW_S / 2)
                continue
            await asyncio.sleep(RENEW_S)

    def _conflict(self, conflict: WriteConflict) -> None:
        row = conflict.row_by_key.get(LEADER_KEY)
        if row is None:
            self._version = 0
            return
        content = _decode(row.content)
        mine = self.leader is not None and content.leader == self.leader
        if mine and not content.resigned:
            # An earlier renewal whose answer was lost has been applied.
            self._version = row.version
            return
        self._version = row.version
        self._seen_s = elapsed_s()
        self.deposed = True
        self._lease_until_s = 0
        self.follow(content.leader)
        _log.warning('leadership lost', leader=content.leader.instance)

    def _led_before_restart(self) -> bool:
        """Whether the leader was an earlier process at this address."""
        return self.leader is not None and (
            self.leader.host == self._me.host
            and self.leader.port == self._me.port
            and self.leader.incarnation < self._me.incarnation
        )
