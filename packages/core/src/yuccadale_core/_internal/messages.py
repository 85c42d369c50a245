"""Messages between instances and their codec.

A batch is one transport message. It carries what waited for the peer, the
sender's incarnation and a keyed MAC over the encoded batch, so that only
holders of a peer key can act as a peer.
"""

import msgspec

from yuccadale_core._internal.instances import GroupId, InstanceRef, Leadership


class PeerMessage(
    msgspec.Struct, frozen=True, array_like=True, tag_field='type'
):
    """Base of all messages between instances."""


class Heartbeat(PeerMessage, frozen=True, tag=1):
    """Says that the sender runs, and what it knows.

    Attributes:
        number: rises by one with each heartbeat of this sender.
        echo: the newest number received from the peer, 0 for none.
        sender: full reference, so that a new peer learns the addresses; left
            out once the peer has answered.
        revision_by_scope: declaration revisions in force at the sender.
        leaderships: groups that the sender leads, and recent changes.
        leaving: whether the sender is shutting down.
        configuration_age_ms: time since the revisions were known to be the
            newest in the table; negative when that was never known.
        wants_answer: asks a peer that sends no heartbeats by itself for one.
        leadership_digest: digest of all leaderships that the sender knows; a
            peer with another one sends all that it knows.
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
    """Asks the standby not to take over before one term from now."""

    group: GroupId
    token: int
    number: int


class Promise(PeerMessage, frozen=True, tag=3):
    """Answers a promise request; ``granted`` is false after a takeover."""

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
        age_ms: time since the record was made, on the sender's clock.
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
    """A move recorded at the standby while the table is down."""

    slot: int
    old_server: str
    new_server: str
    reason: str


class Replicate(PeerMessage, frozen=True, tag=4):
    """Carries record changes and moves from a leader to its standby.

    Attributes:
        number: rises by one with each message of this token.
        full_copy: whether the standby drops what it had before.
        row_text: the group's row as the leader has it or is about to write
            it; empty when it did not change.
        row_committed: whether the table is known to hold that row.
        unsettled: slots of the row whose owners the leader does not know
            yet, because owner or successor did not report.
        incomplete: slots whose records from before the leader's tenure are
            missing, sent with the row.
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
    """Acknowledges replication up to a number."""

    group: GroupId
    token: int
    number: int
    accepted: bool


class Handover(PeerMessage, frozen=True, tag=6):
    """Tells the standby that the row names it leader as of ``version``."""

    group: GroupId
    token: int
    version: int


class Resign(PeerMessage, frozen=True, tag=7):
    """A standby's last word: it will never take over under this token."""

    group: GroupId
    token: int


class ProbeRequest(PeerMessage, frozen=True, tag=8):
    """Asks a peer whether it can reach a server."""

    group: GroupId
    server: str
    address: str
    number: int


class ProbeAnswer(PeerMessage, frozen=True, tag=9):
    """Says whether the server answered the peer."""

    group: GroupId
    server: str
    number: int
    reached: bool


class Forward(PeerMessage, frozen=True, tag=10):
    """A caller's request on its way to the leader of its group.

    Attributes:
        forward_id: number of this forward, unique for the sender's process.
        request_id: idempotency key, or an id made by the entry instance.
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
    """Time spent in one part of the way, for ``Server-Timing``."""

    name: str
    where: str
    duration_ms: float


class ForwardAnswer(PeerMessage, frozen=True, tag=11):
    """The answer to a forward.

    Attributes:
        forward_id: number of the forward that this answers.
        incarnation: the incarnation of the process that asked.
        code: result code; 0 when the server answered.
        body_length: whole length of the body, checked on arrival.
        body_pieces: number of ``BodyPiece`` messages that follow.
        other_group: the group to ask instead, after a refusal.
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
    """Says that the caller of a forward went away."""

    forward_id: int


class BodyPiece(PeerMessage, frozen=True, tag=13):
    """A piece of a large body; small messages pass between pieces."""

    forward_id: int
    of_answer: bool
    index: int
    piece: bytes


class RevisionsRequest(PeerMessage, frozen=True, tag=14):
    """Asks for scopes of the declaration newer than the given revisions."""

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
    """Scopes that the peer lacked."""

    scopes: list[ScopeRevision]


class PeerList(PeerMessage, frozen=True, tag=16):
    """Instances that the sender knows to be alive."""

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
    """What one sender had for one peer.

    Attributes:
        sender: name of the sending instance.
        incarnation: incarnation of the sending process.
        receiver: name of the instance that it is meant for.
        number: rises with each batch to this peer on one connection.
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
