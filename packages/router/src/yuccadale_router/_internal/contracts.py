"""Interfaces between the router's parts.

Ownership decides who may send where; requests carry work there. Each side
sees the other only through the protocols below.
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

        A message that was queued may still be lost; nothing is sent twice.
        """

    def handle(
        self, message_type: type[PeerMessage], handler: MessageHandler
    ) -> None:
        """Calls the handler for each message of the type; it must not block."""

    def silence_ms(self, peer_name: str) -> float:
        """Time since the peer was last heard, infinity when never."""

    def live_peers(self) -> Sequence[InstanceRef]:
        """Peers heard within the suspicion time that are not leaving."""


@dataclass(frozen=True, slots=True)
class SendPermit:
    """The right to send one request now.

    Attributes:
        server: the slot's owner.
        token: fencing token that goes with the request.
    """

    server: ServerRef
    token: int


@dataclass(frozen=True, slots=True)
class Tenure:
    """What the leader's idempotency records cover for a slot.

    Attributes:
        complete: whether the records before the tenure were inherited.
        age_ms: time since the tenure began.
    """

    complete: bool
    age_ms: float


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """What a request met at a server.

    Attributes:
        reached: whether the server answered at all.
        token_refused: whether it named a higher token.
        draining: whether it said that it is leaving.
    """

    reached: bool
    token_refused: bool = False
    draining: bool = False


class GroupOwnership(Protocol):
    """What a group's dispatcher asks of ownership."""

    def effective_slot(self, slot: int, key: str) -> int:
        """Returns the slot, or the slot of the key's own pin.

        Pins are numbered from the service's slot count upwards.
        """

    def permit(self, slot: int) -> Result[SendPermit, Refusal]:
        """Checks the right to send; called directly before each write."""

    def tenure(self, slot: int) -> Tenure:
        """Returns what the idempotency records cover for the slot."""

    async def replicate(
        self, server_name: str, changes: list[RecordChange]
    ) -> Result[None, Refusal]:
        """Returns once the standby has the changes, or a gap is marked.

        Must succeed before a non-repeatable request is written to a server.
        """

    def report_observation(
        self, server_name: str, observation: ServerObservation
    ) -> None:
        """Reports what a request met; one of the sources of membership."""


class GroupRequests(Protocol):
    """What ownership asks of a group's dispatcher."""

    async def hold_slot(self, slot: int) -> None:
        """Queues new work for the slot and waits for the work under way.

        Returns when each request sent for it is answered, cancelled or past
        its deadline.
        """

    def release_slot(self, slot: int) -> None:
        """Sends what waited; the permit now names the new owner."""

    def server_added(self, server: ServerRef, *, cold: bool) -> None:
        """Makes a server known; a cold one gets a slow start."""

    def server_lost(self, server_name: str) -> None:
        """Ends what is under way at a server: unknown, or sent again."""

    def export_records(self) -> list[RecordChange]:
        """Returns all live idempotency records, for a full copy."""

    def import_records(self, changes: list[RecordChange]) -> None:
        """Takes over records; a ``started`` one becomes ``unknown``."""

    async def drain(self) -> None:
        """Refuses new work and waits for the work under way."""


class GroupRequestsFactory(Protocol):
    """Makes the dispatcher of a group when this instance becomes leader."""

    def __call__(
        self, group: GroupId, ownership: GroupOwnership
    ) -> GroupRequests:
        """Returns a dispatcher that accepts work at once."""


@dataclass(frozen=True, slots=True)
class LoadSample:
    """One request as its sender saw it.

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
    """Takes what senders observe; called once for each request."""

    def observe(self, sample: LoadSample) -> None:
        """Adds a sample."""


class ServerState(StrEnum):
    """State of a server as placement sees it."""

    joining = 'joining'
    live = 'live'
    draining = 'draining'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that slots may be placed on.

    Attributes:
        capacity: weight relative to the other servers of the group.
    """

    name: str
    rack: str
    state: ServerState
    capacity: float = 1


@dataclass(frozen=True, slots=True)
class Assignment:
    """Owner and committed successor by slot; names of servers."""

    owner_by_slot: Mapping[int, str]
    successor_by_slot: Mapping[int, str]


@dataclass(frozen=True, slots=True)
class MoveProposal:
    """A planned move that placement asks ownership to make."""

    slot: int
    new_owner: str
    reason: str
    gain: float


class Placement(Protocol):
    """Decides for one group; keeps its own history of moves."""

    def assign(
        self, slots: Sequence[int], candidates: Sequence[Candidate]
    ) -> Assignment:
        """Places all slots of a new group."""

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
        """Returns the moves worth their price now, best first.

        Slots on draining servers are always proposed.
        """

    def record_move(self, slot: int, old_owner: str, new_owner: str) -> None:
        """Records a move that took place, planned or forced."""

    def keys_to_pin(self) -> Sequence[str]:
        """Returns keys that deserve a slot of their own now."""


class LeadershipTable:
    """Knows the leader of each group; the highest token wins."""

    def __init__(self) -> None:
        self._leadership_by_group: dict[GroupId, Leadership] = {}
        self._reference_by_name: dict[str, InstanceRef] = {}
        self._listeners: list[Callable[[Leadership], None]] = []
        self._digest = 0

    @property
    def digest(self) -> int:
        """Equal for two instances that know the same leaderships.

        The digests of the entries are combined by exclusive or, so that a
        change costs the same however many groups there are.
        """
        return self._digest

    def learn(self, leadership: Leadership) -> bool:
        """Takes a leadership if its token is higher; says whether it was."""
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
        """Returns the reference to an instance that a leadership named."""
        return self._reference_by_name.get(instance_name)

    def by_group(self) -> Mapping[GroupId, Leadership]:
        """Returns all known leaderships."""
        return self._leadership_by_group

    def listen(self, listener: Callable[[Leadership], None]) -> None:
        """Calls the listener at each change."""
        self._listeners.append(listener)


def _leadership_digest(leadership: Leadership) -> int:
    return xxhash.xxh3_64_intdigest(
        f'{leadership.group}#{leadership.token}'.encode()
    )
