"""Load estimation."""

import numpy as np

from tests.builders.placement import ManualClock, build_sample
from yuccadale_core.targets import LoadReport
from yuccadale_router._internal.placement.load import LoadEstimator
from yuccadale_router._internal.placement.policy import PlacementPolicy


def _observed(seconds: int) -> tuple[LoadEstimator, ManualClock]:
    """Observes 100 ms of load per second on slot 1 and 300 ms on slot 2."""
    clock = ManualClock()
    estimator = LoadEstimator(clock, PlacementPolicy())
    for _ in range(seconds):
        for _ in range(10):
            estimator.observe(build_sample(1, 'a', service_ms=10))
            estimator.observe(build_sample(2, 'b', service_ms=30))
        clock.advance(1)
    return estimator, clock


def test_steady_load_is_estimated_without_delay():
    """Guards against an estimate that starts near zero."""
    estimator, _ = _observed(5)
    assert np.allclose(estimator.loads([1, 2, 3]), [100, 300, 0])


def test_load_decays():
    """Guards against an estimate that stays high after requests end."""
    estimator, clock = _observed(60)
    for _ in range(10):
        clock.advance(1)
        estimator.observe(build_sample(2, 'b', service_ms=300))
    loads = estimator.loads([1, 2])
    assert 45 < loads[0] < 55
    assert 280 < loads[1] < 320


def test_refusals_count_as_demand():
    """Guards against counting a server that refuses requests as idle."""
    estimator, clock = _observed(30)
    for _ in range(30):
        for _ in range(10):
            estimator.observe(build_sample(1, 'a', refused=True, service_ms=0))
            estimator.observe(build_sample(2, 'b', service_ms=30))
        clock.advance(1)
    assert estimator.loads([1])[0] >= 100
    factors = estimator.correction_factors(['a', 'b'], np.array([100.0, 300.0]))
    assert factors[0] > factors[1]


def test_waiting_raises_the_load_of_a_server():
    """Guards against overloading a server slower than its capacity says."""
    estimator, _ = _observed(10)
    estimator.observe(build_sample(1, 'a', waited_ms=500))
    factors = estimator.correction_factors(['a', 'b'], np.array([100.0, 300.0]))
    assert 1 < factors[0]
    assert np.allclose(factors, [1.2, 1], atol=0.2)
    assert factors[1] == 1


def test_implausible_report_is_ignored():
    """Guards against moves caused by one server's wrong report."""
    estimator, _ = _observed(10)
    for name, load in (('a', 3.0), ('b', 1.0), ('c', 1.0)):
        estimator.report(name, LoadReport(0, load, draining=False))
    factors = estimator.correction_factors(['a', 'b', 'c'], np.full(3, 100.0))
    assert factors.tolist() == [1, 1, 1]


def test_report_corrects_within_a_tenth():
    """Guards against reports that have no effect, or too much."""
    estimator, _ = _observed(10)
    for name, load in (('a', 1.5), ('b', 1.0), ('c', 1.0)):
        estimator.report(name, LoadReport(0, load, draining=False))
    factors = estimator.correction_factors(['a', 'b', 'c'], np.full(3, 100.0))
    assert np.allclose(factors, [1.1, 1, 1])


def test_stale_report_is_ignored():
    """Guards against correcting the load by an old report."""
    estimator, clock = _observed(10)
    for name, load in (('a', 1.5), ('b', 1.0), ('c', 1.0)):
        estimator.report(name, LoadReport(0, load, draining=False))
    clock.advance(6)
    factors = estimator.correction_factors(['a', 'b', 'c'], np.full(3, 100.0))
    assert factors.tolist() == [1, 1, 1]


def test_load_is_current_only_while_observations_arrive():
    """Guards against decisions on stale load or during the warm-up."""
    estimator, clock = _observed(5)
    assert not estimator.is_current()
    estimator, clock = _observed(20)
    assert estimator.is_current()
    clock.advance(6)
    assert not estimator.is_current()
