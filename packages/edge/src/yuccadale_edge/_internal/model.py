"""What an instance knows of routes, services, servers and other instances."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from yuccadale_edge._internal.transport.client_pool import Address

KEY_COUNT = 65536
# A silent server keeps its keys for this long. It bridges the time until
# another instance leads (2 to 3 s after a loss) and renews the grants.
LEASE_S = 4.5


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route, with its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which service answers a host and path, and how.

    Attributes:
        repeatable: whether a request may run more than once.
        timeout_s: the longest that a caller is kept waiting.
        target_latency_s: within this an answer is worth most.
        max_attempts: servers that may get one caller attempt.
        priority: 0 is the most urgent.
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


@dataclass(frozen=True, slots=True)
class Service:
    """A set of servers; ``keyed`` ones divide the keys among themselves."""

    name: str
    keyed: bool
    connections: int
    health_path: str
    warm_up_s: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration, whole.

    Attributes:
        version: rises with each version, in uneven steps.
        routes_by_host: routes of each host, longest prefix first.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    limits: CallerLimits

    def route_for(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class ServerState(StrEnum):
    """What a server says of itself."""

    ready = 'ready'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Server:
    """A target as it registered itself.

    Attributes:
        incarnation: start time that tells one life of an id from the next,
            in ms since 1970 by the server's own clock.
        slots: requests that it works on at the same time.
        slow_start_s: how much longer it is slow after its start.
    """

    server_id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    state: ServerState
    incarnation: int
    # Counts down in each entry, which is no change of the server.
    slow_start_s: float = field(compare=False)


@dataclass(frozen=True, slots=True)
class Place:
    """Where an instance runs.

    Attributes:
        region_by_data_centre: all data centres with their regions.
    """

    data_centre: str
    region: str
    region_by_data_centre: Mapping[str, str]

    def distance(self, data_centre: str) -> int:
        """Returns 0 in the same data centre, 1 in the region, 2 beyond."""
        if data_centre == self.data_centre:
            return 0
        known = self.region_by_data_centre.get(data_centre)
        return 1 if known == self.region else 2


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the operators set for the whole system, in seconds.

    Attributes:
        hold_max_s: the longest lease that a server grants.
        grace_s: from the request to stop until the process is killed.
        retry_ratio: second sends in a window per first request.
        retry_slack: second sends that are always allowed in a window.
    """

    max_lease_s: float = 10.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    min_retries: float = 60.0

    @property
    def lease_s(self) -> float:
        """The lease time of a grant."""
        return min(self.max_lease_s, LEASE_S)


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of one instance.

    Attributes:
        peer_address: where it listens for other instances.
        advertised_address: where they reach it, if that is elsewhere, as
            behind an address translation.
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
    advertised_address: Address | None = None

    @property
    def contact_address(self) -> Address:
        """Where other instances reach this one."""
        return self.advertised_address or self.peer_address
