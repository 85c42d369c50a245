"""All peer links of this instance: receiving, heartbeats, liveness."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec
import pynng
import structlog
import xxhash

from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef, Leadership
from yuccadale_core.messages import (
    AnyMessage,
    Batch,
    Heartbeat,
    PeerMessage,
    PeerList,
    decode_batch,
)
from yuccadale_core.peer_keys import PeerKeys
from yuccadale_core.timing import (
    HEARTBEAT_INTERVAL_MS,
    SUSPICION_TIMEOUT_MS,
    seconds,
)

from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.contracts import (
    LeadershipTable,
    MessageHandler,
)
from yuccadale_router._internal.network.peer_link import PeerLink
from yuccadale_router._internal.network.peer_transport import (
    open_listener,
    receive,
)

_log = structlog.get_logger()
# Heartbeats go to this many peers of the same data centre, this many others,
# both chosen by hash, and recently used peers; not to all.
_LOCAL_PEERS = 8
_OTHER_PEERS = 3
_RECENT_USE_MS = 5000
# Heartbeats include a change of leadership for this long.
_CHANGE_BROADCAST_MS = 2000
# Digests differ while a change is broadcast. Only a longer difference starts
# a resync, because it sends all leaderships.
_RESYNC_AFTER_MS = 2 * _CHANGE_BROADCAST_MS
# A new peer is sent this many others, and learns of the rest from them.
_PEER_LIST_LIMIT = 32
# A peer that is silent for this long is removed; the instance list of the
# platform can add it again.
_PEER_EXPIRY_MS = 60_000


class PeerLinks:
    """Implements ``Peers`` with one ``PeerLink`` and one task per peer."""

    def __init__(
        self,
        me: InstanceRef,
        *,
        keys: PeerKeys,
        leaderships: LeadershipTable,
        counters: Counters,
        clock: Clock,
        message_limit: int,
        listen_address: str = '',
    ) -> None:
        self.me = me
        self._listen_address = listen_address or me.peer_address
        self._keys = keys
        self._leaderships = leaderships
        self.counters = counters
        self._clock = clock
        self.message_limit = message_limit
        self._link_by_name: dict[str, PeerLink] = {}
        self._task_by_name: dict[str, asyncio.Task[None]] = {}
        self._handlers_by_type: dict[
            type[PeerMessage], list[MessageHandler]
        ] = {}
        self._recent_changes: list[tuple[float, Leadership]] = []
        self.leaving = False
        self.revision_by_scope: Callable[[], dict[str, int]] = dict
        # Called with the name of a peer when messages to it may be lost.
        self.link_replaced: Callable[[str], None] | None = None
        self.configuration_age_ms: Callable[[], float] = lambda: -1
        leaderships.listen(self._broadcast_change)

    def send(self, peer_name: str, message: AnyMessage) -> bool:
        """Queues a message for a peer; see ``Peers``."""
        link = self._link(peer_name)
        if link is None:
            return False
        link.last_used_ms = self._clock()
        return link.send(message)

    def handle(
        self, message_type: type[PeerMessage], handler: MessageHandler
    ) -> None:
        """Calls the handler for each message of the type."""
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    def silence_ms(self, peer_name: str) -> float:
        """Returns the time since the last message; infinity if none.

        Also sends a heartbeat to a silent peer, since most peers are not
        sent heartbeats regularly.
        """
        link = self._link(peer_name)
        if link is None:
            return float('inf')
        now = self._clock()
        silence = now - link.last_received_ms
        if silence > HEARTBEAT_INTERVAL_MS:
            link.last_used_ms = now
            if now - link.heartbeat_sent_ms > HEARTBEAT_INTERVAL_MS:
                self._send_heartbeats([link])
        return silence

    def live_peers(self) -> Sequence[InstanceRef]:
        """Returns the peers that are neither suspected nor leaving."""
        return [
            link.ref
            for link in self._link_by_name.values()
            if not link.leaving
            and self._clock() - link.last_received_ms < SUSPICION_TIMEOUT_MS
        ]

    def known_peers(self) -> Sequence[InstanceRef]:
        """Returns all peers that have a link."""
        return [link.ref for link in self._link_by_name.values()]

    def add_peer(self, ref: InstanceRef) -> None:
        """Opens a link to an instance that has none.

        A known incarnation is replaced only by a message of the new process
        itself, since the instance list and other peers may be outdated.
        """
        if ref.name == self.me.name or ref.name in self._link_by_name:
            return
        if ref.peer_address == self.me.peer_address:
            return
        link = PeerLink(
            self.me,
            ref,
            keys=self._keys,
            counters=self.counters,
            clock=self._clock,
            message_limit=self.message_limit,
            on_replaced=self._notify_link_replaced,
        )
        self._link_by_name[ref.name] = link
        self._task_by_name[ref.name] = asyncio.create_task(
            link.run(), name=f'link to {ref.name}'
        )
        link.send(
            link.next_heartbeat(self._heartbeat(full=True, wants_answer=True))
        )

    def announce_leaving(self) -> None:
        """Announces in all later heartbeats that this instance is leaving."""
        self.leaving = True
        self._send_heartbeats(list(self._link_by_name.values()))

    async def run(self) -> None:
        """Listens and sends heartbeats until cancelled."""
        heartbeats = asyncio.create_task(
            self._heartbeat_loop(), name='heartbeats'
        )
        try:
            with open_listener(self._listen_address) as listener:
                await self._receive_loop(listener)
        finally:
            heartbeats.cancel()
            for task in self._task_by_name.values():
                task.cancel()

    def _link(self, peer_name: str) -> PeerLink | None:
        """Returns the link to a peer; opens one to a group's instance.

        Links are opened on demand, since most instances exchange nothing.
        """
        link = self._link_by_name.get(peer_name)
        if link is None:
            reference = self._leaderships.reference(peer_name)
            if reference is not None:
                self.add_peer(reference)
                link = self._link_by_name.get(peer_name)
        return link

    async def _receive_loop(self, listener: pynng.Pull0) -> None:
        while True:
            sealed = await receive(listener)
            encoded = self._keys.open(sealed)
            if encoded is None:
                self.counters.count('peer.rejected.mac')
                continue
            try:
                batch = decode_batch(encoded)
            except (msgspec.DecodeError, msgspec.ValidationError):
                self.counters.count('peer.rejected.malformed')
                continue
            self.counters.count('peer.received_bytes', len(sealed))
            self._receive_batch(batch)

    def _receive_batch(self, batch: Batch) -> None:
        if batch.sender == self.me.name:
            self.counters.count('peer.rejected.same_name')
            return
        if batch.receiver not in {self.me.name, ''}:
            self.counters.count('peer.rejected.receiver')
            return
        link = self._link_of_sender(batch)
        if link is None:
            self.counters.count('peer.rejected.incarnation')
            return
        if not link.accept_number(batch.number):
            self.counters.count('peer.rejected.duplicate')
            return
        for message in batch.messages:
            link.record_message(message)
            self._deliver(link, message)

    def _link_of_sender(self, batch: Batch) -> PeerLink | None:
        """Returns the sender's link; only a heartbeat may add a new process."""
        link = self._link_by_name.get(batch.sender)
        if link is not None and link.ref.incarnation == batch.incarnation:
            return link
        if link is not None and link.is_retired(batch.incarnation):
            return None
        sender_ref = next(
            (
                message.sender
                for message in batch.messages
                if isinstance(message, Heartbeat) and message.sender
            ),
            None,
        )
        if sender_ref is None or sender_ref.name != batch.sender:
            return None
        if link is None:
            self.add_peer(sender_ref)
            link = self._link_by_name[sender_ref.name]
        else:
            link.replace_incarnation(sender_ref)
            link.send(link.next_heartbeat(self._heartbeat(full=True)))
        link.send(PeerList(self._peer_list()))
        return link

    def _notify_link_replaced(self, peer_name: str) -> None:
        if self.link_replaced is not None:
            self.link_replaced(peer_name)

    def _peer_list(self) -> list[InstanceRef]:
        return [
            link.ref
            for link in self._link_by_name.values()
            if link.last_received_ms > 0 and not link.leaving
        ][:_PEER_LIST_LIMIT]

    def _deliver(self, link: PeerLink, message: PeerMessage) -> None:
        if isinstance(message, Heartbeat):
            self._handle_heartbeat(link, message)
        elif isinstance(message, PeerList):
            for ref in message.instances:
                self.add_peer(ref)
        for handler in self._handlers_by_type.get(type(message), ()):
            try:
                handler(link.ref, message)
            except Exception:
                # An exception must not end the receive task, or the whole
                # instance would appear dead to its peers.
                self.counters.count('peer.handler_failed')
                _log.exception(
                    'message handler failed; continuing with other messages',
                    message=type(message).__name__,
                )

    def _handle_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        for leadership in heartbeat.leaderships:
            self._leaderships.learn(leadership)
        same = heartbeat.leadership_digest == self._leaderships.digest
        resync = link.needs_resync(same=same, after_ms=_RESYNC_AFTER_MS)
        if resync or (
            heartbeat.wants_answer and link not in self._heartbeat_set()
        ):
            link.send(link.next_heartbeat(self._heartbeat(full=resync)))

    def _broadcast_change(self, leadership: Leadership) -> None:
        now = self._clock()
        self._recent_changes = [
            (noted_ms, known)
            for noted_ms, known in self._recent_changes
            if now - noted_ms < _CHANGE_BROADCAST_MS
            and known.group != leadership.group
        ]
        self._recent_changes.append((now, leadership))
        if leadership.leader.name == self.me.name:
            self._send_heartbeats(self._heartbeat_set())

    async def _heartbeat_loop(self) -> None:
        while True:
            self._remove_silent_peers()
            self._send_heartbeats(self._heartbeat_set())
            await asyncio.sleep(seconds(HEARTBEAT_INTERVAL_MS))

    def _send_heartbeats(self, links: list[PeerLink]) -> None:
        template = self._heartbeat(full=False, wants_answer=True)
        for link in links:
            link.heartbeat_sent_ms = self._clock()
            link.send(link.next_heartbeat(template))

    def _heartbeat(
        self, *, full: bool, wants_answer: bool = False
    ) -> Heartbeat:
        now = self._clock()
        if full:
            leaderships = list(self._leaderships.by_group().values())
        else:
            leaderships = [
                leadership
                for noted_ms, leadership in self._recent_changes
                if now - noted_ms < _CHANGE_BROADCAST_MS
            ]
        return Heartbeat(
            number=0,
            echo=0,
            sender=self.me,
            revision_by_scope=self.revision_by_scope(),
            leaderships=leaderships,
            leaving=self.leaving,
            wants_answer=wants_answer,
            leadership_digest=self._leaderships.digest,
            configuration_age_ms=self.configuration_age_ms(),
        )

    def _heartbeat_set(self) -> list[PeerLink]:
        now = self._clock()
        ranked = sorted(
            self._link_by_name.values(),
            key=lambda link: pair_rank(self.me.name, link.ref.name),
        )
        local = [
            link
            for link in ranked
            if link.ref.data_centre == self.me.data_centre
        ][:_LOCAL_PEERS]
        others = [link for link in ranked if link not in local][:_OTHER_PEERS]
        in_use = [
            link
            for link in ranked
            if link not in local
            and link not in others
            and now - link.last_used_ms < _RECENT_USE_MS
            # Other messages prove liveness as well as heartbeats do.
            and now - link.last_received_ms > HEARTBEAT_INTERVAL_MS
        ]
        return local + others + in_use

    def _remove_silent_peers(self) -> None:
        now = self._clock()
        for name, link in list(self._link_by_name.items()):
            if (
                now - max(link.last_received_ms, link.opened_ms)
                > _PEER_EXPIRY_MS
            ):
                self._link_by_name.pop(name)
                self._task_by_name.pop(name).cancel()
                _log.info('removed silent peer', peer=name)


def pair_rank(name: str, peer_name: str) -> int:
    """Returns a sort key that orders peers differently per instance."""
    return xxhash.xxh3_64_intdigest(f'{name}/{peer_name}'.encode())
