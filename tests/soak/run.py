"""A randomized soak test of instance processes with injected faults.

``python -m tests.soak.run --seeds 50 --first 1`` runs seeds by hand;
``--instances 40`` with more processes. ``--planned`` plays planned work only:
then each request that reached a server has to get an answer.
"""

import argparse
import asyncio
import itertools
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf
from pathlib import Path

import aiohttp

from tests.builders.limit_record import LimitRecord
from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import RunningStore, running_store
from tests.builders.platform_system import HOST, configuration, route
from tests.soak.kept_callers import (
    LIMIT_MS,
    CallersView,
    UnknownOutcome,
    call_on_kept_connections,
)
from tests.soak.processes import GRACE_S, SoakInstance, soak_instances
from tests.soak.proxy import LoopbackProxy, running_proxy

INSTANCES = 4
KEYED_SERVERS = 4
CALLERS = 6
_KEY_COUNT = 65536
# Answers that promise that the request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_FAULT_PAUSES_S = (0.1, 0.4, 1.0)
_CONNECTION_FAULT_S = (0.3, 1.0, 3.0)
_STORE_DISCONNECTED_S = 6.0
_READY_TIMEOUT_S = 15.0
_LIMITS_PER_S = (0, 2, 6.5, 17.5)
_LIMIT_S = 6.0
# As the users allow.
_LIMIT_SETTLING_S = 3.0
_PORT_TAKEN_S = 1.0
_WORK_S = (0.005, 0.05, 0.3, 0.8)
# As the users' servers wait after they have said that they leave.
_DRAINING_S = 2.0
_ROUTE_TIMEOUTS = ('2000ms', '3000ms')
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


Fault = Callable[[random.Random], Coroutine[None, None, None]]


@dataclass
class SoakReport:
    """Answers to callers, injected faults and violated guarantees."""

    seed: int
    status_counts: Counter[int] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


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
        *,
        planned: bool = False,
    ) -> None:
        self.report = SoakReport(seed)
        self._planned = planned
        self._view = CallersView()
        self._random = random.Random(seed)
        self._store = store
        self._servers = servers
        self._instances = instances
        # Of each server; then, of each instance, for its peers and its store.
        self._proxies = [
            *proxies,
            *(proxy for instance in instances for proxy in instance.proxies),
        ]
        self._session = session
        self._request_count = 0
        self._configuration_version = 1
        self._refused_ids: list[str] = []
        self._limits_by_server = {
            server.server_id: LimitRecord(_LIMIT_SETTLING_S, server.arrivals_s)
            for server in servers
        }

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
        # One fault of each kind at a time, so that faults overlap.
        faults = [
            asyncio.create_task(self._inject(kind, name))
            for name, kind in self._faults_by_name().items()
        ]
        await asyncio.sleep(duration_s)
        for task in (*tasks, *faults):
            task.cancel()
        await asyncio.gather(*tasks, *faults, return_exceptions=True)
        await self._clear_faults()
        await self._wait_until_served(
            _RECOVERY_TIMEOUT_S, 'not served after the faults'
        )
        self._check_executions()
        self._check_unanswered()
        self._check_limits()
        return self.report

    def _faults_by_name(self) -> dict[str, list[Fault]]:
        if self._planned:
            return {
                'stops': [self._terminate, self._restart_without_port],
                'other stops': [self._terminate, self._reload],
                'servers': [
                    self._drain_server,
                    self._replace_server,
                    self._change_work,
                ],
                'configuration': [self._change_configuration],
                # It excuses no unanswered request.
                'store': [self._store_down, self._drop_store_answers],
            }
        return {
            'processes': self._process_faults(),
            'connections': self._connection_faults(),
            'input': self._input_faults(),
            'limits': [self._limit_server],
        }

    def _process_faults(self) -> list[Fault]:
        return [
            self._kill,
            self._terminate,
            self._pause,
            self._store_down,
            self._drop_store_answers,
            self._drop_answers,
            self._send_without_end,
            self._drain_server,
            self._reload,
            self._restart_without_port,
        ]

    def _connection_faults(self) -> list[Fault]:
        return [
            self._delay,
            self._reset,
            self._stall_connections,
            self._block_one_direction,
            self._disconnect_store,
        ]

    def _input_faults(self) -> list[Fault]:
        return [self._damage_row, self._send_nonsense]

    async def _inject(self, faults: list[Fault], name: str) -> None:
        # Separate from the load, so that a seed repeats the same faults.
        random_source = random.Random(f'{self.report.seed} {name}')
        while True:
            fault = random_source.choice(faults)
            self.report.faults.append(fault.__name__.strip('_'))
            await fault(random_source)
            await asyncio.sleep(random_source.choice(_FAULT_PAUSES_S))

    async def _delay(self, random_source: random.Random) -> None:
        proxy = random_source.choice(self._proxies)
        proxy.delay_s = random_source.choice((0.02, 0.1, 0.5))
        await asyncio.sleep(random_source.choice(_CONNECTION_FAULT_S))
        proxy.clear_faults()

    async def _reset(self, random_source: random.Random) -> None:
        random_source.choice(self._proxies).reset()

    async def _stall_connections(self, random_source: random.Random) -> None:
        random_source.choice(self._proxies).stall_connections()

    async def _block_one_direction(self, random_source: random.Random) -> None:
        proxy = random_source.choice(self._proxies)
        proxy.blocked_directions = frozenset(
            (random_source.choice(('to_target', 'from_target')),)
        )
        await asyncio.sleep(random_source.choice(_CONNECTION_FAULT_S))
        proxy.clear_faults()

    async def _disconnect_store(self, random_source: random.Random) -> None:
        """Disconnects all instances from the store for longer than a lease.

        The leader keeps its role by the promises of its electors.
        """
        store_proxies = [instance.proxies[1] for instance in self._instances]
        for store_proxy in store_proxies:
            store_proxy.refuse_connections = True
            store_proxy.reset()
        await asyncio.sleep(_STORE_DISCONNECTED_S)
        for proxy in store_proxies:
            proxy.clear_faults()

    async def _kill(self, random_source: random.Random) -> None:
        instance = random_source.choice(self._instances)
        instance.signal(signal.SIGKILL)
        await instance.wait()
        await instance.start()

    async def _terminate(self, random_source: random.Random) -> None:
        await self._stop(random_source.choice(self._instances))

    async def _stop(
        self, instance: SoakInstance, taken_port: str | None = None
    ) -> None:
        """Stops an instance and starts it again.

        Args:
            instance: it is left alone if it is suspended or not running.
            taken_port: purpose of the port that another program has then.
        """
        # SIGTERM kills a process that has no handler for it yet.
        if instance.paused or not await instance.is_listening():
            return
        if instance.terminating:
            return
        instance.signal(signal.SIGTERM)
        instance.terminating = True
        if await instance.wait():
            self.report.problems.append(f'{instance.name} ended with an error')
        if taken_port is None:
            await instance.start()
            return
        address = ('127.0.0.1', instance.ports[taken_port])
        with socket.create_server(address):
            await instance.start()
            await asyncio.sleep(_PORT_TAKEN_S)

    async def _restart_without_port(self, random_source: random.Random) -> None:
        instance = random_source.choice(self._instances)
        await self._stop(
            instance,
            random_source.choice(('callers', 'readiness', 'peers', 'metrics')),
        )

    async def _change_work(self, random_source: random.Random) -> None:
        server = random_source.choice(self._servers)
        server.work_s = random_source.choice(_WORK_S)
        await asyncio.sleep(1.0)

    async def _send_without_end(self, random_source: random.Random) -> None:
        server = random_source.choice(self._servers)
        server.sends_without_end = True
        await asyncio.sleep(2.0)
        server.sends_without_end = False

    async def _pause(self, random_source: random.Random) -> None:
        instance = random_source.choice(self._instances)
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(random_source.choice((0.5, 2.0, 5.0)))
        instance.signal(signal.SIGCONT)

    async def _reload(self, random_source: random.Random) -> None:
        random_source.choice(self._instances).signal(signal.SIGHUP)

    async def _store_down(self, random_source: random.Random) -> None:
        self._store.faults.down = True
        await asyncio.sleep(random_source.choice((0.5, 2.0, 4.0)))
        self._store.faults.down = False

    async def _drop_store_answers(self, random_source: random.Random) -> None:
        self._store.faults.drop_answers = True
        await asyncio.sleep(1.0)
        self._store.faults.drop_answers = False

    async def _drop_answers(self, random_source: random.Random) -> None:
        server = random_source.choice(self._servers)
        server.drop_answers = True
        await asyncio.sleep(0.5)
        server.drop_answers = False

    async def _damage_row(self, random_source: random.Random) -> None:
        """Makes the record of keys unreadable until the leader writes it."""
        damaged = random_source.choice((b'', b'[', b'\xff\xff'))
        self._store.state.put('yuccadale', 'keys/ledger', damaged)
        await asyncio.sleep(random_source.choice(_CONNECTION_FAULT_S))

    async def _send_nonsense(self, random_source: random.Random) -> None:
        """Sends bytes that are no message to a peer's and a caller's port."""
        instance = random_source.choice(self._instances)
        chunk = random_source.randbytes(random_source.choice((4, 100, 5000)))
        for name in ('peers', 'callers'):
            try:
                _, writer = await asyncio.open_connection(
                    '127.0.0.1', instance.ports[name]
                )
            except OSError:
                continue
            writer.write(len(chunk).to_bytes(4, 'big') + chunk)
            await asyncio.sleep(0.05)
            writer.transport.abort()

    async def _drain_server(self, random_source: random.Random) -> None:
        server = random_source.choice(self._servers)
        for state in ('draining', 'ready'):
            self._store.state.put(
                'servers', server.server_id, server.entry(state)
            )
            await self._store.state.notify_feeds()
            await asyncio.sleep(1.0)

    async def _replace_server(self, random_source: random.Random) -> None:
        """Ends a server as planned, and starts it without what it held.

        It serves for a moment after it has left the list.
        """
        server = random_source.choice(self._servers)
        state = self._store.state
        state.put('servers', server.server_id, server.entry('draining'))
        await state.notify_feeds()
        await asyncio.sleep(_DRAINING_S)
        state.remove('servers', server.server_id)
        await state.notify_feeds()
        await asyncio.sleep(_DRAINING_S)
        while server.running_requests:
            await asyncio.sleep(_MEMORY_CHECK_S)
        server.restart()
        state.put('servers', server.server_id, server.entry())
        await state.notify_feeds()

    async def _change_configuration(self, random_source: random.Random) -> None:
        """Adds a route, or changes a time limit, in a new version."""
        self._configuration_version += random_source.choice((1, 7))
        added = route(prefix='/added/', kind='safe')
        timeout = random_source.choice(_ROUTE_TIMEOUTS)
        changed = route(prefix='/once/', service='stage', timeout=timeout)
        changes = random_source.choice(({'added': added}, {'once': changed}))
        self._store.state.put(
            'op',
            'config',
            configuration(self._configuration_version, **changes),
        )
        await self._store.state.notify_feeds()

    async def _limit_server(self, random_source: random.Random) -> None:
        """Lets a server name a limit, another one, and none again."""
        server = random_source.choice(self._servers)
        for _ in range(random_source.choice((1, 2))):
            per_s = random_source.choice(_LIMITS_PER_S)
            self._name_limit(server, per_s)
            await asyncio.sleep(_LIMIT_S)
        self._name_limit(server, inf)

    def _name_limit(self, server: PlatformServer, per_s: float) -> None:
        server.limit_text = None if per_s == inf else str(per_s)
        record = self._limits_by_server[server.server_id]
        record.named.append((time.monotonic(), per_s))

    async def _clear_faults(self) -> None:
        self._store.faults.down = False
        self._store.faults.drop_answers = False
        for proxy in self._proxies:
            proxy.clear_faults()
        for server in self._servers:
            server.drop_answers = False
            server.sends_without_end = False
            server.work_s = _WORK_S[0]
            self._name_limit(server, inf)
            self._store.state.put('servers', server.server_id, server.entry())
        await self._store.state.notify_feeds()
        for instance in self._instances:
            if instance.ended_by_itself:
                self.report.problems.append(f'{instance.name} ended by itself')
            instance.signal(signal.SIGCONT)
            await instance.restart_if_ended()

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
        path = self._random.choice(('/keyed/x', '/once/x'))
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
                data=request_id.encode(),
            ) as answer:
                self._view.note_status(
                    request_id, answer.status, instance, sent_s
                )
                return self._record_answer(
                    request_id, path, answer.status, await answer.text()
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
            if count > 1:
                self.report.problems.append(f'{request_id} ran {count} times')
        for request_id in self._refused_ids:
            if executions[request_id]:
                self.report.problems.append(f'{request_id} was refused and ran')

    def _check_limits(self) -> None:
        for server_id, record in self._limits_by_server.items():
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
    servers = [
        PlatformServer(f'k{number}', 'ledger', 'ab'[number % 2], keyed=True)
        for number in range(KEYED_SERVERS)
    ]
    servers.append(PlatformServer('p0', 'stage', 'a', keyed=False))
    client_timeout = aiohttp.ClientTimeout(total=LIMIT_MS / 1000 + 1)
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        store.state.put('op', 'config', configuration())
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
        soak_run = SoakRun(
            seed, store, servers, instances, proxies, session, planned=planned
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
        print(seed, dict(report.status_counts), report.faults, flush=True)
        for problem in report.problems:
            status = 1
            print(f'seed {seed}: {problem}; logs in {directory}')
    return status


if __name__ == '__main__':
    sys.exit(main())
