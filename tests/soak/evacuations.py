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
_CHECK_S = 0.05
# An instance that is not disturbed has read a row by then.
_READ_S = Bounds().configuration_s


class SoakEvacuations:
    """Evacuates data centres, one at a time.

    A request may reach a server until the bound has passed since its sender
    could read the row: neither the store nor the sender nor its connections
    were disturbed for long enough. Once the row has been read, only a restart
    or a suspension of the sender excuses later requests.

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
        self._store_down_s: float = 0
        self._readable_s_by_sender: dict[str, float] = {}

    async def evacuate(self, random_source: random.Random) -> None:
        """Evacuates a data centre for a time."""
        data_centre = random_source.choice(sorted(REGION_BY_ZONE))
        self._store.state.put('op', f'evacuate/{data_centre}', {})
        await self._store.state.notify_feeds()
        written_s = time.monotonic()
        self._readable_s_by_sender.clear()
        self._written_s_by_data_centre[data_centre] = written_s
        self.counts['evacuations'] += 1
        instances = next(iter(self._record_by_server.values())).instances
        until_s = written_s + random_source.choice(_EVACUATED_S)
        while time.monotonic() < until_s:
            if self._store.faults.down:
                self._store_down_s = time.monotonic()
            for instance in instances:
                self._observe(instance, written_s)
            await asyncio.sleep(_CHECK_S)
        self.counts['instances that had to comply'] += sum(
            self._complies_from_s(one) < until_s for one in instances
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

    def _observe(self, sender: SoakInstance, written_s: float) -> None:
        """Notes from when on an instance could read an evacuation."""
        readable_s = self._readable_s_by_sender.get(sender.name, inf)
        if sender.disturbed_s > readable_s:
            self._readable_s_by_sender.pop(sender.name)
        elif readable_s == inf:
            disturbed_s = [proxy.disturbed_s for proxy in sender.proxies]
            since_s = max(
                written_s, self._store_down_s, sender.disturbed_s, *disturbed_s
            )
            if not sender.paused and time.monotonic() > since_s + _READ_S:
                self._readable_s_by_sender[sender.name] = since_s

    def _complies_from_s(self, sender: SoakInstance) -> float:
        """Returns from when on an instance must comply with an evacuation."""
        readable_s = self._readable_s_by_sender.get(sender.name, inf)
        if sender.disturbed_s > readable_s:
            return inf
        return readable_s + _BOUND_S
