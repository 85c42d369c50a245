"""A randomized soak test of instance processes with injected faults.

``python -m tests.soak.run --seeds 50 --first 1`` runs seeds by hand;
``--instances 40`` with more processes. ``--planned`` plays planned work only:
then each request that reached a server has to get an answer.
"""

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from http import HTTPStatus
from pathlib import Path

import aiohttp

from tests.builders.copied_answers import CopiedAnswers
from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import RunningStore, running_store
from tests.builders.platform_system import HOST
from tests.soak.evacuations import SoakEvacuations
from tests.soak.faults import SoakFaults
from tests.soak.kept_callers import (
    LIMIT_MS,
    CallersView,
    UnknownOutcome,
    call_on_kept_connections,
)
from tests.soak.processes import GRACE_S, SoakInstance, soak_instances
from tests.soak.proxy import LoopbackProxy, running_proxy
from tests.soak.report import SoakReport
from tests.soak.routes import (
    PATHS,
    RouteRecord,
    check_requests,
    request_body,
    soak_configuration,
)
from tests.soak.statements import StatementRecord

INSTANCES = 4
KEYED_SERVERS = 4
# The others have no faults, so that seeds repeat the faults that they injected
# when there were no others.
_FAULTY_SERVERS = KEYED_SERVERS + 1
CALLERS = 6
_KEY_COUNT = 65536
# Answers that promise that the request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_READY_TIMEOUT_S = 15.0
_MEMORY_MB = 300
_MEMORY_CHECK_S = 0.1
_RECOVERY_TIMEOUT_S = 10.0
# As the users allow: a request may be broken off that was sent until then after
# SIGTERM, when its server is at work in the rest of the grace period.
_EXCUSED_UNTIL_S = 3.0
_EXCUSED_GRACE_SHARE = 5 / 6
# Between the time at which a request was sent and read.
_CLOCK_TOLERANCE_S = 0.05
# Requests for random keys that have to succeed at each instance.
_PROBES_PER_INSTANCE = 8


class SoakRun:
    """A run of one seed."""

    def __init__(
        self,
        seed: int,
        store: RunningStore,
        servers: list[PlatformServer],
        instances: list[SoakInstance],
        proxies: list[LoopbackProxy],
        session: aiohttp.ClientSession,
        statements: list[StatementRecord],
        evacuations: SoakEvacuations,
        routes: RouteRecord,
        *,
        planned: bool = False,
    ) -> None:
        self.report = SoakReport(seed)
        self._planned = planned
        self._view = CallersView()
        self._random = random.Random(seed)
        self._servers = servers
        self._instances = instances
        self._session = session
        self._statements = statements
        self._evacuations = evacuations
        self._routes = routes
        self._request_count = 0
        self._refused_ids: list[str] = []
        self._faults = SoakFaults(
            self.report,
            store,
            servers[:_FAULTY_SERVERS],
            instances,
            proxies[:_FAULTY_SERVERS],
            evacuations,
            planned=planned,
        )

    async def run(self, duration_s: float) -> SoakReport:
        """Runs load and faults, then waits until requests are served again."""
        await self._wait_until_served(
            _READY_TIMEOUT_S, 'not served after the start'
        )
        tasks = [
            asyncio.create_task(self._send_requests()) for _ in range(CALLERS)
        ]
        tasks.extend(
            asyncio.create_task(self._call_on_kept_connections(number))
            for number in range(CALLERS)
        )
        tasks.append(asyncio.create_task(self._check_holders()))
        tasks.append(asyncio.create_task(self._check_memory()))
        faults = self._faults.start()
        await asyncio.sleep(duration_s)
        for task in (*tasks, *faults):
            task.cancel()
        await asyncio.gather(*tasks, *faults, return_exceptions=True)
        await self._faults.clear()
        await self._wait_until_served(
            _RECOVERY_TIMEOUT_S, 'not served after the faults'
        )
        self._check_executions()
        self._check_unanswered()
        self._check_limits()
        for record in self._statements:
            self.report.problems.extend(record.problems)
            self.report.statements.update(record.counts)
        self.report.problems.extend(self._evacuations.problems)
        self.report.evacuations.update(self._evacuations.counts)
        self.report.problems.extend(self._routes.problems)
        self.report.routes.update(self._routes.counts)
        for server in self._servers:
            if server.copied_answers is not None:
                self.report.copies.update(server.copied_answers.counts)
        return self.report

    async def _send_requests(self) -> None:
        while True:
            await self._send_request(self._random.choice(self._instances))
            await asyncio.sleep(self._random.random() / 50)

    async def _call_on_kept_connections(self, number: int) -> None:
        name = f's{self.report.seed}-kept{number}'
        await call_on_kept_connections(
            self._instances,
            random.Random(name),
            (f'{name}-{count}' for count in itertools.count()),
            self._record_answer,
            self._view,
        )

    async def _send_request(self, instance: SoakInstance) -> int:
        self._request_count += 1
        request_id = f's{self.report.seed}-{self._request_count}'
        path = self._random.choice(PATHS)
        headers = {
            'Host': HOST,
            'X-Attempt-Id': request_id,
            'X-Deadline-Ms': str(LIMIT_MS),
            'X-Shard-Key': str(self._random.randrange(_KEY_COUNT)),
        }
        port = instance.ports['callers']
        sent_s = time.monotonic()
        try:
            async with self._session.post(
                f'http://127.0.0.1:{port}{path}',
                headers=headers,
                data=request_body(path, request_id),
            ) as answer:
                self._view.note_status(
                    request_id, answer.status, instance, sent_s
                )
                text = await answer.text()
                return self._record_answer(
                    request_id, path, answer.status, text.rstrip(' ')
                )
        except TimeoutError:
            # The caller gave up, long after the time limit that it had set.
            return self._record_answer(request_id, path, 0, '')
        except aiohttp.ClientError as error:
            took_s = time.monotonic() - sent_s
            self._view.unanswered[request_id] = (
                f'{instance.name}: {error!r} after {took_s:.2f} s'
            )
            return self._record_answer(request_id, path, 0, '')

    def _record_answer(
        self, request_id: str, path: str, status: int, text: str
    ) -> int:
        self.report.status_counts[status] += 1
        if status == 200 and text != f'POST {path} {request_id}':
            self.report.problems.append(f'{request_id} got {text!r}')
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            self.report.problems.append(f'{request_id} met an error')
        if status in _NOT_RUN_STATUSES:
            self._refused_ids.append(request_id)
        return status

    async def _check_holders(self) -> None:
        while True:
            for key in range(0, _KEY_COUNT, 997):
                holders = [
                    server.server_id
                    for server in self._servers
                    if server.keyed and server.holds(key)
                ]
                if len(holders) > 1:
                    self.report.problems.append(f'{key} held by {holders}')
            await asyncio.sleep(0.02)

    async def _check_memory(self) -> None:
        while True:
            for instance in self._instances:
                used_mb = instance.resident_mb()
                if used_mb > _MEMORY_MB:
                    self.report.problems.append(
                        f'{instance.name} uses {used_mb:.0f} MB'
                    )
            await asyncio.sleep(_MEMORY_CHECK_S)

    def _check_unanswered(self) -> None:
        """Finds requests that reached a server and got no answer of it.

        Only planned work excuses none of them, but what a stop may break off.
        """
        if not self._planned:
            return
        ran = set[str]().union(*(one.executions for one in self._servers))
        self.report.problems.extend(
            f'{request_id} ran and got no answer from {instance}'
            for request_id, instance in self._view.unanswered.items()
            if request_id in ran
        )
        self.report.problems.extend(
            f'{request_id} ran and was broken off by {unknown.instance.name}'
            f' after {unknown.took_s:.2f} s'
            for request_id, unknown in self._view.unknown_by_id.items()
            if request_id in ran and not _may_be_broken_off(unknown)
        )

    def _check_executions(self) -> None:
        executions: Counter[str] = Counter()
        for server in self._servers:
            executions.update(server.executions)
        for request_id, count in executions.items():
            if count > self._routes.max_runs(request_id):
                self.report.problems.append(f'{request_id} ran {count} times')
        for request_id in self._refused_ids:
            if executions[request_id]:
                self.report.problems.append(f'{request_id} was refused and ran')

    def _check_limits(self) -> None:
        for server_id, record in self._faults.limits_by_server.items():
            self.report.problems.extend(
                f'{server_id}: {problem}'
                for problem in record.excess(time.monotonic())
            )

    async def _wait_until_instance_serves(self, instance: SoakInstance) -> None:
        while await self._send_request(instance) != 200:
            await asyncio.sleep(0.05)

    async def _wait_until_served(self, timeout_s: float, problem: str) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                for instance in self._instances * _PROBES_PER_INSTANCE:
                    await self._wait_until_instance_serves(instance)
        except TimeoutError:
            self.report.problems.append(problem)


def _may_be_broken_off(unknown: UnknownOutcome) -> bool:
    """Whether the users allow that an instance gave up on a request.

    Its time limit was reached, or it was sent early in a stop, and its server
    was still at work late in the grace period.
    """
    if unknown.took_s >= LIMIT_MS / 1000 - _CLOCK_TOLERANCE_S:
        return True
    return any(
        unknown.sent_s <= stopped_s + _EXCUSED_UNTIL_S
        and unknown.answered_s >= stopped_s + GRACE_S * _EXCUSED_GRACE_SHARE
        for stopped_s in unknown.instance.stopped_s
    )


@asynccontextmanager
async def _server_behind_proxy(
    server: PlatformServer, store: RunningStore
) -> AsyncIterator[LoopbackProxy]:
    """Runs a server that registers the address of its proxy."""
    async with running_server(server, store):
        host, _, port = server.address.rpartition(':')
        async with running_proxy((host, int(port))) as proxy:
            server.address = f'{proxy.address[0]}:{proxy.address[1]}'
            store.state.put('servers', server.server_id, server.entry())
            yield proxy


def _servers(seed: int) -> list[PlatformServer]:
    """Returns servers with keys and, in each data centre, one without."""
    servers = [
        PlatformServer(f'k{number}', 'ledger', 'ab'[number % 2], keyed=True)
        for number in range(KEYED_SERVERS)
    ]
    servers.append(PlatformServer('p0', 'stage', 'a', keyed=False))
    servers.append(PlatformServer('p1', 'stage', 'b', keyed=False))
    for server in servers:
        server.copied_answers = CopiedAnswers(
            random.Random(f'{seed} {server.server_id}')
        )
    return servers


async def run_seed(
    seed: int,
    duration_s: float,
    directory: Path,
    count: int = INSTANCES,
    *,
    planned: bool = False,
) -> SoakReport:
    """Runs one seed with a number of instances.

    Logs and settings stay in the directory.
    """
    servers = _servers(seed)
    statements = list(map(StatementRecord, servers))
    routes = RouteRecord()
    client_timeout = aiohttp.ClientTimeout(total=LIMIT_MS / 1000 + 1)
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        store.state.put('op', 'config', soak_configuration())
        evacuations = SoakEvacuations(store, statements)
        for record in statements:
            check_requests(record.server, routes.check)
            check_requests(record.server, evacuations.check)
        proxies = [
            await stack.enter_async_context(_server_behind_proxy(server, store))
            for server in servers
        ]
        instances = await stack.enter_async_context(
            soak_instances(count, directory, store.address)
        )
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=client_timeout)
        )
        for record, proxy in zip(statements, proxies, strict=True):
            record.proxy = proxy
            record.instances = instances
        soak_run = SoakRun(
            seed,
            store,
            servers,
            instances,
            proxies,
            session,
            statements,
            evacuations,
            routes,
            planned=planned,
        )
        return await soak_run.run(duration_s)


def main() -> int:
    """Runs seeds; returns 1 if a guarantee was violated, otherwise 0."""
    parser = argparse.ArgumentParser(prog='tests.soak.run')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--instances', type=int, default=INSTANCES)
    parser.add_argument('--planned', action='store_true')
    options = parser.parse_args()
    status = 0
    for seed in range(options.first, options.first + options.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f'yuccadale-soak-{seed}-'))
        report = asyncio.run(
            run_seed(
                seed,
                options.seconds,
                directory,
                options.instances,
                planned=options.planned,
            )
        )
        print(
            seed,
            dict(report.status_counts),
            dict(report.copies),
            dict(report.statements),
            dict(report.routes),
            dict(report.evacuations),
            report.faults,
            flush=True,
        )
        for problem in report.problems:
            status = 1
            print(f'seed {seed}: {problem}; logs in {directory}')
    return status


if __name__ == '__main__':
    sys.exit(main())
