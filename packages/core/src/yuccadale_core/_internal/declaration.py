"""Data classes of the declaration; parsing is in ``declaration_ini``."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request that a service declares.

    Attributes:
        repeatable: whether a request may be run more than once.
        priority: 1 non-repeatable, 2 availability checks, 3 browsing.
        weight: value of one delivered request for the customer.
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
        slot_count: number of hash slots; cannot be changed.
        concurrency: concurrent requests that one server accepts.
        connections: connections that one server accepts.
        checks_grants: whether its servers reject requests without a valid
            grant and fencing token.
        groups_per_data_centre: number of groups of its servers per data
            centre.
        deadline_ms: default deadline in milliseconds.
        retry_window_s: how long idempotency keys are kept.
        queue_limit: limit of requests that wait for one server.
        body_limit_bytes: limit of the size of a request's or answer's body.
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
        capacity_by_service: capacity of each service's servers, as a weight
            relative to other data centres.
    """

    name: str
    region: str
    state: str = 'live'
    capacity_by_service: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Weights:
    """Relative importance of each measure for the customer."""

    imbalance: float = 1
    churn: float = 1
    unavailable_time: float = 1


@dataclass(frozen=True, slots=True)
class Declaration:
    """All scopes at the revisions in force."""

    customer: str = ''
    region_names: tuple[str, ...] = ()
    service_by_name: dict[str, Service] = field(default_factory=dict)
    data_centre_by_name: dict[str, DataCentre] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    weights_by_service: dict[str, Weights] = field(default_factory=dict)
    region_link_bytes_per_s: float = 3_750_000
    lost_instances: frozenset[str] = frozenset()
    revision_by_scope: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceScope:
    """Scope ``service.<name>``: one service."""

    customer: str
    service: Service

    @property
    def scope(self) -> str:
        """Name of the scope."""
        return f'service.{self.service.name}'


@dataclass(frozen=True, slots=True)
class PlacesScope:
    """Scope ``places``: regions, data centres and the link between regions."""

    customer: str
    region_names: tuple[str, ...] = ()
    data_centre_by_name: dict[str, DataCentre] = field(default_factory=dict)
    region_link_bytes_per_s: float = 3_750_000
    lost_instances: frozenset[str] = frozenset()

    @property
    def scope(self) -> str:
        """Name of the scope."""
        return 'places'


@dataclass(frozen=True, slots=True)
class IntentScope:
    """Scope ``intent``: the customer's weights, also per service."""

    customer: str
    weights: Weights = field(default_factory=Weights)
    weights_by_service: dict[str, Weights] = field(default_factory=dict)

    @property
    def scope(self) -> str:
        """Name of the scope."""
        return 'intent'


ScopeDeclaration = ServiceScope | PlacesScope | IntentScope


def assemble(
    scopes: Iterable[ScopeDeclaration], revision_by_scope: dict[str, int]
) -> Declaration:
    """Merges scopes, also an incomplete set, into one declaration.

    An instance receives scopes one at a time. References to a service that it
    has not received yet are kept and take effect when the service arrives.
    """
    declaration = Declaration(revision_by_scope=dict(revision_by_scope))
    for scope in scopes:
        declaration = _with_scope(declaration, scope)
    return declaration


def _with_scope(
    declaration: Declaration, scope: ScopeDeclaration
) -> Declaration:
    if isinstance(scope, ServiceScope):
        return replace(
            declaration,
            customer=scope.customer,
            service_by_name={
                **declaration.service_by_name,
                scope.service.name: scope.service,
            },
        )
    if isinstance(scope, PlacesScope):
        return replace(
            declaration,
            customer=scope.customer,
            region_names=scope.region_names,
            data_centre_by_name=scope.data_centre_by_name,
            region_link_bytes_per_s=scope.region_link_bytes_per_s,
            lost_instances=scope.lost_instances,
        )
    return replace(
        declaration,
        customer=scope.customer,
        weights=scope.weights,
        weights_by_service=scope.weights_by_service,
    )
