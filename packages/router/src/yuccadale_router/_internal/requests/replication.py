"""Batches record changes for replication to the standby."""

import asyncio
from collections.abc import Awaitable, Callable

from expression import Result

from yuccadale_core.messages import RecordChange
from yuccadale_core.refusals import Refusal

Replicate = Callable[
    [str, list[RecordChange]], Awaitable[Result[None, Refusal]]
]
Replicated = asyncio.Future[Result[None, Refusal]]


class _Batch:
    __slots__ = ('changes', 'replicated')

    def __init__(self, replicated: Replicated) -> None:
        self.changes: list[RecordChange] = []
        self.replicated = replicated


class Replication:
    """Replicates the changes of one event loop pass in one call per server.

    The changes of one id keep their order, also across servers: a late
    ``not run`` must not undo the ``started`` of the next attempt.
    """

    def __init__(self, replicate: Replicate) -> None:
        self._replicate = replicate
        self._batch_by_server: dict[str, _Batch] = {}
        self._server_by_id: dict[tuple[int, str], str] = {}
        self._scheduled = False
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, server_name: str, change: RecordChange) -> Replicated:
        """Adds a change; the future resolves to the result of its batch."""
        record_id = (change.slot, change.request_id)
        if self._server_by_id.get(record_id, server_name) != server_name:
            self._flush()
        self._server_by_id[record_id] = server_name
        batch = self._batch_by_server.get(server_name)
        if batch is None:
            batch = _Batch(asyncio.get_running_loop().create_future())
            self._batch_by_server[server_name] = batch
        batch.changes.append(change)
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_scheduled)
        return batch.replicated

    def _flush_scheduled(self) -> None:
        self._scheduled = False
        self._flush()

    def _flush(self) -> None:
        batches = self._batch_by_server
        self._batch_by_server = {}
        self._server_by_id.clear()
        for server_name, batch in batches.items():
            task = asyncio.create_task(self._send(server_name, batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, server_name: str, batch: _Batch) -> None:
        replicated = await self._replicate(server_name, batch.changes)
        if not batch.replicated.done():
            batch.replicated.set_result(replicated)
