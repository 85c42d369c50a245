"""The stored record of a service's keys, from which a new leader starts.

The store takes rows of 64 KiB. A record names each server once for each of its
segments, so a large one is compressed.
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
# Bounds the memory for an unreadable record.
_MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
# The first byte of compressed content; JSON cannot begin with it.
_COMPRESSED_MARK = b'x'

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(KeysRecord).decode


def encode_record(record: KeysRecord) -> bytes:
    """Encodes a record for the store."""
    content = _encode(record)
    if len(content) <= _COMPRESS_ABOVE_BYTES:
        return content
    return compress_record(content)


def compress_record(content: bytes) -> bytes:
    """Compresses an encoded record unless it is compressed already."""
    if content.startswith(_COMPRESSED_MARK):
        return content
    return zlib.compress(content)


def decode_record(content: bytes) -> KeysRecord:
    """Decodes a stored record.

    Raises:
        InvalidRecordError: the content is no complete record.
    """
    try:
        record = _decode(_decompress(content))
    except (msgspec.DecodeError, RecursionError, zlib.error) as error:
        raise InvalidRecordError(str(error)) from error
    next_first = 0
    for segment in record.segments:
        if segment.first != next_first or segment.last < segment.first:
            raise InvalidRecordError(f'no segment begins at key {next_first}')
        next_first = segment.last + 1
    if next_first != KEY_COUNT:
        raise InvalidRecordError(f'the segments end before key {next_first}')
    return record


def _decompress(content: bytes) -> bytes:
    if not content.startswith(_COMPRESSED_MARK):
        return content
    return zlib.decompressobj().decompress(content, _MAX_DECOMPRESSED_BYTES)


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
