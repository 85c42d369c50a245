"""Starts stand-ins and daemons as processes on loopback.

All processes are stopped when the context manager exits. Each process writes
its output to a file in the cluster's directory.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

_HOST = '127.0.0.1'
_START_TIMEOUT_S = 30
_POLL_S = 0.05
_STOP_TIMEOUT_S = 40
_HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class CentrePlan:
    """A data centre and how many entry instances it has."""

    name: str
    region: str
    instances: int


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service and how many servers it has in each data centre."""

    name: str
    servers_per_centre: int
    concurrency: int
    connections: int
    checks_grants: bool = True


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """The processes to start and the declaration files to apply."""

    centres: tuple[CentrePlan, ...]
    services: tuple[ServicePlan, ...]
    declaration_files: tuple[Path, ...]


@dataclass(slots=True)
class Node:
    """One process of the cluster.

    Attributes:
        addresses: ``host:port`` by purpose: ``caller``, ``peer`` and
            ``operator`` of an entry instance, ``serve`` of others.
        command: arguments of the Python interpreter.
    """

    name: str
    kind: str
    data_centre: str
    service: str
    rack: str
    addresses: dict[str, str]
    command: list[str]
    process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Cluster:
    """The processes of a cluster by name, running or not."""

    directory: Path
    node_by_name: dict[str, Node] = field(default_factory=dict)
    operator_private_key: Path = Path()

    def nodes(self, kind: str) -> list[Node]:
        """Returns the nodes of a kind: platform, server or entry."""
        return [
            node for node in self.node_by_name.values() if node.kind == kind
        ]

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        platform = self.node_by_name['platform']
        return f'http://{platform.addresses["serve"]}'

    def operator_addresses(self) -> list[str]:
        """Returns the operator addresses of all running entry instances."""
        return [
            node.addresses['operator']
            for node in self.nodes('entry')
            if node.running
        ]

    async def start(self, name: str) -> None:
        """Starts a node's process and waits until it accepts connections."""
        node = self.node_by_name[name]
        log_path = self.directory / f'{name}.log'
        with log_path.open('ab') as log_file:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *node.command,
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        await _wait_until_listening(node, log_path)

    def kill(self, name: str) -> float:
        """Sends SIGKILL to a process; returns the monotonic time in s."""
        return self.signal(name, signal.SIGKILL)

    def signal(self, name: str, number: signal.Signals) -> float:
        """Sends a signal; returns the monotonic time in seconds."""
        process = self.node_by_name[name].process
        if process is None or process.returncode is not None:
            raise RuntimeError(f'{name} is not running')
        sent_at = time.monotonic()
        process.send_signal(number)
        return sent_at

    async def wait_for_exit(self, name: str) -> int:
        """Waits until a process has exited; returns its exit status."""
        process = self.node_by_name[name].process
        if process is None:
            raise RuntimeError(f'{name} was not started')
        return await asyncio.wait_for(process.wait(), _STOP_TIMEOUT_S)

    async def stop_all(self) -> None:
        """Stops entry instances with SIGTERM, then kills all others."""
        for kind, number in (
            ('entry', signal.SIGTERM),
            ('server', signal.SIGKILL),
            ('platform', signal.SIGKILL),
        ):
            running = [node for node in self.nodes(kind) if node.running]
            for node in running:
                self.signal(node.name, signal.SIGCONT)
                self.signal(node.name, number)
            for node in running:
                await _wait_or_kill(node)


async def _wait_or_kill(node: Node) -> None:
    process = node.process
    if process is None:
        return
    try:
        await asyncio.wait_for(process.wait(), _STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


async def _wait_until_listening(node: Node, log_path: Path) -> None:
    address = node.addresses.get('operator') or node.addresses['serve']
    host, _, port = address.rpartition(':')
    deadline = time.monotonic() + _START_TIMEOUT_S
    while node.running and time.monotonic() < deadline:
        if await _accepts_connections(host, int(port)):
            return
        await asyncio.sleep(_POLL_S)
    tail = log_path.read_text(errors='replace')[-2000:]
    raise RuntimeError(f'{node.name} did not start:\n{tail}')


async def _accepts_connections(host: str, port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


@contextmanager
def reserved_ports(count: int) -> Iterator[list[int]]:
    """Binds free ports, found with port 0, until the context exits."""
    with ExitStack() as stack:
        ports = []
        for _ in range(count):
            bound = stack.enter_context(socket.socket())
            bound.bind((_HOST, 0))
            ports.append(bound.getsockname()[1])
        yield ports


def free_addresses(count: int) -> list[str]:
    """Returns ``host:port`` of free ports; they aren't reserved."""
    with reserved_ports(count) as ports:
        return [f'{_HOST}:{port}' for port in ports]


def _plan_servers(plan: ClusterPlan) -> list[Node]:
    nodes = []
    for service in plan.services:
        for centre in plan.centres:
            for number in range(service.servers_per_centre):
                name = f'{service.name}-{centre.name}-{number}'
                nodes.append(
                    Node(
                        name=name,
                        kind='server',
                        data_centre=centre.name,
                        service=service.name,
                        rack=f'{centre.name}-rack-{number % 2}',
                        addresses={},
                        command=[
                            '-m',
                            'yuccadale_standins',
                            'server',
                            '--name',
                            name,
                            '--service',
                            service.name,
                            '--concurrency',
                            str(service.concurrency),
                            '--connections',
                            str(service.connections),
                            *(
                                []
                                if service.checks_grants
                                else ['--not-checking']
                            ),
                        ],
                    )
                )
    return nodes


def _plan_entries(plan: ClusterPlan) -> list[Node]:
    return [
        Node(
            name=f'{centre.name}-{number}',
            kind='entry',
            data_centre=centre.name,
            service='',
            rack=f'{centre.name}-rack-{number}',
            addresses={},
            command=[],
        )
        for centre in plan.centres
        for number in range(centre.instances)
    ]


def _write_instances(directory: Path, nodes: list[Node]) -> Path:
    path = directory / 'instances.json'
    listed = [
        {
            'name': node.name,
            'kind': node.kind,
            'data_centre': node.data_centre,
            'rack': node.rack,
            'service': node.service,
            'address': node.addresses.get('peer') or node.addresses['serve'],
            'state': 'live',
        }
        for node in nodes
    ]
    path.write_text(json.dumps(listed))
    return path


def write_settings(directory: Path, node: Node, platform_url: str) -> Path:
    """Writes the settings file of an entry instance."""
    path = directory / f'{node.name}.ini'
    path.write_text(
        '\n'.join(
            (
                '[instance]',
                f'name = {node.name}',
                f'data_centre = {node.data_centre}',
                f'rack = {node.rack}',
                f'caller_address = {node.addresses["caller"]}',
                f'peer_address = {node.addresses["peer"]}',
                f'operator_address = {node.addresses["operator"]}',
                '[platform]',
                f'url = {platform_url}',
                '[keys]',
                f'peer_keys = {directory / "peer-keys"}',
                f'operator_keys = {directory / "operator-keys"}',
                '',
            )
        )
    )
    return path


def _assign_addresses(nodes: list[Node]) -> None:
    purposes = [
        (node, purpose)
        for node in nodes
        for purpose in (
            ('caller', 'peer', 'operator')
            if node.kind == 'entry'
            else ('serve',)
        )
    ]
    addresses = free_addresses(len(purposes))
    for (node, purpose), address in zip(purposes, addresses, strict=True):
        node.addresses[purpose] = address


def _port(address: str) -> str:
    return address.rpartition(':')[2]


def plan_cluster(plan: ClusterPlan, directory: Path) -> Cluster:
    """Assigns addresses and writes settings and keys; starts no process."""
    from yuccadale_bench._internal.keys import write_keys

    platform = Node('platform', 'platform', '', '', '', {}, [])
    nodes = [platform, *_plan_servers(plan), *_plan_entries(plan)]
    _assign_addresses(nodes)
    cluster = Cluster(directory, {node.name: node for node in nodes})
    instances_path = _write_instances(
        directory, [node for node in nodes if node.kind != 'platform']
    )
    cluster.operator_private_key = write_keys(directory)
    for node in nodes:
        if node.kind == 'server':
            node.command += ['--port', _port(node.addresses['serve'])]
            # Records in a file survive a kill of the process.
            node.command += [
                '--records',
                str(directory / f'{node.name}.records'),
            ]
        elif node.kind == 'entry':
            settings = write_settings(directory, node, cluster.platform_url)
            node.command += ['-m', 'yuccadale_router', 'run', str(settings)]
    platform.command += [
        '-m',
        'yuccadale_standins',
        'platform',
        '--port',
        _port(platform.addresses['serve']),
        '--instances',
        str(instances_path),
    ]
    return cluster


async def start_nodes(cluster: Cluster) -> None:
    """Starts the platform, then all servers, then all entry instances."""
    await cluster.start('platform')
    for kind in ('server', 'entry'):
        await asyncio.gather(
            *(cluster.start(node.name) for node in cluster.nodes(kind))
        )


@asynccontextmanager
async def running_cluster(
    plan: ClusterPlan, directory: Path
) -> AsyncIterator[Cluster]:
    """Plans and runs the platform, all servers and all entry instances."""
    async with running_nodes(plan_cluster(plan, directory)) as cluster:
        yield cluster


@asynccontextmanager
async def running_nodes(cluster: Cluster) -> AsyncIterator[Cluster]:
    """Runs the processes of a planned cluster."""
    try:
        await start_nodes(cluster)
        yield cluster
    finally:
        await cluster.stop_all()


async def apply_declaration(cluster: Cluster, plan: ClusterPlan) -> str:
    """Submits the declaration with the client; returns the client's output."""
    command = [
        '-m',
        'yuccadale',
        'apply',
        '--wait',
        '--key',
        str(cluster.operator_private_key),
        *(str(path) for path in plan.declaration_files),
    ]
    client = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={
            **os.environ,
            'YUCCADALE_INSTANCES': ','.join(cluster.operator_addresses()),
        },
    )
    printed, _ = await client.communicate()
    text = printed.decode(errors='replace')
    if client.returncode != 0:
        raise RuntimeError(
            f'yuccadale apply failed with status {client.returncode}:\n{text}'
        )
    return text


async def fetch_json(session: aiohttp.ClientSession, url: str) -> Any:
    """Reads a JSON document; raises RuntimeError on a status other than 200."""
    async with session.get(url) as answer:
        if answer.status != _HTTP_OK:
            raise RuntimeError(f'{url} returned status {answer.status}')
        return await answer.json(content_type=None)
