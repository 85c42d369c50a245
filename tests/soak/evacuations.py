"""Evacuations of data centres, and requests that reach their servers."""

import asyncio
import random
import time
from collections import Counter
from math import inf

from aiohttp import web

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_store import RunningStore
from tests.builders.platform_system import REGION_BY_ZONE
from tests.soak.processes import SoakInstance
from tests.soak.statements import StatementRecord
from yuccadale_edge.instance import Bounds

_BOUND_S = Bounds().evacuation_s
_EVACUATED_S = (1.0, _BOUND_S + 3.0, _BOUND_S + 3.0)
_STORE_CHECK_S = 0.05
# Without other faults, all instances have read a row by then.
_READ_S = 1.0


class SoakEvacuations:
    """Evacuates data centres, one at a time.

    A request may reach a server until the bound has passed since the row could
    be read, and since the instance that sent the request or a connection of it
    was last disturbed. Outages of the store excuse nothing once the row has
    been read.

    Attributes:
        problems: requests that reached a server later.
        counts: evacuations, requests to the servers during these, and
            instances that had to comply at the end of one.
    """

    def __init__(
        self, store: RunningStore, records: list[StatementRecord]
    ) -> None:
        """Creates the evacuations of a run.

        Args:
            store: the store.
            records: of each server; they know its proxy and the instances.
        """
        self.problems: list[str] = []
        self.counts: Counter[str] = Counter()
        self._store = store
        self._record_by_server = {one.server.server_id: one for one in records}
        self._written_s_by_data_centre: dict[str, float] = {}
        self._readable_s = inf

    async def evacuate(self, random_source: random.Random) -> None:
        """Evacuates a data centre for a time."""
        data_centre = random_source.choice(sorted(REGION_BY_ZONE))
        self._store.state.put('op', f'evacuate/{data_centre}', {})
        await self._store.state.notify_feeds()
        written_s = time.monotonic()
        self._readable_s = inf
        self._written_s_by_data_centre[data_centre] = written_s
        self.counts['evacuations'] += 1
        until_s = written_s + random_source.choice(_EVACUATED_S)
        store_up_s = written_s
        while time.monotonic() < until_s:
            if self._store.faults.down and self._readable_s == inf:
                store_up_s = time.monotonic()
            elif time.monotonic() > store_up_s + _READ_S:
                self._readable_s = store_up_s
            await asyncio.sleep(_STORE_CHECK_S)
        record = next(iter(self._record_by_server.values()))
        self.counts['instances that had to comply'] += sum(
            self._complies_from_s(one) < until_s for one in record.instances
        )
        await self.clear()

    async def clear(self) -> None:
        """Ends the evacuation, if any."""
        for data_centre in self._written_s_by_data_centre:
            self._store.state.remove('op', f'evacuate/{data_centre}')
        self._written_s_by_data_centre.clear()
        await self._store.state.notify_feeds()

    def check(self, server: PlatformServer, request: web.Request) -> None:
        """Checks a request that has reached a server."""
        written_s = self._written_s_by_data_centre.get(server.zone)
        if written_s is None:
            return
        self.counts['requests in evacuations'] += 1
        if time.monotonic() < written_s + _BOUND_S:
            return
        record = self._record_by_server[server.server_id]
        sender = record.sender(request)
        assert record.proxy is not None
        if sender is None:
            return
        from_s = max(
            self._complies_from_s(sender), record.proxy.disturbed_s + _BOUND_S
        )
        problem = (
            f'{server.server_id} got requests of {sender.name} later than '
            f'{_BOUND_S} s after the evacuation of {server.zone}'
        )
        if time.monotonic() > from_s and problem not in self.problems:
            self.problems.append(problem)

    def _complies_from_s(self, sender: SoakInstance) -> float:
        """Returns from when on an instance must know of an evacuation."""
        disturbed_s = [proxy.disturbed_s for proxy in sender.proxies]
        return _BOUND_S + max(
            self._readable_s, sender.disturbed_s, *disturbed_s
        )
