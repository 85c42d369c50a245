"""Recognises messages that come twice."""

_WINDOW = 1024
_MASK = (1 << _WINDOW) - 1


class ReplayWindow:
    """Numbers seen from one process, as a window below the highest one.

    A number below the window counts as seen: the message is lost rather than
    served twice. Links keep the order of messages, so that only a link that
    was dialled again can deliver an old one.
    """

    __slots__ = ('_highest', '_seen')

    def __init__(self) -> None:
        self._highest = 0
        # Bit n stands for the number ``highest - n``.
        self._seen = 0

    def is_new(self, number: int) -> bool:
        """Says whether the number comes for the first time, and notes it."""
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
