"""Bound of the open connections of a listener.

A connection that waits for its client gives way to a new one, the one that
waits longest first. One whose request is being handled never does.
"""

from collections import OrderedDict
from math import inf
from typing import Generic, Protocol, TypeVar

import structlog

_log = structlog.get_logger()


class Closable(Protocol):
    """A connection that can be closed for want of room."""

    def give_way(self) -> None:
        """Closes the connection at once."""


_Connection = TypeVar('_Connection', bound=Closable)


class OpenConnections(Generic[_Connection]):
    """The connections of one listener.

    Attributes:
        all: those that are open, also while they are being closed.
        closed: number of connections that were closed for want of room.
        max_connections: bound of the open connections.
    """

    def __init__(self, max_connections: float = inf) -> None:
        self.all: set[_Connection] = set()
        self.closed = 0
        self.max_connections = max_connections
        self._waiting: OrderedDict[_Connection, None] = OrderedDict()

    def add(self, connection: _Connection) -> None:
        """Adds a connection; closes others, or it, if there are too many."""
        self.all.add(connection)
        self._waiting[connection] = None
        while len(self.all) > self.max_connections and self._waiting:
            longest, _ = self._waiting.popitem(last=False)
            self.all.discard(longest)
            self.closed += 1
            _log.warning(
                'connection closed for want of room',
                connections=len(self.all),
            )
            longest.give_way()

    def remove(self, connection: _Connection) -> None:
        """Removes a connection that is closed."""
        self.all.discard(connection)
        self._waiting.pop(connection, None)

    def mark_served(self, connection: _Connection) -> None:
        """Notes that a request of the connection is being handled."""
        self._waiting.pop(connection, None)

    def mark_waiting(self, connection: _Connection) -> None:
        """Notes that the connection waits for its client, if it did not."""
        if connection in self.all:
            self._waiting.setdefault(connection)

    def mark_answered(self, connection: _Connection) -> None:
        """Notes that the client has just got an answer."""
        if connection in self._waiting:
            self._waiting.move_to_end(connection)

    def mark_closing(self, connection: _Connection) -> None:
        """Notes that the connection is being closed: it gives way first."""
        if connection in self.all:
            self._waiting[connection] = None
            self._waiting.move_to_end(connection, last=False)
