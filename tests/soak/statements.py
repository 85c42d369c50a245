"""What servers say in their answers, against the requests that follow."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from weakref import WeakKeyDictionary

from aiohttp import web

from tests.builders.copied_answers import Handler
from tests.builders.platform_servers import PlatformServer
from tests.soak.kept_callers import LIMIT_MS
from tests.soak.processes import SoakInstance, owner_of_connection
from tests.soak.proxy import LoopbackProxy

# The users' rules. DRAIN: no request from an instance that was sent later than
# this after its answer. BUDGET: at most so many requests from an instance,
# from this time after the refusal to the end of the pause.
_DRAIN_S = 2.0
_CROSSING_S = 0.5
_ALLOWED_IN_PAUSE = 2
# Without a fault of the connection an answer has arrived by then.
_ARRIVAL_S = 0.5


@dataclass
class _Pause:
    begin_s: float
    end_s: float
    requests: int = 0


class StatementRecord:
    """The statements of one server, and later requests of each instance.

    The rules excuse an instance that started again or was suspended since, and
    in a pause also one whose connection to the server was disturbed.

    Attributes:
        server: whose statements these are.
        proxy: whose address the server registers, set before requests arrive.
        instances: all that send requests, likewise.
        problems: broken rules.
        counts: statements, and requests to which a rule applied.
    """

    def __init__(self, server: PlatformServer) -> None:
        """Creates the record of a server, which does not run yet."""
        self.proxy: LoopbackProxy | None = None
        self.instances: list[SoakInstance] = []
        self.problems: list[str] = []
        self.counts: Counter[str] = Counter()
        self.server = server
        server.around_requests = self.around
        self._sender_by_connection: WeakKeyDictionary[
            asyncio.Transport, SoakInstance
        ] = WeakKeyDictionary()
        self._left_s: dict[tuple[int, str], float] = {}
        self._pauses_by_sender: dict[tuple[int, str], list[_Pause]] = {}

    def around(self, handler: Handler) -> Handler:
        """Returns a handler that records its requests and answers."""

        async def handle(request: web.Request) -> web.StreamResponse:
            life = self.server.born
            if not self._speaks(life):
                return await handler(request)
            sender = self.sender(request)
            if sender is None:
                return await handler(request)
            self._check(life, sender, request)
            answer = await handler(request)
            self._note(life, sender, answer)
            return answer

        return handle

    def sender(self, request: web.Request) -> SoakInstance | None:
        """Returns the instance that sent a request, if it still runs."""
        connection = request.transport
        if connection is None or self.proxy is None:
            return None
        peer_port = connection.get_extra_info('peername')[1]
        port = self.proxy.client_port_by_port.get(peer_port)
        if port is None:
            return None
        sender = self._sender_by_connection.get(connection)
        if sender is None:
            sender = owner_of_connection(port, self.instances)
        if sender is not None:
            self._sender_by_connection[connection] = sender
        return sender

    def _speaks(self, life: int) -> bool:
        """Whether a statement is made, or one of this life still counts."""
        server = self.server
        if server.leaving or server.pause_text is not None:
            return True
        now_s = time.monotonic()
        return any(
            pause.end_s > now_s
            for (known, _), pauses in self._pauses_by_sender.items()
            for pause in pauses
            if known == life
        )

    def _check(
        self, life: int, sender: SoakInstance, request: web.Request
    ) -> None:
        now_s = time.monotonic()
        left_ms = int(request.headers['X-Deadline-Ms'])
        sent_s = now_s - (LIMIT_MS - left_ms) / 1000
        key = (life, sender.name)
        left_s = self._left_s.get(key)
        if left_s is not None and sender.disturbed_s < left_s:
            self.counts['after leaving'] += 1
            if sent_s > left_s + _DRAIN_S:
                self._add_problem(
                    f'got a request of {sender.name} that was sent '
                    f'{sent_s - left_s:.2f} s after it said that it leaves'
                )
        for pause in self._pauses_by_sender.get(key, ()):
            if not pause.begin_s + _CROSSING_S < now_s < pause.end_s:
                continue
            disturbed_s = max(sender.disturbed_s, self._path_disturbed_s())
            if disturbed_s < pause.begin_s:
                self._count_in_pause(pause, sender)

    def _count_in_pause(self, pause: _Pause, sender: SoakInstance) -> None:
        pause.requests += 1
        self.counts['in pauses'] += 1
        if pause.requests == _ALLOWED_IN_PAUSE + 1:
            self._add_problem(
                f'got {pause.requests} requests of {sender.name} in a pause of '
                f'{pause.end_s - pause.begin_s:.1f} s'
            )

    def _note(
        self, life: int, sender: SoakInstance, answer: web.StreamResponse
    ) -> None:
        now_s = time.monotonic()
        key = (life, sender.name)
        if 'Server-Leaving' in answer.headers:
            self.counts['leaving'] += 1
            asyncio.get_running_loop().call_later(
                _ARRIVAL_S, self._note_leaving, key, now_s
            )
        pause_text = answer.headers.get('Retry-After')
        if pause_text is not None:
            self.counts['pauses'] += 1
            pauses = self._pauses_by_sender.setdefault(key, [])
            pauses.append(_Pause(now_s, now_s + float(pause_text)))

    def _note_leaving(self, key: tuple[int, str], said_s: float) -> None:
        """Notes that a server leaves if the answer that said so has arrived."""
        if self._path_disturbed_s() < said_s:
            self._left_s.setdefault(key, said_s)

    def _path_disturbed_s(self) -> float:
        assert self.proxy is not None
        return self.proxy.disturbed_s

    def _add_problem(self, problem: str) -> None:
        described = f'{self.server.server_id} {problem}'
        if described not in self.problems:
            self.problems.append(described)
