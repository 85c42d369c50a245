"""Contract of all implementations of the platform's interfaces."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from tests.builders.memory_platform import MemoryPlatform
from yuccadale_core.platform import (
    InstanceList,
    ListedInstance,
    Objects,
    Table,
    TableFailureKind,
    write_and_confirm,
)
from yuccadale_core.platform_http import open_platform
from yuccadale_standins.clock import monotonic_ms
from yuccadale_standins.platform import (
    ListChange,
    PlatformState,
    run_platform,
)

_SERVER = ListedInstance(
    's1', 'server', 'lodz-a', 'rack-1', 'ledger', '127.0.0.1:1', 'live'
)


@dataclass
class Platform:
    """One implementation with the state of its stand-in."""

    table: Table
    objects: Objects
    instances: InstanceList
    state: PlatformState


@asynccontextmanager
async def _memory() -> AsyncIterator[Platform]:
    state = PlatformState(monotonic_ms, [_SERVER])
    memory = MemoryPlatform(state, 'lodz-a')
    yield Platform(memory, memory, memory, state)


@asynccontextmanager
async def _http() -> AsyncIterator[Platform]:
    async with (
        run_platform([_SERVER]) as running,
        open_platform(running.url, 'lodz-a') as http,
    ):
        yield Platform(http.table, http.objects, http.instances, running.state)


@pytest.fixture(params=[_memory, _http], ids=['memory', 'http'])
async def platform(request: pytest.FixtureRequest) -> AsyncIterator[Platform]:
    """Yields each implementation in turn."""
    async with request.param() as implementation:
        yield implementation


async def _write(
    platform: Platform, version: int, write_id: str, text: str = 'text'
) -> Any:
    return await platform.table.write(
        'group/ledger/lodz-a/0',
        text,
        expected_version=version,
        write_id=write_id,
    )


async def test_write_returns_what_is_read(platform: Platform) -> None:
    """Guards against lost names, write ids or text outside ASCII."""
    written = await _write(platform, 0, 'first', 'Łódź "0"')
    read = await platform.table.read('group/ledger/lodz-a/0')
    assert read.ok == written.ok
    assert (read.ok.version, read.ok.text) == (1, 'Łódź "0"')


async def test_missing_row_and_object_are_none(platform: Platform) -> None:
    """Guards against reporting an absent row as a failed read."""
    assert (await platform.table.read('group/x')).ok is None
    assert (await platform.objects.get('declaration/x/1')).ok is None


@pytest.mark.parametrize('outdated', [0, 2])
async def test_conflict_returns_the_current_row(
    platform: Platform, outdated: int
) -> None:
    """Guards against a write that ignores the expected version."""
    await _write(platform, 0, 'first')
    failure = (await _write(platform, outdated, 'second')).error
    assert failure.kind == TableFailureKind.conflict
    assert failure.row.write_id == 'first'


async def test_conflict_without_a_row_returns_none(platform: Platform) -> None:
    """Guards against a conflict that reports a row that does not exist."""
    failure = (await _write(platform, 3, 'first')).error
    assert (failure.kind, failure.row) == (TableFailureKind.conflict, None)


async def test_prefix_is_sorted_and_exact(platform: Platform) -> None:
    """Guards against rows with other prefixes and an undefined order."""
    for name in ('b/2', 'a/10', 'a/1'):
        await platform.table.write(
            name, name, expected_version=0, write_id=name
        )
    rows = (await platform.table.read_prefix('a/')).ok
    assert [row.name for row in rows] == ['a/1', 'a/10']


async def test_objects_keep_bytes(platform: Platform) -> None:
    """Guards against text conversion of object bodies."""
    body = bytes(range(256))
    assert (await platform.objects.put('declaration/places/1', body)).is_ok()
    assert (await platform.objects.get('declaration/places/1')).ok == body


async def test_list_changes_at_run_time(platform: Platform) -> None:
    """Guards against a list that is read only once."""
    assert (await platform.instances.fetch()).ok == [_SERVER]
    platform.state.change_list(ListChange(remove=['s1']))
    assert (await platform.instances.fetch()).ok == []


@pytest.mark.parametrize(
    ('faults', 'kind'),
    [
        ({'down': True}, TableFailureKind.unavailable),
        ({'lose_answers': 1}, TableFailureKind.unknown),
        ({'cut': ['lodz-a']}, TableFailureKind.unknown),
    ],
    ids=['outage', 'answer lost after the write', 'cut off'],
)
async def test_failed_write_reports_whether_it_was_applied(
    platform: Platform, faults: dict[str, object], kind: TableFailureKind
) -> None:
    """Guards against `unavailable` for a write that may have been applied."""
    for name, fault in faults.items():
        setattr(platform.state.faults, name, fault)
    assert (await _write(platform, 0, 'first')).error.kind == kind


@pytest.mark.parametrize(
    'faults',
    [{'down': True}, {'lose_answers': True}, {'cut': ['lodz-a']}],
    ids=['outage', 'answer lost', 'cut off'],
)
async def test_failed_reads_are_unavailable(
    platform: Platform, faults: dict[str, object]
) -> None:
    """Guards against a failed read that looks like a missing row."""
    for name, fault in faults.items():
        setattr(platform.state.faults, name, fault)
    for read in (
        platform.table.read('x'),
        platform.table.read_prefix('x'),
        platform.objects.get('x'),
        platform.instances.fetch(),
    ):
        assert (await read).error.kind == TableFailureKind.unavailable


async def test_lost_answer_is_resolved_by_reading(platform: Platform) -> None:
    """Guards against a second write after an answer was lost."""
    platform.state.faults.lose_answers = 1
    resolved = await write_and_confirm(
        platform.table, 'x', 'text', expected_version=0, write_id='first'
    )
    assert resolved.ok.write_id == 'first'
    assert platform.state.writes == 1


async def test_slow_write_over_http_is_unknown() -> None:
    """Guards against `unavailable` for a write that is applied later."""
    async with _http() as platform:
        platform.state.faults.slow_ms = 700
        failed = await _write(platform, 0, 'first')
        assert failed.error.kind == TableFailureKind.unknown


async def test_refused_connection_is_unavailable() -> None:
    """Guards against `unknown` for a write that was never sent."""
    async with run_platform([]) as running:
        url = running.url
    async with open_platform(url, 'lodz-a') as http:
        failed = await http.table.write(
            'x', '', expected_version=0, write_id='first'
        )
    assert failed.error.kind == TableFailureKind.unavailable


async def test_list_lags_and_can_be_overridden() -> None:
    """Guards against a stand-in that cannot simulate an outdated list."""
    now_ms = [0]
    state = PlatformState(lambda: now_ms[0], [_SERVER])
    state.faults.list_lag_s = 10
    now_ms[0] = 1000
    state.change_list(ListChange(remove=['s1']))
    assert state.list_instances() == [_SERVER]
    now_ms[0] = 11_000
    assert state.list_instances() == []
    state.faults.list_override = [_SERVER]
    assert state.list_instances() == [_SERVER]
