"""The group row and its compact text form in the table.

Each owner and successor is one byte, an index into the servers. Slots are
stored as differences in LEB128. msgspec encodes the bytes as base64.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

import msgspec

from yuccadale_core.instances import GroupId, InstanceRef, ServerRef

MAX_SERVERS = 254
_NO_SUCCESSOR = 255
_SEVEN_BITS = 0x7F
_CONTINUES = 0x80


class Release(msgspec.Struct, frozen=True, array_like=True):
    """Names the only group that may adopt a slot.

    Attributes:
        number: the slot's transfer count after the adoption. Of several
            releases of a slot only the one with the highest number counts.
    """

    group: GroupId
    number: int


@dataclass(frozen=True, slots=True)
class GroupRow:
    """The state of a group as stored in the table.

    Attributes:
        term: increases with each change of leader or standby.
        server_by_name: all servers that a slot may be placed on.
        owner_by_slot: server names; the keys are the group's slots.
        successor_by_slot: committed successors; slots without one are absent.
        pins: separate slot of each pinned key.
        leaving: owned slots that may not be granted any more, and the groups
            that they go to; this group itself for the slots of pins.
        released: slots that this group released, until they have arrived at
            their next groups.
        transfer_count_by_slot: how often an owned slot was passed to another
            group; absent when never.
    """

    term: int
    leader: InstanceRef
    standby: InstanceRef | None
    server_by_name: Mapping[str, ServerRef]
    owner_by_slot: Mapping[int, str]
    successor_by_slot: Mapping[int, str]
    pins: Mapping[str, int] = field(default_factory=dict)
    leaving: Mapping[int, GroupId] = field(default_factory=dict)
    released: Mapping[int, Release] = field(default_factory=dict)
    transfer_count_by_slot: Mapping[int, int] = field(default_factory=dict)

    @property
    def token(self) -> int:
        """Fencing token of the row's leader."""
        return self.term * 2

    @property
    def provisional_token(self) -> int:
        """Fencing token of a standby that takes over without the table.

        It is odd, between the tokens of this row and the next term's row.
        """
        return self.term * 2 + 1

    def slots_of(self, server_name: str) -> tuple[int, ...]:
        """Returns the slots that the server owns."""
        return tuple(
            slot
            for slot, owner in self.owner_by_slot.items()
            if owner == server_name
        )


class _EncodedRow(msgspec.Struct, frozen=True):
    term: int
    leader: InstanceRef
    standby: InstanceRef | None
    servers: list[ServerRef]
    slots: bytes
    owner_by_slot: bytes
    successor_by_slot: bytes
    pins: dict[str, int]
    leaving: dict[int, GroupId] = {}
    released: dict[int, Release] = {}
    passes: dict[int, int] = {}


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_EncodedRow)


def encode_row(row: GroupRow) -> str:
    """Returns the text form of a row."""
    names = sorted(row.server_by_name)
    index_by_name = {name: index for index, name in enumerate(names)}
    slots = sorted(row.owner_by_slot)
    encoded = _EncodedRow(
        term=row.term,
        leader=row.leader,
        standby=row.standby,
        servers=[row.server_by_name[name] for name in names],
        slots=_pack_slots(slots),
        owner_by_slot=bytes(
            index_by_name[row.owner_by_slot[slot]] for slot in slots
        ),
        successor_by_slot=bytes(
            index_by_name.get(
                row.successor_by_slot.get(slot, ''), _NO_SUCCESSOR
            )
            for slot in slots
        ),
        pins=dict(row.pins),
        leaving=dict(row.leaving),
        released=dict(row.released),
        passes=dict(row.transfer_count_by_slot),
    )
    return _encoder.encode(encoded).decode()


def decode_row(text: str) -> GroupRow:
    """Decodes the text form; raises ``msgspec.DecodeError`` when malformed."""
    encoded = _decoder.decode(text)
    names = [server.name for server in encoded.servers]
    slots = _unpack_slots(encoded.slots)
    if (
        not len(slots)
        == len(encoded.owner_by_slot)
        == len(encoded.successor_by_slot)
    ):
        raise msgspec.DecodeError(
            'owner_by_slot, successor_by_slot and slots differ in length'
        )
    return GroupRow(
        term=encoded.term,
        leader=encoded.leader,
        standby=encoded.standby,
        server_by_name={server.name: server for server in encoded.servers},
        owner_by_slot=_names_by_slot(slots, encoded.owner_by_slot, names),
        successor_by_slot=_names_by_slot(
            slots, encoded.successor_by_slot, names
        ),
        pins=encoded.pins,
        leaving=encoded.leaving,
        released=encoded.released,
        transfer_count_by_slot=encoded.passes,
    )


def move_slot(row: GroupRow, slot: int, new_owner: str) -> GroupRow:
    """Returns the row with a new owner of the slot.

    A move to the committed successor swaps owner and successor. So a leader
    that knows only the older row still asks the right two servers.
    """
    old_owner = row.owner_by_slot[slot]
    successor_by_slot = dict(row.successor_by_slot)
    if successor_by_slot.get(slot, new_owner) == new_owner:
        successor_by_slot[slot] = old_owner
    return replace(
        row,
        owner_by_slot={**row.owner_by_slot, slot: new_owner},
        successor_by_slot=successor_by_slot,
    )


def _names_by_slot(
    slots: list[int], indices: bytes, names: list[str]
) -> dict[int, str]:
    return {
        slot: names[index]
        for slot, index in zip(slots, indices, strict=True)
        if index < len(names)
    }


def _pack_slots(slots: Iterable[int]) -> bytes:
    packed = bytearray()
    previous = -1
    for slot in slots:
        difference = slot - previous - 1
        previous = slot
        while difference > _SEVEN_BITS:
            packed.append(difference & _SEVEN_BITS | _CONTINUES)
            difference >>= 7
        packed.append(difference)
    return bytes(packed)


def _unpack_slots(packed: bytes) -> list[int]:
    slots: list[int] = []
    previous = -1
    difference = 0
    shift = 0
    for byte in packed:
        difference |= (byte & _SEVEN_BITS) << shift
        shift += 7
        if not byte & _CONTINUES:
            previous += difference + 1
            slots.append(previous)
            difference = 0
            shift = 0
    return slots
