"""Routes of the soak test, and which of their requests a server may get."""

from collections import Counter
from collections.abc import Callable
from types import MappingProxyType

from aiohttp import web

from tests.builders.copied_answers import Handler
from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import (
    REGION_BY_ZONE,
    configuration,
    route,
)

PATHS = ('/keyed/x', '/once/x', '/home/x', '/upload/x', '/download/x')
_HOME_REGION = 'south'
# Sent to the server, which repeats them in its answer.
_BODY_BYTES_BY_PATH = MappingProxyType(
    {'/upload/x': 60_000, '/download/x': 200_000}
)
# As in the configuration; other requests run at most once.
_MAX_DOWNLOADS = 2

RequestCheck = Callable[[PlatformServer, web.Request], None]


def soak_configuration(version: int = 1, **changes: dict) -> dict:
    """Returns the operators' configuration, with routes added or replaced."""
    routes = {
        'home': route(
            prefix='/home/', service='stage', allowed_regions=[_HOME_REGION]
        ),
        'upload': route(prefix='/upload/', service='stage', kind='upload'),
        'download': route(
            prefix='/download/',
            service='stage',
            kind='download',
            max_attempts=_MAX_DOWNLOADS,
        ),
    }
    return configuration(version, **routes | changes)


def request_body(path: str, request_id: str, least_bytes: int = 0) -> bytes:
    """Returns the id of a request, filled up to the size usual for a path."""
    size = max(least_bytes, _BODY_BYTES_BY_PATH.get(path, 0))
    return request_id.encode().ljust(size)


def check_requests(server: PlatformServer, check: RequestCheck) -> None:
    """Calls a check for each request that reaches a server.

    The server must not run yet.
    Wrappers that were set before stay in place.
    """
    before = server.around_requests

    def around(handler: Handler) -> Handler:
        wrapped = handler if before is None else before(handler)

        async def handle(request: web.Request) -> web.StreamResponse:
            check(server, request)
            return await wrapped(request)

        return handle

    server.around_requests = around


class RouteRecord:
    """Checks of requests by their routes, for all servers of a run.

    Attributes:
        problems: requests that reached a server of another region.
        counts: requests that reached servers, by path.
    """

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.counts: Counter[str] = Counter()
        self._download_ids: set[str] = set()

    def check(self, server: PlatformServer, request: web.Request) -> None:
        """Checks a request that has reached a server."""
        self.counts[request.path] += 1
        request_id = request.headers.get('X-Attempt-Id', '')
        if request.path == '/download/x':
            self._download_ids.add(request_id)
        elsewhere = REGION_BY_ZONE[server.zone] != _HOME_REGION
        problem = f'{server.server_id} got requests for {_HOME_REGION} only'
        if request.path == '/home/x' and elsewhere:
            if problem not in self.problems:
                self.problems.append(problem)

    def max_runs(self, request_id: str) -> int:
        """Returns how often a request may run."""
        return _MAX_DOWNLOADS if request_id in self._download_ids else 1
