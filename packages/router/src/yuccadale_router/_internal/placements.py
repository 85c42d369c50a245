"""The placement of each group that this instance leads."""

from yuccadale_core.declaration import Declaration, Weights
from yuccadale_core.instances import GroupId

from yuccadale_router._internal.clock import Clock
from yuccadale_router._internal.placement.group import GroupPlacement


class Placements:
    """Creates one ``GroupPlacement`` per group and keeps it.

    Ownership gets decisions from it and the request path reports load to it,
    so both must use the same object.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._declaration = Declaration()
        self._placement_by_group: dict[GroupId, GroupPlacement] = {}

    def of_group(self, group: GroupId) -> GroupPlacement:
        """Returns the placement of a group; creates it on the first call."""
        placement = self._placement_by_group.get(group)
        if placement is None:
            service = self._declaration.service_by_name.get(group.service)
            placement = GroupPlacement(
                self._weights(group.service),
                slot_count=service.slot_count if service else None,
                clock=self._clock,
            )
            self._placement_by_group[group] = placement
        return placement

    def declaration_changed(self, declaration: Declaration) -> None:
        """Sets the weights of the declaration on all placements."""
        self._declaration = declaration
        for group, placement in self._placement_by_group.items():
            placement.update_weights(self._weights(group.service))

    def _weights(self, service_name: str) -> Weights:
        return self._declaration.weights_by_service.get(
            service_name, self._declaration.weights
        )
