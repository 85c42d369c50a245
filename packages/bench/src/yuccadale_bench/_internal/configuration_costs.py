"""Bytes and store operations of the configuration, read from counters."""

import time
from dataclasses import dataclass

import aiohttp

from yuccadale_bench._internal.cluster import fetch_json


@dataclass(frozen=True, slots=True)
class Costs:
    """Counters summed over instances, since the start of each.

    Attributes:
        at_s: monotonic time of the reading; of a difference, its duration.
        instances: number of instances that were read.
        peer_bytes: bytes of all batches sent to peers, with heartbeats.
        store_reads: reads of the configuration from the table.
        store_bytes: bytes of declarations that these reads returned.
        peer_updates: answers to peers that had older revisions.
        table_reads: all reads that the platform served.
        table_writes: all writes that the platform served.
    """

    at_s: float
    instances: int
    peer_bytes: int
    store_reads: int
    store_bytes: int
    peer_updates: int
    table_reads: int
    table_writes: int

    def __sub__(self, earlier: 'Costs') -> 'Costs':
        """Returns the costs between two readings."""
        return Costs(
            self.at_s - earlier.at_s,
            self.instances,
            self.peer_bytes - earlier.peer_bytes,
            self.store_reads - earlier.store_reads,
            self.store_bytes - earlier.store_bytes,
            self.peer_updates - earlier.peer_updates,
            self.table_reads - earlier.table_reads,
            self.table_writes - earlier.table_writes,
        )


async def read_costs(
    session: aiohttp.ClientSession, platform_url: str, addresses: list[str]
) -> Costs:
    """Reads the counters of instances and platform."""
    statistics = await fetch_json(session, f'{platform_url}/statistics')
    counts = [
        await fetch_json(session, f'http://{address}/counters')
        for address in addresses
    ]

    def total(name: str) -> int:
        return sum(count.get(name, 0) for count in counts)

    return Costs(
        at_s=time.monotonic(),
        instances=len(addresses),
        peer_bytes=total('peer.sent_bytes'),
        store_reads=total('configuration.store_read'),
        store_bytes=total('configuration.store_read_bytes'),
        peer_updates=total('configuration.told_peer'),
        table_reads=statistics['reads'],
        table_writes=statistics['writes'],
    )


def cost_lines(idle: Costs, busy: Costs, changes: int) -> list[str]:
    """Returns report lines; the cost of a change excludes the idle cost."""

    def per_second(amount: int, costs: Costs) -> float:
        return amount / costs.at_s / costs.instances

    def per_change(idle_amount: int, busy_amount: int) -> float:
        return (busy_amount - idle_amount / idle.at_s * busy.at_s) / changes

    return [
        f'idle, per instance: {per_second(idle.peer_bytes, idle):.0f} B/s to'
        f' peers (all heartbeats), {per_second(idle.store_reads, idle):.2f}'
        f' configuration reads/s with'
        f' {per_second(idle.store_bytes, idle):.0f} B/s',
        f'with changes ({changes / busy.at_s:.2f}/s), per instance:'
        f' {per_second(busy.peer_bytes, busy):.0f} B/s to peers,'
        f' {per_second(busy.store_reads, busy):.2f} configuration reads/s with'
        f' {per_second(busy.store_bytes, busy):.0f} B/s',
        'per change beyond idle, all instances together:'
        f' {per_change(idle.peer_bytes, busy.peer_bytes):.0f} B to peers,'
        f' {per_change(idle.peer_updates, busy.peer_updates):.1f} answers to'
        ' peers,'
        f' {per_change(idle.table_reads, busy.table_reads):.1f} reads and'
        f' {per_change(idle.table_writes, busy.table_writes):.1f} writes of'
        ' the store',
    ]
