"""The stored record of a service's keys."""

from unittest.mock import patch

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders.platform_store import ROW_BYTES
from yuccadale_edge._internal.model import KEY_COUNT
from yuccadale_edge._internal.ownership.records import (
    HolderRecord,
    InvalidRecordError,
    KeysRecord,
    SegmentRecord,
    decode_record,
    encode_record,
)

_SERVERS = 400
_MANY_SERVERS = 2416
_MAX_DRAWN = 6
_SEGMENTS = 4096
_SEGMENT_KEYS = KEY_COUNT // _SEGMENTS
_EPOCH_FENCE = 3 << 24


def _holder(number: int) -> HolderRecord:
    address = f'10.{number % 6 + 1}.64.{number % 250}'
    return HolderRecord(
        f'i-{number * 7919 % 2**32:08x}',
        1774429257084 + number * 37,
        address,
        8000 + number % 90,
        _EPOCH_FENCE + number,
    )


def _large_record(servers: int = _SERVERS) -> KeysRecord:
    """Returns the record of a service whose busy keys lie on many servers.

    Each range moves, so that two servers may hold it.
    """
    segments = [
        SegmentRecord(
            number * _SEGMENT_KEYS,
            (number + 1) * _SEGMENT_KEYS - 1,
            _EPOCH_FENCE + number,
            [_holder(number % servers), _holder(number * 31 % servers)],
        )
        for number in range(_SEGMENTS)
    ]
    speed_by_server = dict.fromkeys(
        (_holder(number).server_id for number in range(9)), 1.25
    )
    speed_by_server |= {'i-idle': 0.5, _holder(1).server_id: 1 / 3}
    return KeysRecord(3, segments, speed_by_server=speed_by_server, era=2)


# Guards against CONFIG and keys without an owner: the store refused each plan
# of a service with many servers, and no route to it was served.
@pytest.mark.parametrize('servers', [_SERVERS, _MANY_SERVERS])
def test_a_large_record_fits_into_a_row(servers: int) -> None:
    """The record is read again as it was written."""
    record = _large_record(servers)
    content = encode_record(record)
    assert len(content) < ROW_BYTES
    assert decode_record(content) == record


@given(st.data())
def test_columns_hold_any_record(data: st.DataObject) -> None:
    """Guards against owners and fences that are confused by columns."""
    holders = st.builds(
        HolderRecord,
        st.sampled_from(('a', 'b', 'c')),
        st.integers(0, 3),
        st.sampled_from(('10.0.0.1', '10.0.0.2', '')),
        st.integers(0, 2),
        st.integers(0, 2**62),
    )
    segments = []
    first = 0
    while first < KEY_COUNT:
        last = data.draw(st.integers(first, KEY_COUNT - 1))
        if len(segments) == _MAX_DRAWN:
            last = KEY_COUNT - 1
        held = data.draw(st.lists(holders, max_size=3))
        fence = data.draw(st.integers(0, 2**62))
        segments.append(SegmentRecord(first, last, fence, held))
        first = last + 1
    speeds = st.dictionaries(
        st.sampled_from(('a', 'b', 'd')), st.floats(0.5, 9)
    )
    record = KeysRecord(
        data.draw(st.integers(0, 2**31)),
        segments,
        data.draw(st.booleans()),
        data.draw(speeds),
        data.draw(st.integers(0, 9)),
    )
    with patch.multiple(
        encode_record.__module__,
        _MAX_COMPRESSED_BYTES=0,
        _COMPRESS_ABOVE_BYTES=0,
    ):
        content = encode_record(record)
    assert content.startswith(b'c')
    assert decode_record(content) == record


def test_a_damaged_record_is_refused() -> None:
    """Guards against an error that ends the leader's work for a service."""
    content = encode_record(_large_record())
    columns = encode_record(_large_record(_MANY_SERVERS))
    for damaged in (
        content[: len(content) // 2],
        content[:2],
        b'x' * 99,
        columns[: len(columns) // 2],
        columns[:1],
        b'c' * 99,
        b'c%b' % content,
    ):
        with pytest.raises(InvalidRecordError):
            decode_record(damaged)
