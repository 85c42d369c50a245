"""What the logs of all instances say of one request."""

import json
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from yuccadale._internal import exit_status
from yuccadale._internal.commands.explain import ExplainCommand
from yuccadale._internal.request_log import CONTEXT_S, find_way, read_lines


def _line(event: str, time: float, **fields: object) -> str:
    return json.dumps({'event': event, 'time': time} | fields)


MOVED = (
    _line('move planned', 98, service='ledger', first=0, last=99, to='s2'),
    _line('move planned', 98, service='ledger', first=100, last=199, to='s3'),
    _line('move planned', 98, service='other', first=0, last=99, to='s4'),
    _line('move planned', 100 - CONTEXT_S - 1, first=0, last=99, to='s5'),
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


def test_the_context_is_what_touches_the_request() -> None:
    """Guards against a cause that is hidden among other ranges and times."""
    way = find_way(read_lines(MOVED), 'r1')
    assert [step['code'] for step in way.steps] == [2006]
    found = [(one['event'], one.get('to')) for one in way.context]
    assert found == [('move planned', 's2'), ('keys released', None)]
    assert way.left_out == {'keys released': 7}


def test_a_collector_may_put_its_own_words_in_front() -> None:
    """Guards against a log that can only be read raw."""
    texts = [f'  99.2 edge-1 {MOVED[-1]}', 'not a line', '{"cut": ']
    assert len(list(read_lines(texts))) == 1


def test_the_command_names_step_code_and_cause(tmp_path: Path) -> None:
    """Guards against an explanation that leaves the code unexplained."""
    log = tmp_path / 'log'
    log.write_text('\n'.join(MOVED))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f'r1 --log {log}') == exit_status.OK
    shown = tester.io.fetch_output()
    for part in ('request refused', '2006 slot_moving', 'keys released'):
        assert part in shown
    assert tester.execute(f'none --log {log}') == exit_status.NOT_FOUND


def test_the_command_prints_json(tmp_path: Path) -> None:
    """Guards against a report that programs cannot read."""
    log = tmp_path / 'log'
    log.write_text('\n'.join(MOVED))
    tester = CommandTester(ExplainCommand())
    tester.execute(f'r2 --log {log} --json')
    document = json.loads(tester.io.fetch_output())
    assert document['request'] == 'r2'
    assert document['steps'][0]['server'] == 's9'
