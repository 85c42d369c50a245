"""Links deliver to the right peer, and refuse strangers and old processes."""

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

_PATIENCE_S = 20


async def _receive_one(links: PeerLinks) -> asyncio.Future[int]:
    received: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def note(_: InstanceRef, message: PeerMessage) -> None:
        if isinstance(message, Cancel) and not received.done():
            received.set_result(message.forward_id)

    links.handle(Cancel, note)
    return received


async def _until_heard(links: PeerLinks, name: str) -> None:
    async with asyncio.timeout(_PATIENCE_S):
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
            sender.learn(west)
            assert sender.send('west-0', Cancel(7))
            assert await asyncio.wait_for(received, _PATIENCE_S) == 7
            await _until_heard(sender, 'west-0')
            assert [ref.name for ref in sender.live_peers()] == ['west-0']


async def test_stranger_without_the_key_is_refused(tmp_path: Path) -> None:
    """Guards against a process without a peer key that acts as a peer."""
    east = instance('east-0', free_address())
    west = instance('west-0', free_address())
    stranger_keys = write_peer_keys(tmp_path, 'guessed')
    async with running_links(east, stranger_keys) as stranger:
        keys = write_peer_keys(tmp_path, 'secret')
        async with running_links(west, keys) as receiver:
            received = await _receive_one(receiver)
            stranger.learn(west)
            stranger.send('west-0', Cancel(7))
            async with asyncio.timeout(_PATIENCE_S):
                while not receiver.counters.snapshot().get('peer.rejected.mac'):
                    await asyncio.sleep(0.01)
            assert not received.done()
            assert not receiver.known_peers()


async def test_key_is_replaced_without_a_stop(tmp_path: Path) -> None:
    """Guards against a peer that is locked out while keys are replaced."""
    old = write_peer_keys(tmp_path, 'old')
    both = write_peer_keys(tmp_path, 'new', 'old')
    sealed_by_old = old.seal(b'batch')
    sealed_by_new = both.seal(b'batch')
    assert both.open(sealed_by_old) == b'batch'
    assert both.open(sealed_by_new) == b'batch'
    assert old.open(sealed_by_new) is None


async def _until_known(links: PeerLinks, incarnation: str) -> None:
    async with asyncio.timeout(_PATIENCE_S):
        while incarnation not in _incarnations(links):
            await asyncio.sleep(0.01)


def _incarnations(links: PeerLinks) -> set[str]:
    return {ref.incarnation for ref in links.known_peers()}


async def test_restarted_peer_replaces_its_earlier_process(
    tmp_path: Path,
) -> None:
    """Guards against taking a restarted process for the one before it."""
    keys = write_peer_keys(tmp_path, 'secret')
    west_address = free_address()
    east = instance('east-0', free_address())
    async with running_links(east, keys) as links:
        for incarnation in ('first', 'second'):
            west = instance('west-0', west_address, incarnation=incarnation)
            async with running_links(west, keys) as other:
                other.learn(east)
                await _until_known(links, incarnation)
        assert _incarnations(links) == {'second'}


def test_altered_batch_is_refused(tmp_path: Path) -> None:
    """Guards against bytes that were changed on the way."""
    keys = write_peer_keys(tmp_path, 'secret')
    sealed = keys.seal(b'batch of messages')
    for position, byte in enumerate(sealed):
        altered = bytearray(sealed)
        altered[position] = byte ^ 1
        assert keys.open(bytes(altered)) is None


async def _until_all_heard(all_links: list[PeerLinks]) -> None:
    """Asks every instance for every other one until all have answered."""
    names = [links.me.name for links in all_links]
    async with asyncio.timeout(_PATIENCE_S):
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
    """Guards against a leader in another data centre that looks dead.

    Heartbeats go to few peers. A forward to any other one waited until its
    deadline, because nothing made that peer answer.
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
            learner.learn(other)
        await _until_all_heard(all_links)
        counts = [links.counters.snapshot() for links in all_links]
        assert not any('peer.reconnect.silent' in count for count in counts)


async def test_connection_that_stops_delivering_is_replaced(
    tmp_path: Path,
) -> None:
    """Guards against a peer's outdated echoes that hide a silent link."""
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
        sender.learn(west)
        await _until_heard(sender, 'west-0')
        await _until_heard(receiver, 'east-0')
        received = await _receive_one(receiver)
        assert relay.silence_open()
        async with asyncio.timeout(_PATIENCE_S):
            while not received.done():
                sender.send('west-0', Cancel(8))
                await asyncio.sleep(0.05)
        assert replaced == ['west-0']


async def test_missed_leadership_is_repaired(tmp_path: Path) -> None:
    """Guards against an instance that keeps a stale leader after a partition.

    News of a change is sent for two seconds only. Here the first heartbeats
    are lost because the receiver does not listen yet.
    """
    keys = write_peer_keys(tmp_path, 'secret')
    east = instance('east-0', free_address())
    west = instance('west-0', free_address())
    group = GroupId('ledger', 'east', 0)
    known = LeadershipTable()
    known.learn(Leadership(group, token=4, leader=east, standby=None))
    async with running_links(east, keys, leaderships=known) as sender:
        sender.learn(west)
        async with asyncio.timeout(_PATIENCE_S):
            while not sender.counters.snapshot().get('peer.dropped'):
                await asyncio.sleep(0.05)
        learned = LeadershipTable()
        async with running_links(west, keys, leaderships=learned):
            async with asyncio.timeout(_PATIENCE_S):
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

    pynng returns a message that came together with the cancellation and
    drops the cancellation.
    """
    keys = write_peer_keys(tmp_path, 'secret')
    for _ in range(10):
        east = instance('east-0', free_address())
        west = instance('west-0', free_address())
        async with running_links(east, keys) as sender:
            sender.learn(west)
            flood = asyncio.create_task(_flood(sender))
            async with running_links(west, keys) as receiver:
                await _until_heard(receiver, 'east-0')
            flood.cancel()
