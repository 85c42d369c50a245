"""Interface to the protocol of callers and servers.

The adapter implements it and alone knows the names of headers.
"""

from typing import NamedTuple, Protocol

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.routing.requests import (
    CallerRequest,
    RoutedRequest,
)
from yuccadale_edge._internal.transport.client_connection import (
    Answer,
    Headers,
)
from yuccadale_edge._internal.transport.server_connection import (
    CallerMessage,
    Reply,
)


class InvalidLimitError(ValueError):
    """A server named a limit that is no number of requests a second."""


class InvalidWarmUpError(ValueError):
    """A health response names a remaining cold period that is no duration."""


class InvalidPauseError(ValueError):
    """A server asked for a pause with a value that is no duration."""


class InvalidLoadError(ValueError):
    """A server reported its load with a value that cannot be read."""


class ServerLoad(NamedTuple):
    """What a server reports of its load.

    Attributes:
        running: requests that use a slot.
        waiting: requests in its own queue.
        slots: requests that it handles at the same time.
        pace: how many times longer than usual work takes now.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class RequestCodec(Protocol):
    """Decodes and encodes requests and answers."""

    def read_request(self, message: CallerMessage) -> CallerRequest:
        """Decodes the headers of a caller's request."""

    def forwarded_headers(self, message: CallerMessage) -> Headers:
        """Returns the headers to send to the server."""

    def encode_head(
        self, request: RoutedRequest, server: Server, remaining_ms: float
    ) -> bytes:
        """Encodes what is before the body of a request to a server.

        Args:
            request: the request.
            server: the server.
            remaining_ms: the time that the server has.
        """

    def named_request(self, answer: Answer) -> str | None:
        """Returns the id of the request that an answer names, if any."""

    def not_executed(self, answer: Answer) -> bool:
        """Whether the server states that it did not run the request."""

    def is_misdirected(self, answer: Answer) -> bool:
        """Whether the server does not own the key or is another one."""

    def named_limit(self, answer: Answer) -> float | None:
        """Returns the requests a second that the server takes from all.

        Returns:
            None if the answer names no limit.

        Raises:
            InvalidLimitError: the limit is no usable number.
        """

    def requested_pause_s(self, answer: Answer) -> float | None:
        """Returns for how long the server wants no requests from here.

        Returns:
            None if the answer does not ask for a pause.

        Raises:
            InvalidPauseError: the duration cannot be read.
        """

    def reported_load(self, answer: Answer) -> ServerLoad | None:
        """Returns the load that the server reports.

        Returns:
            None if the answer reports none.

        Raises:
            InvalidLoadError: the report cannot be read.
        """

    def encode_health_request(self, server: Server, path: str) -> bytes:
        """Encodes a health request.

        Args:
            server: the server.
            path: the health path of its service.
        """

    def remaining_warm_up_s(self, answer: Answer) -> float | None:
        """Returns for how long a server is cold, by its health response.

        Returns:
            None if the answer does not say that.

        Raises:
            InvalidWarmUpError: the duration cannot be read.
        """

    def says_it_leaves(self, answer: Answer) -> bool:
        """Whether the server says that it leaves."""

    def reply(self, answer: Answer) -> Reply:
        """Converts a server's answer to a reply to the caller."""

    def refusal(
        self, request_id: str, code: ResultCode, retry_after_s: float | None
    ) -> Reply:
        """Returns the reply to the caller for a refused request."""
