"""Routes, services, servers and the settings of an instance."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import chain

from yuccadale_edge._internal.transport.client_pool import Address

KEY_COUNT = 65536
# An unreachable server keeps its keys for this long. The lease must outlast the
# time until a new leader (2 to 3 s after a loss) renews the grants.
LEASE_S = 4.5


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route, with its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services that answer a host and path prefix, and the limits for it.

    Attributes:
        repeatable: whether a request may run more than once.
        timeout_s: time after which a caller gets an answer in any case.
        target_latency_s: time within which an answer has its full value.
        max_attempts: how many times a request of a caller may be sent to
            servers.
        priority: 0 is the highest.
        regions: the regions that may serve it and get its body; all if empty.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    repeatable: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    regions: tuple[str, ...] = ()

    def sends_to(self, service: str) -> bool:
        """Whether a service gets some of its requests."""
        return any(
            weighted.service == service and weighted.weight > 0
            for weighted in self.weighted_services
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A set of servers; those of a ``keyed`` one divide the keys.

    Attributes:
        cold_per_s: requests a second that a cold server takes from all
            instances; None if cold servers are not limited.
        slow_start_s: for how long a server is cold after its start.
    """

    name: str
    keyed: bool
    connections: int
    health_path: str
    warm_up_s: float
    cold_per_s: float | None = None
    slow_start_s: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for the connections of callers."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the operators' configuration.

    Attributes:
        version: increases with each change, not always by one.
        routes_by_host: routes of each host, longest prefix first.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    limits: CallerLimits

    def route_for(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def allows(self, route_name: str, service: str) -> bool:
        """Whether a route sends requests to a service."""
        routes = chain.from_iterable(self.routes_by_host.values())
        return any(
            route.sends_to(service)
            for route in routes
            if route.name == route_name
        )


class ServerState(StrEnum):
    """The state that a server reports."""

    ready = 'ready'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Server:
    """A target as it registered itself.

    Attributes:
        incarnation: start time in ms since 1970 by the server's clock; differs
            between processes with the same id.
        slots: requests that it handles at the same time.
        slow_start_s: remaining time for which it is slow after its start.
    """

    server_id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    state: ServerState
    incarnation: int
    # Not compared, since it counts down in each entry of an unchanged server.
    slow_start_s: float = field(compare=False)


@dataclass(frozen=True, slots=True)
class Place:
    """Where an instance runs.

    Attributes:
        region_by_data_centre: all data centres and their regions.
    """

    data_centre: str
    region: str
    region_by_data_centre: Mapping[str, str]

    def distance(self, data_centre: str) -> int:
        """Returns 0 in the same data centre, 1 in the same region, else 2."""
        if data_centre == self.data_centre:
            return 0
        known = self.region_by_data_centre.get(data_centre)
        return 1 if known == self.region else 2

    def allows(self, data_centre: str, regions: tuple[str, ...]) -> bool:
        """Whether a data centre is in one of the regions; all if empty."""
        return not regions or (
            self.region_by_data_centre.get(data_centre) in regions
        )

    def entry_data_centre(self, regions: tuple[str, ...]) -> str:
        """Returns where requests for some regions are forwarded first.

        It is this data centre if it is allowed. Otherwise each data centre of
        this region uses another one of those regions, as far as possible.
        """
        if self.allows(self.data_centre, regions):
            return self.data_centre
        allowed = sorted(
            one
            for one in self.region_by_data_centre
            if self.allows(one, regions)
        )
        if not allowed:
            return self.data_centre
        return allowed[
            sorted(self.region_by_data_centre).index(self.data_centre)
            % len(allowed)
        ]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the operators set for the whole system, in seconds.

    Attributes:
        max_lease_s: the longest lease that a server may get.
        grace_s: time from the request to stop until the process is killed.
        retry_ratio: retries allowed in a window, per first send.
        retry_window_s: length of that window.
        min_retries: retries that are always allowed in a window.
        configuration_s: time from a change of the configuration until it is
            in force everywhere.
        draining_s: time from a server's notice that it leaves until it gets
            no more requests.
        evacuation_s: time from the evacuation of a data centre until its
            servers get no more requests.
    """

    max_lease_s: float = 10.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    min_retries: float = 60.0
    configuration_s: float = 2.0
    draining_s: float = 2.0
    evacuation_s: float = 5.0

    @property
    def lease_s(self) -> float:
        """The lease duration of a grant."""
        return min(self.max_lease_s, LEASE_S)

    @property
    def max_source_age_s(self) -> float:
        """The age from which configuration or servers may be outdated."""
        return min(self.configuration_s, self.draining_s, self.evacuation_s)


@dataclass(frozen=True, slots=True)
class Machine:
    """What one process may use of its machine.

    Attributes:
        cores: processor cores.
        core_share: share of each core.
        memory_mb: memory beyond which the process is killed.
        descriptors: open files and connections.
        link_mbps: rate of the network link, in Mbit/s.
    """

    cores: float = 1.0
    core_share: float = 1.0
    memory_mb: float = 300.0
    descriptors: int = 4096
    link_mbps: float = 100.0

    @property
    def capacity(self) -> float:
        """Processor capacity in cores times the rate of the link.

        Work for many instances is limited by either of them.
        """
        return self.cores * self.core_share * self.link_mbps


@dataclass(frozen=True, slots=True)
class Settings:
    """The validated settings of one instance.

    Attributes:
        peer_address: where it listens for other instances.
        advertised_address: where other instances reach it, if that differs,
            such as behind network address translation.
    """

    instance: str
    place: Place
    caller_address: Address
    readiness_address: Address
    peer_address: Address
    metrics_address: Address
    seeds: tuple[Address, ...]
    store_address: Address
    bounds: Bounds = field(default_factory=Bounds)
    machine: Machine = field(default_factory=Machine)
    advertised_address: Address | None = None

    @property
    def contact_address(self) -> Address:
        """The address at which other instances reach this one."""
        return self.advertised_address or self.peer_address
