"""A server's additional bytes after a complete answer: an unsafe request runs twice."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Caller,
    Record,
    Server,
    configuration,
    deployment,
    main,
    route,
    trouble,
)

ZONES = {'lodz-a': 'pl-central', 'lodz-b': 'pl-central'}
SERVERS = 4
REQUESTS = 600
CALLERS = 6
# One answer in 20 of one server in four is spoiled.
SPOILED_EACH = 20
# The begin of another answer, which ends within a header.
ADDITIONAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nDate: Sat, 05 De'
)


class FaultyServer(Server):
    """Sends additional bytes after some complete answers."""

    answers = 0

    async def answer(self, writer, request_id, status, body) -> None:
        self.answers += 1
        encoded = self.encode(request_id, status, body)
        if trouble() and self.answers % SPOILED_EACH == 0:
            encoded += ADDITIONAL
            self.record.add(
                'additional-bytes', server=self.server_id, after=request_id
            )
        writer.write(encoded)


async def play(record: Record) -> list[str]:
    servers = [
        (FaultyServer if number == 0 else Server)(
            f'i-{number}', 'stage', list(ZONES)[number % 2], record
        )
        for number in range(SERVERS)
    ]
    config = configuration(book=route())
    status_by_id: dict[str, int] = {}
    async with deployment(config, servers, ZONES, list(ZONES)) as (_, routers):

        async def call_all(caller_number: int) -> None:
            router = routers[caller_number % len(routers)]
            caller = Caller(router.ports['callers'], record)
            for number in range(caller_number, REQUESTS, CALLERS):
                request_id = f'book-{number:04d}'
                answer = await caller.call(
                    'POST',
                    f'/book/{number}',
                    request_id,
                    deadline_ms=3000,
                    body=b'deposit',
                )
                status_by_id[request_id] = answer.status
                await asyncio.sleep(0.02)
            caller.close()

        await asyncio.gather(*map(call_all, range(CALLERS)))
    broken = []
    for request_id, status in status_by_id.items():
        runs = [
            (server.server_id, f'{started_s:.3f}')
            for server in servers
            for started_s in server.runs.get(request_id, ())
        ]
        if len(runs) > 1:
            broken.append(f'TWICE: {request_id} ran at {runs}')
        if runs and status in {408, 421, 429, 503}:
            broken.append(f'REFUSED: {request_id} ran and got {status}')
    served = sum(status == 200 for status in status_by_id.values())
    record.add('served', count=served, of=len(status_by_id))
    if served < len(status_by_id) / 2:
        raise RuntimeError('less than half of the requests were served')
    return broken


main(play, FOLDER)
