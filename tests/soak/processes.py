"""Instances as separate processes."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from tests.builders.platform_system import REGION_BY_ZONE
from tests.builders.ports import free_port
from tests.soak.proxy import LoopbackProxy, running_proxy

_SETTINGS = """\
[instance]
name = {name}
data_centre = {zone}
region = {region}

[data_centres]
{zones}

[addresses]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
peers = 127.0.0.1:{peers}
advertised = 127.0.0.1:{advertised}
metrics = 127.0.0.1:{metrics}
store = {store}

[bounds]
grace = {grace}s

[machine]
{machine}"""
GRACE_S = 3
_END_TIMEOUT_S = 5.0
_MB = 1_000_000
_SOCKETS = Path('/proc/net/tcp')
_LOCAL_ADDRESS_COLUMN = 1
_INODE_COLUMN = 9


@dataclass
class SoakInstance:
    """An instance that is started, stopped, paused and killed by signals.

    Attributes:
        stopped_s: when SIGTERM was sent, on a monotonic clock.
        disturbed_s: when it last started, was suspended or resumed.
        machine: fields of the section of the machine that differ from their
            defaults.
    """

    name: str
    zone: str
    directory: Path
    store: str
    proxies: list[LoopbackProxy]
    ports: dict[str, int] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    terminating: bool = False
    ending: bool = False
    stopped_s: list[float] = field(default_factory=list)
    disturbed_s: float = 0
    machine: dict[str, int] = field(default_factory=dict)

    @property
    def ended_by_itself(self) -> bool:
        """Whether the process ended without a signal to end."""
        ended = self.process is not None and self.process.returncode is not None
        return ended and not self.ending

    def write_settings(self) -> Path:
        """Writes the settings file; returns its path."""
        zones = '\n'.join(
            f'{zone} = {region}' for zone, region in REGION_BY_ZONE.items()
        )
        machine = ''.join(
            f'{name} = {number}\n' for name, number in self.machine.items()
        )
        path = self.directory / f'{self.name}.ini'
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                zone=self.zone,
                region=REGION_BY_ZONE[self.zone],
                zones=zones,
                store=self.store,
                grace=GRACE_S,
                machine=machine,
                **self.ports,
            )
        )
        return path

    async def start(self) -> None:
        """Starts the process; its log is next to the settings file."""
        log = (self.directory / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'yuccadale_platform',
            stdout=log,
            stderr=log,
            env=os.environ | {'YUCCADALE_BOOT': str(self.write_settings())},
        )
        log.close()
        self.paused = False
        self.terminating = False
        self.ending = False
        self.disturbed_s = time.monotonic()

    def open_files(self) -> set[str]:
        """Returns what the process has open, as /proc names it."""
        if self.process is None or self.process.returncode is not None:
            return set()
        found: set[str] = set()
        with suppress(OSError):
            for link in Path(f'/proc/{self.process.pid}/fd').iterdir():
                with suppress(OSError):
                    found.add(os.readlink(link))
        return found

    async def restart_if_ended(self) -> None:
        """Restarts the process if it ended or was asked to terminate."""
        assert self.process is not None
        if self.terminating:
            await self.wait()
        if self.process.returncode is not None:
            await self.start()

    def resident_mb(self) -> float:
        """Returns the resident memory of the process; 0 without one."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            pages = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0
        return int(pages.split()[1]) * os.sysconf('SC_PAGE_SIZE') / _MB

    async def is_listening(self) -> bool:
        """Returns whether the process accepts connections."""
        try:
            _, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports['readiness']
            )
        except OSError:
            return False
        writer.close()
        return True

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            # The method of the process may take its exit status from the
            # event loop.
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)
            if number in {signal.SIGSTOP, signal.SIGCONT}:
                self.disturbed_s = time.monotonic()
            self.paused = number == signal.SIGSTOP
            self.ending |= number in {signal.SIGKILL, signal.SIGTERM}
            if number == signal.SIGTERM:
                self.stopped_s.append(time.monotonic())

    async def kill(self) -> None:
        """Kills the process, also a paused one."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await asyncio.wait_for(self.wait(), _END_TIMEOUT_S)

    async def wait(self) -> int:
        """Waits for the end of the process; returns its exit status."""
        assert self.process is not None
        return await self.process.wait()


def owner_of_connection(
    port: int, instances: list[SoakInstance]
) -> SoakInstance | None:
    """Returns the instance that has a connection from a local port."""
    rows = map(str.split, _SOCKETS.read_text().splitlines()[1:])
    sockets = {
        f'socket:[{row[_INODE_COLUMN]}]'
        for row in rows
        if row[_LOCAL_ADDRESS_COLUMN].endswith(f':{port:04X}')
    }
    owners = (one for one in instances if sockets & one.open_files())
    return next(owners, None)


@asynccontextmanager
async def soak_instances(
    count: int, directory: Path, store: tuple[str, int]
) -> AsyncIterator[list[SoakInstance]]:
    """Runs instances; kills only the processes that it started.

    Each instance connects to the store through a proxy of its own. The other
    instances connect to it through another one.
    """
    async with AsyncExitStack() as stack:
        instances = [
            await _create_instance(number, directory, store, stack)
            for number in range(count)
        ]
        async with _started(instances):
            yield instances


@asynccontextmanager
async def _started(instances: list[SoakInstance]) -> AsyncIterator[None]:
    try:
        for instance in instances:
            await instance.start()
        yield
    finally:
        for started in instances:
            await started.kill()


async def _create_instance(
    number: int,
    directory: Path,
    store: tuple[str, int],
    stack: AsyncExitStack,
) -> SoakInstance:
    zones = list(REGION_BY_ZONE)
    ports = {
        purpose: free_port()
        for purpose in ('callers', 'readiness', 'peers', 'metrics')
    }
    peer_proxy = await stack.enter_async_context(
        running_proxy(('127.0.0.1', ports['peers']), free_port())
    )
    store_proxy = await stack.enter_async_context(
        running_proxy(store, free_port())
    )
    ports['advertised'] = peer_proxy.address[1]
    host, port = store_proxy.address
    return SoakInstance(
        f'edge-{number}',
        zones[number % len(zones)],
        directory,
        f'{host}:{port}',
        [peer_proxy, store_proxy],
        ports,
    )
