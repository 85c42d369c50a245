"""What the kernel knows of a socket before the event loop reads it."""

import fcntl
import select
import sys
import termios
from typing import Protocol

_INT_BYTES = 4


class HasDescriptor(Protocol):
    """A socket, or what an event loop returns in its place."""

    def fileno(self) -> int:
        """Returns the file descriptor."""


def is_readable(sock: HasDescriptor) -> bool:
    """Returns whether bytes, the end or a new connection wait to be read."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def unacknowledged_bytes(sock: HasDescriptor) -> int:
    """Returns the number of sent bytes that the peer has not acknowledged."""
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT_BYTES))
    return int.from_bytes(queued, sys.byteorder)
