"""The declaration in force, as data classes (no parsing here)."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request that a service declares.

    Attributes:
        repeatable: whether the work may run more than once.
        priority: 1 non-repeatable, 2 availability checks, 3 browsing.
        weight: how much one delivered request counts for the customer.
        deadline_ms: default deadline in milliseconds.
    """

    name: str
    repeatable: bool
    priority: int
    weight: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class Service:
    """A declared service.

    Attributes:
        slot_count: number of hash slots, fixed for the service's life.
        concurrency: concurrent requests that one server accepts.
        connections: connections that one server accepts.
        checks_grants: whether its servers check who gives them an order.
        groups_per_data_centre: groups that its servers are divided into.
        deadline_ms: default deadline in milliseconds.
        retry_window_s: how long an idempotency key is remembered.
        queue_limit: requests that may wait for one server.
        body_limit_bytes: largest body of a request or answer.
    """

    name: str
    slot_count: int
    concurrency: int
    connections: int
    checks_grants: bool = True
    groups_per_data_centre: int = 1
    deadline_ms: float = 2000
    retry_window_s: float = 600
    queue_limit: int = 200
    body_limit_bytes: int = 1 << 20
    kind_by_name: dict[str, Kind] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A declared data centre.

    Attributes:
        state: ``live``, ``draining`` or ``lost``.
        capacity_by_service: weight of each service's servers here.
    """

    name: str
    region: str
    state: str = 'live'
    capacity_by_service: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Weights:
    """How much the customer minds each measure, relative to the others."""

    imbalance: float = 1
    churn: float = 1
    unavailable_time: float = 1


@dataclass(frozen=True, slots=True)
class Declaration:
    """All scopes together, at the revisions in force."""

    customer: str = ''
    region_names: tuple[str, ...] = ()
    service_by_name: dict[str, Service] = field(default_factory=dict)
    data_centre_by_name: dict[str, DataCentre] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    weights_by_service: dict[str, Weights] = field(default_factory=dict)
    region_link_bytes_per_s: float = 3_750_000
    lost_instances: frozenset[str] = frozenset()
    revision_by_scope: dict[str, int] = field(default_factory=dict)
