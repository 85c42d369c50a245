"""Load estimation."""

import numpy as np

from tests.builders.placement import ManualClock, build_sample
from yuccadale_core.targets import LoadReport
from yuccadale_router._internal.placement.load import LoadEstimator
from yuccadale_router._internal.placement.policy import PlacementPolicy


def _observed(seconds: int) -> tuple[LoadEstimator, ManualClock]:
    """Observes 100 ms a second for slot 1 and 300 ms for slot 2."""
    clock = ManualClock()
    estimator = LoadEstimator(clock, PlacementPolicy())
    for _ in range(seconds):
        for _ in range(10):
            estimator.observe(build_sample(1, 'a', service_ms=10))
            estimator.observe(build_sample(2, 'b', service_ms=30))
        clock.advance(1)
    return estimator, clock


def test_steady_load_is_found_at_once():
    """Guards against an estimate that starts near zero."""
    estimator, _ = _observed(5)
    assert np.allclose(estimator.loads([1, 2, 3]), [100, 300, 0])


def test_load_decays():
    """Guards against load that stays after its requests have ended."""
    estimator, clock = _observed(60)
    for _ in range(10):
        clock.advance(1)
        estimator.observe(build_sample(2, 'b', service_ms=300))
    loads = estimator.loads([1, 2])
    assert 45 < loads[0] < 55
    assert 280 < loads[1] < 320


def test_refusals_count_as_demand():
    """Guards against a shedding server that looks idle."""
    estimator, clock = _observed(30)
    for _ in range(30):
        for _ in range(10):
            estimator.observe(build_sample(1, 'a', refused=True, service_ms=0))
            estimator.observe(build_sample(2, 'b', service_ms=30))
        clock.advance(1)
    assert estimator.loads([1])[0] >= 100
    factors = estimator.factors(['a', 'b'], np.array([100.0, 300.0]))
    assert factors[0] > factors[1]


def test_waiting_raises_a_server():
    """Guards against a server that is slower than its declared capacity."""
    estimator, _ = _observed(10)
    estimator.observe(build_sample(1, 'a', waited_ms=500))
    factors = estimator.factors(['a', 'b'], np.array([100.0, 300.0]))
    assert 1 < factors[0]
    assert np.allclose(factors, [1.2, 1], atol=0.2)
    assert factors[1] == 1


def test_wrong_report_is_not_believed():
    """Guards against moves ordered by one misleading server."""
    estimator, _ = _observed(10)
    for name, load in (('a', 3.0), ('b', 1.0), ('c', 1.0)):
        estimator.report(name, LoadReport(0, load, draining=False))
    factors = estimator.factors(['a', 'b', 'c'], np.full(3, 100.0))
    assert factors.tolist() == [1, 1, 1]


def test_report_corrects_within_a_tenth():
    """Guards against reports that are ignored, or rule the estimate."""
    estimator, _ = _observed(10)
    for name, load in (('a', 1.5), ('b', 1.0), ('c', 1.0)):
        estimator.report(name, LoadReport(0, load, draining=False))
    factors = estimator.factors(['a', 'b', 'c'], np.full(3, 100.0))
    assert np.allclose(factors, [1.1, 1, 1])


def test_stale_report_is_dropped():
    """Guards against corrections by a report from long ago."""
    estimator, clock = _observed(10)
    for name, load in (('a', 1.5), ('b', 1.0), ('c', 1.0)):
        estimator.report(name, LoadReport(0, load, draining=False))
    clock.advance(6)
    factors = estimator.factors(['a', 'b', 'c'], np.full(3, 100.0))
    assert factors.tolist() == [1, 1, 1]


def test_figures_are_current_only_while_they_arrive():
    """Guards against decisions on stale figures or on the first second."""
    estimator, clock = _observed(5)
    assert not estimator.is_current()
    estimator, clock = _observed(20)
    assert estimator.is_current()
    clock.advance(6)
    assert not estimator.is_current()
