"""The initial slot mapping of a service, from which groups create their rows.

Instances may have different declarations while the initial rows are written.
So the first instance records the mapping in the row ``origin/<service>``, and
all use it. Later changes transfer slots between rows.
"""

from dataclasses import replace

import msgspec

from yuccadale_core.declaration import DataCentre, Declaration, Service
from yuccadale_core.instances import GroupId
from yuccadale_core.mapping import build_group_map
from yuccadale_core.platform import TableFailureKind
from yuccadale_router._internal.ownership.pacing import PacedTable


class _InitialMapping(msgspec.Struct, frozen=True):
    slot_count: int
    groups_per_data_centre: int
    capacity_by_centre: dict[str, float]


async def initial_slots(
    table: PacedTable,
    declaration: Declaration,
    service: Service,
    group: GroupId,
    write_id: str,
) -> tuple[int, ...] | None:
    """Returns the initial slots of a new group's row.

    None means that the mapping could not be read or written.
    """
    name = f'origin/{service.name}'
    read = await table.read(name)
    if read.is_error():
        return None
    row = read.ok
    if row is None:
        proposed = msgspec.json.encode(
            _initial_mapping(declaration, service)
        ).decode()
        written = await table.write(name, proposed, 0, write_id)
        if written.is_ok():
            row = written.ok
        elif written.error.kind == TableFailureKind.conflict:
            row = written.error.row
    if row is None:
        return None
    mapping = msgspec.json.decode(row.text, type=_InitialMapping)
    return _mapped_slots(mapping, service, group)


def _initial_mapping(
    declaration: Declaration, service: Service
) -> _InitialMapping:
    return _InitialMapping(
        service.slot_count,
        service.groups_per_data_centre,
        {
            centre.name: centre.capacity_by_service[service.name]
            for centre in declaration.data_centre_by_name.values()
            if centre.state == 'live'
            and centre.capacity_by_service.get(service.name, 0) > 0
        },
    )


def _mapped_slots(
    mapping: _InitialMapping, service: Service, group: GroupId
) -> tuple[int, ...]:
    first_service = replace(
        service,
        slot_count=mapping.slot_count,
        groups_per_data_centre=mapping.groups_per_data_centre,
    )
    first_declaration = Declaration(
        data_centre_by_name={
            name: DataCentre(
                name, '', capacity_by_service={service.name: capacity}
            )
            for name, capacity in mapping.capacity_by_centre.items()
        }
    )
    return build_group_map(first_declaration, first_service).slots_of_group(
        group
    )
