"""Messages by which instances tell each other what they know."""

import zlib
from typing import NamedTuple

import msgspec

from yuccadale_edge._internal.system_view import OwnedRange
from yuccadale_edge._internal.ownership.segments import UnconfirmedGrant
from yuccadale_edge._internal.store import StoredRow
from yuccadale_edge._internal.transport.client_pool import Address

REPORT_TOPIC = 'report'
NEWS_TOPIC = 'news'
ROWS_TOPIC = 'rows'
RELAY_TOPIC = 'relay'
UNCONFIRMED_GRANTS_TOPIC = 'doubts'
PROMISE_TOPIC = 'promise'
AGREE_TOPIC = 'agree'

# Rows above this size are compressed; below it there is little to gain.
_PACK_ABOVE_BYTES = 1500

Version = tuple[int, int]


class LeaderInfo(msgspec.Struct, array_like=True, frozen=True):
    """Who leads; a later epoch replaces an earlier one.

    Attributes:
        incarnation: tells a restarted instance from the one before; another
            instance may have started at the same moment.
    """

    epoch: int
    instance: str
    host: str
    port: int
    incarnation: int

    @property
    def life(self) -> tuple[str, int]:
        """What tells a process from all others."""
        return self.instance, self.incarnation


class Elector(NamedTuple):
    """An instance that the leader's row names."""

    host: str
    port: int
    data_centre: str

    @property
    def address(self) -> Address:
        """Where other instances reach it."""
        return self.host, self.port


class SourceRow(msgspec.Struct, array_like=True):
    """A row of a source table; no content means that it was removed.

    Attributes:
        packed: whether the content is compressed.
    """

    key: str
    version: int
    content: bytes | None
    packed: bool = False

    def stored(self) -> StoredRow:
        """Returns the row as it was read."""
        if self.content is None:
            return StoredRow(self.key, b'', self.version, removed=True)
        content = self.content
        if self.packed:
            content = zlib.decompress(content)
        return StoredRow(self.key, content, self.version)


class SourceRows(msgspec.Struct, array_like=True):
    """Rows that changed after ``after``, up to ``version``."""

    table: str
    after: int
    version: int
    removal_grace: bool
    rows: list[SourceRow]


class RosterLine(msgspec.Struct, array_like=True):
    """An instance that the leader hears from; a leaving one gets no work."""

    instance: str
    host: str
    port: int
    data_centre: str
    leaving: bool = False


class Roster(msgspec.Struct, array_like=True):
    """All instances that the leader hears from."""

    version: Version
    lines: list[RosterLine]


class Owners(msgspec.Struct, array_like=True):
    """Owners of a service's keys: changes after a version, or all."""

    service: str
    after: Version | None
    version: Version
    ranges: list[OwnedRange]


class News(msgspec.Struct, array_like=True):
    """What the leader tells; parts that have not changed are left out.

    Attributes:
        store_age_s: time since the store last answered the leader.
        row_version: that of the row that the leader wrote last.
    """

    leader: LeaderInfo
    store_age_s: float
    row_version: int
    sources: list[SourceRows] = []
    roster: Roster | None = None
    owners: list[Owners] = []


class NotLeading(msgspec.Struct, array_like=True):
    """The asked instance does not lead; it may know who does.

    Attributes:
        sources: all rows that it has of the tables of which the asking
            instance has none.
    """

    leader: LeaderInfo | None
    sources: list[SourceRows] = []


class TimeTotal(msgspec.Struct, array_like=True):
    """Time that a server worked on requests of a route since last told."""

    server_id: str
    route: str
    count: int
    total_s: float


class KeyWork(msgspec.Struct, array_like=True):
    """Work in seconds that callers asked for, by key, since last told."""

    service: str
    weight_by_key: dict[int, float]


class UnconfirmedGrants(msgspec.Struct, array_like=True):
    """What a deposed leader tells the next one of a service's grants."""

    epoch: int
    service: str
    unconfirmed_grants: list[UnconfirmedGrant]


class Report(msgspec.Struct, array_like=True):
    """What an instance tells the leader, with the versions that it has."""

    line: RosterLine
    version_by_table: dict[str, int]
    membership_version: Version
    version_by_service: dict[str, Version]
    work: list[KeyWork]
    times: list[TimeTotal]
    unreachable: list[str]


class ReportAnswer(msgspec.Struct, array_like=True):
    """Either news from the leader or a pointer to it."""

    news: News | None = None
    not_leading: NotLeading | None = None


def source_row(row: StoredRow) -> SourceRow:
    """Returns a row as it is sent."""
    if row.removed:
        return SourceRow(row.key, row.version, None)
    if len(row.content) < _PACK_ABOVE_BYTES:
        return SourceRow(row.key, row.version, row.content)
    packed = zlib.compress(row.content)
    return SourceRow(row.key, row.version, packed, packed=True)
