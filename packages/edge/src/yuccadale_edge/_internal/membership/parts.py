"""Bodies that are sent over a link in parts.

The receiver acknowledges each part. Only a few are under way at a time, since
other messages on the link wait behind them.
"""

import asyncio
from collections.abc import Callable
from io import BytesIO

PART_BYTES = 64 * 1024
_MAX_UNACKNOWLEDGED = 4


class PartWriter:
    """Writes bodies in parts to one end of a link."""

    def __init__(self, write: Callable[[int, bytes], None]) -> None:
        """Creates the writer of one end.

        Args:
            write: writes a part of the body of a request.
        """
        self._write = write
        self._unacknowledged = asyncio.Semaphore(_MAX_UNACKNOWLEDGED)
        self._closed = False

    async def write(self, request_id: int, body: bytes) -> None:
        """Writes a body; several take turns after each part.

        Ends early when the writer is closed.
        """
        view = memoryview(body)
        for begin in range(0, len(body), PART_BYTES):
            await self._unacknowledged.acquire()
            if self._closed:
                self._unacknowledged.release()
                return
            self._write(request_id, bytes(view[begin : begin + PART_BYTES]))

    def acknowledge(self) -> None:
        """Notes that the receiver has read a part."""
        self._unacknowledged.release()

    def close(self) -> None:
        """Ends what is being written."""
        self._closed = True
        self._unacknowledged.release()


class IncomingBody:
    """A body that is received in parts.

    Attributes:
        size: as announced.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self._received = BytesIO()

    @property
    def complete(self) -> bool:
        """Whether all bytes were received."""
        return self._received.tell() == self.size

    def add(self, part: bytes) -> bool:
        """Adds a part; False if the body is longer than announced."""
        self._received.write(part)
        return self._received.tell() <= self.size

    def take(self) -> bytes:
        """Returns the body."""
        return self._received.getvalue()
