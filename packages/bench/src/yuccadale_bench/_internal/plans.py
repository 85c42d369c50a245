"""Cluster plans of the two customers' current systems, on loopback."""

from pathlib import Path

from yuccadale_bench._internal.cluster import (
    CentrePlan,
    ClusterPlan,
    ServicePlan,
)

_EXAMPLES = Path('examples')


def _declarations(customer: str) -> tuple[Path, ...]:
    return tuple(sorted((_EXAMPLES / customer).glob('*.ini')))


def klatka() -> ClusterPlan:
    """10 entry instances, ledger with 24 and stagebook with 8 servers."""
    return ClusterPlan(
        centres=(
            CentrePlan('lodz-a', 'pl-central', 3),
            CentrePlan('lodz-b', 'pl-central', 2),
            CentrePlan('krakow-a', 'pl-south', 3),
            CentrePlan('krakow-b', 'pl-south', 2),
        ),
        services=(
            ServicePlan('ledger', 6, concurrency=2, connections=120),
            ServicePlan('stagebook', 2, concurrency=2, connections=120),
        ),
        declaration_files=_declarations('klatka'),
    )


def escoadouro() -> ClusterPlan:
    """10 entry instances, planeador with 24 and cadastro with 8 servers."""
    return ClusterPlan(
        centres=(
            CentrePlan('minho-braga', 'minho', 3),
            CentrePlan('minho-viana', 'minho', 2),
            CentrePlan('beiras-viseu', 'beiras', 3),
            CentrePlan('beiras-guarda', 'beiras', 2),
        ),
        services=(
            ServicePlan('planeador', 6, concurrency=3, connections=50),
            ServicePlan('cadastro', 2, concurrency=3, connections=50),
        ),
        declaration_files=_declarations('escoadouro'),
    )


PLAN_BY_CUSTOMER = (('klatka', klatka), ('escoadouro', escoadouro))
