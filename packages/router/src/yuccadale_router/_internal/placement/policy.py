"""Limits of placement and the units that the customer's weights refer to."""

from dataclasses import dataclass

# The three terms of the customer's weighted sum are scaled so that, at weight
# 1, these cost the same: a coefficient of variation of 1 for
# IMBALANCE_PERIOD_S, every key moved once, and all demand unavailable for
# UNAVAILABLE_UNIT_S.
IMBALANCE_PERIOD_S = 600.0
UNAVAILABLE_UNIT_S = 1.0


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Limits and assumptions of a group's placement.

    A load move is a move that evens out load, as opposed to one that empties
    a draining server or replaces a lost owner.

    Attributes:
        half_life_ms: time after which the weight of an observation is halved.
        warm_up_ms: load moves start once observations cover this time.
        stale_ms: load moves stop when the newest observation is older; a load
            report older than this is ignored.
        start_excess: relative load above the mean of 1 at which load moves
            start; less than ``max_relative_load`` allows, so that moves take
            effect before that limit is reached.
        stop_excess: relative load above the mean of 1 at which load moves
            stop; also the most that a destination may have after a move.
        idle_share: relative load below which a server is idle and receives
            slots from all servers above the mean.
        horizon_s: how long the benefit of a move is expected to last.
        max_horizon_s: upper limit of the horizon while an idle server
            receives slots. The horizon grows with the time since servers last
            changed: during a rolling replacement of all servers, filling each
            new server at once would move most keys twice.
        stability_factor: ratio of the horizon to the time since servers last
            changed.
        gain_margin: factor by which the gain of a move must exceed its cost;
            loads are estimates, and servers may change before the gain is
            realised.
        max_relative_load: target for the highest relative load after a shift
            of demand; for servers above it the gain only has to exceed the
            cost.
        max_concurrent_moves: load moves proposed at a time.
        max_moves_per_minute_share: load moves per minute, as a share of all
            slots.
        cool_down_ms: a slot that moved does not move again within this time.
        return_cool_down_ms: a slot does not return within this time to a
            server that it left by a load move.
        oscillation_moves: load moves of a slot within
            ``return_cool_down_ms`` after which it stays until the oldest of
            them is outside that time.
        recovery_ms: time after forced moves during which load moves are
            limited.
        recovery_share: load moves allowed during that time, as a share of the
            forced moves; in all, at most 1.15 times the keys that had to move
            may move.
        severe_excess: relative load above the mean of 1 at which the limit
            after forced moves no longer applies.
        handover_ms: time for the revoke, the conditional write and the grant
            of a planned move.
        cold_start_ms: time for which a slot moved to a cold server is not
            served.
        cold_ms: time for which a server counts as cold after it went live.
        ramp_ms: time over which a new server's usable capacity grows to the
            whole.
        ramp_floor: share of the capacity that a new server starts with.
    """

    half_life_ms: float = 10_000
    warm_up_ms: float = 10_000
    stale_ms: float = 5_000
    start_excess: float = 0.15
    stop_excess: float = 0.08
    idle_share: float = 0.7
    horizon_s: float = 300
    max_horizon_s: float = 1_800
    stability_factor: float = 5
    gain_margin: float = 2
    max_relative_load: float = 1.25
    max_concurrent_moves: int = 8
    max_moves_per_minute_share: float = 0.125
    cool_down_ms: float = 60_000
    return_cool_down_ms: float = 600_000
    oscillation_moves: int = 3
    recovery_ms: float = 300_000
    recovery_share: float = 0.1
    severe_excess: float = 0.5
    handover_ms: float = 20
    cold_start_ms: float = 1_000
    cold_ms: float = 30_000
    ramp_ms: float = 60_000
    ramp_floor: float = 0.2
