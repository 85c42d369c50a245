"""Interfaces between ownership, requests, placement and peer links.

Ownership decides which instance may send to which server; the request side
sends. Each side uses the other only through the protocols below.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import xxhash
from expression import Result

from yuccadale_core.instances import (
    GroupId,
    InstanceRef,
    Leadership,
    ServerRef,
)
from yuccadale_core.messages import AnyMessage, PeerMessage, RecordChange
from yuccadale_core.refusals import Refusal
from yuccadale_core.targets import Target

MessageHandler = Callable[[InstanceRef, PeerMessage], None]
TargetFactory = Callable[[ServerRef], Target]


class Peers(Protocol):
    """Links to other instances."""

    def send(self, peer_name: str, message: AnyMessage) -> bool:
        """Queues a message; false when the peer is unknown or its queue full.

        A queued message may still be lost; no message is resent.
        """

    def handle(
        self, message_type: type[PeerMessage], handler: MessageHandler
    ) -> None:
        """Calls the handler for each message of the type; it must not block."""

    def silence_ms(self, peer_name: str) -> float:
        """Returns the time since the last message; infinity if none."""

    def live_peers(self) -> Sequence[InstanceRef]:
        """Returns the peers that are neither suspected nor leaving."""


@dataclass(frozen=True, slots=True)
class SendPermit:
    """The right to send one request now.

    Attributes:
        server: the slot's owner.
        token: fencing token sent with the request.
    """

    server: ServerRef
    token: int


@dataclass(frozen=True, slots=True)
class Tenure:
    """How far back the leader's idempotency records for a slot reach.

    A tenure begins when the leader becomes responsible for the slot.

    Attributes:
        complete: whether the records from before the tenure were imported.
        age_ms: time since the tenure began.
    """

    complete: bool
    age_ms: float


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """Result of a request as evidence of the server's state.

    Attributes:
        reached: whether the server answered.
        token_refused: whether it reported a higher token.
        draining: whether it reported that it is shutting down.
    """

    reached: bool
    token_refused: bool = False
    draining: bool = False


class GroupOwnership(Protocol):
    """Ownership as used by the dispatcher of a group."""

    def effective_slot(self, slot: int, key: str) -> int:
        """Returns the slot, or the slot of the key's pin if it has one.

        Pins are numbered from the service's slot count upwards.
        """

    def permit(self, slot: int) -> Result[SendPermit, Refusal]:
        """Checks the right to send; called immediately before each write."""

    def tenure(self, slot: int) -> Tenure:
        """Returns how far back the slot's idempotency records reach."""

    async def replicate(
        self, server_name: str, changes: list[RecordChange]
    ) -> Result[None, Refusal]:
        """Returns once the standby has the changes or a gap is recorded.

        Must succeed before a non-repeatable request is written to a server.
        """

    def report_observation(
        self, server_name: str, observation: ServerObservation
    ) -> None:
        """Reports the result of a request; membership uses it."""


class GroupRequests(Protocol):
    """The dispatcher of a group as used by ownership."""

    async def hold_slot(self, slot: int) -> None:
        """Queues new requests for the slot and waits for pending ones.

        Returns when each request already sent for the slot is answered,
        cancelled or past its deadline.
        """

    def release_slot(self, slot: int) -> None:
        """Sends the queued requests; the permit now names the new owner."""

    def server_added(self, server: ServerRef, *, cold: bool) -> None:
        """Adds a server; a cold one gets a slow start."""

    def server_lost(self, server_name: str) -> None:
        """Ends requests pending at a server as unknown, or resends them."""

    def export_records(self) -> list[RecordChange]:
        """Returns all live idempotency records, for a snapshot."""

    def import_records(self, changes: list[RecordChange]) -> None:
        """Imports records; a ``started`` one becomes ``unknown``."""

    async def drain(self) -> None:
        """Refuses new requests and waits for pending ones."""


class GroupRequestsFactory(Protocol):
    """Makes the dispatcher of a group when this instance becomes leader."""

    def __call__(
        self, group: GroupId, ownership: GroupOwnership
    ) -> GroupRequests:
        """Returns a dispatcher that accepts requests at once."""


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Timing of one request, measured by its sender.

    Attributes:
        service_ms: time from the write until the answer.
        waited_ms: time in the queue before the write.
        refused: whether the server shed the request.
    """

    slot: int
    key: str
    server_name: str
    service_ms: float
    waited_ms: float
    refused: bool


class LoadObserver(Protocol):
    """Receives one sample for each request."""

    def observe(self, sample: LoadSample) -> None:
        """Adds a sample."""


class ServerState(StrEnum):
    """State of a server for placement."""

    joining = 'joining'
    live = 'live'
    draining = 'draining'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that slots may be assigned to.

    Attributes:
        capacity: weight relative to the other servers of the group.
    """

    name: str
    rack: str
    state: ServerState
    capacity: float = 1


@dataclass(frozen=True, slots=True)
class Assignment:
    """Names of the owner and the committed successor of each slot."""

    owner_by_slot: Mapping[int, str]
    successor_by_slot: Mapping[int, str]


@dataclass(frozen=True, slots=True)
class MoveProposal:
    """A move of a slot that placement proposes to ownership."""

    slot: int
    new_owner: str
    reason: str
    gain: float


class Placement(Protocol):
    """Placement decisions of one group; keeps a history of moves."""

    def assign(
        self, slots: Sequence[int], candidates: Sequence[Candidate]
    ) -> Assignment:
        """Assigns all slots of a new group."""

    def successors(
        self,
        owner_by_slot: Mapping[int, str],
        successor_by_slot: Mapping[int, str],
        candidates: Sequence[Candidate],
    ) -> Mapping[int, str]:
        """Returns a valid successor for each slot, with few changes."""

    def propose(
        self, assignment: Assignment, candidates: Sequence[Candidate]
    ) -> Sequence[MoveProposal]:
        """Returns the moves whose gain exceeds their cost, best first.

        Slots on draining servers are always proposed.
        """

    def record_move(self, slot: int, old_owner: str, new_owner: str) -> None:
        """Records a completed move, planned or forced."""

    def keys_to_pin(self) -> Sequence[str]:
        """Returns the keys that are to be pinned now."""


class LeadershipTable:
    """Stores the leader of each group; the highest token is valid."""

    def __init__(self) -> None:
        self._leadership_by_group: dict[GroupId, Leadership] = {}
        self._reference_by_name: dict[str, InstanceRef] = {}
        self._listeners: list[Callable[[Leadership], None]] = []
        self._digest = 0

    @property
    def digest(self) -> int:
        """Equal for two instances with the same leaderships.

        Combines the digests of the entries by exclusive or, so that the cost
        of a change does not depend on the number of groups.
        """
        return self._digest

    def learn(self, leadership: Leadership) -> bool:
        """Stores a leadership with a higher token; returns whether it did."""
        known = self._leadership_by_group.get(leadership.group)
        if known is not None and known.token >= leadership.token:
            return False
        if known is not None:
            self._digest ^= _leadership_digest(known)
        self._digest ^= _leadership_digest(leadership)
        self._leadership_by_group[leadership.group] = leadership
        for instance in (leadership.leader, leadership.standby):
            if instance is not None:
                self._reference_by_name[instance.name] = instance
        for listener in self._listeners:
            listener(leadership)
        return True

    def leadership(self, group: GroupId) -> Leadership | None:
        """Returns the newest leadership known for the group."""
        return self._leadership_by_group.get(group)

    def reference(self, instance_name: str) -> InstanceRef | None:
        """Returns the reference to an instance named in a leadership."""
        return self._reference_by_name.get(instance_name)

    def by_group(self) -> Mapping[GroupId, Leadership]:
        """Returns all known leaderships."""
        return self._leadership_by_group

    def listen(self, listener: Callable[[Leadership], None]) -> None:
        """Registers a listener that is called at each change."""
        self._listeners.append(listener)


def _leadership_digest(leadership: Leadership) -> int:
    return xxhash.xxh3_64_intdigest(
        f'{leadership.group}#{leadership.token}'.encode()
    )
