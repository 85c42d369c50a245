"""Large bodies at several instances at once."""

import asyncio
from itertools import count
from pathlib import Path

import aiohttp
import pytest

from tests.builders.body_servers import BodyServer, running_body_server
from tests.builders.instance_processes import (
    instance_processes,
    peak_resident_bytes,
)
from tests.builders.platform_store import running_store
from tests.builders.platform_system import (
    HOST,
    configuration,
    platform_system,
    route,
)
from tests.soak.processes import SoakInstance

_INSTANCES = 3
_ROUNDS = 2
_SLOTS = 8
_WORK_S = 1.0
_DEADLINE_S = 10
_START_S = 30.0
# The default of the settings.
_MEMORY_BYTES = 300_000_000
_MAX_BODY_BYTES = 64 * 1024 * 1024
_NUMBERS = count()


def _configuration() -> dict:
    content = configuration(
        upload=route(
            prefix='/upload/',
            service='stage',
            timeout=f'{_DEADLINE_S}s',
            target_latency=f'{_DEADLINE_S}s',
        )
    )
    content['limits']['max_body_bytes'] = _MAX_BODY_BYTES
    return content


async def _status(
    session: aiohttp.ClientSession, instance: SoakInstance, body: bytes
) -> int:
    headers = {
        'Host': HOST,
        'X-Attempt-Id': f'upload-{next(_NUMBERS)}',
        'X-Deadline-Ms': str(_DEADLINE_S * 1000),
    }
    url = f'http://127.0.0.1:{instance.ports["callers"]}/upload/x'
    try:
        async with session.post(url, headers=headers, data=body) as answer:
            async for _ in answer.content.iter_chunked(_MAX_BODY_BYTES):
                """The caller keeps nothing."""
            return answer.status
    except aiohttp.ClientError:
        return 0


async def _wait_until_served(
    session: aiohttp.ClientSession, instances: list[SoakInstance]
) -> None:
    async with asyncio.timeout(_START_S):
        for instance in instances:
            while await _status(session, instance, b'') != 200:
                await asyncio.sleep(0.1)


@pytest.mark.parametrize(
    ('body_mb', 'answer_mb', 'requests'), [(48, 0, 1), (0, 24, 5)]
)
async def test_large_bodies_at_several_instances_end_no_process(
    tmp_path: Path, body_mb: int, answer_mb: int, requests: int
) -> None:
    """Guards against forwarded bodies and answers that have no bound.

    The instance that sent to the servers held several copies of each, passed
    its memory and was killed.
    """
    body = bytes(body_mb * 1024 * 1024)
    async with running_store() as store, aiohttp.ClientSession() as session:
        store.state.put('op', 'config', _configuration())
        server = BodyServer('large')
        async with (
            running_body_server(server, store, slots=_SLOTS),
            instance_processes(
                _INSTANCES, tmp_path, store.address
            ) as instances,
        ):
            await _wait_until_served(session, instances)
            server.work_s = _WORK_S
            server.answer_bytes = answer_mb * 1024 * 1024
            for _ in range(_ROUNDS):
                statuses = await asyncio.gather(
                    *(
                        _status(session, instance, body)
                        for instance in instances * requests
                    )
                )
                assert set(statuses) == {200}
            peaks = [peak_resident_bytes(one) for one in instances]
            assert max(peaks) < _MEMORY_BYTES


async def test_a_request_without_room_at_its_sender_is_served() -> None:
    """Guards against requests that are refused while their server is idle."""
    async with platform_system(keyed=1) as system:
        names = [await system.add_instance() for _ in range(2)]
        for name in names:
            await system.wait_until_served(name, 7)
            room = system.instance_by_name[name]._forwarded
            assert room.hold(_MEMORY_BYTES)
        for number, name in enumerate(names):
            for path, key in (('/once/x', None), ('/keyed/x', 7)):
                status, _, _ = await system.send_request(
                    name, path, key=key, request_id=f'{path}-{number}'
                )
                assert status == 200
        refused = [
            instance._forwarded.refused
            for instance in system.instance_by_name.values()
        ]
        assert sum(refused) > 0
