"""Retries after the loss of a sender exceed the attempts of a route."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    Caller,
    Record,
    Router,
    Server,
    configuration,
    deployment,
    main,
    read_message,
    route,
    trouble,
)

ZONES = {'lodz-a': 'pl-central'}
INSTANCES = 3
SERVERS = 10
SLOTS = 4
CALLERS = 32
WORK_S = 0.8
TIMEOUT_S = 5
MAX_ATTEMPTS = 2
# Lost answers: share of the servers, part of their answers, and for how long.
FAULTY_SERVERS = 5
LOST_PART = 0.4
LOST_S = 4.0
KILLS = 6
# Between two kills.
PAUSE_S = 9.0
RESTART_S = 0.5
# So many requests may exceed their attempts.
ALLOWED = 3


class Losses:
    """Whether answers are lost now."""

    on = False


class ForgetfulServer(Server):
    """Runs requests and loses some of its answers."""

    losses: Losses
    random: random.Random

    async def answer(self, writer, request_id, status, body) -> None:
        if self.losses.on and self.random.random() < LOST_PART:
            self.record.add(
                'answer-lost', server=self.server_id, id=request_id
            )
            raise ConnectionResetError
        await super().answer(writer, request_id, status, body)


async def lost_answers(router: Router) -> float:
    """Returns how many lost answers an instance has counted as the sender."""
    reader, writer = await asyncio.open_connection(
        HOST, router.ports['metrics']
    )
    try:
        writer.write(b'GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n')
        lines = (await read_message(reader)).body.decode().splitlines()
    finally:
        writer.close()
    return sum(
        float(line.rpartition(' ')[2])
        for line in lines
        if 'answer_lost' in line and not line.startswith('#')
    )


async def kill_sender(routers: list[Router], record: Record) -> None:
    """Kills the instance that lost most answers, and starts it again."""
    counts = [await lost_answers(router) for router in routers]
    router = routers[counts.index(max(counts))]
    record.add('kill', instance=router.name, answers_lost=counts)
    await router.kill()
    await asyncio.sleep(RESTART_S)
    await router.start()
    await router.wait_until_ready()


async def play(record: Record) -> list[str]:
    losses = Losses()
    servers = []
    for number in range(SERVERS):
        kind = ForgetfulServer if number < FAULTY_SERVERS else Server
        server = kind(
            f'i-{number}', 'stage', 'lodz-a', record, slots=SLOTS, work_s=WORK_S
        )
        server.losses = losses
        server.random = random.Random(number)
        servers.append(server)
    config = configuration(
        browse=route(
            prefix='/browse/',
            kind='safe',
            timeout=f'{TIMEOUT_S}s',
            target_latency=f'{TIMEOUT_S}s',
            max_attempts=MAX_ATTEMPTS,
        )
    )
    served = 0
    ids: list[str] = []
    async with deployment(config, servers, ZONES, ['lodz-a'] * INSTANCES) as (
        _,
        routers,
    ):

        async def call_all(caller_number: int) -> None:
            nonlocal served
            number = 0
            while True:
                router = routers[(caller_number + number) % INSTANCES]
                caller = Caller(router.ports['callers'], record)
                number += 1
                request_id = f'browse-{caller_number}-{number}'
                ids.append(request_id)
                try:
                    answer = await caller.call(
                        'GET',
                        f'/browse/{number}',
                        request_id,
                        deadline_ms=TIMEOUT_S * 1000,
                    )
                    served += answer.status == 200
                except OSError:
                    await asyncio.sleep(0.2)
                finally:
                    caller.close()

        calls = [
            asyncio.create_task(call_all(number)) for number in range(CALLERS)
        ]
        for _ in range(KILLS):
            await asyncio.sleep(PAUSE_S - LOST_S)
            losses.on = trouble()
            await asyncio.sleep(LOST_S)
            losses.on = False
            if trouble():
                await kill_sender(routers, record)
        await asyncio.sleep(3)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
    if not served:
        raise RuntimeError('no request was served')
    broken = []
    for request_id in ids:
        used = {
            server.server_id: f'{server.runs[request_id][0]:.3f}'
            for server in servers
            if request_id in server.runs
        }
        if len(used) > MAX_ATTEMPTS:
            record.add('too-many', id=request_id, servers=used)
            broken.append(f'BUDGET: {request_id} ran at {used}')
    record.add('served', count=served, of=len(ids), too_many=len(broken))
    return broken if len(broken) > ALLOWED else []


main(play, FOLDER)
