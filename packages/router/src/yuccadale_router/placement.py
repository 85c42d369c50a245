"""Public names of placement, for measurement commands."""

from yuccadale_router._internal.contracts import (
    Assignment,
    Candidate,
    LoadSample,
    MoveProposal,
    ServerState,
)
from yuccadale_router._internal.placement import (
    GroupPlacement,
    PlacementPolicy,
)
from yuccadale_router._internal.placement.assignment import assign_owners
from yuccadale_router._internal.placement.policy import (
    IMBALANCE_PERIOD_S,
    UNAVAILABLE_UNIT_S,
)
from yuccadale_router._internal.placement.successors import spread_successors

__all__ = (
    'IMBALANCE_PERIOD_S',
    'UNAVAILABLE_UNIT_S',
    'Assignment',
    'Candidate',
    'GroupPlacement',
    'LoadSample',
    'MoveProposal',
    'PlacementPolicy',
    'ServerState',
    'assign_owners',
    'spread_successors',
)
