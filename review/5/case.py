"""A planned stop breaks off a request that it accepted late."""

import asyncio
import signal
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    ROUTE_HOST,
    Message,
    Record,
    Server,
    configuration,
    deployment,
    main,
    read_message,
    route,
    trouble,
)

ZONES = {'lodz-a': 'pl-central'}
INSTANCES = 2
TIMEOUT_S = 8
# Times after SIGTERM, or after the moment without it.
FIRST_SENT_S = 2.0
SECOND_SENT_S = 3.2
# Work of the requests; both end within their time limits.
FIRST_WORK_S = 2.0
SECOND_WORK_S = 3.0
# The rule excuses requests that were sent sooner after SIGTERM.
EXCUSED_UNTIL_S = 3.0
STOPPED_WITHIN_S = 8.0


class ReportServer(Server):
    """A server whose requests name how long they work."""

    async def run(self, request: Message) -> bytes:
        await asyncio.sleep(float(request.target.split('/')[2]))
        return f'{request.first_line} at {self.server_id}'.encode()


def encode(path: str, request_id: str) -> bytes:
    """Encodes a request of a caller."""
    return (
        f'GET {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n'
        f'X-Attempt-Id: {request_id}\r\n'
        f'X-Deadline-Ms: {TIMEOUT_S * 1000}\r\n\r\n'
    ).encode()


async def read_answers(
    reader: asyncio.StreamReader,
    record: Record,
    answer_by_id: dict[str, Message],
) -> None:
    """Reads the answers, in the order of the requests."""
    try:
        for request_id in ('before', 'first', 'second'):
            answer = await read_message(reader)
            answer_by_id[request_id] = answer
            record.add(
                'answered',
                id=request_id,
                status=answer.status,
                code=answer.headers.get('yuccadale-code', '-'),
                signature=answer.headers.get('x-server-signature', '-'),
                connection=answer.headers.get('connection', '-'),
            )
    except (EOFError, ConnectionError) as error:
        record.add('connection-ended', reason=repr(error))


async def play(record: Record) -> list[str]:
    servers = [
        ReportServer(f'i-{number}', 'stage', 'lodz-a', record, slots=4)
        for number in range(2)
    ]
    changes = {
        'kind': 'safe',
        'timeout': f'{TIMEOUT_S}s',
        'target_latency': f'{TIMEOUT_S}s',
    }
    config = configuration(
        list=route(prefix='/list/', **changes),
        report=route(prefix='/report/', **changes),
    )
    async with deployment(config, servers, ZONES, ['lodz-a'] * INSTANCES) as (
        _,
        routers,
    ):
        stopped = routers[0]
        reader, writer = await asyncio.open_connection(
            HOST, stopped.ports['callers']
        )
        # The connection is in use before the stop.
        for number in range(5):
            writer.write(encode('/list/0.05', f'list-{number}'))
            await read_message(reader)
            writer.write(encode('/report/0.05', f'report-{number}'))
            await read_message(reader)
        answer_by_id: dict[str, Message] = {}
        reading = asyncio.create_task(
            read_answers(reader, record, answer_by_id)
        )
        writer.write(encode(f'/list/{FIRST_SENT_S + 0.5}', 'before'))
        record.add('sent', id='before')
        await asyncio.sleep(0.2)
        if trouble():
            stopped.signal(signal.SIGTERM)
        stop_s = record.add('sigterm' if trouble() else 'no-sigterm')
        await asyncio.sleep(FIRST_SENT_S)
        writer.write(encode(f'/list/{FIRST_WORK_S}', 'first'))
        record.add('sent', id='first')
        await asyncio.sleep(SECOND_SENT_S - FIRST_SENT_S)
        writer.write(encode(f'/report/{SECOND_WORK_S}', 'second'))
        sent_s = record.add('sent', id='second', after=SECOND_SENT_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(STOPPED_WITHIN_S):
                await reading
        reading.cancel()
        ended_s = record.now_s()
        writer.close()
    runs = [
        started_s
        for server in servers
        for started_s in server.runs.get('second', ())
    ]
    record.add('second', runs=len(runs), sent_after=round(sent_s - stop_s, 3))
    if not runs or sent_s - stop_s <= EXCUSED_UNTIL_S:
        return []
    answer = answer_by_id.get('second')
    if answer is not None and 'x-server-signature' in answer.headers:
        return []
    return [
        'LOST: the request sent '
        f'{sent_s - stop_s:.2f} s after SIGTERM was passed on and broken off '
        f'{ended_s - sent_s:.2f} s after it was sent'
    ]


main(play, FOLDER)
