"""Waits until a cluster serves keys."""

import asyncio
import time

from yuccadale_bench._internal.bench_plans import REPEATABLE_KIND, SERVICE
from yuccadale_bench._internal.cluster import Cluster
from yuccadale_bench._internal.probes import Probes

_KEYS = 30
_QUIET_S = 2.0
_LIMIT_S = 60.0


async def wait_until_served(cluster: Cluster) -> None:
    """Returns once all of some keys were served without a gap for 2 s."""
    probes = Probes(
        [f'key-{number}' for number in range(_KEYS)],
        SERVICE,
        REPEATABLE_KIND,
        lambda: [node.addresses['caller'] for node in cluster.nodes('entry')],
    )
    started_s = time.monotonic()
    quiet_from_s = started_s
    probing = asyncio.create_task(probes.run(_LIMIT_S))
    try:
        while time.monotonic() - started_s < _LIMIT_S:
            await asyncio.sleep(0.2)
            if not probes.quiet_since(quiet_from_s):
                quiet_from_s = time.monotonic()
            elif time.monotonic() - quiet_from_s > _QUIET_S:
                return
    finally:
        probing.cancel()
        await asyncio.wait([probing])
    raise RuntimeError('the cluster never served all keys')
