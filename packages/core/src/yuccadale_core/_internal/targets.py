"""Interface to servers: fenced grants, requests, cancellation, load."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from expression import Result


def _always() -> bool:
    return True


class TargetFailureKind(StrEnum):
    """Why a call to a server gave no answer.

    ``not_sent`` is used only when no byte of the request left this process,
    ``refused`` only when the server itself said that it did not run it.
    """

    not_sent = 'not sent'
    refused = 'refused'
    shedding = 'shedding'
    draining = 'draining'
    lost = 'lost'
    malformed = 'malformed'


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """A failed call to a server."""

    kind: TargetFailureKind
    detail: str
    highest_token: int | None = None
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Ticket:
    """A server's own monotonic time, in milliseconds, and its incarnation."""

    incarnation: str
    issued_ms: float


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to own slots for a while.

    Attributes:
        token: fencing token of the leader.
        ticket: the server's latest ticket; the lifetime counts from it.
        ttl_ms: lifetime in milliseconds.
        slots: all slots that the server may own, not a difference.
        sequence: rises with each grant under one token.
        holder: name and incarnation of the leader.
        gap: whether records of requests may be missing at the standby.
        retained: slots that are the server's own but may not be served now;
            the server reports them with its last grant.
    """

    holder: str
    token: int
    ticket: Ticket
    ttl_ms: float
    slots: tuple[int, ...]
    sequence: int
    gap: bool = False
    retained: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class LastGrant:
    """What a server reports about the newest grant that it accepted."""

    holder: str
    token: int
    sequence: int
    slots: tuple[int, ...]
    live: bool
    gap: bool


@dataclass(frozen=True, slots=True)
class GrantAnswer:
    """A server's answer to a grant.

    Attributes:
        accepted: whether the grant is in force.
        ticket: a fresh ticket for the next grant.
        highest_token: the highest token that the server has accepted.
        ready_in_ms: time until new slots are served, 0 when they are.
        last_grant: the newest accepted grant before this call.
    """

    accepted: bool
    ticket: Ticket
    highest_token: int
    ready_in_ms: float = 0
    last_grant: LastGrant | None = None


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a server.

    Attributes:
        request_id: the idempotency key, or an id made by the entry instance.
        remaining_ms: time left until the deadline.
        permitted: asked again directly before the first byte is written,
            after a connection was made; when it is false nothing is sent.
    """

    request_id: str
    service: str
    key: str
    slot: int
    token: int
    method: str
    path: str
    remaining_ms: float
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    permitted: Callable[[], bool] = _always


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A complete answer of a server."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ServerOutcome(StrEnum):
    """What a server says about a request id."""

    done = 'done'
    running = 'running'
    not_run = 'not run'
    not_offered = 'not offered'


@dataclass(frozen=True, slots=True)
class OutcomeAnswer:
    """A server's record about a request id, with its answer when done.

    Attributes:
        remembered_ms: how long the server has recorded ids without a break,
            None when it does not say; ``not offered`` from a server that was
            restarted says nothing about earlier requests.
    """

    outcome: ServerOutcome
    answer: TargetAnswer | None = None
    remembered_ms: float | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's own report; it lags or misleads."""

    running: int
    load: float
    draining: bool


class Target(Protocol):
    """One server."""

    async def hello(self) -> Result[GrantAnswer, TargetFailure]:
        """Asks for a ticket and the server's last grant."""

    async def grant(self, grant: Grant) -> Result[GrantAnswer, TargetFailure]:
        """Offers a grant."""

    async def run(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, TargetFailure]:
        """Sends a request once and waits for its complete answer."""

    async def cancel(self, request_id: str) -> None:
        """Asks the server to give a request up."""

    async def outcome(
        self, request_id: str
    ) -> Result[OutcomeAnswer, TargetFailure]:
        """Asks what became of a request id."""

    async def load(self) -> Result[LoadReport, TargetFailure]:
        """Reads the server's load report."""
