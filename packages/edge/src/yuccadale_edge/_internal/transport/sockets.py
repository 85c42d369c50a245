"""What the kernel knows of a socket before the event loop reads it."""

import select
from typing import Protocol


class HasDescriptor(Protocol):
    """A socket, or what an event loop returns in its place."""

    def fileno(self) -> int:
        """Returns the file descriptor."""


def is_readable(sock: HasDescriptor) -> bool:
    """Returns whether bytes, the end or a new connection wait to be read."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
