"""The services that get the requests of a route with several of them."""

import random
from collections import Counter
from collections.abc import Iterator

import pytest

from yuccadale_edge._internal.model import Route, WeightedService
from yuccadale_edge._internal.routing.request_router import WeightedRoundRobin

_INSTANCES = range(200)
_REQUESTS = 200


@pytest.fixture(autouse=True)
def _seeded() -> Iterator[None]:
    state = random.getstate()
    random.seed(47)
    yield
    random.setstate(state)


def _route(old: float, new: float) -> Route:
    return Route(
        'r',
        'shop.example',
        '/',
        (WeightedService('old', old), WeightedService('new', new)),
        repeatable=True,
        timeout_s=1.0,
        target_latency_s=1.0,
        max_attempts=1,
        priority=1,
    )


def _pick(picks: WeightedRoundRobin, route: Route, times: int) -> Counter[str]:
    return Counter(picks.pick(route) for _ in range(times))


# Guards against CONFIG: a service that an operator took out of a route by
# weight 0 went on to get its requests.
@pytest.mark.parametrize(
    ('before', 'after'), [((50, 50), (0, 1)), ((90, 10), (0, 1))]
)
def test_a_service_of_weight_zero_gets_no_more_requests(
    before: tuple[float, float], after: tuple[float, float]
) -> None:
    """Plays the change after a different number of requests each time."""
    for requests in _INSTANCES:
        picks = WeightedRoundRobin()
        _pick(picks, _route(*before), requests)
        assert _pick(picks, _route(*after), _REQUESTS)['old'] == 0


# Guards against CONFIG: shares that differ from the weights for long after a
# change to weights of another scale.
def test_weights_of_another_scale_count_at_once() -> None:
    """Each share of the next requests is exact to one request."""
    for requests in _INSTANCES:
        picks = WeightedRoundRobin()
        _pick(picks, _route(90, 10), requests)
        assert abs(_pick(picks, _route(0.5, 0.5), 20)['new'] - 10) <= 1


def test_an_unchanged_route_keeps_its_order() -> None:
    """Guards against a new start with each configuration."""
    picks = WeightedRoundRobin()
    chosen = [picks.pick(_route(1, 1)) for _ in range(10)]
    assert chosen[:2] * 5 == chosen
    assert len(set(chosen)) == 2
