"""Calls that a stopped server, or a proxy before it, holds and reads late."""

import asyncio

from tests.builders.platform_servers import PlatformServer
from tests.builders.relayed_servers import MOMENT_S, relayed_servers
from tests.soak.proxy import LoopbackProxy

_RENEWED_WITHIN_S = 3.0
_POLL_S = 0.02
# At least one renewal is unanswered.
_UNANSWERED_S = 2.6
# Until the keys are granted to the other server, by time.
_UNTIL_MOVED_S = 8.0
# A late lease would last for longer.
_WATCHED_S = 3.0
_HELD_S = 1.0
_POLL_S = 0.01


async def _wait_for_held_renewal(proxy: LoopbackProxy) -> None:
    async with asyncio.timeout(_RENEWED_WITHIN_S):
        while not any(b'/v1/grant' in chunk for chunk in proxy.held):
            await asyncio.sleep(_POLL_S)


async def test_a_grant_that_is_read_late_lasts_for_a_moment_only() -> None:
    """Guards against two holders when held calls are read after their time.

    The process of a server, or a proxy, stops for longer than a lease. Its
    kernel has acknowledged a renewal, which is read when it goes on.
    """
    async with relayed_servers() as relayed:
        late, other = relayed.servers
        proxy = relayed.proxies[0]
        proxy.blocked_directions = frozenset(('to_target', 'from_target'))
        await _wait_for_held_renewal(proxy)
        await relayed.register(late, 'draining')
        await asyncio.sleep(_UNTIL_MOVED_S)
        assert other.holds(0)
        grants = len(late.accepted_grants)
        proxy.clear_faults()
        longest_s = await relayed.longest_shared_s(_WATCHED_S)
        assert len(late.accepted_grants) > grants
        assert longest_s <= MOMENT_S


async def test_a_held_grant_after_a_release_lasts_for_a_moment_only() -> None:
    """Guards against two holders by a renewal that was held in a proxy.

    The open connections stall; new ones work, so that the server answers the
    release of its keys while the proxy holds an earlier renewal.
    """
    async with relayed_servers() as relayed:
        late, other = relayed.servers
        proxy = relayed.proxies[0]
        proxy.stall_connections()
        await asyncio.sleep(_UNANSWERED_S)
        await relayed.register(late, 'draining')
        await asyncio.sleep(_UNTIL_MOVED_S)
        assert other.holds(0)
        assert 'release' in {call[0] for call in late.call_history}
        grants = len(late.accepted_grants)
        proxy.resume_connections()
        longest_s = await relayed.longest_shared_s(_WATCHED_S)
        assert len(late.accepted_grants) > grants
        assert longest_s <= MOMENT_S


async def _next_call(server: PlatformServer) -> None:
    calls = len(server.call_history)
    while len(server.call_history) == calls:
        await asyncio.sleep(_POLL_S)


async def test_a_copy_does_not_hide_that_a_grant_is_held() -> None:
    """Guards against two holders when a renewal is applied after a release.

    The copy of the answer to an earlier grant came while the server held the
    renewal back. The leader waits for the end of an unanswered grant only.
    """
    async with relayed_servers() as relayed:
        late = relayed.servers[0]
        await _next_call(late)
        late.grant_delay_s = _HELD_S
        await _next_call(late)
        await relayed.register(late, 'draining')
        assert await relayed.longest_shared_s(_WATCHED_S) <= MOMENT_S
