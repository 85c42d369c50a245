"""The checks of the soak test for what servers say in their answers."""

import asyncio
import time
from pathlib import Path

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from tests.builders.platform_servers import PlatformServer
from tests.soak.kept_callers import LIMIT_MS
from tests.soak.processes import SoakInstance
from tests.soak.proxy import LoopbackProxy
from tests.soak.statements import StatementRecord

_BOUND_S = 0.05


@pytest.fixture
def _record(monkeypatch: pytest.MonkeyPatch) -> StatementRecord:
    """A record whose requests all come from one instance."""
    for name in ('_DRAIN_S', '_CROSSING_S', '_ARRIVAL_S'):
        monkeypatch.setattr(f'tests.soak.statements.{name}', _BOUND_S)
    sender = SoakInstance('edge-0', 'a', Path(), '', [])
    monkeypatch.setattr(StatementRecord, 'sender', lambda *_: sender)
    record = StatementRecord(PlatformServer('k0', 'ledger', 'a', keyed=True))
    record.proxy = LoopbackProxy(('127.0.0.1', 1))
    record.instances = [sender]
    return record


async def _ask(record: StatementRecord, answer: web.Response) -> None:
    async def handle(_request: web.Request) -> web.StreamResponse:
        return answer

    request = make_mocked_request(
        'POST', '/keyed/x', headers={'X-Deadline-Ms': str(LIMIT_MS)}
    )
    await record.around(handle)(request)
    await asyncio.sleep(_BOUND_S * 1.5)


@pytest.mark.parametrize('restarted', [False, True])
async def test_a_request_after_leaving_is_found(
    restarted: bool, _record: StatementRecord
) -> None:
    """Guards against a check of DRAIN that finds or excuses nothing."""
    _record.server.leaving = True
    leaving = web.Response(headers={'Server-Leaving': '1'})
    await _ask(_record, leaving)
    assert not _record.problems
    if restarted:
        _record.instances[0].disturbed_s = time.monotonic()
    await _ask(_record, leaving)
    assert bool(_record.problems) != restarted


@pytest.mark.parametrize('disturbed', [False, True])
async def test_requests_in_a_pause_are_found(
    disturbed: bool, _record: StatementRecord
) -> None:
    """Guards against a check of BUDGET that finds or excuses nothing."""
    _record.server.pause_text = '4'
    await _ask(_record, web.Response(status=503, headers={'Retry-After': '4'}))
    assert _record.proxy is not None
    if disturbed:
        _record.proxy.reset()
    for _ in range(2):
        await _ask(_record, web.Response())
    assert not _record.problems
    await _ask(_record, web.Response())
    assert bool(_record.problems) != disturbed
