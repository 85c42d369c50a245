"""The link to one peer: connects, sends batches and detects silence."""

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
# A batch whose number is this far below the newest counts as a duplicate.
_NUMBER_WINDOW = 1024


class PeerLink:
    """State of the link to one peer.

    Attributes:
        ref: newest reference to the peer.
        opened_ms: when this object was created.
        last_received_ms: when a valid batch of the peer last arrived.
        last_acknowledged_ms: when the peer last acknowledged a new heartbeat.
        leaving: whether the peer announced its shutdown.
        heartbeat_sent_ms: when a periodic or on-demand heartbeat was last
            sent.
        last_used_ms: when a message other than a heartbeat was last sent or
            received, or the silence of the peer was queried.
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
        on_replaced: Callable[[str], None],
    ) -> None:
        self.ref = ref
        self.opened_ms = clock()
        self.last_received_ms = _NEVER_MS
        self.last_acknowledged_ms = _NEVER_MS
        self.last_used_ms = _NEVER_MS
        self.heartbeat_sent_ms = _NEVER_MS
        self._differs_since_ms: float | None = None
        self.leaving = False
        self._me = me
        self._keys = keys
        self._counters = counters
        self._clock = clock
        self._outbox = PeerOutbox(message_limit)
        self._on_replaced = on_replaced
        self._batch_number = 0
        self._seen_numbers: set[int] = set()
        self._retired_incarnations: set[str] = set()
        self._newest_number = 0
        self._heartbeat_number = 0
        self._heartbeat_received = 0
        # Whether the peer has acknowledged a heartbeat on this connection.
        self._acknowledged = False
        self._acknowledged_number = 0
        self._oldest_unacknowledged_ms: float | None = None

    @property
    def receiver_name(self) -> str:
        """Receiver name in batches; empty for a seed with an unknown name."""
        return '' if ':' in self.ref.name else self.ref.name

    def send(self, message: AnyMessage) -> bool:
        """Queues a message; false when the queue is full."""
        if self._outbox.put(message):
            return True
        self._counters.count('peer.queue_full')
        return False

    def next_heartbeat(self, template: Heartbeat) -> Heartbeat:
        """Returns a numbered heartbeat for this peer."""
        self._heartbeat_number += 1
        if template.wants_answer and self._oldest_unacknowledged_ms is None:
            self._oldest_unacknowledged_ms = self._clock()
        return msgspec.structs.replace(
            template,
            number=self._heartbeat_number,
            sender=None if self._acknowledged else template.sender,
            echo=self._heartbeat_received,
        )

    def accept_number(self, number: int) -> bool:
        """Returns whether a batch is new, that is, no duplicate."""
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
        """Returns whether a later process has replaced this incarnation."""
        return incarnation in self._retired_incarnations

    def replace_incarnation(self, ref: InstanceRef) -> None:
        """Replaces the reference when a new process has the same name.

        The old incarnation is retired only if it has sent a batch. Otherwise
        its reference came from a row, which may be newer than the late
        message that is handled now.
        """
        if self.last_received_ms > 0:
            self._retired_incarnations.add(self.ref.incarnation)
        self.ref = ref
        self._seen_numbers.clear()
        self._newest_number = 0
        self._heartbeat_received = 0
        self.leaving = False
        self._acknowledged = False

    def record_message(self, message: PeerMessage) -> None:
        """Updates the state of the link for a received message."""
        now = self._clock()
        self.last_received_ms = now
        if not isinstance(message, Heartbeat):
            self.last_used_ms = now
            return
        self.leaving = message.leaving
        self._heartbeat_received = max(self._heartbeat_received, message.number)
        # A peer that no longer receives heartbeats repeats an old echo.
        if self._acknowledged_number < message.echo <= self._heartbeat_number:
            self._acknowledged_number = message.echo
            self._acknowledged = True
            self.last_acknowledged_ms = now
            self._oldest_unacknowledged_ms = (
                None if message.echo == self._heartbeat_number else now
            )

    def needs_resync(self, *, same: bool, after_ms: float) -> bool:
        """Returns whether the leaderships have differed for too long."""
        now = self._clock()
        if same or self._differs_since_ms is None:
            self._differs_since_ms = None if same else now
            return False
        if now - self._differs_since_ms < after_ms:
            return False
        self._differs_since_ms = now
        return True

    def is_silent(self) -> bool:
        """Returns whether a heartbeat was not acknowledged in time."""
        oldest = self._oldest_unacknowledged_ms
        return oldest is not None and self._clock() - oldest > LINK_TIMEOUT_MS

    async def run(self) -> None:
        """Sends batches until cancelled; reconnects after silence or errors."""
        while True:
            reason = await self._send_until_silent()
            self._counters.count(f'peer.reconnect.{reason}')
            self._oldest_unacknowledged_ms = None
            self._acknowledged = False
            dropped = self._outbox.clear()
            if dropped:
                self._counters.count('peer.dropped', dropped)
            self._on_replaced(self.ref.name)

    async def _send_until_silent(self) -> str:
        address = self.ref.peer_address
        with open_dialer(address) as dialer:
            while address == self.ref.peer_address:
                messages = await self._outbox.next_batch()
                if self.is_silent():
                    return 'silent'
                sealed = self._seal_batch(messages)
                try:
                    await send(dialer, sealed, seconds(LINK_TIMEOUT_MS))
                except TimeoutError:
                    return 'blocked'
                except pynng.NNGException:
                    return 'failed'
                self._counters.count('peer.sent_bytes', len(sealed))
            return 'moved'

    def _seal_batch(self, messages: list[AnyMessage]) -> bytes:
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
