"""In-memory implementation of the platform's interfaces."""

from expression import Result

from yuccadale_core.platform import (
    ListedInstance,
    Row,
    TableFailure,
    TableFailureKind,
)
from yuccadale_standins.platform import PlatformState


class MemoryPlatform:
    """Table, objects and list as seen from one data centre."""

    def __init__(self, state: PlatformState, data_centre: str = '') -> None:
        self._state = state
        self._data_centre = data_centre

    async def read(self, name: str) -> Result[Row | None, TableFailure]:
        """Reads one row."""
        if self._is_unreachable() or self._state.should_drop_answer():
            return _failure(TableFailureKind.unavailable)
        return Result.Ok(self._state.read(name))

    async def read_prefix(self, prefix: str) -> Result[list[Row], TableFailure]:
        """Reads all rows whose names start with the prefix."""
        if self._is_unreachable() or self._state.should_drop_answer():
            return _failure(TableFailureKind.unavailable)
        return Result.Ok(self._state.read_prefix(prefix))

    async def write(
        self,
        name: str,
        text: str,
        *,
        expected_version: int,
        write_id: str,
    ) -> Result[Row, TableFailure]:
        """Writes a row if it has the expected version."""
        if self._state.faults.down:
            return _failure(TableFailureKind.unavailable)
        if self._is_unreachable():
            return _failure(TableFailureKind.unknown)
        answer = self._state.write(name, text, expected_version, write_id)
        if self._state.should_drop_answer():
            return _failure(TableFailureKind.unknown)
        if answer.written and answer.row is not None:
            return Result.Ok(answer.row)
        return Result.Error(
            TableFailure(TableFailureKind.conflict, 'changed', answer.row)
        )

    async def get(self, name: str) -> Result[bytes | None, TableFailure]:
        """Reads an object."""
        if self._is_unreachable() or self._state.should_drop_answer():
            return _failure(TableFailureKind.unavailable)
        return Result.Ok(self._state.read_object(name))

    async def put(self, name: str, body: bytes) -> Result[None, TableFailure]:
        """Writes an object."""
        if self._state.faults.down:
            return _failure(TableFailureKind.unavailable)
        if self._is_unreachable():
            return _failure(TableFailureKind.unknown)
        self._state.write_object(name, body)
        if self._state.should_drop_answer():
            return _failure(TableFailureKind.unknown)
        return Result.Ok(None)

    async def fetch(self) -> Result[list[ListedInstance], TableFailure]:
        """Reads the list."""
        if self._is_unreachable() or self._state.should_drop_answer():
            return _failure(TableFailureKind.unavailable)
        return Result.Ok(self._state.list_instances())

    def _is_unreachable(self) -> bool:
        faults = self._state.faults
        return faults.down or self._data_centre in faults.cut


def _failure(kind: TableFailureKind) -> Result:
    return Result.Error(TableFailure(kind, 'simulated fault'))
