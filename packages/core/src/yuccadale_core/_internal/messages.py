"""Messages between instances and their codec.

A batch is one transport message. It contains the messages queued for the
peer and the sender's incarnation. A keyed MAC over the encoded batch ensures
that only holders of a peer key can act as a peer.
"""

import msgspec

from yuccadale_core._internal.instances import GroupId, InstanceRef, Leadership


class PeerMessage(
    msgspec.Struct, frozen=True, array_like=True, tag_field='type'
):
    """Base of all messages between instances."""


class Heartbeat(PeerMessage, frozen=True, tag=1):
    """Liveness signal of the sender, with a summary of its state.

    Attributes:
        number: incremented with each heartbeat of this sender.
        echo: the highest number received from the peer, 0 for none.
        sender: full reference with the addresses for a new peer; omitted
            once the peer has answered.
        revision_by_scope: declaration revisions in force at the sender.
        leaderships: groups that the sender leads, and recent changes.
        leaving: whether the sender is shutting down.
        configuration_age_ms: time since the revisions were last confirmed as
            the newest in the table; negative if never.
        wants_answer: requests a heartbeat from a peer that would send none.
        leadership_digest: digest of all leaderships that the sender knows; a
            peer whose digest differs sends all leaderships that it knows.
    """

    number: int
    echo: int
    sender: InstanceRef | None
    revision_by_scope: dict[str, int]
    leaderships: list[Leadership]
    leaving: bool = False
    configuration_age_ms: float = -1
    wants_answer: bool = False
    leadership_digest: int = 0


class PromiseRequest(PeerMessage, frozen=True, tag=2):
    """Requests the standby's promise of no takeover for one lease term."""

    group: GroupId
    token: int
    number: int


class Promise(PeerMessage, frozen=True, tag=3):
    """The standby's answer; ``granted`` is false after a takeover."""

    group: GroupId
    token: int
    number: int
    granted: bool
    highest_token: int


class RecordChange(msgspec.Struct, frozen=True, array_like=True):
    """A change of one idempotency record.

    Attributes:
        slot: slot of the request's key.
        request_id: idempotency key of the caller.
        state: ``started``, ``done``, ``unknown`` or ``not run``.
        fingerprint: hash of method, path, key and body.
        server: the server that the request was sent to.
        age_ms: time since the record was created, on the sender's clock.
        status: HTTP status of the answer when done.
        headers: headers of the answer when done.
        body: body of the answer when done.
    """

    slot: int
    request_id: str
    state: str
    fingerprint: int
    server: str
    age_ms: float
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b''


class SlotMove(msgspec.Struct, frozen=True, array_like=True):
    """A slot's change of owner, stored at the standby during table outages."""

    slot: int
    old_server: str
    new_server: str
    reason: str


class Replicate(PeerMessage, frozen=True, tag=4):
    """Replicates record changes and slot moves from a leader to its standby.

    Attributes:
        number: incremented with each message under this token.
        full_copy: whether the message replaces the standby's earlier state.
        row_text: the group's row in its current or next version; empty when
            it did not change.
        row_committed: whether that row is known to be stored in the table.
        unconfirmed: slots of the row whose owners are not confirmed, because
            the owner or the successor has not reported; sent with the row.
        incomplete: slots whose records from before the leader's tenure are
            missing; sent with the row.
    """

    group: GroupId
    token: int
    number: int
    full_copy: bool
    records: list[RecordChange]
    moves: list[SlotMove]
    row_text: str = ''
    row_committed: bool = False
    unconfirmed: list[int] = []
    incomplete: list[int] = []


class ReplicateAck(PeerMessage, frozen=True, tag=5):
    """Acknowledges all replication messages up to ``number``."""

    group: GroupId
    token: int
    number: int
    accepted: bool


class Handover(PeerMessage, frozen=True, tag=6):
    """Notifies the standby that it leads since ``version`` of the row."""

    group: GroupId
    token: int
    version: int


class Resign(PeerMessage, frozen=True, tag=7):
    """Sent by a standby that will never take over under this token."""

    group: GroupId
    token: int


class ProbeRequest(PeerMessage, frozen=True, tag=8):
    """Requests a peer to check whether it can reach a server."""

    group: GroupId
    server: str
    address: str
    number: int


class ProbeAnswer(PeerMessage, frozen=True, tag=9):
    """Reports whether the server answered the peer."""

    group: GroupId
    server: str
    number: int
    reached: bool


class Forward(PeerMessage, frozen=True, tag=10):
    """A caller's request, forwarded to the leader of its group.

    Attributes:
        forward_id: number of this forward, unique in the sender's process.
        request_id: idempotency key, or an id generated by the entry instance.
        remaining_ms: time left until the deadline.
        first_sent_ago_ms: age of the first attempt; negative when unknown.
        priority: 0 control, 1 non-repeatable, 2 availability, 3 browsing.
        body_pieces: number of ``BodyPiece`` messages that follow.
    """

    forward_id: int
    group: GroupId
    service: str
    key: str
    slot: int
    request_id: str
    kind: str
    repeatable: bool
    priority: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    remaining_ms: float
    first_sent_ago_ms: float
    body_pieces: int = 0


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """Time spent at one hop, for ``Server-Timing``."""

    name: str
    where: str
    duration_ms: float


class ForwardAnswer(PeerMessage, frozen=True, tag=11):
    """The answer to a forward.

    Attributes:
        forward_id: number of the forward that this answers.
        incarnation: the incarnation of the process that sent the forward.
        code: result code; 0 when the server answered.
        body_length: total length of the body, checked by the receiver.
        body_pieces: number of ``BodyPiece`` messages that follow.
        other_group: after a refusal, the group to send the request to.
    """

    forward_id: int
    incarnation: str
    code: int
    where: str
    detail: str
    retry_after_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    body_length: int
    hops: list[Hop]
    body_pieces: int = 0
    other_group: GroupId | None = None


class Cancel(PeerMessage, frozen=True, tag=12):
    """Cancels a forward whose caller has disconnected."""

    forward_id: int


class BodyPiece(PeerMessage, frozen=True, tag=13):
    """One piece of a large body; other messages are sent between pieces."""

    forward_id: int
    of_answer: bool
    index: int
    piece: bytes


class RevisionsRequest(PeerMessage, frozen=True, tag=14):
    """Requests scopes of the declaration newer than the given revisions."""

    revision_by_scope: dict[str, int]


class ScopeRevision(msgspec.Struct, frozen=True, array_like=True):
    """One scope of the declaration at one revision, as submitted."""

    scope: str
    revision: int
    write_id: str
    submitted_by: str
    submitted_at: str
    text: str


class RevisionsAnswer(PeerMessage, frozen=True, tag=15):
    """Scopes of the declaration that are newer than the peer's."""

    scopes: list[ScopeRevision]


class PeerList(PeerMessage, frozen=True, tag=16):
    """Instances that the sender considers alive."""

    instances: list[InstanceRef]


AnyMessage = (
    Heartbeat
    | PromiseRequest
    | Promise
    | Replicate
    | ReplicateAck
    | Handover
    | Resign
    | ProbeRequest
    | ProbeAnswer
    | Forward
    | ForwardAnswer
    | Cancel
    | BodyPiece
    | RevisionsRequest
    | RevisionsAnswer
    | PeerList
)


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Messages from one instance to another.

    Attributes:
        sender: name of the sending instance.
        incarnation: incarnation of the sending process.
        receiver: name of the receiving instance.
        number: increases with each batch to this peer on one connection.
    """

    sender: str
    incarnation: str
    receiver: str
    number: int
    messages: list[AnyMessage]


_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Encodes a batch as MessagePack."""
    return _encoder.encode(batch)


def decode_batch(encoded: bytes) -> Batch:
    """Decodes a batch; raises ``msgspec.DecodeError`` on malformed bytes."""
    return _batch_decoder.decode(encoded)
