"""The rules of key ownership, without network."""

from yuccadale_edge._internal.model import KEY_COUNT
from yuccadale_edge._internal.ownership.balance import (
    Balancer,
    KeyLoad,
    LoadProfile,
    Move,
    Span,
)
from yuccadale_edge._internal.ownership.planning import MovePlanner
from yuccadale_edge._internal.ownership.records import (
    KeysRecord,
    record_of,
    segments_of,
)
from yuccadale_edge._internal.ownership.segments import (
    CLOCK_MARGIN,
    LATEST_ARRIVAL_S,
    CallKind,
    Holder,
    Lease,
    OwnershipCall,
    Segment,
    SegmentTable,
    UnconfirmedGrant,
)
from yuccadale_edge._internal.ownership.speeds import (
    ServerSpeeds,
    fair_loads,
)

__all__ = (
    'CLOCK_MARGIN',
    'KEY_COUNT',
    'LATEST_ARRIVAL_S',
    'Balancer',
    'CallKind',
    'Holder',
    'KeyLoad',
    'KeysRecord',
    'Lease',
    'LoadProfile',
    'Move',
    'MovePlanner',
    'OwnershipCall',
    'Segment',
    'SegmentTable',
    'UnconfirmedGrant',
    'ServerSpeeds',
    'Span',
    'fair_loads',
    'record_of',
    'segments_of',
)
