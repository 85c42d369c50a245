"""Choice of a server for a request to a service whose servers report loads.

The expected time of one more request is kept for each server and computed
again when something changed there, and for all servers at intervals: a choice
looks at some 160 servers, several hundred times a second.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

import structlog

from yuccadale_core.codes import ResultCode
from yuccadale_edge._internal.model import Place, Server
from yuccadale_edge._internal.observability.metrics import Metrics
from yuccadale_edge._internal.ownership.segments import Holder
from yuccadale_edge._internal.routing.pacing import ReturnTimes
from yuccadale_edge._internal.routing.requests import RoutedRequest
from yuccadale_edge._internal.routing.server_load import ServerLoads
from yuccadale_edge._internal.routing.server_queue import ServerQueue

_log = structlog.get_logger()

# All servers are looked at again after this time. Ages of reports and of
# requests in flight change what is expected within some 100 ms.
_REFRESH_S = 0.1
# Extra cost of a server in another data centre or region, in requests. Senders
# start with the servers near to them, so that they seldom meet at one.
_DISTANCE_COST = (0, 0.15, 1.5)
# Extra cost of a server all of whose slots are used, in requests: what this
# sender does not know of its load is spread over all servers.
_USE_COST = 0.2
# Part of the capacity for callers that return; the rest is for new requests.
_RETURNS_SHARE = 0.5
# Tables that were not used for this time are dropped.
_TABLE_RETENTION_S = 10.0
# If requests are overdue at more than this share of the servers, the delay is
# on this side: the process was stopped, or its machine is overloaded.
_OWN_DELAY_SHARE = 0.6
# Avoids a division by the time of a route that takes none.
_MIN_MEAN_S = 1e-4
# Returns of refused callers are not sooner than this.
_MIN_RETURN_S = 0.1

# Returns the servers that may be chosen, and their queues.
ServersToChoose = Callable[[], list[tuple[Server, ServerQueue]]]
# Returns the wait in a queue that this instance paces, 0 if it does not.
PacingWait = Callable[[Server, RoutedRequest], float]


# Service, and the regions that may serve a request.
_TableKey = tuple[str, tuple[str, ...]]


@dataclass(slots=True)
class Candidate:
    """A server that a request may be sent to.

    Attributes:
        distance_cost: see ``_DISTANCE_COST``.
        mean_s: mean time of the route that the times are for.
        expected_s: when one more request would be complete.
        wait_s: the part of that before the server runs it.
        per_s: requests a second that all its slots complete.
    """

    server: Server
    holder: Holder
    queue: ServerQueue
    distance_cost: float
    mean_s: float
    expected_s: float = inf
    wait_s: float = 0
    per_s: float = 0

    def completion_s(self, mean_s: float) -> float:
        """Returns when a request of a route with this mean is complete."""
        return self.expected_s * mean_s / self.mean_s


@dataclass(slots=True)
class _Table:
    """The candidates of a service, with the cost of one more request."""

    candidates: list[Candidate]
    refreshed_s: float
    used_s: float
    costs: list[float] = field(default_factory=list)
    index_by_holder: dict[Holder, int] = field(default_factory=dict)
    changed: set[Holder] = field(default_factory=set)

    def indices_of(self, holders: Iterable[Holder]) -> list[int]:
        """Returns the indices of those servers that are candidates."""
        index_by_holder = self.index_by_holder
        return [
            index_by_holder[one] for one in holders if one in index_by_holder
        ]


class LoadChoice:
    """Chooses the server that is expected to complete a request first."""

    def __init__(
        self,
        loads: ServerLoads,
        place: Place,
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        """Creates the choice of one instance.

        Args:
            loads: of the servers.
            place: where this instance runs.
            metrics: counts requests that are moved between servers.
            now: returns the time in seconds.
        """
        self._loads = loads
        self._place = place
        self._metrics = metrics
        self._now = now
        self._services: set[str] = set()
        self._slow: set[Holder] = set()
        self._table_by_key: dict[_TableKey, _Table] = {}
        self._returns_by_service: dict[str, ReturnTimes] = {}

    def add_service(self, service: str) -> None:
        """Records that servers of a service report their load."""
        self._services.add(service)

    def governs(self, request: RoutedRequest) -> bool:
        """Whether a request is served by the reported loads."""
        return request.key is None and request.service in self._services

    def choose(
        self,
        request: RoutedRequest,
        mean_s: float,
        tried: Iterable[Holder],
        candidates: ServersToChoose,
        pacing_wait_s: PacingWait,
    ) -> Candidate | None:
        """Returns the best candidate; None if there is none.

        Args:
            request: for which a server is chosen.
            mean_s: mean time of its route at the usual pace.
            tried: servers that are not chosen.
            candidates: returns the servers that may be chosen, and their
                queues.
            pacing_wait_s: returns the wait for the limit of a server.
        """
        table = self._table(request, mean_s, candidates)
        if table.costs:
            indices = table.indices_of(table.changed)
        else:
            indices = self._apply_all(table)
        for changed in indices:
            self._update(table, changed, request, pacing_wait_s)
        table.changed.clear()
        costs = table.costs
        excluded = table.indices_of(tried)
        if excluded:
            costs = list(costs)
            for index in excluded:
                costs[index] = inf
        lowest = min(costs, default=inf)
        if lowest == inf:
            return None
        chosen = table.candidates[costs.index(lowest)]
        # It gets the request now.
        table.changed.add(chosen.holder)
        return chosen

    def touch(self, holder: Holder) -> None:
        """Records that something changed at a server."""
        for table in self._table_by_key.values():
            table.changed.add(holder)

    def apply(self, server: Server, queue: ServerQueue) -> None:
        """Applies what is known of a server to its queue.

        Requests that are queued for a server when it becomes slow are refused
        by its queue: they have not been sent, and other servers are chosen.
        """
        holder = Holder(server.server_id, server.incarnation)
        slowness = self._loads.slowness(holder)
        queue.slowdown = slowness * self._loads.factor(holder)
        queue.limit = self._loads.concurrency(
            holder, server.slots, self.senders()
        )
        is_slow = self._loads.is_slow(holder)
        if is_slow == (holder in self._slow):
            queue.admit_next()
        elif is_slow:
            self._note_slow(server, holder, slowness)
            moved = queue.refuse_waiting(ResultCode.server_limited)
            self._metrics.count(
                'requests_moved_from_slow_servers',
                moved,
                service=server.service,
            )
        else:
            self._slow.discard(holder)
            _log.info('server no longer slow', server=server.server_id)
            queue.admit_next()

    def is_slow(self, holder: Holder) -> bool:
        """Whether a server counted as slow when it was last looked at."""
        return holder in self._slow

    def senders(self) -> int:
        """Returns how many instances send to the servers of this region."""
        regions = list(self._place.region_by_data_centre.values())
        return max(1, regions.count(self._place.region))

    def best(self, request: RoutedRequest) -> Candidate | None:
        """Returns the candidate that was best of late, if there is any."""
        if not self.governs(request):
            return None
        table = self._table_by_key.get((request.service, request.regions))
        if table is None:
            return None
        return min(
            table.candidates, key=lambda one: one.expected_s, default=None
        )

    def book_return_s(self, request: RoutedRequest) -> float:
        """Returns when a caller that is refused now may return."""
        table = self._table_by_key.get((request.service, request.regions))
        candidates = [] if table is None else table.candidates
        near = [one for one in candidates if one.distance_cost < 1]
        per_s = sum(one.per_s for one in near or candidates) / self.senders()
        wait_s = min((one.wait_s for one in candidates), default=0)
        returns = self._returns_by_service.setdefault(
            request.service, ReturnTimes(self._now)
        )
        return max(
            _MIN_RETURN_S, returns.book_s(per_s * _RETURNS_SHARE, wait_s)
        )

    def in_use(self) -> Iterable[Candidate]:
        """Returns the servers of the tables that are used at present."""
        for table in self._table_by_key.values():
            if self._now() - table.used_s < 1:
                yield from table.candidates

    def keep_only(self, holders: set[Holder], services: set[str]) -> None:
        """Forgets servers and services that are gone, and unused tables."""
        self._services &= services
        self._slow &= holders
        for service in self._returns_by_service.keys() - services:
            self._returns_by_service.pop(service)
        oldest_s = self._now() - _TABLE_RETENTION_S
        for key, table in list(self._table_by_key.items()):
            if table.used_s < oldest_s or key[0] not in services:
                self._table_by_key.pop(key)

    def _table(
        self,
        request: RoutedRequest,
        mean_s: float,
        candidates: ServersToChoose,
    ) -> _Table:
        key = (request.service, request.regions)
        table = self._table_by_key.get(key)
        now_s = self._now()
        if table is not None and now_s - table.refreshed_s < _REFRESH_S:
            table.used_s = now_s
            return table
        table = _Table(
            [
                Candidate(
                    server,
                    Holder(server.server_id, server.incarnation),
                    queue,
                    _DISTANCE_COST[self._place.distance(server.data_centre)],
                    max(mean_s, _MIN_MEAN_S),
                )
                for server, queue in candidates()
            ],
            now_s,
            now_s,
        )
        table.index_by_holder = {
            one.holder: index for index, one in enumerate(table.candidates)
        }
        self._table_by_key[key] = table
        return table

    def _apply_all(self, table: _Table) -> list[int]:
        """Applies what is known of all candidates; returns their indices."""
        delayed = sum(
            self._loads.is_delayed(one.holder) for one in table.candidates
        )
        if delayed > len(table.candidates) * _OWN_DELAY_SHARE:
            self._loads.forget_delays()
            self._metrics.count('own_delays')
            _log.warning(
                'requests to most servers overdue, no server counts as slow',
                servers=len(table.candidates),
                delayed=delayed,
            )
        for candidate in table.candidates:
            self.apply(candidate.server, candidate.queue)
        table.costs = [inf for _ in table.candidates]
        return list(range(len(table.candidates)))

    def _update(
        self,
        table: _Table,
        index: int,
        request: RoutedRequest,
        pacing_wait_s: PacingWait,
    ) -> None:
        candidate = table.candidates[index]
        queue = candidate.queue
        mean_s = candidate.mean_s
        own = queue.running + queue.waiting
        wait_s, service_s = self._loads.expected_s(
            candidate.holder, mean_s, candidate.server.slots, own
        )
        wait_s = max(wait_s, pacing_wait_s(candidate.server, request))
        candidate.wait_s = wait_s
        candidate.expected_s = wait_s + service_s
        slots = candidate.server.slots
        candidate.per_s = slots / service_s
        use = min(1, own / slots) * _USE_COST
        table.costs[index] = (
            candidate.expected_s + (candidate.distance_cost + use) * mean_s
        )

    def _note_slow(
        self, server: Server, holder: Holder, slowness: float
    ) -> None:
        self._slow.add(holder)
        self._metrics.count('slow_servers', service=server.service)
        _log.info(
            'server counts as slow',
            server=server.server_id,
            service=server.service,
            slowness=round(slowness, 1),
        )
