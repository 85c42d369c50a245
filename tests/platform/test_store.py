"""The adapter's store against the stand-in: conditions, feeds, failures."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.builders.platform_store import RunningStore, running_store
from yuccadale_edge.instance import (
    CONFIGURATION_TABLE,
    ClientPool,
    HistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
)
from yuccadale_platform.adapter import PlatformStore

TABLE = 'own'
PAGE_ROWS = 500


@asynccontextmanager
async def _store() -> AsyncIterator[tuple[PlatformStore, RunningStore]]:
    async with running_store() as running:
        pool = ClientPool(asyncio.get_running_loop())
        yield PlatformStore(running.address, pool), running


async def test_a_write_holds_only_under_its_condition() -> None:
    """Guards against two leaders that both believe their write."""
    async with _store() as (store, _):
        version = await store.write(TABLE, {'row': b'one'}, {'row': 0})
        assert isinstance(version, int)
        conflict = await store.write(TABLE, {'row': b'two'}, {'row': 0})
        assert isinstance(conflict, WriteConflict)
        assert conflict.row_by_key['row'].content == b'one'
        assert conflict.row_by_key['row'].version == version


async def test_a_conflict_about_a_missing_row_names_no_row() -> None:
    """Guards against a row of version 0 that is taken as one."""
    async with _store() as (store, _):
        conflict = await store.write(TABLE, {'row': b'two'}, {'row': 7})
        assert isinstance(conflict, WriteConflict)
        assert not conflict.row_by_key


async def test_a_lost_answer_is_an_unknown_outcome() -> None:
    """Guards against a write that was done and is taken as refused."""
    async with _store() as (store, running):
        running.faults.lose_answers = True
        with pytest.raises(StoreOutcomeUnknownError):
            await store.write(TABLE, {'row': b'one'}, {'row': 0})
        running.faults.lose_answers = False
        rows = await store.read(TABLE)
        assert [row.content for row in rows.rows] == [b'one']


async def test_a_refused_call_did_nothing() -> None:
    """Guards against an unknown outcome where the store said no."""
    async with _store() as (store, running):
        running.faults.down = True
        with pytest.raises(StoreUnavailableError):
            await store.write(TABLE, {'row': b'one'}, {'row': 0})
        with pytest.raises(StoreUnavailableError):
            await store.read(TABLE)
        running.faults.down = False
        assert not (await store.read(TABLE)).rows


async def test_nobody_listening_is_unavailable() -> None:
    """Guards against an unknown outcome where nothing was sent."""
    async with _store() as (_, running):
        address = running.address
    store = PlatformStore(address, ClientPool(asyncio.get_running_loop()))
    with pytest.raises(StoreUnavailableError):
        await store.write(TABLE, {'row': b'one'}, {'row': 0})


async def test_a_large_table_is_read_in_pages() -> None:
    """Guards against servers beyond the first page that are unknown."""
    async with _store() as (store, running):
        keys = [f'{number:05}' for number in range(PAGE_ROWS * 2 + 3)]
        for key in keys:
            running.state.put('servers', key, b'{}')
        rows = await store.read('servers')
        assert [row.key for row in rows.rows] == keys


async def test_a_feed_tells_changes_and_removals() -> None:
    """Guards against a removed server that stays known."""
    async with _store() as (store, running):
        running.state.put('servers', 'a', b'{}')
        known = (await store.read('servers')).version
        running.state.put('servers', 'b', b'{}')
        running.state.remove('servers', 'a')
        rows = await store.changes('servers', known, 1.0)
        assert [(row.key, row.removed) for row in rows.rows] == [
            ('b', False),
            ('a', True),
        ]
        assert rows.version == running.state.version


async def test_a_feed_that_lost_its_history_says_so() -> None:
    """Guards against changes that are missed without notice."""
    async with _store() as (store, running):
        running.faults.history_from = 5
        with pytest.raises(HistoryLostError):
            await store.changes('servers', 1, 0.1)


async def test_the_configuration_has_its_own_table() -> None:
    """Guards against the product's name for a table on the wire."""
    async with _store() as (store, running):
        running.state.put('op', 'config', b'{}')
        rows = await store.read(CONFIGURATION_TABLE)
        assert [row.key for row in rows.rows] == ['config']
