"""Requests between instances with different configurations."""

import asyncio

import msgspec
import pytest

from tests.builders.forwarding_router import (
    SERVED,
    RoutingInstance,
    configuration_of,
    forwarded,
    outdated,
)
from tests.builders.leadership_world import use_virtual_clock
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.routing.requests import Refused, Result
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.system_view import CONFIGURATION_TABLE

_decode = msgspec.msgpack.Decoder(Result).decode
_ARRIVAL_S = 0.1
_MAX_WAIT_S = 0.5


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


# Guards against CONFIG: a request that an instance with an old configuration
# had forwarded was run by the old service, by an instance that knew better.
@pytest.mark.parametrize('later', [('new',), ()])
@in_virtual_time
async def test_a_forward_that_a_later_configuration_forbids_is_refused(
    later: tuple[str, ...],
) -> None:
    """The route changed its service, or was dropped."""
    instance = RoutingInstance(configuration_of(3, *later))
    body = await instance.router.handle_forwarded(forwarded('old', 2), 0)
    result = _decode(body)
    assert isinstance(result, Refused)
    assert result.code == ResultCode.declaration_outdated
    assert not result.attempts
    assert not instance.served


@pytest.mark.parametrize('configuration', [0, 2, 3, 4])
@in_virtual_time
async def test_a_forward_that_is_allowed_is_served(configuration: int) -> None:
    """Guards against refusals only because the versions differ."""
    instance = RoutingInstance(configuration_of(3, 'old', 'new'))
    body = await instance.router.handle_forwarded(
        forwarded('old', configuration), 0
    )
    assert _decode(body) == SERVED
    assert instance.served == ['old']


@in_virtual_time
async def test_a_forward_shows_that_a_configuration_is_missing() -> None:
    """Guards against an instance that does not ask for the later one."""
    instance = RoutingInstance(configuration_of(3, 'old'))
    await instance.router.handle_forwarded(forwarded('old', 4), 0)
    assert instance.view.status_by_table[CONFIGURATION_TABLE].is_behind


@in_virtual_time
async def test_a_refused_request_is_routed_by_the_later_configuration() -> None:
    """Guards against callers that are refused for an old configuration."""

    def answer(request: RoutedRequest) -> Result:
        return outdated(request) if request.service == 'old' else SERVED

    instance = RoutingInstance(configuration_of(2, 'old'), answer)
    handling = asyncio.create_task(instance.handle())
    await asyncio.sleep(_ARRIVAL_S)
    assert instance.view.status_by_table[CONFIGURATION_TABLE].is_behind
    instance.learn(configuration_of(3, 'new'))
    assert await handling == SERVED.status
    assert instance.forwards == [('old', 2), ('new', 3)]


@in_virtual_time
async def test_a_request_is_refused_if_no_later_configuration_arrives() -> None:
    """Guards against callers that are held until their deadline."""
    instance = RoutingInstance(configuration_of(2, 'old'), outdated)
    assert await instance.handle() == ResultCode.declaration_outdated
    assert elapsed_s() < _MAX_WAIT_S
    assert instance.forwards == [('old', 2)]


# Guards against CONFIG: an instance that nobody reached for longer than the
# bound went on to route by old rules, although it was told of later ones.
@in_virtual_time
async def test_an_instance_that_misses_a_configuration_does_not_route() -> None:
    """The same instance routes in an outage, and before the bound."""
    instance = RoutingInstance(configuration_of(2, 'old'))
    assert await instance.handle() == SERVED.status
    instance.view.announce_configuration()
    assert await instance.handle() == ResultCode.declaration_outdated
    status = instance.view.status_by_table[CONFIGURATION_TABLE]
    status.confirmed_s = elapsed_s()
    assert await instance.handle() == SERVED.status
    await asyncio.sleep(instance.view.max_source_age_s + _ARRIVAL_S)
    assert await instance.handle() == ResultCode.declaration_outdated


@in_virtual_time
async def test_requests_go_on_while_a_restored_store_is_behind() -> None:
    """Guards against refusals until the operators write again."""
    instance = RoutingInstance(configuration_of(2, 'old'))
    instance.view.announce_configuration()
    instance.view._store_is_behind = True
    assert await instance.handle() == SERVED.status
