"""Detects duplicate messages."""

_WINDOW = 1024
_MASK = (1 << _WINDOW) - 1


class ReplayWindow:
    """Sliding window of the message numbers received from one process.

    A number below the window counts as received: dropping a message is safe,
    serving it twice is not. Links keep the order of messages, so an old
    message can arrive only after a reconnect.
    """

    __slots__ = ('_highest', '_seen')

    def __init__(self) -> None:
        self._highest = 0
        # Bit n represents the number ``highest - n``.
        self._seen = 0

    def is_new(self, number: int) -> bool:
        """Adds the number; returns False if it was received before."""
        ahead = number - self._highest
        if ahead > 0:
            shift = min(ahead, _WINDOW)
            self._seen = ((self._seen << shift) | 1) & _MASK
            self._highest = number
            return True
        bit = 1 << -ahead
        if -ahead >= _WINDOW or self._seen & bit:
            return False
        self._seen |= bit
        return True
