"""Finds the log lines of all instances that concern one request."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

# A lease ends and a new leader is elected within this time, so older
# state changes cannot have caused a decision about the request.
CONTEXT_WINDOW_S = 8.0
_MAX_CONTEXT_LINES = 12
# Fields that ``describe`` prints in front or leaves out.
_COMMON_FIELDS = frozenset(('event', 'time', 'level', 'instance', 'request'))

Line = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The log lines that concern one request.

    Attributes:
        steps: lines that name the request, in order of time.
        context: the latest state changes before the last step that concern
            the same servers, keys or instances, in order of time.
        omitted_count_by_event: number of lines of each event that the
            instances left out of their logs in the same period.
    """

    steps: list[Line]
    context: list[Line]
    omitted_count_by_event: dict[str, int]


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the structured lines of a log and skips other text.

    Text in front of the JSON, such as the time and the host name that log
    collectors add, is skipped too.
    """
    for text in texts:
        line = _parse(text)
        if isinstance(line, dict) and {'event', 'time'} <= line.keys():
            yield line


def trace_request(lines: Iterable[Line], request: str) -> RequestTrace:
    """Returns the trace of a request; empty if no line names it."""
    sorted_lines = sorted(lines, key=_time_s)
    steps = [line for line in sorted_lines if line.get('request') == request]
    if not steps:
        return RequestTrace([], [], {})
    start_s = min(_start_s(step) for step in steps)
    last_s = _time_s(steps[-1])
    lines_in_window = [
        line
        for line in sorted_lines
        if start_s - CONTEXT_WINDOW_S <= _time_s(line) <= last_s
        and 'request' not in line
    ]
    context = [line for line in lines_in_window if _is_related(line, steps)]
    omitted_count_by_event: dict[str, int] = {}
    for line in lines_in_window:
        for event, count in line.get('count_by_event', {}).items():
            omitted_count_by_event[event] = (
                omitted_count_by_event.get(event, 0) + count
            )
    return RequestTrace(
        steps, context[-_MAX_CONTEXT_LINES:], omitted_count_by_event
    )


def describe(line: Line) -> str:
    """Formats a log line as text."""
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _COMMON_FIELDS and value not in ('', None)
    )
    instance = line.get('instance', '-')
    return f'{_time_s(line):.3f} {instance}: {line["event"]} {fields}'


def _parse(text: str) -> Any:
    try:
        return json.loads(text[max(0, text.find('{')) :])
    except ValueError:
        return None


def _is_related(line: Line, steps: Iterable[Line]) -> bool:
    return any(_is_related_to_step(line, step) for step in steps)


def _is_related_to_step(line: Line, step: Line) -> bool:
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
    return _covers_key(line, step)


def _covers_key(line: Line, step: Line) -> bool:
    key = step.get('key')
    if key is None or 'first' not in line:
        return False
    same_service = line.get('service') in {None, step.get('service')}
    return same_service and line['first'] <= key <= line['last']


def _start_s(step: Line) -> float:
    took_ms = step.get('after_ms') or step.get('took_ms') or 0
    return _time_s(step) - took_ms / 1000


def _time_s(line: Line) -> float:
    return float(line['time'])
