"""A caller's request, what became of it at a server, and refusals."""

from dataclasses import dataclass

import msgspec

from yuccadale_core.codes import CODE_TABLE, Outcome, ResultCode
from yuccadale_edge._internal.transport.client_connection import Answer
from yuccadale_edge._internal.transport.server_connection import CallerMessage


class RoutedRequest(msgspec.Struct, array_like=True):
    """A request on its way to a server; also sent between instances.

    Attributes:
        request_id: the caller's id of this attempt.
        key: the key that it is about, None for services without keys.
        server_id: the owner, None when the sending instance chooses.
        remaining_ms: time until the caller or the route gives up.
        expected_ms: time until which an answer is worth most.
        returned: whether the caller was refused before and came back.
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
    expected_ms: float
    max_attempts: int
    key: int | None = None
    server_id: str | None = None
    incarnation: int = 0
    returned: bool = False


class Refused(msgspec.Struct, array_like=True, tag=True):
    """No server's answer: why, and whether the work may have run.

    Attributes:
        code: the numbered reason.
        retry_after_s: when to come back, None when that is not known.
        server_id: the server that the decision was about.
        arrivals: how many servers were sent the request.
    """

    code: int
    detail: str
    retry_after_s: float | None = None
    server_id: str = ''
    arrivals: int = 0

    @property
    def outcome(self) -> Outcome:
        """Whether the work ran."""
        return CODE_TABLE[ResultCode(self.code)].outcome


class Served(msgspec.Struct, array_like=True, tag=True):
    """A server's complete answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    server_id: str
    arrivals: int
    waited_ms: float
    worked_ms: float

    @property
    def answer(self) -> Answer:
        """The answer in the transport's form."""
        return Answer(self.status, self.headers, self.body)


Result = Served | Refused


@dataclass(slots=True)
class CallerRequest:
    """A caller's request with what its headers say.

    Attributes:
        deadline_s: when the caller gives up, on the clock of leases; None
            when it does not say.
        key: the key that the request is about, None when it names none.
    """

    message: CallerMessage
    request_id: str
    host: str
    path: str
    deadline_s: float | None
    key: int | None
