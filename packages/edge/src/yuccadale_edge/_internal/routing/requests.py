"""Requests of callers, answers of servers and refusals."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from yuccadale_core.codes import CODE_TABLE, Outcome, ResultCode
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_edge._internal.transport.server_connection import CallerMessage

# Checked by the receiving instance: another one cannot be a complete answer.
_FinalStatus = Annotated[int, msgspec.Meta(ge=200, le=599)]


class RoutedRequest(msgspec.Struct, array_like=True):
    """A request for a server; also sent between instances.

    Attributes:
        request_id: the caller's id of this attempt.
        remaining_ms: time until the deadline.
        until_target_ms: time until the target latency of the route.
        allowed_attempts: how many times the request may be sent to a server
            before its entry instance is asked again.
        key: None for services without keys.
        server_id: the owner of the key, None when the sender may choose.
        incarnation: the incarnation of the owner.
        caller_retry: whether the caller sends the request again.
        forwards: how many times instances forwarded it.
        entry: the instance that took it from the caller; empty if that runs an
            earlier version.
        sending_id: under which the entry instance counts its attempts.
        regions: that may serve it and get its body; all if empty.
        configuration: version by which its service was chosen; 0 if the entry
            instance runs an earlier version.
    """

    request_id: str
    route: str
    service: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    priority: int
    repeatable: bool
    remaining_ms: float
    until_target_ms: float
    allowed_attempts: int
    key: int | None = None
    server_id: str | None = None
    incarnation: int = 0
    caller_retry: bool = False
    forwards: int = 0
    entry: str = ''
    sending_id: int = 0
    regions: tuple[str, ...] = ()
    configuration: int = 0


class Refused(msgspec.Struct, array_like=True, tag=True):
    """A request without an answer of a server.

    Attributes:
        code: the reason, a ``ResultCode``.
        retry_after_s: when the caller may retry, None if unknown.
        server_id: the server that was tried, empty if none was.
        attempts: how many times the request was sent to a server.
        waited_ms: time in the queue that refused it, None if unknown.
    """

    code: int
    detail: str
    retry_after_s: float | None = None
    server_id: str = ''
    attempts: int = 0
    waited_ms: float | None = None

    @property
    def outcome(self) -> Outcome:
        """Whether the request ran, did not run or may have run."""
        return CODE_TABLE[ResultCode(self.code)].outcome


class Served(msgspec.Struct, array_like=True, tag=True):
    """The complete answer of a server.

    Attributes:
        attempts: how many times the request was sent to a server.
        waited_ms: time in the queue of the server.
        service_ms: time from sending the request to its answer.
        incarnation: of the server.
    """

    status: _FinalStatus
    headers: list[tuple[bytes, bytes]]
    body: bytes
    server_id: str
    attempts: int
    waited_ms: float
    service_ms: float
    incarnation: int = 0

    @property
    def answer(self) -> Answer:
        """The answer as the transport represents it."""
        return Answer(self.status, self.headers, self.body)


Result = Served | Refused


@dataclass(slots=True)
class CallerRequest:
    """A caller's request with its decoded headers.

    Attributes:
        deadline_s: the caller's deadline, on the clock of ``elapsed_s``; None
            if it sets none.
        key: None if the request has no valid key.
    """

    message: CallerMessage
    request_id: str
    host: str
    path: str
    deadline_s: float | None
    key: int | None
