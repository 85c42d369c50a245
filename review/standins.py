"""Stand-ins for the platform's store, servers and callers.

Only the standard library is used. The stand-ins follow the users' pages: a
server checks the expected id, runs as many requests as it has slots, queues a
few more, refuses the others with X-Not-Executed, stops at the deadline that it
receives and drops a request whose connection closes.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HOST = '127.0.0.1'
ROUTE_HOST = 'shop.example'
# As in the example of DEPLOY.md.
BOUNDS = {
    'contact': '3000ms',
    'drain': '2000ms',
    'grace': '6s',
    'lost_time': '200ms',
    'converge': '2000ms',
    'partition_max': '5000ms',
    'retry_budget_ratio': '0.2',
    'budget_window': '10s',
    'budget_slack': '60',
    'hold_max': '10000ms',
}
# Limit of a machine, as in the example of DEPLOY.md.
MEMORY_MB = 300
# The platform restarts a process after a short delay.
RESTART_S = 0.5
FIRST_PORT = 12_000
BLOCK_PORTS = 200
PORT_BLOCKS = 90
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def trouble() -> bool:
    """Whether to play the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def _free_ports() -> Iterator[int]:
    """Yields free ports below those of outgoing connections.

    An instance that starts again needs the port that it had.
    """
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * BLOCK_PORTS
    for port in range(first, first + BLOCK_PORTS):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        yield port


_PORTS = _free_ports()


def free_port() -> int:
    """Returns a port that is free now."""
    return next(_PORTS)


class Record:
    """Writes what was sent, answered and run to a file, one line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns seconds since the start of the record."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **fields: object) -> float:
        """Writes a line; returns its time."""
        now_s = self.now_s()
        values = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{now_s:9.3f} {event} {values}\n')
        self._file.flush()
        return now_s


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def method(self) -> str:
        return self.first_line.split(' ')[0]

    @property
    def target(self) -> str:
        return self.first_line.split(' ')[1]

    @property
    def status(self) -> int:
        return int(self.first_line.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = head.split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers.setdefault(name.strip().lower(), text.strip())
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first_line, headers, body)


def encode_answer(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Encodes an answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


_CLOSED = (
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    ConnectionError,
)


class Listener:
    """A TCP server whose connections end with it."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, HOST, 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except _CLOSED:
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


class Store(Listener):
    """The platform's store: conditional writes, reads and feeds."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: object) -> None:
        """Writes a row, as the operator and the servers do."""
        self.version += 1
        self.rows[table, key] = (self.version, json.dumps(document).encode())
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self.version += 1
        self.rows[table, key] = (self.version, None)
        self._wake()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_message(reader)
            path, _, query = request.target.partition('?')
            fields = dict(
                part.partition('=')[::2] for part in query.split('&') if part
            )
            if path == '/v1/rows-tx':
                answer = self._transact(json.loads(request.body))
            elif path == '/v1/rows-get':
                answer = self._answer(200, self._list(fields['table'], -1))
            elif path == '/v1/rows-feed':
                answer = await self._feed(fields)
            else:
                answer = encode_answer(404, {})
            writer.write(answer)
            await writer.drain()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, table: str, after: int, *, feed: bool = False) -> list:
        found = [
            (version if feed else key, key, version, content)
            for (name, key), (version, content) in self.rows.items()
            if name == table and version > after
        ]
        rows = []
        for _, key, version, content in sorted(found, key=lambda one: one[0]):
            row = {'table': table, 'part': '', 'key': key, 'ver': version}
            if content is not None:
                rows.append(row | {'value': base64.b64encode(content).decode()})
            elif feed:
                rows.append(row | {'deleted': True})
        return rows

    def _answer(self, status: int, rows: list) -> bytes:
        document = {
            'rows': rows,
            'ver': self.version,
            'has_more': False,
            'now': f'{int(time.monotonic() * 1000)}ms',
        }
        return encode_answer(
            status,
            {'Content-Type': 'application/json'},
            json.dumps(document).encode(),
        )

    def _transact(self, body: dict) -> bytes:
        names = [(one['table'], one['key']) for one in body['expect']]
        known = [self.rows.get(name, (0, None)) for name in names]
        current = [0 if row[1] is None else row[0] for row in known]
        if current != [one['ver'] for one in body['expect']]:
            rows = [
                row
                for table, key in names
                for row in self._list(table, -1)
                if row['key'] == key
            ]
            return self._answer(412, rows)
        self.version += 1
        for one in body['puts']:
            self.rows[one['table'], one['key']] = (
                self.version,
                base64.b64decode(one['value']),
            )
        for one in body['remove']:
            self.rows[one['table'], one['key']] = (self.version, None)
        self._wake()
        return self._answer(200, [])

    async def _feed(self, fields: dict[str, str]) -> bytes:
        after = int(fields['after'])
        wait_s = int(fields['wait_timeout_ms']) / 1000
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._list(fields['table'], after, feed=True):
                    await self._changed.wait()
        return self._answer(200, self._list(fields['table'], after, feed=True))


class Server(Listener):
    """One incarnation of a server of a service without keys.

    Attributes:
        arrivals: when each request arrived, by its id.
        runs: when each request was begun, by its id.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        record: Record,
        *,
        slots: int = 2,
        queue: int = 8,
        work_s: float = 0.05,
    ) -> None:
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.leaving = False
        self.arrivals: dict[str, list[float]] = {}
        self.runs: dict[str, list[float]] = {}
        self.born = int(time.time() * 1000)
        self.record = record
        self._slots = asyncio.Semaphore(slots)
        self._queued = 0
        self._max_queued = queue

    def entry(self) -> dict:
        """Returns its entry in the store."""
        return {
            'address': f'{HOST}:{self.port}',
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': 'draining' if self.leaving else 'ready',
                'sequence': 1,
                'slow_start_time': '0ms',
            },
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_message(reader)
            if request.target == '/healthz':
                status = 503 if self.leaving else 200
                headers = {'X-Instance-Id': self.server_id}
                writer.write(encode_answer(status, headers))
                continue
            request_id = request.headers.get('x-attempt-id', '')
            arrived_s = self.record.add(
                'arrived', server=self.server_id, id=request_id
            )
            self.arrivals.setdefault(request_id, []).append(arrived_s)
            expected = request.headers.get('x-expect-instance', self.server_id)
            if not request_id:
                self._refuse(writer, 400, request_id)
            elif expected != self.server_id:
                self._refuse(writer, 421, request_id)
            elif self._queued >= self._max_queued:
                self._refuse(writer, 503, request_id)
            else:
                await self._queue(reader, writer, request, request_id)

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        status: int,
        body: bytes,
    ) -> None:
        """Sends the answer to a request that has run."""
        writer.write(self.encode(request_id, status, body))

    def encode(self, request_id: str, status: int, body: bytes) -> bytes:
        """Encodes the answer to a request that has run."""
        headers = {
            'X-Attempt-Id': request_id,
            'X-Server-Signature': f'{self.server_id}.{request_id}.{status}',
        }
        return encode_answer(status, headers | self._leaving(), body)

    async def run(self, request: Message) -> bytes:
        """Runs a request; returns the body of its answer."""
        await asyncio.sleep(self.work_s)
        return f'{request.first_line} at {self.server_id}'.encode()

    def _leaving(self) -> dict[str, str]:
        return {'Server-Leaving': '1'} if self.leaving else {}

    def _refuse(
        self, writer: asyncio.StreamWriter, status: int, request_id: str
    ) -> None:
        headers = {'X-Not-Executed': '1'}
        if request_id:
            headers['X-Attempt-Id'] = request_id
        self.record.add(
            'refused-by-server',
            server=self.server_id,
            id=request_id,
            status=status,
        )
        writer.write(encode_answer(status, headers | self._leaving()))

    async def _queue(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: Message,
        request_id: str,
    ) -> None:
        left_s = int(request.headers.get('x-deadline-ms', 60_000)) / 1000
        until_s = time.monotonic() + left_s
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            if time.monotonic() >= until_s:
                self._refuse(writer, 503, request_id)
                return
            started_s = self.record.add(
                'run',
                server=self.server_id,
                id=request_id,
                deadline_ms=request.headers.get('x-deadline-ms'),
            )
            self.runs.setdefault(request_id, []).append(started_s)
            work = asyncio.create_task(self.run(request))
            while not work.done():
                await asyncio.wait({work}, timeout=0.02)
                gone = reader.at_eof() or reader.exception() is not None
                late = time.monotonic() >= until_s
                if (gone or late) and not work.done():
                    work.cancel()
                    break
            if gone:
                self.record.add('dropped', server=self.server_id, id=request_id)
                raise ConnectionResetError
            status, body = (504, b'') if work.cancelling() else (200, b'')
            if status == 200:
                body = await work
            self.record.add(
                'ran', server=self.server_id, id=request_id, status=status
            )
            await self.answer(writer, request_id, status, body)
        finally:
            self._slots.release()


@dataclass
class Answer:
    """What a caller got; the status is 0 without a complete answer.

    Attributes:
        cut: whether the connection ended without an answer.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    cut: bool = False


class Caller:
    """A caller's connection to an instance."""

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self._streams: tuple | None = None

    @property
    def connected(self) -> bool:
        """Whether the next request goes on a kept connection."""
        return self._streams is not None

    async def call(
        self,
        method: str,
        path: str,
        request_id: str,
        *,
        deadline_ms: int,
        body: bytes = b'',
        leave_after_s: float | None = None,
    ) -> Answer:
        """Sends a request and reads its answer.

        Args:
            leave_after_s: when the caller closes its connection, if it does
                not wait until its deadline.
        """
        self._record.add('sent', id=request_id, request=f'{method}:{path}')
        answer = Answer(0)
        wait_s = deadline_ms / 1000 if leave_after_s is None else leave_after_s
        try:
            async with asyncio.timeout(wait_s):
                answer = await self._exchange(
                    method, path, request_id, deadline_ms, body
                )
        except (TimeoutError, *_CLOSED) as error:
            self.close()
            self._record.add('no-answer', id=request_id, reason=repr(error))
            answer.cut = not isinstance(error, TimeoutError)
            return answer
        self._record.add(
            'answered',
            id=request_id,
            status=answer.status,
            code=answer.headers.get('yuccadale-code', '-'),
            signature=answer.headers.get('x-server-signature', '-'),
        )
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _exchange(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes,
    ) -> Answer:
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                HOST, self._port, limit=1 << 20
            )
        reader, writer = self._streams
        head = [
            f'{method} {path} HTTP/1.1',
            f'Host: {ROUTE_HOST}',
            f'X-Attempt-Id: {request_id}',
            f'X-Deadline-Ms: {deadline_ms}',
        ]
        if body:
            head.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*head, '', '']).encode() + body)
        got = await read_message(reader)
        return Answer(got.status, got.headers, got.body)


class Router:
    """One instance of the program, started by the command of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        regions: dict[str, str],
        store: Store,
        directory: Path,
    ) -> None:
        self.name = name
        self.process: asyncio.subprocess.Process | None = None
        purposes = ('callers', 'readiness', 'peers', 'metrics')
        self.ports = {purpose: free_port() for purpose in purposes}
        self._path = directory / f'{name}.ini'
        self._log_path = directory / f'{name}.log'
        # Laid out like deploy/settings.ini.in.
        lines = ['[instance]', f'name = {name}', f'data_centre = {zone}']
        lines += [f'region = {regions[zone]}', '', '[data_centres]']
        lines += [f'{one} = {region}' for one, region in regions.items()]
        lines += ['', '[addresses]']
        lines += [f'{one} = {HOST}:{port}' for one, port in self.ports.items()]
        lines += ['seeds =', f'store = {HOST}:{store.port}', '']
        lines += ['[machine]', 'cores = 1', 'core_share = 0.86']
        lines += [f'memory_mb = {MEMORY_MB}', 'descriptors = 4100']
        lines += ['link_mbps = 1000.0', '', '[bounds]']
        lines += [f'{one} = {text}' for one, text in BOUNDS.items()]
        self._path.write_text('\n'.join(lines) + '\n')

    async def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        program, *arguments = deploy['roles']['router']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['YUCCADALE_BOOT'] = str(self._path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the process answers its readiness check with 200."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ports['readiness']
                )
                try:
                    writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n')
                    return (await read_message(reader)).status == 200
                finally:
                    writer.close()
        except (TimeoutError, OSError, *_CLOSED):
            return False

    async def wait_until_ready(self, within_s: float = 20) -> None:
        """Waits until the process is ready."""
        async with asyncio.timeout(within_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def resident_mb(pid: int) -> float:
    """Returns the memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 2**20


async def limit_memory(
    router: Router, record: Record, ends: dict[str, int]
) -> None:
    """Kills a process over its limit and starts it again, as the platform.

    Args:
        ends: gets the number of its ends by name of the instance.
    """
    ends[router.name] = 0
    peak_mb = 0.0
    while True:
        await asyncio.sleep(0.02)
        if router.process.returncode is not None:
            record.add('ended-by-itself', instance=router.name)
            await asyncio.sleep(RESTART_S)
            await router.start()
            continue
        used_mb = resident_mb(router.process.pid)
        if used_mb > peak_mb * 1.2:
            peak_mb = used_mb
            record.add('memory', instance=router.name, mb=round(used_mb))
        if used_mb > MEMORY_MB:
            ends[router.name] += 1
            record.add(
                'killed-over-memory',
                instance=router.name,
                mb=round(used_mb),
                time=ends[router.name],
            )
            await router.kill()
            await asyncio.sleep(RESTART_S)
            await router.start()
            peak_mb = 0.0


def route(**changes: object) -> dict:
    """Returns a route of the operator's config."""
    return {
        'host': ROUTE_HOST,
        'prefix': '/book/',
        'kind': 'unsafe',
        'timeout': '3s',
        'target_latency': '1s',
        'priority': 0,
        'service': 'stage',
        'max_attempts': 2,
    } | changes


def configuration(**routes: dict) -> dict:
    """Returns the operator's config with one service without keys."""
    return {
        'version': '0000000c',
        'routes': routes,
        'services': {
            'stage': {
                'health_check': '/healthz',
                'max_conns': 120,
                'sharded': False,
            }
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout': '3s',
            'idle_timeout': '15s',
        },
    }


@asynccontextmanager
async def deployment(
    config: dict,
    servers: list[Server],
    zones: dict[str, str],
    instances: list[str],
):
    """Runs the store, servers and instances; ends what it started.

    Args:
        config: the operator's config.
        servers: not started yet.
        zones: region of each zone.
        instances: the zone of each instance.
    """
    directory = Path(tempfile.mkdtemp(prefix='review-'))
    store = Store()
    routers: list[Router] = []
    try:
        await store.listen()
        store.put('op', 'config', config)
        for server in servers:
            await server.listen()
            store.put('servers', server.server_id, server.entry())
        for number, zone in enumerate(instances):
            routers.append(
                Router(f'edge-{number}', zone, zones, store, directory)
            )
            await routers[-1].start()
        for router in routers:
            await router.wait_until_ready()
        # Until all instances are on the roster.
        await asyncio.sleep(3)
        yield store, routers
    finally:
        for router in routers:
            await router.kill()
        for server in servers:
            server.close()
        store.close()
        # Connections end before the event loop does.
        await asyncio.sleep(0.1)
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            shutil.copytree(directory, logs, dirs_exist_ok=True)
        shutil.rmtree(directory, ignore_errors=True)


def main(play, folder: Path) -> None:
    """Plays a case; exits with 0, 1 or 2 as issue 35 tells."""
    record = Record(folder / 'record.txt')
    record.add('begin', trouble=int(trouble()))
    try:
        broken = asyncio.run(play(record))
    except (OSError, TimeoutError, RuntimeError) as error:
        record.add('could-not-run', reason=repr(error))
        sys.exit(COULD_NOT_RUN)
    for line in broken:
        record.add('BROKEN', what=line)
        print(f'broken: {line}')
    record.add('end', broken=len(broken))
    print('the rule was broken' if broken else 'the rule held')
    sys.exit(BROKEN if broken else HELD)
