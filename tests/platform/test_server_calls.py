"""Grants and releases of the adapter against the stand-in's servers."""

import asyncio

import pytest

from tests.builders.platform_servers import PlatformServer, running_server
from tests.builders.platform_store import running_store
from yuccadale_edge.instance import (
    CallKind,
    ClientPool,
    GrantRefusedError,
    WrongServerError,
    OwnershipCall,
)
from yuccadale_edge.ownership import Holder
from yuccadale_platform.parts import PlatformServerCalls, address

LEASE_S = 1.0


def _call(
    server_id: str, fence: int, kind: CallKind = CallKind.grant
) -> OwnershipCall:
    return OwnershipCall(kind, Holder(server_id, 1), 0, 99, fence)


def _calls(*health_paths: str) -> PlatformServerCalls:
    pool = ClientPool(asyncio.get_running_loop())
    return PlatformServerCalls(pool, lambda: health_paths or ('/healthz',))


async def test_a_higher_fence_refuses_a_grant() -> None:
    """Guards against a refusal that is taken as a grant."""
    async with running_store() as store:
        server = PlatformServer('k', 'ledger', 'a', keyed=True)
        async with running_server(server, store):
            calls = _calls()
            at = address(server.address)
            await calls.grant(at, _call('k', 7), LEASE_S)
            with pytest.raises(GrantRefusedError):
                await calls.grant(at, _call('k', 6), LEASE_S)
            released = await calls.release(at, _call('k', 7, CallKind.release))
            assert released == 'h7'
            assert not server.holds(5)


@pytest.mark.parametrize('health_path', ['/healthz', '/alive'])
async def test_a_reused_address_is_another_server(health_path: str) -> None:
    """Guards against keys that wait for a server that has ended.

    Its address had gone to a service without keys, which answers 400; where
    it says who it is depends on the configuration.
    """
    async with running_store() as store:
        server = PlatformServer('other', 'stage', 'a', keyed=False)
        server.health_path = health_path
        async with running_server(server, store):
            calls = _calls('/elsewhere', health_path)
            with pytest.raises(WrongServerError):
                await calls.grant(
                    address(server.address), _call('k', 7), LEASE_S
                )
