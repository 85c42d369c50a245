"""Counts how often a caller's request is sent to servers.

The instance that took the request counts, since the one that sends may be lost
before it reports its attempts. It allows one attempt with each request that it
forwards, and is asked before each further one. What it has allowed counts when
no report comes back.
"""

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from yuccadale_edge._internal.membership.links import (
    LinkLostError,
    PeerLinks,
    PeerUnreachableError,
)
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.routing.retry_budget import RetryBudgetLookup
from yuccadale_edge._internal.system_view import SystemView

ATTEMPT_TOPIC = 'attempt'

# Ids are not repeated after a restart.
_ID_BITS = 63
_ANSWER_TIMEOUT_S = 0.5

_encode = msgspec.msgpack.Encoder().encode
_decode_sending_id = msgspec.msgpack.Decoder(int).decode
_decode_allowed = msgspec.msgpack.Decoder(bool).decode


@dataclass(slots=True)
class Allowance:
    """The attempts of one sending of a request.

    Attributes:
        service: the service that gets the request.
        limit: how many attempts its route leaves.
        allowed: how many were allowed so far.
    """

    service: str
    limit: int
    allowed: int = 1


class Attempts:
    """Allows attempts at requests that this instance took, and asks others."""

    def __init__(
        self,
        system_view: SystemView,
        links: PeerLinks,
        metrics: Metrics,
        instance: str,
        retry_budget_for: RetryBudgetLookup,
    ) -> None:
        """Creates the counter of one instance.

        Args:
            system_view: the roster.
            links: connections to the other instances.
            metrics: counts retries.
            instance: its name.
            retry_budget_for: returns the retry budget of a service.
        """
        self._system_view = system_view
        self._links = links
        self._metrics = metrics
        self._instance = instance
        self._retry_budget_for = retry_budget_for
        self._allowance_by_id: dict[int, Allowance] = {}

    def count_request(self, service: str) -> None:
        """Counts a new request of a caller for the retry budget."""
        self._retry_budget_for(service).count_request()

    @contextmanager
    def allowance(
        self, request: RoutedRequest, limit: int
    ) -> Iterator[Allowance]:
        """Allows one attempt, and more if asked while the block runs."""
        request.entry = self._instance
        request.sending_id = random.getrandbits(_ID_BITS)
        request.allowed_attempts = 1
        allowance = Allowance(request.service, limit)
        self._allowance_by_id[request.sending_id] = allowance
        try:
            yield allowance
        finally:
            self._allowance_by_id.pop(request.sending_id)

    async def may_continue(self, request: RoutedRequest, made: int) -> bool:
        """Whether a request may be sent again after some attempts."""
        if not request.entry:
            # An entry instance of an earlier version allows all attempts in
            # advance and leaves the budget to the sender.
            return made < request.allowed_attempts and self._allow_retry(
                request.service
            )
        if made < request.allowed_attempts:
            return True
        if not await self._is_allowed(request):
            return False
        request.allowed_attempts += 1
        return True

    def spend_retry(self, service: str) -> bool:
        """Counts one retry; returns false when the budget is exhausted."""
        if self._retry_budget_for(service).try_spend():
            return True
        self._count_retry(service, 'budget spent')
        return False

    def handle(self, body: bytes) -> bytes:
        """Answers an instance that asks for one more attempt."""
        return _encode(self._allow(_decode_sending_id(body)))

    def _allow(self, sending_id: int) -> bool:
        allowance = self._allowance_by_id.get(sending_id)
        if allowance is None or allowance.allowed >= allowance.limit:
            return False
        if not self._allow_retry(allowance.service):
            return False
        allowance.allowed += 1
        return True

    def _allow_retry(self, service: str) -> bool:
        if not self.spend_retry(service):
            return False
        self._count_retry(service, 'allowed')
        return True

    async def _is_allowed(self, request: RoutedRequest) -> bool:
        if request.entry == self._instance:
            return self._allow(request.sending_id)
        entry = self._system_view.instance_by_name.get(request.entry)
        if entry is None:
            return False
        try:
            # Also limits the time to dial.
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await self._links.request(
                    entry.address,
                    ATTEMPT_TOPIC,
                    _encode(request.sending_id),
                    _ANSWER_TIMEOUT_S,
                    _decode_allowed,
                )
        except (LinkLostError, PeerUnreachableError, TimeoutError):
            self._count_retry(request.service, 'entry not reached')
            return False

    def _count_retry(self, service: str, outcome: str) -> None:
        self._metrics.count('retry', service=service, outcome=outcome)
