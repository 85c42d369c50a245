"""Pool of idle connections to servers, by address."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from yuccadale_edge._internal.transport.client_connection import (
    ClientConnection,
    NotSentError,
)
from yuccadale_edge._internal.transport.held_bytes import HeldBytes
from yuccadale_edge._internal.transport.parse_scheduler import ParseScheduler

Address = tuple[str, int]

# Share of a server's idle timeout after which a connection is closed. A request
# sent while the server closes it could be lost, and may not be retried.
_IDLE_SHARE = 0.6
_DEFAULT_IDLE_S = 4.0
# The last two are raised for an address without a valid host or port.
_CONNECT_ERRORS = (OSError, TimeoutError, ValueError, OverflowError)


class ClientPool:
    """Opens connections and reuses idle ones.

    A connection carries one request at a time. It is not reused after a
    failure, a cancellation or unexpected bytes, nor for a request that was
    refused or failed on it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        held: HeldBytes | None = None,
        scheduler: ParseScheduler | None = None,
    ) -> None:
        """Creates a pool.

        Args:
            loop: the event loop of its connections.
            held: account of the answers that are read; unbounded by default.
            scheduler: shared with others that parse on the loop.
        """
        self._loop = loop
        self._held = HeldBytes() if held is None else held
        self._scheduler = ParseScheduler() if scheduler is None else scheduler
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        self._numbers = itertools.count(1)
        self.opened = 0

    @asynccontextmanager
    async def acquire(
        self,
        address: Address,
        connect_timeout_s: float,
        *,
        force_new: bool = False,
        request_id: str = '',
        preferred: ClientConnection | None = None,
    ) -> AsyncIterator[ClientConnection]:
        """Provides a connection for the block; keeps it if it is reusable.

        After a timeout in the block, idle connections that were not used since
        its begin are closed: connections to an address can all stall at once.

        Args:
            address: host and port.
            connect_timeout_s: the longest time for opening a connection.
            force_new: do not reuse an idle connection.
            request_id: of the request that is to be sent, if it has one.
            preferred: reuse this connection if it is idle, also with
                ``force_new``.

        Raises:
            NotSentError: no connection could be opened.
        """
        connection = self._take(address, preferred)
        if connection is None and not force_new:
            connection = self._take_idle(address, request_id)
        if connection is None:
            connection = await self._open(address, connect_timeout_s)
        began = self._loop.time()
        try:
            yield connection
        except TimeoutError:
            self._close_unused_since(address, began)
            raise
        finally:
            if connection.reusable:
                self._idle_by_address.setdefault(address, []).append(connection)
            else:
                connection.close()

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Closes connections that were idle for too long."""
        now = self._loop.time()
        for address, idle in list(self._idle_by_address.items()):
            usable = [
                connection for connection in idle if _usable(connection, now)
            ]
            for connection in idle:
                if not _usable(connection, now):
                    connection.close()
            if usable:
                self._idle_by_address[address] = usable
            else:
                self._idle_by_address.pop(address)

    def _close_unused_since(self, address: Address, moment_s: float) -> None:
        idle = self._idle_by_address.get(address, [])
        for connection in list(idle):
            if connection.idle_since <= moment_s:
                idle.remove(connection)
                connection.close()

    def _take_idle(
        self, address: Address, request_id: str
    ) -> ClientConnection | None:
        idle = self._idle_by_address.get(address, [])
        for connection in reversed(tuple(idle)):
            if connection.has_failed(request_id):
                continue
            taken = self._take(address, connection)
            if taken is not None:
                return taken
        return None

    def _take(
        self, address: Address, connection: ClientConnection | None
    ) -> ClientConnection | None:
        """Takes a connection from the idle ones; None if it cannot be used."""
        idle = self._idle_by_address.get(address, [])
        if connection is None or connection not in idle:
            return None
        idle.remove(connection)
        usable = _usable(connection, self._loop.time())
        if usable and not connection.has_unread_bytes():
            return connection
        connection.close()
        return None

    async def _open(
        self, address: Address, connect_timeout_s: float
    ) -> ClientConnection:
        try:
            async with asyncio.timeout(connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(
                        self._loop,
                        self._held,
                        self._scheduler,
                        next(self._numbers),
                    ),
                    *address,
                )
        except _CONNECT_ERRORS as error:
            raise NotSentError(f'cannot connect: {error!r}') from error
        self.opened += 1
        return connection


def _usable(connection: ClientConnection, now: float) -> bool:
    limit = connection.idle_limit_s
    allowed = _DEFAULT_IDLE_S if limit is None else limit * _IDLE_SHARE
    return connection.reusable and now - connection.idle_since < allowed
