"""Servers that name a limit for the requests from all instances."""

import asyncio
import itertools

import pytest

from tests.builders.limit_record import allowed_in_window, most_in_window
from tests.builders.platform_servers import PlatformServer
from tests.builders.platform_system import PlatformSystem, platform_system
from yuccadale_edge.instance import Answer, InvalidLimitError
from yuccadale_platform._internal.requests import PlatformCodec

LIMIT_PER_S = 6.5
REQUESTS_PER_S = 60
# The load is played for longer than the window in which requests count.
LOAD_S = 4.5
_NUMBERS = itertools.count()


async def _play_load(system: PlatformSystem, names: list[str]) -> list[int]:
    """Sends requests in turn through the instances; returns the statuses."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks: list[asyncio.Task[int]] = []
    for number in range(int(REQUESTS_PER_S * LOAD_S)):
        await asyncio.sleep(
            max(0, began_s + number / REQUESTS_PER_S - loop.time())
        )
        path, key = (('/keyed/x', 7), ('/once/x', None))[number % 2]
        name = names[number // 2 % len(names)]
        tasks.append(asyncio.create_task(_status(system, name, path, key)))
    return await asyncio.gather(*tasks)


async def _status(
    system: PlatformSystem, name: str, path: str, key: int | None
) -> int:
    status, _, _ = await system.send_request(
        name, path, key=key, request_id=f'limited-{next(_NUMBERS)}'
    )
    return status


async def test_a_server_gets_no_more_requests_than_its_limit() -> None:
    """Guards against a limit that the instances keep separately or not at all.

    Servers that named a limit got all requests as before.
    """
    async with platform_system(keyed=1) as system:
        names = [await system.add_instance(zone) for zone in 'abab']
        for name in names:
            await system.wait_until_served(name, 7)
        for server in system.server_by_id.values():
            server.limit_text = str(LIMIT_PER_S)
            server.arrivals_s.clear()
        statuses = await _play_load(system, names)
        for limited in system.server_by_id.values():
            most = most_in_window(limited.arrivals_s)
            assert most <= allowed_in_window(LIMIT_PER_S)
            assert len(limited.arrivals_s) >= LIMIT_PER_S * LOAD_S * 0.5
    assert set(statuses) <= {200, 429, 503}


@pytest.mark.parametrize(
    ('texts', 'per_s'),
    [
        ((), None),
        ((b'6.5',), 6.5),
        ((b' 17 ',), 17),
        ((b'0',), 0),
        ((b'0.001',), 0.001),
    ],
)
def test_a_limit_is_read(texts: tuple[bytes, ...], per_s: float | None) -> None:
    """Guards against a limit that is not read from an answer."""
    assert PlatformCodec().named_limit(_answer(*texts)) == per_s


@pytest.mark.parametrize(
    'texts',
    [
        (b'',),
        (b'many',),
        (b'-1',),
        (b'inf',),
        (b'nan',),
        (b'1e3',),
        (b'5', b'5'),
        (b'9' * 400,),
    ],
)
def test_a_bad_limit_is_rejected(texts: tuple[bytes, ...]) -> None:
    """Guards against a malformed limit that blocks or floods a server."""
    with pytest.raises(InvalidLimitError):
        PlatformCodec().named_limit(_answer(*texts))


def _answer(*texts: bytes) -> Answer:
    return Answer(200, [(b'server-limit', text) for text in texts])


async def test_bad_values_change_nothing_but_a_counter() -> None:
    """Guards against a bad value that ends or replaces a limit."""
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        server = system.server_by_id['p0']
        for text in ('400', 'many', '-1'):
            server.limit_text = text
            assert await _status(system, name, '/once/x', None) == 200
        metrics = await _metrics(system, name)
    assert 'yuccadale_server_limit_per_s{server="p0"} 400.0' in metrics
    assert 'invalid_server_limits_total{service="stage"} 2' in metrics


async def _metrics(system: PlatformSystem, name: str) -> str:
    host, port = system.settings_by_name[name].metrics_address
    async with system.session.get(f'http://{host}:{port}/metrics') as answer:
        return await answer.text()


async def test_a_limit_that_is_no_longer_named_ends() -> None:
    """Guards against a limit that outlives its last naming."""
    async with platform_system(keyed=0) as system:
        name = await system.add_instance()
        server: PlatformServer = system.server_by_id['p0']
        server.limit_text = '400'
        assert await _status(system, name, '/once/x', None) == 200
        assert 'server_limit_per_s' in await _metrics(system, name)
        server.limit_text = None
        assert await _status(system, name, '/once/x', None) == 200
        assert 'server_limit_per_s' not in await _metrics(system, name)


@pytest.mark.parametrize('answered_before', [True, False])
async def test_a_limit_in_a_refusal_without_the_key(
    answered_before: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server that lost its leases and gets all requests.

    It did on connections on which no request had run.
    """
    async with platform_system(keyed=1, unkeyed=0) as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 7)
        server = system.server_by_id['k0']
        monkeypatch.setattr(PlatformServer, 'holds', lambda *_: False)
        if not answered_before:
            host, port = server.address.split(':')
            pool = system.instance_by_name[name]._pool
            pool.close_idle((host, int(port)))
        server.limit_text = '3'
        arrived = len(server.arrivals_s)
        await system.send_request(name, '/keyed/x', key=7)
        assert len(server.arrivals_s) > arrived
        assert 'server_limit_per_s{server="k0"} 3.0' in await _metrics(
            system, name
        )


async def test_a_limit_of_the_next_server_at_an_address() -> None:
    """Guards against a sound server that is limited by another one's answers.

    The other one has the address that the server had before it started again.
    """
    async with platform_system(keyed=1, unkeyed=0) as system:
        name = await system.add_instance()
        await system.wait_until_served(name, 7)
        former = system.server_by_id['k0']
        former.server_id = 'other'
        former.limit_text = '0'
        await system.send_request(name, '/keyed/x', key=7)
        restarted = PlatformServer('k0', 'ledger', 'a', keyed=True)
        restarted.born = former.born + 1000
        await system.add_server(restarted)
        await system.wait_until_served(name, 7)
        statuses = [
            await _status(system, name, '/keyed/x', 7) for _ in range(40)
        ]
        assert set(statuses) == {200}
        assert 'server_limit_per_s' not in await _metrics(system, name)
