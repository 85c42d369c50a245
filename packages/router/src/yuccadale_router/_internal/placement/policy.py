"""Constants of placement and the unit in which weights are compared."""

from dataclasses import dataclass

# The customer's weighted sum counts as equally bad, at weight 1: a
# coefficient of variation of 1 for ten minutes, every key moved once, and all
# demand unavailable for one second.
IMBALANCE_PERIOD_S = 600.0
UNAVAILABLE_UNIT_S = 1.0


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Limits and assumptions of a group's placement.

    Attributes:
        half_life_ms: after this time an observation counts half.
        warm_up_ms: no load moves before figures cover this time.
        stale_ms: no load moves when the newest figure is older than this.
        start_excess: load above the mean at which moves start; below the
            target of 1.25 so that there is time to act.
        stop_excess: load above the mean at which moves stop.
        idle_share: load relative to the mean below which a server draws
            slots from all servers above the mean.
        horizon_s: how long the benefit of a move is expected to last.
        longest_horizon_s: the same at most, when an idle server draws slots:
            the longer all servers have stayed, the longer they are expected
            to stay. Filling each new server at once during a replacement of
            all servers would move most keys twice.
        stability_factor: horizon over the time since servers last changed.
        gain_margin: factor by which a gain must exceed its price; loads are
            estimates and servers may change before the benefit is had.
        bound: load over the mean, above which a gain must exceed its price
            only once; the target after a shift of demand.
        moves_at_once: load moves proposed at a time.
        moves_per_minute_share: load moves a minute as a share of all slots.
        cool_down_ms: a slot that moved stays at least this long.
        back_ms: a slot does not return to a server within this time.
        oscillation_moves: planned moves within ``back_ms`` after which a
            slot stays until the oldest is that old.
        settle_ms: after forced moves, load moves are limited for this time.
        settle_share: load moves allowed then, as a share of forced moves;
            the target is 1.15 times the keys that had to move.
        severe_excess: load above the mean that lifts the limit after a loss.
        handover_ms: revoke, conditional write and grant of a planned move.
        cold_start_ms: time that a slot moved to a cold server is not served.
        cold_ms: how long a server counts as cold after it went live.
        ramp_ms: time over which a new server's capacity is raised in full.
        ramp_floor: share of the capacity that a new server starts with.
    """

    half_life_ms: float = 10_000
    warm_up_ms: float = 10_000
    stale_ms: float = 5_000
    start_excess: float = 0.15
    stop_excess: float = 0.08
    idle_share: float = 0.7
    horizon_s: float = 300
    longest_horizon_s: float = 1_800
    stability_factor: float = 5
    gain_margin: float = 2
    bound: float = 1.25
    moves_at_once: int = 8
    moves_per_minute_share: float = 0.125
    cool_down_ms: float = 60_000
    back_ms: float = 600_000
    oscillation_moves: int = 3
    settle_ms: float = 300_000
    settle_share: float = 0.1
    severe_excess: float = 0.5
    handover_ms: float = 20
    cold_start_ms: float = 1_000
    cold_ms: float = 30_000
    ramp_ms: float = 60_000
    ramp_floor: float = 0.2
