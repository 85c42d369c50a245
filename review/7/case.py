"""A server begins to work and fails with a 503 that doesn't say otherwise."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import (  # noqa: E402
    ZONES,
    Clients,
    Record,
    Request,
    Server,
    System,
    answer_bytes,
    configuration,
    play,
    route,
    service,
    signature,
)

PROMISES = {'408', '421', '429', '503'}
# One server of eight fails 4 of 10 of its requests.
FAILED_OF_TEN = 4
TROUBLE_S = 10.0


async def case(record: Record, folder: Path, trouble: bool) -> int:
    system = System(folder, list(ZONES))
    servers = [
        Server(system.store, 'stagebook', zone) for zone in [*ZONES, *ZONES]
    ]
    faulty = servers[0]
    numbers = itertools.count()

    async def work(request: Request) -> bytes:
        """Works as usual; the dependency that stores the booking may fail."""
        await asyncio.sleep(faulty.work_s)
        request_id = request.headers['x-attempt-id']
        if not trouble or next(numbers) % 10 >= FAILED_OF_TEN:
            return faulty.success(request_id)
        body = b'the booking may be stored'
        return answer_bytes(
            503,
            {
                'X-Attempt-Id': request_id,
                'X-Server-Signature': signature(request_id, body),
            },
            body,
        )

    faulty.work = work
    clients = Clients(deadline_ms=3000)
    try:
        await system.start(
            configuration(
                1,
                {
                    'stage-confirm': route(
                        'h.example', '/confirm/', 'unsafe', 'stagebook',
                        timeout='1500ms', target_latency='500ms', priority=0,
                    ),
                },
                {'stagebook': service()},
            ),
            servers,
        )
        if not await system.wait_ready():
            return 2
        for number in range(24):
            clients.start(
                number, system.instances[number % 4], 'POST', '/confirm/x', 0.2
            )
        await asyncio.sleep(TROUBLE_S)
        await clients.stop()
        ran = {run[1] for one in servers for run in one.runs}
        broken = [
            one for one in clients.log if one[4] in PROMISES and one[0] in ran
        ]
        record.add(
            f'{len(clients.log)} requests, {len(ran)} ran, {len(broken)} of '
            f'these were answered {sorted({one[4] for one in broken})}'
        )
        record.add_clients(clients)
        record.add_servers(servers)
        return int(bool(broken))
    finally:
        clients.stopped = True
        await system.stop()


play(__file__, case)
