"""A randomized soak: real processes, faults from outside, promises checked.

``python -m tests.soak.run --seeds 50 --first 1`` plays seeds by hand.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import RunningStore, running_store
from tests.builders.platform_system import HOST, configuration
from tests.soak.processes import SoakInstance, soak_instances
from tests.soak.proxy import LoopbackProxy, running_proxy

INSTANCES = 4
KEYED_SERVERS = 4
CALLERS = 6
_KEY_COUNT = 65536
_DEADLINE_MS = 2000
_PROMISES = frozenset((408, 421, 429, 503))
_FAULT_PAUSES_S = (0.1, 0.4, 1.0)
_CONNECTION_FAULT_S = (0.3, 1.0, 3.0)
_STORE_CUT_S = 6.0
_READY_S = 15.0
_RECOVER_S = 10.0
# Requests to each instance, about different keys, that have to succeed.
_PROBES = 8


Fault = Callable[[random.Random], Coroutine[None, None, None]]


@dataclass
class SoakReport:
    """What callers saw, and what broke a promise."""

    seed: int
    status_counts: Counter[int] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


class Soak:
    """One seed."""

    def __init__(
        self,
        seed: int,
        store: RunningStore,
        servers: list[PlatformServer],
        instances: list[SoakInstance],
        proxies: list[LoopbackProxy],
        session: aiohttp.ClientSession,
    ) -> None:
        self.report = SoakReport(seed)
        self._random = random.Random(seed)
        self._store = store
        self._servers = servers
        self._instances = instances
        # Before servers, the store and each instance.
        self._proxies = [
            *proxies,
            *(proxy for one in instances for proxy in one.proxies),
        ]
        self._session = session
        self._attempt = 0
        self._refused: list[str] = []

    async def run(self, for_s: float) -> SoakReport:
        """Plays load and faults, then waits until all is served again."""
        await self._until_served(_READY_S, 'not served after the start')
        tasks = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
        tasks.append(asyncio.create_task(self._watch_holders()))
        # Two at a time, so that faults overlap as well as follow each other.
        faults = [
            asyncio.create_task(
                self._inject(self._process_faults(), 'processes')
            ),
            asyncio.create_task(
                self._inject(self._connection_faults(), 'connections')
            ),
        ]
        await asyncio.sleep(for_s)
        for task in (*tasks, *faults):
            task.cancel()
        await asyncio.gather(*tasks, *faults, return_exceptions=True)
        await self._heal()
        await self._until_served(_RECOVER_S, 'not served after the faults')
        self._check_runs()
        return self.report

    def _process_faults(self) -> list[Fault]:
        return [
            self._kill,
            self._terminate,
            self._pause,
            self._store_down,
            self._lose_store_answers,
            self._lose_answers,
            self._leave,
            self._reload,
        ]

    def _connection_faults(self) -> list[Fault]:
        return [
            self._delay,
            self._reset,
            self._silence,
            self._cut_one_way,
            self._cut_store_from_all,
        ]

    async def _inject(self, faults: list[Fault], name: str) -> None:
        # Of its own, so that a seed gives the same faults again.
        chance = random.Random(f'{self.report.seed} {name}')
        while True:
            fault = chance.choice(faults)
            self.report.faults.append(fault.__name__.strip('_'))
            await fault(chance)
            await asyncio.sleep(chance.choice(_FAULT_PAUSES_S))

    async def _delay(self, chance: random.Random) -> None:
        proxy = chance.choice(self._proxies)
        proxy.delay_s = chance.choice((0.02, 0.1, 0.5))
        await asyncio.sleep(chance.choice(_CONNECTION_FAULT_S))
        proxy.heal()

    async def _reset(self, chance: random.Random) -> None:
        chance.choice(self._proxies).reset()

    async def _silence(self, chance: random.Random) -> None:
        chance.choice(self._proxies).stall_connections()

    async def _cut_one_way(self, chance: random.Random) -> None:
        proxy = chance.choice(self._proxies)
        proxy.held = frozenset((chance.choice(('there', 'back')),))
        await asyncio.sleep(chance.choice(_CONNECTION_FAULT_S))
        proxy.heal()

    async def _cut_store_from_all(self, chance: random.Random) -> None:
        """Longer than a lease: the leader goes on by promises."""
        doors = [instance.proxies[1] for instance in self._instances]
        for door in doors:
            door.refusing = True
            door.reset()
        await asyncio.sleep(_STORE_CUT_S)
        for healed in doors:
            healed.heal()

    async def _kill(self, chance: random.Random) -> None:
        instance = chance.choice(self._instances)
        instance.signal(signal.SIGKILL)
        await instance.ended()
        await instance.start()

    async def _terminate(self, chance: random.Random) -> None:
        instance = chance.choice(self._instances)
        # A process that is still starting ends by the signal itself.
        if instance.paused or not await instance.listens():
            return
        instance.signal(signal.SIGTERM)
        instance.leaving = True
        if await instance.ended():
            self.report.problems.append(f'{instance.name} ended badly')
        await instance.start()

    async def _pause(self, chance: random.Random) -> None:
        instance = chance.choice(self._instances)
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(chance.choice((0.5, 2.0, 5.0)))
        instance.signal(signal.SIGCONT)

    async def _reload(self, chance: random.Random) -> None:
        chance.choice(self._instances).signal(signal.SIGHUP)

    async def _store_down(self, chance: random.Random) -> None:
        self._store.faults.down = True
        await asyncio.sleep(chance.choice((0.5, 2.0, 4.0)))
        self._store.faults.down = False

    async def _lose_store_answers(self, chance: random.Random) -> None:
        self._store.faults.lose_answers = True
        await asyncio.sleep(1.0)
        self._store.faults.lose_answers = False

    async def _lose_answers(self, chance: random.Random) -> None:
        server = chance.choice(self._servers)
        server.lose_answers = True
        await asyncio.sleep(0.5)
        server.lose_answers = False

    async def _leave(self, chance: random.Random) -> None:
        server = chance.choice(self._servers)
        for state in ('draining', 'ready'):
            self._store.state.put(
                'servers', server.server_id, server.entry(state)
            )
            await self._store.state.wake()
            await asyncio.sleep(1.0)

    async def _heal(self) -> None:
        self._store.faults.down = False
        self._store.faults.lose_answers = False
        for proxy in self._proxies:
            proxy.heal()
        for server in self._servers:
            server.lose_answers = False
            self._store.state.put('servers', server.server_id, server.entry())
        await self._store.state.wake()
        for instance in self._instances:
            instance.signal(signal.SIGCONT)
            await instance.restart_if_ended()

    async def _call(self) -> None:
        while True:
            await self._one(self._random.choice(self._instances))
            await asyncio.sleep(self._random.random() / 50)

    async def _one(self, instance: SoakInstance) -> int:
        self._attempt += 1
        attempt = f's{self.report.seed}-{self._attempt}'
        path = self._random.choice(('/keyed/x', '/once/x'))
        headers = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': str(_DEADLINE_MS),
            'X-Shard-Key': str(self._random.randrange(_KEY_COUNT)),
        }
        port = instance.ports['callers']
        try:
            async with self._session.post(
                f'http://127.0.0.1:{port}{path}',
                headers=headers,
                data=attempt.encode(),
            ) as answer:
                return self._seen(
                    attempt, path, answer.status, await answer.text()
                )
        except (aiohttp.ClientError, TimeoutError):
            return self._seen(attempt, path, 0, '')

    def _seen(self, attempt: str, path: str, status: int, text: str) -> int:
        self.report.status_counts[status] += 1
        if status == 200 and text != f'POST {path} {attempt}':
            self.report.problems.append(f'{attempt} got {text!r}')
        if status in _PROMISES:
            self._refused.append(attempt)
        return status

    async def _watch_holders(self) -> None:
        while True:
            for key in range(0, _KEY_COUNT, 997):
                holders = [
                    one.server_id
                    for one in self._servers
                    if one.keyed and one.holds(key)
                ]
                if len(holders) > 1:
                    self.report.problems.append(f'{key} held by {holders}')
            await asyncio.sleep(0.02)

    def _check_runs(self) -> None:
        runs: Counter[str] = Counter()
        for server in self._servers:
            runs.update(server.runs)
        for attempt, count in runs.items():
            if count > 1:
                self.report.problems.append(f'{attempt} ran {count} times')
        for attempt in self._refused:
            if runs[attempt]:
                self.report.problems.append(f'{attempt} was refused and ran')

    async def _until_one_served(self, instance: SoakInstance) -> None:
        while await self._one(instance) != 200:
            await asyncio.sleep(0.05)

    async def _until_served(self, within_s: float, problem: str) -> None:
        try:
            async with asyncio.timeout(within_s):
                for instance in self._instances * _PROBES:
                    await self._until_one_served(instance)
        except TimeoutError:
            self.report.problems.append(problem)


@asynccontextmanager
async def _reached_by_proxy(
    server: PlatformServer, store: RunningStore
) -> AsyncIterator[LoopbackProxy]:
    """Runs a server that registers the address of a proxy before it."""
    async with running_server(server, store):
        host, _, port = server.address.rpartition(':')
        async with running_proxy((host, int(port))) as proxy:
            server.address = f'{proxy.address[0]}:{proxy.address[1]}'
            store.state.put('servers', server.server_id, server.entry())
            yield proxy


async def play(seed: int, for_s: float, directory: Path) -> SoakReport:
    """Plays one seed; logs and settings stay in the directory."""
    servers = [
        PlatformServer(f'k{number}', 'ledger', 'ab'[number % 2], keyed=True)
        for number in range(KEYED_SERVERS)
    ]
    servers.append(PlatformServer('p0', 'stage', 'a', keyed=False))
    timeout = aiohttp.ClientTimeout(total=_DEADLINE_MS / 1000 + 1)
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        store.state.put('op', 'config', configuration())
        proxies = [
            await stack.enter_async_context(_reached_by_proxy(server, store))
            for server in servers
        ]
        instances = await stack.enter_async_context(
            soak_instances(INSTANCES, directory, store.address)
        )
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        soak = Soak(seed, store, servers, instances, proxies, session)
        return await soak.run(for_s)


def main() -> int:
    """Plays seeds; the status is 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog='tests.soak.run')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    options = parser.parse_args()
    status = 0
    for seed in range(options.first, options.first + options.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f'yuccadale-soak-{seed}-'))
        report = asyncio.run(play(seed, options.seconds, directory))
        print(seed, dict(report.status_counts), report.faults, flush=True)
        for problem in report.problems:
            status = 1
            print(f'seed {seed}: {problem}; logs in {directory}')
    return status


if __name__ == '__main__':
    sys.exit(main())
