"""The checks over server records detect violations."""

from pathlib import Path

import msgspec
import pytest

from yuccadale_standins.records import (
    GrantRecord,
    RunRecord,
    double_ownership,
    read_records,
    repeated_runs,
)


def _grant(
    server: str, at_ms: float, ends_at_ms: float, ready_at_ms: float = 0
) -> GrantRecord:
    return GrantRecord(
        server=server,
        incarnation='1',
        holder='leader',
        token=2,
        sequence=1,
        accepted=True,
        gap=False,
        at_ms=at_ms,
        ends_at_ms=ends_at_ms,
        ready_at_by_slot={7: ready_at_ms},
    )


def _run(request_id: str, *, effect: bool = True) -> RunRecord:
    return RunRecord(
        server='s1',
        incarnation='1',
        request_id=request_id,
        key='k',
        slot=7,
        token=2,
        method='POST',
        path='/',
        kind='',
        start_ms=0,
        end_ms=1,
        effect=effect,
        end='done',
    )


@pytest.mark.parametrize(
    ('grants', 'overlap_ms'),
    [
        ([_grant('a', 0, 1000), _grant('b', 900, 1900)], [100]),
        ([_grant('a', 0, 1000), _grant('b', 900, 1900, 1000)], []),
        ([_grant('a', 0, 1000), _grant('a', 500, 1500)], []),
        ([_grant('a', 0, 5000), _grant('b', 900, 1900)], [1000]),
    ],
    ids=['overlap', 'waiting time', 'renewal', 'inside'],
)
def test_double_ownership_is_found(
    grants: list[GrantRecord], overlap_ms: list[float]
) -> None:
    """Guards against a check that misses overlaps or reports false ones."""
    found = double_ownership(grants)
    assert [double.overlap_ms for double in found] == overlap_ms


def test_only_effects_count_as_repeated() -> None:
    """Guards against counting requests that were aborted."""
    runs = [
        _run('twice'),
        _run('twice'),
        _run('once'),
        _run('once', effect=False),
    ]
    assert repeated_runs(runs, lambda run: run.method == 'POST') == {'twice': 2}


def test_incomplete_last_line_is_ignored(tmp_path: Path) -> None:
    """Guards against a records file that cannot be read after SIGKILL."""
    line = msgspec.json.encode(_run('once'))
    path = tmp_path / 'records'
    path.write_bytes(b'%s\n%s' % (line, line[:20]))
    assert read_records(path) == [_run('once')]
