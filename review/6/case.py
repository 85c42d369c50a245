"""One server of eight sends chunks without end in 1 of 20 of its answers."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import (  # noqa: E402
    ZONES,
    Clients,
    Record,
    Server,
    System,
    configuration,
    late_requests,
    longest_silence,
    play,
    route,
    service,
)

TIMEOUT_S = 1.5
EVERY = 20
# 160 Mbit/s; the links of the deployment have 1,000.
BYTES_PER_S = 20_000_000
CALM_S = 5.0
TROUBLE_S = 20.0


async def case(record: Record, folder: Path, trouble: bool) -> int:
    system = System(folder, list(ZONES))
    sound = [
        Server(system.store, 'stagebook', zone)
        for zone in [*ZONES, *ZONES][1:]
    ]
    faulty = Server(system.store, 'stagebook', 'lodz-a')
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name('endless.py')),
        str(faulty.http.port),
        str(EVERY if trouble else 0),
        str(BYTES_PER_S),
        stdout=asyncio.subprocess.PIPE,
    )
    assert child.stdout is not None
    await child.stdout.readline()
    answers: list[bytes] = []

    async def read() -> None:
        while line := await child.stdout.readline():
            answers.append(line)

    reading = asyncio.create_task(read())
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
            sound,
        )
        if not await system.wait_ready():
            return 2
        for number in range(24):
            clients.start(
                number, system.instances[number % 4], 'POST', '/confirm/x', 0.2
            )
        await asyncio.sleep(CALM_S)
        calm = late_requests(clients.log, TIMEOUT_S, 0)
        began = time.monotonic()
        faulty.register()
        await asyncio.sleep(TROUBLE_S)
        await clients.stop()
        endless = [line.split()[1] for line in answers if b'True' in line]
        ids = {one.decode() for one in endless}
        # Only requests that had nothing to do with an endless answer count.
        others = [one for one in clients.log if one[0] not in ids]
        lasted, late = late_requests(others, TIMEOUT_S, began)
        record.add(
            f'before: {calm[1]} of {calm[0]} over the timeout had no answer '
            f'0.5 s later; after: {late} of {lasted}'
        )
        record.add(
            f'the faulty server answered {len(answers)}, {len(endless)} of '
            f'these without end; {len(others)} requests went elsewhere or '
            'were answered whole'
        )
        for one in system.instances:
            record.add(
                f'{one.name}: longest time without any answer '
                f'{longest_silence(clients, one.name, began):.2f} s, '
                f'memory {one.memory_kb("VmHWM")} kB, ended {one.ended}'
            )
        record.add_clients(clients)
        record.add_servers(sound)
        if any(one.ended for one in system.instances):
            return 1
        return int(late >= 8 and late * 2 > lasted)
    finally:
        clients.stopped = True
        await system.stop()
        child.kill()
        await child.wait()
        reading.cancel()


play(__file__, case)
