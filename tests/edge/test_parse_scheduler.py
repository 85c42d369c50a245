"""What one connection, or all of them, parse in a turn of the event loop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.builders.prepared_answers import (
    OpenRequest,
    chunked_answer,
    open_request,
)
from tests.builders.prepared_requests import (
    chunked_request,
    listener_with_callers,
)
from tests.builders.raw_server import accepting_socket
from yuccadale_edge._internal.transport.client_connection import (
    AnswerMalformedError,
)
from yuccadale_edge._internal.transport.client_pool import ClientPool

_CHUNK = b'zzz'
# Chunks of one answer, which fit into the buffers of the kernel.
_MANY = 25_000
# The most chunks that are parsed in one turn: the bound, and the part that
# exceeds it.
_CHUNKS_PER_TURN = 2048 + 512
_CONNECTIONS = 20
_OF_EACH = 4000
_LONG_S = 10.0


@asynccontextmanager
async def _open_requests(count: int) -> AsyncIterator[list[OpenRequest]]:
    """Yields requests that wait for their answers."""
    async with accepting_socket() as (address, accept):
        pool = ClientPool(asyncio.get_running_loop())
        yield [await open_request(pool, address, accept) for _ in range(count)]
        pool.close_idle(address)


@asynccontextmanager
async def _open_single_request() -> AsyncIterator[OpenRequest]:
    async with _open_requests(1) as requests:
        yield requests[0]


async def _turns_until(*tasks: asyncio.Task) -> int:
    """Counts the turns of the event loop until all tasks are done."""
    turns = 0
    async with asyncio.timeout(_LONG_S):
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            turns += 1
    return turns


async def test_an_answer_in_small_chunks_leaves_turns_to_others() -> None:
    """Guards against an answer that stops a process (review case 6).

    All that had arrived was parsed at once, also beyond the time limit.
    """
    async with _open_single_request() as request:
        request.send_answer(chunked_answer(_CHUNK, _MANY))
        assert await _turns_until(request.answer) >= _MANY // _CHUNKS_PER_TURN
        assert request.answer.result().body == _CHUNK * _MANY


async def test_answers_of_many_connections_share_a_turn() -> None:
    """Guards against a bound of each connection that many together exceed."""
    async with _open_requests(_CONNECTIONS) as requests:
        for request in requests:
            request.send_answer(chunked_answer(_CHUNK, _OF_EACH))
        turns = await _turns_until(*(one.answer for one in requests))
        assert turns >= _CONNECTIONS * _OF_EACH // _CHUNKS_PER_TURN
        for one in requests:
            assert one.answer.result().body == _CHUNK * _OF_EACH


async def test_a_usual_answer_does_not_wait_for_expensive_ones() -> None:
    """Guards against answers that wait behind all that others have sent."""
    async with _open_requests(_CONNECTIONS) as requests:
        usual, *expensive = requests
        for request in expensive:
            request.send_answer(chunked_answer(_CHUNK, _OF_EACH))
        for _ in range(3):
            await asyncio.sleep(0)
        usual.send_answer(chunked_answer(_CHUNK, 1))
        await _turns_until(usual.answer)
        done = sum(one.answer.done() for one in expensive)
        assert done <= 2


async def test_a_body_that_is_mostly_framing_ends_its_request() -> None:
    """Guards against an answer without end that is read to its time limit."""
    async with _open_single_request() as request:
        request.send_answer(chunked_answer(b'z', _MANY, ends=False))
        with pytest.raises(AnswerMalformedError, match='too small'):
            async with asyncio.timeout(_LONG_S):
                await request.answer


async def test_a_small_body_in_chunks_of_one_byte_is_an_answer() -> None:
    """Guards against a bound of the framing that sound servers exceed."""
    async with _open_single_request() as request:
        request.send_answer(chunked_answer(b'z', _OF_EACH))
        async with asyncio.timeout(_LONG_S):
            assert (await request.answer).body == b'z' * _OF_EACH


async def test_bytes_behind_a_deferred_answer_end_its_connection() -> None:
    """Guards against bytes that wait to be parsed, for the next request."""
    async with _open_single_request() as request:
        request.send_answer(
            chunked_answer(_CHUNK, _MANY) + chunked_answer(b'other', 1)
        )
        async with asyncio.timeout(_LONG_S):
            assert (await request.answer).body == _CHUNK * _MANY
            # The connection is reset, not kept for the next request.
            with pytest.raises(ConnectionError):
                while True:
                    request.peer.send(b'x')
                    await asyncio.sleep(0)


async def test_requests_of_many_callers_share_a_turn() -> None:
    """Guards against a small crowd that stops a process (review case 9)."""
    async with listener_with_callers(_CONNECTIONS) as running:
        for caller in running.callers:
            caller.sendall(chunked_request(_CHUNK, _OF_EACH))
        turns = await running.turns_until_handled(_CONNECTIONS)
        assert turns >= _CONNECTIONS * _OF_EACH // _CHUNKS_PER_TURN
        assert set(running.bodies) == {_CHUNK * _OF_EACH}


async def test_a_usual_request_does_not_wait_for_expensive_ones() -> None:
    """Guards against callers that wait behind all that others have sent."""
    async with listener_with_callers(_CONNECTIONS) as running:
        usual, *expensive = running.callers
        for caller in expensive:
            caller.sendall(chunked_request(_CHUNK, _OF_EACH))
        for _ in range(3):
            await asyncio.sleep(0)
        usual.sendall(chunked_request(b'usual', 1))
        while b'usual' not in running.bodies:
            await running.turns_until_handled(len(running.bodies) + 1)
        assert running.bodies.index(b'usual') <= 2


async def test_a_large_request_in_chunks_of_one_byte_is_handled() -> None:
    """Guards against legal requests that are refused in calm."""
    async with listener_with_callers(1) as running:
        running.callers[0].sendall(chunked_request(b'z', _MANY))
        turns = await running.turns_until_handled(1)
        assert turns >= _MANY // _CHUNKS_PER_TURN
        assert running.bodies == [b'z' * _MANY]
