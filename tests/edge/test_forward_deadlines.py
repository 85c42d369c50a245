"""Deadlines of requests whose sender has to be connected first."""

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.shared_link import (
    ForwardingInstance,
    SharedLink,
    now_s,
    upload,
)
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.routing.requests import Refused

_SMALL_BODY = 100


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


# Guards against CONFIG and BUDGET: the time until a link was open came on top
# of the deadline: requests ran, and were held, after the route's timeout.
@in_virtual_time
async def test_the_time_of_connecting_counts() -> None:
    """The sender is told the time that is left when the link is open."""
    link = SharedLink(connect_s=0.8)
    request = upload(_SMALL_BODY)
    given_ms = request.remaining_ms
    await ForwardingInstance(link).forward(request)
    assert link.remaining_ms == [pytest.approx(given_ms - 800)]


@in_virtual_time
async def test_a_request_is_refused_when_its_deadline_passes() -> None:
    """Guards against a caller that waits for a link beyond its deadline."""
    link = SharedLink(connect_s=2)
    request = upload(_SMALL_BODY)
    request.remaining_ms = 500
    result = await ForwardingInstance(link).forward(request)
    assert isinstance(result, Refused)
    assert result.code == ResultCode.deadline_passed
    assert not result.attempts
    assert now_s() == pytest.approx(0.5)
    assert not link.remaining_ms
