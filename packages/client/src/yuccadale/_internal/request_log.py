"""Finds a request's way through the log lines of all instances."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

# Changes of belief this long before a decision can have caused it: a lease
# and the search for a new leader end within it.
CONTEXT_S = 8.0
_SHOWN_CONTEXT = 12
# Fields that each line has.
_COMMON = frozenset(('event', 'time', 'level', 'instance', 'request'))

Line = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class RequestWay:
    """What the logs say of one request.

    Attributes:
        steps: lines about the request itself, in order of time.
        context: changes of belief before them that touch the same servers,
            keys or instances, in order of time.
        left_out: lines that instances left out at that time, by event.
    """

    steps: list[Line]
    context: list[Line]
    left_out: dict[str, int]


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the structured lines of a log; other text is passed over.

    Collectors put a time and a name in front of a line, which is skipped.
    """
    for text in texts:
        line = _parsed(text)
        if isinstance(line, dict) and {'event', 'time'} <= line.keys():
            yield line


def find_way(lines: Iterable[Line], request: str) -> RequestWay:
    """Returns what decided a request's way, empty if no line names it."""
    listed = sorted(lines, key=_time)
    steps = [line for line in listed if line.get('request') == request]
    if not steps:
        return RequestWay([], [], {})
    began_s = min(_began_s(step) for step in steps)
    last_s = _time(steps[-1])
    near = [
        line
        for line in listed
        if began_s - CONTEXT_S <= _time(line) <= last_s
        and 'request' not in line
    ]
    context = [line for line in near if _touches(line, steps)]
    left_out: dict[str, int] = {}
    for line in near:
        for event, count in line.get('count_by_event', {}).items():
            left_out[event] = left_out.get(event, 0) + count
    return RequestWay(steps, context[-_SHOWN_CONTEXT:], left_out)


def describe(line: Line) -> str:
    """Returns a line for people."""
    fields = ' '.join(
        f'{name}={shown}'
        for name, shown in line.items()
        if name not in _COMMON and shown not in ('', None)
    )
    who = line.get('instance', '-')
    return f'{_time(line):.3f} {who}: {line["event"]} {fields}'


def _parsed(text: str) -> Any:
    try:
        return json.loads(text[max(0, text.find('{')) :])
    except ValueError:
        return None


def _touches(line: Line, steps: Iterable[Line]) -> bool:
    return any(_touches_step(line, step) for step in steps)


def _touches_step(line: Line, step: Line) -> bool:
    server = step.get('server')
    if server and server in {
        line.get('server'),
        line.get('to'),
        line.get('source'),
    }:
        return True
    if line.get('peer') == step.get('instance'):
        return True
    if line['event'] in {'leadership taken', 'leadership lost', 'store lost'}:
        return True
    return _has_key(line, step)


def _has_key(line: Line, step: Line) -> bool:
    key = step.get('key')
    if key is None or 'first' not in line:
        return False
    same_service = line.get('service') in {None, step.get('service')}
    return same_service and line['first'] <= key <= line['last']


def _began_s(step: Line) -> float:
    took_ms = step.get('after_ms') or step.get('took_ms') or 0
    return _time(step) - took_ms / 1000


def _time(line: Line) -> float:
    return float(line['time'])
