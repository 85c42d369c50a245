"""Structured log lines on standard output that never block a request."""

import os
import sys
import time
from collections import Counter
from collections.abc import MutableMapping
from contextlib import suppress
from typing import Any

import msgspec
import structlog

# Lines of one event and second; the rest is counted in a line of its own.
_LINES_PER_EVENT = 40

_encode = msgspec.json.Encoder(enc_hook=str).encode


def _line(record: MutableMapping[str, Any]) -> bytes:
    return b'%b\n' % _encode(record)


class BoundedWriter:
    """Writes lines without waiting; what does not fit is counted.

    A reader that stops reading fills the pipe; writes then fail at once, so
    that lines are lost instead of requests held up.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._second = 0
        self._written_by_event: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        with suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, event: str, line: bytes) -> None:
        """Writes one line, or counts it as left out."""
        second = int(time.monotonic())
        if second != self._second:
            self._report_left_out()
            self._second = second
            self._written_by_event.clear()
        self._written_by_event[event] += 1
        if self._written_by_event[event] > _LINES_PER_EVENT:
            self._left_out[event] += 1
            return
        self._put(event, line)

    def _report_left_out(self) -> None:
        if self._left_out:
            counts = dict(self._left_out)
            self._left_out.clear()
            record = {'event': 'log lines left out', 'count_by_event': counts}
            self._put('log lines left out', _line(record))

    def _put(self, event: str, line: bytes) -> None:
        try:
            written = os.write(self._descriptor, line)
        except OSError:
            written = 0
        if written < len(line):
            self._left_out[event] += 1


def configure_logs(instance: str) -> None:
    """Sets structlog up for this process."""
    writer = BoundedWriter(sys.stdout.fileno())

    def put(
        _logger: object, level: str, record: MutableMapping[str, Any]
    ) -> str:
        record['level'] = level
        record['time'] = round(time.time(), 3)
        record['instance'] = instance
        writer.write(str(record['event']), _line(record))
        raise structlog.DropEvent

    structlog.configure(
        processors=[put],
        wrapper_class=structlog.BoundLogger,
        logger_factory=structlog.ReturnLoggerFactory(),
        cache_logger_on_first_use=True,
    )
