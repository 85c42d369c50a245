"""Waits until a cluster serves keys without gaps."""

import asyncio
import time

from yuccadale_bench._internal.bench_plans import REPEATABLE_KIND, SERVICE
from yuccadale_bench._internal.cluster import Cluster
from yuccadale_bench._internal.probes import Probes

_KEYS = 30
_STABLE_S = 2.0
_TIMEOUT_S = 60.0


async def wait_until_served(cluster: Cluster) -> None:
    """Waits until 30 keys were served without a gap for 2 s.

    Raises:
        RuntimeError: when this was not reached within 60 s.
    """
    probes = Probes(
        [f'key-{number}' for number in range(_KEYS)],
        SERVICE,
        REPEATABLE_KIND,
        lambda: [node.addresses['caller'] for node in cluster.nodes('entry')],
    )
    started_s = time.monotonic()
    stable_from_s = started_s
    probing = asyncio.create_task(probes.run(_TIMEOUT_S))
    try:
        while time.monotonic() - started_s < _TIMEOUT_S:
            await asyncio.sleep(0.2)
            if not probes.served_without_gap_since(stable_from_s):
                stable_from_s = time.monotonic()
            elif time.monotonic() - stable_from_s > _STABLE_S:
                return
    finally:
        probing.cancel()
        await asyncio.wait([probing])
    raise RuntimeError('the cluster did not serve all keys in time')
