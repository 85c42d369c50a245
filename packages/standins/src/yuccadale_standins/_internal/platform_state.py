"""State of the platform stand-in: rows, objects, list and faults."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from yuccadale_core.platform import ListedInstance, Row

Clock = Callable[[], float]
InstanceByName = dict[str, ListedInstance]

_LIST_VERSIONS = 10_000


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Faults in force.

    Attributes:
        down: every call is refused with the statement that it did nothing.
        slow_ms: delay before each call is carried out.
        lose_answers: calls whose answer is dropped after they took effect;
            a number counts down, ``true`` means all.
        list_lag_s: age of the list that is shown.
        list_override: shown instead of the list.
        cut: data centres whose calls get no answer and do nothing.
    """

    down: bool = False
    slow_ms: float = 0
    lose_answers: bool | int = 0
    list_lag_s: float = 0
    list_override: list[ListedInstance] | None = None
    cut: list[str] = []


class ListChange(msgspec.Struct, kw_only=True):
    """Adds or replaces instances by name, and removes names."""

    put: list[ListedInstance] = []
    remove: list[str] = []


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """The row in force after a write, and whether the write made it."""

    written: bool
    row: Row | None


class PlatformState:
    """Everything that the platform stand-in keeps.

    Args:
        clock: monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock, instances: list[ListedInstance]) -> None:
        self._clock = clock
        self._row_by_name: dict[str, Row] = {}
        self._object_by_name: dict[str, bytes] = {}
        first = {instance.name: instance for instance in instances}
        self._lists: deque[tuple[float, InstanceByName]] = deque(
            [(float('-inf'), first)], maxlen=_LIST_VERSIONS
        )
        self.faults = PlatformFaults()
        self.writes = 0
        self.reads = 0

    def read(self, name: str) -> Row | None:
        """Returns a row."""
        self.reads += 1
        return self._row_by_name.get(name)

    def read_prefix(self, prefix: str) -> list[Row]:
        """Returns the rows whose names start with the prefix, by name."""
        self.reads += 1
        return [
            self._row_by_name[name]
            for name in sorted(self._row_by_name)
            if name.startswith(prefix)
        ]

    def write(
        self, name: str, text: str, expected_version: int, write_id: str
    ) -> WriteAnswer:
        """Writes a row if the version is the expected one."""
        self.writes += 1
        row = self._row_by_name.get(name)
        version = 0 if row is None else row.version
        if version != expected_version:
            return WriteAnswer(written=False, row=row)
        new_row = Row(name, version + 1, text, write_id)
        self._row_by_name[name] = new_row
        return WriteAnswer(written=True, row=new_row)

    def read_object(self, name: str) -> bytes | None:
        """Returns an object."""
        self.reads += 1
        return self._object_by_name.get(name)

    def write_object(self, name: str, body: bytes) -> None:
        """Stores an object."""
        self.writes += 1
        self._object_by_name[name] = body

    def list_instances(self) -> list[ListedInstance]:
        """Returns the list as the faults let it be seen."""
        if self.faults.list_override is not None:
            return self.faults.list_override
        newest_shown_ms = self._clock() - self.faults.list_lag_s * 1000
        shown = next(
            (
                instance_by_name
                for changed_ms, instance_by_name in reversed(self._lists)
                if changed_ms <= newest_shown_ms
            ),
            self._lists[0][1],
        )
        return list(shown.values())

    def change_list(self, change: ListChange) -> None:
        """Changes the list; the lag applies to what is shown."""
        instance_by_name = dict(self._lists[-1][1])
        for instance in change.put:
            instance_by_name[instance.name] = instance
        for name in change.remove:
            instance_by_name.pop(name, None)
        self._lists.append((self._clock(), instance_by_name))

    def loses_answer(self) -> bool:
        """Says whether this call's answer is dropped; counts down."""
        left = self.faults.lose_answers
        self.faults.lose_answers = count_down(left)
        return left > 0


def count_down(left: bool | int) -> bool | int:
    """Returns what is left of a counted fault; ``True`` stays."""
    return left if isinstance(left, bool) else max(left - 1, 0)
