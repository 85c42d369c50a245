"""The keys of a server that has started again, once its old lease is over."""

import asyncio

from tests.builders.relayed_servers import relayed_servers

# A release is given up after 3 s, and a lease takes 4.6 s.
_SILENT_S = 3.3
_WATCHED_S = 7.0
# Kind, first key, last key and fence.
_Call = tuple[str, int, int, int]


def _fences_on(first: int, last: int, grants: list[_Call]) -> list[int]:
    """Returns the fences of grants that share keys with a range."""
    return [
        fence
        for _, from_key, to_key, fence in grants
        if from_key <= last and first <= to_key
    ]


async def test_a_restarted_server_keeps_the_keys_that_it_got_again() -> None:
    """Guards against a server that loses its keys when an old lease ends.

    The release at its new process got no answer, so the lease of the process
    before it runs out while the new one is the owner.
    """
    async with relayed_servers() as relayed:
        server = relayed.servers[0]
        proxy = relayed.proxies[0]
        server.grants.clear()
        server.accepted_grants.clear()
        server.born += 1000
        history = len(server.call_history)
        proxy.blocked_directions = frozenset(('from_target',))
        await relayed.register(server, 'ready')
        await asyncio.sleep(_SILENT_S)
        proxy.clear_faults()
        await asyncio.sleep(_WATCHED_S - _SILENT_S)
        granted: list[_Call] = []
        for call in server.call_history[history:]:
            kind, first, last, fence = call
            newest = max(_fences_on(first, last, granted), default=0)
            assert kind == 'grant' or fence >= newest, server.call_history
            if kind == 'grant':
                granted.append(call)
        assert granted
