"""Limits that servers name for the requests a second from all instances."""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder

_log = structlog.get_logger()


@dataclass(slots=True)
class _Limit:
    """What is known about the limit of a server.

    Attributes:
        per_s: requests a second from all instances.
        since_s: when the limit was first known.
        named_s: when an answer last named it.
    """

    per_s: float
    since_s: float
    named_s: float


class RateLimits:
    """The limits that servers named in their answers."""

    def __init__(self, metrics: Metrics, now: Callable[[], float]) -> None:
        self._metrics = metrics
        self._now = now
        self._limit_by_holder: dict[Holder, _Limit] = {}
        self._invalid_logged: set[Holder] = set()

    def per_s(self, holder: Holder) -> float | None:
        """Returns the limit of a server, None if it named none."""
        limit = self._limit_by_holder.get(holder)
        return None if limit is None else limit.per_s

    def observe(
        self, server: Server, per_s: float | None, sent_s: float
    ) -> None:
        """Applies what an answer says.

        Args:
            server: the server that answered.
            per_s: the limit that the answer names, None if it names none.
            sent_s: when the request was sent.
        """
        holder = Holder(server.server_id, server.incarnation)
        limit = self._limit_by_holder.get(holder)
        now_s = self._now()
        if per_s is not None:
            if limit is None or limit.per_s != per_s:
                self._record(holder, limit, per_s)
            else:
                limit.named_s = now_s
        elif limit is not None and sent_s > limit.named_s:
            # Answers may overtake each other: only a request that was sent
            # after the limit was named shows that it ended.
            self._end(holder, limit)

    def count_sent(self, server: Server) -> None:
        """Counts a request that is sent while the server names a limit."""
        holder = Holder(server.server_id, server.incarnation)
        if holder in self._limit_by_holder:
            self._metrics.count('limited_sends', server=server.server_id)

    def count_invalid(self, server: Server, reason: str) -> None:
        """Counts a limit that is no number; logs the first of a server."""
        self._metrics.count('invalid_server_limits', service=server.service)
        holder = Holder(server.server_id, server.incarnation)
        if holder not in self._invalid_logged:
            self._invalid_logged.add(holder)
            _log.warning(
                'invalid server limit ignored',
                server=server.server_id,
                reason=reason,
            )

    def keep_only(self, holders: set[Holder]) -> None:
        """Forgets servers that are not registered any more."""
        self._invalid_logged &= holders
        for holder in self._limit_by_holder.keys() - holders:
            self._end(holder, self._limit_by_holder[holder])

    def _record(
        self, holder: Holder, known: _Limit | None, per_s: float
    ) -> None:
        now_s = self._now()
        since_s = now_s if known is None else known.since_s
        self._limit_by_holder[holder] = _Limit(per_s, since_s, now_s)
        self._metrics.gauge(
            'server_limit_per_s', per_s, server=holder.server_id
        )
        if known is None:
            _log.info(
                'server limit learned', server=holder.server_id, per_s=per_s
            )
        else:
            _log.info(
                'server limit changed',
                server=holder.server_id,
                per_s=per_s,
                previous_per_s=known.per_s,
                age_s=round(now_s - since_s, 3),
            )

    def _end(self, holder: Holder, limit: _Limit) -> None:
        self._limit_by_holder.pop(holder)
        self._metrics.remove_gauge(
            'server_limit_per_s', server=holder.server_id
        )
        _log.info(
            'server limit ended',
            server=holder.server_id,
            per_s=limit.per_s,
            age_s=round(self._now() - limit.since_s, 3),
        )
