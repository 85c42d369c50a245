"""Messages between instances."""

import zlib
from typing import NamedTuple

import msgspec

from yuccadale_edge._internal.ownership.segments import UnconfirmedGrant
from yuccadale_edge._internal.source_status import SourceAge
from yuccadale_edge._internal.store import StoredRow
from yuccadale_edge._internal.system_view import Instance, OwnedRange
from yuccadale_edge._internal.transport.client_pool import Address

REPORT_TOPIC = 'report'
LEADER_UPDATE_TOPIC = 'news'
ROWS_TOPIC = 'rows'
ROWS_REQUEST_TOPIC = 'rows after'
RELAY_TOPIC = 'relay'
UNCONFIRMED_GRANTS_TOPIC = 'doubts'
PROMISE_TOPIC = 'promise'
VOTE_TOPIC = 'agree'
RECORD_COPY_TOPIC = 'record copy'
NOMINATION_TOPIC = 'nominate'
LIMITS_TOPIC = 'limits'
LIMITS_RELAY_TOPIC = 'limits relay'
COLD_TOPIC = 'cold servers'
COLD_RELAY_TOPIC = 'cold servers relay'
LEAVING_TOPIC = 'leaving'
LEAVING_RELAY_TOPIC = 'leaving relay'

# Compression gains little for smaller rows.
_COMPRESS_ABOVE_BYTES = 1500

Version = tuple[int, int]


class LeaderInfo(msgspec.Struct, array_like=True, frozen=True):
    """A leader; a later epoch replaces an earlier one.

    Attributes:
        epoch: number of the leadership, increased by each takeover.
        instance: name of the leader.
        host: host at which peers reach it.
        port: port at which peers reach it.
        incarnation: start time in ns, which differs after a restart. It is
            not unique: two instances may start at the same time.
    """

    epoch: int
    instance: str
    host: str
    port: int
    incarnation: int

    @property
    def identity(self) -> tuple[str, int]:
        """The unique identity of the process: its name and incarnation."""
        return self.instance, self.incarnation


class Elector(NamedTuple):
    """An instance that the leader's row lists as elector."""

    host: str
    port: int
    data_centre: str

    @property
    def address(self) -> Address:
        """The address at which peers reach the elector."""
        return self.host, self.port


Electors = tuple[Elector, ...]


class ConfirmedElectors(msgspec.Struct, array_like=True, frozen=True):
    """The electors of the leader's row, as its last renewal confirmed them.

    Attributes:
        version: version of the row.
        since: version since which the leader has named these electors.
        age_s: time since the renewal began.
        electors: None if the receiver has them.
        kept_services: services of whose latest record of keys a majority of
            the electors keeps a copy now.
    """

    version: int
    since: int
    age_s: float
    electors: Electors | None
    kept_services: tuple[str, ...] = ()


class RecordCopy(msgspec.Struct, array_like=True, frozen=True):
    """A copy of the record of a service's keys.

    Attributes:
        service: name of the service.
        epoch: epoch of the leader that wrote the record.
        sequence: number of the record in that epoch.
        content: as it is stored.
    """

    service: str
    epoch: int
    sequence: int
    content: bytes

    @property
    def order(self) -> Version:
        """A later record has a higher one."""
        return self.epoch, self.sequence


class SourceRow(msgspec.Struct, array_like=True):
    """A row of a source table as it is sent.

    Attributes:
        key: key of the row.
        version: version of the table that changed the row.
        content: None for a removed row.
        compressed: whether the content is compressed.
    """

    key: str
    version: int
    content: bytes | None
    compressed: bool = False

    def decode(self) -> StoredRow:
        """Returns the row as it was read from the store."""
        if self.content is None:
            return StoredRow(self.key, b'', self.version, removed=True)
        content = self.content
        if self.compressed:
            content = zlib.decompress(content)
        return StoredRow(self.key, content, self.version)


class SourceRows(msgspec.Struct, array_like=True):
    """Rows of a source table that changed between two versions.

    Attributes:
        table: name of the table.
        after: the rows changed after this version.
        version: the rows changed up to this version.
        removal_grace: whether removed servers are kept for a grace period.
        rows: the changed rows.
    """

    table: str
    after: int
    version: int
    removal_grace: bool
    rows: list[SourceRow]


class RowsRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request for the rows of a source table after a version."""

    table: str
    after: int


class RowsResponse(msgspec.Struct, array_like=True):
    """Some of the requested rows, the oldest first; None without any."""

    source: SourceRows | None


class RosterEntry(msgspec.Struct, array_like=True):
    """An instance that reports to the leader.

    Attributes:
        instance: name of the instance.
        host: host at which peers reach it.
        port: port at which peers reach it.
        data_centre: data centre of the instance.
        leaving: whether the instance drains and takes no more requests.
        capacity: see ``Machine.capacity``.
    """

    instance: str
    host: str
    port: int
    data_centre: str
    leaving: bool = False
    capacity: float = 0


def instance_of(entry: RosterEntry) -> Instance:
    """Returns the instance that a roster entry describes."""
    return Instance(
        entry.instance,
        (entry.host, entry.port),
        entry.data_centre,
        entry.capacity,
    )


class Roster(msgspec.Struct, array_like=True):
    """All instances that report to the leader."""

    version: Version
    entries: list[RosterEntry]


class OwnersUpdate(msgspec.Struct, array_like=True):
    """Owners of a service's keys.

    Attributes:
        service: name of the service.
        after: the ranges changed after this version; None for all ranges.
        version: the ranges are up to date with this version.
        ranges: ranges of keys with their owners.
        complete: whether there is no later version yet.
    """

    service: str
    after: Version | None
    version: Version
    ranges: list[OwnedRange]
    complete: bool = True


class LeaderUpdate(msgspec.Struct, array_like=True):
    """An update from the leader; unchanged parts are left out.

    Attributes:
        leader: the sender.
        store_age_s: time since the store last answered the leader.
        row_version: version of the row that the leader wrote last.
        sources: rows of the source tables.
        roster: the instances that report to the leader.
        owners: owners of keys, by service.
        source_ages: confirmations of the source tables. Only a response to a
            report has them, since a broadcast may arrive late.
        electors: of the leader's row, in the response to a report.
    """

    leader: LeaderInfo
    store_age_s: float
    row_version: int
    sources: list[SourceRows] = []
    roster: Roster | None = None
    owners: list[OwnersUpdate] = []
    source_ages: list[SourceAge] = []
    electors: ConfirmedElectors | None = None


class NotLeading(msgspec.Struct, array_like=True):
    """The response of an instance that does not lead.

    Attributes:
        leader: the leader that it knows, if any.
        sources: whole tables, for those of which the requesting instance has
            no rows.
        source_ages: confirmations of the source tables.
    """

    leader: LeaderInfo | None
    sources: list[SourceRows] = []
    source_ages: list[SourceAge] = []


class ServiceTime(msgspec.Struct, array_like=True):
    """Service time of a server for one route since the last report.

    Attributes:
        server_id: id of the server.
        route: name of the route.
        count: number of requests.
        total_s: sum of their service times.
    """

    server_id: str
    route: str
    count: int
    total_s: float


class KeyWork(msgspec.Struct, array_like=True):
    """Work that callers requested since the last report.

    Attributes:
        service: name of the service.
        weight_by_key: work in seconds, by key.
        requests: number of requests, None if unknown.
    """

    service: str
    weight_by_key: dict[int, float]
    requests: int | None = None


class UnconfirmedGrants(msgspec.Struct, array_like=True):
    """Unconfirmed grants of a deposed leader, for the next leader.

    Attributes:
        epoch: epoch of the deposed leader.
        service: name of the service.
        unconfirmed_grants: grants without an answer that a server may still
            apply.
    """

    epoch: int
    service: str
    unconfirmed_grants: list[UnconfirmedGrant]


class Report(msgspec.Struct, array_like=True):
    """A report of an instance to the leader.

    Attributes:
        entry: roster entry of the instance.
        version_by_table: versions of the source tables that it has.
        membership_version: version of the roster that it has.
        version_by_service: versions of the owners that it has.
        work: work that callers requested.
        times: service times that it measured.
        unreachable: ids of servers that it could not reach.
        configuration_version: version that the operators gave the
            configuration in force there, 0 without one.
        electors_since: version since which the leader's row has named the
            electors that it knows, 0 if it knows none.
        fetches_rows: whether it requests missing rows from any instance.
    """

    entry: RosterEntry
    version_by_table: dict[str, int]
    membership_version: Version
    version_by_service: dict[str, Version]
    work: list[KeyWork]
    times: list[ServiceTime]
    unreachable: list[str]
    configuration_version: int = 0
    electors_since: int = 0
    fetches_rows: bool = False


class ReportResponse(msgspec.Struct, array_like=True):
    """The response to a report.

    Attributes:
        update: from the leader; None from any other instance.
        not_leading: from any other instance; None from the leader.
    """

    update: LeaderUpdate | None = None
    not_leading: NotLeading | None = None


def encode_source_row(row: StoredRow) -> SourceRow:
    """Returns a row in the form in which it is sent."""
    if row.removed:
        return SourceRow(row.key, row.version, None)
    if len(row.content) < _COMPRESS_ABOVE_BYTES:
        return SourceRow(row.key, row.version, row.content)
    compressed = zlib.compress(row.content)
    return SourceRow(row.key, row.version, compressed, compressed=True)
