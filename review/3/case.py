"""Bodies without end from faulty servers: processes exceed their memory."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    MEMORY_MB,
    Caller,
    Record,
    Router,
    Server,
    configuration,
    deployment,
    limit_memory,
    main,
    route,
    trouble,
)

ZONES = {'lodz-a': 'pl-central', 'krakow-a': 'pl-south'}
SERVERS_PER_ZONE = 6
SLOTS = 3
# Half of the servers spoil one answer in 20.
FAULTY_PER_ZONE = 3
SPOILED_EACH = 20
CALLERS_PER_ZONE = 12
TIMEOUT_S = 5
PLAYED_S = 30.0
# All endless bodies of a zone together: below its machine's link.
ZONE_BYTES_PER_S = 110_000_000
PIECE = b'8000\r\n' + bytes(0x8000) + b'\r\n'
# A day with so many ends, on so many machines, counts as a fault.
ENDS, MACHINES = 3, 2
# So many requests may be lost on kept connections (LOST).
MAX_LOST = 3


class Pace:
    """Spaces the bytes of one zone."""

    def __init__(self) -> None:
        self._due_s = 0.0

    async def wait_for(self, size: int) -> None:
        """Waits until bytes may be sent."""
        now_s = time.monotonic()
        self._due_s = max(self._due_s, now_s) + size / ZONE_BYTES_PER_S
        if self._due_s - now_s > 0.002:
            await asyncio.sleep(self._due_s - now_s)


class FaultyServer(Server):
    """Sends bodies that do not end until the caller closes."""

    answers = 0
    pace: Pace

    async def answer(self, writer, request_id, status, body) -> None:
        self.answers += 1
        if not trouble() or self.answers % SPOILED_EACH:
            await super().answer(writer, request_id, status, body)
            return
        self.record.add(
            'body-without-end', server=self.server_id, id=request_id
        )
        head = self.encode(request_id, status, b'').replace(
            b'Content-Length: 0', b'Transfer-Encoding: chunked'
        )
        writer.write(head)
        pieces = PIECE * 8
        while True:
            writer.write(pieces)
            await writer.drain()
            await self.pace.wait_for(len(pieces))


async def play(record: Record) -> list[str]:
    servers = []
    for zone in ZONES:
        pace = Pace()
        for number in range(SERVERS_PER_ZONE):
            kind = FaultyServer if number < FAULTY_PER_ZONE else Server
            server = kind(
                f'i-{zone}-{number}', 'stage', zone, record, slots=SLOTS
            )
            server.pace = pace
            servers.append(server)
    config = configuration(
        browse=route(prefix='/browse/', kind='safe', timeout=f'{TIMEOUT_S}s')
    )
    ends: dict[str, int] = {}
    cut: set[str] = set()
    served = 0
    asked = 0
    async with deployment(config, servers, ZONES, list(ZONES)) as (_, routers):
        until_s = record.now_s() + PLAYED_S

        async def call_all(router: Router, caller_number: int) -> None:
            nonlocal served, asked
            caller = Caller(router.ports['callers'], record)
            number = 0
            while record.now_s() < until_s:
                number += 1
                asked += 1
                request_id = f'browse-{router.name}-{caller_number}-{number}'
                kept = caller.connected
                try:
                    answer = await caller.call(
                        'GET',
                        f'/browse/{number}',
                        request_id,
                        deadline_ms=TIMEOUT_S * 1000,
                    )
                except OSError:
                    # The instance starts again.
                    await asyncio.sleep(0.5)
                    continue
                served += answer.status == 200
                if kept and answer.cut:
                    cut.add(request_id)
                await asyncio.sleep(0.1)
            caller.close()

        limits = []
        for router in routers:
            limits.append(
                asyncio.create_task(limit_memory(router, record, ends))
            )
        await asyncio.gather(
            *(
                call_all(router, number)
                for router in routers
                for number in range(CALLERS_PER_ZONE)
            )
        )
        for limit in limits:
            limit.cancel()
        await asyncio.gather(*limits, return_exceptions=True)
    record.add('served', count=served, of=asked)
    if not served:
        raise RuntimeError('no request was served')
    broken = []
    often = [name for name, count in ends.items() if count >= ENDS]
    if len(often) >= MACHINES:
        broken += [
            f'Fault: {name} exceeded {MEMORY_MB} MB {ends[name]} times'
            for name in often
        ]
    lost = [
        request_id
        for request_id in sorted(cut)
        for server in servers
        if not isinstance(server, FaultyServer) and request_id in server.runs
    ]
    if len(lost) > MAX_LOST:
        broken.append(
            f'LOST: {len(lost)} requests that sound servers ran were closed '
            f'without an answer on kept connections, such as {lost[0]}'
        )
    return broken


main(play, FOLDER)
