"""Which instance leads: one row of the store, held as a lease.

The leader may act for ``LEAD_S`` after it began a renewal that succeeded,
and longer by the promises of a majority of electors while the store is away.
Another instance takes over when it has seen the row unchanged for longer
than that, with the agreement of a majority of electors. It takes the last
leader's calls as under way for some time more.
"""

import asyncio
from collections.abc import Callable, Mapping

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.electorate import Electorate
from yuccadale_edge._internal.membership.messages import Elector, LeaderInfo
from yuccadale_edge._internal.membership.promises import (
    HOLD_MOST_S,
    promised_until_s,
)
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
# How long after the beginning of a renewal the leader may act: two renewals
# may fail, or the store may answer after a second.
LEAD_S = 1.8
RENEW_S = 0.5
# Unchanged for this long means that the leader's lease is over, by clocks
# that differ by a fiftieth.
TAKEOVER_S = 2.1
# Without a majority's agreement a candidate waits until the leader may not
# act by promises either.
TAKEOVER_ALONE_S = HOLD_MOST_S + TAKEOVER_S
# Promises are asked for when the store's lease ends within this, so that
# they are there in time although electors first look at the store.
_ASK_BELOW_S = 1.2
_ASK_PAUSE_S = 0.4
# What this instance knows of the store is believed for this long; a look at
# it that fails stands for all questions in this time.
_ANSWERED_RECENTLY_S = 1.0
_FAILED_RECENTLY_S = 1.2
# Well above the time of a read from a store that is merely slow.
_LOOK_TIMEOUT_S = 0.6


class LeaderRow(msgspec.Struct, array_like=True):
    """The content of the leader's row.

    Attributes:
        electors: instances whose majority may extend the lease, or agree to
            a replacement.
    """

    leader: LeaderInfo
    resigned: bool = False
    electors: tuple[Elector, ...] = ()


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(LeaderRow).decode


class Leadership:
    """This instance's view of the leader's row, and its own lease."""

    def __init__(
        self,
        store: Store,
        me: LeaderInfo,
        contact: StoreContact,
        electorate: Electorate,
        electors: Callable[[], tuple[Elector, ...]],
    ) -> None:
        self.leader: LeaderInfo | None = None
        self.row_by_key: dict[str, StoredRow] = {}
        self.version = 0
        self.deposed = False
        # Those of the row that was read last.
        self.row_electors: tuple[Elector, ...] = ()
        self._store = store
        self._me = me
        self._contact = contact
        self._electorate = electorate
        self._choose_electors = electors
        self._renewed_s: float = 0
        self._lease_until_s: float = 0
        self._promised_until_s: float = 0
        self._seen_s: float = 0
        self._failed_s: float = 0
        self._resigned = False
        self._write_lock = asyncio.Lock()
        # All that the own row may name, writes without an answer included.
        self._elector_sets: list[tuple[Elector, ...]] = []

    @property
    def epoch(self) -> int:
        """The epoch of the known leader, 0 when none is known."""
        return 0 if self.leader is None else self.leader.epoch

    def leading(self) -> bool:
        """Whether this instance is the leader by what it knows."""
        return (
            self.leader is not None
            and self.leader.life == self._me.life
            and not self.deposed
        )

    def may_act(self) -> bool:
        """Whether a call about keys may begin now."""
        return self.leading() and self.lease_left_s() > 0

    def may_plan(self) -> bool:
        """Whether the store is there to record what is decided."""
        return self.leading() and elapsed_s() < self._lease_until_s

    def lease_left_s(self) -> float:
        """Returns how long calls about keys may still begin."""
        until_s = max(self._lease_until_s, self._promised_until_s)
        return until_s - elapsed_s()

    def follow(self, leader: LeaderInfo) -> bool:
        """Takes a leader that another instance named, if it is newer."""
        if leader.epoch <= self.epoch:
            return False
        self.leader = leader
        self.deposed = leader.life != self._me.life
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
        self.note_version(row.version)
        content = _decode(row.content)
        self._resigned = content.resigned
        self.row_electors = content.electors
        self.follow(content.leader)

    def note_version(self, version: int) -> None:
        """Notes that the leader's row had a version when this was called.

        The leader tells its version as well: its lease then began before
        that, so a row that still has it may be replaced the sooner.
        """
        if version > self.version:
            self.version = version
            self._seen_s = elapsed_s()

    async def store_answers(self) -> bool:
        """Whether the store answers here; looks if nothing is known."""
        if self._contact.age_s() < _ANSWERED_RECENTLY_S:
            return True
        if elapsed_s() - self._failed_s < _FAILED_RECENTLY_S:
            return False
        try:
            async with asyncio.timeout(_LOOK_TIMEOUT_S):
                await self.look()
        except (StoreUnavailableError, TimeoutError) as error:
            self._failed_s = elapsed_s()
            _log.info('store does not answer', reason=repr(error))
            return False
        return True

    async def replaceable(self) -> int | None:
        """Returns the row's version if no leader acts any more.

        Only the row of that version may be replaced: it may be another's
        when the electors have answered.
        """
        version = self.version
        if version == 0 or self._resigned or self._led_before_restart():
            return version
        unchanged_s = elapsed_s() - self._seen_s
        if unchanged_s <= TAKEOVER_S:
            return None
        if unchanged_s > TAKEOVER_ALONE_S or not self.row_electors:
            return version
        if await self._electorate.agreed(self.row_electors, version):
            return version
        _log.warning(
            'no majority agrees to replace the leader',
            epoch=self.epoch,
            row_version=version,
            unchanged_s=round(unchanged_s, 2),
        )
        return None

    async def take(self, version: int) -> bool:
        """Tries to become the leader in place of that of a row's version.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreOutcomeUnknownError: the next look shows what happened.
        """
        began_s = elapsed_s()
        mine = msgspec.structs.replace(self._me, epoch=self.epoch + 1)
        electors = self._choose_electors()
        written = await self._store.write(
            OWN_TABLE,
            {LEADER_KEY: _encode(LeaderRow(mine, electors=electors))},
            {LEADER_KEY: version},
        )
        self._contact.note()
        if isinstance(written, WriteConflict):
            return False
        self.version = written
        self._resigned = False
        self.leader = mine
        self.deposed = False
        self._extend(began_s, electors)
        _log.info(
            'leadership taken',
            epoch=mine.epoch,
            version=written,
            electors=electors,
        )
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
            electors = self._choose_electors()
            row = LeaderRow(self.leader, resign, electors)
            rows = {LEADER_KEY: _encode(row), **(puts or {})}
            if electors not in self._elector_sets:
                self._elector_sets.append(electors)
            written = await self._store.write(
                OWN_TABLE, rows, {LEADER_KEY: self.version}
            )
            self._contact.note()
            if isinstance(written, WriteConflict):
                self._conflict(written)
                return False
            self.version = written
            self._extend(began_s, electors)
            if resign:
                self._lease_until_s = 0
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
                    lease_left_s=round(self.lease_left_s(), 2),
                )
                await asyncio.sleep(RENEW_S / 2)
                continue
            await asyncio.sleep(RENEW_S)

    async def hold(self) -> None:
        """Extends the right to act while the store is away from everybody."""
        while self.leading():
            left_s = self._lease_until_s - elapsed_s()
            if left_s < _ASK_BELOW_S:
                await self._ask_promises()
            await asyncio.sleep(_ASK_PAUSE_S)

    async def _ask_promises(self) -> None:
        asked_s = elapsed_s()
        until_s = promised_until_s(asked_s, self._renewed_s)
        if until_s <= asked_s or not self._elector_sets:
            return
        sets = list(self._elector_sets)
        version = self.version
        if not await self._electorate.promised(sets, self.epoch, version):
            return
        if sets != self._elector_sets or version != self.version:
            # The store has answered meanwhile; the next round asks again.
            return
        if self._promised_until_s < asked_s:
            _log.warning(
                'leader acts by promises of the electors',
                epoch=self.epoch,
                row_version=version,
                renewed_s_ago=round(asked_s - self._renewed_s, 2),
            )
        self._promised_until_s = until_s

    def _extend(self, began_s: float, electors: tuple[Elector, ...]) -> None:
        self._renewed_s = began_s
        self._lease_until_s = began_s + LEAD_S
        self._elector_sets = [electors]

    def _conflict(self, conflict: WriteConflict) -> None:
        row = conflict.row_by_key.get(LEADER_KEY)
        if row is None:
            self.version = 0
            return
        content = _decode(row.content)
        mine = self.leader is not None and content.leader == self.leader
        if mine and not content.resigned:
            # An earlier renewal whose answer was lost has been applied.
            self.version = row.version
            self._elector_sets = [content.electors]
            return
        self.version = row.version
        self._seen_s = elapsed_s()
        self.deposed = True
        self._lease_until_s = 0
        self._promised_until_s = 0
        self.follow(content.leader)
        _log.warning('leadership lost', leader=content.leader.instance)

    def _led_before_restart(self) -> bool:
        """Whether the leader was an earlier process at this address."""
        return self.leader is not None and (
            self.leader.host == self._me.host
            and self.leader.port == self._me.port
            and self.leader.incarnation < self._me.incarnation
        )
