"""Bounded queue of messages for one peer, sent in batches."""

import asyncio
from collections import deque

from yuccadale_core.messages import AnyMessage, BodyPiece

_BATCH_MESSAGES = 256
# One piece of a large body per batch, so that small messages are not delayed.
_BATCH_PIECES = 1


class PeerOutbox:
    """Queues messages for one peer and returns them in batches."""

    def __init__(self, message_limit: int) -> None:
        self._message_limit = message_limit
        self._messages: deque[AnyMessage] = deque()
        self._pieces: deque[BodyPiece] = deque()
        self._has_messages = asyncio.Event()

    def __len__(self) -> int:
        """Returns the number of queued messages."""
        return len(self._messages) + len(self._pieces)

    def put(self, message: AnyMessage) -> bool:
        """Queues a message; false when the queue is full."""
        if len(self) >= self._message_limit:
            return False
        if isinstance(message, BodyPiece):
            self._pieces.append(message)
        else:
            self._messages.append(message)
        self._has_messages.set()
        return True

    async def next_batch(self) -> list[AnyMessage]:
        """Waits for messages and returns the next batch."""
        await self._has_messages.wait()
        batch: list[AnyMessage] = []
        while self._messages and len(batch) < _BATCH_MESSAGES:
            batch.append(self._messages.popleft())
        for _ in range(min(_BATCH_PIECES, len(self._pieces))):
            batch.append(self._pieces.popleft())
        if not len(self):
            self._has_messages.clear()
        return batch

    def clear(self) -> int:
        """Drops all queued messages and returns their number."""
        dropped = len(self)
        self._messages.clear()
        self._pieces.clear()
        self._has_messages.clear()
        return dropped
