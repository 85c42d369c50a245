"""Attempts that the instance that took a request allows."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import AsyncMock, Mock

import msgspec
import pytest

from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerUnreachableError,
)
from yuccadale_edge._internal.model import Bounds
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.attempts import Attempts
from yuccadale_edge._internal.routing.forwarding import (
    decode_request,
    encode_message,
)
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.routing.retry_budget import RetryBudget

SERVICE = 'stage'
ROUTE_ATTEMPTS = 3
# Fields that an instance of an earlier version does not send.
_ADDED_FIELDS = 2


def _attempts(links: object, retries: int = 10) -> Attempts:
    # An instance spends half of its part.
    budget = RetryBudget(
        Bounds(retry_ratio=0, min_retries=2 * retries), elapsed_s
    )
    entry = Mock(address=('entry', 1))
    view = Mock(instance_by_name={'entry': entry})
    return Attempts(view, links, Metrics(), 'entry', lambda _service: budget)


def _request(allowed: int = 1) -> RoutedRequest:
    return RoutedRequest(
        request_id='r1',
        route='open',
        service=SERVICE,
        method=b'GET',
        target=b'/x',
        headers=[],
        body=b'',
        priority=0,
        repeatable=True,
        remaining_ms=1000,
        until_target_ms=300,
        allowed_attempts=allowed,
    )


@contextmanager
def _sending(
    entry: Attempts, limit: int = ROUTE_ATTEMPTS
) -> Iterator[tuple[RoutedRequest, bytes]]:
    """Yields a request under way, and the message that asks for an attempt."""
    request = _request()
    with entry.allowance(request, limit):
        yield request, msgspec.msgpack.encode(request.sending_id)


def _is_allowed(entry: Attempts, question: bytes) -> bool:
    return msgspec.msgpack.decode(entry.handle(question))


async def test_the_entry_allows_the_attempts_of_the_route() -> None:
    """Guards against a sender that makes more attempts than its route has."""
    entry = _attempts(Mock())
    with _sending(entry) as (_, question):
        answers = [_is_allowed(entry, question) for _ in range(4)]
    assert answers == [True, True, False, False]


async def test_an_ended_sending_is_allowed_nothing() -> None:
    """Guards against attempts of a sender that was given up and goes on."""
    entry = _attempts(Mock())
    with _sending(entry) as (_, question):
        assert _is_allowed(entry, question)
    assert not _is_allowed(entry, question)
    with _sending(entry):
        assert not _is_allowed(entry, question)


async def test_the_budget_of_the_entry_is_spent() -> None:
    """Guards against retries that only their sender counts."""
    entry = _attempts(Mock(), retries=1)
    with _sending(entry) as (_, question):
        assert _is_allowed(entry, question)
        assert not _is_allowed(entry, question)
    assert not entry.spend_retry(SERVICE)


async def test_an_allowed_attempt_that_was_not_sent_is_used() -> None:
    """Guards against attempts that are lost to servers out of reach."""
    entry = _attempts(Mock())
    with _sending(entry, 2) as (request, _):
        assert await entry.may_continue(request, 1)
        # The second server could not be reached.
        assert await entry.may_continue(request, 1)
        assert not await entry.may_continue(request, 2)


@pytest.mark.parametrize(
    'error', [LinkLostError('lost'), PeerUnreachableError('refused')]
)
async def test_no_attempt_is_made_without_an_answer(error: Exception) -> None:
    """Guards against an attempt that the entry does not know of."""
    links = Mock(request=AsyncMock(side_effect=error))
    sender = _attempts(links)
    request = _request()
    request.entry = 'entry'
    sender._instance = 'sender'
    assert not await sender.may_continue(request, 1)
    assert sender._metrics.value(
        'retry', service=SERVICE, outcome='entry not reached'
    )


async def test_a_request_of_an_earlier_version_has_its_attempts() -> None:
    """Guards against a failure while instances of two versions run."""
    fields = msgspec.msgpack.decode(encode_message(_request(2)))
    earlier = msgspec.msgpack.encode(fields[:-_ADDED_FIELDS])
    request = decode_request(earlier)
    sender = _attempts(Mock())
    assert await sender.may_continue(request, 1)
    assert not await sender.may_continue(request, 2)
