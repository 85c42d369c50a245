"""A server that runs requests and then fails with a status of its choice."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import MappingProxyType

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import (
    PlatformSystem,
    configuration,
    platform_system,
    route,
)
from tests.builders.raw_server import RawServer, Script, run_raw_server

_SERVER_ID = 'failing'
_ID_HEADER = b'x-attempt-id: '
# Kinds of routes, by their prefix.
KIND_BY_PREFIX = MappingProxyType(
    {
        '/once/': 'unsafe',
        '/uploads/': 'upload',
        '/unknown/': 'a kind of a later version',
        '/open/': 'safe',
        '/downloads/': 'download',
    }
)


@dataclass(frozen=True)
class Failure:
    """A response to each request.

    Attributes:
        status: its status.
        headers: its headers besides the id and the signature.
    """

    status: int
    headers: tuple[bytes, ...] = ()

    def encode(self, request_head: bytes) -> bytes:
        """Encodes the response to a request."""
        id_line = next(
            line
            for line in request_head.lower().split(b'\r\n')
            if line.startswith(_ID_HEADER)
        )
        lines = (
            b'HTTP/1.1 %d Failed' % self.status,
            id_line,
            b'X-Server-Signature: sig',
            *self.headers,
            b'Content-Length: 2',
        )
        return b'\r\n'.join((*lines, b'', b'no'))


def _fails_always(failure: Failure) -> Callable[[RawServer], Script]:
    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                await raw.read_request(reader)
                writer.write(failure.encode(raw.heads[-1]))

        return script

    return make_script


@asynccontextmanager
async def system_with_failing_server(
    failure: Failure,
) -> AsyncIterator[tuple[PlatformSystem, RawServer]]:
    """Runs a system whose only server fails; it has no instances yet."""
    routes = {
        kind: route(prefix=prefix, service='stage', kind=kind, max_attempts=1)
        for prefix, kind in KIND_BY_PREFIX.items()
    }
    async with (
        run_raw_server(_fails_always(failure)) as raw,
        platform_system(keyed=0, unkeyed=0) as system,
    ):
        system.store.state.put('op', 'config', configuration(2, **routes))
        server = PlatformServer(_SERVER_ID, 'stage', 'a', keyed=False)
        server.address = raw.address
        system.store.state.put('servers', _SERVER_ID, server.entry())
        yield system, raw
