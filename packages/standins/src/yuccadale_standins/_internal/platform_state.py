"""State of the simulated platform: rows, objects, list and faults."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from yuccadale_core.platform import ListedInstance, Row

Clock = Callable[[], float]
InstanceByName = dict[str, ListedInstance]

_MAX_LIST_VERSIONS = 10_000


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Faults in force.

    Attributes:
        down: every call is refused and reported as not applied.
        slow_ms: delay before each call is processed.
        lose_answers: calls whose answer is dropped after they took effect:
            a number that counts down, or ``true`` for all.
        list_lag_s: age of the list that is returned.
        list_override: returned instead of the list.
        cut: data centres whose calls have no effect and get no answer.
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
    """The current row after a write, and whether the write was applied."""

    written: bool
    row: Row | None


class PlatformState:
    """Rows, objects, lists and faults of the simulated platform.

    Args:
        clock: monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock, instances: list[ListedInstance]) -> None:
        self._clock = clock
        self._row_by_name: dict[str, Row] = {}
        self._object_by_name: dict[str, bytes] = {}
        initial = {instance.name: instance for instance in instances}
        self._lists: deque[tuple[float, InstanceByName]] = deque(
            [(float('-inf'), initial)], maxlen=_MAX_LIST_VERSIONS
        )
        self.faults = PlatformFaults()
        self.writes = 0
        self.reads = 0

    def read(self, name: str) -> Row | None:
        """Returns a row."""
        self.reads += 1
        return self._row_by_name.get(name)

    def read_prefix(self, prefix: str) -> list[Row]:
        """Returns rows whose names start with the prefix, sorted by name."""
        self.reads += 1
        return [
            self._row_by_name[name]
            for name in sorted(self._row_by_name)
            if name.startswith(prefix)
        ]

    def write(
        self, name: str, text: str, expected_version: int, write_id: str
    ) -> WriteAnswer:
        """Writes a row if it has the expected version."""
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
        """Returns the list, subject to the faults in force."""
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
        """Changes the list; ``list_lag_s`` delays when it is returned."""
        instance_by_name = dict(self._lists[-1][1])
        for instance in change.put:
            instance_by_name[instance.name] = instance
        for name in change.remove:
            instance_by_name.pop(name, None)
        self._lists.append((self._clock(), instance_by_name))

    def should_drop_answer(self) -> bool:
        """Returns whether to drop this call's answer; counts down."""
        remaining = self.faults.lose_answers
        self.faults.lose_answers = count_down(remaining)
        return remaining > 0


def count_down(remaining: bool | int) -> bool | int:
    """Returns the decremented count of a fault; ``True`` is unchanged."""
    return remaining if isinstance(remaining, bool) else max(remaining - 1, 0)
