"""The command ``silent-link``: open connections stop delivering data.

A silent connection stays open, but delivers no bytes in either direction.
"""

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
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
    Node,
    apply_declaration,
    free_addresses,
    plan_cluster,
    running_nodes,
)
from yuccadale_bench._internal.load_run import LoadPlan, LoadReport, run_load
from yuccadale_bench._internal.path_routes import group_row
from yuccadale_bench._internal.safety_checks import check_records
from yuccadale_bench._internal.stability import wait_until_served
from yuccadale_bench._internal.tcp_relay import TcpRelay, running_relay

KINDS = ('server', 'instance')
_TARGET_MS = 2000
_RATE = 100
_DEADLINE_MS = 5000
_BEFORE_S = 1.0
_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class Silence:
    """One silent link and the results of the load during it.

    Attributes:
        where: sender and receiver of the link.
        silenced: number of connections that became silent.
        longest_ms: longest time of a repeatable request; a request in flight
            waits until the silence is detected.
        lost: repeatable requests that were not answered.
        unknown_first: non-repeatable attempts with an unknown outcome.
        unknown_last: non-repeatable items whose outcome is still unknown
            after retries with the same id.
        refusals: refused repeatable requests by code.
    """

    where: str
    silenced: int
    longest_ms: float
    lost: int
    unknown_first: int
    unknown_last: int
    refusals: dict[str, int]


def run_command(arguments: Sequence[str]) -> int:
    """Measures one kind of link; returns 1 when a safety check fails."""
    parser = argparse.ArgumentParser(prog='yuccadale_bench silent-link')
    parser.add_argument('--kind', choices=KINDS, required=True)
    parser.add_argument('--silences', type=int, default=10)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as directory:
        summary = uvloop.run(_measure(options, Path(directory)))
    print(json.dumps(summary))
    return 0 if summary['safe'] else 1


async def _measure(
    options: argparse.Namespace, directory: Path
) -> dict[str, Any]:
    cluster_plan = write_cluster_plan(BenchPlan(), directory)
    cluster = plan_cluster(cluster_plan, directory)
    random_source = random.Random(options.seed)
    silences = []
    done_ids: list[str] = []
    async with (
        _running_relays(cluster, directory) as relay_by_name,
        running_nodes(cluster),
        aiohttp.ClientSession() as session,
    ):
        await apply_declaration(cluster, cluster_plan)
        for number in range(options.silences):
            await wait_until_served(cluster)
            where, relay, sender = await _choose_link(
                options.kind, session, cluster, relay_by_name, random_source
            )
            reports, silenced = await _load_during_silence(
                cluster, f'silent{number}', relay, sender
            )
            silences.append(_silence_of(where, silenced, *reports))
            print(silences[-1], file=sys.stderr)
            done_ids.extend(reports[1].done_ids)
    safety = check_records(directory, 'silent', done_ids)
    longest = [silence.longest_ms for silence in silences]
    return {
        'kind': options.kind,
        'seed': options.seed,
        'worst_ms': max(longest),
        'median_ms': statistics.median(longest),
        'missed': sum(longest_ms > _TARGET_MS for longest_ms in longest),
        'repeatable_lost': sum(silence.lost for silence in silences),
        'unknown_first': sum(silence.unknown_first for silence in silences),
        'unknown_last': sum(silence.unknown_last for silence in silences),
        'silences': [str(silence) for silence in silences],
        'records': safety.summary(),
        'safe': safety.clean,
    }


async def _choose_link(
    kind: str,
    session: aiohttp.ClientSession,
    cluster: Cluster,
    relay_by_name: dict[str, TcpRelay],
    random_source: random.Random,
) -> tuple[str, TcpRelay, bytes]:
    """Selects a link at random.

    Returns:
        name of the link, relay of the receiver, and the bytes that identify
        the sender's connections (empty: all connections of the relay).
    """
    if kind == 'server':
        name = random_source.choice(
            [node.name for node in cluster.nodes('server')]
        )
        return f'leader to {name}', relay_by_name[name], b''
    row = await group_row(session, cluster)
    leader, standby = row['leader'][0], row['standby'][0]
    others = [
        node.name
        for node in cluster.nodes('entry')
        if node.name not in {leader, standby}
    ]
    peer = random_source.choice(others)
    sender, receiver = random_source.choice([(leader, peer), (peer, leader)])
    # A batch starts with the name of its sender.
    return (
        f'{sender} to {receiver}',
        relay_by_name[receiver],
        _name_in_batch(sender),
    )


def _name_in_batch(name: str) -> bytes:
    """Returns the MessagePack prefix of a batch: array of 5, sender name."""
    return b'\x95%c%s' % (0xA0 + len(name), name.encode())


async def _load_during_silence(
    cluster: Cluster, name: str, relay: TcpRelay, sender: bytes
) -> tuple[tuple[LoadReport, LoadReport], int]:
    repeatable = asyncio.create_task(
        run_load(_load_plan(cluster, name, once_share=0, attempts=1))
    )
    once = asyncio.create_task(
        run_load(_load_plan(cluster, name, once_share=1, attempts=100))
    )
    await asyncio.sleep(_BEFORE_S)
    silenced = relay.stall_open_connections(sender)
    return (await repeatable, await once), silenced


def _load_plan(
    cluster: Cluster, name: str, *, once_share: int, attempts: int
) -> LoadPlan:
    seconds = _BEFORE_S + _AFTER_S
    return LoadPlan(
        addresses=tuple(
            node.addresses['caller'] for node in cluster.nodes('entry')
        ),
        service=SERVICE,
        workers=1000,
        rate=_RATE,
        requests=int(_RATE * seconds * 2),
        seconds=seconds,
        once_share=once_share,
        deadline_ms=_DEADLINE_MS,
        attempts=attempts,
        name=name,
        once_kind=ONCE_KIND,
        repeatable_kind=REPEATABLE_KIND,
        # Each run uses other keys.
        seed=int(time.monotonic()),
    )


def _silence_of(
    where: str, silenced: int, repeatable: LoadReport, once: LoadReport
) -> Silence:
    items = repeatable.items_by_outcome
    total = sum(items[end] for end in ('done', 'not run', 'unknown', 'wrong'))
    return Silence(
        where=where,
        silenced=silenced,
        longest_ms=repeatable.summary()['latency_ms']['max'],
        lost=total - items['done'],
        unknown_first=once.unknown_attempts,
        unknown_last=len(once.unknown_ids),
        refusals=dict(repeatable.refusals_by_code),
    )


@asynccontextmanager
async def _running_relays(
    cluster: Cluster, directory: Path
) -> AsyncIterator[dict[str, TcpRelay]]:
    """Runs a relay in front of each server and each peer listener."""
    nodes = [*cluster.nodes('server'), *cluster.nodes('entry')]
    relay_address_by_name = dict(
        zip(
            (node.name for node in nodes),
            free_addresses(len(nodes)),
            strict=True,
        )
    )
    _advertise_relays(directory, relay_address_by_name)
    async with AsyncExitStack() as stack:
        relay_by_name = {}
        for node in nodes:
            relay_address = relay_address_by_name[node.name]
            relay_by_name[node.name] = await stack.enter_async_context(
                running_relay(relay_address, _own_address(node))
            )
        yield relay_by_name


def _own_address(node: Node) -> str:
    return node.addresses.get('peer') or node.addresses['serve']


def _advertise_relays(
    directory: Path, relay_address_by_name: dict[str, str]
) -> None:
    """Writes the relays' addresses to the instance list and the settings."""
    path = directory / 'instances.json'
    listed = json.loads(path.read_text())
    for instance in listed:
        own_address = instance['address']
        instance['address'] = relay_address_by_name[instance['name']]
        settings = directory / f'{instance["name"]}.ini'
        if settings.exists():
            settings.write_text(
                settings.read_text().replace(
                    f'peer_address = {own_address}',
                    f'peer_address = {instance["address"]}\n'
                    f'peer_listen_address = {own_address}',
                )
            )
    path.write_text(json.dumps(listed))
