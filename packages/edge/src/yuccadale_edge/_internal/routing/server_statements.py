"""What servers say of themselves in their answers, and what follows here."""

from collections.abc import Callable

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.codec import (
    InvalidLimitError,
    RequestCodec,
)
from yuccadale_edge._internal.routing.rate_limits import RateLimits
from yuccadale_edge._internal.routing.requests import Refused, Result, Served
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.transport.client_connection import Answer

# Return of a caller when a server leaves. Its keys have another owner, or
# another server of the service has started, within about this time.
_REPLACEMENT_S = 1.0


class ServerStatements:
    """Reads the statements in answers, and refuses what they exclude."""

    def __init__(
        self,
        system_view: SystemView,
        codec: RequestCodec,
        metrics: Metrics,
        rate_limits: RateLimits,
        on_blocked: Callable[[], None],
    ) -> None:
        """Creates the reader of one instance.

        Args:
            system_view: keeps the statements.
            codec: decodes them.
            metrics: counts them.
            rate_limits: the limits that servers name.
            on_blocked: called when a server takes no more requests.
        """
        self._system_view = system_view
        self._codec = codec
        self._metrics = metrics
        self._rate_limits = rate_limits
        self._on_blocked = on_blocked

    def observe(self, server: Server, answer: Answer, sent_s: float) -> None:
        """Applies an answer of a server to a request that was sent then."""
        if self._codec.says_it_leaves(answer):
            # A refusal of another server at the address counts, too: the one
            # that was meant has ended.
            self._mark_leaving(Holder(server.server_id, server.incarnation))
        self._observe_limit(server, answer, sent_s)

    def observe_forwarded(self, result: Result) -> None:
        """Applies an answer that another instance received."""
        if isinstance(result, Served) and self._codec.says_it_leaves(
            result.answer
        ):
            self._mark_leaving(Holder(result.server_id, result.incarnation))

    def refusal(self, server: Server) -> Refused | None:
        """Returns the refusal of a request; None if it may be sent."""
        code = self.refusal_code(Holder(server.server_id, server.incarnation))
        if code is None:
            return None
        return Refused(
            code,
            'the server says that it leaves',
            _REPLACEMENT_S,
            server.server_id,
        )

    def refusal_code(self, holder: Holder) -> ResultCode | None:
        """Returns why no request may be sent; None if it may."""
        if self._system_view.availability.said_it_leaves(holder):
            return ResultCode.server_draining
        return None

    def _mark_leaving(self, holder: Holder) -> None:
        if self._system_view.availability.mark_leaving(holder):
            self._metrics.count('servers_leaving_by_answer')
            self._on_blocked()
            self._system_view.wake()

    def _observe_limit(
        self, server: Server, answer: Answer, sent_s: float
    ) -> None:
        if self._codec.is_misdirected(answer):
            # Another server may have answered at this address.
            return
        try:
            per_s = self._codec.named_limit(answer)
        except InvalidLimitError as error:
            self._rate_limits.count_invalid(server, str(error))
            return
        self._rate_limits.observe(server, per_s, sent_s)
