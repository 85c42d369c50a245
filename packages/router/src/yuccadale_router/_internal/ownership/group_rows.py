"""All rows of a service's groups, from one read of the table."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from yuccadale_core.instances import GroupId
from yuccadale_core.platform import Row
from yuccadale_router._internal.ownership.rows import (
    GroupRow,
    Release,
    decode_row,
)


@dataclass(frozen=True, slots=True)
class GroupRows:
    """Rows and their versions by group."""

    row_by_group: Mapping[GroupId, GroupRow]
    version_by_group: Mapping[GroupId, int]

    def owner_group(self, slot: int) -> GroupId | None:
        """Returns the owning group, by the highest transfer count."""
        owners = [
            (row.transfer_count_by_slot.get(slot, 0), group)
            for group, row in self.row_by_group.items()
            if slot in row.owner_by_slot
        ]
        return max(owners)[1] if owners else None

    def release(self, slot: int) -> Release | None:
        """Returns the newest release of a slot, None when it was adopted.

        The releasing group's row may still own the slot after a late write of
        an older row; its transfer count is lower, and the slot is marked as
        leaving.
        """
        entries = [
            row.released[slot]
            for row in self.row_by_group.values()
            if slot in row.released
        ]
        if not entries:
            return None
        newest = max(entries, key=lambda entry: entry.number)
        return None if self.has_arrived(slot, newest.number) else newest

    def has_arrived(self, slot: int, number: int) -> bool:
        """Says whether a row owns the slot with at least this count."""
        return any(
            slot in row.owner_by_slot
            and row.transfer_count_by_slot.get(slot, 0) >= number
            for row in self.row_by_group.values()
        )

    def was_released_again(self, slot: int, number: int) -> bool:
        """Says whether a later release exists, so that the slot had arrived."""
        return any(
            slot in row.released and row.released[slot].number > number
            for row in self.row_by_group.values()
        )

    def released_to(self, group: GroupId) -> dict[int, Release]:
        """Returns the slots that are released to the group."""
        named = {
            slot
            for row in self.row_by_group.values()
            for slot, entry in row.released.items()
            if entry.group == group
        }
        newest_by_slot = {slot: self.release(slot) for slot in named}
        return {
            slot: entry
            for slot, entry in newest_by_slot.items()
            if entry is not None and entry.group == group
        }

    def adoptable(self, group: GroupId) -> dict[int, Release]:
        """Returns the slots that the group may adopt.

        After a write whose answer was lost, the group's row in the table may
        own slots that its leader does not know; it adopts them again.
        """
        own_row = self.row_by_group.get(group)
        if own_row is None:
            return self.released_to(group)
        owned = {
            slot: Release(group, number)
            for slot, number in own_row.transfer_count_by_slot.items()
            if slot in own_row.owner_by_slot
        }
        return {**owned, **self.released_to(group)}

    def from_lost_centre(self, slots: Iterable[int]) -> bool:
        """Says whether a leader of another data centre released a slot."""
        wanted = set(slots)
        return any(
            row.leader.data_centre != group.data_centre
            and not wanted.isdisjoint(row.released)
            for group, row in self.row_by_group.items()
        )


def decode_group_rows(rows: Sequence[Row]) -> GroupRows:
    """Decodes the rows of a service; names are ``group/<s>/<dc>/<n>``."""
    row_by_group: dict[GroupId, GroupRow] = {}
    version_by_group: dict[GroupId, int] = {}
    for row in rows:
        _, service, data_centre, number = row.name.split('/')
        group = GroupId(service, data_centre, int(number))
        row_by_group[group] = decode_row(row.text)
        version_by_group[group] = row.version
    return GroupRows(row_by_group, version_by_group)
