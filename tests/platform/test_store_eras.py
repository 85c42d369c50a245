"""Eras of stores that count their restores from 0, from 1, or not at all."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from types import MappingProxyType

import pytest

from tests.builders.platform_store import PlatformStoreState, running_store
from yuccadale_edge.instance import ClientPool, era_of
from yuccadale_platform._internal.store_eras import StoreEras
from yuccadale_platform.adapter import PlatformStore

_TABLE = 'yuccadale'
_ROWS = MappingProxyType({'leader': b'{}'})
MakeStore = Callable[[], PlatformStore]


@asynccontextmanager
async def _store_of_era(
    era: int,
) -> AsyncIterator[tuple[PlatformStoreState, MakeStore]]:
    """Yields the state of a store, and a maker of clients that know nothing."""
    async with running_store() as running:
        running.state.era = era
        pool = ClientPool(asyncio.get_running_loop())
        yield running.state, lambda: PlatformStore(running.address, pool)


@pytest.mark.parametrize('first', [0, 1])
async def test_the_first_restore_is_a_later_era(first: int) -> None:
    """Guards against an old record of keys after a drill (review case 10)."""
    async with _store_of_era(first) as (state, make_store):
        store = make_store()
        before = await store.read(_TABLE)
        state.restore(state.copy())
        after = await store.read(_TABLE)
        assert (era_of(before.version), era_of(after.version)) == (1, 2)


async def test_a_process_that_starts_after_the_restore_knows_its_era() -> None:
    """Guards against instances that disagree on the era of the store."""
    async with _store_of_era(0) as (state, make_store):
        earlier = make_store()
        await earlier.read(_TABLE)
        await earlier.write(_TABLE, _ROWS, {'leader': 0})
        state.restore(state.copy())
        later = make_store()
        await later.read('servers')
        rows = await later.read(_TABLE)
        assert era_of(rows.version) == 2
        assert [row.key for row in rows.rows] == ['leader']


async def test_a_store_that_counts_from_one_is_not_marked() -> None:
    """Guards against a mark that moves the eras of other stores."""
    async with _store_of_era(1) as (state, make_store):
        store = make_store()
        await store.read(_TABLE)
        await store.write(_TABLE, _ROWS, {'leader': 0})
        state.restore(state.copy())
        rows = await make_store().read(_TABLE)
        assert era_of(rows.version) == 2
        assert (_TABLE, 'first-era') not in state.value_by_row


def test_a_store_without_eras_has_none() -> None:
    """Guards against a change of the versions of stores without eras."""
    eras = StoreEras()
    eras.enter(eras.count(None))
    assert (eras.current, eras.unmarked) == (0, False)


def test_an_answer_from_before_the_restore_is_of_an_earlier_era() -> None:
    """Guards against an answer from before the restore that counts after it."""
    eras = StoreEras()
    eras.enter(eras.count(1))
    assert eras.count(0) < eras.current
    assert eras.count(1) == eras.current


async def test_a_server_may_have_the_name_of_the_mark() -> None:
    """Guards against rows of others that are taken for the mark."""
    async with _store_of_era(1) as (state, make_store):
        state.put('servers', 'first-era', b'{}')
        rows = await make_store().read('servers')
        assert [row.key for row in rows.rows] == ['first-era']
        assert era_of(rows.version) == 1
