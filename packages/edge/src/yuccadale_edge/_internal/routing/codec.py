"""What the request path needs of the protocol that callers and servers speak.

The adapter supplies it; names of headers and fields stay on its side.
"""

from typing import Protocol

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.routing.requests import (
    CallerRequest,
    RoutedRequest,
)
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    Headers,
    AnswerMatcher,
)
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    Reply,
)


class RequestCodec(Protocol):
    """Reads and writes requests and answers."""

    def read_request(self, message: CallerMessage) -> CallerRequest:
        """Decodes what a caller's headers say."""

    def forwarded_headers(self, message: CallerMessage) -> Headers:
        """Returns the headers that go on to the server."""

    def encode_request(
        self, work: RoutedRequest, server: Server, remaining_ms: float
    ) -> bytes:
        """Encodes a request to a server."""

    def answer_matcher(self, request_id: str) -> AnswerMatcher:
        """Returns a check whether an answer belongs to a request."""

    def not_executed(self, answer: Answer) -> bool:
        """Says whether the server states that it did not run the request."""

    def is_misdirected(self, answer: Answer) -> bool:
        """Says whether another server than the named one answered."""

    def reply(self, answer: Answer) -> Reply:
        """Returns the caller's form of a server's answer."""

    def refusal(
        self, request_id: str, code: ResultCode, retry_after_s: float | None
    ) -> Reply:
        """Returns the caller's form of a refusal."""
