"""The adapter's store client: conditions, feeds and failures."""

import asyncio
import gc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from types import MappingProxyType
from weakref import ref

import pytest

from tests.builders.platform_store import (
    PlatformStoreState,
    RunningStore,
    running_store,
)
from tests.builders.raw_server import RawServer, Script, run_raw_server
from tests.builders.store_answers import (
    Document,
    answers_in_turn,
    table_page,
    table_row,
    without,
)
from yuccadale_edge.instance import (
    CONFIGURATION_TABLE,
    ClientPool,
    HistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
    era_of,
    store_version,
)
from yuccadale_platform.adapter import PlatformStore, parse_address

TABLE = 'own'
PAGE_ROWS = 500


@asynccontextmanager
async def _store() -> AsyncIterator[tuple[PlatformStore, RunningStore]]:
    async with running_store() as running:
        pool = ClientPool(asyncio.get_running_loop())
        yield PlatformStore(running.address, pool), running


async def _run_and_stop_store() -> ref[PlatformStoreState]:
    """Returns a reference to the rows of a store that has answered."""
    async with _store() as (store, running):
        running.state.put('servers', 'row', b'{}')
        await store.read('servers')
        return ref(running.state)


async def test_a_write_is_applied_only_if_its_condition_holds() -> None:
    """Guards against two leaders whose writes both succeed."""
    async with _store() as (store, _):
        version = await store.write(TABLE, {'row': b'one'}, {'row': 0})
        assert isinstance(version, int)
        conflict = await store.write(TABLE, {'row': b'two'}, {'row': 0})
        assert isinstance(conflict, WriteConflict)
        assert conflict.row_by_key['row'].content == b'one'
        assert conflict.row_by_key['row'].version == version


def _repeats_its_first_answer(status: int) -> Callable[[RawServer], Script]:
    """Returns a maker of scripts whose second answer is a copy of the first."""
    body = b'{"rows":[],"ver":7}'
    answer = (
        b'HTTP/1.1 %d Done\r\nContent-Length: %d\r\n\r\n' % (status, len(body))
    ) + body
    newer = answer.replace(b'7', b'9')

    def make_script(raw: RawServer) -> Script:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for copy in (answer, answer, newer):
                await raw.read_request(reader)
                writer.write(copy)

        return script

    return make_script


async def test_a_copy_of_an_earlier_answer_does_not_confirm_a_write() -> None:
    """Guards against a write that counts as done and was not."""
    async with run_raw_server(_repeats_its_first_answer(200)) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        assert await store.write(TABLE, {'row': b'one'}, {}) == 7
        with pytest.raises(StoreOutcomeUnknownError):
            await store.write(TABLE, {'row': b'two'}, {})
        assert await store.write(TABLE, {'row': b'two'}, {}) == 9
        pool.close_idle(parse_address(raw.address))


@pytest.mark.parametrize('status', [412, 429, 503])
async def test_a_copy_of_an_earlier_refusal_does_not_deny_a_write(
    status: int,
) -> None:
    """Guards against a resignation that is stored and counts as not written.

    A leader that believes this goes on leading beside the next one.
    """
    async with run_raw_server(_repeats_its_first_answer(status)) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        for _ in range(2):
            with suppress(StoreUnavailableError):
                await store.write(TABLE, {'row': b'one'}, {})
        # No copy comes on a connection without an earlier answer.
        assert raw.connections == 2
        pool.close_idle(parse_address(raw.address))


async def test_a_copy_of_the_answer_to_a_write_is_no_empty_table() -> None:
    """Guards against a table whose rows are all taken to be removed."""
    async with run_raw_server(_repeats_its_first_answer(200)) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        assert await store.write(TABLE, {'row': b'one'}, {}) == 7
        with pytest.raises(StoreUnavailableError):
            await store.read(TABLE)
        pool.close_idle(parse_address(raw.address))


_WRITTEN = MappingProxyType({'ver': 9, 'now': '9000ms'})
_ROW = table_row('a', 3)
_NO_PAGES = MappingProxyType(
    {
        'answer to a write': dict(_WRITTEN),
        'answer to a feed': without(table_page(_ROW, ver=9), 'has_more'),
        'no clock': without(table_page(_ROW, ver=9), 'now'),
        'clock that is no time': table_page(_ROW, now='soon'),
        'no version': without(table_page(_ROW), 'ver'),
        'row that names no table': table_page(without(_ROW, 'table')),
        'another table': table_page(table_row('a', 3, table='other')),
        'another part': table_page(table_row('a', 3, part='p')),
        'keys out of order': table_page(table_row('b', 3), _ROW),
        'row of a later version': table_page(table_row('a', 8)),
        'version that was known': table_page(_ROW, ver=6),
        'time that was known': table_page(_ROW, now='6999ms'),
    }
)
_NO_CHANGES = MappingProxyType(
    {
        'answer to a write': dict(_WRITTEN),
        'no rows': without(table_page(ver=9), 'rows'),
        'no clock': without(table_page(ver=9), 'now'),
        'another table': table_page(table_row('a', 8, table='other'), ver=9),
        'row that was known': table_page(table_row('a', 7), ver=9),
        'row of a later version': table_page(table_row('a', 10), ver=9),
        'version that was known': table_page(ver=6),
        'time that was known': table_page(table_row('a', 8), ver=9, now='1ms'),
    }
)


@pytest.mark.parametrize('answer', _NO_PAGES.values(), ids=_NO_PAGES)
async def test_an_answer_to_another_call_is_no_table(answer: Document) -> None:
    """Guards against a table that is taken from the answer to another call."""
    answers = answers_in_turn(table_page(_ROW), answer, table_page(_ROW))
    async with run_raw_server(answers) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        known = await store.read(TABLE)
        with pytest.raises(StoreUnavailableError):
            await store.read(TABLE)
        # The next read is on another connection.
        assert await store.read(TABLE) == known
        assert raw.connections == 2
        pool.close_idle(parse_address(raw.address))


@pytest.mark.parametrize('answer', _NO_CHANGES.values(), ids=_NO_CHANGES)
async def test_an_answer_to_another_call_is_no_change(answer: Document) -> None:
    """Guards against changes that are missed, or taken from another call."""
    later = table_page(table_row('a', 9), ver=9)
    answers = answers_in_turn(table_page(_ROW), answer, later)
    async with run_raw_server(answers) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        known = await store.read(TABLE)
        with pytest.raises(StoreUnavailableError):
            await store.changes(TABLE, known.version, 0.1)
        rows = await store.changes(TABLE, known.version, 0.1)
        versions = [row.version for row in rows.rows]
        assert versions == [store_version(1, 9)]
        assert raw.connections == 2
        pool.close_idle(parse_address(raw.address))


async def test_a_copy_of_the_first_page_is_not_the_second() -> None:
    """Guards against rows that are missing behind the first page."""
    page = table_page(_ROW, has_more=True)
    async with run_raw_server(answers_in_turn(page, page)) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        with pytest.raises(StoreUnavailableError):
            await store.read(TABLE)
        assert len(raw.heads) == 2
        pool.close_idle(parse_address(raw.address))


async def test_reads_within_one_tick_of_the_clock_are_used() -> None:
    """Guards against an answer that is refused since nothing has changed."""
    answers = answers_in_turn(table_page(), table_page(), table_page())
    async with run_raw_server(answers) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        known = await store.read(TABLE)
        assert await store.read(TABLE) == known
        assert await store.changes(TABLE, known.version, 0) == known
        assert raw.connections == 1
        pool.close_idle(parse_address(raw.address))


async def test_a_store_whose_clock_has_gone_back_is_used_again() -> None:
    """Guards against a store that is refused for good.

    The first answer of a connection is no copy, whatever it says.
    """
    answers = answers_in_turn(
        table_page(_ROW, now='7000ms'),
        *(table_page(_ROW, now=f'{second}s') for second in (1, 2, 3)),
    )
    async with run_raw_server(answers) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        known = await store.read(TABLE)
        with pytest.raises(StoreUnavailableError):
            await store.read(TABLE)
        assert await store.read(TABLE) == known
        assert await store.read(TABLE) == known
        assert raw.connections == 2
        pool.close_idle(parse_address(raw.address))


async def test_version_and_clock_may_go_back_in_a_later_era() -> None:
    """Guards against a restored store whose answers are all refused."""
    restored = table_page(_ROW, ver=3, now='1ms')
    answers = answers_in_turn(table_page(_ROW), restored, eras=(1, 2))
    async with run_raw_server(answers) as raw:
        pool = ClientPool(asyncio.get_running_loop())
        store = PlatformStore(parse_address(raw.address), pool)
        await store.read(TABLE)
        assert era_of((await store.read(TABLE)).version) == 2
        pool.close_idle(parse_address(raw.address))


async def test_a_conflict_on_a_missing_row_has_no_row() -> None:
    """Guards against a row of version 0 that counts as present."""
    async with _store() as (store, _):
        conflict = await store.write(TABLE, {'row': b'two'}, {'row': 7})
        assert isinstance(conflict, WriteConflict)
        assert not conflict.row_by_key


async def test_a_lost_answer_is_an_unknown_outcome() -> None:
    """Guards against an applied write that counts as refused."""
    async with _store() as (store, running):
        running.faults.drop_answers = True
        with pytest.raises(StoreOutcomeUnknownError):
            await store.write(TABLE, {'row': b'one'}, {'row': 0})
        running.faults.drop_answers = False
        rows = await store.read(TABLE)
        assert [row.content for row in rows.rows] == [b'one']


async def test_a_refused_call_is_not_applied() -> None:
    """Guards against an unknown outcome of a call that the store refused."""
    async with _store() as (store, running):
        running.faults.down = True
        with pytest.raises(StoreUnavailableError):
            await store.write(TABLE, {'row': b'one'}, {'row': 0})
        with pytest.raises(StoreUnavailableError):
            await store.read(TABLE)
        running.faults.down = False
        assert not (await store.read(TABLE)).rows


async def test_a_store_that_does_not_listen_is_unavailable() -> None:
    """Guards against an unknown outcome although nothing was sent."""
    async with _store() as (_, running):
        address = running.address
    store = PlatformStore(address, ClientPool(asyncio.get_running_loop()))
    with pytest.raises(StoreUnavailableError):
        await store.write(TABLE, {'row': b'one'}, {'row': 0})


async def test_a_large_table_is_read_in_pages() -> None:
    """Guards against rows that are missing after the first page."""
    async with _store() as (store, running):
        keys = [f'{number:05}' for number in range(PAGE_ROWS * 2 + 3)]
        for key in keys:
            running.state.put('servers', key, b'{}')
        rows = await store.read('servers')
        assert [row.key for row in rows.rows] == keys


async def test_a_stopped_store_does_not_stay_in_memory() -> None:
    """Guards against garbage collections that outlast the store's timeouts.

    Each went through the rows of all stores that earlier tests had run.
    """
    stopped = await _run_and_stop_store()
    gc.collect()
    assert stopped() is None


async def test_a_feed_returns_changes_and_removals() -> None:
    """Guards against a removed row that is not reported."""
    async with _store() as (store, running):
        running.state.put('servers', 'a', b'{}')
        version = (await store.read('servers')).version
        running.state.put('servers', 'b', b'{}')
        running.state.remove('servers', 'a')
        rows = await store.changes('servers', version, 1.0)
        assert [(row.key, row.removed) for row in rows.rows] == [
            ('b', False),
            ('a', True),
        ]
        state = running.state
        assert rows.version == store_version(state.era, state.version)


async def test_a_feed_without_history_raises_an_error() -> None:
    """Guards against changes that are missed silently."""
    async with _store() as (store, running):
        running.faults.history_from = 5
        with pytest.raises(HistoryLostError):
            await store.changes('servers', 1, 0.1)


async def test_the_configuration_is_read_from_its_store_table() -> None:
    """Guards against a request with the internal name of a table."""
    async with _store() as (store, running):
        running.state.put('op', 'config', b'{}')
        rows = await store.read(CONFIGURATION_TABLE)
        assert [row.key for row in rows.rows] == ['config']


async def test_a_feed_does_not_go_on_across_a_restore() -> None:
    """Guards against changes that are missed when a version returns.

    After the restore other rows have the versions that were read before.
    """
    async with _store() as (store, running):
        state = running.state
        copy = state.copy()
        state.put('servers', 'lost', b'{}')
        version = (await store.read('servers')).version
        state.restore(copy)
        state.put('servers', 'a', b'{}')
        state.put('servers', 'b', b'{}')
        with pytest.raises(HistoryLostError):
            await store.changes('servers', version, 0.1)
        rows = await store.read('servers')
        assert rows.version > version
        assert [row.key for row in rows.rows] == ['a', 'b']


async def test_a_condition_does_not_hold_across_a_restore() -> None:
    """Guards against a write over a row that has the same version by chance."""
    async with _store() as (store, running):
        copy = running.state.copy()
        version = await store.write(TABLE, {'row': b'lost'}, {'row': 0})
        assert isinstance(version, int)
        running.state.restore(copy)
        running.state.put(TABLE, 'row', b'other')
        await store.read(TABLE)
        conflict = await store.write(TABLE, {'row': b'mine'}, {'row': version})
        assert isinstance(conflict, WriteConflict)
        assert conflict.row_by_key['row'].content == b'other'
        assert era_of(conflict.version) == era_of(version) + 1


async def test_an_answer_from_before_a_restore_is_not_used() -> None:
    """Guards against old rows that arrive after those of a restored store."""
    async with _store() as (store, running):
        running.state.era = 3
        await store.read('servers')
        running.state.era = 2
        with pytest.raises(StoreUnavailableError):
            await store.read('servers')
        with pytest.raises(StoreOutcomeUnknownError):
            await store.write(TABLE, {'row': b'one'}, {'row': 0})


@pytest.mark.parametrize('era', ('-1', '1.5', '0x2', '9' * 30, ''))
async def test_an_era_that_is_no_number_is_refused(era: str) -> None:
    """Guards against rows that cannot be ordered."""
    async with _store() as (store, running):
        running.state.era = era  # type: ignore[assignment]
        with pytest.raises(StoreUnavailableError):
            await store.read('servers')
