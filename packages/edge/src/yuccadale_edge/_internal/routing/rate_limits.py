"""Limits that servers name for the requests a second from all instances.

One instance sends to a limited server, so that the limit holds for the sum of
all requests and is used whoever asks. For a moment instances may disagree on
the sender; see ``LIMIT_SHARES``. All instances know all limits, so that any of
them can become the sender.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

import msgspec
import structlog

from yuccadale_edge._internal.model import Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder

_log = structlog.get_logger()

# A server that takes fewer requests still gets these: its answers show when
# the limit ends.
_MIN_PER_S = 0.25
# After a limit ended, the rate doubles in this time until it is above
# ``_UNLIMITED_PER_S``.
_DOUBLING_S = 0.25
_UNLIMITED_PER_S = 1000.0
# An ended limit is remembered for this time, to recognise late messages.
_ENDED_RETENTION_S = 10.0
# Keys move for a limit that holds for this long, and do not move back for as
# long as ended limits are remembered.
_PLANNING_DELAY_S = 1.0


class LimitNotice(msgspec.Struct, array_like=True, frozen=True):
    """What an instance tells the others about the limit of a server.

    Attributes:
        per_s: requests a second; None if the limit ended.
        age_s: time since an answer of the server showed it.
    """

    server_id: str
    incarnation: int
    per_s: float | None
    age_s: float

    def __post_init__(self) -> None:
        """Rejects values that no instance sends."""
        per_s = 0 if self.per_s is None else self.per_s
        if not (0 <= per_s < inf and 0 <= self.age_s < inf):
            raise ValueError('a limit or its age is out of range')


@dataclass(slots=True)
class _Limit:
    """What is known about the limit of a server.

    Attributes:
        per_s: requests a second from all instances.
        since_s: when the limit was first known.
        shown_s: when an answer last showed it, or its end.
        direct: whether this instance received that answer.
        ended: whether the server no longer names it.
    """

    per_s: float
    since_s: float
    shown_s: float
    direct: bool
    ended: bool = False


class RateLimits:
    """The limits that servers named in their answers."""

    def __init__(self, metrics: Metrics, now: Callable[[], float]) -> None:
        self._metrics = metrics
        self._now = now
        self._limit_by_holder: dict[Holder, _Limit] = {}
        self._invalid_logged: set[Holder] = set()
        self._changed: set[Holder] = set()

    def per_s(self, holder: Holder) -> float | None:
        """Returns the limit of a server, None if it names none."""
        limit = self._limit_by_holder.get(holder)
        return None if limit is None or limit.ended else limit.per_s

    def restricts(self, holder: Holder) -> bool:
        """Whether a limit holds, or has ended lately."""
        return holder in self._limit_by_holder

    def sending_rate(self, holder: Holder, share: float) -> float:
        """Returns how many requests a second this instance may send.

        Args:
            holder: the server.
            share: the part of a limit that this instance may use.
        """
        limit = self._limit_by_holder.get(holder)
        if limit is None:
            return inf
        per_s = max(limit.per_s, _MIN_PER_S)
        if limit.ended:
            doublings = (self._now() - limit.shown_s) / _DOUBLING_S
            per_s *= 2 ** min(doublings, _ENDED_RETENTION_S / _DOUBLING_S)
            return inf if per_s > _UNLIMITED_PER_S else per_s
        return per_s * share

    def planning_rate_by_holder(self) -> dict[Holder, float]:
        """Returns the limits, in requests a second, for which keys move."""
        known_before_s = self._now() - _PLANNING_DELAY_S
        return {
            holder: limit.per_s
            for holder, limit in self._limit_by_holder.items()
            if limit.since_s <= known_before_s
        }

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
        if per_s is not None:
            self._show(holder, per_s, self._now(), direct=True)
        elif limit is not None and not limit.ended and sent_s > limit.shown_s:
            # Answers may overtake each other: only a request that was sent
            # after the limit was named shows that it ended.
            self._end(holder, limit, self._now(), direct=True)

    def apply(self, notices: Iterable[LimitNotice]) -> None:
        """Applies what another instance tells."""
        now_s = self._now()
        for notice in notices:
            holder = Holder(notice.server_id, notice.incarnation)
            limit = self._limit_by_holder.get(holder)
            shown_s = now_s - notice.age_s
            # A late message looks newer than it is; the next answer to the
            # sender of the server corrects it, here or by another message.
            if limit is None or shown_s > limit.shown_s:
                self._apply_newer(holder, notice.per_s, shown_s)

    def take_notices(self, *, repeat: bool) -> list[LimitNotice]:
        """Returns the changes since the last call to tell the others.

        Args:
            repeat: add all limits that answers to this instance showed last.
        """
        holders = set(self._changed)
        self._changed.clear()
        if repeat:
            holders.update(
                holder
                for holder, limit in self._limit_by_holder.items()
                if limit.direct
            )
        now_s = self._now()
        return [
            LimitNotice(
                *holder,
                None if limit.ended else limit.per_s,
                now_s - limit.shown_s,
            )
            for holder, limit in self._limit_by_holder.items()
            if holder in holders
        ]

    def count_sent(self, server: Server) -> None:
        """Counts a request that is sent while the server names a limit."""
        if self.per_s(Holder(server.server_id, server.incarnation)) is not None:
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
        """Forgets servers that are gone, and limits that ended long ago."""
        self._invalid_logged &= holders
        oldest_s = self._now() - _ENDED_RETENTION_S
        for holder, limit in list(self._limit_by_holder.items()):
            gone = holder not in holders
            if gone and not limit.ended:
                self._end(holder, limit, limit.shown_s, direct=False)
            if gone or (limit.ended and limit.shown_s < oldest_s):
                self._limit_by_holder.pop(holder)
        self._changed &= self._limit_by_holder.keys()

    def _apply_newer(
        self, holder: Holder, per_s: float | None, shown_s: float
    ) -> None:
        limit = self._limit_by_holder.get(holder)
        if per_s is not None:
            self._show(holder, per_s, shown_s, direct=False)
        elif limit is not None and not limit.ended:
            self._end(holder, limit, shown_s, direct=False)

    def _show(
        self, holder: Holder, per_s: float, shown_s: float, *, direct: bool
    ) -> None:
        known = self._limit_by_holder.get(holder)
        if known is not None and known.ended:
            known = None
        since_s = shown_s if known is None else known.since_s
        self._limit_by_holder[holder] = _Limit(per_s, since_s, shown_s, direct)
        if known is not None and known.per_s == per_s:
            return
        if direct:
            self._changed.add(holder)
        self._metrics.gauge(
            'server_limit_per_s', per_s, server=holder.server_id
        )
        if known is None:
            _log.info(
                'server limit learned',
                server=holder.server_id,
                per_s=per_s,
                from_answer=direct,
            )
        else:
            _log.info(
                'server limit changed',
                server=holder.server_id,
                per_s=per_s,
                previous_per_s=known.per_s,
                age_s=round(self._now() - since_s, 3),
                from_answer=direct,
            )

    def _end(
        self, holder: Holder, limit: _Limit, shown_s: float, *, direct: bool
    ) -> None:
        limit.ended = True
        limit.shown_s = shown_s
        limit.direct = direct
        if direct:
            self._changed.add(holder)
        self._metrics.remove_gauge(
            'server_limit_per_s', server=holder.server_id
        )
        _log.info(
            'server limit ended',
            server=holder.server_id,
            per_s=limit.per_s,
            age_s=round(self._now() - limit.since_s, 3),
            from_answer=direct,
        )
