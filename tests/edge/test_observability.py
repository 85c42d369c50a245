"""Logs that never hold a request up, and pages that name each line."""

import json
import os
import re
import time
from pathlib import Path

import pytest

from yuccadale_edge._internal.observability import logs

SOURCES = sorted(Path('packages/edge/src').rglob('*.py'))
PAGE = Path('docs/OPERATIONS.md')


def _named(pattern: str) -> set[str]:
    found: set[str] = set()
    for source in SOURCES:
        found.update(re.findall(pattern, source.read_text()))
    return found


def test_each_event_is_on_the_page_for_the_engineer_on_call() -> None:
    """Guards against a line that nobody can look up."""
    events = _named(r"_log\.\w+\(\s*'([^']+)'")
    assert events
    page = PAGE.read_text()
    assert not sorted(event for event in events if f'`{event}`' not in page)


def test_each_metric_is_on_the_page_for_the_engineer_on_call() -> None:
    """Guards against a counter that nobody can look up."""
    page = PAGE.read_text()
    counters = _named(r"\.count\(\s*'([a-z_]+)'")
    latencies = _named(r"\.observe_ms\(\s*'([a-z_]+)'")
    assert counters
    assert latencies
    missing = [one for one in counters if f'`{one}_total`' not in page]
    missing += [one for one in latencies if f'`{one}_ms`' not in page]
    assert not sorted(missing)


def test_a_reader_that_stops_reading_costs_lines_not_time() -> None:
    """Guards against requests that wait for the log."""
    reading, writing = os.pipe()
    try:
        writer = logs.BoundedWriter(writing)
        line = b'%b\n' % bytes(1000)
        for number in range(5000):
            writer.write(f'event {number}', line)
        assert sum(writer._left_out.values()) > 0
    finally:
        os.close(reading)
        os.close(writing)


def test_one_event_cannot_fill_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a storm of refusals that hides the cause."""
    reading, writing = os.pipe()
    now_s = 100.0
    monkeypatch.setattr(time, 'monotonic', lambda: now_s)
    try:
        writer = logs.BoundedWriter(writing)
        for _ in range(500):
            writer.write('storm', b'{"event":"storm"}\n')
        writer.write('cause', b'{"event":"cause"}\n')
        now_s = 101.0
        writer.write('later', b'{"event":"later"}\n')
        lines = os.read(reading, 1_000_000).decode().splitlines()
    finally:
        os.close(reading)
        os.close(writing)
    events = [json.loads(line)['event'] for line in lines]
    assert events.count('storm') == logs._LINES_PER_EVENT
    assert events[-3:] == ['cause', 'log lines left out', 'later']
    assert json.loads(lines[-2])['count_by_event'] == {
        'storm': 500 - logs._LINES_PER_EVENT
    }
