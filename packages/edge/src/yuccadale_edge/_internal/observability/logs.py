"""Non-blocking structured logging to standard output."""

import os
import sys
import time
from collections import Counter
from collections.abc import MutableMapping
from contextlib import suppress
from typing import Any

import msgspec
import structlog

# Lines per event and second; further ones are only counted.
_LINES_PER_EVENT = 40

_encode = msgspec.json.Encoder(enc_hook=str).encode


def _line(record: MutableMapping[str, Any]) -> bytes:
    return b'%b\n' % _encode(record)


class BoundedWriter:
    """Writes lines without blocking; counts the lines that it drops.

    When the reader of the pipe stops, writes fail at once: lines are lost, but
    no request is delayed.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._second = 0
        self._written_by_event: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        with suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, event: str, line: bytes) -> None:
        """Writes one line, or counts it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._report_dropped()
            self._second = second
            self._written_by_event.clear()
        self._written_by_event[event] += 1
        if self._written_by_event[event] > _LINES_PER_EVENT:
            self._dropped[event] += 1
            return
        self._write_line(event, line)

    def _report_dropped(self) -> None:
        if self._dropped:
            counts = dict(self._dropped)
            self._dropped.clear()
            record = {'event': 'log lines left out', 'count_by_event': counts}
            self._write_line('log lines left out', _line(record))

    def _write_line(self, event: str, line: bytes) -> None:
        try:
            written = os.write(self._descriptor, line)
        except OSError:
            written = 0
        if written < len(line):
            self._dropped[event] += 1


def configure_logs(instance: str) -> None:
    """Configures structlog for this process."""
    writer = BoundedWriter(sys.stdout.fileno())

    def write_record(
        _logger: object, level: str, record: MutableMapping[str, Any]
    ) -> str:
        record['level'] = level
        record['time'] = round(time.time(), 3)
        record['instance'] = instance
        writer.write(str(record['event']), _line(record))
        raise structlog.DropEvent

    structlog.configure(
        processors=[write_record],
        wrapper_class=structlog.BoundLogger,
        logger_factory=structlog.ReturnLoggerFactory(),
        cache_logger_on_first_use=True,
    )
