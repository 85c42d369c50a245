"""Tests of delivery, authentication and reconnection between peers."""

import asyncio
import itertools
from contextlib import AsyncExitStack
from pathlib import Path

from tests.builders.peers import (
    free_address,
    instance,
    running_links,
    write_peer_keys,
)
from yuccadale_bench._internal.tcp_relay import running_relay
from yuccadale_core.instances import GroupId, InstanceRef, Leadership
from yuccadale_core.messages import Cancel, PeerMessage
from yuccadale_core.timing import SUSPICION_TIMEOUT_MS
from yuccadale_router._internal.contracts import LeadershipTable
from yuccadale_router._internal.network.peer_links import PeerLinks

_WAIT_LIMIT_S = 20


async def _receive_one(links: PeerLinks) -> asyncio.Future[int]:
    received: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def set_received(_: InstanceRef, message: PeerMessage) -> None:
        if isinstance(message, Cancel) and not received.done():
            received.set_result(message.forward_id)

    links.handle(Cancel, set_received)
    return received


async def _wait_for_message(links: PeerLinks, name: str) -> None:
    async with asyncio.timeout(_WAIT_LIMIT_S):
        while links.silence_ms(name) == float('inf'):
            await asyncio.sleep(0.01)


async def test_message_reaches_the_peer(tmp_path: Path) -> None:
    """Guards against a link that connects but delivers nothing."""
    keys = write_peer_keys(tmp_path, 'secret')
    east = instance('east-0', free_address())
    west = instance('west-0', free_address())
    async with running_links(east, keys) as sender:
        async with running_links(west, keys) as receiver:
            received = await _receive_one(receiver)
            sender.add_peer(west)
            assert sender.send('west-0', Cancel(7))
            assert await asyncio.wait_for(received, _WAIT_LIMIT_S) == 7
            await _wait_for_message(sender, 'west-0')
            assert [ref.name for ref in sender.live_peers()] == ['west-0']


async def test_peer_without_the_key_is_refused(tmp_path: Path) -> None:
    """Guards against messages from a process without a valid peer key."""
    east = instance('east-0', free_address())
    west = instance('west-0', free_address())
    other_keys = write_peer_keys(tmp_path, 'guessed')
    async with running_links(east, other_keys) as unauthorised:
        keys = write_peer_keys(tmp_path, 'secret')
        async with running_links(west, keys) as receiver:
            received = await _receive_one(receiver)
            unauthorised.add_peer(west)
            unauthorised.send('west-0', Cancel(7))
            async with asyncio.timeout(_WAIT_LIMIT_S):
                while not receiver.counters.snapshot().get('peer.rejected.mac'):
                    await asyncio.sleep(0.01)
            assert not received.done()
            assert not receiver.known_peers()


async def test_keys_can_be_replaced_without_an_interruption(
    tmp_path: Path,
) -> None:
    """Guards against a peer that is rejected while keys are replaced."""
    old = write_peer_keys(tmp_path, 'old')
    both = write_peer_keys(tmp_path, 'new', 'old')
    sealed_by_old = old.seal(b'batch')
    sealed_by_new = both.seal(b'batch')
    assert both.open(sealed_by_old) == b'batch'
    assert both.open(sealed_by_new) == b'batch'
    assert old.open(sealed_by_new) is None


async def _wait_until_known(links: PeerLinks, incarnation: str) -> None:
    async with asyncio.timeout(_WAIT_LIMIT_S):
        while incarnation not in _incarnations(links):
            await asyncio.sleep(0.01)


def _incarnations(links: PeerLinks) -> set[str]:
    return {ref.incarnation for ref in links.known_peers()}


async def test_restarted_peer_replaces_its_earlier_process(
    tmp_path: Path,
) -> None:
    """Guards against confusing a restarted process with the previous one."""
    keys = write_peer_keys(tmp_path, 'secret')
    west_address = free_address()
    east = instance('east-0', free_address())
    async with running_links(east, keys) as links:
        for incarnation in ('first', 'second'):
            west = instance('west-0', west_address, incarnation=incarnation)
            async with running_links(west, keys) as other:
                other.add_peer(east)
                await _wait_until_known(links, incarnation)
        assert _incarnations(links) == {'second'}


def test_altered_batch_is_refused(tmp_path: Path) -> None:
    """Guards against bytes that were changed in transit."""
    keys = write_peer_keys(tmp_path, 'secret')
    sealed = keys.seal(b'batch of messages')
    for position, byte in enumerate(sealed):
        altered = bytearray(sealed)
        altered[position] = byte ^ 1
        assert keys.open(bytes(altered)) is None


async def _wait_until_all_live(all_links: list[PeerLinks]) -> None:
    """Queries the silence of each pair until all peers have answered."""
    names = [links.me.name for links in all_links]
    async with asyncio.timeout(_WAIT_LIMIT_S):
        while any(
            links.silence_ms(name) > SUSPICION_TIMEOUT_MS
            for links in all_links
            for name in names
            if name != links.me.name
        ):
            await asyncio.sleep(0.05)


async def test_peer_outside_the_heartbeat_set_answers_when_asked(
    tmp_path: Path,
) -> None:
    """Guards against a leader in another data centre that appears dead.

    Heartbeats go to few peers only. Without a heartbeat on demand, any other
    peer stays silent and a forwarded request waits until its deadline.
    """
    keys = write_peer_keys(tmp_path, 'secret')
    references = [
        instance(f'instance-{number}', free_address(), f'centre-{number % 4}')
        for number in range(10)
    ]
    async with AsyncExitStack() as stack:
        all_links = [
            await stack.enter_async_context(running_links(me, keys))
            for me in references
        ]
        for learner, other in itertools.product(all_links, references):
            learner.add_peer(other)
        await _wait_until_all_live(all_links)
        counts = [links.counters.snapshot() for links in all_links]
        assert not any('peer.reconnect.silent' in count for count in counts)


async def test_connection_that_stops_delivering_is_replaced(
    tmp_path: Path,
) -> None:
    """Guards against a silent link that repeated echoes keep in use."""
    keys = write_peer_keys(tmp_path, 'secret')
    east = instance('east-0', free_address())
    west = instance('west-0', free_address())
    west_listens = free_address()
    async with (
        running_relay(west.peer_address, west_listens) as relay,
        running_links(east, keys) as sender,
        running_links(west, keys, listen_address=west_listens) as receiver,
    ):
        replaced: list[str] = []
        sender.link_replaced = replaced.append
        sender.add_peer(west)
        await _wait_for_message(sender, 'west-0')
        await _wait_for_message(receiver, 'east-0')
        received = await _receive_one(receiver)
        assert relay.stall_open_connections()
        async with asyncio.timeout(_WAIT_LIMIT_S):
            while not received.done():
                sender.send('west-0', Cancel(8))
                await asyncio.sleep(0.05)
        assert replaced == ['west-0']


async def test_missed_leadership_is_sent_again(tmp_path: Path) -> None:
    """Guards against an instance that keeps a stale leader after a partition.

    Heartbeats include a change for two seconds only. Here these heartbeats
    are lost because the receiver does not listen yet.
    """
    keys = write_peer_keys(tmp_path, 'secret')
    east = instance('east-0', free_address())
    west = instance('west-0', free_address())
    group = GroupId('ledger', 'east', 0)
    known = LeadershipTable()
    known.learn(Leadership(group, token=4, leader=east, standby=None))
    async with running_links(east, keys, leaderships=known) as sender:
        sender.add_peer(west)
        async with asyncio.timeout(_WAIT_LIMIT_S):
            while not sender.counters.snapshot().get('peer.dropped'):
                await asyncio.sleep(0.05)
        learned = LeadershipTable()
        async with running_links(west, keys, leaderships=learned):
            async with asyncio.timeout(_WAIT_LIMIT_S):
                while learned.leadership(group) is None:
                    await asyncio.sleep(0.05)
    leadership = learned.leadership(group)
    assert leadership is not None
    assert leadership.token == 4


async def _flood(sender: PeerLinks) -> None:
    while True:
        sender.send('west-0', Cancel(1))
        await asyncio.sleep(0)


async def test_links_end_while_messages_arrive(tmp_path: Path) -> None:
    """Guards against a shutdown that hangs.

    pynng drops the cancellation when a message arrives at the same time.
    """
    keys = write_peer_keys(tmp_path, 'secret')
    for _ in range(10):
        east = instance('east-0', free_address())
        west = instance('west-0', free_address())
        async with running_links(east, keys) as sender:
            sender.add_peer(west)
            flood = asyncio.create_task(_flood(sender))
            async with running_links(west, keys) as receiver:
                await _wait_for_message(receiver, 'east-0')
            flood.cancel()
