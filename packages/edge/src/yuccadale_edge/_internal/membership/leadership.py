"""Leader election: a lease that is stored in one row of the store.

The leader may act for ``LEASE_S`` after the start of its last successful
renewal, and longer by promises of a majority of electors while no instance
reaches the store. A candidate takes over when the row has been unchanged for
longer than the lease and a majority of electors votes for the replacement.
The new leader assumes that calls of the previous one can still be applied for
some time.

When the store is restored from an older copy, the row may be that of an earlier
leader, or be missing. Each era of the store therefore has a row of its own. A
leader that lives writes that row as soon as it reaches the store. A candidate
requests the votes of the electors that the leader confirmed to it shortly
before the restore; without them it waits for the longest lease by promises.
Epochs begin anew above those of all earlier eras.
"""

import asyncio
import time
from collections.abc import Callable, Mapping

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.elector_sets import (
    KnownElectors,
    RequiredElectors,
)
from yuccadale_edge._internal.membership.electorate import Electorate
from yuccadale_edge._internal.membership.messages import (
    ConfirmedElectors,
    Electors,
    LeaderInfo,
    RecordCopy,
)
from yuccadale_edge._internal.membership.promises import (
    MAX_PROMISED_LEASE_S,
    promised_lease_end_s,
)
from yuccadale_edge._internal.membership.record_copies import (
    TrustedElectors,
    latest_copies,
)
from yuccadale_edge._internal.membership.source_reader import StoreContact
from yuccadale_edge._internal.ownership.manager import RecordNotKeptError
from yuccadale_edge._internal.ownership.records import (
    KEYS_PREFIX,
    compress_record,
    recorded_epoch,
)
from yuccadale_edge._internal.store import (
    Rows,
    Store,
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
    version_text,
)

_log = structlog.get_logger()

OWN_TABLE = 'yuccadale'
LEADER_KEY = 'leader'
# Lease of the leader, from the start of a renewal. Two renewals may fail, or
# the store may respond after one second.
LEASE_S = 1.8
RENEW_INTERVAL_S = 0.5
# The lease has expired when the row is unchanged for this long, with clock
# rates that differ by 2 %.
TAKEOVER_S = 2.1
# Without the votes of a majority a candidate also waits until the longest
# lease by promises has expired.
TAKEOVER_WITHOUT_VOTES_S = MAX_PROMISED_LEASE_S + TAKEOVER_S
# Promises are requested when less than this is left of the lease; electors
# probe the store before they respond.
_REQUEST_PROMISES_BELOW_S = 1.2
_PROMISE_REQUEST_INTERVAL_S = 0.4
# The last result of a store operation is reused for this long. One failed
# probe answers all promise requests in this time.
_STORE_SUCCESS_VALID_S = 1.0
_STORE_FAILURE_VALID_S = 1.2
# Well above the read time of a slow store.
_STORE_PROBE_TIMEOUT_S = 0.6
# Epochs that replace a lost one count in these.
_EPOCH_SECONDS = 60
# More than the leaders of an era, also when epochs are times in minutes.
_EPOCHS_PER_ERA = 1 << 26


def leader_key(era: int) -> str:
    """Returns the key of the leader's row in an era of the store."""
    return LEADER_KEY if era <= FIRST_ERA else f'{LEADER_KEY}/{era}'


class LeaderRow(msgspec.Struct, array_like=True):
    """The content of the leader's row.

    Attributes:
        leader: the instance that holds the lease.
        resigned: whether the leader has given the lease up.
        electors: instances of which a majority can extend the lease by
            promises, or vote for a replacement.
        former_electors: sets of which a majority is required for promises as
            well.
    """

    leader: LeaderInfo
    resigned: bool = False
    electors: Electors = ()
    former_electors: tuple[Electors, ...] = ()


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(LeaderRow).decode


def _era_of_row(row: StoredRow) -> int:
    """Returns the era in which a leader's row was written."""
    _, _, era = row.key.partition('/')
    return int(era) if era.isdecimal() else FIRST_ERA


def _decode_row(row: StoredRow) -> LeaderRow | None:
    """Returns the content of the leader's row, None if it is unreadable."""
    try:
        return _decode(row.content)
    except (msgspec.DecodeError, RecursionError) as error:
        _log.warning(
            'row of the leader unreadable',
            row_version=version_text(row.version),
            reason=str(error),
        )
        return None


class Leadership:
    """The leader's row as this instance knows it, and its own lease.

    Attributes:
        leader: the known leader with the latest epoch.
        row_by_key: all rows of the table at the last read.
        version: latest known version of the leader's row; its number is 0
            without a row in the era of the store.
        deposed: whether another instance replaced this one as leader.
        row_electors: electors of the row that was read last.
        known_electors: electors of the leader's row before a restore.
        record_copies: the records by which keys were granted last, if this
            instance was elected after a restore and electors had them.
    """

    def __init__(
        self,
        store: Store,
        me: LeaderInfo,
        contact: StoreContact,
        electorate: Electorate,
        electors: Callable[[], Electors],
    ) -> None:
        self.leader: LeaderInfo | None = None
        self.row_by_key: dict[str, StoredRow] = {}
        self.version = 0
        self.deposed = False
        self.row_electors: Electors = ()
        self.known_electors = KnownElectors(elapsed_s)
        self.record_copies: Mapping[str, RecordCopy] = {}
        self._former_electors: tuple[Electors, ...] = ()
        # Version of the row that was read last.
        self._read_version = 0
        self._store = store
        self._me = me
        self._contact = contact
        self._electorate = electorate
        self._choose_electors = electors
        self._renewed_s: float = 0
        self._lease_until_s: float = 0
        self._promised_until_s: float = 0
        self._version_changed_s: float = 0
        self._store_failed_s: float = 0
        self._resigned = False
        self._resigning = False
        # Whether the stored row cannot be read.
        self._row_lost = False
        self._write_lock = asyncio.Lock()
        self._required_electors = RequiredElectors(elapsed_s)
        self._trusted_electors = TrustedElectors(elapsed_s)
        self._records_sent = 0
        # What the last voters kept, and the version that they voted for.
        self._voted_copies: tuple[int, Mapping[str, RecordCopy]] = (-1, {})

    @property
    def epoch(self) -> int:
        """The epoch of the known leader, 0 when none is known."""
        return 0 if self.leader is None else self.leader.epoch

    @property
    def era(self) -> int:
        """The latest era in which the leader's row was seen."""
        return era_of(self.version)

    def leading(self) -> bool:
        """Whether this instance is the latest leader that it knows."""
        return (
            self.leader is not None
            and self.leader.identity == self._me.identity
            and not self.deposed
        )

    def may_act(self) -> bool:
        """Whether a grant or release of keys may be sent now."""
        return self.leading() and self.lease_left_s() > 0

    def may_plan(self) -> bool:
        """Whether the lease in the store is valid, so plans can be stored."""
        return self.leading() and elapsed_s() < self._lease_until_s

    def lease_left_s(self) -> float:
        """Returns for how long grants and releases may still be sent."""
        until_s = max(self._lease_until_s, self._promised_until_s)
        return until_s - elapsed_s()

    def accept_leader(self, leader: LeaderInfo) -> bool:
        """Accepts a leader if its epoch is later than the known one.

        Returns:
            Whether it was accepted.
        """
        if leader.epoch <= self.epoch:
            return False
        self.leader = leader
        self.deposed = leader.identity != self._me.identity
        _log.info('leader changed', leader=leader.instance, epoch=leader.epoch)
        return True

    async def refresh(self) -> None:
        """Reads the table of the leader's row.

        Raises:
            StoreUnavailableError: nothing was read.
        """
        rows = await self._store.read(OWN_TABLE)
        self._contact.record_answer()
        self.row_by_key = {row.key: row for row in rows.rows}
        row = self._read_leader_row(rows)
        if row is None:
            return
        self._read_version = row.version
        content = _decode_row(row)
        self._row_lost = content is None
        if content is None:
            self._resigned = False
            self.row_electors = ()
            self._former_electors = ()
            return
        self._resigned = content.resigned
        self.row_electors = content.electors
        self._former_electors = content.former_electors
        if self.accept_leader(content.leader) and self.leading():
            # A claim without an answer was applied after all.
            self._required_electors.add(content.electors)
            self._required_electors.inherit(
                content.former_electors, elapsed_s()
            )
            self.record_copies = {}

    def observe_version(self, version: int) -> None:
        """Records a version of the leader's row, and when it was first seen.

        The leader's updates carry the version too. The renewal that wrote it
        began earlier, so the time until a takeover counts from the arrival of
        the update, which is sooner than the next read of the row.
        """
        if version > self.version:
            if self.era and self.era < era_of(version):
                _log.warning(
                    'store restored, its leader row is not known yet',
                    epoch=self.epoch,
                    era=era_of(version),
                    row_version=version_text(self.version),
                )
            self.version = version
            self._version_changed_s = elapsed_s()

    async def store_answers(self) -> bool:
        """Whether the store answers; probes it without a recent result."""
        if self._contact.age_s() < _STORE_SUCCESS_VALID_S:
            return True
        if elapsed_s() - self._store_failed_s < _STORE_FAILURE_VALID_S:
            return False
        try:
            async with asyncio.timeout(_STORE_PROBE_TIMEOUT_S):
                await self.refresh()
        except (StoreUnavailableError, TimeoutError) as error:
            self._store_failed_s = elapsed_s()
            _log.info('store probe failed', reason=repr(error))
            return False
        return True

    def until_takeover_s(self, handicap_s: float) -> float:
        """Returns the time until the leader's lease has expired."""
        unchanged_s = elapsed_s() - self._version_changed_s
        return TAKEOVER_S + handicap_s - unchanged_s

    async def replaceable_version(self, handicap_s: float = 0) -> int | None:
        """Returns the row's version if its leader can no longer act.

        Only the row of that version may be replaced: another candidate may
        write the row while the electors respond.

        Args:
            handicap_s: how much longer than necessary to wait.

        Returns:
            The version, its number 0 if there is no row, or None while the
            leader may still act.
        """
        version = self.version
        if self._is_row_free():
            return version
        unchanged_s = elapsed_s() - self._version_changed_s
        if not self._is_row_read() or unchanged_s <= TAKEOVER_S + handicap_s:
            return None
        if unchanged_s > TAKEOVER_WITHOUT_VOTES_S:
            return version
        electors = self._voters(version)
        if electors is None:
            return None
        if not electors:
            return version
        if await self._electorate.request_votes(electors, version):
            services = self.known_electors.kept_services(electors)
            copies = latest_copies(
                self._electorate.copies_of_voters, services, electors
            )
            self._voted_copies = (version, copies)
            return version
        _log.warning(
            'no majority votes to replace the leader',
            epoch=self.epoch,
            row_version=version_text(version),
            unchanged_s=round(unchanged_s, 2),
        )
        return None

    async def claim(self, version: int) -> bool:
        """Tries to become the leader by replacing a version of the row.

        Returns:
            Whether this instance leads; false when the row has changed.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreOutcomeUnknownError: the row may be written; the next read
                shows the outcome.
        """
        began_s = elapsed_s()
        key = leader_key(era_of(version))
        epoch = self._next_epoch(era_of(version))
        mine = msgspec.structs.replace(self._me, epoch=epoch)
        voted_version, copies = self._voted_copies
        self._voted_copies = (-1, {})
        self.record_copies = {}
        required = self._required_electors
        required.clear()
        earlier: tuple[Electors, ...] = ()
        if number_of(version):
            earlier = (self.row_electors, *self._former_electors)
            required.inherit(earlier, began_s)
        self._trusted_electors.begin_term(None if self._row_lost else earlier)
        electors = required.limit(self._choose_electors())
        required.add(electors)
        row = LeaderRow(
            mine, electors=electors, former_electors=required.others(electors)
        )
        written = await self._store.write(
            OWN_TABLE, {key: _encode(row)}, {key: version}
        )
        self._contact.record_answer()
        if isinstance(written, WriteConflict):
            return False
        if era_of(written) != era_of(version):
            # The row is that of an era that is over.
            return False
        self.version = written
        if voted_version == version:
            self.record_copies = copies
        self._resigned = False
        self._row_lost = False
        self.leader = mine
        self.deposed = False
        self._extend_lease(began_s, electors, written)
        _log.info(
            'leadership taken',
            epoch=mine.epoch,
            version=version_text(written),
            electors=electors,
        )
        return True

    async def renew(
        self, puts: Mapping[str, bytes] | None = None, *, resign: bool = False
    ) -> bool:
        """Renews the lease, with other rows in the same transaction.

        Args:
            puts: contents of other rows of the table, by key.
            resign: whether to give the leadership up.

        Returns:
            Whether the rows were written; false when another instance leads
            or the write has to be repeated.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreOutcomeUnknownError: the rows may be written now or later.
        """
        async with self._write_lock:
            if not self.leading() or self.leader is None:
                return False
            began_s = elapsed_s()
            if self._was_replaceable():
                _log.warning('leadership lost', leader=None, epoch=self.epoch)
                self._depose(self.version)
                return False
            key = leader_key(self.era)
            required = self._required_electors
            electors = required.limit(self._choose_electors())
            required.add(electors)
            row = LeaderRow(
                self.leader, resign, electors, required.others(electors)
            )
            rows = {key: _encode(row), **(puts or {})}
            # The next leader may lead before the answer arrives.
            self._resigning = resign
            written = await self._store.write(
                OWN_TABLE, rows, {key: self.version}
            )
            self._contact.record_answer()
            if isinstance(written, WriteConflict):
                self._handle_conflict(written, key)
                return False
            if era_of(written) > self.era:
                self._enter_era(era_of(written))
                return False
            self.version = written
            self._extend_lease(began_s, electors, written)
            if resign:
                self._lease_until_s = 0
            return True

    async def record(self, service: str, content: bytes) -> bool:
        """Renews the lease with the record of a service's keys.

        Electors keep a copy, see ``record_copies``.

        Returns:
            As ``renew``.

        Raises:
            StoreUnavailableError, StoreOutcomeUnknownError: see ``renew``.
            RecordNotKeptError: the record must not be used yet.
        """
        self._records_sent += 1
        copy = RecordCopy(
            service, self.epoch, self._records_sent, compress_record(content)
        )
        self._trusted_electors.begin_record(copy)
        # Electors keep the copy also if the store does not answer.
        written, kept = await asyncio.gather(
            self.renew({KEYS_PREFIX + service: content}),
            self._request_copies(copy),
        )
        if written and not kept:
            raise RecordNotKeptError('too few electors keep a copy')
        return written

    def confirmed_electors(self, since: int) -> ConfirmedElectors | None:
        """Returns the electors, and which records they keep, for a member.

        Args:
            since: see ``KnownElectors.confirmation``.
        """
        services: tuple[str, ...] = ()
        if self.may_act() and not self._resigning:
            services = self._trusted_electors.state(
                self.known_electors.electors
            )
        return self.known_electors.confirmation(since, services)

    async def keep_renewing(self) -> None:
        """Renews the lease until this instance no longer leads."""
        while self.leading():
            era = self.era
            try:
                await self.renew()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                _log.warning(
                    'leadership not renewed, will retry',
                    reason=str(error),
                    lease_left_s=round(self.lease_left_s(), 2),
                )
                await asyncio.sleep(RENEW_INTERVAL_S / 2)
                continue
            if era == self.era:
                await asyncio.sleep(RENEW_INTERVAL_S)

    async def extend_by_promises(self) -> None:
        """Extends the lease by promises while no instance reaches the store.

        Returns when this instance no longer leads.
        """
        while self.leading():
            left_s = self._lease_until_s - elapsed_s()
            if left_s < _REQUEST_PROMISES_BELOW_S:
                await self._request_promises()
            await asyncio.sleep(_PROMISE_REQUEST_INTERVAL_S)

    async def _request_copies(self, copy: RecordCopy) -> bool:
        """Requests copies of a record; returns whether it may be used."""
        trusted = self._trusted_electors
        sets = trusted.sets_to_ask(self.known_electors.electors)
        if not sets:
            return trusted.end_record(copy, ())
        keeping = await self._electorate.request_copies(
            sets, copy.epoch, self.version, copy
        )
        return trusted.end_record(copy, keeping)

    async def _request_promises(self) -> None:
        requested_s = elapsed_s()
        until_s = promised_lease_end_s(requested_s, self._renewed_s)
        sets = self._required_electors.sets()
        if until_s <= requested_s or not sets:
            return
        version = self.version
        if not await self._electorate.request_promises(
            sets, self.epoch, version
        ):
            return
        added = set(self._required_electors.sets()).difference(sets)
        if added or version != self.version:
            # The row or its electors changed meanwhile; the next round retries.
            return
        if self._promised_until_s < requested_s:
            _log.warning(
                'lease extended by promises of the electors',
                epoch=self.epoch,
                row_version=version,
                renewed_s_ago=round(requested_s - self._renewed_s, 2),
            )
        self._promised_until_s = until_s

    def _read_leader_row(self, rows: Rows) -> StoredRow | None:
        """Returns the row of the latest era; records its version."""
        era = era_of(rows.version)
        row = self.row_by_key.get(leader_key(era))
        if row is not None:
            self.observe_version(row.version)
            return row
        self.observe_version(store_version(era, 0))
        earlier = [
            row
            for key, row in self.row_by_key.items()
            if key.partition('/')[0] == LEADER_KEY
        ]
        return max(earlier, key=_era_of_row, default=None)

    def _extend_lease(
        self, began_s: float, electors: Electors, version: int
    ) -> None:
        self._renewed_s = began_s
        self._lease_until_s = began_s + LEASE_S
        self._required_electors.confirm(electors, began_s)
        self.known_electors.record_renewal(version, electors, began_s)

    def _voters(self, version: int) -> Electors | None:
        """Returns the electors who may replace a version of the row.

        Returns:
            None if the leader may act by promises of electors that are
            unknown; empty if it may not act by promises.
        """
        if number_of(version) == 0:
            return (
                self.known_electors.before_restore(
                    version, self._version_changed_s
                )
                or None
            )
        if self._row_lost:
            return None
        return self.row_electors

    def _was_replaceable(self) -> bool:
        """Whether another instance may have led before the latest restore.

        The row would show that, but was lost.
        """
        lost = self.era > FIRST_ERA and number_of(self.version) == 0
        return lost and self.lease_left_s() <= 0

    def _enter_era(self, era: int) -> None:
        """Prepares to lead in a later era, in which no row is known yet."""
        _log.warning(
            'store restored, the leader writes its row again',
            epoch=self.epoch,
            era=era,
            row_version=version_text(self.version),
            lease_left_s=round(self.lease_left_s(), 2),
        )
        self.version = store_version(era, 0)

    def _handle_conflict(self, conflict: WriteConflict, key: str) -> None:
        if era_of(conflict.version) > self.era:
            self._enter_era(era_of(conflict.version))
            return
        row = conflict.row_by_key.get(key)
        if row is None:
            self.version = store_version(self.era, 0)
            return
        content = _decode_row(row)
        if content is None:
            if elapsed_s() < self._lease_until_s:
                # Nobody else may have taken over yet: the next renewal
                # repairs the row.
                self.version = row.version
            else:
                self._depose(row.version)
            return
        mine = self.leader is not None and content.leader == self.leader
        if mine and not content.resigned:
            # An earlier renewal without a response was applied after all.
            self.version = row.version
            self._required_electors.add(content.electors)
            return
        self._depose(row.version)
        self.accept_leader(content.leader)
        _log.warning('leadership lost', leader=content.leader.instance)

    def _depose(self, version: int) -> None:
        self.version = version
        self._version_changed_s = elapsed_s()
        self.deposed = True
        self._lease_until_s = 0
        self._promised_until_s = 0

    def _next_epoch(self, era: int) -> int:
        """Returns an epoch above every one whose fences servers have seen.

        The records of keys are written before their fences are used. An epoch
        that was lost with the leader's row is below the time in minutes, since
        leaders change less often. What was lost with an earlier era of the
        store is below the first epoch of the next era.
        """
        epochs = [
            recorded_epoch(row.content)
            for key, row in self.row_by_key.items()
            if key.startswith(KEYS_PREFIX)
        ]
        lost = int(time.time() // _EPOCH_SECONDS) if self._row_lost else 0
        first = max(0, era - FIRST_ERA) * _EPOCHS_PER_ERA
        return max(self.epoch, lost, first, *epochs, 0) + 1

    def _is_row_free(self) -> bool:
        """Whether no leader can act, as far as the row shows."""
        if number_of(self.version) == 0:
            # In a later era the row of the leader was lost.
            return self.era <= FIRST_ERA
        if self._row_lost or not self._is_row_read():
            return False
        return self._resigned or self._led_before_restart()

    def _is_row_read(self) -> bool:
        """Whether the content of the latest known version was read."""
        number = number_of(self.version)
        return number == 0 or self.version == self._read_version

    def _led_before_restart(self) -> bool:
        """Whether the leader was an earlier incarnation at this address."""
        return self.leader is not None and (
            self.leader.host == self._me.host
            and self.leader.port == self._me.port
            and self.leader.incarnation < self._me.incarnation
        )
