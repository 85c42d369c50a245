"""Non-blocking logs; every log event and metric is documented."""

import asyncio
import json
import os
import re
import time
from pathlib import Path

import pytest

from yuccadale_edge._internal.observability import logs
from yuccadale_edge._internal.observability.loop_lag import (
    sleep_and_observe_lag,
)
from yuccadale_edge._internal.observability.metrics import Metrics

SOURCES = sorted(Path('packages/edge/src').rglob('*.py'))
PAGE = Path('docs/OPERATIONS.md')
_HELD_S = 0.3


def _names_in_sources(pattern: str) -> set[str]:
    found: set[str] = set()
    for source in SOURCES:
        found.update(re.findall(pattern, source.read_text()))
    return found


def test_each_log_event_is_documented() -> None:
    """Guards against log events missing from the operations page."""
    events = _names_in_sources(r"_log\.\w+\(\s*'([^']+)'")
    assert events
    page = PAGE.read_text()
    assert not sorted(event for event in events if f'`{event}`' not in page)


def test_each_metric_is_documented() -> None:
    """Guards against metrics missing from the operations page."""
    page = PAGE.read_text()
    counters = _names_in_sources(r"\.count\(\s*'([a-z_]+)'")
    latencies = _names_in_sources(r"\.observe_ms\(\s*'([a-z_]+)'")
    assert counters
    assert latencies
    missing = [one for one in counters if f'`{one}_total`' not in page]
    missing += [one for one in latencies if f'`{one}_ms`' not in page]
    assert not sorted(missing)


async def test_a_held_event_loop_shows_in_a_histogram() -> None:
    """Guards against a process that hangs while its metrics look well."""
    metrics = Metrics()
    asyncio.get_running_loop().call_soon(time.sleep, _HELD_S)
    await sleep_and_observe_lag(_HELD_S / 2, metrics)
    lines = metrics.text().splitlines()
    total_ms = float(lines[-1].split()[-1])
    assert lines[-1].startswith('yuccadale_event_loop_lag_ms_sum')
    assert total_ms >= _HELD_S / 2 * 1000
    assert 'yuccadale_event_loop_lag_ms_count 1' in lines


def test_a_stopped_log_reader_does_not_block_writes() -> None:
    """Guards against requests that are delayed by a full log pipe."""
    reading, writing = os.pipe()
    try:
        writer = logs.BoundedWriter(writing)
        line = b'%b\n' % bytes(1000)
        for number in range(5000):
            writer.write(f'event {number}', line)
        assert sum(writer._dropped.values()) > 0
    finally:
        os.close(reading)
        os.close(writing)


def test_lines_of_one_event_are_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a flood of one event that hides its cause in the log."""
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
