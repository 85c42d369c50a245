"""What servers say of themselves in their answers, and what follows here."""

from collections.abc import Callable

import structlog

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.clock import elapsed_s
from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.codec import (
    InvalidLimitError,
    InvalidPauseError,
    RequestCodec,
)
from yuccadale_edge._internal.routing.pacing import ReturnTimes
from yuccadale_edge._internal.routing.rate_limits import RateLimits
from yuccadale_edge._internal.routing.requests import (
    Refused,
    Result,
    RoutedRequest,
    Served,
)
from yuccadale_edge._internal.routing.server_queue import ServiceTimes
from yuccadale_edge._internal.system_view import SystemView
from yuccadale_edge._internal.transport.client_connection import Answer

# Return of a caller when a server leaves. Its keys have another owner, or
# another server of the service has started, within about this time.
_REPLACEMENT_S = 1.0
# A longer pause is cut to this; the next refusal may ask for more.
_MAX_PAUSE_S = 60.0
# Callers of a less urgent priority return this much later after a pause.
_PRIORITY_STEP_S = 0.1
# Part of what a server can run for the returns; the rest is for new requests.
_RETURNS_SHARE = 0.5

_log = structlog.get_logger()


class ServerStatements:
    """Reads the statements in answers, and refuses what they exclude."""

    def __init__(
        self,
        system_view: SystemView,
        codec: RequestCodec,
        metrics: Metrics,
        rate_limits: RateLimits,
        service_times: ServiceTimes,
        on_blocked: Callable[[], None],
    ) -> None:
        """Creates the reader of one instance.

        Args:
            system_view: keeps the statements.
            codec: decodes them.
            metrics: counts them.
            rate_limits: the limits that servers name.
            service_times: for the returns of callers after a pause.
            on_blocked: called when a server takes no more requests.
        """
        self._system_view = system_view
        self._codec = codec
        self._metrics = metrics
        self._rate_limits = rate_limits
        self._service_times = service_times
        self._on_blocked = on_blocked
        self._returns: dict[tuple[Holder, int], ReturnTimes] = {}
        self._invalid_logged: set[Holder] = set()

    def observe(self, server: Server, answer: Answer, sent_s: float) -> None:
        """Applies an answer to a request that was sent to a server.

        A refusal of another server at the address counts, too: the incarnation
        that was meant has ended, and no other one inherits what was said.

        Args:
            server: to which the request was sent.
            answer: to the request.
            sent_s: when it was sent.
        """
        if self._codec.says_it_leaves(answer):
            self._mark_leaving(Holder(server.server_id, server.incarnation))
        self._observe_pause(server, answer)
        self._observe_limit(server, answer, sent_s)

    def observe_forwarded(self, result: Result) -> None:
        """Applies an answer that another instance received."""
        if isinstance(result, Served) and self._codec.says_it_leaves(
            result.answer
        ):
            self._mark_leaving(Holder(result.server_id, result.incarnation))

    def refusal(self, server: Server, request: RoutedRequest) -> Refused | None:
        """Returns the refusal of a request; None if it may be sent."""
        holder = Holder(server.server_id, server.incarnation)
        code = self.refusal_code(holder)
        if code is None:
            return None
        if code == ResultCode.server_paused:
            return Refused(
                code,
                'the server has asked for a pause',
                self._book_return_s(server, request),
                server.server_id,
            )
        return Refused(
            code,
            'the server leaves or has left',
            _REPLACEMENT_S,
            server.server_id,
        )

    def first_return(
        self, servers: list[Server], request: RoutedRequest
    ) -> Refused | None:
        """Returns the refusal by the server whose pause ends first.

        Returns:
            None if there is no server, or one of them takes requests.
        """
        availability = self._system_view.availability

        def pause_left_s(server: Server) -> float:
            return availability.pause_left_s(
                Holder(server.server_id, server.incarnation)
            )

        first = min(servers, key=pause_left_s, default=None)
        return None if first is None else self.refusal(first, request)

    def refusal_code(self, holder: Holder) -> ResultCode | None:
        """Returns why no request may be sent; None if it may."""
        return self._system_view.availability.obstacle(holder)

    def keep_only(self, holders: set[Holder]) -> None:
        """Forgets servers that are gone."""
        self._system_view.availability.forget_ended(holders)
        self._invalid_logged &= holders
        self._returns = {
            key: times
            for key, times in self._returns.items()
            if key[0] in holders
        }

    def _book_return_s(self, server: Server, request: RoutedRequest) -> float:
        """Returns when a caller may return to a server after its pause."""
        holder = Holder(server.server_id, server.incarnation)
        left_s = self._system_view.availability.pause_left_s(holder)
        returns = self._returns.setdefault(
            (holder, request.priority), ReturnTimes(elapsed_s)
        )
        per_s = server.slots / self._service_times.mean_s(request.route)
        return returns.book_s(
            per_s * _RETURNS_SHARE, left_s + request.priority * _PRIORITY_STEP_S
        )

    def _observe_pause(self, server: Server, answer: Answer) -> None:
        try:
            for_s = self._codec.requested_pause_s(answer)
        except InvalidPauseError as error:
            self._count_invalid_pause(server, str(error))
            return
        if not for_s:
            return
        if for_s > _MAX_PAUSE_S:
            self._count_invalid_pause(server, f'{for_s:g} s is too long')
            for_s = _MAX_PAUSE_S
        holder = Holder(server.server_id, server.incarnation)
        if self._system_view.availability.mark_paused(holder, for_s):
            self._metrics.count('server_pauses', service=server.service)
            _log.info(
                'server asks for a pause', server=server.server_id, for_s=for_s
            )
            self._on_blocked()

    def _count_invalid_pause(self, server: Server, reason: str) -> None:
        self._metrics.count('invalid_server_pauses', service=server.service)
        holder = Holder(server.server_id, server.incarnation)
        if holder not in self._invalid_logged:
            self._invalid_logged.add(holder)
            _log.warning(
                'invalid pause of a server shortened or ignored',
                server=server.server_id,
                reason=reason,
            )

    def _mark_leaving(self, holder: Holder) -> None:
        if self._system_view.availability.mark_leaving(holder):
            self._metrics.count('servers_leaving_by_answer')
            self._on_blocked()
            self._system_view.wake()

    def _observe_limit(
        self, server: Server, answer: Answer, sent_s: float
    ) -> None:
        try:
            per_s = self._codec.named_limit(answer)
        except InvalidLimitError as error:
            self._rate_limits.count_invalid(server, str(error))
            return
        if per_s is None and self._codec.is_misdirected(answer):
            # Only a request that ran shows that a limit ended.
            return
        self._rate_limits.observe(server, per_s, sent_s)
