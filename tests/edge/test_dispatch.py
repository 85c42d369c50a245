"""How requests are sent to servers."""

import asyncio
from contextlib import asynccontextmanager
from unittest.mock import AsyncMock, Mock

import pytest

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Place, Server, ServerState
from yuccadale_edge._internal.routing.dispatch import Dispatcher
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.server_availability import ServerAvailability
from yuccadale_edge._internal.transport.client_connection import (
    UNACKNOWLEDGED_S,
    AnswerLostError,
)


@pytest.mark.parametrize('left_s', [0.5, 60.0])
async def test_no_kernel_sends_a_request_after_its_deadline(
    left_s: float,
) -> None:
    """Guards against a request that reaches a server after its deadline.

    The kernel of a process that is stopped went on sending it for 2.5 s.
    """
    connection = Mock(exchange=AsyncMock(side_effect=AnswerLostError))

    @asynccontextmanager
    async def acquire(*_args: object, **_options: object):
        yield connection

    pool = Mock(acquire=acquire)
    server = Mock(server_id='s', incarnation=1, state=ServerState.ready)
    system_view = Mock(
        availability=ServerAvailability(elapsed_s, {'s': server}),
        cold_per_s=lambda _: None,
    )
    dispatcher = Dispatcher(
        system_view, pool, Mock(), Mock(), Mock(), Mock(), Mock()
    )
    await dispatcher._send(
        server,
        Mock(),
        Mock(service='ledger'),
        elapsed_s() + left_s,
        0,
    )
    (_, _, limit_s) = connection.exchange.await_args.args
    assert 0 < limit_s <= min(left_s, UNACKNOWLEDGED_S)


def test_returns_to_a_service_end_with_its_last_server() -> None:
    """Guards against state of services that are gone, kept for ever."""
    server = Server('s', 'gone', ('h', 1), 'a', 1, ServerState.ready, 1, 0)
    server_by_id = {'s': server}
    system_view = Mock(
        servers=Mock(server_by_id=server_by_id),
        availability=ServerAvailability(elapsed_s, server_by_id),
        instance_by_name={},
        configuration=None,
        cold_per_s=lambda _: None,
        servers_to_probe=list,
    )
    dispatcher = Dispatcher(
        system_view, Mock(), Mock(), Mock(), Mock(), Mock(), Mock()
    )
    dispatcher._book_return_s('gone', [server])
    dispatcher.maintain_queues()
    assert dispatcher._returns_by_service
    server_by_id.clear()
    dispatcher.maintain_queues()
    assert not dispatcher._returns_by_service


@pytest.mark.parametrize(
    ('size', 'data_centres', 'chosen'),
    [
        (100, 'ab', {'a', 'b'}),
        (60_000, 'ab', {'a'}),
        (60_000, 'b', {'b'}),
    ],
)
async def test_a_large_body_stays_in_its_region(
    size: int, data_centres: str, chosen: set[str]
) -> None:
    """Guards against a burst of uploads that fills the link between regions."""
    servers = [
        Server(one, 'x', ('h', 1), one, 1, ServerState.ready, 1, 0)
        for one in data_centres
    ]
    system_view = Mock(
        servers=Mock(of=lambda _: servers),
        usable=lambda _: True,
        all_leave=lambda _: False,
    )
    place = Place('a', 'north', {'a': 'north', 'b': 'south'})
    dispatcher = Dispatcher(
        system_view, Mock(), Mock(), Mock(), place, Mock(), Mock()
    )
    request = RoutedRequest(
        'r', 'route', 'x', b'POST', b'/', [], b'x' * size, 0, False, 1, 1, 1
    )
    kept = dispatcher._keep_large_body_in_region(request)
    usable = [one for one in servers if dispatcher._is_usable(one, kept)]
    assert {one.data_centre for one in usable} == chosen


async def test_a_second_attempt_counts_those_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that run more often than their route allows.

    After a server error, a second attempt of the retry was a third one.
    """
    attempts = Mock(may_continue=AsyncMock(return_value=False))
    dispatcher = Dispatcher(
        Mock(), Mock(), Mock(), Mock(), Mock(), Mock(), attempts
    )
    dispatcher._load_choice = Mock(governs=lambda _: True)
    request = Mock(repeatable=True, until_target_ms=100)

    async def serve_at(*_args: object) -> Mock:
        await asyncio.sleep(0.1)
        return Mock(attempts=1)

    monkeypatch.setattr(dispatcher, '_serve_at', serve_at)
    monkeypatch.setattr(dispatcher, '_mean_s', Mock(return_value=0))
    monkeypatch.setattr(dispatcher, '_second_server', Mock())
    await dispatcher._serve_once(Mock(), request, 1, set(), 1)
    attempts.may_continue.assert_awaited_once_with(request, 2)
