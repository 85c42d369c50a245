"""Faults that a soak test injects, in an order that its seed determines."""

import asyncio
import random
import signal
import socket
import time
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from math import inf

from tests.builders.limit_record import LimitRecord
from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_store import RunningStore
from tests.builders.platform_system import route
from tests.soak.evacuations import SoakEvacuations
from tests.soak.processes import SoakInstance
from tests.soak.proxy import LoopbackProxy
from tests.soak.report import SoakReport
from tests.soak.routes import soak_configuration

_PAUSES_S = (0.1, 0.4, 1.0)
_CONNECTION_FAULT_S = (0.3, 1.0, 3.0)
_STORE_DISCONNECTED_S = 6.0
_LIMITS_PER_S = (0, 2, 6.5, 17.5)
_LIMIT_S = 6.0
# As the users allow.
_LIMIT_SETTLING_S = 3.0
_SAID_PAUSES_S = (0.7, 2.0, 4.0)
_FULL_S = (0.1, 0.5, 2.0)
_LEAVING_S = 4.0
_PORT_TAKEN_S = 1.0
_WORK_S = (0.005, 0.05, 0.3, 0.8)
# As the users' servers wait after they have said that they leave.
_DRAINING_S = 2.0
_END_OF_WORK_CHECK_S = 0.1
_COPIES_S = (1.0, 2.0)
_REFUSED_SHARE = 1 / 3
_REFUSAL_STATUSES = (503, 429, 421, 400)
_FAILURE_STATUSES = (503, 429, 408)
_FAILURES_S = (0.5, 2.0)
_ENDLESS_CHUNKS = (bytes(64 * 1024), b'z', b'zzz', bytes(1024))
_ROUTE_TIMEOUTS = ('2000ms', '3000ms')

Fault = Callable[[random.Random], Coroutine[None, None, None]]


class SoakFaults:
    """Injects faults into a run.

    Attributes:
        limits_by_server: the limits that each server named, by its id.
    """

    def __init__(
        self,
        report: SoakReport,
        store: RunningStore,
        servers: list[PlatformServer],
        instances: list[SoakInstance],
        proxies: list[LoopbackProxy],
        evacuations: SoakEvacuations,
        *,
        planned: bool,
    ) -> None:
        """Creates the faults of a run.

        Args:
            report: lists the faults, and problems that they show.
            store: the store.
            servers: all servers.
            instances: all instances.
            proxies: the proxy of each server.
            evacuations: those of data centres.
            planned: whether to inject planned work only.
        """
        self._report = report
        self._store = store
        self._servers = servers
        self._instances = instances
        # Of each server; then, of each instance, for its peers and its store.
        self._proxies = [
            *proxies,
            *(proxy for instance in instances for proxy in instance.proxies),
        ]
        self._evacuations = evacuations
        self._planned = planned
        self._configuration_version = 1
        self.limits_by_server = {
            server.server_id: LimitRecord(_LIMIT_SETTLING_S, server.arrivals_s)
            for server in servers
        }

    def start(self) -> list[asyncio.Task[None]]:
        """Starts the faults, one of each kind at a time, so that they overlap.

        They go on until their tasks are cancelled.
        """
        return [
            asyncio.create_task(self._inject(kind, name))
            for name, kind in self._faults_by_name().items()
        ]

    async def clear(self) -> None:
        """Ends all faults; restarts instances that ended."""
        await self._evacuations.clear()
        self._store.faults.down = False
        self._store.faults.drop_answers = False
        for proxy in self._proxies:
            proxy.clear_faults()
        for server in self._servers:
            server.drop_answers = False
            server.sends_without_end = False
            server.failure_status = HTTPStatus.OK
            server.work_s = _WORK_S[0]
            self._name_limit(server, inf)
            server.full = False
            server.pause_text = None
            if server.leaving:
                await self._start_again(server)
            self._store.state.put('servers', server.server_id, server.entry())
        await self._store.state.notify_feeds()
        for instance in self._instances:
            if instance.ended_by_itself:
                self._report.problems.append(f'{instance.name} ended by itself')
            instance.signal(signal.SIGCONT)
            await instance.restart_if_ended()

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
                # These excuse no unanswered request.
                'store': [self._store_down, self._drop_store_answers],
                'answers': [self._copy_answers],
                'statements': [self._leave_by_answer, self._ask_for_pause],
                'evacuations': [self._evacuations.evacuate],
            }
        return {
            'processes': self._process_faults(),
            'connections': self._connection_faults(),
            'input': self._input_faults(),
            'limits': [self._limit_server],
            'answers': [self._copy_answers],
            'failures': [self._fail_after_work, self._send_small_chunks],
            'statements': [self._leave_by_answer, self._ask_for_pause],
            'evacuations': [self._evacuations.evacuate],
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
        random_source = random.Random(f'{self._report.seed} {name}')
        while True:
            fault = random_source.choice(faults)
            self._report.faults.append(fault.__name__.strip('_'))
            await fault(random_source)
            await asyncio.sleep(random_source.choice(_PAUSES_S))

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
            self._report.problems.append(f'{instance.name} ended with an error')
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

    async def _send_small_chunks(self, random_source: random.Random) -> None:
        server = random_source.choice(self._servers)
        server.endless_chunk = random_source.choice(_ENDLESS_CHUNKS)
        await self._send_without_end(random_source)

    async def _fail_after_work(self, random_source: random.Random) -> None:
        server = random_source.choice(self._servers)
        server.failure_status = random_source.choice(_FAILURE_STATUSES)
        await asyncio.sleep(random_source.choice(_FAILURES_S))
        server.failure_status = HTTPStatus.OK

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

    async def _copy_answers(self, random_source: random.Random) -> None:
        """Lets a server refuse requests, and send answers a second time."""
        server = random_source.choice(self._servers)
        status = random_source.choice(_REFUSAL_STATUSES)
        assert server.copied_answers is not None
        with server.copied_answers.active(status, _REFUSED_SHARE):
            await asyncio.sleep(random_source.choice(_COPIES_S))

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
        await self._start_again(server)

    async def _start_again(self, server: PlatformServer) -> None:
        """Starts another life of a server once its work has ended."""
        while server.running_requests:
            await asyncio.sleep(_END_OF_WORK_CHECK_S)
        server.leaving = False
        server.restart()
        self._store.state.put('servers', server.server_id, server.entry())
        await self._store.state.notify_feeds()

    async def _leave_by_answer(self, random_source: random.Random) -> None:
        """Lets a server say in its answers that it leaves, and start again.

        Its entry says that it is ready.
        """
        server = random_source.choice(self._servers)
        server.leaving = True
        await asyncio.sleep(_LEAVING_S)
        await self._start_again(server)

    async def _ask_for_pause(self, random_source: random.Random) -> None:
        """Lets a full server ask for a pause with its refusals."""
        server = random_source.choice(self._servers)
        server.pause_text = str(random_source.choice(_SAID_PAUSES_S))
        server.full = True
        await asyncio.sleep(random_source.choice(_FULL_S))
        server.full = False
        server.pause_text = None

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
            soak_configuration(self._configuration_version, **changes),
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
        record = self.limits_by_server[server.server_id]
        record.named.append((time.monotonic(), per_s))
