"""``yuccadale explain --log`` finds the lines about one request."""

import json
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from yuccadale._internal import exit_status
from yuccadale._internal.commands.explain import ExplainCommand
from yuccadale._internal.request_log import (
    CONTEXT_WINDOW_S,
    trace_request,
    read_lines,
)


def _line(event: str, time: float, **fields: object) -> str:
    return json.dumps({'event': event, 'time': time} | fields)


_LOG_LINES = (
    _line('move planned', 98, service='ledger', first=0, last=99, to='s2'),
    _line('move planned', 98, service='ledger', first=100, last=199, to='s3'),
    _line('move planned', 98, service='other', first=0, last=99, to='s4'),
    _line(
        'move planned', 100 - CONTEXT_WINDOW_S - 1, first=0, last=99, to='s5'
    ),
    _line('keys released', 99.5, server='s1', first=0, last=99),
    _line('log lines left out', 99.6, count_by_event={'keys released': 7}),
    _line(
        'request refused',
        100,
        request='r1',
        code=2006,
        service='ledger',
        key=7,
        after_ms=20,
        instance='edge-1',
    ),
    _line('request refused', 100, request='r2', code=3001, server='s9'),
)


def test_context_holds_only_related_lines() -> None:
    """Guards against context from other key ranges, services or times."""
    trace = trace_request(read_lines(_LOG_LINES), 'r1')
    assert [step['code'] for step in trace.steps] == [2006]
    found = [(line['event'], line.get('to')) for line in trace.context]
    assert found == [('move planned', 's2'), ('keys released', None)]
    assert trace.omitted_count_by_event == {'keys released': 7}


def test_prefix_of_a_log_collector_is_skipped() -> None:
    """Guards against skipping lines that a log collector prefixed."""
    texts = [f'  99.2 edge-1 {_LOG_LINES[-1]}', 'not a line', '{"cut": ']
    assert len(list(read_lines(texts))) == 1


def test_explain_prints_steps_code_and_context(tmp_path: Path) -> None:
    """Guards against a report without the meaning of the code."""
    log = tmp_path / 'log'
    log.write_text('\n'.join(_LOG_LINES))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f'r1 --log {log}') == exit_status.OK
    output = tester.io.fetch_output()
    for part in ('request refused', '2006 slot_moving', 'keys released'):
        assert part in output
    assert tester.execute(f'none --log {log}') == exit_status.NOT_FOUND


def test_explain_prints_json(tmp_path: Path) -> None:
    """Guards against ``--json`` output that does not parse."""
    log = tmp_path / 'log'
    log.write_text('\n'.join(_LOG_LINES))
    tester = CommandTester(ExplainCommand())
    tester.execute(f'r2 --log {log} --json')
    document = json.loads(tester.io.fetch_output())
    assert document['request'] == 'r2'
    assert document['steps'][0]['server'] == 's9'
