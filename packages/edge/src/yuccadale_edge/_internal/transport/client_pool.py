"""Kept connections to servers, by address."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from yuccadale_edge._internal.transport.client_connection import (
    ClientConnection,
    NotSentError,
)

Address = tuple[str, int]

# Servers close idle connections; using one that is about to end could lose a
# request that must not be repeated, so it is dropped well before.
_IDLE_SHARE = 0.6
_DEFAULT_IDLE_S = 4.0


class ClientPool:
    """Opens, lends and keeps connections.

    Rules: a connection carries one request at a time; one that failed, was
    cancelled or received unexpected bytes is never lent again.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        self.opened = 0

    @asynccontextmanager
    async def acquire(
        self, address: Address, connect_timeout_s: float, *, fresh: bool = False
    ) -> AsyncIterator[ClientConnection]:
        """Lends a connection; it is kept afterwards when it can be reused.

        Raises:
            NotSentError: no connection could be made.
        """
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = await self._open(address, connect_timeout_s)
        try:
            yield connection
        finally:
            if connection.reusable:
                self._idle_by_address.setdefault(address, []).append(connection)
            else:
                connection.close()

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def drop_stale(self) -> None:
        """Closes connections that were idle for too long."""
        now = self._loop.time()
        for address, idle in list(self._idle_by_address.items()):
            fresh = [link for link in idle if _usable(link, now)]
            for link in idle:
                if not _usable(link, now):
                    link.close()
            if fresh:
                self._idle_by_address[address] = fresh
            else:
                self._idle_by_address.pop(address)

    def _take_idle(self, address: Address) -> ClientConnection | None:
        idle = self._idle_by_address.get(address)
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            if _usable(connection, now):
                return connection
            connection.close()
        return None

    async def _open(
        self, address: Address, connect_timeout_s: float
    ) -> ClientConnection:
        try:
            async with asyncio.timeout(connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(self._loop), *address
                )
        except ConnectionRefusedError as refused:
            raise PortClosedError(str(refused)) from refused
        except (OSError, TimeoutError) as error:
            raise NotSentError(f'cannot connect: {error!r}') from error
        self.opened += 1
        return connection


class PortClosedError(NotSentError):
    """The address refused the connection: nothing listens there."""


def _usable(connection: ClientConnection, now: float) -> bool:
    limit = connection.idle_limit_s
    allowed = _DEFAULT_IDLE_S if limit is None else limit * _IDLE_SHARE
    return connection.reusable and now - connection.idle_since < allowed
