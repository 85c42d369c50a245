"""Which servers are cold, by their entries and health responses.

A cold server takes few requests a second and crashes under many. It is paced as
one that named this limit itself; see ``rate_limits``.

The end of a cold period is known for each incarnation. Messages may be late: a
later end stays in force, unless a newer message says that the server is warm.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf

import msgspec
import structlog

from yuccadale_edge._internal.model import Server, Service
from yuccadale_edge._internal.ownership.segments import Holder

_log = structlog.get_logger()

# Requests a second that servers take from all instances.
Rates = Callable[[], Mapping[Holder, float]]
ColdLimits = Callable[[], Iterable[tuple[Holder, float]]]

# Shortest time between two health requests to a server.
PROBE_INTERVAL_S = 0.5
# Others close their links to a process that was stopped for about this time.
# The entries that they sent meanwhile are lost.
_STOPPED_S = 1.5
# Health responses are told to others for this time.
_RETENTION_S = 10.0
# Links end when a message is delayed by about this time.
_MAX_DELAY_S = 1.0
# Entries arrive within this time, unless the store is unavailable.
_ENTRY_DELAY_S = 2.0
# Instances learn of the end of an evacuation within this time of each other.
_CONVERGENCE_S = 2.0
# Time for which it may stay unknown whether a server is cold, if its service
# names no slow start.
_MAX_UNKNOWN_S = 30.0


@dataclass(slots=True)
class _ColdPeriod:
    """What is known of the cold period of an incarnation.

    Attributes:
        until_s: the latest end that was named.
        named_until_s: the end that the newest message named.
        shown_s: when the server was last known to be cold.
        responded_s: when a health response last said that it is cold. Entries
            that arrive soon after that may have been written before.
        unknown_s: since when it is unknown whether the server is cold, None if
            that is known.
        probed_s: when the last health request was sent.
    """

    until_s: float = 0
    named_until_s: float = 0
    shown_s: float = 0
    responded_s: float = -inf
    unknown_s: float | None = None
    probed_s: float | None = None


def _never() -> float:
    return -inf


class ColdNotice(msgspec.Struct, array_like=True, frozen=True):
    """What an instance tells the others about a health response.

    Attributes:
        left_s: the remaining time of the cold period, 0 if it has ended.
        age_s: time since the health request was sent.
    """

    server_id: str
    incarnation: int
    left_s: float
    age_s: float

    def __post_init__(self) -> None:
        """Rejects values that no instance sends."""
        if not (0 <= self.left_s < inf and 0 <= self.age_s < inf):
            raise ValueError('a cold period or its age is out of range')


@dataclass(frozen=True, slots=True)
class _HealthResponse:
    """A health response that this instance received.

    Attributes:
        until_s: the end of the cold period.
        sent_s: when the request was sent.
    """

    until_s: float
    sent_s: float


class ColdServers:
    """The cold periods of all servers that are, or may be, cold."""

    def __init__(
        self,
        now: Callable[[], float],
        confirmed_s: Callable[[], float] = _never,
    ) -> None:
        """Creates the state of one instance.

        Args:
            now: returns the time in seconds.
            confirmed_s: returns when the entries here were the newest ones.
        """
        self._now = now
        self._confirmed_s = confirmed_s
        self._reviewed_s: float | None = None
        self._resumed_s: float = -inf
        self._missed_entries = False
        self._period_by_holder: dict[Holder, _ColdPeriod] = {}
        self._logged: set[Holder] = set()
        self._response_by_holder: dict[Holder, _HealthResponse] = {}
        self._untold: set[Holder] = set()

    @property
    def known(self) -> bool:
        """Whether any server is cold, or may be."""
        return self._missed_entries or bool(self._period_by_holder)

    def observe_entry(self, server: Server) -> None:
        """Applies an entry that is newer than all others of the server."""
        holder = Holder(server.server_id, server.incarnation)
        period = self._period_by_holder.get(holder)
        if server.slow_start_s > 0:
            if period is None:
                period = _ColdPeriod()
                self._period_by_holder[holder] = period
            self._extend(period, server.slow_start_s)
        elif period is None:
            return
        elif self._now() - period.responded_s > _ENTRY_DELAY_S:
            self._end(period)
        else:
            # The sender asks which of the two is newer.
            period.named_until_s = self._now()

    def observe_health(
        self, holder: Holder, warm_up_s: float, sent_s: float
    ) -> None:
        """Applies a health response.

        Args:
            holder: the server that responded.
            warm_up_s: the remaining time of its cold period, 0 if it is warm.
            sent_s: when the health request was sent.
        """
        self._untold.add(holder)
        self._response_by_holder[holder] = _HealthResponse(
            self._now() + warm_up_s, sent_s
        )
        self._observe_response(holder, warm_up_s, sent_s, asked_s=sent_s)

    def take_notices(self, *, repeat: bool) -> list[ColdNotice]:
        """Returns the health responses to tell the other instances.

        Args:
            repeat: add those that were told before.
        """
        now_s = self._now()
        self._response_by_holder = {
            holder: response
            for holder, response in self._response_by_holder.items()
            if now_s - response.sent_s < _RETENTION_S
        }
        holders = set(self._untold)
        self._untold.clear()
        return [
            ColdNotice(
                *holder,
                max(0, response.until_s - now_s),
                max(0, now_s - response.sent_s),
            )
            for holder, response in self._response_by_holder.items()
            if repeat or holder in holders
        ]

    def apply_notices(self, notices: Iterable[ColdNotice]) -> None:
        """Applies health responses that another instance received."""
        now_s = self._now()
        for notice in notices:
            sent_s = now_s - notice.age_s
            self._observe_response(
                Holder(notice.server_id, notice.incarnation),
                notice.left_s,
                # The message may have been on its way for this long.
                sent_s - _MAX_DELAY_S,
                # The other instance may have known of the return earlier.
                asked_s=sent_s + _CONVERGENCE_S,
            )

    def observe_evacuation_end(self, holders: Iterable[Holder]) -> None:
        """Records that requests may again be sent to some servers.

        They may have become cold during the evacuation.
        """
        for holder in holders:
            period = self._period_by_holder.setdefault(holder, _ColdPeriod())
            period.unknown_s = self._now()

    def check_pause(self) -> None:
        """Notes whether this process was stopped and knows no newer entries.

        Any server may have become cold meanwhile. Called for each request and
        not for each server, since a clock is read.
        """
        if self._reviewed_s is None:
            return
        now_s = self._now()
        stopped = now_s - self._reviewed_s > _STOPPED_S
        self._missed_entries = stopped or (
            now_s - self._resumed_s < _MAX_DELAY_S
            and self._confirmed_s() < self._resumed_s
        )

    def is_cold(self, holder: Holder, service: Service) -> bool:
        """Whether a server is cold, or may be."""
        period = self._period_by_holder.get(holder)
        if period is None:
            return False
        now_s = self._now()
        return now_s < period.until_s or _is_unknown(period, service, now_s)

    def per_s(self, holder: Holder, service: Service) -> float | None:
        """Returns how many requests a second a server takes from all instances.

        Returns:
            None if it is not cold, or its service does not limit that.
        """
        if service.cold_per_s is None:
            return None
        if self._missed_entries or self.is_cold(holder, service):
            return service.cold_per_s
        return None

    def needs_probe(self, holder: Holder, service: Service) -> bool:
        """Whether a health request should be sent to a server now.

        That is while it is unknown whether the server is cold, and when the
        newest message named an earlier end than another one before it.
        """
        if service.cold_per_s is None or not self.is_cold(holder, service):
            return False
        period = self._period_by_holder[holder]
        now_s = self._now()
        if (
            period.probed_s is not None
            and now_s - period.probed_s < PROBE_INTERVAL_S
        ):
            return False
        return (
            _is_unknown(period, service, now_s) or now_s >= period.named_until_s
        )

    def note_probe(self, holder: Holder) -> None:
        """Records that a health request is sent now."""
        self._period_by_holder[holder].probed_s = self._now()

    def review(
        self, servers: Iterable[Server], service_by_name: Mapping[str, Service]
    ) -> tuple[set[Holder], set[Holder]]:
        """Logs changes, and forgets servers that are gone or warm.

        Args:
            servers: all that are registered.
            service_by_name: the services of the configuration.

        Returns:
            The servers that are limited since they are cold, and those of them
            that were not at the last call.
        """
        self._note_review()
        cold: set[Holder] = set()
        kept: set[Holder] = set()
        for server in servers:
            holder = Holder(server.server_id, server.incarnation)
            service = service_by_name.get(server.service)
            if service is None or not self.is_cold(holder, service):
                continue
            kept.add(holder)
            if service.cold_per_s is not None:
                cold.add(holder)
        added = cold - self._logged
        for holder in sorted(added):
            self._log_cold(holder)
        for ended in sorted(self._logged - cold):
            _log.info(
                'server warm',
                server=ended.server_id,
                incarnation=ended.incarnation,
            )
        self._logged = cold
        self._forget(kept)
        return cold, added

    def _note_review(self) -> None:
        now_s = self._now()
        reviewed_s = now_s if self._reviewed_s is None else self._reviewed_s
        if now_s - reviewed_s > _STOPPED_S:
            self._resumed_s = now_s
            _log.info('servers may be cold after a pause of this process')
        self._reviewed_s = now_s
        self.check_pause()

    def _observe_response(
        self, holder: Holder, warm_up_s: float, sent_s: float, *, asked_s: float
    ) -> None:
        """Applies a health response.

        Args:
            holder: the server.
            warm_up_s: the remaining time of its cold period.
            sent_s: the request was sent then, or later.
            asked_s: the request was sent after an evacuation that was known
                here to have ended by then.
        """
        period = self._period_by_holder.get(holder)
        if period is None:
            if warm_up_s == 0:
                return
            period = _ColdPeriod()
            self._period_by_holder[holder] = period
        if period.unknown_s is not None and asked_s >= period.unknown_s:
            period.unknown_s = None
        if warm_up_s > 0:
            self._extend(period, warm_up_s)
            period.responded_s = self._now()
        elif sent_s > period.shown_s:
            self._end(period)

    def _log_cold(self, holder: Holder) -> None:
        period = self._period_by_holder[holder]
        _log.info(
            'server cold',
            server=holder.server_id,
            incarnation=holder.incarnation,
            left_s=round(max(0, period.until_s - self._now()), 3),
            unknown=period.unknown_s is not None,
        )

    def _forget(self, kept: set[Holder]) -> None:
        """Forgets ended periods.

        That of a server whose entry is missing lasts until its end, since the
        entry may return after an outage of the store.
        """
        now_s = self._now()
        for holder, period in list(self._period_by_holder.items()):
            unknown_s = period.unknown_s
            if holder in kept or now_s < period.until_s:
                continue
            if unknown_s is None or now_s - unknown_s > _MAX_UNKNOWN_S:
                self._period_by_holder.pop(holder)

    def _extend(self, period: _ColdPeriod, left_s: float) -> None:
        now_s = self._now()
        period.shown_s = now_s
        period.named_until_s = now_s + left_s
        period.until_s = max(period.until_s, period.named_until_s)

    def _end(self, period: _ColdPeriod) -> None:
        period.until_s = 0
        period.named_until_s = 0


def planning_rates(
    named_rates: Rates,
    cold_limits: ColdLimits,
) -> Rates:
    """Returns the function of the limits for which keys move.

    A cold server counts from the first moment, so that it gets no keys beyond
    its limit.

    Args:
        named_rates: the limits that servers named, in requests a second.
        cold_limits: the limits of cold servers.
    """

    def rates() -> Mapping[Holder, float]:
        rate_by_holder = dict(named_rates())
        for holder, per_s in cold_limits():
            rate_by_holder[holder] = min(
                per_s, rate_by_holder.get(holder, per_s)
            )
        return rate_by_holder

    return rates


def _is_unknown(period: _ColdPeriod, service: Service, now_s: float) -> bool:
    if period.unknown_s is None:
        return False
    # A server that became cold before is warm after the slow start.
    return now_s - period.unknown_s < (service.slow_start_s or _MAX_UNKNOWN_S)
