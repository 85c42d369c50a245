"""What this instance knows: configuration, servers, owners and instances.

All data carries the version of its source. Updates may arrive twice, late or
from several readers, and an older one never replaces a newer one.

A store that was restored from an older copy has rows that are older than what
was known before, until their writers have written them again. Such a row gets a
later version, but what was known stays in force.
"""

import asyncio
from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import replace
from math import inf
from typing import NamedTuple

import msgspec
import structlog

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.evacuations import (
    EvacuatedDataCentre,
    Evacuations,
    no_evacuations,
)
from yuccadale_edge._internal.model import (
    KEY_COUNT,
    Configuration,
    Server,
    ServerState,
    Service,
)
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.cold_servers import ColdServers
from yuccadale_edge._internal.server_availability import ServerAvailability
from yuccadale_edge._internal.source_status import SourceAge, SourceStatus
from yuccadale_edge._internal.store import Rows, StoredRow
from yuccadale_edge._internal.store_versions import era_of, version_text
from yuccadale_edge._internal.transport.client_pool import Address

_log = structlog.get_logger()

CONFIGURATION_TABLE = 'configuration'
SERVER_TABLE = 'servers'
SOURCE_TABLES = (CONFIGURATION_TABLE, SERVER_TABLE)
# Entries that expired during a store outage return within about 2 s after it if
# their servers are alive. A server that left must get no new requests 2 s after
# its entry was removed, so the grace period is shorter.
REMOVAL_GRACE_S = 1.6
# Time for a read of the store before rows exceed their age limit.
_CONFIRMATION_TIME_S = 0.3
# Entries of removed servers are remembered for longer than the age of the copy
# that the store may be restored from.
_REMOVED_RETENTION_S = 120.0
# The store removes the entry of a silent server within three heartbeats of
# 1.5 s; one that stays for longer belongs to a server that lives.
_RESTORED_ENTRY_EXPIRY_S = 6.0

DecodeConfiguration = Callable[[bytes], Configuration]
DecodeServer = Callable[[str, bytes], Server]


class InvalidRowError(Exception):
    """A row whose content cannot be decoded."""


class Owner(NamedTuple):
    """The server that gets the requests for some keys.

    Attributes:
        holder: None while the keys move or have no owner.
        available_at_s: when they are expected to have an owner again, 0 if
            that is unknown or very soon.
    """

    holder: Holder | None
    available_at_s: float


class OwnedRange(msgspec.Struct, array_like=True):
    """A range of keys and its owner, as sent between instances."""

    first: int
    last: int
    server_id: str | None
    incarnation: int
    available_in_s: float


class _Entry(NamedTuple):
    """An owner, and the number of the change that set it."""

    owner: Owner
    sequence: int


_Bounds = tuple[int, int, _Entry]


class OwnerMap:
    """The owners of all keys of one service."""

    def __init__(self) -> None:
        self.version = (0, 0)
        self._firsts: list[int] = [0]
        self._entries: list[_Entry] = [_Entry(Owner(None, 0), 0)]

    def owner(self, key: int) -> Owner:
        """Returns the owner of a key."""
        return self._entries[bisect_right(self._firsts, key) - 1].owner

    def assign(
        self, first: int, last: int, owner: Owner, sequence: int = 0
    ) -> None:
        """Sets the owner of a range.

        Args:
            first: first key.
            last: last key, included.
            owner: of these keys.
            sequence: number of this change, see ``changed_after``.
        """
        entry = _Entry(owner, sequence)
        firsts, entries = self._firsts, self._entries
        begin = bisect_right(firsts, first) - 1
        end = bisect_right(firsts, last) - 1
        new_firsts: list[int] = []
        new_entries: list[_Entry] = []
        if firsts[begin] < first:
            new_firsts.append(firsts[begin])
            new_entries.append(entries[begin])
        new_firsts.append(first)
        new_entries.append(entry)
        after = firsts[end + 1] if end + 1 < len(firsts) else KEY_COUNT
        if last + 1 < after:
            new_firsts.append(last + 1)
            new_entries.append(entries[end])
        after_end = end + 1
        self._firsts = firsts[:begin] + new_firsts + firsts[after_end:]
        self._entries = entries[:begin] + new_entries + entries[after_end:]

    def restart_sequence(self, sequence: int) -> None:
        """Counts everything as set by one change."""
        self._entries = [
            _Entry(entry.owner, sequence) for entry in self._entries
        ]

    def ranges(self, now_s: float) -> list[OwnedRange]:
        """Returns all ranges in the form that is sent."""
        return [
            _owned_range(first, next_first - 1, entry.owner, now_s)
            for first, next_first, entry in self._bounds()
        ]

    def changed_after(
        self, sequence: int, max_ranges: int, now_s: float
    ) -> tuple[list[OwnedRange], int]:
        """Returns what changed after a change, the oldest changes first.

        Args:
            sequence: number of that change.
            max_ranges: where to end. Ranges of one change stay together.
            now_s: the present time.

        Returns:
            Ranges with their present owners, and the number of the last
            change that they include.
        """
        changed = sorted(
            (
                bounds
                for bounds in self._bounds()
                if bounds[2].sequence > sequence
            ),
            key=_sequence,
        )
        if len(changed) > max_ranges:
            limit = changed[max_ranges - 1][2].sequence
            changed = [one for one in changed if one[2].sequence <= limit]
        ranges = [
            _owned_range(first, next_first - 1, entry.owner, now_s)
            for first, next_first, entry in changed
        ]
        return ranges, changed[-1][2].sequence if changed else sequence

    def unowned_keys(self) -> int:
        """Returns how many keys have no owner."""
        return sum(
            next_first - first
            for first, next_first, entry in self._bounds()
            if entry.owner.holder is None
        )

    def _bounds(self) -> Iterable[_Bounds]:
        """Returns the first key, the key after the last, and the entry."""
        next_firsts = (*self._firsts[1:], KEY_COUNT)
        return zip(self._firsts, next_firsts, self._entries, strict=True)


class _RemovedEntry(NamedTuple):
    """The last entry of a removed server.

    Attributes:
        content: of the entry.
        incarnation: of the server.
        left: whether the server had said that it leaves.
        removed_s: when the entry was removed.
    """

    content: bytes
    incarnation: int
    left: bool
    removed_s: float


def _ignore_entry(_server: Server) -> None:
    """Does nothing with an entry."""


class ServerList:
    """The servers that registered themselves."""

    def __init__(
        self,
        decode: DecodeServer,
        observe_entry: Callable[[Server], None] = _ignore_entry,
    ) -> None:
        """Creates an empty list.

        Args:
            decode: decodes an entry.
            observe_entry: called with each newer entry, also if it differs from
                the one before in the remaining slow start only.
        """
        self.server_by_id: dict[str, Server] = {}
        self.version_by_id: dict[str, int] = {}
        self.row_by_id: dict[str, StoredRow] = {}
        # Changes with each row that is applied.
        self.revision = 0
        self._decode = decode
        self._observe_entry = observe_entry
        self._removal_s_by_id: dict[str, float] = {}
        self._cold_until_s: dict[tuple[str, int], float] = {}
        # The last entries of removed servers.
        self._removed_by_id: dict[str, _RemovedEntry] = {}
        # Rows that returned with a restored store, and when they are accepted.
        self._held_by_id: dict[str, tuple[StoredRow, float]] = {}

    def apply(self, row: StoredRow, *, removal_grace: bool) -> bool:
        """Applies a row unless a newer one is known.

        Args:
            row: a row of the server table.
            removal_grace: whether to keep a removed server for a grace period.

        Returns:
            Whether a server was added, changed or removed.
        """
        if row.version <= self.version_by_id.get(row.key, 0):
            return False
        known_row = self.row_by_id.get(row.key)
        self.revision += 1
        self.version_by_id[row.key] = row.version
        self._held_by_id.pop(row.key, None)
        if known_row is not None and self._is_restored(row, known_row):
            if known_row.removed and not self._removed_by_id[row.key].left:
                accepted_s = elapsed_s() + _RESTORED_ENTRY_EXPIRY_S
                self._held_by_id[row.key] = (row, accepted_s)
            self.row_by_id[row.key] = replace(known_row, version=row.version)
            _log.info(
                'older server entry of a restored store ignored',
                server=row.key,
                version=version_text(row.version),
            )
            return False
        return self._accept(row, known_row, removal_grace=removal_grace)

    def accept_held(self) -> bool:
        """Accepts entries that a restored store has kept for long enough.

        Returns:
            Whether a server was added.
        """
        now_s = elapsed_s()
        due = [
            held
            for held, accepted_s in self._held_by_id.values()
            if now_s > accepted_s
        ]
        for row in due:
            self._held_by_id.pop(row.key)
        return any([self._accept(one, None) for one in due])

    def latest_row(self, row: StoredRow) -> StoredRow:
        """Returns the row that is known for the key of a row.

        A row that is held is sent as it is: each instance decides on it.
        """
        if row.key in self._held_by_id:
            return row
        return self.row_by_id.get(row.key, row)

    def is_reused(
        self, address: Address, server_id: str, incarnation: int
    ) -> bool:
        """Whether the address of a server incarnation has another owner.

        The platform gives the address of a server that has ended to others.
        """
        former = self.server_by_id.get(server_id)
        if former is not None and former.incarnation == incarnation:
            return False
        return any(
            server.address == address and server.incarnation > incarnation
            for server in self.server_by_id.values()
        )

    def cold(self, server: Server) -> bool:
        """Whether a server is still slow after its start."""
        until_s = self._cold_until_s.get(
            (server.server_id, server.incarnation), 0
        )
        return elapsed_s() < until_s

    def remove_after_grace(self) -> bool:
        """Removes servers whose entries did not return after a store outage."""
        now_s = elapsed_s()
        expired = [
            key
            for key, removal_s in self._removal_s_by_id.items()
            if now_s > removal_s
        ]
        for server_id in expired:
            self._removal_s_by_id.pop(server_id)
            self.server_by_id.pop(server_id, None)
            _log.info('server removed after the grace period', server=server_id)
        return bool(expired)

    def of(self, service: str) -> list[Server]:
        """Returns the servers of a service, in order of their ids."""
        return sorted(
            (
                server
                for server in self.server_by_id.values()
                if server.service == service
            ),
            key=_server_id,
        )

    def _accept(
        self,
        row: StoredRow,
        known_row: StoredRow | None,
        *,
        removal_grace: bool = False,
    ) -> bool:
        self.revision += 1
        self.row_by_id[row.key] = row
        if row.removed:
            content = b'' if known_row is None else known_row.content
            return self._remove(row.key, content, removal_grace=removal_grace)
        try:
            server = self._decode(row.key, row.content)
        except InvalidRowError as error:
            _log.warning(
                'unusable server entry ignored',
                server=row.key,
                version=version_text(row.version),
                reason=str(error),
            )
            return False
        self._removal_s_by_id.pop(row.key, None)
        self._removed_by_id.pop(row.key, None)
        self._observe_entry(server)
        known = self.server_by_id.get(row.key)
        if known == server:
            return False
        self.server_by_id[row.key] = server
        self._record_start(server)
        _log.info(
            'server entry changed',
            server=server.server_id,
            service=server.service,
            state=server.state,
            incarnation=server.incarnation,
            version=version_text(row.version),
        )
        return True

    def _is_restored(self, row: StoredRow, known_row: StoredRow) -> bool:
        """Whether a row is older than the known one, despite its version.

        Versions do not show that for the first row of a later era, which the
        store may have from the copy that it was restored from.
        """
        if era_of(row.version) <= era_of(known_row.version) or row.removed:
            return False
        try:
            server = self._decode(row.key, row.content)
        except InvalidRowError:
            return False
        removed = self._removed_by_id.get(row.key)
        if removed is not None and known_row.removed:
            # A server that lives writes another entry.
            same = server.incarnation == removed.incarnation
            return row.content == removed.content or (same and removed.left)
        known = self.server_by_id.get(row.key)
        if known is None:
            return False
        if server.incarnation == known.incarnation:
            # A server that leaves does not stay after all.
            return known.state == ServerState.leaving
        return server.incarnation < known.incarnation

    def _record_start(self, server: Server) -> None:
        """Stores when the slow start of a server ends, from its first entry."""
        now_s = elapsed_s()
        self._cold_until_s = {
            identity: until_s
            for identity, until_s in self._cold_until_s.items()
            if until_s > now_s
        }
        if server.slow_start_s > 0:
            self._cold_until_s.setdefault(
                (server.server_id, server.incarnation),
                now_s + server.slow_start_s,
            )

    def _remove(
        self, server_id: str, content: bytes, *, removal_grace: bool
    ) -> bool:
        if server_id not in self.server_by_id:
            return False
        server = self.server_by_id[server_id]
        now_s = elapsed_s()
        self._removed_by_id = {
            removed_id: entry
            for removed_id, entry in self._removed_by_id.items()
            if now_s - entry.removed_s < _REMOVED_RETENTION_S
        }
        self._removed_by_id[server_id] = _RemovedEntry(
            content,
            server.incarnation,
            server.state != ServerState.ready,
            now_s,
        )
        if removal_grace or server_id in self._removal_s_by_id:
            self._removal_s_by_id.setdefault(server_id, now_s + REMOVAL_GRACE_S)
            return False
        self.server_by_id.pop(server_id)
        _log.info('server entry removed', server=server_id)
        return True


class Instance(NamedTuple):
    """Another instance of the system."""

    name: str
    address: Address
    data_centre: str
    capacity: float = 0


def most_capable_first(instance: Instance) -> tuple[float, str]:
    """Sort key: machines that can carry more come first, then by name."""
    return -instance.capacity, instance.name


class SystemView:
    """Everything that this instance knows, and an event for its changes.

    Attributes:
        max_source_age_s: rows of the source tables that are older may differ
            from what the operators require by now.
    """

    def __init__(
        self,
        decode_configuration: DecodeConfiguration,
        decode_server: DecodeServer,
        max_source_age_s: float,
        evacuated_data_centre: EvacuatedDataCentre = no_evacuations,
    ) -> None:
        self.max_source_age_s = max_source_age_s
        self.configuration: Configuration | None = None
        self.configuration_row: StoredRow | None = None
        self.cold_servers = ColdServers(
            elapsed_s, lambda: self.status_by_table[SERVER_TABLE].confirmed_s
        )
        self.servers = ServerList(
            decode_server, self.cold_servers.observe_entry
        )
        self.evacuations = Evacuations(
            evacuated_data_centre, self._observe_evacuation_end
        )
        self.status_by_table = {
            table: SourceStatus() for table in SOURCE_TABLES
        }
        self.owners_by_service: dict[str, OwnerMap] = {}
        self.instance_by_name: dict[str, Instance] = {}
        self.membership_version = (0, 0)
        self.availability = ServerAvailability(
            elapsed_s, self.servers.server_by_id, self.evacuations.data_centres
        )
        self._decode_configuration = decode_configuration
        self._changed = asyncio.Event()
        self._announced = asyncio.Event()
        # Whether the store was restored, and has an older configuration than
        # the one in force here.
        self._store_is_behind = False

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration and servers are known.

        A new instance knows some of the servers before it knows them all.
        """
        status = self.status_by_table[SERVER_TABLE]
        loading = status.is_behind and status.confirmed_s == -inf
        return self.configuration is not None and not (
            loading or not self.servers.server_by_id
        )

    def wake(self) -> None:
        """Wakes all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for a change, at most until the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def owners(self, service: str) -> OwnerMap:
        """Returns the owners of a service's keys."""
        return self.owners_by_service.setdefault(service, OwnerMap())

    def owners_version(self, service: str) -> tuple[int, int] | None:
        """Returns the version of a service's owners, None if unknown."""
        owners = self.owners_by_service.get(service)
        return None if owners is None else owners.version

    def apply_rows(
        self,
        table: str,
        rows: Rows,
        *,
        full_snapshot: bool,
        removal_grace: bool,
        confirmed_s: float = -inf,
    ) -> tuple[StoredRow, ...]:
        """Applies rows of a source table.

        Args:
            table: the table's name.
            rows: rows and the version that they lead to.
            full_snapshot: whether the rows are the whole table.
            removal_grace: whether to keep removed servers for a grace period.
            confirmed_s: when the rows were the newest of the store.

        Returns:
            The rows with their effect here, and those of the servers that are
            missing in a whole table.
        """
        changed = False
        updates = rows.rows
        if full_snapshot and table == SERVER_TABLE:
            updates = (*updates, *self._removals_of_missing(rows))
        elif full_snapshot:
            missing = self.evacuations.removals_of_missing(
                rows.rows, rows.version
            )
            updates = (*updates, *missing)
        for update in updates:
            if table == SERVER_TABLE:
                changed |= self.servers.apply(
                    update, removal_grace=removal_grace
                )
            else:
                changed |= self._apply_operator_row(update)
        versions = [applied.version for applied in updates]
        if table == CONFIGURATION_TABLE and self._store_is_behind:
            confirmed_s = -inf
        self.status_by_table[table].record_rows(
            rows.version, max(versions, default=0), confirmed_s
        )
        if changed:
            self.wake()
        return tuple(self.row_in_force(table, row) for row in updates)

    def confirm_sources(
        self, ages: Iterable[SourceAge], asked_s: float
    ) -> None:
        """Applies the confirmations of another instance.

        Args:
            ages: of the source tables.
            asked_s: when that instance was asked for them.
        """
        for age in ages:
            status = self.status_by_table.get(age.table)
            behind = age.table == CONFIGURATION_TABLE and self._store_is_behind
            if status is not None and not behind:
                status.record_age(age, asked_s)
                self.announce(age.table, age.changed_version)

    def source_ages(self) -> list[SourceAge]:
        """Returns the confirmations of the source tables to send."""
        now_s = elapsed_s()
        ages = [
            status.age(table, now_s)
            for table, status in self.status_by_table.items()
            if table != CONFIGURATION_TABLE or not self._store_is_behind
        ]
        return [age for age in ages if age is not None]

    def row_in_force(self, table: str, row: StoredRow) -> StoredRow:
        """Returns the row to send to other instances for a row that was read.

        A configuration is sent as it is, so that each instance sees whether
        the store is behind what it has in force.
        """
        if table == SERVER_TABLE:
            return self.servers.latest_row(row)
        return row

    def operator_rows(self) -> list[StoredRow]:
        """Returns the rows of the operators to send to other instances."""
        rows = list(self.evacuations.row_by_key.values())
        if self.configuration_row is not None:
            rows.append(self.configuration_row)
        return rows

    def configuration_version(self) -> int:
        """Returns the operators' version in force, 0 without one."""
        if self.configuration is None:
            return 0
        return self.configuration.version

    def announce(self, table: str, changed_version: int) -> None:
        """Records that another instance knows a change of a table."""
        status = self.status_by_table[table]
        status.announced_version = max(
            status.announced_version, changed_version
        )
        if status.is_behind:
            self._announced.set()
            self._announced = asyncio.Event()

    def announce_configuration(self) -> None:
        """Records that another instance has a later configuration."""
        known = self.status_by_table[CONFIGURATION_TABLE].version
        self.announce(CONFIGURATION_TABLE, known + 1)

    async def wait_for_announcement(self) -> None:
        """Waits until another instance knows a change that is missing here."""
        await self._announced.wait()

    def version_by_table(self) -> dict[str, int]:
        """Returns the known version of each source table."""
        return {
            table: status.version
            for table, status in self.status_by_table.items()
        }

    def source_age_s(self, table: str) -> float:
        """Returns the time since the rows were the newest of the store.

        It is infinite before the first confirmation.
        """
        return elapsed_s() - self.status_by_table[table].confirmed_s

    def is_outdated(self, table: str) -> bool:
        """Whether changes may be in force that this instance does not know."""
        return self.source_age_s(table) > self.max_source_age_s

    def misses_configuration(self) -> bool:
        """Whether a change is missing here that others had to know by now.

        In an outage of the store nobody knows a later change. While a restored
        store has an older configuration, nobody can confirm the one in force.
        """
        behind = self.status_by_table[CONFIGURATION_TABLE].is_behind
        outdated = behind and self.is_outdated(CONFIGURATION_TABLE)
        return outdated and not self._store_is_behind

    def needs_confirmation(self, table: str) -> bool:
        """Whether confirmed rows will be outdated unless the store is read."""
        if table == CONFIGURATION_TABLE and self._store_is_behind:
            # The operators' next write ends that, and no read does.
            return False
        return self.confirmed_for_s(table) == 0

    def confirmed_for_s(self, table: str) -> float:
        """Returns the time until confirmed rows have to be read again.

        It is infinite before the first confirmation.
        """
        age_s = self.source_age_s(table)
        if age_s == inf:
            return inf
        return max(0, self.max_source_age_s - _CONFIRMATION_TIME_S - age_s)

    def is_confirmed(self, table: str) -> bool:
        """Whether the rows were the newest of the store at some moment.

        A configuration that a restored store has lost counts, too.
        """
        if table == CONFIGURATION_TABLE and self._store_is_behind:
            return True
        return self.source_age_s(table) < inf

    def usable(self, server: Server) -> bool:
        """Whether new requests may be sent to a server."""
        return self.availability.accepts_requests(server)

    def cold_per_s(self, server: Server) -> float | None:
        """Returns the requests a second that a cold server takes from all.

        Returns:
            None if it is not cold, or its service does not limit that.
        """
        # Each choice among the servers of a service asks this for all of them.
        if not self.cold_servers.known:
            return None
        service = self._service(server)
        if service is None or service.cold_per_s is None:
            return None
        holder = Holder(server.server_id, server.incarnation)
        return self.cold_servers.per_s(holder, service)

    def cold_limits(self) -> Iterable[tuple[Holder, float]]:
        """Returns the cold servers that are limited, with their limits."""
        for server in self.servers.server_by_id.values():
            holder = Holder(server.server_id, server.incarnation)
            service = self._service(server)
            if service is None or service.cold_per_s is None:
                continue
            if self.cold_servers.is_cold(holder, service):
                yield holder, service.cold_per_s

    def servers_to_probe(self) -> Iterable[tuple[Server, str]]:
        """Returns the servers that should be asked, with the health paths."""
        if not self.cold_servers.known:
            return
        for server in self.servers.server_by_id.values():
            service = self._service(server)
            holder = Holder(server.server_id, server.incarnation)
            if (
                service is not None
                and self.cold_servers.needs_probe(holder, service)
                and not self.availability.is_leaving(server)
            ):
                yield server, service.health_path

    def all_leave(self, service: str) -> bool:
        """Whether a service has servers, and all have said that they leave."""
        servers = self.servers.of(service)
        return bool(servers) and all(map(self.availability.is_leaving, servers))

    def keyed_services(self) -> list[str]:
        """Returns the services whose servers divide the keys."""
        if self.configuration is None:
            return []
        return [
            service.name
            for service in self.configuration.service_by_name.values()
            if service.keyed
        ]

    def _service(self, server: Server) -> Service | None:
        if self.configuration is None:
            return None
        return self.configuration.service_by_name.get(server.service)

    def _observe_evacuation_end(self, data_centre: str) -> None:
        self.cold_servers.observe_evacuation_end(
            Holder(server.server_id, server.incarnation)
            for server in self.servers.server_by_id.values()
            if server.data_centre == data_centre
        )

    def _removals_of_missing(self, rows: Rows) -> Iterable[StoredRow]:
        present = {row.key for row in rows.rows}
        return [
            StoredRow(server_id, b'', rows.version, removed=True)
            for server_id in self.servers.server_by_id
            if server_id not in present
        ]

    def _apply_operator_row(self, row: StoredRow) -> bool:
        if self.evacuations.contains_row(row):
            return self.evacuations.apply(row)
        return self._apply_configuration(row)

    def _apply_configuration(self, row: StoredRow) -> bool:
        known = self.configuration_row
        if row.removed or known is not None and _follows(known, row):
            return False
        try:
            configuration = self._decode_configuration(row.content)
        except InvalidRowError as error:
            _log.warning(
                'unusable configuration ignored',
                version=version_text(row.version),
                reason=str(error),
            )
            return False
        in_force = self.configuration
        if in_force is not None and known is not None:
            if configuration.version <= in_force.version:
                self._keep_configuration(known, row, configuration.version)
                return False
        self.configuration = configuration
        self.configuration_row = row
        self._store_is_behind = False
        # What others know beyond it, they announce again.
        self.status_by_table[CONFIGURATION_TABLE].announced_version = 0
        if known is not None and row.version <= known.version:
            # An instance had a later configuration than the restored store.
            self._store_is_behind = True
            self.configuration_row = replace(row, version=known.version)
        _log.info(
            'configuration in force',
            version=configuration.version,
            row_version=version_text(row.version),
            routes=sum(map(len, configuration.routes_by_host.values())),
        )
        return True

    def _keep_configuration(
        self, known: StoredRow, row: StoredRow, row_configuration: int
    ) -> None:
        """Keeps the configuration in force when a row has no later one."""
        assert self.configuration is not None
        if row.version < known.version:
            return
        behind = row_configuration < self.configuration.version
        if behind and era_of(row.version) > era_of(known.version):
            self._store_is_behind = True
            _log.warning(
                'older configuration of a restored store ignored',
                version=row_configuration,
                row_version=version_text(row.version),
                in_force=self.configuration.version,
            )
        elif not behind:
            self._store_is_behind = False
        self.configuration_row = replace(known, version=row.version)


def _follows(known: StoredRow, row: StoredRow) -> bool:
    """Whether a known row is the same as another one, or surely later."""
    same_era = era_of(row.version) == era_of(known.version)
    return row == known or (row.version < known.version and same_era)


def decode_owner(changed: OwnedRange, now_s: float) -> Owner:
    """Returns the owner of a range that another instance sent."""
    holder = None
    if changed.server_id is not None:
        holder = Holder(changed.server_id, changed.incarnation)
    if changed.available_in_s <= 0:
        return Owner(holder, 0)
    return Owner(holder, now_s + changed.available_in_s)


def _owned_range(
    first: int, last: int, owner: Owner, now_s: float
) -> OwnedRange:
    available_in_s = max(0, owner.available_at_s - now_s)
    if owner.holder is None:
        return OwnedRange(first, last, None, 0, available_in_s)
    return OwnedRange(first, last, *owner.holder, available_in_s)


def _sequence(bounds: _Bounds) -> int:
    return bounds[2].sequence


def _server_id(server: Server) -> str:
    return server.server_id
