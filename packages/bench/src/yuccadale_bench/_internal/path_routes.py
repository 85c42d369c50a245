"""Routes from caller to server that the command ``path`` compares."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from yuccadale_bench._internal.bench_plans import CENTRE, SERVICE
from yuccadale_bench._internal.cluster import Cluster, Node, free_addresses
from yuccadale_bench._internal.load_run import (
    Endpoint,
    direct_to_server,
    through_entry,
)

_UNLIMITED = '10000'


@dataclass(frozen=True, slots=True)
class Route:
    """A route to a server.

    Attributes:
        endpoint: builds URL and headers of an attempt.
        process_ids: processes between caller and server.
    """

    name: str
    addresses: tuple[str, ...]
    endpoint: Endpoint
    process_ids: tuple[int, ...]


async def group_row(
    session: aiohttp.ClientSession, cluster: Cluster
) -> dict[str, list[str]]:
    """Reads the group row of the only group from the table."""
    url = f'{cluster.platform_url}/table/group/{SERVICE}/{CENTRE}/0'
    async with session.get(url) as answer:
        return json.loads((await answer.json())['value'])


@asynccontextmanager
async def running_routes(
    session: aiohttp.ClientSession, cluster: Cluster, servers: int
) -> AsyncIterator[list[Route]]:
    """Adds servers without limits and a relay to a running cluster."""
    addresses = free_addresses(servers + 1)
    nodes = [
        _node(f'direct-{number}', address, _server_command(number, address))
        for number, address in enumerate(addresses[:servers])
    ]
    relay_address = addresses[-1]
    direct = tuple(addresses[:servers])
    nodes.append(_node('relay', relay_address, _relay_command(addresses)))
    for started in nodes:
        cluster.node_by_name[started.name] = started
        await cluster.start(started.name)
    row = await group_row(session, cluster)
    group_members = {row['leader'][0], row['standby'][0]}
    other_entry = next(
        node
        for node in cluster.nodes('entry')
        if node.name not in group_members
    )
    leader = cluster.node_by_name[row['leader'][0]]
    entries = tuple(_process_id(node) for node in cluster.nodes('entry'))
    yield [
        Route('direct', direct, direct_to_server, ()),
        Route(
            'bare relay',
            (relay_address,),
            direct_to_server,
            (_process_id(nodes[-1]),),
        ),
        Route('one hop', _caller_addresses(leader), through_entry, entries),
        Route(
            'two hops', _caller_addresses(other_entry), through_entry, entries
        ),
    ]


def _caller_addresses(node: Node) -> tuple[str, ...]:
    return (node.addresses['caller'],)


def _process_id(node: Node) -> int:
    if node.process is None:
        raise RuntimeError(f'{node.name} was not started')
    return node.process.pid


def _node(name: str, address: str, command: list[str]) -> Node:
    # The kind makes the cluster stop it together with its servers.
    return Node(name, 'server', '', '', '', {'serve': address}, command)


def _server_command(number: int, address: str) -> list[str]:
    return [
        *('-m', 'yuccadale_standins', 'server', '--not-checking'),
        *('--name', f'direct-{number}', '--service', SERVICE),
        *('--concurrency', _UNLIMITED, '--connections', _UNLIMITED),
        *('--port', address.rpartition(':')[2]),
    ]


def _relay_command(addresses: list[str]) -> list[str]:
    return [
        *('-m', 'yuccadale_bench', 'relay'),
        *('--port', addresses[-1].rpartition(':')[2]),
        *('--addresses', ','.join(addresses[:-1])),
    ]
