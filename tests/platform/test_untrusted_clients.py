"""Clients that are not under control, and processes with lowered limits.

The cases run one at a time: the memory of a process is measured.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from itertools import count
from pathlib import Path
from types import MappingProxyType

import aiohttp
import pytest

from tests.builders.body_servers import BodyServer, running_body_server
from tests.builders.client_crowds import (
    BODY_BYTES,
    CROWD_BY_KIND,
    HEADER_BYTES,
    attacking,
)
from tests.builders.instance_processes import (
    instance_processes,
    peak_resident_bytes,
)
from tests.builders.platform_store import running_store
from tests.builders.platform_system import HOST, configuration
from tests.soak.processes import SoakInstance

# The smallest machine of the roster deployment.
_MEMORY_MB = 160
_DESCRIPTORS = 256
_ORDINARY_BODY_BYTES = 60_000
_ANSWER_BYTES = 1024 * 1024
_WORK_S = 0.2
_SLOTS = 8
_ATTACK_S = 1.5
_SAMPLE_S = 0.02
# Longer than any wait for an answer; no case checks how long it takes.
_ANSWERED_S = 12.0
_START_S = 20.0
_ROUTED = '/open/x'
_READINESS = '/v1/readyz'
_PATHS = MappingProxyType(
    {
        'route': ('callers', _ROUTED),
        'no route': ('callers', '/none/x'),
        'readiness': ('readiness', _READINESS),
    }
)
_NUMBERS = count()


def _configuration() -> dict:
    content = configuration()
    content['limits']['max_body_bytes'] = BODY_BYTES
    content['limits']['max_header_bytes'] = HEADER_BYTES
    return content


async def _status(instance: SoakInstance, purpose: str, path: str) -> int:
    """Returns the status of a request on a connection of its own."""
    headers = {
        'Host': HOST,
        'X-Attempt-Id': f'ordinary-{next(_NUMBERS)}',
        'X-Deadline-Ms': '5000',
    }
    url = f'http://127.0.0.1:{instance.ports[purpose]}{path}'
    body = bytes(_ORDINARY_BODY_BYTES) if purpose == 'callers' else b''
    try:
        async with (
            asyncio.timeout(_ANSWERED_S),
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=body) as answer,
        ):
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def _is_answered(
    instance: SoakInstance, purpose: str, path: str, within_s: float
) -> bool:
    """Whether a caller that returns after a refusal gets an answer."""
    with suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            while await _status(instance, purpose, path) != 200:
                await asyncio.sleep(0.1)
            return True
    return False


@asynccontextmanager
async def _instance(
    directory: Path, server: BodyServer
) -> AsyncIterator[SoakInstance]:
    async with running_store() as store:
        store.state.put('op', 'config', _configuration())
        async with (
            running_body_server(server, store, slots=_SLOTS),
            instance_processes(
                1,
                directory,
                store.address,
                memory_mb=_MEMORY_MB,
                descriptors=_DESCRIPTORS,
            ) as instances,
        ):
            started = instances[0]
            assert await _is_answered(started, 'callers', _ROUTED, _START_S)
            yield started


async def _watch_descriptors(instance: SoakInstance, peaks: list[int]) -> None:
    while True:
        peaks.append(len(instance.open_files()))
        await asyncio.sleep(_SAMPLE_S)


async def _measure(directory: Path, kind: str, path: str) -> dict[str, object]:
    server = BodyServer('open')
    purpose, target = _PATHS[path]
    async with _instance(directory, server) as instance:
        server.answer_bytes = _ANSWER_BYTES
        server.work_s = _WORK_S
        peaks: list[int] = []
        watch = asyncio.create_task(_watch_descriptors(instance, peaks))
        try:
            async with attacking(
                CROWD_BY_KIND[kind], instance.ports[purpose], target, _ATTACK_S
            ):
                answered = await _is_answered(
                    instance, 'callers', _ROUTED, _ANSWERED_S
                ) and await _is_answered(
                    instance, 'readiness', _READINESS, _ANSWERED_S
                )
        finally:
            watch.cancel()
        return {
            'ended': instance.ended_by_itself,
            'answered': answered,
            'resident_mb': peak_resident_bytes(instance) / 1_000_000,
            'descriptors': max(peaks),
        }


@pytest.mark.parametrize('path', _PATHS)
@pytest.mark.parametrize('kind', CROWD_BY_KIND)
def test_a_crowd_of_clients_exhausts_no_process(
    tmp_path: Path, kind: str, path: str
) -> None:
    """Guards against clients that use up the memory or the descriptors.

    They could end the process, or keep it from serving others.
    """
    measured = asyncio.run(_measure(tmp_path, kind, path))
    assert not measured['ended'], measured
    assert measured['answered'], measured
    assert measured['resident_mb'] < _MEMORY_MB, measured
    assert measured['descriptors'] < _DESCRIPTORS, measured
