"""The link to one peer: one task that connects, sends and notices silence."""

from collections.abc import Callable

import msgspec
import pynng

from yuccadale_core.counters import Counters
from yuccadale_core.instances import InstanceRef
from yuccadale_core.messages import (
    AnyMessage,
    Batch,
    Heartbeat,
    PeerMessage,
    encode_batch,
)
from yuccadale_core.peer_keys import PeerKeys
from yuccadale_core.timing import LINK_TIMEOUT_MS, seconds

from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.network.peer_outbox import PeerOutbox
from yuccadale_router._internal.network.peer_transport import (
    open_dialer,
    send,
)

_NEVER_MS = -float('inf')
# A numbered batch that arrives this much after newer ones is a late duplicate.
_NUMBER_WINDOW = 1024


class PeerLink:
    """State of the link to one peer.

    Attributes:
        ref: newest reference to the peer.
        opened_ms: when the link was opened.
        heard_ms: when a valid batch of the peer last came.
        echoed_ms: when the peer last acknowledged a new heartbeat.
        leaving: whether the peer said that it is shutting down.
        asked_ms: when a heartbeat was last sent that wants an answer.
        used_ms: when work was last sent to or received from the peer.
    """

    def __init__(
        self,
        me: InstanceRef,
        ref: InstanceRef,
        *,
        keys: PeerKeys,
        counters: Counters,
        clock: Clock,
        message_limit: int,
        replaced: Callable[[str], None],
    ) -> None:
        self.ref = ref
        self.opened_ms = clock()
        self.heard_ms = _NEVER_MS
        self.echoed_ms = _NEVER_MS
        self.used_ms = _NEVER_MS
        self.asked_ms = _NEVER_MS
        self._differs_since_ms: float | None = None
        self.leaving = False
        self._me = me
        self._keys = keys
        self._counters = counters
        self._clock = clock
        self._outbox = PeerOutbox(message_limit)
        self._replaced = replaced
        self._batch_number = 0
        self._seen_numbers: set[int] = set()
        self._retired_incarnations: set[str] = set()
        self._newest_number = 0
        self._heartbeat_number = 0
        self._heartbeat_received = 0
        # Whether the peer has answered a heartbeat of this process.
        self._introduced = False
        self._echoed_number = 0
        self._oldest_unechoed_ms: float | None = None

    @property
    def receiver_name(self) -> str:
        """Name in batches; empty for a seed whose name is not known yet."""
        return '' if ':' in self.ref.name else self.ref.name

    def send(self, message: AnyMessage) -> bool:
        """Queues a message; false when the queue is full."""
        if self._outbox.put(message):
            return True
        self._counters.count('peer.queue_full')
        return False

    def next_heartbeat(self, template: Heartbeat) -> Heartbeat:
        """Numbers a heartbeat for this peer."""
        self._heartbeat_number += 1
        if template.wants_answer and self._oldest_unechoed_ms is None:
            self._oldest_unechoed_ms = self._clock()
        return msgspec.structs.replace(
            template,
            number=self._heartbeat_number,
            sender=None if self._introduced else template.sender,
            echo=self._heartbeat_received,
        )

    def accept_number(self, number: int) -> bool:
        """Says whether a batch is new; late duplicates are not."""
        oldest_allowed = self._newest_number - _NUMBER_WINDOW
        if number in self._seen_numbers or number <= oldest_allowed:
            return False
        self._seen_numbers.add(number)
        self._newest_number = max(self._newest_number, number)
        if len(self._seen_numbers) > 2 * _NUMBER_WINDOW:
            self._seen_numbers = {
                seen
                for seen in self._seen_numbers
                if seen > self._newest_number - _NUMBER_WINDOW
            }
        return True

    def is_retired(self, incarnation: str) -> bool:
        """Whether a later process has replaced the one with this id."""
        return incarnation in self._retired_incarnations

    def restart(self, ref: InstanceRef) -> None:
        """Takes the reference of a new process behind the same name.

        Only a process that was heard is retired: a reference from a row may
        be newer than the late message that led here.
        """
        if self.heard_ms > 0:
            self._retired_incarnations.add(self.ref.incarnation)
        self.ref = ref
        self._seen_numbers.clear()
        self._newest_number = 0
        self._heartbeat_received = 0
        self.leaving = False
        self._introduced = False

    def heard(self, message: PeerMessage) -> None:
        """Notes a message of the peer."""
        now = self._clock()
        self.heard_ms = now
        if not isinstance(message, Heartbeat):
            self.used_ms = now
            return
        self.leaving = message.leaving
        self._heartbeat_received = max(self._heartbeat_received, message.number)
        # A peer that hears nothing any more repeats the last number it got.
        if self._echoed_number < message.echo <= self._heartbeat_number:
            self._echoed_number = message.echo
            self._introduced = True
            self.echoed_ms = now
            self._oldest_unechoed_ms = (
                None if message.echo == self._heartbeat_number else now
            )

    def needs_repair(self, *, same: bool, after_ms: float) -> bool:
        """Says whether the peer has known other leaders for too long."""
        now = self._clock()
        if same or self._differs_since_ms is None:
            self._differs_since_ms = None if same else now
            return False
        if now - self._differs_since_ms < after_ms:
            return False
        self._differs_since_ms = now
        return True

    def is_silent(self) -> bool:
        """Whether heartbeats have stayed unacknowledged for too long."""
        oldest = self._oldest_unechoed_ms
        return oldest is not None and self._clock() - oldest > LINK_TIMEOUT_MS

    async def run(self) -> None:
        """Connects, sends batches, and connects anew after silence."""
        while True:
            reason = await self._send_until_silent()
            self._counters.count(f'peer.reconnect.{reason}')
            self._oldest_unechoed_ms = None
            self._introduced = False
            dropped = self._outbox.clear()
            if dropped:
                self._counters.count('peer.dropped', dropped)
            self._replaced(self.ref.name)

    async def _send_until_silent(self) -> str:
        address = self.ref.peer_address
        with open_dialer(address) as dialer:
            while address == self.ref.peer_address:
                messages = await self._outbox.take_batch()
                if self.is_silent():
                    return 'silent'
                sealed = self._sealed(messages)
                try:
                    await send(dialer, sealed, seconds(LINK_TIMEOUT_MS))
                except TimeoutError:
                    return 'blocked'
                except pynng.NNGException:
                    return 'failed'
                self._counters.count('peer.sent_bytes', len(sealed))
            return 'moved'

    def _sealed(self, messages: list[AnyMessage]) -> bytes:
        self._batch_number += 1
        self._counters.count('peer.sent_batches')
        self._counters.count('peer.sent_messages', len(messages))
        return self._keys.seal(
            encode_batch(
                Batch(
                    sender=self._me.name,
                    incarnation=self._me.incarnation,
                    receiver=self.receiver_name,
                    number=self._batch_number,
                    messages=messages,
                )
            )
        )
