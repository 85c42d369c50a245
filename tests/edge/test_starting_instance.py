"""Requests that arrive while an instance starts, after a loss of all instances.

Callers return once or twice after a refusal. At 60 instances that start
together, the configuration is read 0.3 to 1 s after the first request.
"""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from tests.builders.leadership_world import use_virtual_clock
from tests.builders.server_rows import SERVER
from tests.builders.virtual_time import in_virtual_time
from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import CallerLimits, Configuration
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.request_router import RequestRouter
from yuccadale_edge._internal.system_view import SystemView

_LOADED_S = 0.6


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    use_virtual_clock(monkeypatch)


def _router(view: SystemView) -> RequestRouter:
    """Returns a router whose codec returns the code of a refusal."""
    codec = Mock(
        read_request=lambda message: message,
        refusal=lambda _id, code, _retry_after_s: code,
    )
    others = [Mock() for _ in range(2)]
    return RequestRouter(
        view, *others, codec, Metrics(), *(Mock() for _ in range(4))
    )


def _view() -> SystemView:
    return SystemView(Mock(), Mock(), 2.0)


def _request(given_s: float) -> SimpleNamespace:
    now_s = elapsed_s()
    return SimpleNamespace(
        request_id='r',
        host='h',
        path='/',
        key=None,
        deadline_s=now_s + given_s,
        message=SimpleNamespace(arrived_s=now_s),
    )


async def _load(view: SystemView) -> None:
    await asyncio.sleep(_LOADED_S)
    view.configuration = Configuration(1, {}, {}, CallerLimits(1, 1, 1, 1))
    view.servers.server_by_id['s'] = SERVER
    view.wake()


@in_virtual_time
async def test_a_request_waits_for_the_first_configuration() -> None:
    """Guards against refusals that use up the returns of all callers."""
    view = _view()
    loading = asyncio.create_task(_load(view))
    code = await _router(view).handle(_request(given_s=4))  # type: ignore
    await loading
    # The configuration of this test has no routes.
    assert code == ResultCode.declaration_outdated


@in_virtual_time
async def test_a_request_with_little_time_does_not_wait() -> None:
    """Guards against a wait that leaves no time to return."""
    view = _view()
    started_s = elapsed_s()
    code = await _router(view).handle(_request(given_s=1))  # type: ignore
    assert code == ResultCode.no_declaration
    assert elapsed_s() - started_s <= 0.25 + 0.01


@in_virtual_time
async def test_without_a_configuration_requests_wait_only_at_the_start() -> (
    None
):
    """Guards against requests that are held while the store is lost."""
    view = _view()
    router = _router(view)
    await asyncio.sleep(2)
    started_s = elapsed_s()
    code = await router.handle(_request(given_s=4))  # type: ignore
    assert code == ResultCode.no_declaration
    assert elapsed_s() == started_s
