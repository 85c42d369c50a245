"""The dispatchers of the groups that this instance leads."""

from collections.abc import Callable

from yuccadale_core.declaration import Declaration
from yuccadale_core.instances import GroupId
from yuccadale_router._internal.contracts import GroupOwnership, LoadObserver
from yuccadale_router._internal.requests.delivery import DispatcherParts
from yuccadale_router._internal.requests.dispatcher import GroupDispatcher


class Dispatchers:
    """Creates the dispatchers for ownership and looks them up by group."""

    def __init__(
        self,
        parts: DispatcherParts,
        observer_of_group: Callable[[GroupId], LoadObserver],
    ) -> None:
        self._parts = parts
        self._observer_of_group = observer_of_group
        self._declaration = Declaration()
        self._dispatcher_by_group: dict[GroupId, GroupDispatcher] = {}

    def __call__(
        self, group: GroupId, ownership: GroupOwnership
    ) -> GroupDispatcher:
        """Implements ``GroupRequestsFactory``.

        The service must be declared: call ``declaration_changed`` first.
        """
        dispatcher = GroupDispatcher(
            group,
            ownership,
            self._declaration.service_by_name[group.service],
            self._parts,
            self._observer_of_group(group),
        )
        self._dispatcher_by_group[group] = dispatcher
        return dispatcher

    def find(self, group: GroupId) -> GroupDispatcher | None:
        """Returns the newest dispatcher of a group."""
        return self._dispatcher_by_group.get(group)

    def forget(self, group: GroupId) -> None:
        """Removes the dispatcher of a group that is no longer led here."""
        self._dispatcher_by_group.pop(group, None)

    def declaration_changed(self, declaration: Declaration) -> None:
        """Applies changed services to their dispatchers."""
        self._declaration = declaration
        for group, dispatcher in self._dispatcher_by_group.items():
            service = declaration.service_by_name.get(group.service)
            if service is not None:
                dispatcher.apply_service(service)
