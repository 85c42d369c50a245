"""What a refused connection to a server says about its leases: nothing.

A path that refuses and resets connections looks like a process that has ended,
while the server behind it lives and its leases run.
"""

import asyncio

from tests.builders.relayed_servers import MOMENT_S, relayed_servers
from tests.soak.proxy import LoopbackProxy

# How long connections are refused, and what the server's entry says then.
_CASES = ((0.6, 'draining'), (2.5, 'ready'), (2.5, 'draining'))
_WATCHED_S = 7.0


async def _cut(proxy: LoopbackProxy, seconds: float) -> None:
    port = proxy.address[1]
    proxy.stop_listening()
    proxy.reset()
    await asyncio.sleep(seconds)
    await proxy.listen(port)


async def _longest_shared_after_cut_s(refused_s: float, state: str) -> float:
    async with relayed_servers() as relayed:
        watching = asyncio.create_task(relayed.longest_shared_s(_WATCHED_S))
        cut = asyncio.create_task(_cut(relayed.proxies[0], refused_s))
        await relayed.register(relayed.servers[0], state)
        await cut
        longest_s = await watching
        await relayed.wait_until_served()
    return longest_s


async def test_keys_of_a_server_that_refuses_connections_stay_its_own() -> None:
    """Guards against two holders of a key when a path refuses connections.

    Two refused connections counted as the end of the process, also for one
    that began to leave meanwhile.
    """
    shared_s = await asyncio.gather(
        *(_longest_shared_after_cut_s(*case) for case in _CASES)
    )
    assert max(shared_s) <= MOMENT_S, shared_s
