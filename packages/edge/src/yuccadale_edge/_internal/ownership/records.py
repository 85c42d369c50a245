"""The stored record of a service's keys, from which a new leader starts.

The store takes rows of 64 KiB. A record names each server once for each of its
segments, so a large one is compressed. One that is still too large is stored by
columns, with each server once; versions before that cannot read it.
"""

import zlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated

import msgspec

from yuccadale_edge._internal.model import KEY_COUNT
from yuccadale_edge._internal.ownership.segments import (
    UNKNOWN_HOLDER,
    Holder,
    Lease,
    Segment,
    SegmentTable,
    epoch_of,
    unknown_lease,
)
from yuccadale_edge._internal.transport.client_pool import Address

KEYS_PREFIX = 'keys/'

AddressByHolder = Mapping[Holder, Address]
_NO_SPEEDS: Mapping[str, float] = MappingProxyType({})


class HolderRecord(msgspec.Struct, array_like=True):
    """A server that may hold keys of a segment."""

    server_id: str
    incarnation: int
    host: str
    port: int
    fence: int

    @property
    def holder(self) -> Holder:
        """The incarnation of the server."""
        return Holder(self.server_id, self.incarnation)


class SegmentRecord(msgspec.Struct, array_like=True):
    """A range of keys and the servers that may hold it.

    Attributes:
        last_fence: highest fencing token that any server has received,
            including servers whose leases have expired.
        holders: the intended owner comes first.
    """

    first: int
    last: int
    last_fence: int
    holders: list[HolderRecord]


class KeysRecord(msgspec.Struct, array_like=True):
    """All keys of one service.

    Attributes:
        all_calls_answered: whether the leader stopped with every call
            answered, so that none of its grants can be applied late.
        speed_by_server: estimated speeds, relative to the mean.
        era: era of the store as the leader knew it. A record of an earlier
            era lacks what happened after the copy that was restored.
    """

    epoch: int
    segments: list[SegmentRecord]
    all_calls_answered: bool = False
    speed_by_server: dict[str, Annotated[float, msgspec.Meta(gt=0)]] = {}
    era: int = 0


class InvalidRecordError(Exception):
    """A stored record that cannot be decoded, or does not cover all keys."""


# Half of the size of a row.
_COMPRESS_ABOVE_BYTES = 32 * 1024
# What a compressed record may take; more is stored by columns.
_MAX_COMPRESSED_BYTES = 60 * 1024
# Bounds the memory for an unreadable record.
_MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
# The first bytes of compressed content; JSON cannot begin with them.
_COMPRESSED_MARK = b'x'
_COLUMNS_MARK = b'c'
_SPEED_SCALE = 100

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(KeysRecord).decode

_Server = tuple[str, int, str, int]
_DECODE_ERRORS = (
    msgspec.DecodeError,
    RecursionError,
    ValueError,
    IndexError,
    zlib.error,
)


class _Columns(msgspec.Struct, array_like=True):
    """A record, column by column.

    Attributes:
        ids, incarnations, hosts, ports: of the servers.
        speeds: of the servers in hundredths, 0 if unknown.
        other_speeds: of servers that hold nothing.
        lengths, last_fences, holder_counts: of the segments.
        holders, fences: of all segments, as numbers of servers.
        base_incarnation: added to each incarnation, so that these are small.
        base_fence: added to each fence.
    """

    epoch: int
    era: int
    all_calls_answered: bool
    ids: list[str]
    incarnations: list[int]
    hosts: list[str]
    ports: list[int]
    speeds: list[Annotated[int, msgspec.Meta(ge=0)]]
    other_speeds: dict[str, Annotated[float, msgspec.Meta(gt=0)]]
    lengths: list[int]
    last_fences: list[int]
    holder_counts: list[Annotated[int, msgspec.Meta(ge=0)]]
    holders: list[Annotated[int, msgspec.Meta(ge=0)]]
    fences: list[int]
    base_incarnation: int
    base_fence: int


_encode_columns = msgspec.msgpack.Encoder().encode
_decode_columns = msgspec.msgpack.Decoder(_Columns).decode


def encode_record(record: KeysRecord) -> bytes:
    """Encodes a record for the store."""
    content = _encode(record)
    if len(content) <= _COMPRESS_ABOVE_BYTES:
        return content
    compressed = compress_record(content)
    if len(compressed) <= _MAX_COMPRESSED_BYTES:
        return compressed
    packed = _encode_columns(_to_columns(record))
    return _COLUMNS_MARK + zlib.compress(packed)


def compress_record(content: bytes) -> bytes:
    """Compresses an encoded record unless it is compressed already."""
    if content.startswith((_COMPRESSED_MARK, _COLUMNS_MARK)):
        return content
    return zlib.compress(content)


def decode_record(content: bytes) -> KeysRecord:
    """Decodes a stored record.

    Raises:
        InvalidRecordError: the content is no complete record.
    """
    try:
        record = _decode_content(content)
    except _DECODE_ERRORS as error:
        raise InvalidRecordError(str(error)) from error
    next_first = 0
    for segment in record.segments:
        if segment.first != next_first or segment.last < segment.first:
            raise InvalidRecordError(f'no segment begins at key {next_first}')
        next_first = segment.last + 1
    if next_first != KEY_COUNT:
        raise InvalidRecordError(f'the segments end before key {next_first}')
    return record


def _decode_content(content: bytes) -> KeysRecord:
    if content.startswith(_COLUMNS_MARK):
        packed = content.removeprefix(_COLUMNS_MARK)
        return _from_columns(_decode_columns(_decompress(packed)))
    if content.startswith(_COMPRESSED_MARK):
        return _decode(_decompress(content))
    return _decode(content)


def _decompress(content: bytes) -> bytes:
    return zlib.decompressobj().decompress(content, _MAX_DECOMPRESSED_BYTES)


def _to_columns(record: KeysRecord) -> _Columns:
    held = [one for segment in record.segments for one in segment.holders]
    servers = list(dict.fromkeys(map(_server_of, held)))
    number_by_server = {server: index for index, server in enumerate(servers)}
    speed_by_id = dict(record.speed_by_server)
    ids = [server[0] for server in servers]
    incarnations = [server[1] for server in servers]
    last_fences = [segment.last_fence for segment in record.segments]
    fences = [one.fence for one in held]
    base_incarnation = min(incarnations, default=0)
    base_fence = min((*last_fences, *fences), default=0)
    return _Columns(
        record.epoch,
        record.era,
        record.all_calls_answered,
        ids,
        [one - base_incarnation for one in incarnations],
        [server[2] for server in servers],
        [server[3] for server in servers],
        [_take_speed(speed_by_id, server_id) for server_id in ids],
        speed_by_id,
        [segment.last - segment.first for segment in record.segments],
        [one - base_fence for one in last_fences],
        [len(segment.holders) for segment in record.segments],
        [number_by_server[_server_of(one)] for one in held],
        [one - base_fence for one in fences],
        base_incarnation,
        base_fence,
    )


def _server_of(held: HolderRecord) -> _Server:
    return held.server_id, held.incarnation, held.host, held.port


def _take_speed(speed_by_id: dict[str, float], server_id: str) -> int:
    """Takes the speed of a server; 0 if it has none in hundredths."""
    scaled = round(speed_by_id.get(server_id, 0) * _SPEED_SCALE)
    if not scaled or speed_by_id[server_id] != scaled / _SPEED_SCALE:
        return 0
    speed_by_id.pop(server_id)
    return scaled


def _from_columns(columns: _Columns) -> KeysRecord:
    """Returns the record.

    Raises:
        ValueError, IndexError: the columns do not fit together.
    """
    servers = list(
        zip(
            columns.ids,
            [one + columns.base_incarnation for one in columns.incarnations],
            columns.hosts,
            columns.ports,
            strict=True,
        )
    )
    held = [
        HolderRecord(*servers[number], fence + columns.base_fence)
        for number, fence in zip(columns.holders, columns.fences, strict=True)
    ]
    segments: list[SegmentRecord] = []
    first, begin = 0, 0
    for length, last_fence, count in zip(
        columns.lengths,
        columns.last_fences,
        columns.holder_counts,
        strict=True,
    ):
        end = begin + count
        holders = held[begin:end]
        segments.append(
            SegmentRecord(
                first,
                first + length,
                last_fence + columns.base_fence,
                holders,
            )
        )
        first += length + 1
        begin = end
    if begin != len(held):
        raise ValueError('the holders do not fit the segments')
    speeds = {
        server_id: speed / _SPEED_SCALE
        for server_id, speed in zip(columns.ids, columns.speeds, strict=True)
        if speed
    }
    return KeysRecord(
        columns.epoch,
        segments,
        columns.all_calls_answered,
        {**speeds, **columns.other_speeds},
        columns.era,
    )


def recorded_epoch(content: bytes) -> int:
    """Returns the highest epoch of a stored record, 0 if it is unreadable."""
    try:
        record = decode_record(content)
    except InvalidRecordError:
        return 0
    fences = [0]
    for segment in record.segments:
        fences.append(segment.last_fence)
        fences.extend(holder.fence for holder in segment.holders)
    return max(record.epoch, epoch_of(max(fences)))


def record_of(
    epoch: int,
    table: SegmentTable,
    address_by_holder: AddressByHolder,
    *,
    all_calls_answered: bool = False,
    speed_by_server: Mapping[str, float] = _NO_SPEEDS,
    era: int = 0,
) -> KeysRecord:
    """Returns the record that must be stored before the next grants."""
    return KeysRecord(
        epoch,
        [
            SegmentRecord(
                segment.first,
                segment.last,
                segment.last_fence,
                _holder_records(segment, address_by_holder),
            )
            for segment in table.segments
        ],
        all_calls_answered,
        dict(speed_by_server),
        era,
    )


def segments_of(record: KeysRecord, latest_end_s: float) -> list[Segment]:
    """Returns the segments that a new leader starts from.

    Args:
        record: as the previous leader stored it.
        latest_end_s: when the last lease by that leader expires at the latest.
    """
    assumed_until_s = 0 if record.all_calls_answered else latest_end_s
    return [
        _segment(segment, latest_end_s, assumed_until_s)
        for segment in record.segments
    ]


def _segment(
    record: SegmentRecord, latest_end_s: float, assumed_until_s: float
) -> Segment:
    fences = [held.fence for held in record.holders]
    segment = Segment(
        record.first,
        record.last,
        recorded=True,
        last_fence=max((record.last_fence, *fences)),
    )
    for stored in record.holders:
        lease = Lease(
            stored.fence,
            until_s=latest_end_s,
            assumed_until_s=assumed_until_s,
            accepted=True,
        )
        if stored.holder == UNKNOWN_HOLDER:
            lease = unknown_lease(latest_end_s)
        segment.lease_by_holder[stored.holder] = lease
    known = [one for one in segment.lease_by_holder if one != UNKNOWN_HOLDER]
    if len(record.holders) == 1 and known:
        segment.owner = known[0]
    elif known:
        segment.target = known[0]
    return segment


def _holder_records(
    segment: Segment, address_by_holder: AddressByHolder
) -> list[HolderRecord]:
    intended_owner = segment.intended_owner
    holders = sorted(
        segment.lease_by_holder, key=lambda held: held != intended_owner
    )
    if (
        intended_owner is not None
        and intended_owner not in segment.lease_by_holder
    ):
        holders.insert(0, intended_owner)
    return [
        HolderRecord(
            *holder,
            *address_by_holder.get(holder, ('', 0)),
            _fence(segment, holder),
        )
        for holder in holders
    ]


def _fence(segment: Segment, holder: Holder) -> int:
    if holder == segment.intended_owner and segment.reserved_fence is not None:
        return segment.reserved_fence
    return segment.lease_by_holder[holder].fence
