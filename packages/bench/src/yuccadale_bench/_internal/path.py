"""The command ``path``: latency and CPU time that the router adds."""

import argparse
import json
import os
import tempfile
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp
import uvloop

from yuccadale_bench._internal.bench_plans import (
    ONCE_KIND,
    REPEATABLE_KIND,
    SERVICE,
    BenchPlan,
    write_cluster_plan,
)
from yuccadale_bench._internal.cluster import (
    Cluster,
    apply_declaration,
    running_cluster,
)
from yuccadale_bench._internal.load_run import LoadPlan, LoadReport, run_load
from yuccadale_bench._internal.path_plot import plot_latencies
from yuccadale_bench._internal.path_routes import (
    Route,
    group_row,
    running_routes,
)
from yuccadale_bench._internal.process_time import cpu_seconds
from yuccadale_bench._internal.safety_checks import check_records
from yuccadale_bench._internal.stability import wait_until_served

SIZES = ((2, 120), (3, 50))
_WORKERS = 48
_ROUNDS = 3
_OVERLOAD_SERVICE_MS = 20
_OVERLOAD_WORKERS = 2000
_OVERLOAD_DEADLINE_MS = 1000


def run_command(arguments: Sequence[str]) -> int:
    """Measures both service sizes; returns 1 when a safety check fails."""
    parser = argparse.ArgumentParser(prog='yuccadale_bench path')
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--servers', type=int, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--out', type=Path, default=Path('out'))
    options = parser.parse_args(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    safe = True
    for concurrency, connections in SIZES:
        plan = BenchPlan(
            servers=options.servers,
            concurrency=concurrency,
            connections=connections,
        )
        with tempfile.TemporaryDirectory() as directory:
            summary = uvloop.run(_measure(options, plan, Path(directory)))
        name = f'path-{concurrency}-{connections}'
        (options.out / f'{name}.json').write_text(json.dumps(summary, indent=1))
        print(json.dumps({'size': name, **summary}))
        safe = safe and summary['safe']
    return 0 if safe else 1


async def _measure(
    options: argparse.Namespace, plan: BenchPlan, directory: Path
) -> dict[str, Any]:
    cluster_plan = write_cluster_plan(plan, directory)
    async with (
        running_cluster(cluster_plan, directory) as cluster,
        aiohttp.ClientSession() as session,
    ):
        await apply_declaration(cluster, cluster_plan)
        await wait_until_served(cluster)
        async with running_routes(session, cluster, plan.servers) as routes:
            measurement = _Measurement(options, routes)
            full = {
                route.name: await measurement.full(route) for route in routes
            }
            rate = full['two hops']['done_per_s'] / 2
            half = await measurement.half(rate)
            overload = await measurement.overload(session, cluster, routes[-1])
            leader = (await group_row(session, cluster))['leader'][0]
    safety = check_records(directory, 'path', measurement.done_ids)
    name = f'path-{plan.concurrency}-{plan.connections}'
    plot_latencies(
        {route: report.latency for route, report in half.items()},
        f'concurrency {plan.concurrency}, {plan.connections} connections, '
        f'{rate:.0f} requests/s',
        options.out / f'{name}.png',
    )
    return {
        'machine': {'cores': os.cpu_count(), 'load_average': os.getloadavg()},
        'leader': leader,
        'full_load': full,
        'half_load_rate_per_s': round(rate, 1),
        'half_load': {name: report.summary() for name, report in half.items()},
        'added_ms': _added_latency(half),
        'overload': overload,
        'records': safety.summary(),
        'safe': safety.clean and not measurement.wrong,
    }


class _Measurement:
    def __init__(
        self, options: argparse.Namespace, routes: list[Route]
    ) -> None:
        self.done_ids: list[str] = []
        self.wrong = 0
        self._seconds = options.seconds
        self._seed = options.seed
        self._routes = routes
        self._loads = 0

    async def full(self, route: Route) -> dict[str, Any]:
        """Returns the throughput of a closed loop, also per CPU second."""
        before_s = cpu_seconds(route.process_ids)
        report = await self._load(route, LoadPlan((), SERVICE))
        used_s = cpu_seconds(route.process_ids) - before_s
        done = report.items_by_outcome['done']
        summary = report.summary()
        summary['cpu_s'] = round(used_s, 2)
        summary['done_per_cpu_s'] = round(done / used_s, 1) if used_s else None
        return summary

    async def half(self, rate: float) -> dict[str, LoadReport]:
        """Runs all routes in turn at one rate, in several rounds."""
        merged: dict[str, LoadReport] = {}
        for _ in range(_ROUNDS):
            for route in self._routes:
                plan = LoadPlan((), SERVICE, rate=rate, workers=1000)
                report = await self._load(route, plan)
                merged_report = merged.get(route.name)
                if merged_report is None:
                    merged[route.name] = report
                else:
                    merged_report.add(report)
        return merged

    async def overload(
        self, session: aiohttp.ClientSession, cluster: Cluster, route: Route
    ) -> dict[str, Any]:
        """Offers twice the maximum rate of the servers, without retries."""
        for node in cluster.nodes('server'):
            url = f'http://{node.addresses["serve"]}/faults'
            async with session.post(
                url, json={'delay_ms': _OVERLOAD_SERVICE_MS}
            ) as answer:
                answer.raise_for_status()
        maximum = await self._load(
            route, LoadPlan((), SERVICE, deadline_ms=_OVERLOAD_DEADLINE_MS)
        )
        maximum_per_s = maximum.summary()['done_per_s']
        overloaded = await self._load(
            route,
            LoadPlan(
                (),
                SERVICE,
                rate=2 * maximum_per_s,
                workers=_OVERLOAD_WORKERS,
                deadline_ms=_OVERLOAD_DEADLINE_MS,
                attempts=1,
            ),
        )
        goodput_per_s = overloaded.summary()['done_per_s']
        return {
            'most_per_s': maximum_per_s,
            'offered_per_s': 2 * maximum_per_s,
            'goodput_per_s': goodput_per_s,
            'goodput_share': round(goodput_per_s / maximum_per_s, 3),
            'most': maximum.summary(),
            'twice': overloaded.summary(),
        }

    async def _load(self, route: Route, plan: LoadPlan) -> LoadReport:
        self._loads += 1
        through_router = bool(route.name.endswith(('hop', 'hops')))
        report = await run_load(
            replace(
                plan,
                addresses=route.addresses,
                workers=max(plan.workers, _WORKERS),
                seconds=self._seconds,
                requests=1_000_000,
                seed=self._seed + self._loads,
                name=f'path{self._loads}',
                once_kind=ONCE_KIND,
                repeatable_kind=REPEATABLE_KIND,
            ),
            endpoint=route.endpoint,
        )
        self.wrong += report.items_by_outcome['wrong']
        if through_router:
            self.done_ids.extend(report.done_ids)
        return report


def _added_latency(half: dict[str, LoadReport]) -> dict[str, dict[str, float]]:
    """Returns latency of each route beyond the direct one, in ms."""
    direct = half['direct'].summary()['latency_ms']
    return {
        name: {
            percentile: round(
                report.summary()['latency_ms'][percentile] - direct[percentile],
                3,
            )
            for percentile in ('p50', 'p99')
        }
        for name, report in half.items()
        if name != 'direct'
    }
