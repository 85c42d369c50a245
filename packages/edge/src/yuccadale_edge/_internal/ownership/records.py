"""What the store keeps of a service's keys, for the next leader."""

from collections.abc import Mapping

import msgspec

from yuccadale_edge._internal.ownership.segments import (
    Holder,
    Lease,
    Segment,
    SegmentTable,
)
from yuccadale_edge._internal.transport.client_pool import Address

KEYS_PREFIX = 'keys/'

AddressByHolder = Mapping[Holder, Address]


class HolderRecord(msgspec.Struct, array_like=True):
    """A server that may hold some keys, as it is recorded."""

    server_id: str
    incarnation: int
    host: str
    port: int
    fence: int

    @property
    def holder(self) -> Holder:
        """The life of the server."""
        return Holder(self.server_id, self.incarnation)


class SegmentRecord(msgspec.Struct, array_like=True):
    """A range, its wanted owner first among those that may hold it.

    Attributes:
        last_fence: the highest fence that any server had, also one that
            holds nothing any more.
    """

    first: int
    last: int
    last_fence: int
    holders: list[HolderRecord]


class KeysRecord(msgspec.Struct, array_like=True):
    """All keys of one service.

    Attributes:
        settled: whether the leader ended with every call answered, so that
            no grant of it can be carried out late.
    """

    epoch: int
    segments: list[SegmentRecord]
    all_calls_answered: bool = False


encode_record = msgspec.json.Encoder().encode
decode_record = msgspec.json.Decoder(KeysRecord).decode


def record_of(
    epoch: int,
    table: SegmentTable,
    address_by_holder: AddressByHolder,
    *,
    all_calls_answered: bool = False,
) -> KeysRecord:
    """Returns what has to be stored before the next grants."""
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
    )


def segments_of(record: KeysRecord, latest_end_s: float) -> list[Segment]:
    """Returns the segments as a new leader has to assume them.

    Args:
        record: what the last leader stored.
        latest_end_s: when the last grant of that leader has surely ended.
    """
    unconfirmed_until_s = 0 if record.all_calls_answered else latest_end_s
    return [
        _segment(one, latest_end_s, unconfirmed_until_s)
        for one in record.segments
    ]


def _segment(
    record: SegmentRecord, latest_end_s: float, unconfirmed_until_s: float
) -> Segment:
    fences = [held.fence for held in record.holders]
    segment = Segment(
        record.first,
        record.last,
        recorded=True,
        last_fence=max((record.last_fence, *fences)),
    )
    for held in record.holders:
        segment.lease_by_holder[held.holder] = Lease(
            held.fence,
            until_s=latest_end_s,
            unconfirmed_until_s=unconfirmed_until_s,
            accepted=True,
        )
    if len(record.holders) == 1:
        segment.owner = record.holders[0].holder
    elif record.holders:
        segment.target = record.holders[0].holder
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
