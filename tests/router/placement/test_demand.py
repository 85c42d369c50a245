"""Ranking of slots by the region of their requests."""

from yuccadale_router._internal.placement import (
    RegionDemand,
    rank_remote_slots,
)


def _rank(budget: float):
    demand = RegionDemand()
    for slot, region, count in (
        (1, 'south', 100),
        (1, 'central', 10),
        (2, 'south', 50),
        (3, 'central', 80),
        (3, 'south', 20),
    ):
        for _ in range(count):
            demand.add(slot, region, 1000)
    return rank_remote_slots(
        demand.collect_and_reset(),
        dict.fromkeys((1, 2, 3), 'central'),
        {1: 1e6, 2: 1e5, 3: 1e5},
        window_s=10,
        link_budget_bytes=budget,
    )


def test_slots_are_ranked_by_latency_saved_per_byte():
    """Guards against ranking that ignores the bytes a move sends."""
    ranked = _rank(1e9)
    assert [remote.slot for remote in ranked] == [2, 1]
    assert ranked[1].demand_region == 'south'
    assert ranked[1].saved_ms_per_s == 90 * 16 / 10
    assert ranked[1].payback_s == 1e6 / 9000


def test_link_budget_is_not_exceeded():
    """Guards against moves that exceed the budget of the link."""
    assert [remote.slot for remote in _rank(5e5)] == [2]
