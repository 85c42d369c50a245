"""The checks of the soak test for evacuations and regions of routes."""

import time
from pathlib import Path

import pytest
from aiohttp.test_utils import make_mocked_request

from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_store import (
    PlatformStoreState,
    RunningStore,
    StoreFaults,
)
from tests.soak.evacuations import SoakEvacuations
from tests.soak.processes import SoakInstance
from tests.soak.proxy import LoopbackProxy
from tests.soak.routes import RouteRecord
from tests.soak.statements import StatementRecord

_BOUND_S = 0.05


class _SecondDataCentre:
    """Chooses the data centre that is evacuated, and for how long."""

    @staticmethod
    def choice(options: tuple) -> object:
        return options[-1]


@pytest.fixture
def _evacuations(monkeypatch: pytest.MonkeyPatch) -> SoakEvacuations:
    """Evacuations that one instance has to observe."""
    for name in ('_BOUND_S', '_READ_S', '_CHECK_S'):
        monkeypatch.setattr(f'tests.soak.evacuations.{name}', _BOUND_S)
    sender = SoakInstance('edge-0', 'a', Path(), '', [])
    monkeypatch.setattr(StatementRecord, 'sender', lambda *_: sender)
    record = StatementRecord(PlatformServer('k1', 'ledger', 'b', keyed=True))
    record.proxy = LoopbackProxy(('127.0.0.1', 1))
    record.instances = [sender]
    store = RunningStore(('', 0), PlatformStoreState(), StoreFaults())
    return SoakEvacuations(store, [record])


@pytest.mark.parametrize('fault', ['', 'store', 'instance', 'path'])
@pytest.mark.parametrize('zone', ['a', 'b'])
async def test_a_request_after_the_bound_is_found(
    zone: str,
    fault: str,
    _evacuations: SoakEvacuations,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check of evacuations that finds or excuses nothing."""
    monkeypatch.setattr('tests.soak.evacuations._EVACUATED_S', (_BOUND_S * 5,))
    server = PlatformServer('k1', 'ledger', zone, keyed=True)
    record = _evacuations._record_by_server['k1']
    assert record.proxy is not None
    _evacuations._store.faults.down = fault == 'store'
    monkeypatch.setattr(_evacuations, 'clear', _do_nothing)
    request = make_mocked_request('POST', '/keyed/x')
    await _evacuations.evacuate(_SecondDataCentre())  # type: ignore[arg-type]
    if fault == 'instance':
        record.instances[0].disturbed_s = time.monotonic()
    if fault == 'path':
        record.proxy.reset()
    _evacuations.check(server, request)
    assert bool(_evacuations.problems) == (zone == 'b' and not fault)


async def _do_nothing() -> None:
    """Keeps the evacuation."""


@pytest.mark.parametrize('zone', ['a', 'b'])
@pytest.mark.parametrize('path', ['/once/x', '/home/x'])
def test_a_request_that_leaves_its_region_is_found(
    path: str, zone: str
) -> None:
    """Guards against a check of regions that finds nothing, or too much."""
    record = RouteRecord()
    server = PlatformServer('p', 'stage', zone, keyed=False)
    record.check(server, make_mocked_request('POST', path))
    assert bool(record.problems) == (path == '/home/x' and zone == 'a')
