"""Records of simulated servers, and checks over several servers."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

import msgspec


class RunRecord(msgspec.Struct, frozen=True, tag='run'):
    """One request that a server started.

    Attributes:
        start_ms: monotonic time of the start.
        end_ms: monotonic time when it took effect or was aborted.
        effect: whether it took effect; false when it was aborted.
        end: ``done``, or why it was aborted.
    """

    server: str
    incarnation: str
    request_id: str
    key: str
    slot: int
    token: int
    method: str
    path: str
    kind: str
    start_ms: float
    end_ms: float
    effect: bool
    end: str


class GrantRecord(msgspec.Struct, frozen=True, tag='grant'):
    """One grant that was offered.

    Attributes:
        at_ms: monotonic time when it was processed.
        ends_at_ms: end of the grant in force after the call.
        ready_at_by_slot: time from which each slot is served.
    """

    server: str
    incarnation: str
    holder: str
    token: int
    sequence: int
    accepted: bool
    gap: bool
    at_ms: float
    ends_at_ms: float
    ready_at_by_slot: dict[int, float]


Record = RunRecord | GrantRecord


class ServerRecords(msgspec.Struct):
    """All records of one server process.

    Attributes:
        dropped: number of records dropped because of the memory limit.
        over_limit: refused requests above the declared concurrency.
        most_running: most requests that ran at the same time.
        most_connections: most connections that were open at the same time.
    """

    server: str
    incarnation: str
    runs: list[RunRecord]
    grants: list[GrantRecord]
    dropped: int
    over_limit: int
    most_running: int
    most_connections: int


@dataclass(frozen=True, slots=True)
class DoubleOwnership:
    """Two servers that served one slot at the same time."""

    slot: int
    first_server: str
    second_server: str
    overlap_ms: float


@dataclass(frozen=True, slots=True)
class _Interval:
    start_ms: float
    end_ms: float
    server: str


def read_records(path: Path) -> list[Record]:
    """Reads a records file; ignores an incomplete last line."""
    decoder = msgspec.json.Decoder(Record)
    lines = path.read_bytes().splitlines(keepends=True)
    return [decoder.decode(line) for line in lines if line.endswith(b'\n')]


def repeated_runs(
    runs: Iterable[RunRecord], must_run_once: Callable[[RunRecord], bool]
) -> dict[str, int]:
    """Returns the ids that took effect more than once, with their counts.

    Args:
        must_run_once: returns whether a request must not be repeated.
    """
    effects = Counter(
        run.request_id for run in runs if run.effect and must_run_once(run)
    )
    return {
        request_id: count for request_id, count in effects.items() if count > 1
    }


def double_ownership(grants: Iterable[GrantRecord]) -> list[DoubleOwnership]:
    """Returns overlaps of the periods in which servers served one slot."""
    intervals_by_slot: dict[int, list[_Interval]] = defaultdict(list)
    for accepted in _accepted_by_process(grants).values():
        for slot, interval in _served_intervals(accepted):
            intervals_by_slot[slot].append(interval)
    return [
        overlap
        for overlapped_slot, intervals in intervals_by_slot.items()
        for overlap in _overlaps(overlapped_slot, intervals)
    ]


def _accepted_by_process(
    grants: Iterable[GrantRecord],
) -> dict[str, list[GrantRecord]]:
    grants_by_process: dict[str, list[GrantRecord]] = defaultdict(list)
    for grant in sorted(grants, key=lambda record: record.at_ms):
        if grant.accepted:
            process = f'{grant.server} {grant.incarnation}'
            grants_by_process[process].append(grant)
    return grants_by_process


def _served_intervals(
    accepted: list[GrantRecord],
) -> list[tuple[int, _Interval]]:
    # Each accepted grant replaces the previous one.
    replaced_at_ms = [grant.at_ms for grant in accepted[1:]]
    replaced_at_ms.append(float('inf'))
    return [
        served
        for grant, next_ms in zip(accepted, replaced_at_ms, strict=True)
        for served in _served_under(grant, min(grant.ends_at_ms, next_ms))
    ]


def _served_under(
    grant: GrantRecord, end_ms: float
) -> Iterator[tuple[int, _Interval]]:
    for slot, ready_at_ms in grant.ready_at_by_slot.items():
        start_ms = max(ready_at_ms, grant.at_ms)
        if start_ms < end_ms:
            yield slot, _Interval(start_ms, end_ms, grant.server)


def _overlaps(slot: int, intervals: list[_Interval]) -> list[DoubleOwnership]:
    merged = _merged(sorted(intervals, key=lambda interval: interval.start_ms))
    return [
        DoubleOwnership(
            slot,
            first.server,
            second.server,
            min(first.end_ms, second.end_ms) - second.start_ms,
        )
        for first, second in pairwise(merged)
        if first.server != second.server and second.start_ms < first.end_ms
    ]


def _merged(intervals: list[_Interval]) -> list[_Interval]:
    """Merges consecutive intervals of one server."""
    merged: list[_Interval] = []
    for interval in intervals:
        last = merged[-1] if merged else None
        if last is not None and last.server == interval.server:
            end_ms = max(last.end_ms, interval.end_ms)
            merged[-1] = _Interval(last.start_ms, end_ms, last.server)
        else:
            merged.append(interval)
    return merged
