"""Plans of small clusters with one service, with their declarations."""

from dataclasses import dataclass
from pathlib import Path

from yuccadale_bench._internal.cluster import (
    CentrePlan,
    ClusterPlan,
    ServicePlan,
)

CENTRE = 'dc-a'
SERVICE = 'ledger'
SLOTS_PER_SERVER = 32
ONCE_KIND = 'deposit'
REPEATABLE_KIND = 'read'


@dataclass(frozen=True, slots=True)
class BenchPlan:
    """One data centre with one group of servers."""

    instances: int = 4
    servers: int = 6
    concurrency: int = 2
    connections: int = 120
    checks_grants: bool = True


def write_cluster_plan(plan: BenchPlan, directory: Path) -> ClusterPlan:
    """Writes the declaration files and returns the plan of the cluster."""
    files = {
        'intent': _intent(),
        'places': _places(plan),
        f'service.{SERVICE}': _service(plan),
    }
    paths = []
    for scope, text in files.items():
        path = directory / f'{scope}.ini'
        path.write_text(f'[declaration]\nscope = {scope}\n{text}')
        paths.append(path)
    service = ServicePlan(
        SERVICE,
        plan.servers,
        concurrency=plan.concurrency,
        connections=plan.connections,
        checks_grants=plan.checks_grants,
    )
    centre = CentrePlan(CENTRE, 'region-a', plan.instances)
    return ClusterPlan((centre,), (service,), tuple(paths))


def _intent() -> str:
    return (
        'customer = bench\n'
        '[weights]\nimbalance = 1\nchurn = 1\nunavailable_time = 1\n'
    )


def _places(plan: BenchPlan) -> str:
    return (
        'customer = bench\n'
        '[region.region-a]\n'
        f'[data_centre.{CENTRE}]\nregion = region-a\nstate = live\n'
        f'[capacity.{CENTRE}]\n{SERVICE} = {plan.servers}\n'
    )


def _service(plan: BenchPlan) -> str:
    checks = 'yes' if plan.checks_grants else 'no'
    return (
        'customer = bench\n'
        '[service]\n'
        f'slot_count = {plan.servers * SLOTS_PER_SERVER}\n'
        f'concurrency = {plan.concurrency}\n'
        f'connections = {plan.connections}\n'
        f'checks_grants = {checks}\n'
        f'[kind.{ONCE_KIND}]\nrepeatable = no\npriority = 1\n'
        f'[kind.{REPEATABLE_KIND}]\nrepeatable = yes\npriority = 3\n'
    )
